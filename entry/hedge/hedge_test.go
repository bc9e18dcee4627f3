package hedge

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

// TestLimit guards against an entry that sends more copies in any window than its share, after a burst or a pause.
func TestLimit(t *testing.T) {
	p := New(5)
	var requests, copies []int
	for step := range 30_000 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		if step%7000 < 1000 || step%5 == 0 {
			p.CountRequest(now)
			requests = append(requests, step)
		}
		if step > 3000 && p.Take(now) {
			copies = append(copies, step)
			// Requests before the earliest interval of the window are not counted.
			begin := step - int((Window-intervalLength)/(10*time.Millisecond))
			count := func(steps []int) int {
				first, _ := slices.BinarySearch(steps, begin)
				return len(steps) - first
			}
			whole, _ := slices.BinarySearch(requests, step-int(Window/(10*time.Millisecond)))
			if got, most := count(copies), float64(len(requests)-whole)*0.05; float64(got) > most {
				t.Fatalf("step %d: got %d copies in the window, want at most %.1f", step, got, most)
			}
		}
	}
	if len(copies) < len(requests)/25 {
		t.Errorf("got %d copies of %d requests, want nearly one in 20", len(copies), len(requests))
	}
}

// load is what upstreams get in a simulated run.
type load struct {
	perSecond float64
	// slowShare is the part of the time in which an upstream is slow by slowFactor; allSlow makes them slow together.
	slowShare, slowFactor float64
	allSlow               bool
}

// play simulates five upstreams of six slots and a queue of 24 that serve requests of 15 ms from eight entries, and returns
// the response times in milliseconds, the shares of copies and of refusals.
func play(seed uint64, percent float64, l load) (times []int, copied, refused float64) {
	const upstreams, slots, queue, entries, steps = 5, 6, 24, 8, 120_000
	type run struct{ request, upstream, left int }
	type request struct {
		at, copyAt, end, entry, first int
	}
	r := rand.New(rand.NewPCG(seed, 1))
	var policies [entries]*Policy
	for i := range policies {
		policies[i] = New(percent)
	}
	var requests []*request
	var queues [upstreams][]*run
	var slow [upstreams]bool
	waiting := map[int]bool{}
	var order []int
	least := func(except int) int {
		best := -1
		for i := range queues {
			if i != except && (best < 0 || len(queues[i]) < len(queues[best])) {
				best = i
			}
		}
		return best
	}
	work := func() int {
		w := 15 * math.Exp(0.5*r.NormFloat64()-0.125)
		if r.Float64() < 0.01 {
			w *= 5
		}
		return max(1, int(10*w))
	}
	copies, refusals := 0, 0
	for step := range steps {
		now := epoch.Add(time.Duration(step) * time.Millisecond)
		if step%600 == 0 {
			together := r.Float64() < l.slowShare
			for i := range slow {
				slow[i] = r.Float64() < l.slowShare
				if l.allSlow {
					slow[i] = together
				}
			}
		}
		for n := l.perSecond / 1000; n > 0; n-- {
			if r.Float64() >= n {
				continue
			}
			q := &request{at: step, entry: r.IntN(entries), first: least(-1), copyAt: -1}
			p := policies[q.entry]
			p.CountRequest(now)
			if len(queues[q.first]) >= slots+queue {
				p.RecordRefusal(now)
				refusals++
				continue
			}
			if delay, ok := p.Delay(now); ok {
				q.copyAt = step + int(delay/time.Millisecond)
			}
			requests = append(requests, q)
			waiting[len(requests)-1], order = true, append(order, len(requests)-1)
			queues[q.first] = append(queues[q.first], &run{len(requests) - 1, q.first, work()})
		}
		order = slices.DeleteFunc(order, func(id int) bool { return !waiting[id] })
		for _, id := range order {
			q := requests[id]
			if q.copyAt != step {
				continue
			}
			if other := least(q.first); len(queues[other]) <= slots/2 && policies[q.entry].Take(now) {
				copies++
				queues[other] = append(queues[other], &run{id, other, work()})
			}
		}
		for i := range queues {
			speed := 10
			if slow[i] {
				speed = int(10 / l.slowFactor)
			}
			for _, x := range queues[i][:min(slots, len(queues[i]))] {
				if x.left -= speed; x.left <= 0 && waiting[x.request] {
					q := requests[x.request]
					q.end = step
					delete(waiting, x.request)
					policies[q.entry].RecordTime(time.Duration(step-q.at) * time.Millisecond)
					times = append(times, step-q.at)
				}
			}
		}
		// An answered request is cancelled at the other upstream.
		for i := range queues {
			queues[i] = slices.DeleteFunc(queues[i], func(x *run) bool { return !waiting[x.request] })
		}
	}
	slices.Sort(times)
	all := float64(len(requests) + refusals)
	return times, float64(copies) / all, float64(refusals) / all
}

// TestHedgedResponseTimes plays upstreams that are slow one at a time, upstreams that are slow together, and more requests
// than the upstreams serve. Copies shorten the longest response times in the first case, and in the others nobody waits for
// longer than without.
func TestHedgedResponseTimes(t *testing.T) {
	for name, test := range map[string]struct {
		load
		// wantFaster is the least reduction of the 99.9th percentile. wantCopies is the largest share of copies.
		wantFaster, wantCopies float64
	}{
		"one at a time": {load{perSecond: 600, slowShare: 0.15, slowFactor: 2.5}, 0.2, 0.05},
		"together":      {load{perSecond: 600, slowShare: 0.15, slowFactor: 2.5, allSlow: true}, -0.02, 0.05},
		"overload":      {load{perSecond: 2600, slowShare: 0.15, slowFactor: 2.5}, -0.02, 0.002},
	} {
		t.Run(name, func(t *testing.T) {
			var p99, p999 [2]float64
			var copied, refused [2]float64
			const seeds = 4
			for seed := range uint64(seeds) {
				for i, percent := range []float64{0, 5} {
					times, c, f := play(seed, percent, test.load)
					p99[i] += float64(times[len(times)*99/100]) / seeds
					p999[i] += float64(times[len(times)*999/1000]) / seeds
					copied[i] += c / seeds
					refused[i] += f / seeds
				}
			}
			t.Logf("p99 %.0f ms, then %.0f; p99.9 %.0f ms, then %.0f; copies %.4f; refused %.4f, then %.4f", p99[0], p99[1], p999[0], p999[1], copied[1], refused[0], refused[1])
			if faster := 1 - p999[1]/p999[0]; faster < test.wantFaster {
				t.Errorf("got a 99.9th percentile that is lower by %.3f, want %.3f", faster, test.wantFaster)
			}
			if copied[1] > test.wantCopies || copied[0] > 0 {
				t.Errorf("got %.4f copies of a request, want at most %.4f, and none with a limit of 0", copied[1], test.wantCopies)
			}
			if refused[1] > refused[0]*1.02 {
				t.Errorf("got %.4f of the requests refused, want at most %.4f as without copies", refused[1], refused[0])
			}
		})
	}
}
