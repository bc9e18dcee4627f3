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

// Capture is the state at one index. It stays as it is while the machine goes on.
type Capture struct {
	snapshot *fleetpb.StateSnapshot
}

// Capture returns the current state. Records are shared, so the cost is a few pointers for each.
func (m *Machine) Capture() *Capture {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &fleetpb.StateSnapshot{
		Applied: m.applied, Revision: m.revision, StateIndex: m.stateIndex, TimeMillis: m.timeMillis,
		Objects:  slices.Collect(maps.Values(m.objects)),
		Sessions: sortedValues(m.sessions), Upstreams: sortedValues(m.upstreams),
		Claims: slices.Collect(maps.Values(m.claims)), History: slices.Clone(m.history), OrderLease: m.lease,
		FirstSession: m.firstSession, Document: m.document,
	}
	for _, id := range m.requestOrder {
		s.Requests = append(s.Requests, m.requests[id])
	}
	return &Capture{snapshot: s}
}

// Applied is the index of the capture.
func (c *Capture) Applied() uint64 { return c.snapshot.Applied }

// Encode returns the same bytes for the same state.
func (c *Capture) Encode() ([]byte, error) {
	sortObjects(c.snapshot.Objects)
	sortClaims(c.snapshot.Claims)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.snapshot)
	return data, eris.Wrap(err, "encode the state")
}

// Restore replaces the state by an encoded one. On an error the state stays as it was.
func (m *Machine) Restore(data []byte) error {
	s := &fleetpb.StateSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return eris.Wrap(err, "decode the state")
	}
	changes := make([]config.Change, 0, len(s.Objects))
	for _, object := range s.Objects {
		spec, err := config.Decode(object.Kind, object.Name, object.Spec)
		if err != nil {
			return eris.Wrap(err, "decode the state")
		}
		changes = append(changes, config.Change{Kind: object.Kind, Name: object.Name, Spec: spec})
	}
	set, err := config.NewSet().Apply(changes)
	if err != nil {
		return eris.Wrap(err, "decode the state")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clear()
	m.config = set
	m.applied, m.revision, m.stateIndex, m.timeMillis = s.Applied, s.Revision, s.StateIndex, s.TimeMillis
	m.firstSession, m.document = s.FirstSession, s.Document
	m.restoreRecords(s)
	// Watchers that are current up to the newest change have missed nothing.
	m.recent.floor = s.StateIndex
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
		m.lease = s.OrderLease
	}
	for _, request := range s.Requests {
		m.requests[request.RequestId] = request
		m.requestOrder = append(m.requestOrder, request.RequestId)
	}
}
