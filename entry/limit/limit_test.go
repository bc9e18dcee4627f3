package limit

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"azuredoor.example/core/config"
)

// faults configures the faults of a simulated fleet.
type faults struct {
	lossRate, duplicateRate float64
	maxDelay                time.Duration
	drift                   float64
	pauses, ownerCrashes    bool
	changeLimit             bool
	refundRate              float64
	// reports makes a new owner treat all loans as known once each entry has reported.
	reports bool
}

type event struct {
	at  time.Duration
	run func()
}

type charge struct {
	at     time.Duration
	tokens int64
}

type queuedCharge struct {
	since  time.Duration
	tokens int64
}

type entryNode struct {
	borrower    *Borrower
	speed       float64
	offset      time.Duration
	pausedUntil time.Duration
	queue       []queuedCharge
}

func (n *entryNode) clock(at time.Duration) time.Time {
	return time.Unix(1000, 0).Add(n.offset + time.Duration(float64(at)*n.speed))
}

// fleet simulates entries that borrow from one owner at a time over an unreliable network.
type fleet struct {
	random      *rand.Rand
	faults      faults
	limit       config.Limit
	maxBurst    int64
	maxRate     int64
	now         time.Duration
	events      []event
	nodes       []*entryNode
	owner       *Owner
	ownerNode   *entryNode
	reported    map[uint64]bool
	admitted    []charge
	longestWait time.Duration
	refused     int
	offered     int
	failure     string
}

const (
	simBucket = "customer"
	// queueTimeout is how long package policy lets a request wait for tokens.
	queueTimeout = 2 * time.Second
)

func newFleet(seed uint64, nodes int, limit config.Limit, f faults) *fleet {
	s := &fleet{random: rand.New(rand.NewPCG(seed, 7)), faults: f, limit: limit, maxBurst: limit.BurstTokens, maxRate: limit.TokensPerSecond}
	for i := range nodes {
		speed := 1 + f.drift*(2*s.random.Float64()-1)
		if i%2 == 0 && f.drift > 0 {
			speed = 1 + f.drift*float64(1-i%4)
		}
		n := &entryNode{borrower: NewBorrower(uint64(i + 1)), speed: speed, offset: time.Duration(s.random.Int64N(int64(time.Hour)))}
		n.borrower.SetEntries(nodes)
		s.nodes = append(s.nodes, n)
	}
	s.ownerNode = &entryNode{speed: 1 + f.drift}
	s.owner = NewOwner()
	s.owner.Open(s.ownerNode.clock(0), simBucket, limit, Start{Full: true})
	return s
}

func (s *fleet) schedule(d time.Duration, run func()) {
	at := s.now + d
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > at })
	s.events = slices.Insert(s.events, i, event{at, run})
}

// transmit runs f after a random delay, and with the probabilities of the faults not at all or twice.
func (s *fleet) transmit(f func()) {
	copies := 1
	if s.random.Float64() < s.faults.duplicateRate {
		copies = 2
	}
	for range copies {
		if s.random.Float64() < s.faults.lossRate {
			continue
		}
		s.schedule(time.Millisecond+time.Duration(s.random.Int64N(int64(s.faults.maxDelay)+1)), f)
	}
}

func (s *fleet) send(n *entryNode, r Request) {
	s.transmit(func() {
		owner, ownerNode := s.owner, s.ownerNode
		if owner == nil {
			return
		}
		response := owner.Borrow(ownerNode.clock(s.now), s.limit, r)
		s.checkBurst(owner, ownerNode)
		if s.reported != nil {
			s.reported[r.Session] = true
			if len(s.reported) == len(s.nodes) {
				owner.MarkLoansKnown(ownerNode.clock(s.now), simBucket)
				s.reported = nil
			}
		}
		s.transmit(func() { s.runWhenResumed(n, func() { s.handleResponse(n, response) }) })
	})
}

