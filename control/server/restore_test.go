package server

import (
	"context"
	"os"
	"testing"
	"time"

	"azuredoor.example/core/fleetpb"
)

// TestOldFilesBringNothingBack guards against a document, and an upstream that has left, that are in use again after a member was
// restarted with a copy of its files from before, alone or together with all others. The longer log of the others must win.
func TestOldFilesBringNothingBack(t *testing.T) {
	for name, restartAll := range map[string]bool{"one member": false, "all members": true} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			group := newGroup(t, 3)
			old := &fleetpb.Upstream{
				Id: "u", Incarnation: 1, Sequence: 5, Address: "127.0.0.1:9", Kind: "service", Pool: "s", Slots: 1, State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE,
			}
			if err := group[0].server.Announce(ctx, old); err != nil {
				t.Fatal(err)
			}
			if _, err := group[0].server.PutDocument(ctx, 1, []byte("with the key")); err != nil {
				t.Fatal(err)
			}
			restored := group[2]
			awaitDocument(t, restored, 1)
			restored.shutDown()
			copied := t.TempDir()
			if err := os.CopyFS(copied, os.DirFS(restored.dir)); err != nil {
				t.Fatal(err)
			}
			restored.start()
			if err := group[0].server.Withdraw(ctx, "u", old.Incarnation); err != nil {
				t.Fatal(err)
			}
			if _, err := group[0].server.PutDocument(ctx, 2, []byte("without the key")); err != nil {
				t.Fatal(err)
			}
			for _, p := range group {
				awaitDocument(t, p, 2)
			}
			stopped := []*process{restored}
			if restartAll {
				stopped = group
			}
			for _, p := range stopped {
				p.shutDown()
			}
			restored.dir = copied
			for _, p := range stopped {
				p.start()
			}
			for i, p := range group {
				document, err := p.server.Document(ctx)
				if err != nil || document.GetVersion() != 2 || string(document.GetData()) != "without the key" {
					t.Errorf("member %d: got document %v, %v, want version 2", i+1, document, err)
				}
			}
			checkWatch(ctx, t, group, restored)
			if err := restored.server.Announce(ctx, old); err == nil {
				t.Error("late announcement of the upstream that left: got no error, want it to be stale")
			}
		})
	}
}

// awaitDocument waits until a member has applied a version of the document.
func awaitDocument(t *testing.T, p *process, version uint64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); p.server.LocalDocument().GetVersion() != version; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("member %d has version %d, want %d within 10 s", p.number, p.server.LocalDocument().GetVersion(), version)
		}
	}
}

// checkWatch checks what an entry that has just started knows by the time at which it may rely on it: the watch of the restored
// member, up to the index that the leader confirms to the entry.
func checkWatch(ctx context.Context, t *testing.T, group []*process, restored *process) {
	t.Helper()
	client := dial(t, leaderOf(t, group))
	opened, err := client.OpenSession(ctx, &fleetpb.OpenSessionRequest{Name: "entry-1", PeerAddress: "127.0.0.1:1", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	alive, err := client.Keepalive(ctx, &fleetpb.KeepaliveRequest{SessionId: opened.SessionId})
	if err != nil {
		t.Fatal(err)
	}
	watch, err := dial(t, restored).Watch(ctx, &fleetpb.WatchRequest{})
	if err != nil {
		t.Fatal(err)
	}
	state, version := fleetpb.UpstreamState(0), uint64(0)
	for index := uint64(0); index < alive.StateIndex; {
		event, err := watch.Recv()
		if err != nil {
			t.Fatal(err)
		}
		index = event.Index
		if event.Document != nil {
			version = event.Document.Version
		}
		for _, u := range event.Upstreams {
			state = u.State
		}
	}
	if version != 2 || state == fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE || state == 0 {
		t.Errorf("watch of the restored member up to the confirmed index: got version %d and state %v, want version 2 and an upstream that has left", version, state)
	}
}
