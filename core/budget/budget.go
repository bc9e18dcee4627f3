// Package budget bounds the memory that a process holds for its peers.
package budget

import (
	"errors"
	"math"
	"sync"
	"time"
)

// Errors of Grow.
var (
	// ErrFull means that the budget is used up, and that no peer holds more and moves less than this one.
	ErrFull = errors.New("the memory for peers is used up")
	// ErrEvicted means that the lease was taken back for another peer.
	ErrEvicted = errors.New("the memory is needed for another peer")
)

const (
	// evictionTimeout is how long Grow waits for the memory of a peer that was evicted.
	evictionTimeout = time.Second
	// minIdle is the least time without progress that a lease counts with, so that of peers that all move the largest yields.
	minIdle = 100 * time.Millisecond
)

// Budget is a bound on the bytes that are held for all peers together. It is made for many peers that each send or read a part and
// then stop: the peer that holds most and moves least gives its memory up for one that moves. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu     sync.Mutex
	held   map[string]int64
	total  int64
	leases map[*Lease]bool
	// evictions counts the leases that were taken back, by kind.
	evictions map[string]int64
	// freed is closed and replaced when memory is given back.
	freed chan struct{}
}

// New returns a budget of the given number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, held: map[string]int64{}, leases: map[*Lease]bool{}, evictions: map[string]int64{}, freed: make(chan struct{})}
}

// Lease is the memory that is held for one peer. It is not safe for concurrent use, except for Evicted.
type Lease struct {
	budget *Budget
	kind   string
	// evict stops the use of the memory; nil if it cannot be stopped. It must not block.
	evict func()
	// The budget's lock guards the fields below.
	bytes   int64
	movedAt time.Time
	evicted bool
}

// Lease returns a lease of no bytes. The kind is a label for metrics. evict is called, from any goroutine, if the memory is needed for
// another peer; the holder must then release the lease soon. It must not call methods of the lease.
func (b *Budget) Lease(kind string, evict func()) *Lease {
	l := &Lease{budget: b, kind: kind, evict: evict, movedAt: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leases[l] = true
	return l
}

// Grow adds bytes to the lease. If the budget is used up, it takes the memory of a peer that holds more and moves less, and otherwise
// returns ErrFull. It returns ErrEvicted if the lease itself was taken back.
func (l *Lease) Grow(bytes int64) error {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	l.movedAt = time.Now()
	for deadline := l.movedAt.Add(evictionTimeout); ; {
		switch {
		case l.evicted:
			return ErrEvicted
		case b.total+bytes <= b.limit:
			b.add(l, bytes)
			return nil
		}
		now := time.Now()
		if !b.evictFor(now, l, bytes) || !now.Before(deadline) {
			return ErrFull
		}
		b.wait(deadline.Sub(now))
	}
}

// wait waits until memory is given back, at most for the given time. The caller must hold b.mu.
func (b *Budget) wait(d time.Duration) {
	freed := b.freed
	b.mu.Unlock()
	defer b.mu.Lock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	}
}

// evictFor takes leases back until those that are being given back make room for the bytes, and reports whether they do. The caller
// must hold b.mu.
func (b *Budget) evictFor(now time.Time, l *Lease, bytes int64) bool {
	ending := int64(0)
	for other := range b.leases {
		if other.evicted && other != l {
			ending += other.bytes
		}
	}
	for b.total-ending+bytes > b.limit {
		victim := b.victim(now, l, bytes)
		if victim == nil {
			return false
		}
		victim.evicted = true
		b.evictions[victim.kind]++
		ending += victim.bytes
		victim.evict()
	}
	return true
}

// victim returns the lease that holds most and moves least, or nil if that is the one that needs memory. The caller must hold b.mu.
func (b *Budget) victim(now time.Time, needy *Lease, bytes int64) *Lease {
	var worst *Lease
	highest := cost(needy.bytes+bytes, now.Sub(needy.movedAt))
	for l := range b.leases {
		if l == needy || l.evicted || l.evict == nil {
			continue
		}
		if c := cost(l.bytes, now.Sub(l.movedAt)); c > highest {
			worst, highest = l, c
		}
	}
	return worst
}

// cost returns what a peer costs that holds bytes and has not moved for some time.
func cost(bytes int64, idle time.Duration) float64 {
	return float64(bytes) * max(idle, minIdle).Seconds()
}

// add changes the bytes of a lease. The caller must hold b.mu.
func (b *Budget) add(l *Lease, bytes int64) {
	l.bytes += bytes
	b.total += bytes
	b.held[l.kind] += bytes
	if bytes < 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// Shrink gives a part of the bytes back.
func (l *Lease) Shrink(bytes int64) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.add(l, -min(bytes, l.bytes))
}

// Moved records that the peer has sent or read something.
func (l *Lease) Moved() {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.movedAt = time.Now()
}

// Keep makes the lease one that is not taken back, because what it holds is in use. It returns ErrEvicted if that is too late.
func (l *Lease) Keep() error {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.evicted {
		return ErrEvicted
	}
	l.evict = nil
	return nil
}

// Evicted reports whether the lease was taken back.
func (l *Lease) Evicted() bool {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.evicted
}

// Release gives all bytes back. A nil lease is ignored.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.budget.leases[l] {
		delete(l.budget.leases, l)
		l.budget.add(l, -l.bytes)
	}
}

// Use is what a budget holds for one kind of lease.
type Use struct {
	Kind string
	// Bytes are held now. Evictions is the number of leases that were taken back since the start.
	Bytes, Evictions int64
}

// Uses returns what the budget holds, by kind.
func (b *Budget) Uses() []Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	uses := make([]Use, 0, len(b.held))
	for kind, bytes := range b.held {
		uses = append(uses, Use{kind, bytes, b.evictions[kind]})
	}
	return uses
}

// Unlimited returns a budget without a bound.
func Unlimited() *Budget { return New(math.MaxInt64 / 2) }