func (s *fleet) runWhenResumed(n *entryNode, f func()) {
	if s.now < n.pausedUntil {
		s.schedule(n.pausedUntil-s.now, f)
		return
	}
	f()
}

func (s *fleet) handleResponse(n *entryNode, r Response) {
	n.borrower.HandleResponse(n.clock(s.now), simBucket, r)
	s.serve(n)
}

func (s *fleet) checkBurst(owner *Owner, n *entryNode) {
	if level, lent := owner.Total(n.clock(s.now), simBucket); level+float64(lent) > float64(s.maxBurst)+1e-6 {
		s.failure = fmt.Sprintf("level %v + lent %d exceeds the burst at %v", level, lent, s.now)
	}
}

// serve charges queued requests in order, and refuses those that waited longer than queueTimeout.
func (s *fleet) serve(n *entryNode) {
	now := n.clock(s.now)
	for len(n.queue) > 0 {
		w := n.queue[0]
		if ok, err := n.borrower.Take(now, simBucket, s.limit, w.tokens); err != nil || !ok {
			if err == nil && s.now-w.since <= queueTimeout {
				break
			}
			s.refused++
			n.queue = n.queue[1:]
			continue
		}
		n.queue = n.queue[1:]
		s.admitted = append(s.admitted, charge{s.now, w.tokens})
		s.longestWait = max(s.longestWait, s.now-w.since)
		if s.random.Float64() < s.faults.refundRate {
			mark, index := n.borrower.Mark(simBucket), len(s.admitted)-1
			s.schedule(time.Duration(s.random.Int64N(int64(2*time.Second))), func() {
				n.borrower.Refund(n.clock(s.now), simBucket, s.limit, mark, w.tokens/2)
				s.admitted[index].tokens -= w.tokens / 2
			})
		}
	}
	if r, ok := n.borrower.DueFor(now, simBucket); ok {
		s.send(n, r)
	}
}

func (s *fleet) arrive(node int, tokens int64) {
	n := s.nodes[node]
	s.offered++
	n.queue = append(n.queue, queuedCharge{s.now, tokens})
	if s.now >= n.pausedUntil {
		s.serve(n)
	}
}

// replaceOwner crashes the owner; a new owner takes over after gap, when the old owner can no longer act.
func (s *fleet) replaceOwner(gap time.Duration) {
	s.owner = nil
	s.schedule(gap, func() {
		s.ownerNode = &entryNode{speed: 1 + s.faults.drift*(2*s.random.Float64()-1)}
		s.owner = NewOwner()
		now := s.ownerNode.clock(s.now)
		s.owner.Open(now, simBucket, s.limit, Start{EmptyAt: now, UnknownUntil: now.Add(OwnerLifetime)})
		if s.faults.reports {
			s.reported = map[uint64]bool{}
		}
		for _, n := range s.nodes {
			s.runWhenResumed(n, func() {
				if s.faults.reports && n.borrower.accounts[simBucket] == nil {
					delete(s.reported, n.borrower.session)
				}
				n.borrower.OwnerChanged(n.clock(s.now), simBucket)
				if s.faults.reports {
					n.borrower.account(n.clock(s.now), simBucket, s.limit).reportDue = true
				}
				s.serve(n)
			})
		}
	})
}

