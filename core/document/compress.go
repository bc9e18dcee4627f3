package document

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// ErrTooLarge means that a compressed document is larger than the reader allows.
var ErrTooLarge = errors.New("the compressed document is too large")

// Compress returns an encoded document in gzip format. Operators' documents shrink to about a tenth.
func Compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	return b.Bytes(), nil
}

// Decompress returns the document that Compress was given. It returns ErrTooLarge if that has more than limit bytes.
func Decompress(compressed []byte, limit int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress a document")
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress a document")
	}
	if len(data) > limit {
		return nil, ErrTooLarge
	}
	return data, nil
}
