package fleet

import (
	"bytes"
	"testing"

	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

// TestCompressor guards against watchers that get another document than the one that is in force.
func TestCompressor(t *testing.T) {
	var c compressor
	for version, size := range []int{0, 100, minCompressedBytes, 300 << 10, 200 << 10} {
		want := &fleetpb.Document{Version: uint64(version + 1), Data: bytes.Repeat([]byte{'a' + byte(version)}, size)}
		for range 2 {
			got := c.compress(want, event.Discard())
			data := got.Data
			if size >= minCompressedBytes {
				var err error
				if data, err = document.Decompress(got.Compressed, size); err != nil {
					t.Fatal(err)
				}
				if len(got.Data) > 0 {
					t.Errorf("%d bytes: got them as they are as well", size)
				}
			}
			if got.Version != want.Version || !bytes.Equal(data, want.Data) {
				t.Errorf("%d bytes: got version %d with %d bytes, want version %d", size, got.Version, len(data), want.Version)
			}
		}
	}
	if got := c.compress(nil, event.Discard()); got != nil {
		t.Errorf("no document: got %v, want none", got)
	}
}
