// Package control connects an entry to the control group. It maintains the entry's session and its view of the
// replicated state, and makes the entry's calls to the leader.
package control

import (
	"strings"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/core/fleetpb"
)

// View is an entry's copy of the replicated state. It is immutable.
type View struct {
	// Index is the index of the last log entry that the view reflects.
	Index uint64
	// Revision is the configuration revision.
	Revision  uint64
	Config    *config.Set
	Sessions  map[uint64]*fleetpb.Session
	Upstreams map[string]*fleetpb.Upstream
	// OrderLease is nil while no session holds the lease.
	OrderLease *fleetpb.OrderLease
	// Document is the operators' document, or nil if there is none.
	Document *document.Document
}

// Limit returns the limit of a bucket and reports whether the bucket is limited. A bucket's name is CUSTOMER or
// CUSTOMER/PROFILE.
func (v *View) Limit(bucket string) (config.Limit, bool) {
	if v.Document != nil {
		if c := v.Document.Customers[bucket]; c != nil {
			return c.Limit, c.Limit.BurstTokens > 0
		}
	}
	if v.Config == nil {
		return config.Limit{}, false
	}
	customer, profile, _ := strings.Cut(bucket, "/")
	name, l := v.Config.LimitFor(customer, profile)
	return l, name == bucket && l.BurstTokens > 0
}

// AcceptsRequests reports whether an upstream may receive new requests.
func AcceptsRequests(u *fleetpb.Upstream) bool {
	return u.State == fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE && u.Desired == fleetpb.DesiredState_DESIRED_STATE_ACTIVE
}
