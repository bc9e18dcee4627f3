package place

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// Queue holds generations of all entries that wait for memory, the more urgent ones first, and those of one priority in
// the order of their arrival. It is made for a burst of less urgent work that fills the engines: an urgent generation
// takes the next memory that becomes free. So that the others are not left out, one of them goes first after maxPassed
// placements that passed it by. Generations of callers that were refused before and can no longer be served within the
// target come after all others and wait longer, instead of being refused again. In a burst, a generation is refused at
// once if those before it are expected to take the memory that becomes free while it may wait. A Queue is not safe for
// concurrent use.
type Queue struct {
	book       *Book
	estimators map[string]*RetryEstimator
	waiting    []*Waiting
	// passed counts, by service, the placements since a less urgent generation that waits was placed.
	passed map[string]int
}

// maxPassed is the number of more urgent generations that pass a less urgent one by.
const maxPassed = 8

// Waiting is a generation in a queue.
type Waiting struct {
	Need GenerationNeed
	// Until is when the generation is refused, Patience how long its caller waits from when the generation was added.
	Until    time.Time
	Patience time.Duration
	// Priority is the priority of the generation; 0 is the most urgent.
	Priority int
	// Late is set if the caller can no longer be served within its target.
	Late bool
	// Done receives the result once.
	Done chan Result

	addedAt time.Time
}

// order compares the places of two waiting generations. It is 0 for those in the order of their arrival.
func (w *Waiting) order(other *Waiting) int {
	if w.Late != other.Late {
		if w.Late {
			return 1
		}
		return -1
	}
	return cmp.Compare(w.Priority, other.Priority)
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
func NewQueue(book *Book) *Queue {
	return &Queue{book: book, estimators: map[string]*RetryEstimator{}, passed: map[string]int{}}
}

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
		if other.Need.Service == w.Need.Service && other.order(w) <= 0 {
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

// raisePassed moves the first of the least urgent generations of a service to the front, if it has been passed by often enough.
func (q *Queue) raisePassed() {
	for service, n := range q.passed {
		if n < maxPassed {
			continue
		}
		raised := -1
		for i, w := range q.waiting {
			if w.Need.Service == service && !w.Late && (raised < 0 || w.Priority > q.waiting[raised].Priority) {
				raised = i
			}
		}
		if raised > 0 {
			w := q.waiting[raised]
			copy(q.waiting[1:raised+1], q.waiting[:raised])
			q.waiting[0] = w
		}
	}
}

// countPassed records the placement of a generation that waited before the others.
func (q *Queue) countPassed(placed *Waiting, others []*Waiting) {
	service := placed.Need.Service
	for _, w := range others {
		if w.Need.Service == service && !w.Late && w.Priority > placed.Priority {
			q.passed[service]++
			return
		}
	}
	delete(q.passed, service)
}

// Advance places waiting generations in their order, and refuses those that waited for too long. It sends the results
// to Done. A generation that does not fit lets no later one of its service pass, unless it can't use all engines.
func (q *Queue) Advance(now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	slices.SortStableFunc(q.waiting, (*Waiting).order)
	q.raisePassed()
	blocked := map[string]bool{}
	var refused []*Waiting
	var kept []*Waiting
	for i, w := range q.waiting {
		service := w.Need.Service
		if !blocked[service] {
			if p, err := q.book.Place(now, w.Need); !errors.Is(err, ErrBusy) {
				w.Done <- Result{Placement: p, PlacedAt: now, Err: err}
				q.countPassed(w, q.waiting[i+1:])
				continue
			}
			blocked[service] = len(w.Need.Exclude) == 0 && len(w.Need.Full) == 0 && !w.Need.SameSoftware
		}
		if now.Before(w.Until) {
			kept = append(kept, w)
			continue
		}
		refused = append(refused, w)
	}
	q.waiting = kept
	for _, w := range refused {
		w.Done <- q.refuse(now, w)
	}
}
