package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/fleetpb"
)

// executions counts how often the request of each idempotency key ran.
type executions struct {
	mu     sync.Mutex
	counts map[string]int
	// answers holds the stored answers that the group has acknowledged.
	answers map[string]string
}

// runEntry acts as an entry: it claims random keys, runs the granted requests and reports their outcomes.
func (r *executions) runEntry(ctx context.Context, t *testing.T, group []*process, number int) error {
	random := rand.New(rand.NewPCG(uint64(number), 7))
	clients := make([]fleetpb.FleetClient, len(group))
	for i, p := range group {
		clients[i] = dial(t, p)
	}
	var session uint64
	for step := 0; ctx.Err() == nil; step++ {
		client := clients[random.IntN(len(clients))]
		call, cancel := context.WithTimeout(ctx, time.Second)
		name := fmt.Sprint("entry-", number)
		if session == 0 {
			if opened, err := client.OpenSession(call, &fleetpb.OpenSessionRequest{Name: name, Incarnation: uint64(step)}); err == nil {
				session = opened.SessionId
			}
		} else if !r.claimAndRun(call, client, session, fmt.Sprint("k", random.IntN(40)), fmt.Sprint(number, "-", step), random) {
			session = 0
		}
		cancel()
	}
	return nil
}

// claimAndRun claims a key and runs the request if the claim is granted. It reports whether the entry keeps its session.
func (r *executions) claimAndRun(ctx context.Context, client fleetpb.FleetClient, session uint64, key, id string, random *rand.Rand) bool {
	if alive, err := client.Keepalive(ctx, &fleetpb.KeepaliveRequest{SessionId: session}); err != nil {
		return true
	} else if alive.SessionEnded {
		return false
	}
	claim := &fleetpb.ClaimRequest{
		SessionId: session, Customer: "mill", IdempotencyKey: key, BodyHash: []byte("h"), RetentionSeconds: 600, RequestId: id,
	}
	got, err := client.Claim(ctx, claim)
	if err != nil || got.Outcome != fleetpb.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
		return true
	}
	complete := &fleetpb.CompleteRequest{
		Customer: "mill", IdempotencyKey: key, Attempt: got.Attempt, State: fleetpb.ClaimState_CLAIM_STATE_NOT_RUN,
	}
	if random.IntN(3) > 0 {
		r.mu.Lock()
		r.counts[key]++
		r.mu.Unlock()
		complete.State = fleetpb.ClaimState_CLAIM_STATE_DONE
		complete.Answer = &fleetpb.StoredAnswer{Status: 200, Body: []byte(id)}
	}
	if random.IntN(10) == 0 {
		return false // the entry crashes before it reports the outcome
	}
	stored, err := client.Complete(ctx, complete)
	if err == nil && stored.Code == fleetpb.ResultCode_RESULT_CODE_OK && complete.Answer != nil {
		r.mu.Lock()
		r.answers[key] = id
		r.mu.Unlock()
	}
	return true
}

// TestClaimsRunOnceWhenLeadersCrash guards against a key that runs twice, and against a stored answer that is lost or
// changed, while leaders crash (invariant I7).
func TestClaimsRunOnceWhenLeadersCrash(t *testing.T) {
	group := newGroup(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &executions{counts: map[string]int{}, answers: map[string]string{}}
	var entries errgroup.Group
	for number := range 8 {
		entries.Go(func() error { return r.runEntry(ctx, t, group, number) })
	}
	for range 5 {
		time.Sleep(1500 * time.Millisecond)
		leader := leaderOf(t, group)
		leader.crash()
		leader.start()
	}
	time.Sleep(time.Second)
	cancel()
	_ = entries.Wait()
	for key, times := range r.counts {
		if times != 1 {
			t.Errorf("key %s: ran %d times, want once", key, times)
		}
	}
	leader := leaderOf(t, group)
	client := dial(t, leader)
	end, cancelEnd := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancelEnd()
	opened, err := client.OpenSession(end, &fleetpb.OpenSessionRequest{Name: "last", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range r.answers {
		claim := &fleetpb.ClaimRequest{
			SessionId: opened.SessionId, Customer: "mill", IdempotencyKey: key, BodyHash: []byte("h"), RetentionSeconds: 600,
			RequestId: "last",
		}
		if got, err := client.Claim(end, claim); err != nil || string(got.Answer.GetBody()) != want {
			t.Errorf("key %s: got %v %v, want the answer %q", key, got, err, want)
		}
	}
	if len(r.answers) < 10 {
		t.Errorf("got %d keys with an answer, want at least 10", len(r.answers))
	}
}
