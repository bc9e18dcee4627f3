package place

import (
	"errors"
	"testing"
	"time"
)

// TestSameSoftware guards against a generation that is placed on an engine of another software version than the one it began at.
func TestSameSoftware(t *testing.T) {
	now := time.Now()
	engine := func(id, version string) Upstream {
		return Upstream{
			ID: id, Address: id, Service: "s", Role: RoleDecode, Incarnation: 1, Accepts: true, Announcing: true, Capacity: 1000, SoftwareVersion: version,
		}
	}
	engines := []Upstream{engine("a", "v1"), engine("b", "v2"), engine("c", "v2")}
	table, book := NewTable(0), NewBook()
	table.Set(engines, 1)
	book.Set(engines)
	need := Need{Service: "s", Role: RoleDecode, Work: 10, SoftwareVersion: "v1", SameSoftware: true}
	generation := GenerationNeed{Service: "s", SoftwareVersion: "v1", SameSoftware: true}
	for i := range 4 {
		if got, err := table.Pick(now, need); err != nil || got.ID != "a" {
			t.Errorf("pick: got %q, %v, want a", got.ID, err)
		}
		generation.Generation = Generation{ID: uint64(i + 1), Prompt: 10, Expected: 10}
		if got, err := book.Place(now, generation); err != nil || got.Decode.ID != "a" {
			t.Errorf("placement: got %q, %v, want a", got.Decode.ID, err)
		}
	}
	if _, ok := table.Assign(now, "b", 1, need); ok {
		t.Error("assignment of an engine of another version: got true, want false")
	}
	if got := table.Count(now, need); got != 1 {
		t.Errorf("engines of the version: got %d, want 1", got)
	}
	need.SoftwareVersion, generation.SoftwareVersion = "v3", "v3"
	if _, err := table.Pick(now, need); !errors.Is(err, ErrSoftware) {
		t.Errorf("pick of a version without engines: got %v, want ErrSoftware", err)
	}
	if _, err := book.Place(now, generation); !errors.Is(err, ErrNone) {
		t.Errorf("placement of a version without engines: got %v, want ErrNone", err)
	}
}

// TestSameSoftwareHoldsUpNoOthers guards against generations that wait behind one that may use few engines.
func TestSameSoftwareHoldsUpNoOthers(t *testing.T) {
	now := time.Now()
	book := NewBook()
	engine := Upstream{ID: "a", Address: "a", Service: "s", Role: RoleDecode, Accepts: true, Announcing: true, Slots: 1, SoftwareVersion: "v1"}
	other := engine
	other.ID, other.Address, other.SoftwareVersion = "b", "b", "v2"
	book.Set([]Upstream{engine, other})
	queue := NewQueue(book)
	add := func(id uint64, same bool) (chan Result, bool) {
		w := &Waiting{Until: now.Add(time.Second), Done: make(chan Result, 1), Need: GenerationNeed{
			Session: 1, Service: "s", Generation: Generation{ID: id, Prompt: 1, Expected: 1}, SoftwareVersion: "v1", SameSoftware: same,
		}}
		_, done := queue.Add(now, w)
		return w.Done, done
	}
	for id := range uint64(2) {
		if _, done := add(id+1, false); !done {
			t.Fatalf("generation %d: not placed at once", id+1)
		}
	}
	if _, done := add(3, true); done {
		t.Fatal("got a placement on a full engine, want a wait")
	}
	waiting, done := add(4, false)
	if done {
		t.Fatal("got a placement on a full engine, want a wait")
	}
	for _, g := range book.engines["b"].generations {
		book.remove(g)
	}
	queue.Advance(now)
	select {
	case r := <-waiting:
		if r.Err != nil || r.Placement.Decode.ID != "b" {
			t.Errorf("got %q, %v, want b", r.Placement.Decode.ID, r.Err)
		}
	default:
		t.Error("got no placement, want one on the engine that is free")
	}
}
