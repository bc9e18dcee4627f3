package state

import (
	"container/heap"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
)

// Snapshot is the state at one index. Commands that the machine applies later do not change the snapshot.
type Snapshot struct {
	message *fleetpb.StateSnapshot
}

// Capture returns a snapshot of the current state. The snapshot shares the records of the machine, so the cost is a few
// pointers for each record.
func (m *Machine) Capture() *Snapshot {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &fleetpb.StateSnapshot{
		Applied: m.applied, Revision: m.revision, StateIndex: m.stateIndex, TimeMillis: m.timeMillis,
		Objects:  slices.Collect(maps.Values(m.objects)),
		Sessions: sortedValues(m.sessions), Upstreams: sortedValues(m.upstreams),
		Claims: slices.Collect(maps.Values(m.claims)), History: slices.Clone(m.history), OrderLease: m.orderLease,
		FirstSession: m.firstSession, Document: m.document, Evacuations: sortedValues(m.evacuations),
	}
	for _, id := range m.requestOrder {
		s.Requests = append(s.Requests, m.requests[id])
	}
	return &Snapshot{message: s}
}

// Applied returns the index of the snapshot.
func (c *Snapshot) Applied() uint64 { return c.message.Applied }

// Encode serializes the snapshot. Equal states give equal bytes.
func (c *Snapshot) Encode() ([]byte, error) {
	sortObjects(c.message.Objects)
	sortClaims(c.message.Claims)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.message)
	return data, eris.Wrap(err, "encode the state snapshot")
}

// Restore replaces the state with an encoded snapshot. After an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	s := &fleetpb.StateSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return eris.Wrap(err, "decode the state snapshot")
	}
	changes := make([]config.Change, 0, len(s.Objects))
	for _, object := range s.Objects {
		spec, err := config.Decode(object.Kind, object.Name, object.Spec)
		if err != nil {
			return eris.Wrap(err, "decode an object of the state snapshot")
		}
		changes = append(changes, config.Change{Kind: object.Kind, Name: object.Name, Spec: spec})
	}
	set, err := config.NewSet().Apply(changes)
	if err != nil {
		return eris.Wrap(err, "validate the objects of the state snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	m.config = set
	m.applied, m.revision, m.stateIndex, m.timeMillis = s.Applied, s.Revision, s.StateIndex, s.TimeMillis
	m.firstSession, m.document = s.FirstSession, s.Document
	m.restoreRecords(s)
	// A watcher that has seen the newest change has missed nothing and does not need the whole state.
	m.recentChanges.lastDropped = s.StateIndex
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

func (m *Machine) restoreRecords(s *fleetpb.StateSnapshot) {
	for _, object := range s.Objects {
		m.objects[objectKey{object.Kind, object.Name}] = object
	}
	for _, session := range s.Sessions {
		m.sessions[session.Id] = session
		m.sessionsByName[session.Name] = session.Id
	}
	for _, upstream := range s.Upstreams {
		m.upstreams[upstream.Id] = upstream
	}
	for _, record := range s.Claims {
		m.putClaim(claimKey{record.Customer, record.IdempotencyKey}, record)
	}
	heap.Init(&m.expiries)
	m.history = s.History
	for _, record := range s.History {
		m.historyChanges += len(record.Changes)
	}
	if s.OrderLease != nil {
		m.orderLease = s.OrderLease
	}
	for _, e := range s.Evacuations {
		m.evacuations[e.FailureDomain] = e
	}
	for _, request := range s.Requests {
		m.requests[request.RequestId] = request
		m.requestOrder = append(m.requestOrder, request.RequestId)
	}
}
