package member

import (
	"testing"

	"azuredoor.example/core/fleetpb"
)

// TestPeerQueueDropsTheOldest guards against a dead peer that blocks the member's loop, and against a peer that receives
// outdated messages first after it returns.
func TestPeerQueueDropsTheOldest(t *testing.T) {
	p := &peer{queue: make(chan *fleetpb.ConsensusMessage, 3)}
	for index := range uint64(5) {
		p.send(&fleetpb.ConsensusMessage{Index: index})
	}
	for want := uint64(2); want < 5; want++ {
		if got := (<-p.queue).Index; got != want {
			t.Errorf("got message %d, want %d", got, want)
		}
	}
}

// TestOnlyCommandsWithRequestIDAreResent guards against a retry of a command that may have been applied and has no
// request ID.
func TestOnlyCommandsWithRequestIDAreResent(t *testing.T) {
	for _, test := range []struct {
		command *fleetpb.Command
		want    bool
	}{
		{&fleetpb.Command{Body: &fleetpb.Command_ApplyConfig{}}, true},
		{&fleetpb.Command{Body: &fleetpb.Command_SetDesired{}}, true},
		{&fleetpb.Command{Body: &fleetpb.Command_Claim{}}, false},
		{&fleetpb.Command{Body: &fleetpb.Command_Complete{}}, false},
		{&fleetpb.Command{Body: &fleetpb.Command_OpenSession{}}, false},
	} {
		if got := isIdempotent(test.command); got != test.want {
			t.Errorf("%T: got %v, want %v", test.command.Body, got, test.want)
		}
	}
}