func (s *fleet) run(until time.Duration) {
	var tick func()
	tick = func() {
		for _, n := range s.nodes {
			if s.now < n.pausedUntil {
				continue
			}
			for _, r := range n.borrower.Due(n.clock(s.now), nil) {
				s.send(n, r)
			}
			s.serve(n)
			if s.faults.pauses && s.random.Float64() < 0.002 {
				n.pausedUntil = s.now + time.Duration(s.random.Int64N(int64(10*time.Second)))
			}
		}
		s.schedule(10*time.Millisecond, tick)
	}
	s.schedule(0, tick)
	if s.faults.ownerCrashes {
		var crash func()
		crash = func() {
			s.replaceOwner(time.Duration(s.random.Int64N(int64(4 * time.Second))))
			s.schedule(5*time.Second+time.Duration(s.random.Int64N(int64(20*time.Second))), crash)
		}
		s.schedule(time.Duration(s.random.Int64N(int64(20*time.Second))), crash)
	}
	if s.faults.changeLimit {
		var change func()
		change = func() {
			s.limit.TokensPerSecond = 1 + s.random.Int64N(s.maxRate)
			s.limit.BurstTokens = 1 + s.random.Int64N(s.maxBurst)
			s.schedule(time.Duration(s.random.Int64N(int64(10*time.Second))), change)
		}
		s.schedule(time.Second, change)
	}
	for len(s.events) > 0 && s.events[0].at <= until && s.failure == "" {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.run()
	}
}

// excess returns the largest number of tokens above rate*t + burst that were admitted in any window, over all pairs of
// admission times.
func (s *fleet) excess() float64 {
	worst := -float64(s.maxBurst)
	for i := range s.admitted {
		sum := 0.0
		for j := i; j < len(s.admitted); j++ {
			sum += float64(s.admitted[j].tokens)
			window := (s.admitted[j].at - s.admitted[i].at).Seconds()
			worst = max(worst, sum-window*float64(s.maxRate)-float64(s.maxBurst))
		}
	}
	return worst
}

// TestAdmittedTokensStayInBounds guards against admitting more than rate*t + burst in some window under lost, late and
// duplicated messages, paused entries, drifting clocks and owner changes.
func TestAdmittedTokensStayInBounds(t *testing.T) {
	tests := map[string]faults{
		"quiet":         {maxDelay: time.Millisecond},
		"lossy":         {lossRate: 0.2, duplicateRate: 0.3, maxDelay: 300 * time.Millisecond, drift: MaxClockDrift},
		"very late":     {lossRate: 0.1, duplicateRate: 0.5, maxDelay: 8 * time.Second, drift: MaxClockDrift},
		"frozen":        {lossRate: 0.05, duplicateRate: 0.1, maxDelay: 20 * time.Millisecond, drift: MaxClockDrift, pauses: true},
		"owner crashes": {lossRate: 0.1, duplicateRate: 0.2, maxDelay: 500 * time.Millisecond, drift: MaxClockDrift, pauses: true, ownerCrashes: true},
		"reports":       {maxDelay: 5 * time.Millisecond, drift: MaxClockDrift, ownerCrashes: true, reports: true},
		"refunds":       {maxDelay: 2 * time.Millisecond, refundRate: 0.7},
		"late refunds":  {lossRate: 0.1, duplicateRate: 0.2, maxDelay: 100 * time.Millisecond, drift: MaxClockDrift, refundRate: 0.7, pauses: true, ownerCrashes: true},
		"limits change": {lossRate: 0.1, duplicateRate: 0.1, maxDelay: 50 * time.Millisecond, drift: MaxClockDrift, changeLimit: true},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				limit := config.Limit{TokensPerSecond: 100, BurstTokens: 50 + int64(seed%5)*300}
				s := newFleet(seed, 2+int(seed%5), limit, f)
				for i := range s.nodes {
					var load func()
					load = func() {
						if len(s.nodes[i].queue) < 20 {
							s.arrive(i, 1+s.random.Int64N(limit.BurstTokens/3))
						}
						s.schedule(time.Duration(s.random.Int64N(int64(400*time.Millisecond))), load)
					}
					s.schedule(time.Duration(i), load)
				}
				s.run(60 * time.Second)
				if got := s.excess(); got > 1e-6 || s.failure != "" {
					t.Fatalf("seed %d: %.1f tokens above rate*t + burst, want none (%s)", seed, got, s.failure)
				}
				if len(s.admitted) == 0 {
					t.Fatalf("seed %d: got no admitted requests, want some", seed)
				}
			}
		})
	}
}

