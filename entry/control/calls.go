package control

import (
	"context"
	"time"

	"azuredoor.example/core/fleetpb"
)

// Claim requests the right to run a non-idempotent request. Claim retries on other members until the context ends; a
// retry with the same request ID returns the same grant.
func (c *Client) Claim(ctx context.Context, request *fleetpb.ClaimRequest) (response *fleetpb.ClaimResponse, err error) {
	err = c.members.call(ctx, func(ctx context.Context, client fleetpb.FleetClient) (err error) {
		response, err = client.Claim(ctx, request)
		return err
	})
	return response, err
}

// Complete records how a claimed request ended.
func (c *Client) Complete(ctx context.Context, request *fleetpb.CompleteRequest) error {
	return c.members.call(ctx, func(ctx context.Context, client fleetpb.FleetClient) error {
		_, err := client.Complete(ctx, request)
		return err
	})
}

// Announce sends a changed announcement to the leader.
func (c *Client) Announce(ctx context.Context, upstream *fleetpb.Upstream) (response *fleetpb.AnnounceUpstreamResponse, err error) {
	err = c.members.call(ctx, func(ctx context.Context, client fleetpb.FleetClient) (err error) {
		response, err = client.AnnounceUpstream(ctx, &fleetpb.AnnounceUpstreamRequest{Upstream: upstream})
		return err
	})
	return response, err
}

// OrderLease is the right to send orders to upstreams.
type OrderLease struct {
	// Held is false while another session has the lease.
	Held bool
	// Fence is the fencing token; each new holder gets a greater one.
	Fence uint64
	// expiresAt is the end of the lease by this VM's clock, as time since boot.
	expiresAt time.Duration
}

// Remaining returns the time until the lease ends by this VM's clock; it is negative after the end.
func (l OrderLease) Remaining() time.Duration { return l.expiresAt - sinceBoot() }

// AcquireOrderLease acquires or renews the order lease for the current session.
func (c *Client) AcquireOrderLease(ctx context.Context) (OrderLease, error) {
	var response *fleetpb.AcquireOrderLeaseResponse
	var sentAt time.Duration
	err := c.members.call(ctx, func(ctx context.Context, client fleetpb.FleetClient) (err error) {
		sentAt = sinceBoot()
		response, err = client.AcquireOrderLease(ctx, &fleetpb.AcquireOrderLeaseRequest{SessionId: c.sessionID.Load()})
		return err
	})
	if err != nil {
		return OrderLease{}, err
	}
	lifetime := time.Duration(response.TtlMillis) * time.Millisecond
	return OrderLease{Held: response.Held, Fence: response.Fence, expiresAt: sentAt + lifetime}, nil
}
