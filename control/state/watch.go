package state

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"azuredoor.example/core/fleetpb"
)

// maxRecent bounds the changes kept for watchers that resume; at 12,000 upstreams a flood of transitions
// fits in several times.
const maxRecent = 65_536

type changeKind uint8

const (
	changedObject changeKind = iota
	changedSession
	changedUpstream
	changedLease
	changedDocument
)

type changeKey struct {
	kind    changeKind
	object  objectKey
	session uint64
}

// change says that the value of a key changed at an index. The value itself is looked up when it is
// sent, so several changes of a key are sent as one.
type change struct {
	index uint64
	key   changeKey
}

// recentChanges is ordered by index. Changes at or below floor are no longer kept.
type recentChanges struct {
	floor uint64
	list  []change
	total uint64
}

func (r *recentChanges) add(c change) {
	r.total++
	r.list = append(r.list, c)
	if len(r.list) > 2*maxRecent {
		r.floor = r.list[len(r.list)-maxRecent-1].index
		from := sort.Search(len(r.list), func(i int) bool { return r.list[i].index > r.floor })
		r.list = slices.Clone(r.list[from:])
	}
}

func (r *recentChanges) after(index uint64) []change {
	from := sort.Search(len(r.list), func(i int) bool { return r.list[i].index > index })
	return r.list[from:]
}

// Changed returns a channel that is closed at the next change to what watchers see.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// EventAfter returns what a watcher that is current up to index has to learn. It is the whole state when
// index is 0 or too old, and nil when the watcher is ahead of this member.
func (m *Machine) EventAfter(index uint64) *fleetpb.WatchEvent {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if index > m.applied {
		return nil
	}
	event := &fleetpb.WatchEvent{Index: m.applied, Revision: m.revision}
	if index == 0 || index < m.recent.floor {
		event.Reset_ = true
		event.Objects = slices.Collect(maps.Values(m.objects))
		event.Sessions = slices.Collect(maps.Values(m.sessions))
		event.Upstreams = slices.Collect(maps.Values(m.upstreams))
		event.OrderLease = m.lease
		event.Document = m.document
		return event
	}
	seen := map[changeKey]bool{}
	for _, c := range m.recent.after(index) {
		if !seen[c.key] {
			seen[c.key] = true
			m.addTo(event, c.key)
		}
	}
	return event
}

func (m *Machine) addTo(event *fleetpb.WatchEvent, key changeKey) {
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
		event.OrderLease = m.lease
	case changedDocument:
		event.Document = m.document
	}
}

// Objects returns the objects of a kind, or all when kind is empty, ordered by kind and name, and the
// revision they belong to.
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

// Object returns one object, or nil, and the revision.
func (m *Machine) Object(kind, name string) (*fleetpb.Object, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.objects[objectKey{kind, name}], m.revision
}

// History returns up to limit records after a revision, oldest first.
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
