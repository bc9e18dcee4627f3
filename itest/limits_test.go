package itest

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/load"
	"azuredoor.example/entry/peer"
)

const (
	// The limit is far below the capacity of the engines, so that calls are refused by the limit and not by the engines.
	limitTokensPerSecond, limitBurstTokens = 400, 2000
	promptTokens                           = 40
	outputTokens                           = 10
	loadDuration                           = 9 * time.Second
	// faultDelay is the time from the start of the load to the fault. By then, the loans of both customers are in use.
	faultDelay = 2 * time.Second
)

// setLimits sets the same limit for all given customers and waits until every entry applies it.
func (b *testFleet) setLimits(customers ...string) {
	b.t.Helper()
	var changes []change
	for _, name := range customers {
		changes = append(changes, change{Kind: "customer", Name: name, Spec: map[string]any{
			"weight": 1, "limit": map[string]any{"tokensPerSecond": limitTokensPerSecond, "burstTokens": limitBurstTokens},
		}})
	}
	if status, body := b.adminRequest(0, http.MethodPost, "/v1/apply", "limits", applyBody(changes...)); status != http.StatusOK {
		b.t.Fatalf("set the limits: status %d: %s", status, body)
	}
	b.await(propagationBound, "every entry has applied the limits", b.entriesUpToDate)
}

// bucketOwner returns the entry, counted from 0, that owns a customer's token bucket.
func (b *testFleet) bucketOwner(customer string) int {
	b.t.Helper()
	var list struct {
		Sessions []struct {
			ID   uint64
			Name string
		}
	}
	if !b.readAdmin("/v1/sessions", &list) {
		b.t.Fatal("no control member returned the list of sessions")
	}
	var ids []uint64
	entries := map[uint64]int{}
	for _, s := range list.Sessions {
		number, err := strconv.Atoi(strings.TrimPrefix(s.Name, "entry-"))
		if err != nil {
			b.t.Fatal(err)
		}
		ids = append(ids, s.ID)
		entries[s.ID] = number - 1
	}
	return entries[peer.NewRing(ids).Owner(customer)]
}

// balancer chooses entries for calls, like a load balancer that detects a fault immediately.
type balancer struct {
	mu sync.Mutex
	// removed has an element for each entry that was ever removed from the balancer: true while the entry is removed.
	removed map[int]bool
}

// everRemoved reports whether an entry was ever removed from the balancer.
func (l *balancer) everRemoved(entry int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, found := l.removed[entry]
	return found
}

// setRemoved removes an entry from the balancer or adds the entry back.
func (l *balancer) setRemoved(entry int, removed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removed == nil {
		l.removed = map[int]bool{}
	}
	l.removed[entry] = removed
}

// pick returns the preferred entry, or the next entry that is not removed.
func (l *balancer) pick(preferred, entries int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range entries {
		if entry := (preferred + i) % entries; !l.removed[entry] {
			return entry
		}
	}
	return preferred
}

// timedResult is the result of one call of open-loop load.
type timedResult struct {
	load.Result
	entry int
	// sent is the time from the start of the load to the start of the call.
	sent time.Duration
}

