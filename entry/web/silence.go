package web

import (
	"context"
	"errors"
	"sync"
	"time"

	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/place"
	"azuredoor.example/entry/retry"
)

// searchPollInterval is how often a request with a silent upstream checks whether another upstream was found.
const searchPollInterval = 20 * time.Millisecond

// maxPrefillSilence bounds a prefill on a silent engine. A sound engine may be silent for a second or two.
const maxPrefillSilence = 3 * time.Second

// successor is an upstream that can take a request over from a silent one.
type successor struct {
	placement   placement
	need        place.Need
	reservation string
	generation  place.Generation
}

// search looks for a successor while the silent upstream is still being read.
type search struct {
	cancel context.CancelFunc

	mu sync.Mutex
	// done is set when the search has ended, found if it ended with a successor. abandoned is set if nobody takes it.
	done, abandoned bool
	found           *successor
}

// onSilence returns the function that conn.Call.OnSilence describes, or nil if no other upstream may take over.
func (q *request) onSilence(s *attempt) func() time.Time {
	if s.prefill {
		return func() time.Time { return q.onSilentPrefill(s) }
	}
	if !q.mayBeRepeated() || q.isCopy {
		return nil
	}
	return func() time.Time {
		if q.ctx.Err() != nil {
			return time.Time{}
		}
		if q.hedge.close() {
			q.trace.silentChecks++
			return time.Now().Add(retry.Silence{Checks: q.trace.silentChecks}.Recheck())
		}
		silence := retry.Silence{
			Repeatable: q.idempotent() && !q.positionUnknown, Runs: q.possibleRuns + 1, MaxRuns: q.route.MaxAttempts,
			Checks: q.trace.silentChecks,
		}
		if q.search == nil {
			silence.BudgetAvailable = q.retryTaken || q.router.retryAvailable(q.service)
			if silence.MayLeave() {
				q.startSearch(s)
			}
		}
		if q.search != nil {
			next, done := q.search.result()
			if !done {
				return time.Now().Add(searchPollInterval)
			}
			q.search, q.successor = nil, next
			if next != nil && q.takeRetry() {
				return time.Time{}
			}
			q.dropSuccessor()
		}
		q.trace.silentChecks++
		return time.Now().Add(silence.Recheck())
	}
}

// onSilentPrefill ends a prefill if the retry budget allows the decode engine to process the prompt itself, if a stream has to
// resume, or if the engine has been silent for so long that it will hardly respond. The caller of a request that has not run can
// then retry.
func (q *request) onSilentPrefill(s *attempt) time.Time {
	if q.ctx.Err() != nil || q.takeRetry() || q.mayHaveRun || time.Since(s.began) > maxPrefillSilence {
		return time.Time{}
	}
	q.trace.silentChecks++
	return time.Now().Add(retry.Silence{Checks: q.trace.silentChecks}.Recheck())
}

// mayBeRepeated reports whether the route allows an attempt after the current one.
func (q *request) mayBeRepeated() bool {
	return q.idempotent() && q.possibleRuns+1 < q.route.MaxAttempts
}

// startSearch looks for a successor of a silent upstream in the background.
func (q *request) startSearch(s *attempt) {
	ctx, cancel := context.WithCancel(q.ctx)
	search := &search{cancel: cancel}
	q.search = search
	// The copy has what the choice of an upstream needs, and a generation and a trace of its own.
	other := &request{
		router: q.router, x: q.x, call: q.call, ctx: ctx, document: q.document, route: q.route, service: q.service,
		deadline: q.deadline, need: q.need, late: q.late, expectedOutput: q.expectedOutput, mayHaveRun: true,
		trace: trace{events: q.trace.events},
	}
	other.need.Exclude = append([]string(nil), q.need.Exclude...)
	other.exclude(s.upstream)
	q.router.config.Background.Go(func() error {
		defer cancel()
		other.successor = other.findSuccessor()
		search.mu.Lock()
		defer search.mu.Unlock()
		if search.done = true; search.abandoned {
			other.dropSuccessor()
			return nil
		}
		search.found = other.successor
		return nil
	})
}

// result returns the successor, or nil if there is none, and reports whether the search has ended.
func (s *search) result() (*successor, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.found, s.done
}

// endSearch ends a search because the silent upstream has responded or the attempt has ended.
func (q *request) endSearch() {
	search := q.search
	if search == nil {
		return
	}
	q.search = nil
	search.cancel()
	search.mu.Lock()
	search.abandoned = true
	found := search.found
	search.mu.Unlock()
	if found != nil {
		(&request{router: q.router, document: q.document, service: q.service, successor: found}).dropSuccessor()
	}
}

// findSuccessor chooses an upstream, and reserves memory there or ensures that a connection exists. It returns nil if there
// is none within the time that an interrupted stream waits for memory.
func (q *request) findSuccessor() *successor {
	until := time.Now().Add(resumeWaitFactor * q.route.Target)
	var full []string
	for range maxResumeReserves {
		p, ok := q.chooseSuccessor(until, full)
		if !ok {
			return nil
		}
		reservation, outcome := q.secure(p)
		if outcome == place.Served {
			return &successor{placement: p, need: q.need, reservation: reservation, generation: q.generation}
		}
		q.endGeneration()
		q.router.endAttempt(p.decode, q.need, outcome)
		if outcome == place.Full {
			full = append(full, p.decode.ID)
		} else {
			others := len(q.need.Exclude)
			if q.exclude(p.decode); len(q.need.Exclude) == others {
				return nil
			}
		}
	}
	return nil
}

func (q *request) chooseSuccessor(until time.Time, full []string) (placement, bool) {
	if q.route.Stream {
		p, refused := q.findEngines(until, full)
		return p, refused == nil
	}
	u, err := q.router.pick(q.ctx, q.need, until)
	return placement{decode: u}, err == nil
}

// secure reserves memory on an engine, or ensures that a connection to another upstream exists.
func (q *request) secure(p placement) (reservation string, outcome place.Outcome) {
	if q.route.Stream {
		reservation, outcome, _ = q.reserve(p)
		return reservation, outcome
	}
	service := q.document.Services[p.decode.Service]
	switch err := q.router.config.Pool.EnsureConnection(q.ctx, p.decode.Address, q.router.connections(service)); {
	case err == nil:
		return "", place.Served
	case q.ctx.Err() != nil || errors.Is(err, conn.ErrLimit):
		return "", place.Cancelled
	}
	return "", place.Unreachable
}

// takeSuccessor returns the successor and passes its generation to the request.
func (q *request) takeSuccessor() *successor {
	next := q.successor
	if q.successor = nil; next != nil {
		q.generation = next.generation
	}
	return next
}

// dropSuccessor frees what an unused successor holds.
func (q *request) dropSuccessor() {
	next := q.successor
	if next == nil {
		return
	}
	q.successor = nil
	if id := next.generation.ID; id != 0 && q.router.generations.remove(id) && q.router.config.Placer != nil {
		q.router.config.Placer.Changed()
	}
	q.router.endAttempt(next.placement.decode, next.need, place.Cancelled)
	q.releaseReservation(next.placement.decode.Address, next.reservation)
}

// retryAvailable reports whether the retry budget of a service allows another retry.
func (r *Router) retryAvailable(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Available(time.Now(), r.config.RetryPercent, r.budgetEntries(), r.knownPart())
}
