package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"azuredoor.example/core/fleetpb"
)

// fakeService is a plain HTTP service that counts executions by path.
type fakeService struct {
	*httptest.Server
	mu          sync.Mutex
	executions  map[string]int
	received    strings.Builder
	delay       time.Duration
	closedEarly int
}

func newFakeService(t *testing.T) *fakeService {
	s := &fakeService{executions: map[string]int{}}
	s.Server = httptest.NewServer(s)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.executions[r.URL.Path]++
	n, delay := s.executions[r.URL.Path], s.delay
	fmt.Fprintf(&s.received, "%s %v %s\n", r.URL, r.Header, body)
	s.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		s.mu.Lock()
		s.closedEarly++
		s.mu.Unlock()
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "run %d of %s", n, body)
}

func (s *fakeService) count(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[path]
}

// TestAtMostOnce guards against a second execution under one idempotency key, and against replaying the stored response
// to a different request.
func TestAtMostOnce(t *testing.T) {
	s := newFakeService(t)
	f := newFixture(t, nil, serviceUpstream("s", s.Listener.Addr().String()))
	first := f.do(t, "POST", "/bookings/1?day=2", "loom", headerIdempotencyKey, "k1")
	if first.status != 200 || first.body != "run 1 of loom" || first.header.Get(headerReplayed) != "" {
		t.Fatalf("got %d %q, want the first run", first.status, first.body)
	}
	again := f.do(t, "POST", "/bookings/1?day=2", "loom", headerIdempotencyKey, "k1")
	if again.body != first.body || again.header.Get(headerReplayed) != "true" || again.header.Get("Content-Type") != "text/plain" {
		t.Errorf("got %q, replayed %q, want the stored response", again.body, again.header.Get(headerReplayed))
	}
	for _, other := range [][2]string{{"/bookings/1?day=3", "loom"}, {"/bookings/1?day=2", "room"}} {
		if got := f.do(t, "POST", other[0], other[1], headerIdempotencyKey, "k1"); got.status != 422 || got.header.Get(headerOutcome) != "notRun" {
			t.Errorf("%v: got %d %s, want 422 notRun", other, got.status, got.body)
		}
	}
	if got := s.count("/bookings/1"); got != 1 {
		t.Errorf("got %d executions, want 1", got)
	}
	if !strings.Contains(s.received.String(), "Azuredoor-Customer:[workshop]") || strings.Contains(s.received.String(), testKey) {
		t.Errorf("service received %s, want the customer and no key", s.received.String())
	}
}

// TestClaimResponseLost guards against a claim that stays in progress although the request was never sent. That happens
// when the response to the claim is lost.
func TestClaimResponseLost(t *testing.T) {
	s := newFakeService(t)
	f := newFixture(t, nil, serviceUpstream("s", s.Listener.Addr().String()))
	f.claims.loseResponses = 1
	if got := f.do(t, "POST", "/bookings/1", "", headerIdempotencyKey, "k"); got.status != 503 || got.header.Get(headerOutcome) != "notRun" {
		t.Errorf("got %d %s, want 503 notRun", got.status, got.body)
	}
	waitFor(t, time.Second, "the claim's release", func() bool {
		return f.claims.state("workshop/k") == fleetpb.ClaimState_CLAIM_STATE_NOT_RUN
	})
	if got := f.do(t, "POST", "/bookings/1", "", headerIdempotencyKey, "k"); got.status != 200 {
		t.Errorf("got %d, want 200", got.status)
	}
}

func waitFor(t *testing.T, timeout time.Duration, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within %v", what, timeout)
		}
	}
}

// TestConnectionRefused guards against the outcome "unknown" for a request that cannot have reached the service, because
// nothing listens on the service's address.
func TestConnectionRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	f := newFixture(t, nil, serviceUpstream("s", address))
	if got := f.do(t, "POST", "/bookings/1", "", headerIdempotencyKey, "k"); got.status < 500 || got.header.Get(headerOutcome) != "notRun" {
		t.Errorf("got %d %s, want an error with notRun", got.status, got.body)
	}
	if got := f.claims.state("workshop/k"); got != fleetpb.ClaimState_CLAIM_STATE_NOT_RUN {
		t.Errorf("got claim state %v, want notRun", got)
	}
}
