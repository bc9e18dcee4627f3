package control

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/fleetpb"
)

// Origin says at which service, and at which version of its software, the response to a request began.
type Origin struct {
	// Customer is empty on open routes.
	Customer, RequestID, Service, SoftwareVersion string
	// Keep is how long the response may be taken up again.
	Keep time.Duration
}

// ErrNoOrigin means that no control member knows where a response began.
var ErrNoOrigin = errors.New("no control member knows where the response began")

const (
	// originCopies is the number of members that store an origin.
	originCopies = 2
	// originTimeout bounds a call about an origin. Members are in the region of the entry.
	originTimeout = 300 * time.Millisecond
	// viewPollInterval is the time between two checks whether the view has reached an index.
	viewPollInterval = 5 * time.Millisecond
)

// originMembers returns the addresses of all members, those first that store the origin of a request.
func (c *Client) originMembers(customer, request string) []string {
	addresses := slices.Clone(c.members.knownAddresses())
	weight := func(address string) uint64 { return xxhash.Sum64String(address + "\n" + customer + "\n" + request) }
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return addresses
}

// RecordOrigin stores where the response to a request began at originCopies control members. It calls stored when the first has it, and
// returns when all of them have, or no further member is left to try.
func (c *Client) RecordOrigin(ctx context.Context, o Origin, stored func()) {
	request := &fleetpb.RecordOriginRequest{
		Customer: o.Customer, RequestId: o.RequestID, Service: o.Service, SoftwareVersion: o.SoftwareVersion, KeepMillis: uint32(o.Keep.Milliseconds()),
	}
	var once sync.Once
	var tried atomic.Int32
	var group errgroup.Group
	members := c.originMembers(o.Customer, o.RequestID)
	for range originCopies {
		group.Go(func() error {
			for {
				i := int(tried.Add(1)) - 1
				if i >= len(members) || ctx.Err() != nil {
					return nil
				}
				if _, err := c.members.callMember(ctx, members[i], originTimeout, func(ctx context.Context, client fleetpb.FleetClient) error {
					_, err := client.RecordOrigin(ctx, request)
					return err
				}); err == nil {
					once.Do(stored)
					return nil
				}
			}
		})
	}
	// The goroutines return no error.
	_ = group.Wait()
}

// FindOrigin returns where the response to a request began, ErrNoOrigin if no member knows it, or another error if not all members could
// be asked.
func (c *Client) FindOrigin(ctx context.Context, customer, request string) (Origin, error) {
	members := c.originMembers(customer, request)
	copies := min(originCopies, len(members))
	origin, err := c.askOrigin(ctx, members[:copies], customer, request)
	if err == nil || copies == len(members) {
		return origin, err
	}
	// The group may have had other members when the origin was stored.
	origin, restErr := c.askOrigin(ctx, members[copies:], customer, request)
	if restErr == nil || errors.Is(err, ErrNoOrigin) {
		return origin, restErr
	}
	return Origin{}, err
}

// askOrigin asks members at the same time and returns the first origin that one knows.
func (c *Client) askOrigin(ctx context.Context, members []string, customer, request string) (Origin, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var origin Origin
	result := ErrNoOrigin
	found := false
	var group errgroup.Group
	for _, address := range members {
		group.Go(func() error {
			var response *fleetpb.FindOriginResponse
			_, err := c.members.callMember(ctx, address, originTimeout, func(ctx context.Context, client fleetpb.FleetClient) (err error) {
				response, err = client.FindOrigin(ctx, &fleetpb.FindOriginRequest{Customer: customer, RequestId: request})
				return err
			})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case found:
			case err != nil:
				result = eris.Wrapf(err, "ask %s where a response began", address)
			case response.Found:
				origin = Origin{Customer: customer, RequestID: request, Service: response.Service, SoftwareVersion: response.SoftwareVersion}
				result, found = nil, true
				cancel()
			}
			return nil
		})
	}
	// The goroutines return no error.
	_ = group.Wait()
	return origin, result
}

// ConfirmView waits until the view holds all that the control group knew at the call.
func (c *Client) ConfirmView(ctx context.Context) error {
	var response *fleetpb.ConfirmViewResponse
	if err := c.members.call(ctx, func(ctx context.Context, client fleetpb.FleetClient) (err error) {
		response, err = client.ConfirmView(ctx, &fleetpb.ConfirmViewRequest{})
		return err
	}); err != nil {
		return err
	}
	for c.View().Index < response.StateIndex {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for the newest view")
		case <-time.After(viewPollInterval):
		}
	}
	return nil
}