// TestRefundsKeepTheBucketBounded guards against refunds that lift level + lent above the burst.
func TestRefundsKeepTheBucketBounded(t *testing.T) {
	f := faults{lossRate: 0.1, duplicateRate: 0.3, maxDelay: 100 * time.Millisecond, drift: MaxClockDrift, refundRate: 0.7, pauses: true}
	for seed := range uint64(20) {
		s := newFleet(seed, 4, config.Limit{TokensPerSecond: 100, BurstTokens: 600}, f)
		for i := range 600 {
			s.schedule(time.Duration(i)*100*time.Millisecond, func() { s.arrive(i%4, 1+s.random.Int64N(200)) })
		}
		s.run(60 * time.Second)
		if s.failure != "" {
			t.Fatalf("seed %d: %s", seed, s.failure)
		}
	}
}

// offerWithinRate sends load that a bucket with the given refill rate would admit, through random entries.
func (s *fleet) offerWithinRate(until time.Duration, rate float64) {
	level, at := float64(s.limit.BurstTokens), time.Duration(0)
	for now := time.Duration(0); now < until; now += time.Duration(s.random.Int64N(int64(200 * time.Millisecond))) {
		level = min(float64(s.limit.BurstTokens), level+(now-at).Seconds()*rate)
		at = now
		tokens := 1 + s.random.Int64N(s.limit.BurstTokens/4)
		if s.random.Float64() < 0.02 {
			tokens = s.limit.BurstTokens
		}
		if float64(tokens) > level {
			continue
		}
		level -= float64(tokens)
		s.schedule(now-s.now, func() { s.arrive(s.random.IntN(len(s.nodes)), tokens) })
	}
}

// TestWithinRateIsNotRefused guards against refusing a customer within its rate and burst while other entries hold
// unused tokens. The rate is the refill rate of an owner with the slowest clock.
func TestWithinRateIsNotRefused(t *testing.T) {
	for seed := range uint64(40) {
		limit := config.Limit{TokensPerSecond: 100, BurstTokens: 100 + int64(seed%4)*300}
		s := newFleet(seed, 1+int(seed%6), limit, faults{maxDelay: 2 * time.Millisecond})
		s.offerWithinRate(60*time.Second, refillRate(limit))
		s.run(65 * time.Second)
		if s.refused > 0 || len(s.admitted) != s.offered {
			t.Errorf("seed %d, %d entries, burst %d: %d of %d refused, want 0; longest wait %v",
				seed, len(s.nodes), limit.BurstTokens, s.refused, s.offered, s.longestWait)
		}
	}
}

// TestRefundedWithinRateIsNotRefused guards against losing refunds that a customer needs to stay within its rate: each
// charge is twice the use, and the use is 0.8 of the rate.
func TestRefundedWithinRateIsNotRefused(t *testing.T) {
	for seed := range uint64(20) {
		limit := config.Limit{TokensPerSecond: 1000, BurstTokens: 5000}
		s := newFleet(seed, 1+int(seed%6), limit, faults{maxDelay: 2 * time.Millisecond, refundRate: 1})
		for i := range 1200 {
			s.schedule(time.Duration(i)*50*time.Millisecond, func() { s.arrive(s.random.IntN(len(s.nodes)), 80) })
		}
		s.run(65 * time.Second)
		if s.refused > 0 || len(s.admitted) != s.offered {
			t.Errorf("seed %d, %d entries: %d of %d refused, want 0; longest wait %v", seed, len(s.nodes), s.refused, s.offered, s.longestWait)
		}
	}
}

