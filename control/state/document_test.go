package state

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

func apply(t *testing.T, m *Machine, index uint64, c *fleetpb.Command) *fleetpb.Result {
	t.Helper()
	data, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(index, data)
}

func put(version uint64, data string) *fleetpb.Command {
	return &fleetpb.Command{Body: &fleetpb.Command_PutDocument{
		PutDocument: &fleetpb.PutDocument{Version: version, Data: []byte(data)},
	}}
}

// TestDocument guards against an older document that replaces a newer one, against new content under the stored version,
// and against a document that a snapshot does not contain.
func TestDocument(t *testing.T) {
	m := New()
	for i, test := range []struct {
		version     uint64
		data        string
		wantVersion uint64
		wantData    string
	}{
		{0, "", 0, ""},
		{5, "five", 5, "five"},
		{5, "other", 5, "five"},
		{4, "four", 5, "five"},
		{9, "nine", 9, "nine"},
		{5, "five", 9, "nine"},
	} {
		result := apply(t, m, uint64(i+1), put(test.version, test.data))
		if result.Code != fleetpb.ResultCode_RESULT_CODE_OK || result.GetDocument().GetVersion() != test.wantVersion {
			t.Errorf("put %d: got %v, want version %d stored", test.version, result, test.wantVersion)
		}
		if got := string(m.Document().GetData()); got != test.wantData {
			t.Errorf("put %d: got %q, want %q stored", test.version, got, test.wantData)
		}
	}
	if read := apply(t, m, 20, put(0, "")); string(read.GetDocument().GetData()) != "nine" {
		t.Errorf("read: got %v, want the newest document", read)
	}
	if e := m.EventAfter(3); e.Document.GetVersion() != 9 {
		t.Errorf("watcher: got %v, want the newest document", e.Document)
	}
	data, err := m.Capture().Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if got := string(restored.Document().GetData()); got != "nine" {
		t.Errorf("restored: got %q, want the newest document", got)
	}
}

func announce(id, address string, incarnation, sequence uint64, state fleetpb.UpstreamState) *fleetpb.Command {
	return &fleetpb.Command{Body: &fleetpb.Command_AnnounceUpstream{AnnounceUpstream: &fleetpb.AnnounceUpstreamRequest{Upstream: &fleetpb.Upstream{
		Id: id, Address: address, Incarnation: incarnation, Sequence: sequence, Kind: "service", State: state,
	}}}}
}

// TestLateAnnouncements guards against an announcement that a partition delayed and that makes an upstream active again
// although the upstream has left or has lost its address to another upstream.
func TestLateAnnouncements(t *testing.T) {
	const (
		active  = fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE
		leaving = fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING
		down    = fleetpb.UpstreamState_UPSTREAM_STATE_DOWN
	)
	m := New()
	index := uint64(0)
	step := func(c *fleetpb.Command) fleetpb.ResultCode {
		index++
		return apply(t, m, index, c).Code
	}
	check := func(what, id string, want fleetpb.UpstreamState) {
		t.Helper()
		if got := m.Upstream(id).GetState(); got != want {
			t.Errorf("%s: got %v for %s, want %v", what, got, id, want)
		}
	}
	step(announce("a", "10.0.0.1:1", 100, 1, active))
	step(&fleetpb.Command{Body: &fleetpb.Command_AnnounceUpstream{AnnounceUpstream: &fleetpb.AnnounceUpstreamRequest{
		Upstream: &fleetpb.Upstream{Id: "a"}, Withdraw: true,
	}}})
	check("withdrawn", "a", leaving)
	if code := step(announce("a", "10.0.0.1:1", 100, 7, active)); code != fleetpb.ResultCode_RESULT_CODE_STALE {
		t.Errorf("late announcement of the withdrawn incarnation: got %v, want stale", code)
	}
	check("late announcement", "a", leaving)
	step(announce("a", "10.0.0.1:1", 200, 1, active))
	check("new incarnation", "a", active)
	step(announce("b", "10.0.0.1:1", 300, 1, active))
	check("address taken over", "a", down)
	check("address taken over", "b", active)
	if code := step(announce("a", "10.0.0.1:1", 200, 2, active)); code != fleetpb.ResultCode_RESULT_CODE_STALE {
		t.Errorf("announcement of the former holder of the address: got %v, want stale", code)
	}
	check("after the former holder's announcement", "b", active)
}
