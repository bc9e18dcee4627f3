package capacity

import (
	"context"
	"fmt"
	"time"
)

// Points of the sweeps.
var (
	customerPoints     = []int{5, 500, 5_000, Target.Customers}
	sessionPoints      = []int{10, 100, 300, Target.Sessions}
	upstreamPoints     = []int{12, 120, 1_200, Target.Upstreams}
	subscriptionPoints = []int{12, 120, 600, 1_200}
	changePoints       = []int{0, 5, 20, 50}
	claimPoints        = []int{0, 50, 200, 500}
	recordPoints       = []int{0, 5_000, 20_000}
	targetPoints       = []int{0, 2, 10}
)

const (
	// propagationChanges is the number of changes per measurement of the propagation time.
	propagationChanges = 20
	// announcers is the number of sessions that the upstreams send their announcements to.
	announcers = 10
)

// sweepCustomers varies the number of customers, and then the rate of changes with all customers in the configuration.
func sweepCustomers(ctx context.Context, b *testbed) error {
	if err := b.sessions.grow(ctx, announcers); err != nil {
		return err
	}
	for _, n := range customerPoints {
		if err := b.addCustomers(ctx, n); err != nil {
			return err
		}
		s, err := b.measure(ctx, nil)
		if err != nil {
			return err
		}
		b.record("customers", float64(n), s)
		began := time.Now()
		_, bytes, err := b.sessions.snapshot(ctx)
		if err != nil {
			return err
		}
		b.result.add("customers", "bytes of a new watch stream", "kB", float64(n), float64(bytes)/1e3)
		b.result.add("customers", "time of a new watch stream", "ms", float64(n), milliseconds(time.Since(began)))
	}
	if err := b.sweepChanges(ctx); err != nil {
		return err
	}
	return b.measurePropagation(ctx, fmt.Sprintf("%d customers, %d sessions", b.customers, announcers), propagationChanges)
}

// sweepChanges varies the rate of configuration changes.
func (b *testbed) sweepChanges(ctx context.Context) error {
	for _, rate := range changePoints {
		s, err := b.measure(ctx, b.changeAtRate(rate))
		if err != nil {
			return err
		}
		achieved := s.rate(b.count(rate))
		b.record("changes per second", achieved, s)
		b.result.add("changes per second", "bytes received per entry", "B/s", achieved, s.received/announcers)
	}
	return nil
}

// sweepSessions varies the number of entry sessions, and then the rate of claims with the largest number of sessions.
func sweepSessions(ctx context.Context, b *testbed) error {
	if err := b.addCustomers(ctx, customerPoints[0]); err != nil {
		return err
	}
	for _, n := range sessionPoints {
		if err := b.sessions.grow(ctx, n); err != nil {
			return err
		}
		if err := pause(ctx, b.options.Settle); err != nil {
			return err
		}
		b.sessions.takeRoundTrips()
		s, err := b.measure(ctx, nil)
		if err != nil {
			return err
		}
		p99, maximum := b.sessions.takeRoundTrips()
		b.record("sessions", float64(n), s)
		b.result.add("sessions", "bytes sent per entry at rest", "B/s", float64(n), s.sent/float64(n))
		b.result.add("sessions", "bytes received per entry at rest", "B/s", float64(n), s.received/float64(n))
		b.result.add("sessions", "keepalive round trip p99", "ms", float64(n), milliseconds(p99))
		b.result.add("sessions", "keepalive round trip longest", "ms", float64(n), milliseconds(maximum))
		if err := b.measurePropagation(ctx, fmt.Sprintf("%d customers, %d sessions", b.customers, n), propagationChanges); err != nil {
			return err
		}
	}
	return b.sweepClaims(ctx)
}

// sweepUpstreams varies the number of upstreams, and then measures the fleet with all quantities at the target size.
func sweepUpstreams(ctx context.Context, b *testbed) error {
	if err := b.addCustomers(ctx, customerPoints[0]); err != nil {
		return err
	}
	if err := b.sessions.grow(ctx, announcers); err != nil {
		return err
	}
	for _, n := range upstreamPoints {
		began, previous := time.Now(), b.upstreams
		if err := b.announce(ctx, n, "service", ""); err != nil {
			return err
		}
		b.result.addFigure(fmt.Sprintf("announcing %d new upstreams took", n-previous), "s", time.Since(began).Seconds())
		s, err := b.measure(ctx, nil)
		if err != nil {
			return err
		}
		b.record("upstreams", float64(n), s)
		b.result.add("upstreams", "bytes sent by all entries", "kB/s", float64(n), s.sent/1e3)
		_, bytes, err := b.sessions.snapshot(ctx)
		if err != nil {
			return err
		}
		b.result.add("upstreams", "bytes of a new watch stream", "kB", float64(n), float64(bytes)/1e3)
	}
	if err := b.measurePropagation(ctx, fmt.Sprintf("%d customers, %d upstreams, %d sessions", b.customers, b.upstreams, announcers), propagationChanges); err != nil {
		return err
	}
	return b.measureTarget(ctx)
}

// measureTarget brings all quantities to the target size and varies the rate of changes.
func (b *testbed) measureTarget(ctx context.Context) error {
	if err := b.addCustomers(ctx, Target.Customers); err != nil {
		return err
	}
	if err := b.sessions.grow(ctx, Target.Sessions); err != nil {
		return err
	}
	b.sessions.distributeUpstreams()
	if err := pause(ctx, b.options.Settle); err != nil {
		return err
	}
	b.sessions.takeRoundTrips()
	for _, rate := range targetPoints {
		s, err := b.measure(ctx, b.changeAtRate(rate))
		if err != nil {
			return err
		}
		const swept = "changes per second at the whole target"
		achieved := s.rate(b.count(rate))
		b.record(swept, achieved, s)
		b.result.add(swept, "bytes sent per entry", "B/s", achieved, s.sent/float64(Target.Sessions))
		b.result.add(swept, "bytes received per entry", "B/s", achieved, s.received/float64(Target.Sessions))
	}
	p99, maximum := b.sessions.takeRoundTrips()
	b.result.addFigure("whole target: keepalive round trip p99", "ms", milliseconds(p99))
	b.result.addFigure("whole target: keepalive round trip longest", "ms", milliseconds(maximum))
	return b.measurePropagation(ctx, "whole target", propagationChanges)
}
