package state

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

const (
	ok       = fleetpb.ResultCode_RESULT_CODE_OK
	conflict = fleetpb.ResultCode_RESULT_CODE_CONFLICT
	invalid  = fleetpb.ResultCode_RESULT_CODE_INVALID
	notFound = fleetpb.ResultCode_RESULT_CODE_NOT_FOUND
	ended    = fleetpb.ResultCode_RESULT_CODE_SESSION_ENDED
	stale    = fleetpb.ResultCode_RESULT_CODE_STALE

	granted    = fleetpb.ClaimOutcome_CLAIM_OUTCOME_GRANTED
	inProgress = fleetpb.ClaimOutcome_CLAIM_OUTCOME_IN_PROGRESS
	unknown    = fleetpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN
	done       = fleetpb.ClaimOutcome_CLAIM_OUTCOME_DONE

	active  = fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE
	leaving = fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING
	down    = fleetpb.UpstreamState_UPSTREAM_STATE_DOWN
)

// harness applies commands at consecutive indexes to a machine and keeps their encoded form.
type harness struct {
	t       *testing.T
	machine *Machine
	index   uint64
	millis  int64
	log     [][]byte
}

func newHarness(t *testing.T) *harness { return &harness{t: t, machine: New(), millis: 1000} }

func (h *harness) apply(command *fleetpb.Command) *fleetpb.Result {
	h.t.Helper()
	command.TimeMillis = h.millis
	data, err := proto.Marshal(command)
	if err != nil {
		h.t.Fatal(err)
	}
	h.index++
	h.log = append(h.log, data)
	return h.machine.Apply(h.index, data)
}

func (h *harness) config(requestID string, changes ...*fleetpb.ObjectChange) *fleetpb.Result {
	h.t.Helper()
	return h.apply(&fleetpb.Command{Body: &fleetpb.Command_ApplyConfig{ApplyConfig: &fleetpb.ApplyConfig{
		RequestId: requestID, Operator: "ana", Changes: changes,
	}}})
}

func (h *harness) open(name string, incarnation uint64) uint64 {
	h.t.Helper()
	return h.apply(&fleetpb.Command{Body: &fleetpb.Command_OpenSession{OpenSession: &fleetpb.OpenSessionRequest{
		Name: name, Incarnation: incarnation,
	}}}).OpenSession.GetSessionId()
}

func (h *harness) end(id uint64) {
	h.t.Helper()
	h.apply(&fleetpb.Command{Body: &fleetpb.Command_EndSessions{EndSessions: &fleetpb.EndSessions{SessionIds: []uint64{id}}}})
}

func (h *harness) claim(session uint64, key, body, requestID string) *fleetpb.ClaimResponse {
	h.t.Helper()
	return h.apply(&fleetpb.Command{Body: &fleetpb.Command_Claim{Claim: &fleetpb.ClaimRequest{
		SessionId: session, Customer: "mill", IdempotencyKey: key, BodyHash: []byte(body), RetentionSeconds: 10, RequestId: requestID,
	}}}).Claim
}

func (h *harness) complete(key string, attempt uint64, state fleetpb.ClaimState) fleetpb.ResultCode {
	h.t.Helper()
	return h.apply(&fleetpb.Command{Body: &fleetpb.Command_Complete{Complete: &fleetpb.CompleteRequest{
		Customer: "mill", IdempotencyKey: key, Attempt: attempt, State: state,
		Answer: &fleetpb.StoredAnswer{Status: 200, Body: []byte("booked")},
	}}}).Code
}

func (h *harness) announce(id string, incarnation, sequence uint64, state fleetpb.UpstreamState) fleetpb.ResultCode {
	h.t.Helper()
	return h.apply(&fleetpb.Command{Body: &fleetpb.Command_AnnounceUpstream{AnnounceUpstream: &fleetpb.AnnounceUpstreamRequest{Upstream: &fleetpb.Upstream{
		Id: id, Incarnation: incarnation, Sequence: sequence, State: state, Address: "127.0.0.1:1", Kind: "engine",
	}}}}).Code
}

