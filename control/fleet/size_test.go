package fleet

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/control/state"
	"azuredoor.example/core/fleetpb"
)

func upstreamName(i uint64) string { return fmt.Sprintf("runner-%05d", i) }

// newLargeState returns a state with 900 sessions and 12,000 upstreams.
func newLargeState(b *testing.B) *state.Machine {
	b.Helper()
	machine := state.New()
	apply := func(index uint64, command *fleetpb.Command) {
		data, err := proto.Marshal(command)
		if err != nil {
			b.Fatal(err)
		}
		if got := machine.Apply(index, data); got.Code != fleetpb.ResultCode_RESULT_CODE_OK {
			b.Fatal(got)
		}
	}
	for i := range uint64(900) {
		open := &fleetpb.OpenSessionRequest{Name: fmt.Sprint("entry-", i), Incarnation: 1}
		apply(i+1, &fleetpb.Command{Body: &fleetpb.Command_OpenSession{OpenSession: open}})
	}
	for i := range uint64(12_000) {
		upstream := &fleetpb.Upstream{
			Id: upstreamName(i), Incarnation: 1, Sequence: 1, Address: "127.0.0.1:1", Kind: "engine",
			State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE,
		}
		apply(901+i, &fleetpb.Command{Body: &fleetpb.Command_AnnounceUpstream{
			AnnounceUpstream: &fleetpb.AnnounceUpstreamRequest{Upstream: upstream},
		}})
	}
	return machine
}