// TestOwnerCrashRefusals measures the refusals of a customer with steady load at half its rate across an owner crash
// that is detected after 3.5 s. With reports, none may be refused.
func TestOwnerCrashRefusals(t *testing.T) {
	for _, reports := range []bool{true, false} {
		var refused, offered int
		var longest time.Duration
		for seed := range uint64(20) {
			limit := config.Limit{TokensPerSecond: 1000, BurstTokens: 10000}
			s := newFleet(seed, 4, limit, faults{maxDelay: time.Millisecond, reports: reports})
			for i := range 600 {
				s.schedule(time.Duration(i)*50*time.Millisecond, func() { s.arrive(s.random.IntN(4), 25) })
			}
			s.schedule(12*time.Second, func() { s.replaceOwner(3500 * time.Millisecond) })
			s.run(35 * time.Second)
			refused, offered, longest = refused+s.refused, offered+s.offered, max(longest, s.longestWait)
			if got := s.excess(); got > 1e-6 {
				t.Errorf("seed %d: %.1f tokens above the bound", seed, got)
			}
		}
		t.Logf("reports=%v: %d of %d requests within rate refused after waiting over 2 s, longest wait of the others %v", reports, refused, offered, longest)
		if reports && refused > 0 {
			t.Errorf("%d requests refused across an owner crash, want 0", refused)
		}
	}
}

// TestBorrowSequences guards against counting tokens twice after duplicated or reordered requests and handovers.
func TestBorrowSequences(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := config.Limit{TokensPerSecond: 10, BurstTokens: 100}
	o := NewOwner()
	o.Open(now, "b", limit, Start{Full: true})
	first := Request{Session: 1, Sequence: 5, Bucket: "b", Want: 60}
	if got := o.Borrow(now, limit, first); got.Held != 60 || got.RetryAfter != 0 {
		t.Errorf("first request got %+v, want 60 held", got)
	}
	if got := o.Borrow(now, limit, first); got.Held != 60 {
		t.Errorf("duplicate request got %+v, want the same 60 held", got)
	}
	if got := o.Borrow(now, limit, Request{Session: 1, Sequence: 4, Bucket: "b", Want: 10}); got.Held != 0 {
		t.Errorf("older request got %+v, want nothing held", got)
	}
	if got := o.Borrow(now, limit, Request{Session: 2, Sequence: 1, Bucket: "b", Want: 60}); got.Held != 0 || got.RetryAfter < 2*time.Second {
		t.Errorf("second session got %+v, want a refusal for at least 2 s", got)
	}
	state, ok := o.Export(now, "b")
	if !ok || o.Has("b") {
		t.Fatalf("Export got %+v, %v, want the state and the bucket removed", state, ok)
	}
	next := NewOwner()
	next.Import(now, limit, state)
	if level, lent := next.Total(now, "b"); level != 40 || lent != 60 {
		t.Errorf("after the handover got level %v lent %d, want 40 and 60", level, lent)
	}
	if got := next.Borrow(now, limit, first); got.Held != 60 {
		t.Errorf("duplicate request at the new owner got %+v, want 60 held", got)
	}
	if level, lent := next.Total(now.Add(OwnerLifetime), "b"); lent != 0 || level > 40.01 {
		t.Errorf("after expiry got level %v lent %d, want the loan counted as spent", level, lent)
	}
}

// TestChargeAboveBurst guards against a request waiting for more tokens than the bucket can ever hold.
func TestChargeAboveBurst(t *testing.T) {
	b := NewBorrower(1)
	_, err := b.Take(time.Unix(0, 0), "b", config.Limit{TokensPerSecond: 1, BurstTokens: 10}, 11)
	if !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v, want ErrTooLarge", err)
	}
}

// benchmarkCustomers runs f for several numbers of customers with full buckets.
func benchmarkCustomers(b *testing.B, f func(b *testing.B, owner *Owner, borrower *Borrower, names []string, limit config.Limit)) {
	for _, customers := range []int{5, 500, 22000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			limit := config.Limit{TokensPerSecond: 1 << 30, BurstTokens: 1 << 40}
			owner, names := NewOwner(), make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprintf("customer-%d", i)
				owner.Open(time.Unix(1000, 0), names[i], limit, Start{Full: true})
			}
			b.ReportAllocs()
			f(b, owner, NewBorrower(1), names, limit)
		})
	}
}