// customer returns a change that sets the weight of a customer. A negative expect accepts any version.
func customer(name string, weight int, expect int) *fleetpb.ObjectChange {
	change := &fleetpb.ObjectChange{Kind: "customer", Name: name, Spec: fmt.Appendf(nil, `{"weight":%d}`, weight)}
	if change.AnyVersion = expect < 0; expect >= 0 {
		change.ExpectVersion = uint64(expect)
	}
	return change
}

func encode(t *testing.T, m *Machine) []byte {
	t.Helper()
	data, err := m.Capture().Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestApplyConfigVersions guards against lost updates when two operators change the same version of an object, and
// against partly applied change sets.
func TestApplyConfigVersions(t *testing.T) {
	h := newHarness(t)
	if got := h.config("r1", customer("mill", 1, 0), customer("shop", 1, 0)); got.Code != ok || got.Revision != 1 {
		t.Fatalf("create: got %v, want revision 1", got)
	}
	key := &fleetpb.ObjectChange{Kind: "key", Name: "k", Spec: []byte(`{"customer":"nobody","sha256":"` + fmt.Sprintf("%064d", 1) + `"}`)}
	remove := func(name string) *fleetpb.ObjectChange {
		return &fleetpb.ObjectChange{Kind: "customer", Name: name, Delete: true, AnyVersion: true}
	}
	for i, test := range []struct {
		name     string
		changes  []*fleetpb.ObjectChange
		want     fleetpb.ResultCode
		revision uint64
		current  int
	}{
		{"first operator", []*fleetpb.ObjectChange{customer("mill", 2, 1)}, ok, 2, 0},
		{"second operator, same version", []*fleetpb.ObjectChange{customer("mill", 3, 1)}, conflict, 2, 1},
		{"one of two conflicts", []*fleetpb.ObjectChange{customer("shop", 9, 1), customer("mill", 3, 1)}, conflict, 2, 1},
		{"must not exist", []*fleetpb.ObjectChange{customer("shop", 9, 0)}, conflict, 2, 1},
		{"expected but missing", []*fleetpb.ObjectChange{customer("gone", 9, 1)}, conflict, 2, 0},
		{"one of two invalid", []*fleetpb.ObjectChange{customer("shop", 9, 1), customer("mill", 0, 2)}, invalid, 2, 0},
		{"dangling reference", []*fleetpb.ObjectChange{key}, invalid, 2, 0},
		{"twice the same", []*fleetpb.ObjectChange{customer("shop", 8, 1), customer("shop", 9, 1)}, invalid, 2, 0},
		{"delete what is missing", []*fleetpb.ObjectChange{remove("gone")}, notFound, 2, 0},
		{"empty", nil, invalid, 2, 0},
		{"any version", []*fleetpb.ObjectChange{customer("mill", 4, -1)}, ok, 3, 0},
		{"delete", []*fleetpb.ObjectChange{remove("mill")}, ok, 4, 0},
	} {
		got := h.config(fmt.Sprint("t", i), test.changes...)
		if got.Code != test.want || got.Revision != test.revision || len(got.Current) != test.current {
			t.Errorf("%s: got %v, want code %v at revision %d with %d current objects", test.name, got, test.want, test.revision, test.current)
		}
	}
	if shop, _ := h.machine.Object("customer", "shop"); shop.Version != 1 || string(shop.Spec) != `{"weight":1}` {
		t.Errorf("unchanged object: got %v, want version 1 with weight 1", shop)
	}
	if got := h.machine.History(1, 10); len(got) != 3 || got[0].Revision != 2 || got[0].Operator != "ana" || got[0].TimeMillis != 1000 {
		t.Errorf("history after revision 1: got %v, want 3 records by ana, the first at revision 2 and 1000 ms", got)
	}
}

// TestRequestResend guards against a resend that is applied twice, and against another request that gets the result stored
// under its request ID, also on a member that was restored from a snapshot.
func TestRequestResend(t *testing.T) {
	h := newHarness(t)
	first := h.config("r1", customer("mill", 1, 0))
	h.config("r2", customer("mill", 2, 1))
	restored := New()
	if err := restored.Restore(encode(t, h.machine)); err != nil {
		t.Fatal(err)
	}
	for name, machine := range map[string]*Machine{"same": h.machine, "restored": restored} {
		h.machine = machine
		h.index = machine.Applied()
		if got := h.config("r1", customer("mill", 1, 0)); got.Code != ok || got.Revision != first.Revision {
			t.Errorf("%s: resend: got %v, want the first result %v", name, got, first)
		}
		if got := h.config("r1", customer("mill", 9, 0)); got.Code != invalid {
			t.Errorf("%s: other content under the request ID: got %v, want an invalid result", name, got)
		}
		if got := machine.Revision(); got != 2 {
			t.Errorf("%s: revision: got %d, want 2", name, got)
		}
	}
}

// TestRequestsAndHistoryAreBounded guards against unbounded memory: only the newest request IDs and history records stay.
func TestRequestsAndHistoryAreBounded(t *testing.T) {
	h := newHarness(t)
	for i := range maxRequestResults + 5 {
		h.config(fmt.Sprint("r", i), customer("mill", 1+i%9, -1))
	}
	if got := len(h.machine.requests); got != maxRequestResults {
		t.Errorf("request IDs: got %d, want %d", got, maxRequestResults)
	}
	if got := len(h.machine.History(0, 1<<30)); got != maxHistoryRecords {
		t.Errorf("history: got %d, want %d", got, maxHistoryRecords)
	}
	large := make([]*fleetpb.ObjectChange, maxChangesPerSet)
	for i := range large {
		large[i] = customer(fmt.Sprint("c", i), 1, -1)
	}
	for i := range 7 {
		h.config(fmt.Sprint("large", i), large...)
	}
	if got := len(h.machine.History(0, 1<<30)); got != maxHistoryChanges/maxChangesPerSet {
		t.Errorf("history of large change sets: got %d, want %d", got, maxHistoryChanges/maxChangesPerSet)
	}
}

func TestSessions(t *testing.T) {
	h := newHarness(t)
	first := h.open("entry-1", 7)
	if got := h.open("entry-1", 7); got != first {
		t.Errorf("resend: got session %d, want %d", got, first)
	}
	h.claim(first, "k", "body", "q")
	second := h.open("entry-1", 8)
	if second == first || h.machine.Session(first) != nil || h.machine.Session(second) == nil {
		t.Errorf("new incarnation: got session %d, want a new session that ends session %d", second, first)
	}
	if got := h.claim(second, "k", "body", "q"); got.Outcome != unknown {
		t.Errorf("claim of the ended session: got %v, want unknown", got)
	}
}

// TestClaims guards against a request that runs more than once, for each order of claims and completions (invariant I7).
func TestClaims(t *testing.T) {
	notRun, doneState, unknownState := fleetpb.ClaimState_CLAIM_STATE_NOT_RUN,
		fleetpb.ClaimState_CLAIM_STATE_DONE, fleetpb.ClaimState_CLAIM_STATE_UNKNOWN
	h := newHarness(t)
	a, b := h.open("a", 1), h.open("b", 1)
	attempt := h.claim(a, "k", "body", "q1").Attempt
	expect := func(step string, got, want *fleetpb.ClaimResponse) {
		t.Helper()
		if got.Outcome != want.Outcome || want.Attempt != 0 && got.Attempt != want.Attempt {
			t.Errorf("%s: got %v, want %v", step, got, want)
		}
	}
	code := func(step string, got, want fleetpb.ResultCode) {
		t.Helper()
		if got != want {
			t.Errorf("%s: got %v, want %v", step, got, want)
		}
	}
	expect("resend", h.claim(a, "k", "body", "q1"), &fleetpb.ClaimResponse{Outcome: granted, Attempt: attempt})
	expect("other request", h.claim(a, "k", "body", "q2"), &fleetpb.ClaimResponse{Outcome: inProgress})
	expect("other session, same request ID", h.claim(b, "k", "body", "q1"), &fleetpb.ClaimResponse{Outcome: inProgress})
	expect("other body", h.claim(b, "k", "other", "q3"), &fleetpb.ClaimResponse{Outcome: fleetpb.ClaimOutcome_CLAIM_OUTCOME_CONFLICT})
	expect("ended session", h.claim(999, "k", "body", "q1"), &fleetpb.ClaimResponse{Outcome: fleetpb.ClaimOutcome_CLAIM_OUTCOME_SESSION_ENDED})
	code("notRun of another attempt", h.complete("k", attempt+1, notRun), stale)
	code("notRun", h.complete("k", attempt, notRun), ok)
	code("notRun again", h.complete("k", attempt, notRun), notFound)
	next := h.claim(b, "k", "body", "q4").Attempt
	code("done of the old attempt", h.complete("k", attempt, doneState), stale)
	h.end(b)
	code("notRun after the session ended", h.complete("k", next, notRun), stale)
	expect("after the session ended", h.claim(a, "k", "body", "q5"), &fleetpb.ClaimResponse{Outcome: unknown})
	code("done after the session ended", h.complete("k", next, doneState), ok)
	code("unknown after done", h.complete("k", next, unknownState), stale)
	code("done again", h.complete("k", next, doneState), ok)
	if got := h.claim(a, "k", "body", "q6"); got.Outcome != done || string(got.Answer.Body) != "booked" {
		t.Errorf("claim when done: got %v, want the stored answer", got)
	}
	h.millis += 9_999
	expect("before retention ends", h.claim(a, "k", "body", "q7"), &fleetpb.ClaimResponse{Outcome: done})
	h.millis++
	expect("after retention ended", h.claim(a, "k", "body", "q8"), &fleetpb.ClaimResponse{Outcome: granted})
	h.millis += 1_000_000
	expect("in progress does not expire", h.claim(a, "k", "body", "q9"), &fleetpb.ClaimResponse{Outcome: inProgress})
	h.millis -= 2_000_000
	h.complete("k", h.index-1, unknownState)
	if got := h.machine.timeMillis; got != 1_011_000 {
		t.Errorf("time after a step back: got %d, want 1011000", got)
	}
}

func TestLargeAnswerIsStoredWithoutBody(t *testing.T) {
	got := OmitLargeBody(&fleetpb.StoredAnswer{Status: 200, Body: make([]byte, MaxAnswerBytes+1)})
	if got.Status != 200 || len(got.Body) != 0 || !got.BodyOmitted {
		t.Errorf("got %d bytes with omitted flag %v, want no body and the flag set", len(got.Body), got.BodyOmitted)
	}
}

// TestUpstreams guards against an old announcement that makes a leaving or stopped upstream active again (invariant I8).
func TestUpstreams(t *testing.T) {
	h := newHarness(t)
	setDesired := func(request string, desired fleetpb.DesiredState) fleetpb.ResultCode {
		return h.apply(&fleetpb.Command{Body: &fleetpb.Command_SetDesired{SetDesired: &fleetpb.SetDesired{
			RequestId: request, UpstreamId: "u", Desired: desired,
		}}}).Code
	}
	markDown := func(incarnation uint64) {
		h.apply(&fleetpb.Command{Body: &fleetpb.Command_MarkUpstreamsDown{MarkUpstreamsDown: &fleetpb.MarkUpstreamsDown{
			Upstreams: []*fleetpb.UpstreamRef{{Id: "u", Incarnation: incarnation}},
		}}})
	}
	remove := func(request string) fleetpb.ResultCode {
		return h.apply(&fleetpb.Command{Body: &fleetpb.Command_RemoveUpstream{RemoveUpstream: &fleetpb.RemoveUpstream{
			RequestId: request, UpstreamId: "u",
		}}}).Code
	}
	check := func(step string, got, want fleetpb.ResultCode, state fleetpb.UpstreamState) {
		t.Helper()
		if u := h.machine.Upstream("u"); got != want || u.GetState() != state {
			t.Errorf("%s: got code %v and state %v, want code %v and state %v", step, got, u.GetState(), want, state)
		}
	}
	check("stop of an unknown upstream", setDesired("d0", fleetpb.DesiredState_DESIRED_STATE_STOPPED), notFound, 0)
	check("first", h.announce("u", 1, 5, active), ok, active)
	check("older", h.announce("u", 1, 4, leaving), stale, active)
	check("leaving", h.announce("u", 1, 6, leaving), ok, leaving)
	check("late active", h.announce("u", 1, 5, active), stale, leaving)
	check("same sequence, other state", h.announce("u", 1, 6, active), stale, leaving)
	markDown(1)
	if u := h.machine.Upstream("u"); !u.WasLeaving {
		t.Errorf("down after leaving: got %v, want it to count as one that was leaving", u)
	}
	check("late active after down", h.announce("u", 1, 5, active), stale, down)
	check("leaving again", h.announce("u", 1, 7, leaving), ok, leaving)
	check("stopped", setDesired("d1", fleetpb.DesiredState_DESIRED_STATE_STOPPED), ok, leaving)
	check("restarted", h.announce("u", 2, 1, active), ok, active)
	if got := h.machine.Upstream("u").Desired; got != fleetpb.DesiredState_DESIRED_STATE_STOPPED {
		t.Errorf("desired state after a restart: got %v, want stopped", got)
	}
	check("previous incarnation", h.announce("u", 1, 9, leaving), stale, active)
	markDown(1)
	check("down of the previous incarnation", ok, ok, active)
	check("removed while active", remove("x1"), conflict, active)
	markDown(2)
	check("down", ok, ok, down)
	check("resent after down", h.announce("u", 2, 1, active), stale, down)
	check("back", h.announce("u", 2, 2, active), ok, active)
	markDown(2)
	check("removed", remove("x2"), ok, 0)
	forget := func(step string, state fleetpb.UpstreamState) {
		t.Helper()
		refs := []*fleetpb.UpstreamRef{{Id: "u", Incarnation: 2}}
		h.apply(&fleetpb.Command{Body: &fleetpb.Command_MarkUpstreamsDown{MarkUpstreamsDown: &fleetpb.MarkUpstreamsDown{
			Upstreams: refs, Forget: true,
		}}})
		check(step, ok, ok, state)
	}
	h.announce("u", 2, 3, active)
	forget("forget an active upstream", active)
	markDown(2)
	setDesired("d2", fleetpb.DesiredState_DESIRED_STATE_STOPPED)
	forget("forget a stopped upstream", down)
	setDesired("d3", fleetpb.DesiredState_DESIRED_STATE_ACTIVE)
	forget("forget", 0)
}

func TestOrderLeaseFenceGrowsWithEachHolder(t *testing.T) {
	h := newHarness(t)
	a, b := h.open("a", 1), h.open("b", 1)
	acquire := func(id uint64) *fleetpb.Result {
		return h.apply(&fleetpb.Command{Body: &fleetpb.Command_AcquireOrderLease{
			AcquireOrderLease: &fleetpb.AcquireOrderLeaseRequest{SessionId: id},
		}})
	}
	for i, step := range []struct{ session, fence uint64 }{{a, 1}, {a, 1}, {b, 2}, {a, 3}} {
		if got := acquire(step.session); got.OrderLease.GetFence() != step.fence {
			t.Errorf("step %d: got %v, want fence %d", i, got, step.fence)
		}
	}
	h.end(a)
	if got := acquire(a); got.Code != ended {
		t.Errorf("ended session: got %v, want session ended", got)
	}
	if got := acquire(b); got.OrderLease.GetFence() != 4 {
		t.Errorf("after the holder ended: got %v, want fence 4", got)
	}
}

// TestDeterminismAndSnapshotRoundTrip guards against members that diverge: random commands must give the same bytes on
// a second machine, also if the second machine is restored from a snapshot between two commands.
func TestDeterminismAndSnapshotRoundTrip(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t)
		var sessions []uint64
		for i := range 300 {
			h.millis += random.Int64N(3000) - 500
			key := fmt.Sprint("k", random.IntN(8))
			switch random.IntN(7) {
			case 0:
				sessions = append(sessions, h.open(fmt.Sprint("e", random.IntN(5)), random.Uint64N(3)))
			case 1:
				h.end(random.Uint64N(h.index + 1))
			case 2, 3:
				if len(sessions) > 0 {
					h.claim(sessions[random.IntN(len(sessions))], key, "body", fmt.Sprint(random.IntN(3)))
				}
			case 4:
				h.complete(key, random.Uint64N(h.index+1), fleetpb.ClaimState(2+random.IntN(3)))
			case 5:
				h.announce(fmt.Sprint("u", random.IntN(4)), random.Uint64N(3), random.Uint64N(9), fleetpb.UpstreamState(1+random.IntN(2)))
			case 6:
				h.config(fmt.Sprint("r", random.IntN(60)), customer(fmt.Sprint("c", random.IntN(4)), 1+i, random.IntN(5)-1))
			}
		}
		other := New()
		restartAt := random.IntN(len(h.log))
		for i, data := range h.log {
			if i == restartAt {
				next := New()
				if err := next.Restore(encode(t, other)); err != nil {
					t.Fatal(err)
				}
				other = next
			}
			other.Apply(uint64(i+1), data)
		}
		if got, want := encode(t, other), encode(t, h.machine); string(got) != string(want) {
			t.Errorf("seed %d: the states differ after a restart from a snapshot before command %d", seed, restartAt)
		}
	}
}

