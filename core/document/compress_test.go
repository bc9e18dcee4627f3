package document

import (
	"bytes"
	"errors"
	"testing"
)

// TestCompress guards against documents that change on their way to entries, and against ones that fill an entry's memory.
func TestCompress(t *testing.T) {
	for _, want := range [][]byte{nil, []byte("{}"), bytes.Repeat([]byte(`{"name":"route","service":"s"},`), 10_000)} {
		compressed, err := Compress(want)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decompress(compressed, len(want)); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%d bytes: got %d bytes, %v, want the same", len(want), len(got), err)
		}
		if len(want) == 0 {
			continue
		}
		if _, err := Decompress(compressed, len(want)-1); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%d bytes: got %v, want ErrTooLarge", len(want), err)
		}
		if _, err := Decompress(compressed[:len(compressed)-1], len(want)); err == nil {
			t.Errorf("%d bytes, cut: got no error", len(want))
		}
	}
}
