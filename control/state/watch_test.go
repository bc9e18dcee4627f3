package state

import (
	"fmt"
	"testing"

	"azuredoor.example/core/fleetpb"
)

// watcherView is the state that an entry derives from watch events.
type watcherView struct {
	index   uint64
	objects map[string]uint64
}

func (v *watcherView) apply(e *fleetpb.WatchEvent) {
	if e == nil {
		return
	}
	if e.Reset_ {
		v.objects = map[string]uint64{}
	}
	for _, object := range e.Objects {
		v.objects[object.Name] = object.Version
	}
	for _, ref := range e.DeletedObjects {
		delete(v.objects, ref.Name)
	}
	v.index = e.Index
}

// TestWatchResume guards against a watcher that misses or reverts a change when it resumes after any index, at the same
// or a restarted member.
func TestWatchResume(t *testing.T) {
	h := newHarness(t)
	watcher := &watcherView{}
	var events int
	for i := range 200 {
		name := fmt.Sprint("c", i%7)
		if i%5 == 4 {
			h.config(fmt.Sprint("r", i), &fleetpb.ObjectChange{Kind: "customer", Name: name, Delete: true, AnyVersion: true})
		} else {
			h.config(fmt.Sprint("r", i), customer(name, 1+i, -1))
		}
		if i%50 == 49 {
			restored := New()
			if err := restored.Restore(encode(t, h.machine)); err != nil {
				t.Fatal(err)
			}
			h.machine = restored
		}
		if i%3 == 0 {
			watcher.apply(h.machine.EventAfter(watcher.index))
			events++
		}
	}
	watcher.apply(h.machine.EventAfter(watcher.index))
	fresh := &watcherView{}
	fresh.apply(h.machine.EventAfter(0))
	if fmt.Sprint(watcher.objects) != fmt.Sprint(fresh.objects) || watcher.index != fresh.index {
		t.Errorf("after %d events: got %v at %d, want %v at %d", events, watcher.objects, watcher.index, fresh.objects, fresh.index)
	}
	if got := h.machine.EventAfter(h.index + 1); got != nil {
		t.Errorf("watcher ahead of the member: got %v, want nil", got)
	}
}

// TestWatchFarBehindGetsWholeState guards against a gap when old changes have been dropped from the bounded list.
func TestWatchFarBehindGetsWholeState(t *testing.T) {
	h := newHarness(t)
	h.config("r", customer("mill", 1, 0))
	start := h.index
	for i := range uint64(2*maxRecentChanges + 1) {
		h.machine.mu.Lock()
		h.machine.applied++
		h.machine.recordChange(changeKey{kind: changedSession, session: i})
		h.machine.mu.Unlock()
	}
	if got := h.machine.EventAfter(start); !got.Reset_ {
		t.Error("far behind: got changes, want the whole state")
	}
	if got := h.machine.EventAfter(h.machine.Applied() - 10); got.Reset_ || len(got.EndedSessions) != 10 {
		t.Errorf("10 changes behind: got reset %v and %d changes, want 10 changes", got.Reset_, len(got.EndedSessions))
	}
}
