package web

import (
	"sync"

	"azuredoor.example/entry/place"
)

// generations holds the generations of this entry on decode engines, to be reported to the coordinator. It is safe for
// concurrent use.
type generations struct {
	mu     sync.Mutex
	nextID uint64
	byID   map[uint64]place.Generation
}

func newGenerations() *generations { return &generations{byID: map[uint64]place.Generation{}} }

// newID returns an unused ID.
func (g *generations) newID() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	return g.nextID
}

// put adds or replaces a generation.
func (g *generations) put(generation place.Generation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.byID[generation.ID] = generation
}

// remove removes a generation and reports whether it existed.
func (g *generations) remove(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.byID[id]
	delete(g.byID, id)
	return ok
}

func (g *generations) list() []place.Generation {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]place.Generation, 0, len(g.byID))
	for _, generation := range g.byID {
		list = append(list, generation)
	}
	return list
}
