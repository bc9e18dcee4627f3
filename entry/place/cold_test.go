package place

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// coldEngine returns a decode engine that is cold until the given time and bears the given number of requests per second.
func coldEngine(id, domain string, until time.Time, rate float64) Upstream {
	u := decodeEngine(id, domain)
	u.ColdUntil, u.ColdRate, u.ColdStart = until, rate, 3*time.Second
	return u
}

// TestColdEngineIsLastChoice guards against generations on cold engines while warm ones have room, and against cold engines that get
// nothing although no other one has.
func TestColdEngineIsLastChoice(t *testing.T) {
	until := epoch.Add(3 * time.Second)
	for name, test := range map[string]struct {
		engines []Upstream
		ready   bool
		full    []string
		want    string
		wantErr error
	}{
		"warm one has room":           {[]Upstream{coldEngine("a", "d", until, 33), decodeEngine("b", "far")}, true, nil, "b", nil},
		"warm one refuses":            {[]Upstream{coldEngine("a", "d", until, 33), decodeEngine("b", "far")}, true, []string{"b"}, "a", nil},
		"all are cold":                {[]Upstream{coldEngine("a", "d", until, 33)}, true, nil, "a", nil},
		"without authority":           {[]Upstream{coldEngine("a", "d", until, 33)}, false, nil, "", ErrBusy},
		"warm again":                  {[]Upstream{coldEngine("a", "d", epoch, 33)}, false, nil, "a", nil},
		"service bears any rate":      {[]Upstream{coldEngine("a", "d", until, 0)}, false, nil, "a", nil},
		"more than the rate in total": {[]Upstream{coldEngine("a", "d", until, 0.5)}, true, nil, "a", nil},
	} {
		b := NewBook()
		b.Set(test.engines)
		b.SetColdReady(test.ready)
		need := generationNeed(1, 1)
		need.Repeatable, need.Full = true, test.full
		p, err := b.Place(epoch, need)
		if p.Decode.ID != test.want || !errors.Is(err, test.wantErr) {
			t.Errorf("%s: got %q, %v, want %q, %v", name, p.Decode.ID, err, test.want, test.wantErr)
		}
		if cold := err == nil && p.Decode.ColdRate > 0 && p.Decode.ColdUntil.After(epoch); p.Cold != cold {
			t.Errorf("%s: got %v for a placement on a cold engine, want %v", name, p.Cold, cold)
		}
	}
}

// TestNonRepeatableAvoidsCold guards against a request that must not run again on an engine that may crash, while a warm one is nearly
// full.
func TestNonRepeatableAvoidsCold(t *testing.T) {
	for repeatable, want := range map[bool]string{true: "a", false: "b"} {
		b := NewBook()
		b.Set([]Upstream{coldEngine("a", "d", epoch.Add(time.Second), 33), decodeEngine("b", "d")})
		b.SetColdReady(true)
		b.Observe(epoch, 9, []Generation{{ID: 1, Upstream: "b", Incarnation: 1, Prompt: 50_000, Expected: 10}})
		need := generationNeed(1, 1)
		need.Repeatable = repeatable
		if p, err := b.Place(epoch, need); err != nil || p.Decode.ID != want {
			t.Errorf("repeatable %v: got %q, %v, want %q", repeatable, p.Decode.ID, err, want)
		}
	}
}

// TestColdUpstreamNeedsGrant guards against an entry that sends requests to a cold upstream of a plain service that nobody has counted,
// and against grants that are used twice, late or for another incarnation.
func TestColdUpstreamNeedsGrant(t *testing.T) {
	until := epoch.Add(3 * time.Second)
	upstream := func(incarnation uint64) Upstream {
		return Upstream{
			ID: "u", Address: "u:1", Service: "s", Incarnation: incarnation, Accepts: true, Announcing: true, Slots: 8, ColdUntil: until, ColdRate: 10,
		}
	}
	need := Need{Service: "s", Work: 1, Repeatable: true}
	table := NewTable(0)
	table.Set([]Upstream{upstream(1)}, 4)
	if _, err := table.Pick(epoch, need); !errors.Is(err, ErrBusy) {
		t.Errorf("without a grant: got %v, want %v", err, ErrBusy)
	}
	if got := table.ColdWanted(); len(got) != 1 || got[0] != (ColdUse{"u", 1, 1}) {
		t.Errorf("got %v wanted, want one request to u", got)
	}
	granted := epoch.Add(GrantLifetime)
	table.GrantCold(granted, []ColdUse{{"u", 1, 2}})
	for i := range 2 {
		u, err := table.Pick(epoch, need)
		if err != nil || !u.GrantedUntil.Equal(granted) || !table.MaySend(epoch, u) || table.MaySend(granted, u) {
			t.Errorf("request %d: got %v until %v, want it sent until the end of the grant", i+1, err, u.GrantedUntil)
		}
	}
	if _, err := table.Pick(epoch, need); !errors.Is(err, ErrBusy) {
		t.Errorf("after the grant was used: got %v, want %v", err, ErrBusy)
	}
	table.GrantCold(granted, []ColdUse{{"u", 1, 2}})
	if _, err := table.Pick(granted, need); !errors.Is(err, ErrBusy) {
		t.Errorf("after the grant has ended: got %v, want %v", err, ErrBusy)
	}
	table.Set([]Upstream{upstream(2)}, 4)
	if _, err := table.Pick(epoch, need); !errors.Is(err, ErrBusy) {
		t.Errorf("another incarnation: got %v, want %v", err, ErrBusy)
	}
	if _, err := table.Pick(until, need); err != nil {
		t.Errorf("warm: got %v, want the upstream", err)
	}
}