func BenchmarkTake(b *testing.B) {
	benchmarkCustomers(b, func(b *testing.B, owner *Owner, borrower *Borrower, names []string, limit config.Limit) {
		now := time.Unix(1000, 0)
		for i := 0; b.Loop(); i++ {
			now = now.Add(time.Microsecond)
			name := names[i%len(names)]
			if ok, err := borrower.Take(now, name, limit, 100); err != nil || ok {
				continue
			}
			if r, ok := borrower.DueFor(now, name); ok {
				borrower.HandleResponse(now, name, owner.Borrow(now, limit, r))
			}
		}
	})
}

func BenchmarkBorrow(b *testing.B) {
	benchmarkCustomers(b, func(b *testing.B, owner *Owner, _ *Borrower, names []string, limit config.Limit) {
		now := time.Unix(1000, 0)
		for i := 0; b.Loop(); i++ {
			now = now.Add(time.Microsecond)
			owner.Borrow(now, limit, Request{Session: uint64(i&3 + 1), Sequence: uint64(i + 1), Bucket: names[i%len(names)], Want: 1})
		}
	})
}

// BenchmarkDue measures one pass over all loans of an entry.
func BenchmarkDue(b *testing.B) {
	benchmarkCustomers(b, func(b *testing.B, _ *Owner, borrower *Borrower, names []string, limit config.Limit) {
		now := time.Unix(1000, 0)
		for _, name := range names {
			if _, err := borrower.Take(now, name, limit, 1000); err != nil {
				b.Fatal(err)
			}
		}
		var out []Request
		for b.Loop() {
			out = borrower.Due(now, out[:0])
		}
	})
}

func BenchmarkBucketMemory(b *testing.B) {
	limit := config.Limit{TokensPerSecond: 1000, BurstTokens: 1 << 20}
	now, owner := time.Unix(1000, 0), NewOwner()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		name := fmt.Sprintf("customer-%d", i)
		owner.Open(now, name, limit, Start{Full: true})
		for session := range uint64(4) {
			owner.Borrow(now, limit, Request{Session: session + 1, Sequence: 1, Bucket: name, Want: 1})
		}
	}
}

// TestLongQueueDoesNotStarveOtherEntry guards against an entry with a long queue taking every token of a short bucket,
// so that a request at another entry waits until that queue is empty, and is refused although the customer stays within
// its rate.
func TestLongQueueDoesNotStarveOtherEntry(t *testing.T) {
	const (
		charge, queued = 50, 1000
		poll           = 100 * time.Millisecond
	)
	limit := config.Limit{TokensPerSecond: 400, BurstTokens: 2000}
	began := time.Unix(1000, 0)
	owner := NewOwner()
	owner.Open(began, "b", limit, Start{EmptyAt: began})
	sequence := uint64(0)
	borrow := func(now time.Time, session uint64, want int64) bool {
		sequence++
		r := owner.Borrow(now, limit, Request{Session: session, Sequence: sequence, Bucket: "b", Want: want})
		return r.RetryAfter == 0
	}
	granted := 0
	for at := time.Duration(0); at < 2*time.Second; at += poll / 2 {
		now := began.Add(at)
		if at%poll != 0 {
			if at > poll && borrow(now, 2, charge) {
				// One grant to each entry takes 125 ms of refill and up to one poll interval.
				if want := poll + 2*(125*time.Millisecond+poll); at > want {
					t.Errorf("got the other entry's tokens after %v, want at most %v", at, want)
				}
				if granted > 2 {
					t.Errorf("got %d grants to the long queue before the other entry's, want at most 2", granted)
				}
				return
			}
			continue
		}
		// After a refusal an entry requests only the next charge; after a grant, all waiting charges.
		if borrow(now, 1, charge) {
			granted++
			borrow(now, 1, queued)
		}
	}
	t.Errorf("got no tokens for the other entry in 2 s and %d grants to the long queue, want grants to both", granted)
}
