package budget

import (
	"errors"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestIdlePeersYield guards against peers that have stopped and keep others from memory, and against one that moves losing its memory
// to one that holds more.
func TestIdlePeersYield(t *testing.T) {
	b := New(100)
	evicted := map[string]bool{}
	lease := func(name string, bytes int64, idle time.Duration) *Lease {
		t.Helper()
		l := b.Lease(name, func() { evicted[name] = true })
		if err := l.Grow(bytes); err != nil {
			t.Fatal(err)
		}
		l.movedAt = time.Now().Add(-idle)
		return l
	}
	small, large, idle := lease("small", 10, time.Minute), lease("large", 60, time.Second), lease("idle", 30, time.Hour)
	needy := b.Lease("needy", nil)
	done := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		done <- needy.Grow(20)
		return nil
	})
	for !idle.Evicted() {
		time.Sleep(time.Millisecond)
	}
	idle.Release()
	if err := <-done; err != nil {
		t.Errorf("got %v, want the memory of the idle peer", err)
	}
	if !evicted["idle"] || evicted["large"] || evicted["small"] {
		t.Errorf("got %v evicted, want the one that holds most for the longest time", evicted)
	}
	if err := idle.Grow(1); !errors.Is(err, ErrEvicted) {
		t.Errorf("evicted: got %v, want %v", err, ErrEvicted)
	}
	if err := b.Lease("huge", nil).Grow(1000); !errors.Is(err, ErrFull) {
		t.Errorf("more than the budget: got %v, want %v", err, ErrFull)
	}
	small.Release()
	large.Release()
	needy.Release()
	needy.Release()
	for _, use := range b.Uses() {
		if use.Bytes != 0 {
			t.Errorf("got %d bytes of kind %s left, want none", use.Bytes, use.Kind)
		}
	}
}

// TestKeptMemoryStays guards against memory that is taken back while a request uses it.
func TestKeptMemoryStays(t *testing.T) {
	b := New(100)
	kept := b.Lease("kept", func() { t.Error("got the kept lease evicted") })
	if err := errors.Join(kept.Grow(90), kept.Keep()); err != nil {
		t.Fatal(err)
	}
	kept.movedAt = time.Now().Add(-time.Hour)
	needy := b.Lease("needy", nil)
	if err := needy.Grow(20); !errors.Is(err, ErrFull) {
		t.Errorf("got %v, want %v", err, ErrFull)
	}
	if err := needy.Grow(10); err != nil {
		t.Errorf("what is left: got %v, want it", err)
	}
}
