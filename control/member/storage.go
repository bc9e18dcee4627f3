package member

import (
	"azuredoor.example/core/consensus"
	"azuredoor.example/core/fleetpb"
)

// Storage persists the state of a member. Methods are not called concurrently. After an error the member stops.
type Storage interface {
	// Save stores the snapshot, the entries and the hard state of a Ready. If MustSync is set, all data must be on
	// disk when Save returns.
	Save(ready consensus.Ready) error
	// SaveSnapshot stores a snapshot of applied entries and may drop the entries covered by the snapshot.
	SaveSnapshot(snapshot *fleetpb.Snapshot) error
}
