// Package peer connects entries to each other: it borrows tokens of rate limits, hands buckets over to new owners
// and exchanges demand.
package peer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"azuredoor.example/core/fleetpb"
)

// Ring chooses the owner of a bucket among sessions by the highest rendezvous hash (Thaler and Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998). The end of a
// session moves only the buckets of that session; a new session only receives buckets. A Ring is immutable.
type Ring struct {
	sessions []uint64
}

// NewRing returns a ring of sessions.
func NewRing(sessions []uint64) Ring {
	sorted := slices.Clone(sessions)
	slices.Sort(sorted)
	return Ring{sorted}
}

// RingOf returns the ring of the sessions of a view.
func RingOf(sessions map[uint64]*fleetpb.Session) Ring {
	ids := make([]uint64, 0, len(sessions))
	for id := range sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return Ring{ids}
}

// Sessions returns the sessions in ascending order.
func (r Ring) Sessions() []uint64 { return r.sessions }

// Has reports whether a session is in the ring.
func (r Ring) Has(session uint64) bool {
	_, ok := slices.BinarySearch(r.sessions, session)
	return ok
}

// Equal reports whether two rings have the same sessions.
func (r Ring) Equal(other Ring) bool { return slices.Equal(r.sessions, other.sessions) }

func (r Ring) without(session uint64) Ring {
	return Ring{slices.DeleteFunc(slices.Clone(r.sessions), func(s uint64) bool { return s == session })}
}

// Owner returns the session that owns a bucket, or 0 if the ring is empty.
func (r Ring) Owner(bucket string) uint64 {
	key := xxhash.Sum64String(bucket)
	var owner, highest uint64
	for _, session := range r.sessions {
		if score := mix(key ^ mix(session)); owner == 0 || score > highest {
			owner, highest = session, score
		}
	}
	return owner
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014). With mix, Owner hashes the bucket's name
// once instead of once per session.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
