package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/naive"
	"azuredoor.example/entry/peer"
	full "azuredoor.example/entry/policy"
	"azuredoor.example/entry/relay"
)

// policy is a routing policy with its background work and its gRPC service for other entries.
type policy interface {
	relay.Policy
	// Run does the policy's background work until the context ends.
	Run(ctx context.Context) error
	// register adds the policy's gRPC service for other entries to a server.
	register(server *grpc.Server)
	// handOver transfers the token buckets that this entry owns to other entries before the entry stops.
	handOver(ctx context.Context)
}

func newPolicy(c *Config, fleet *control.Client, dialer fleetrpc.Dialer, events *event.Logger) policy {
	if c.Policy == PolicyNaive {
		return naivePolicy{naive.New(func() int { return len(fleet.View().Sessions) })}
	}
	session := func() uint64 {
		id, _ := fleet.SessionID()
		return id
	}
	p := &fullPolicy{events: events}
	p.node = peer.New(peer.Config{
		Session: session, LeaseValid: fleet.SessionValid, View: fleet.View, FirstSession: fleet.FirstSession,
		Demand: func(d *fleetpb.Demand) *fleetpb.Demand { return p.Demand(d) }, Dialer: dialer, Events: events,
	})
	p.Policy = full.New(full.Config{
		Session: session, LeaseValid: fleet.SessionValid, View: fleet.View, FailureDomain: c.FailureDomain,
		Peers: p.node, Events: events, Seed: rand.Uint64(),
	})
	return p
}

// fullPolicy combines the routing decisions with the peer node that exchanges state with other entries.
type fullPolicy struct {
	*full.Policy
	node   *peer.Node
	events *event.Logger
}

// Run implements policy.
func (p *fullPolicy) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.Policy.Run(ctx) })
	group.Go(func() error { return p.node.Run(ctx) })
	return group.Wait()
}

func (p *fullPolicy) register(server *grpc.Server) {
	fleetpb.RegisterPeerServer(server, p.node.Server())
}

// handoverTimeout bounds the handover at a stop; buckets that no other entry takes over in time start empty.
const handoverTimeout = 2 * time.Second

func (p *fullPolicy) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := p.node.Leave(ctx); err != nil {
		p.events.Error(event.HandoverFailed, err)
	}
}

// naivePolicy is the baseline for comparisons. It has neither background work nor a service for other entries.
type naivePolicy struct{ *naive.Policy }

// Run implements policy.
func (naivePolicy) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (naivePolicy) register(*grpc.Server) {}

func (naivePolicy) handOver(context.Context) {}