// TestOnlyFirstSessionGetsFirstFlag guards against token buckets that start full although an entry with an earlier session
// may have lent their tokens.
func TestOnlyFirstSessionGetsFirstFlag(t *testing.T) {
	h := newHarness(t)
	open := func(name string, incarnation uint64) *fleetpb.OpenSessionResponse {
		return h.apply(&fleetpb.Command{Body: &fleetpb.Command_OpenSession{OpenSession: &fleetpb.OpenSessionRequest{
			Name: name, Incarnation: incarnation,
		}}}).OpenSession
	}
	first := open("entry-1", 1)
	if resent := open("entry-1", 1); !first.First || !resent.First {
		t.Errorf("first flag: got %v, and %v after a resend, want true", first.First, resent.First)
	}
	h.end(first.SessionId)
	restored := New()
	if err := restored.Restore(encode(t, h.machine)); err != nil {
		t.Fatal(err)
	}
	h.machine = restored
	if again := open("entry-1", 2); again.First {
		t.Error("first flag of a session after an ended session: got true, want false")
	}
}

// FuzzRestore guards against a panic on a damaged snapshot, and against a refused snapshot that changes the state.
func FuzzRestore(f *testing.F) {
	m := New()
	f.Add([]byte{})
	data, err := m.Capture().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("\x08\x01\x2a\x02\x0a\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		restored := New()
		before := encode(t, restored)
		if restored.Restore(data) == nil {
			return
		}
		if got := encode(t, restored); string(got) != string(before) {
			t.Error("a refused snapshot changed the state")
		}
	})
}
