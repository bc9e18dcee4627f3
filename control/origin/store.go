// Package origin keeps in memory at which service and software version the responses to requests began, so that an interrupted response
// is continued by no other one. A record that is lost with its process is found at another member, or the response is not continued.
package origin

import (
	"container/list"
	"sync"
	"time"
)

const (
	// maxRecords bounds the records of a store; each takes up about 200 bytes.
	maxRecords = 1 << 17
	// maxKeep bounds how long a record is kept.
	maxKeep = time.Hour
)

// Key identifies a request. The customer is part of it, so that no customer changes the records of another one.
type Key struct{ Customer, RequestID string }

// Origin is where the response to a request began.
type Origin struct{ Service, SoftwareVersion string }

type record struct {
	key    Key
	origin Origin
	// conflicting is set if the key was recorded with two origins.
	conflicting bool
	until       time.Time
}

// Store holds records. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	records map[Key]*list.Element
	// order holds the records, oldest first.
	order *list.List
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{records: map[Key]*list.Element{}, order: list.New()} }

// Put records where the response to a request began. A request that was recorded with another origin counts as unknown from then on.
func (s *Store) Put(now time.Time, key Key, o Origin, keep time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for oldest := s.order.Front(); oldest != nil; oldest = s.order.Front() {
		r := oldest.Value.(*record)
		if now.Before(r.until) && s.order.Len() < maxRecords {
			break
		}
		s.order.Remove(oldest)
		delete(s.records, r.key)
	}
	if known := s.records[key]; known != nil {
		r := known.Value.(*record)
		r.conflicting = r.conflicting || r.origin != o
		return
	}
	s.records[key] = s.order.PushBack(&record{key: key, origin: o, until: now.Add(min(keep, maxKeep))})
}

// Get returns where the response to a request began, and whether that is known.
func (s *Store) Get(now time.Time, key Key) (o Origin, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.records[key]
	if known == nil {
		return Origin{}, false
	}
	r := known.Value.(*record)
	return r.origin, !r.conflicting && now.Before(r.until)
}