// sendAtRate sends calls at a constant rate without waiting for earlier calls. The function entry returns the entry of call i.
func (b *testFleet) sendAtRate(customer string, callsPerSecond float64, duration time.Duration, entry func(i int) int) []timedResult {
	results := make([]timedResult, int(callsPerSecond*duration.Seconds()))
	client := load.NewClient()
	defer client.CloseIdleConnections()
	var group errgroup.Group
	start := time.Now()
	for i := range results {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / callsPerSecond * float64(time.Second)))))
		group.Go(func() error {
			target := entry(i)
			call := b.streamCall(target, customer, "", outputTokens)
			call.Prompt = strings.Repeat("felt ", promptTokens-2) + fmt.Sprintf("%s-%d len=%d", customer, i, outputTokens)
			call.Timeout = 20 * time.Second
			sent := time.Since(start)
			results[i] = timedResult{Result: load.Do(b.ctx, client, call), entry: target, sent: sent}
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// checkRateLimit checks that at most rate*t + burst tokens were admitted in every window of length t. A call was admitted
// between the time it was sent and its first token, so the call counts only in windows that contain both. Tokens that were
// not delivered do not count, because they may have been refunded.
func (b *testFleet) checkRateLimit(results []timedResult) {
	b.t.Helper()
	admitted := slices.DeleteFunc(slices.Clone(results), func(r timedResult) bool { return r.Tokens == 0 })
	maxShare := 0.0
	for _, first := range admitted {
		for _, last := range admitted {
			from, until := first.sent, last.sent+last.FirstToken
			if until < from {
				continue
			}
			tokens := 0
			for _, r := range admitted {
				if r.sent >= from && r.sent+r.FirstToken <= until {
					tokens += promptTokens + r.Tokens
				}
			}
			allowed := limitTokensPerSecond*(until-from).Seconds() + limitBurstTokens
			maxShare = max(maxShare, float64(tokens)/allowed)
			if float64(tokens) > allowed {
				b.t.Fatalf("got %d tokens admitted between %v and %v, want at most %.0f", tokens, from, until, allowed)
			}
		}
	}
	b.t.Logf("%d of %d calls admitted; the fullest window used %.2f of its allowed tokens", len(admitted), len(results), maxShare)
	if len(admitted)*(promptTokens+outputTokens) < limitBurstTokens {
		b.t.Errorf("got %d admitted calls, want at least the calls of one burst", len(admitted))
	}
}

// checkAllServed checks that all calls at entries without a fault got a complete response.
func (b *testFleet) checkAllServed(name string, results []timedResult, l *balancer) {
	b.t.Helper()
	refused, worst := 0, timedResult{}
	for i, r := range results {
		if l.everRemoved(r.entry) {
			continue
		}
		if r.FirstToken > worst.FirstToken {
			worst = r
		}
		if r.Verdict != load.Complete {
			refused++
			b.t.Errorf("%s: call %d at entry %d, sent after %v, got verdict %s in %v (status %d, code %q, error %v), want whole",
				name, i, r.entry+1, r.sent.Round(time.Millisecond), r.Verdict, r.End.Round(time.Millisecond), r.Status, r.ErrorCode, r.Err)
		}
	}
	b.t.Logf("%s: %d of %d calls within the rate not served; slowest first token %v, of the call sent after %v",
		name, refused, len(results), worst.FirstToken.Round(time.Millisecond), worst.sent.Round(time.Millisecond))
}

// faultTarget selects the entry of a fault by its role in a test.
type faultTarget int

const (
	// floodOwner owns the bucket of the customer that floods all entries, and singleOwner owns the bucket of the customer
	// that sends to a single entry.
	floodOwner faultTarget = iota
	singleOwner
	// borrower does not own the bucket of the customer that floods all entries.
	borrower
)

// TestLimitOverTheFleet guards against a customer that exceeds its rate and burst by flooding all entries, also while the
// owner of its bucket changes (invariant I4). It also guards against refusals of customers that stay within their rates
// during the flood, with calls spread over all entries or sent to a single entry.
func TestLimitOverTheFleet(t *testing.T) {
	t.Parallel()
	kill := func(b *testFleet, entry int, l *balancer) error {
		l.setRemoved(entry, true)
		return b.entryProcess(entry).Kill()
	}
	freeze := func(b *testFleet, entry int, l *balancer) error {
		l.setRemoved(entry, true)
		if err := b.entryProcess(entry).Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
		return b.entryProcess(entry).Signal(syscall.SIGCONT)
	}
	tests := []struct {
		name string
		// target is the entry that has the fault.
		target faultTarget
		fault  func(b *testFleet, entry int, l *balancer) error
	}{
		{"no fault", floodOwner, func(*testFleet, int, *balancer) error { return nil }},
		{"owner killed", floodOwner, kill},
		{"well-behaved customer's owner killed", singleOwner, kill},
		{"owner frozen", floodOwner, freeze},
		{"borrower frozen", borrower, freeze},
		{"owner and control leader killed", floodOwner, func(b *testFleet, entry int, l *balancer) error {
			return firstError(b.Process("control-1").Kill(), kill(b, entry, l))
		}},
		{"two owners killed in a row", floodOwner, func(b *testFleet, entry int, l *balancer) error {
			if err := kill(b, entry, l); err != nil {
				return err
			}
			next := entry
			b.await(5*time.Second, "another entry owns the bucket", func() bool {
				next = b.bucketOwner(b.deployment.Large)
				return next != entry
			})
			time.Sleep(time.Second)
			return kill(b, next, l)
		}},
		{"owner leaves and joins", floodOwner, func(b *testFleet, entry int, l *balancer) error {
			l.setRemoved(entry, true)
			if err := b.entryProcess(entry).Stop(); err != nil {
				return err
			}
			if err := b.entryProcess(entry).Start(); err != nil {
				return err
			}
			b.await(5*time.Second, "the entry is ready", func() bool { return b.Ready(b.ctx, entry) == nil })
			l.setRemoved(entry, false)
			return nil
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			b := startFleet(t)
			flooding, spread, single := b.deployment.Large, b.deployment.Small, b.deployment.Customers[2]
			b.setLimits(flooding, spread, single)
			faulty := b.bucketOwner(flooding)
			switch test.target {
			case singleOwner:
				faulty = b.bucketOwner(single)
			case borrower:
				faulty = (faulty + 1) % 4
			case floodOwner:
			}
			var l balancer
			var group errgroup.Group
			var flood, spreadCalls, singleCalls []timedResult
			group.Go(func() error {
				// The flood also includes the faulty entry and requests 10 times the rate.
				flood = b.sendAtRate(flooding, 80, loadDuration, func(i int) int { return i % 4 })
				return nil
			})
			group.Go(func() error {
				spreadCalls = b.sendAtRate(spread, 6, loadDuration, func(i int) int { return l.pick(i, 4) })
				return nil
			})
			group.Go(func() error {
				singleCalls = b.sendAtRate(single, 6, loadDuration, func(int) int { return l.pick((faulty+1)%4, 4) })
				return nil
			})
			group.Go(func() error {
				time.Sleep(faultDelay)
				return test.fault(b, faulty, &l)
			})
			if err := group.Wait(); err != nil {
				t.Fatal(err)
			}
			b.checkRateLimit(flood)
			b.checkRateLimit(spreadCalls)
			b.checkRateLimit(singleCalls)
			// Calls at an entry that is killed or paused may fail because of the fault. All other calls must be served.
			b.checkAllServed("spread", spreadCalls, &l)
			b.checkAllServed("at one entry", singleCalls, &l)
		})
	}
}
