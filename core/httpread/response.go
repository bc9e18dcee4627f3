package httpread

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// chunked is the content length by which fasthttp marks a body in chunks.
const chunked = -1

var (
	errLongBody  = errors.New("body of the response is too long")
	errChunkSize = errors.New("chunk has no size, or one that is too long")
)

// Response reads a whole response with a body of at most limit bytes.
func Response(r *bufio.Reader, response *fasthttp.Response, limit int) error {
	source, err := Head(r, response)
	if err != nil || source == nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(source, int64(limit)+1))
	if err != nil {
		return fmt.Errorf("read the body of the response: %w", err)
	}
	if len(body) > limit {
		return fmt.Errorf("%w: more than %d bytes arrived", errLongBody, limit)
	}
	response.SetBodyRaw(body)
	return nil
}

// Head skips interim responses and reads the head of the response after them. It returns a reader of the body, or nil if the response
// has none. An error means that what arrived is no response, whatever the error is.
func Head(r *bufio.Reader, response *fasthttp.Response) (body io.Reader, err error) {
	if err := skipInterim(r); err != nil {
		return nil, err
	}
	// A body that fasthttp buffers takes up memory for its stated length before any byte has arrived.
	response.StreamBody = true
	if err := response.Read(r); err != nil {
		return nil, err //nolint:wrapcheck // wrapped by the caller
	}
	body = response.BodyStream()
	if body != nil && response.Header.ContentLength() == chunked {
		body = &chunkedBody{source: body, reader: r}
	}
	return body, nil
}

// chunkedBody reads a body in chunks. Unlike fasthttp, which decodes it, it accepts no trailer with a malformed name.
type chunkedBody struct {
	// source decodes the body. A read of it ends within a chunk, or after the line break that follows the chunk.
	source io.Reader
	// reader is what source reads from. Between two chunks, its next bytes are the size of the second one.
	reader *bufio.Reader
	// left is the number of bytes of the current chunk that are still to be read. ended is set at the last chunk.
	left  int64
	ended bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.left == 0 && !b.ended {
		if err := b.checkChunk(); err != nil {
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	b.left -= int64(n)
	return n, err //nolint:wrapcheck // wrapped by the caller
}

// checkChunk sets the size of the chunk that begins. At the last chunk, it waits until the trailers are buffered and checks them. It
// consumes nothing.
func (b *chunkedBody) checkChunk() error {
	size, err := peekChunkSize(b.reader)
	if err != nil {
		return err
	}
	if b.left, b.ended = size, size == 0; !b.ended {
		return nil
	}
	line, err := peekLine(b.reader, 0)
	if err != nil {
		return err
	}
	_, err = peekFields(b.reader, len(line))
	return err
}

// maxSizeDigits bounds the digits of the size of a chunk, which fits an int64.
const maxSizeDigits = 15

// peekChunkSize waits until r has buffered the size of a chunk, and returns it.
func peekChunkSize(r *bufio.Reader) (size int64, err error) {
	for digits := 0; digits <= maxSizeDigits; digits++ {
		text, err := r.Peek(digits + 1)
		if err == io.EOF {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err //nolint:wrapcheck // wrapped by the caller
		}
		digit, ok := hexDigit(text[digits])
		switch {
		case !ok && digits == 0:
			return 0, errChunkSize
		case !ok:
			return size, nil
		}
		size = size<<4 | digit
	}
	return 0, errChunkSize
}

// hexDigit returns the value of a hexadecimal digit, and false for any other byte.
func hexDigit(c byte) (value int64, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
