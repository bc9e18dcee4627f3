package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/fleetpb"
)

const announceParallel = 64

// announce announces upstreams until n upstreams are announced. The sessions then renew the announcements in their
// keepalives. If address is empty, each upstream gets its own address, on which no process listens.
func (b *testbed) announce(ctx context.Context, n int, kind, address string) error {
	var group errgroup.Group
	group.SetLimit(announceParallel)
	for i := b.upstreams; i < n; i++ {
		u := &fleetpb.Upstream{
			Id: fmt.Sprintf("upstream-%05d", i), Incarnation: 1_700_000_000_000, Sequence: 1, Kind: kind, Pool: servicePool,
			FailureDomain: "a", Slots: 20, State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE, Address: address,
		}
		if address == "" {
			u.Address = fmt.Sprintf("127.1.%d.%d:9000", i/250, 1+i%250)
		}
		if kind == "engine" {
			u.Role, u.Pool, u.Models = "both", enginePool, []string{"model"}
		}
		session := b.sessions.list[i%announcers]
		group.Go(func() error { return session.announce(ctx, u) })
	}
	b.upstreams = n
	return group.Wait()
}

// announce announces an upstream and adds it to the keepalives of the session.
func (s *session) announce(ctx context.Context, u *fleetpb.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := s.call.AnnounceUpstream(ctx, &fleetpb.AnnounceUpstreamRequest{Upstream: u})
	if err != nil {
		return eris.Wrap(err, "announce an upstream")
	}
	if response.Code != fleetpb.ResultCode_RESULT_CODE_OK {
		return eris.Errorf("the announcement of %s got result code %v, want OK", u.Id, response.Code)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The list is copied because a concurrent keepalive may still read the old list.
	s.alive = append(s.alive[:len(s.alive):len(s.alive)], &fleetpb.UpstreamRef{Id: u.Id, Incarnation: u.Incarnation})
	return nil
}

// distributeUpstreams distributes the upstreams evenly over all sessions.
func (s *sessions) distributeUpstreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var refs []*fleetpb.UpstreamRef
	for _, entry := range s.list {
		entry.mu.Lock()
		refs = append(refs, entry.alive...)
		entry.mu.Unlock()
	}
	shares := make([][]*fleetpb.UpstreamRef, len(s.list))
	for i, ref := range refs {
		shares[i%len(shares)] = append(shares[i%len(shares)], ref)
	}
	for i, entry := range s.list {
		entry.mu.Lock()
		entry.alive = shares[i]
		entry.mu.Unlock()
	}
}

// sweepSubscriptions varies the number of engines whose events the entry reads. Each engine sends load events at the
// interval of the stand-in engine.
func sweepSubscriptions(ctx context.Context, b *testbed) error {
	if err := b.sessions.grow(ctx, announcers); err != nil {
		return err
	}
	stub, err := newUpstreamStub(b.fleet.Address(stubHostNumber, stubPort))
	if err != nil {
		return err
	}
	defer func() { _ = stub.close() }()
	for _, n := range subscriptionPoints {
		if err := b.announce(ctx, n, "engine", stub.address); err != nil {
			return err
		}
		s, err := b.measure(ctx, nil)
		if err != nil {
			return err
		}
		b.record("subscriptions", float64(n), s)
	}
	return nil
}

const (
	stubHostNumber = 200
	stubPort       = 9000
	// loadInterval is the interval of load events; the stand-in engine uses the same interval.
	loadInterval = 200 * time.Millisecond
)

// upstreamStub serves the requests of the entry to all simulated upstreams, on one address.
type upstreamStub struct {
	address string
	server  *http.Server
	group   errgroup.Group
}

func newUpstreamStub(address string) (*upstreamStub, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for requests of the entry")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/events", serveEvents)
	mux.HandleFunc("GET /v1/requests", func(w http.ResponseWriter, _ *http.Request) {
		// A write fails only if the entry has disconnected.
		_, _ = w.Write([]byte(`{"requests":[]}`))
	})
	mux.HandleFunc("GET /hold", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	s := &upstreamStub{address: address, server: &http.Server{Handler: mux, ReadHeaderTimeout: callTimeout}}
	s.group.Go(func() error { return s.server.Serve(listener) })
	return s, nil
}

// serveEvents serves an event stream that sends one load event per loadInterval.
func serveEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		data, err := json.Marshal(map[string]any{
			"incarnation": 1_700_000_000_000, "sequence": sequence, "kind": "load", "running": 3, "waiting": 0, "freeSlots": 17, "lagMs": 300,
		})
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil || out.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *upstreamStub) close() error {
	err := s.server.Close()
	_ = s.group.Wait()
	return eris.Wrap(err, "close the upstream stub")
}
