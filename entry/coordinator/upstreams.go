package coordinator

import (
	"time"

	"azuredoor.example/core/document"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/place"
)

// requestsPerSlot is how many requests per slot a plain upstream gets before further requests wait in the router.
// Upstreams queue a few more requests than they run.
const requestsPerSlot = 3

// Upstreams returns the upstreams of a view that may get requests. The capacity of a decode engine is its whole memory.
func Upstreams(view *control.View) []place.Upstream {
	inUse := make(map[string]int, len(view.Upstreams))
	for _, u := range view.Upstreams {
		if u.State != fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
			inUse[u.Address]++
		}
	}
	upstreams := make([]place.Upstream, 0, len(view.Upstreams))
	for _, u := range view.Upstreams {
		if u.State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN && (u.Sequence == withdrawn || inUse[u.Address] > 0) {
			// The upstream will not come back: it has withdrawn, or another upstream has its address.
			continue
		}
		upstream := place.Upstream{
			ID: u.Id, Address: u.Address, FailureDomain: u.FailureDomain, Service: u.Pool, Role: u.Role, Incarnation: u.Incarnation,
			Accepts: u.State != fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING && !u.WasLeaving, Announcing: u.State == fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE,
			Capacity: int(u.Slots) * requestsPerSlot, Region: view.Regions[u.FailureDomain], Evacuated: view.Evacuated(u.FailureDomain),
			SoftwareVersion: u.SoftwareVersion,
		}
		if view.Document != nil {
			describeService(&upstream, view.Document.Services[u.Pool], view.ColdUntil(u.Id))
		}
		upstreams = append(upstreams, upstream)
	}
	return upstreams
}

// describeService sets what the service of an upstream says of it. The service may be nil.
func describeService(u *place.Upstream, s *document.Service, coldUntil time.Time) {
	if s == nil {
		return
	}
	u.ColdUntil, u.ColdRate, u.ColdStart = coldUntil, s.ColdRate, s.ColdStart
	if s.Engine == nil {
		return
	}
	u.Capacity, u.Slots = s.Engine.CacheTokens, s.Engine.Slots
	if u.Role == place.RolePrefill {
		u.Capacity, u.Slots = 0, 0
	}
}

// withdrawn is the sequence number of an upstream that has withdrawn for good.
const withdrawn = ^uint64(0)

// Engines returns the engines among the upstreams of a view.
func Engines(view *control.View) []place.Upstream {
	var engines []place.Upstream
	for _, u := range Upstreams(view) {
		if u.Role != place.RoleAny {
			engines = append(engines, u)
		}
	}
	return engines
}
