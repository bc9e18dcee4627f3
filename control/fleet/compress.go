package fleet

import (
	"sync"

	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

// minCompressedBytes is the size of a document from which it is compressed for watchers.
const minCompressedBytes = 4 << 10

// compressor compresses the newest document once for all watchers. It is safe for concurrent use.
type compressor struct {
	mu     sync.Mutex
	newest *fleetpb.Document
}

// compress returns a document as watchers that accept compressed ones receive it.
func (c *compressor) compress(d *fleetpb.Document, events *event.Logger) *fleetpb.Document {
	if len(d.GetData()) < minCompressedBytes {
		return d
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest.GetVersion() == d.Version {
		return c.newest
	}
	compressed, err := document.Compress(d.Data)
	if err != nil {
		events.Error(event.ControlDocumentNotCompressed, err)
		return d
	}
	c.newest = &fleetpb.Document{Version: d.Version, Compressed: compressed}
	return c.newest
}
