// Package control connects an entry to the control group: session, freshness, watch and claims.
package control

import (
	"strings"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/core/fleetpb"
)

// View is what an entry knows of the replicated state. It is immutable.
type View struct {
	// Index is the log index up to which the view is current.
	Index uint64
	// Revision is the configuration revision.
	Revision  uint64
	Config    *config.Set
	Sessions  map[uint64]*fleetpb.Session
	Upstreams map[string]*fleetpb.Upstream
	// OrderLease is nil while nobody holds it.
	OrderLease *fleetpb.OrderLease
	// Document is the operators' document; it is nil while there is none.
	Document *document.Document
}

// Limit returns the limit of a bucket, which is named after its customer, or its customer and profile.
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

// Accepts says whether an upstream may get new work.
func Accepts(u *fleetpb.Upstream) bool {
	return u.State == fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE && u.Desired == fleetpb.DesiredState_DESIRED_STATE_ACTIVE
}
