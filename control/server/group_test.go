package server

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/fleetpb"
)

func without(group []*process, excluded *process) []*process {
	var list []*process
	for _, p := range group {
		if p != excluded {
			list = append(list, p)
		}
	}
	return list
}

// waitForRevision waits until all members have applied revision.
func waitForRevision(t *testing.T, group []*process, revision float64) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		equal := true
		for _, p := range group {
			equal = equal && float64(p.server.state.Revision()) == revision
		}
		if equal {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the members did not reach revision %v within 10 s", revision)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestNoChangeIsLostWhenLeadersCrash guards against the loss of an accepted change when leaders crash one after the other
// and restart, also across snapshots (invariant I10).
func TestNoChangeIsLostWhenLeadersCrash(t *testing.T) {
	group := newGroup(t, 3)
	revision := 0.0
	for round := range 4 {
		crashed := leaderOf(t, group)
		live := without(group, crashed)
		for i := range 40 {
			id := fmt.Sprintf("r%d-%d", round, i)
			if code, body := live[i%2].call("POST", "/v1/apply", id, customerChange("mill", 1+i, nil)); code != 200 || body["revision"] != revision+1 {
				t.Fatalf("apply %s: got %d %v, want revision %v", id, code, body, revision+1)
			}
			revision++
			if i == 20 {
				crashed.crash()
			}
		}
		crashed.start()
		waitForRevision(t, group, revision)
	}
}

// TestStalledConnectionsAreReplaced guards against a member that stays cut off after its open connections have stopped
// carrying data.
func TestStalledConnectionsAreReplaced(t *testing.T) {
	group := newGroup(t, 3)
	for round := range 2 {
		for _, p := range group {
			p.proxy.stallConnections()
		}
		start := time.Now()
		for number, p := range group {
			code, body := 0, map[string]any(nil)
			for time.Since(start) < 8*time.Second && code != 200 {
				code, body = p.call("POST", "/v1/apply", fmt.Sprintf("r%d-%d", round, number), customerChange("mill", 1+number, nil))
			}
			if code != 200 {
				t.Fatalf("apply through member %d: got %d %v, want 200 within 8 s", number, code, body)
			}
		}
	}
	waitForRevision(t, group, 6)
}

// TestReplaceMemberWithLostDisk guards against a member that returns with an empty disk under its old identity, and against
// membership changes that would leave the group without a quorum.
func TestReplaceMemberWithLostDisk(t *testing.T) {
	group := newGroup(t, 3)
	group[2].shutDown()
	old := group[2].id
	time.Sleep(2500 * time.Millisecond) // until the group considers the member unreachable
	path := fmt.Sprintf("/v1/members/%x", group[1].id)
	if code, body := group[0].call("DELETE", path, "", nil); code != http.StatusConflict {
		t.Errorf("removal that leaves one reachable member of two: got %d %v, want 409", code, body)
	}
	group[2].dir = t.TempDir()
	group[2].start()
	if code, body := group[1].call("POST", "/v1/members", "", group[2].description()); code != http.StatusBadRequest {
		t.Errorf("add under a name in use: got %d %v, want 400", code, body)
	}
	for range 2 {
		code, body := group[1].call("POST", fmt.Sprintf("/v1/members/%x/replace", old), "", group[2].description())
		if code != 200 || body["id"] != fmt.Sprintf("%x", group[2].id) || body["learner"] != false {
			t.Fatalf("replace: got %d %v, want 200 and the new member with a vote", code, body)
		}
	}
	if _, body := group[0].call("GET", "/v1/members", "", nil); len(body["members"].([]any)) != 3 {
		t.Errorf("members: got %v, want 3", body)
	}
	// The new member has a vote: the group still has a quorum after another member stops.
	group[0].shutDown()
	if code, body := group[2].call("POST", "/v1/apply", "r", customerChange("mill", 1, 0)); code != 200 {
		t.Errorf("apply after another member has stopped: got %d %v, want 200", code, body)
	}
	if code, body := group[2].call("POST", "/v1/bootstrap", "", nil); code != http.StatusConflict {
		t.Errorf("bootstrap of a member: got %d %v, want 409", code, body)
	}
}

// TestLeaseExpiryAcrossLeaders guards against sessions and upstreams that expire because the leader changed, and against
// sessions and upstreams that never expire.
func TestLeaseExpiryAcrossLeaders(t *testing.T) {
	group := newGroup(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	leader := leaderOf(t, group)
	client := dial(t, leader)
	open := func(name string) uint64 {
		opened, err := client.OpenSession(ctx, &fleetpb.OpenSessionRequest{Name: name, Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		return opened.SessionId
	}
	kept, lost := open("kept"), open("lost")
	// A new leader grants the order lease only after each lease that the previous leader may have granted has expired.
	for start := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		for _, id := range []uint64{kept, lost} {
			if _, err := client.Keepalive(ctx, &fleetpb.KeepaliveRequest{SessionId: id}); err != nil {
				t.Fatal(err)
			}
		}
		got, err := client.AcquireOrderLease(ctx, &fleetpb.AcquireOrderLeaseRequest{SessionId: lost})
		if err != nil || time.Since(start) > 5*time.Second {
			t.Fatalf("order lease: got %v %v, want the lease within 5 s", got, err)
		}
		if got.Held {
			break
		}
	}
	upstream := &fleetpb.Upstream{
		Id: "u", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:1", Kind: "engine", State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE,
	}
	if got, err := client.AnnounceUpstream(ctx, &fleetpb.AnnounceUpstreamRequest{Upstream: upstream}); err != nil || got.Code != 0 {
		t.Fatalf("announce: got %v %v, want OK", got, err)
	}
	leader.crash()
	live := without(group, leader)
	leader = leaderOf(t, live)
	client = dial(t, leader)
	elected := time.Now()
	var ended, acquired, markedDown time.Duration
	for time.Since(elected) < 6*time.Second {
		request := &fleetpb.KeepaliveRequest{SessionId: kept, Alive: []*fleetpb.UpstreamRef{{Id: "u", Incarnation: 0}}}
		if got, err := client.Keepalive(ctx, request); err != nil || got.SessionEnded {
			t.Fatalf("keepalive: got %v %v, want the session to stay open", got, err)
		}
		state := leader.server.state
		if ended == 0 && state.Session(lost) == nil {
			ended = time.Since(elected)
		}
		if markedDown == 0 && state.Upstream("u").State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
			markedDown = time.Since(elected)
		}
		if acquired == 0 {
			got, err := client.AcquireOrderLease(ctx, &fleetpb.AcquireOrderLeaseRequest{SessionId: kept})
			if err != nil {
				t.Fatal(err)
			}
			if got.Held {
				acquired = time.Since(elected)
				if got.Fence != 2 {
					t.Errorf("fence: got %d, want 2", got.Fence)
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	// leaderOf may detect the election late, which shortens the measured times.
	for name, c := range map[string]struct{ got, low, high time.Duration }{
		"session ended":        {ended, 2500 * time.Millisecond, 4 * time.Second},
		"upstream down":        {markedDown, 1500 * time.Millisecond, 4 * time.Second},
		"order lease acquired": {acquired, 2500 * time.Millisecond, 5 * time.Second},
	} {
		if c.got < c.low || c.got > c.high {
			t.Errorf("%s: got %v after the election, want %v to %v", name, c.got, c.low, c.high)
		}
	}
	follower := without(live, leader)[0]
	_, err := dial(t, follower).Keepalive(ctx, &fleetpb.KeepaliveRequest{SessionId: kept})
	if status.Code(err) != codes.FailedPrecondition || len(status.Convert(err).Details()) != 1 {
		t.Fatalf("keepalive at a follower: got %v, want FAILED_PRECONDITION with a detail", err)
	}
	if detail, ok := status.Convert(err).Details()[0].(*fleetpb.NotLeader); !ok || detail.Address != leader.proxy.address() {
		t.Errorf("detail: got %v, want the leader's address %s", detail, leader.proxy.address())
	}
}
