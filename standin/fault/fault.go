// Package fault holds the faults that a test injects into a stand-in over POST /fault.
package fault

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kinds of faults.
const (
	// Slow multiplies all processing times by Factor.
	Slow = "slow"
	// Freeze stops all responses, streams included, and leaves the connections open.
	Freeze = "freeze"
	// Refuse responds to new requests with status 503.
	Refuse = "refuse"
	// DropStream closes the connection of a stream after Tokens tokens.
	DropStream = "dropStream"
	// CrossAnswers inserts tokens of another request into a stream, with the ID of the other request. A plain service
	// sends its previous response instead.
	CrossAnswers = "crossAnswers"
	// LateTokens delays each token by DelayMs.
	LateTokens = "lateTokens"
	// LostEvents drops the fraction Share of the events.
	LostEvents = "lostEvents"
	// TransferStall stops outgoing KV transfers.
	TransferStall = "transferStall"
	// Exit ends the process without announcing that the upstream leaves.
	Exit = "exit"
	// Leave makes the upstream announce that it is leaving.
	Leave = "leave"
	// Silent stops announcements.
	Silent = "silent"
	// Off removes all faults.
	Off = "off"
)

var kinds = []string{Slow, Freeze, Refuse, DropStream, CrossAnswers, LateTokens, LostEvents, TransferStall, Exit, Leave, Silent, Off}

// Fault is the body of POST /fault.
type Fault struct {
	Kind string `json:"kind"`
	// Factor multiplies processing times for Slow; it defaults to 4.
	Factor float64 `json:"factor,omitempty"`
	// Tokens is the number of tokens sent before DropStream takes effect.
	Tokens int `json:"tokens,omitempty"`
	// Count limits how often the fault is triggered; 0 means no limit.
	Count int `json:"count,omitempty"`
	// Share is the probability that the fault is triggered at each opportunity; 0 means always.
	Share float64 `json:"share,omitempty"`
	// DelayMs is the delay of LateTokens; it defaults to 1000.
	DelayMs int `json:"delayMs,omitempty"`
}

type activeFault struct {
	Fault
	triggered int
	ended     chan struct{}
}

// Set holds the active faults of one stand-in, by kind.
type Set struct {
	mu     sync.Mutex
	active map[string]*activeFault
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{active: map[string]*activeFault{}} }

// Put activates a fault, in place of an active fault of the same kind. The kind Off removes all faults instead.
func (s *Set) Put(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind, old := range s.active {
		if kind == f.Kind || f.Kind == Off {
			close(old.ended)
			delete(s.active, kind)
		}
	}
	if f.Kind != Off {
		s.active[f.Kind] = &activeFault{Fault: f, ended: make(chan struct{})}
	}
}

// Active returns the active fault of a kind, without counting it as triggered.
func (s *Set) Active(kind string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.active[kind]; ok {
		return f.Fault, true
	}
	return Fault{}, false
}

// Trigger reports whether the fault applies to this opportunity, by its Count and Share, and counts it if so.
func (s *Set) Trigger(kind string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.active[kind]
	if !ok || f.Count > 0 && f.triggered >= f.Count || f.Share > 0 && rand.Float64() >= f.Share {
		return Fault{}, false
	}
	f.triggered++
	return f.Fault, true
}

// Scale returns a processing time multiplied by the factor of Slow while that fault is active.
func (s *Set) Scale(d time.Duration) time.Duration {
	f, ok := s.Active(Slow)
	if !ok {
		return d
	}
	if f.Factor <= 0 {
		f.Factor = 4
	}
	return time.Duration(float64(d) * f.Factor)
}

// Delay returns the delay of the next token: that of LateTokens if the fault is triggered, else 0.
func (s *Set) Delay() time.Duration {
	f, ok := s.Trigger(LateTokens)
	switch {
	case !ok:
		return 0
	case f.DelayMs <= 0:
		return time.Second
	}
	return time.Duration(f.DelayMs) * time.Millisecond
}

// Wait waits until no fault of the kind is active, or returns the context's error.
func (s *Set) Wait(ctx context.Context, kind string) error {
	for {
		s.mu.Lock()
		f, ok := s.active[kind]
		s.mu.Unlock()
		if !ok {
			return nil
		}
		select {
		case <-f.ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Handler wraps the handler of a stand-in: it serves POST /fault and applies Freeze and Refuse to all other requests
// except those for statistics and executions.
func (s *Set) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/fault":
			s.serve(w, r)
			return
		case "/stats", "/executions":
			next.ServeHTTP(w, r)
			return
		}
		if err := s.Wait(r.Context(), Freeze); err != nil {
			return
		}
		if _, ok := s.Trigger(Refuse); ok {
			http.Error(w, `{"reason":"refused"}`, http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Set) serve(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "the body is not a fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	if !slices.Contains(kinds, f.Kind) {
		http.Error(w, "want kind to be one of "+strings.Join(kinds, ", "), http.StatusBadRequest)
		return
	}
	s.Put(f)
	w.WriteHeader(http.StatusNoContent)
	if f.Kind == Exit {
		time.AfterFunc(20*time.Millisecond, func() { os.Exit(3) })
	}
}
