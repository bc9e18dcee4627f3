package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/conn"
)

// TestSubscriptions guards against event streams that are not reopened after they break or stall, and against streams
// that stay open after their engine was removed.
func TestSubscriptions(t *testing.T) {
	var calls, ended atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := calls.Add(1)
		fmt.Fprintf(w, "data: {\"sequence\":%d,\"kind\":\"cacheAdd\",\"hashes\":[18446744073709551615]}\n\n", call)
		w.(http.Flusher).Flush()
		if call > 1 { // the first connection breaks, the later ones stall
			<-r.Context().Done()
			ended.Add(1)
		}
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	events := make(chan Event, 10)
	client := NewClient(conn.NewPool(conn.Options{}), Options{ReadTimeout: 100 * time.Millisecond})
	s := NewSubscriptions(ctx, &group, client, event.Discard(), func(id string, e Event) {
		if id == "e" {
			events <- e
		}
	})
	upstreams := map[string]*fleetpb.Upstream{"e": {Id: "e", Kind: "engine", Address: server.Listener.Addr().String()}}
	s.Set(upstreams)
	s.Set(upstreams)
	for want := uint64(1); want <= 3; want++ {
		select {
		case e := <-events:
			if e.Sequence != want || e.Kind != "cacheAdd" || len(e.Hashes) != 1 || e.Hashes[0] != 1<<64-1 {
				t.Errorf("got %+v, want event %d", e, want)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("event %d did not arrive within 2 s", want)
		}
	}
	s.Set(nil)
	for deadline := time.Now().Add(time.Second); ended.Load() < 2; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("event stream of a removed engine was still open after 1 s")
		}
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
