package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

// Points of the sweep over peers: the number of peers that exchange demand, and the borrows per second.
var (
	peerPoints   = []int{3, 10, 30, 60}
	borrowPoints = []int{0, 50, 200, 500}
)

const (
	// exchangeInterval is the interval at which an entry exchanges demand with each peer.
	exchangeInterval = 200 * time.Millisecond
	// exchangeTimeout is the timeout of calls between entries.
	exchangeTimeout = 150 * time.Millisecond
	// activeCustomers is the number of customers with requests at each simulated entry.
	activeCustomers = 24
	peerStubPort    = 9001
)

// peerStub serves the calls of the real entry to all simulated entries, on one address.
type peerStub struct {
	fleetpb.UnimplementedPeerServer
	address string
	server  *grpc.Server
	group   errgroup.Group
}

func newPeerStub(address, secret string) (*peerStub, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for calls of the entry")
	}
	s := &peerStub{address: address, server: fleetrpc.NewServer(secret, event.Discard())}
	fleetpb.RegisterPeerServer(s.server, s)
	s.group.Go(func() error { return s.server.Serve(listener) })
	return s, nil
}

// Borrow implements fleetpb.PeerServer.
func (s *peerStub) Borrow(_ context.Context, r *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error) {
	return &fleetpb.BorrowResponse{Sequence: r.Sequence, Held: r.Unspent + r.Want}, nil
}

// Handover implements fleetpb.PeerServer.
func (s *peerStub) Handover(context.Context, *fleetpb.HandoverRequest) (*fleetpb.HandoverResponse, error) {
	return &fleetpb.HandoverResponse{}, nil
}

// ExchangeDemand implements fleetpb.PeerServer. The entry ignores the response because it names no session.
func (s *peerStub) ExchangeDemand(context.Context, *fleetpb.Demand) (*fleetpb.Demand, error) {
	return newDemand(0, 0), nil
}

func (s *peerStub) close() error {
	s.server.Stop()
	return eris.Wrap(s.group.Wait(), "serve calls of the entry")
}

// newDemand returns the demand of an entry with requests of activeCustomers customers in one pool.
func newDemand(session, sequence uint64) *fleetpb.Demand {
	p := &fleetpb.PoolDemand{Pool: servicePool, Requests: 1_000_000, Retries: 1000}
	for i := range activeCustomers {
		p.Customers = append(p.Customers, &fleetpb.CustomerDemand{Customer: fmt.Sprintf("customer-%05d", i), Waiting: 3, Running: 17})
	}
	return &fleetpb.Demand{SessionId: session, Sequence: sequence, Pools: []*fleetpb.PoolDemand{p}}
}

// sweepPeers varies the number of entries that exchange demand with the real entry, and then the rate at which entries
// borrow from the real entry. One request runs at the real entry during the exchange, because an entry without requests
// does not exchange demand.
func sweepPeers(ctx context.Context, b *testbed) error {
	if err := b.addCustomers(ctx, 200); err != nil {
		return err
	}
	if err := b.sessions.grow(ctx, announcers); err != nil {
		return err
	}
	stub, err := newUpstreamStub(b.fleet.Address(stubHostNumber, stubPort))
	if err != nil {
		return err
	}
	defer func() { _ = stub.close() }()
	if err := b.announce(ctx, 1, "service", stub.address); err != nil {
		return err
	}
	conn, err := b.sessions.dialer.Dial(b.fleet.PeerAddress(0))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	b.result.addFigure(fmt.Sprintf("demand message of %d customers", activeCustomers), "B", float64(proto.Size(newDemand(1000, 1_000_000))))
	baseline, err := b.measure(ctx, nil)
	if err != nil {
		return err
	}
	b.record("peers that exchange demand", 0, baseline)
	held, release := context.WithCancel(ctx)
	defer release()
	var group errgroup.Group
	group.Go(func() error { return b.holdRequest(held) })
	client := fleetpb.NewPeerClient(conn)
	for _, n := range peerPoints {
		if err := b.sessions.grow(ctx, n); err != nil {
			return err
		}
		s, err := b.measure(ctx, func(ctx context.Context) error { return b.exchangeDemand(ctx, client, n) })
		if err != nil {
			return err
		}
		b.record("peers that exchange demand", float64(n), s)
		// The bytes of keepalives and watch streams per simulated entry are those of the baseline measurement.
		b.result.add("peers that exchange demand", "bytes to the entry, exchange", "kB/s", float64(n), (s.sent-baseline.sent*float64(n)/announcers)/1e3)
		b.result.add("peers that exchange demand", "bytes from the entry, exchange", "kB/s", float64(n), (s.received-baseline.received*float64(n)/announcers)/1e3)
	}
	release()
	if err := group.Wait(); err != nil {
		return err
	}
	return b.sweepBorrowing(ctx, client)
}

