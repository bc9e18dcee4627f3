package state

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"azuredoor.example/core/fleetpb"
)

// maxRecentChanges is the length to which the list of changes for resuming watchers is cut when the list becomes twice as
// long. Several simultaneous changes of each of 12,000 upstreams fit.
const maxRecentChanges = 65_536

type changeKind uint8

const (
	changedObject changeKind = iota
	changedSession
	changedUpstream
	changedLease
	changedDocument
	changedEvacuation
)

// changeKey identifies a changed value. The name in object is the ID of an upstream, or the failure domain of an evacuation.
type changeKey struct {
	kind    changeKind
	object  objectKey
	session uint64
}

// change records that the value of a key changed at an index. The value is looked up when the change is sent, so several
// changes of a key are sent as one.
type change struct {
	index uint64
	key   changeKey
}

// recentChanges holds the newest changes, ordered by index. Changes at or below lastDropped are no longer kept.
type recentChanges struct {
	lastDropped uint64
	changes     []change
	// total is the number of changes that were ever added.
	total uint64
}

func (r *recentChanges) add(c change) {
	r.total++
	r.changes = append(r.changes, c)
	if len(r.changes) > 2*maxRecentChanges {
		r.lastDropped = r.changes[len(r.changes)-maxRecentChanges-1].index
		from := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].index > r.lastDropped })
		r.changes = slices.Clone(r.changes[from:])
	}
}

func (r *recentChanges) after(index uint64) []change {
	from := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].index > index })
	return r.changes[from:]
}

// Changed returns a channel that is closed at the next change that watchers receive.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// EventAfter returns the changes after index for a watcher. The event contains the whole state if index is 0 or older
// than the kept changes. EventAfter returns nil if index is ahead of this member.
func (m *Machine) EventAfter(index uint64) *fleetpb.WatchEvent {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if index > m.applied {
		return nil
	}
	event := &fleetpb.WatchEvent{Index: m.applied, Revision: m.revision, TimeMillis: m.timeMillis}
	if index == 0 || index < m.recentChanges.lastDropped {
		event.Reset_ = true
		event.Objects = slices.Collect(maps.Values(m.objects))
		event.Sessions = slices.Collect(maps.Values(m.sessions))
		event.Upstreams = slices.Collect(maps.Values(m.upstreams))
		event.OrderLease = m.orderLease
		event.Document = m.document
		event.Evacuations = slices.Collect(maps.Values(m.evacuations))
		return event
	}
	seen := map[changeKey]bool{}
	for _, c := range m.recentChanges.after(index) {
		if !seen[c.key] {
			seen[c.key] = true
			m.appendChange(event, c.key)
		}
	}
	return event
}

func (m *Machine) appendChange(event *fleetpb.WatchEvent, key changeKey) {
	switch key.kind {
	case changedObject:
		if object, ok := m.objects[key.object]; ok {
			event.Objects = append(event.Objects, object)
		} else {
			event.DeletedObjects = append(event.DeletedObjects, &fleetpb.ObjectRef{Kind: key.object.kind, Name: key.object.name})
		}
	case changedSession:
		if session, ok := m.sessions[key.session]; ok {
			event.Sessions = append(event.Sessions, session)
		} else {
			event.EndedSessions = append(event.EndedSessions, key.session)
		}
	case changedUpstream:
		if upstream, ok := m.upstreams[key.object.name]; ok {
			event.Upstreams = append(event.Upstreams, upstream)
		} else {
			event.RemovedUpstreams = append(event.RemovedUpstreams, key.object.name)
		}
	case changedLease:
		event.OrderLease = m.orderLease
	case changedDocument:
		event.Document = m.document
	case changedEvacuation:
		event.Evacuations = append(event.Evacuations, m.evacuations[key.object.name])
	}
}

// Objects returns the objects of a kind, or all objects if kind is empty, ordered by kind and name, and the configuration
// revision.
func (m *Machine) Objects(kind string) ([]*fleetpb.Object, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var list []*fleetpb.Object
	for key, object := range m.objects {
		if kind == "" || key.kind == kind {
			list = append(list, object)
		}
	}
	sortObjects(list)
	return list, m.revision
}

// Object returns an object, or nil if it does not exist, and the configuration revision.
func (m *Machine) Object(kind, name string) (*fleetpb.Object, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.objects[objectKey{kind, name}], m.revision
}

// History returns up to limit records with a revision above after, oldest first.
func (m *Machine) History(after uint64, limit int) []*fleetpb.HistoryRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	from := sort.Search(len(m.history), func(i int) bool { return m.history[i].Revision > after })
	return slices.Clone(m.history[from:min(len(m.history), from+limit)])
}

func sortObjects(list []*fleetpb.Object) {
	slices.SortFunc(list, func(a, b *fleetpb.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

func sortedValues[K cmp.Ordered, V any](source map[K]V) []V {
	list := make([]V, 0, len(source))
	for _, key := range slices.Sorted(maps.Keys(source)) {
		list = append(list, source[key])
	}
	return list
}
