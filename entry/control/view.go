// Package control connects an entry to the control group. It maintains the entry's session and its view of the
// replicated state, and makes the entry's calls to the leader.
package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/core/fleetpb"
)

// View is an entry's copy of the replicated state. It is immutable.
type View struct {
	// Index is the index of the last log entry that the view reflects.
	Index uint64
	// Revision is the configuration revision.
	Revision uint64
	Config   *config.Set
	Sessions map[uint64]*fleetpb.Session
	// Upstreams holds the upstreams as they may be used: those of an evacuated failure domain leave.
	Upstreams map[string]*fleetpb.Upstream
	// OrderLease is nil while no session holds the lease.
	OrderLease *fleetpb.OrderLease
	// Document is the operators' document, or nil if there is none.
	Document *document.Document
	// Evacuations holds the newest order on each failure domain that was ever evacuated.
	Evacuations map[string]*fleetpb.Evacuation
	// Regions maps failure domains to regions, as far as the settings name them.
	Regions map[string]string
	// announced holds the upstreams as they announced themselves.
	announced map[string]*fleetpb.Upstream
	// versions holds the software versions of upstreams by pool; nil in a view that no event has changed.
	versions map[string][]string
	// coldUntil holds, by ID, when upstreams that may be cold are warm at the latest.
	coldUntil map[string]time.Time
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

// Evacuated reports whether the upstreams of a failure domain must get nothing new.
func (v *View) Evacuated(domain string) bool {
	e := v.Evacuations[domain]
	return e != nil && !e.Withdrawn
}

// SoftwareVersions returns the software versions of all upstreams of a pool that are known, also of those that are down.
func (v *View) SoftwareVersions(pool string) []string {
	if v.versions == nil {
		return softwareVersions(v.Upstreams)[pool]
	}
	return v.versions[pool]
}

// softwareVersions returns the software versions of upstreams by pool.
func softwareVersions(upstreams map[string]*fleetpb.Upstream) map[string][]string {
	versions := map[string][]string{}
	for _, u := range upstreams {
		if !slices.Contains(versions[u.Pool], u.SoftwareVersion) {
			versions[u.Pool] = append(versions[u.Pool], u.SoftwareVersion)
		}
	}
	return versions
}

// AcceptsRequests reports whether an upstream of a view may receive new requests.
func AcceptsRequests(u *fleetpb.Upstream) bool {
	return u.State == fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE && u.Desired == fleetpb.DesiredState_DESIRED_STATE_ACTIVE
}

// applyEvacuations sets Upstreams from the announced ones: those of an evacuated failure domain finish what they run, as if they had
// announced that they leave. Records that have not changed since the view before are kept.
func (v *View) applyEvacuations(before *View) {
	v.Upstreams = v.announced
	evacuating := false
	for _, e := range v.Evacuations {
		evacuating = evacuating || !e.Withdrawn
	}
	if !evacuating {
		return
	}
	v.Upstreams = make(map[string]*fleetpb.Upstream, len(v.announced))
	for id, u := range v.announced {
		if v.Evacuated(u.FailureDomain) && u.State == fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE {
			if before.announced[id] == u && before.Upstreams[id] != u {
				u = before.Upstreams[id]
			} else {
				u = proto.CloneOf(u)
				u.State = fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING
			}
		}
		v.Upstreams[id] = u
	}
}

// ColdUntil returns when an upstream is warm at the latest; the zero time for one that is not known to be cold.
func (v *View) ColdUntil(id string) time.Time { return v.coldUntil[id] }

// observeCold updates when upstreams are warm, from an event that was applied to the view. An upstream is cold for as long as it
// last announced, counted from the arrival of the event. After the withdrawal of an evacuation, the upstreams of the failure domain may
// have become cold shortly before, so that they count as cold for as long as after a start.
func (v *View) observeCold(now time.Time, e *fleetpb.WatchEvent) {
	next := maps.Clone(v.coldUntil)
	if next == nil || e.Reset_ {
		next = map[string]time.Time{}
	}
	for _, id := range e.RemovedUpstreams {
		delete(next, id)
	}
	for id, until := range next {
		if !now.Before(until) {
			delete(next, id)
		}
	}
	extend := func(id string, until time.Time) {
		if now.Before(until) && until.After(next[id]) {
			next[id] = until
		}
	}
	for _, u := range e.Upstreams {
		extend(u.Id, now.Add(time.Duration(u.ColdMillis)*time.Millisecond))
	}
	for _, evacuation := range e.Evacuations {
		if !evacuation.Withdrawn || v.Document == nil {
			continue
		}
		age := time.Duration(max(0, e.TimeMillis-evacuation.SinceMillis)) * time.Millisecond
		for _, u := range v.Upstreams {
			if s := v.Document.Services[u.Pool]; s != nil && u.FailureDomain == evacuation.FailureDomain && s.ColdRate > 0 {
				extend(u.Id, now.Add(s.ColdStart-age))
			}
		}
	}
	v.coldUntil = next
}
