package scenario

import (
	"context"
	"time"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/load"
)

// scenario is a load, optionally with a fault.
type scenario struct {
	name string
	// flows returns the flows of the load.
	flows func(b *testbed) []load.Flow
	// durationFactor multiplies the duration of the load; 0 means 1. An overload needs several seconds until the delays
	// in the queues exceed the latency targets.
	durationFactor time.Duration
	// shares are the relative parts of the load that the entries receive; nil means an even distribution.
	shares []float64
	// inject starts the fault after a third of the load, recover ends the fault after the load. Both may be nil.
	inject, recover func(ctx context.Context, b *testbed) error
	// excluded returns the customers that the measures of the worst-served customer leave out.
	excluded func(d fleet.Deployment) []string
}

const (
	// Offered loads as fractions of the capacity.
	usualLoad = 0.4
	highLoad  = 0.6
	overload  = 3.0
	// greedyFactor is the ratio of the greedy customer's send rate to the rate of its limit.
	greedyFactor = 4
	// documentRate is in requests per second. It exceeds the capacity of the prefill engines if no prompt tokens are
	// found in the prefix cache.
	documentRate = 20
	documents    = 3
	slowFactor   = 5
)

func flowsAtLoad(fraction float64) func(*testbed) []load.Flow {
	return func(b *testbed) []load.Flow {
		return flows(b.deployment, fraction*Capacity(b.deployment), promptTokens, 0)
	}
}

// greedyFlows returns the flows of the usual load, with one large customer that sends several times its limit.
func greedyFlows(b *testbed) []load.Flow {
	list := flowsAtLoad(usualLoad)(b)
	limit := b.buckets.Set.Customers[b.deployment.Large].Limit.TokensPerSecond
	perRequest := mean(promptTokens) + mean(outputTokens)
	for i := range list {
		if f := &list[i]; f.Customer == b.deployment.Large && f.Model == b.deployment.Models[0] {
			f.Rate = greedyFactor * float64(limit) / perRequest
		}
	}
	return list
}

// firstEngine returns the ID of the first engine with a role, or "" if there is none.
func (b *testbed) firstEngine(role string) string {
	for _, s := range b.Standins() {
		if s.Role == role {
			return s.ID
		}
	}
	return ""
}

func faultOn(roles []string, fault map[string]any) func(context.Context, *testbed) error {
	return func(ctx context.Context, b *testbed) error {
		for _, role := range roles {
			if err := b.Fault(ctx, b.firstEngine(role), fault); err != nil {
				return err
			}
		}
		return nil
	}
}

func faultOnAll(fault map[string]any) func(context.Context, *testbed) error {
	return func(ctx context.Context, b *testbed) error {
		return b.EachStandin(func(s fleet.Standin) error {
			if s.Kind != "engine" {
				return nil
			}
			return b.Fault(ctx, s.ID, fault)
		})
	}
}

const (
	killedEntry = 1
	steadyName  = "steady"
)

var (
	engineRoles = []string{"prefill", "decode"}
	faultOff    = map[string]any{"kind": "off"}
)

// scenarios lists the scenarios in the order in which they run on one fleet. Scenarios that kill a process come last.
var scenarios = []scenario{
	{name: steadyName, flows: flowsAtLoad(usualLoad)},
	{name: "flood", flows: flowsAtLoad(overload), durationFactor: 3},
	{name: "greedyCustomer", flows: greedyFlows, durationFactor: 3, excluded: func(d fleet.Deployment) []string { return []string{d.Large} }},
	{
		name: "slowEngine", flows: flowsAtLoad(highLoad),
		inject: faultOn(engineRoles, map[string]any{"kind": "slow", "factor": slowFactor}), recover: faultOn(engineRoles, faultOff),
	},
	{
		name: "cacheEventsLost", flows: func(b *testbed) []load.Flow { return flows(b.deployment, documentRate, documentTokens, documents) },
		inject: faultOnAll(map[string]any{"kind": "lostEvents"}), recover: faultOnAll(faultOff),
	},
	{name: "skewedBalancer", flows: flowsAtLoad(highLoad), shares: []float64{0.85, 0.05, 0.05, 0.05}},
	{
		name: "upstreamKilled", flows: flowsAtLoad(highLoad),
		inject:  func(_ context.Context, b *testbed) error { return b.Process(b.firstEngine("decode")).Kill() },
		recover: func(ctx context.Context, b *testbed) error { return b.restart(ctx, b.firstEngine("decode")) },
	},
	{
		name: "entryKilled", flows: flowsAtLoad(highLoad),
		inject:  func(_ context.Context, b *testbed) error { return b.Process(entryName(killedEntry)).Kill() },
		recover: func(ctx context.Context, b *testbed) error { return b.restart(ctx, entryName(killedEntry)) },
	},
}