// TestRecoveredUpstreamCountsAsCold guards against a flood of requests to an upstream that was dark and has become cold, before it
// announces that.
func TestRecoveredUpstreamCountsAsCold(t *testing.T) {
	u := Upstream{ID: "u", Address: "u:1", Service: "s", Incarnation: 1, Accepts: true, Announcing: true, ColdRate: 10, ColdStart: 3 * time.Second}
	need := Need{Service: "s", Work: 1}
	table := NewTable(0)
	table.Set([]Upstream{u}, 4)
	for range 2 {
		if _, err := table.Pick(epoch, need); err != nil {
			t.Fatal(err)
		}
		table.End(epoch, u, need, Broken)
	}
	back := epoch.Add(time.Second)
	if _, err := table.Pick(back, need); err != nil {
		t.Fatal(err)
	}
	table.End(back, u, need, Served)
	if _, err := table.Pick(back, need); !errors.Is(err, ErrBusy) {
		t.Errorf("just recovered: got %v, want %v without a grant", err, ErrBusy)
	}
	if _, err := table.Pick(back.Add(3*time.Second), need); err != nil {
		t.Errorf("3 s later: got %v, want the upstream", err)
	}
}

// TestEvacuatedUpstreams guards against requests to evacuated upstreams, also those that were placed before the order, and against
// refusals that state no reason.
func TestEvacuatedUpstreams(t *testing.T) {
	upstreams := func(evacuated ...bool) []Upstream {
		var list []Upstream
		for i, e := range evacuated {
			id := fmt.Sprint("u", i)
			list = append(list, Upstream{ID: id, Address: id + ":1", Service: "s", Region: "r" + id, Accepts: !e, Evacuated: e, Announcing: true})
		}
		return list
	}
	need := Need{Service: "s", Work: 1}
	table := NewTable(0)
	table.Set(upstreams(false), 1)
	chosen, err := table.Pick(epoch, need)
	if err != nil {
		t.Fatal(err)
	}
	table.Set(upstreams(true, false), 1)
	if table.MaySend(epoch, chosen) {
		t.Error("a request that was placed before the evacuation: got it sent, want another upstream")
	}
	if got := table.RunningEvacuated(); got[""] != 1 {
		t.Errorf("got %v running in evacuated failure domains, want one", got)
	}
	for range 3 {
		if u, err := table.Pick(epoch, need); err != nil || u.ID != "u1" {
			t.Errorf("got %q, %v, want u1", u.ID, err)
		}
	}
	if _, ok := table.Assign(epoch, "u0", 0, need); ok {
		t.Error("got a request of the coordinator on u0, want none")
	}
	table.Set(upstreams(true, true), 1)
	if _, err := table.Pick(epoch, need); !errors.Is(err, ErrEvacuated) {
		t.Errorf("all evacuated: got %v, want %v", err, ErrEvacuated)
	}
}

// TestRegions guards against requests and prompts in a region that is none of their homes.
func TestRegions(t *testing.T) {
	at := func(u Upstream, region string) Upstream {
		u.Region = region
		return u
	}
	engines := []Upstream{
		at(decodeEngine("d1", "d"), "near"), at(decodeEngine("d2", "far"), "home"), at(prefillEngine("p1", "d"), "near"), at(prefillEngine("p2", "far"), "home"),
		at(decodeEngine("d3", "d"), ""),
	}
	for name, test := range map[string]struct {
		regions []string
		decode  string
		prefill string
		err     error
	}{
		"everywhere":   {nil, "d1", "p1", nil},
		"home":         {[]string{"home"}, "d2", "p2", nil},
		"nowhere":      {[]string{}, "", "", ErrNone},
		"other region": {[]string{"elsewhere"}, "", "", ErrNone},
	} {
		b, table := NewBook(), NewTable(0)
		b.Set(engines)
		table.Set(engines, 20)
		need := generationNeed(1, 1)
		need.Regions = test.regions
		// An engine that runs something leaves the prompt to a prefill engine.
		for i, id := range []string{"d1", "d2", "d3"} {
			b.Observe(epoch, uint64(i+10), []Generation{{ID: 1, Upstream: id, Incarnation: 1, Prompt: 10, Expected: 10}})
		}
		p, err := b.Place(epoch, need)
		if p.Decode.ID != test.decode || p.Prefill.ID != test.prefill || !errors.Is(err, test.err) {
			t.Errorf("%s: got %q, %q, %v, want %q, %q, %v", name, p.Decode.ID, p.Prefill.ID, err, test.decode, test.prefill, test.err)
		}
		for range 20 {
			u, err := table.Pick(epoch, Need{Service: "s", Role: RoleDecode, Work: 1, Regions: test.regions})
			if err == nil {
				table.End(epoch, u, Need{Service: "s", Role: RoleDecode, Work: 1}, Cancelled)
			}
			if test.err != nil {
				if !errors.Is(err, ErrRegion) {
					t.Errorf("%s, without the coordinator: got %v, want %v", name, err, ErrRegion)
				}
			} else if err != nil || test.regions != nil && u.Region != "home" {
				t.Errorf("%s, without the coordinator: got %q, %v", name, u.Region, err)
			}
		}
		if _, ok := table.Assign(epoch, "d1", 1, Need{Service: "s", Role: RoleDecode, Regions: test.regions}); ok != (test.regions == nil) {
			t.Errorf("%s: got %v for an engine that a coordinator chose in another region", name, ok)
		}
	}
}
