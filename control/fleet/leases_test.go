package fleet

import (
	"context"
	"testing"
	"time"

	"azuredoor.example/control/member"
	"azuredoor.example/control/state"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

// TestSessionExpiry guards against sessions that expire too early after an election or a pause of the leader's process,
// and against sessions that never expire.
func TestSessionExpiry(t *testing.T) {
	start := time.Now()
	at := start.Add
	sessions := []*fleetpb.Session{{Id: 5}}
	for _, test := range []struct {
		name        string
		renewed     time.Duration
		allRenewed  time.Duration
		now         time.Duration
		wantExpired bool
	}{
		{"never renewed, within the TTL of the election", 0, 0, 3 * time.Second, false},
		{"never renewed, TTL without drift allowance", 0, 0, 3029 * time.Millisecond, false},
		{"never renewed, TTL with drift allowance", 0, 0, 3031 * time.Millisecond, true},
		{"renewed within the TTL", 2 * time.Second, 0, 5 * time.Second, false},
		{"renewed longer ago than the TTL", 2 * time.Second, 0, 5031 * time.Millisecond, true},
		{"within the TTL of a process pause", 2 * time.Second, 9 * time.Second, 12 * time.Second, false},
		{"process pause longer ago than the TTL", 2 * time.Second, 9 * time.Second, 12031 * time.Millisecond, true},
	} {
		l := newLeases(defaultUpstreamTTL)
		l.reset(1, start)
		if test.renewed > 0 {
			l.renewSession(1, 5, 0, at(test.renewed))
		}
		if test.allRenewed > 0 {
			l.renewAll(at(test.allRenewed))
		}
		if got := len(l.expiredSessions(sessions, at(test.now))) == 1; got != test.wantExpired {
			t.Errorf("%s: got expired %v, want %v", test.name, got, test.wantExpired)
		}
	}
}

// TestKeepaliveOfEndingSession guards against a keepalive that is accepted while a proposal to end its session is pending.
func TestKeepaliveOfEndingSession(t *testing.T) {
	l := newLeases(defaultUpstreamTTL)
	l.reset(1, time.Now().Add(-time.Minute))
	if got := l.expiredSessions([]*fleetpb.Session{{Id: 5}}, time.Now()); len(got) != 1 {
		t.Fatalf("expired: got %v, want the session", got)
	}
	if l.renewSession(1, 5, 0, time.Now()) {
		t.Error("renewal of an ending session: got true, want false")
	}
	l.cancelEnding([]uint64{5})
	if !l.renewSession(1, 5, 0, time.Now()) {
		t.Error("renewal after the proposal failed: got false, want true")
	}
	if !l.renewSession(2, 5, 0, time.Now()) || l.term != 2 {
		t.Error("renewal in term 2: refused or still in term 1, want the leases of term 1 discarded")
	}
}

// TestUpstreamExpiry guards against an earlier incarnation that renews the lease of an upstream (invariant I8).
func TestUpstreamExpiry(t *testing.T) {
	start := time.Now()
	l := newLeases(defaultUpstreamTTL)
	l.reset(1, start)
	l.renewUpstreams(1, []*fleetpb.UpstreamRef{{Id: "a", Incarnation: 2}, {Id: "b", Incarnation: 1}}, start.Add(time.Second))
	l.renewUpstreams(1, []*fleetpb.UpstreamRef{{Id: "a", Incarnation: 1}}, start.Add(3*time.Second))
	each := func(visit func(u *fleetpb.Upstream)) {
		for _, id := range []string{"a", "b", "c"} {
			visit(&fleetpb.Upstream{Id: id, Incarnation: 2, State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE})
		}
		visit(&fleetpb.Upstream{Id: "down", State: fleetpb.UpstreamState_UPSTREAM_STATE_DOWN})
	}
	if got := l.expiredUpstreams(each, start.Add(2500*time.Millisecond)); len(got) != 2 || got[0].Id != "b" || got[1].Id != "c" {
		t.Errorf("at 2.5 s: got %v, want b and c", got)
	}
	if got := l.expiredUpstreams(each, start.Add(3100*time.Millisecond)); len(got) != 3 {
		t.Errorf("at 3.1 s: got %v, want all", got)
	}
}

// TestRemovableUpstreams guards against records of replaced upstreams that accumulate, and against the removal of
// upstreams that an operator stopped.
func TestRemovableUpstreams(t *testing.T) {
	start := time.Now()
	l := newLeases(defaultUpstreamTTL)
	l.reset(1, start)
	each := func(visit func(u *fleetpb.Upstream)) {
		visit(&fleetpb.Upstream{Id: "gone", State: fleetpb.UpstreamState_UPSTREAM_STATE_DOWN})
		visit(&fleetpb.Upstream{
			Id: "stopped", State: fleetpb.UpstreamState_UPSTREAM_STATE_DOWN, Desired: fleetpb.DesiredState_DESIRED_STATE_STOPPED,
		})
		visit(&fleetpb.Upstream{Id: "live", State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE})
	}
	if got := l.removableUpstreams(each, start); len(got) != 0 {
		t.Errorf("first seen down: got %v, want none", got)
	}
	if got := l.removableUpstreams(each, start.Add(removeDownAfter+time.Second)); len(got) != 1 || got[0].Id != "gone" {
		t.Errorf("a day later: got %v, want the upstream \"gone\"", got)
	}
}

// soleMember is a group whose only member leads.
type soleMember struct {
	machine *state.Machine
	index   uint64
}

func (m *soleMember) ProposeLocal(context.Context, *fleetpb.Command) (*fleetpb.Result, error) {
	return nil, member.ErrOutcomeUnknown
}
func (m *soleMember) ReadIndex(context.Context) (uint64, error) { return m.index, nil }
func (m *soleMember) Status() member.Status                     { return member.Status{Term: 1, Leading: true} }

// BenchmarkKeepalive measures one keepalive without gRPC and without the quorum round of the read index, with 900
// sessions and 12,000 upstreams.
func BenchmarkKeepalive(b *testing.B) {
	machine := newLargeState(b)
	service := New(Config{Group: &soleMember{machine: machine}, State: machine, Events: event.Discard()})
	request := &fleetpb.KeepaliveRequest{SessionId: 450}
	for i := range uint64(14) {
		request.Alive = append(request.Alive, &fleetpb.UpstreamRef{Id: upstreamName(i), Incarnation: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		if got, err := service.Keepalive(context.Background(), request); err != nil || got.SessionEnded {
			b.Fatal(got, err)
		}
	}
}

// BenchmarkSweep measures one search for expired sessions and upstreams with 900 sessions and 12,000 upstreams.
func BenchmarkSweep(b *testing.B) {
	machine := newLargeState(b)
	l := newLeases(defaultUpstreamTTL)
	l.reset(1, time.Now())
	for b.Loop() {
		now := time.Now()
		l.expiredSessions(machine.Sessions(), now)
		l.expiredUpstreams(machine.EachUpstream, now)
	}
}

// TestNewRecordsAreNotExpired guards against expiry right after creation: a sweep may see a new session, or an upstream
// that is new, restarted or no longer down, before the call that replicated the change renews the lease.
func TestNewRecordsAreNotExpired(t *testing.T) {
	start := time.Now()
	now := start.Add(time.Minute)
	l := newLeases(defaultUpstreamTTL)
	l.reset(1, start)
	sessions := []*fleetpb.Session{{Id: 5}}
	l.trackSessions(sessions, now)
	if got := l.expiredSessions(sessions, now); len(got) != 0 {
		t.Errorf("session seen for the first time: got expired %v, want none", got)
	}
	l.trackSessions(sessions, now.Add(3031*time.Millisecond))
	if got := l.expiredSessions(sessions, now.Add(3031*time.Millisecond)); len(got) != 1 {
		t.Errorf("session never renewed: got expired %v, want the session", got)
	}

	l.renewUpstreams(1, []*fleetpb.UpstreamRef{{Id: "restarted", Incarnation: 1}}, start)
	upstreams := map[string]*fleetpb.Upstream{
		"new": {Id: "new", Incarnation: 1}, "restarted": {Id: "restarted", Incarnation: 2},
		"back": {Id: "back", Incarnation: 1, State: fleetpb.UpstreamState_UPSTREAM_STATE_DOWN},
	}
	each := func(visit func(u *fleetpb.Upstream)) {
		for _, u := range upstreams {
			visit(u)
		}
	}
	l.trackUpstreams(each, now)
	upstreams["back"].State = fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE
	if got := l.expiredUpstreams(each, now.Add(sweepInterval)); len(got) != 0 {
		t.Errorf("upstreams one sweep after they were seen: got expired %v, want none", got)
	}
	l.trackUpstreams(each, now.Add(2021*time.Millisecond))
	if got := l.expiredUpstreams(each, now.Add(2021*time.Millisecond)); len(got) != len(upstreams) {
		t.Errorf("upstreams never renewed: got expired %v, want all", got)
	}
}
