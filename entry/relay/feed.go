package relay

import "azuredoor.example/entry/engine"

// DispatchEvent passes an engine's load report or cache event to the policy.
func DispatchEvent(policy Policy, upstreamID string, e engine.Event) {
	switch e.Kind {
	case "load":
		policy.ObserveLoad(upstreamID, Load{Running: e.Running, Waiting: e.Waiting, FreeSlots: e.FreeSlots, Lag: engine.Millis(e.LagMillis)})
	case "cacheAdd", "cacheEvict":
		policy.ObserveCache(upstreamID, e.Incarnation, CacheEvent{Sequence: e.Sequence, Added: e.Kind == "cacheAdd", Hashes: e.Hashes})
	}
}