// holdRequest keeps one request running at the real entry until the context is done.
func (b *testbed) holdRequest(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.fleet.EntryURL(0)+"/hold", nil)
	if err != nil {
		return eris.Wrap(err, "build a request")
	}
	request.Header.Set("Authorization", "Bearer customer-00000")
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
	}
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "send a request")
	}
	return eris.Errorf("the held request ended with %s", response.Status)
}

// exchangeDemand sends the demand of n simulated entries to the real entry for one window. Calls that time out are not
// retried before the next interval, as in an entry.
func (b *testbed) exchangeDemand(ctx context.Context, client fleetpb.PeerClient, n int) error {
	window, cancel := context.WithTimeout(ctx, b.options.Window)
	defer cancel()
	var calls, late atomic.Int64
	var group errgroup.Group
	for i := range n {
		phase := time.Duration(b.random.Int64N(int64(exchangeInterval)))
		session := b.sessions.list[i].id
		group.Go(func() error {
			if pause(window, phase) != nil {
				return nil
			}
			ticker := time.NewTicker(exchangeInterval)
			defer ticker.Stop()
			for {
				demand := newDemand(session, b.calls.Add(1))
				call, cancel := context.WithTimeout(ctx, exchangeTimeout)
				_, err := client.ExchangeDemand(call, demand)
				cancel()
				calls.Add(1)
				if status.Code(err) == codes.DeadlineExceeded {
					late.Add(1)
				} else if err != nil {
					return eris.Wrap(err, "exchange demand")
				}
				select {
				case <-window.Done():
					return nil
				case <-ticker.C:
				}
			}
		})
	}
	err := group.Wait()
	b.result.addFigure(fmt.Sprintf("%d peers: exchanges without an answer in %v, of %d", n, exchangeTimeout, calls.Load()), "", float64(late.Load()))
	return err
}

// sweepBorrowing varies the rate of calls that borrow tokens from the buckets that the real entry owns.
func (b *testbed) sweepBorrowing(ctx context.Context, client fleetpb.PeerClient) error {
	session := b.sessions.list[0].id
	borrow := func(ctx context.Context, bucket string) (*fleetpb.BorrowResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		response, err := client.Borrow(ctx, &fleetpb.BorrowRequest{SessionId: session, Sequence: b.calls.Add(1), Customer: bucket, Want: 1})
		return response, eris.Wrap(err, "borrow")
	}
	var owned []string
	for i := range b.customers {
		bucket := fmt.Sprintf("customer-%05d", i)
		response, err := borrow(ctx, bucket)
		if err != nil {
			return err
		}
		if !response.NotOwner {
			owned = append(owned, bucket)
		}
	}
	b.result.addFigure(fmt.Sprintf("buckets owned by one of %d entries, of %d", len(b.sessions.list)+1, b.customers), "", float64(len(owned)))
	if len(owned) == 0 {
		return eris.New("the entry owns no bucket")
	}
	baseline := 0.0
	for _, rate := range borrowPoints {
		s, err := b.measure(ctx, func(ctx context.Context) error {
			if rate == 0 {
				return nil
			}
			ticker := time.NewTicker(time.Second / time.Duration(rate))
			defer ticker.Stop()
			var group errgroup.Group
			group.SetLimit(claimParallel)
			for i := range b.count(rate) {
				<-ticker.C
				group.Go(func() error {
					_, err := borrow(ctx, owned[i%len(owned)])
					return err
				})
			}
			return group.Wait()
		})
		if err != nil {
			return err
		}
		achieved := s.rate(b.count(rate))
		b.record("borrows per second", achieved, s)
		if rate == 0 {
			baseline = s.sent + s.received
		}
		b.result.add("borrows per second", "bytes both ways", "B/s", achieved, s.sent+s.received-baseline)
	}
	return nil
}
