package naive

import (
	"context"
	"errors"
	"testing"
	"time"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/relay"
)

func request(charge int64) *relay.Request {
	return &relay.Request{Pool: "p", Model: "m", Bucket: "c", Charge: charge, Limit: config.Limit{TokensPerSecond: 1, BurstTokens: 100}}
}

func upstream(id, role string, slots uint32) *fleetpb.Upstream {
	return &fleetpb.Upstream{Id: id, Role: role, Pool: "p", Models: []string{"m"}, Slots: slots, State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE}
}

// TestLimit guards against an entry that admits more than its part of a customer's burst, and against lost refunds.
func TestLimit(t *testing.T) {
	p := New(func() int { return 2 })
	granted, err := p.Admit(t.Context(), request(50))
	if err != nil {
		t.Fatal(err)
	}
	var rejection *relay.Rejection
	if _, err := p.Admit(t.Context(), request(10)); !errors.As(err, &rejection) || rejection.Status != 429 || rejection.RetryAfter < 19*time.Second {
		t.Errorf("got %v, want a rejection with a retry after 20 s", err)
	}
	granted.Release(30)
	if _, err := p.Admit(t.Context(), request(20)); err != nil {
		t.Errorf("after the refund: got %v, want an admission", err)
	}
}

// TestSlotsAfterCancelledWait guards against slots that are lost, or given to a waiter whose context has ended.
func TestSlotsAfterCancelledWait(t *testing.T) {
	p := New(func() int { return 1 })
	upstreams := map[string]*fleetpb.Upstream{"d": upstream("d", "decode", 1)}
	p.SetUpstreams(upstreams, nil)
	first, err := p.Admit(t.Context(), request(1))
	if err != nil {
		t.Fatal(err)
	}
	expiring, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := p.Admit(expiring, request(1)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the context's error", err)
	}
	first.Release(1)
	second, err := p.Admit(t.Context(), request(1))
	if err != nil {
		t.Fatal(err)
	}
	second.Release(1)
	if got := p.pool("p").running; got != 0 {
		t.Errorf("got %d running, want 0", got)
	}
}

// TestPick guards against picks of engines that are leaving, lack the model or were tried before.
func TestPick(t *testing.T) {
	p := New(func() int { return 1 })
	leaving, otherModel := upstream("c", "decode", 1), upstream("d", "decode", 1)
	leaving.State, otherModel.Models = fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING, []string{"x"}
	p.SetUpstreams(map[string]*fleetpb.Upstream{"a": upstream("a", "prefill", 0), "b": upstream("b", "decode", 1), "c": leaving, "d": otherModel}, nil)
	for range 3 {
		if prefill, decode, err := p.PickEngines(request(1), nil); err != nil || prefill.ID != "a" || decode.ID != "b" {
			t.Errorf("got prefill %q, decode %q, error %v, want a and b", prefill.ID, decode.ID, err)
		}
	}
	if _, err := p.PickDecode(request(1), relay.Upstream{}, []string{"b"}); !errors.Is(err, relay.ErrNoUpstream) {
		t.Errorf("got %v, want ErrNoUpstream", err)
	}
	r := request(1)
	for i, want := range []bool{true, true, false} {
		if got := p.AllowRetry(r); got != want {
			t.Errorf("retry %d: got %v, want %v", i, got, want)
		}
	}
}

// TestRolesRotateSeparately guards against a baseline that sends every prefill to the same engine because prefill and
// decode picks share one round-robin position. Comparisons would then overstate the gain of the other policy.
func TestRolesRotateSeparately(t *testing.T) {
	p := New(func() int { return 1 })
	upstreams := map[string]*fleetpb.Upstream{}
	for _, u := range []*fleetpb.Upstream{upstream("d1", "decode", 9), upstream("d2", "decode", 9), upstream("p1", "prefill", 9), upstream("p2", "prefill", 9)} {
		upstreams[u.Id] = u
	}
	p.SetUpstreams(upstreams, config.NewSet())
	picks := map[string]int{}
	for range 20 {
		prefill, decode, err := p.PickEngines(request(1), nil)
		if err != nil {
			t.Fatal(err)
		}
		picks[prefill.ID]++
		picks[decode.ID]++
	}
	for id := range upstreams {
		if picks[id] != 10 {
			t.Errorf("upstream %s got %d of 20 picks, want 10", id, picks[id])
		}
	}
}
