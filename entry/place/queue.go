package place

import (
	"errors"
	"slices"
	"time"
)

// Queue holds generations that wait for memory, in the order of their arrival; those of callers that were refused before
// and can no longer be served within the target come after all others and wait longer, instead of being refused again. In
// a burst, a generation is refused at once if those before it are expected to take the memory that becomes free while it
// may wait. A Queue is not safe for concurrent use.
type Queue struct {
	book       *Book
	estimators map[string]*RetryEstimator
	waiting    []*Waiting
}

// Waiting is a generation in a queue.
type Waiting struct {
	Need GenerationNeed
	// Until is when the generation is refused, Patience how long its caller waits from when the generation was added.
	Until    time.Time
	Patience time.Duration
	// Late is set if the caller can no longer be served within its target.
	Late bool
	// Done receives the result once.
	Done chan Result

	addedAt time.Time
}

// Result is the result of a request for engines.
type Result struct {
	Placement Placement
	// PlacedAt is when the placement of a generation that waited was made.
	PlacedAt time.Time
	// Err is nil, ErrNone or ErrBusy. RetryAfter is set with ErrBusy.
	Err        error
	RetryAfter time.Duration
}

// NewQueue returns an empty queue of generations that the book places.
func NewQueue(book *Book) *Queue { return &Queue{book: book, estimators: map[string]*RetryEstimator{}} }

// estimator returns the estimator of when refused callers of a service return.
func (q *Queue) estimator(service string) *RetryEstimator {
	r := q.estimators[service]
	if r == nil {
		r = &RetryEstimator{}
		q.estimators[service] = r
	}
	return r
}

// Add places a generation, refuses it, or lets it wait and returns false.
func (q *Queue) Add(now time.Time, w *Waiting) (Result, bool) {
	w.addedAt = now
	ahead := q.ahead(w)
	if ahead == 0 {
		p, err := q.book.Place(now, w.Need)
		if !errors.Is(err, ErrBusy) {
			return Result{Placement: p, Err: err}, true
		}
	}
	rate := max(1, q.estimator(w.Need.Service).completionRate)
	if now.Add(time.Duration(float64(ahead) / rate * float64(time.Second))).After(w.Until) {
		return q.refuse(now, w), true
	}
	q.waiting = append(q.waiting, w)
	return Result{}, false
}

// ahead returns the number of waiting generations that are placed before another one.
func (q *Queue) ahead(w *Waiting) int {
	n := 0
	for _, other := range q.waiting {
		if other.Need.Service == w.Need.Service && (w.Late || !other.Late) {
			n++
		}
	}
	return n
}

func (q *Queue) refuse(now time.Time, w *Waiting) Result {
	waited := now.Sub(w.addedAt)
	c := RefusedCaller{Target: w.Need.Target, Waited: waited, Patience: w.Patience - waited, Ahead: q.ahead(w)}
	if w.Late {
		c.Target = 0
	}
	return Result{Err: ErrBusy, RetryAfter: q.estimator(w.Need.Service).RetryDelay(now, c)}
}

// RecordEnds records that generations of a service ended.
func (q *Queue) RecordEnds(now time.Time, service string, n int) {
	for range n {
		q.estimator(service).RecordCompletion(now)
	}
}

// Cancel removes a generation whose caller no longer waits.
func (q *Queue) Cancel(w *Waiting) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// Advance places waiting generations in their order, and refuses those that waited for too long. It sends the results
// to Done. A generation that does not fit lets no later one of its service pass, unless it excludes engines itself.
func (q *Queue) Advance(now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	slices.SortStableFunc(q.waiting, func(a, b *Waiting) int {
		switch {
		case a.Late == b.Late:
			return 0
		case a.Late:
			return 1
		}
		return -1
	})
	blocked := map[string]bool{}
	var refused []*Waiting
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		service := w.Need.Service
		if !blocked[service] {
			if p, err := q.book.Place(now, w.Need); !errors.Is(err, ErrBusy) {
				w.Done <- Result{Placement: p, PlacedAt: now, Err: err}
				continue
			}
			blocked[service] = len(w.Need.Exclude) == 0 && len(w.Need.Full) == 0
		}
		if now.Before(w.Until) {
			kept = append(kept, w)
			continue
		}
		refused = append(refused, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	for _, w := range refused {
		w.Done <- q.refuse(now, w)
	}
}
