// Package usage limits customers over all entries: it exchanges what each entry admitted, and package limit decides.
package usage

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/limit"
	"azuredoor.example/entry/place"
	"azuredoor.example/entry/retry"
)

const (
	// exchangeEvery is the time between two reports to a peer in a small fleet. What entries admit meanwhile beyond a
	// limit is paid back later, so it only bounds how far one window exceeds the limit.
	exchangeEvery = 200 * time.Millisecond
	// exchangeShare lengthens that time with the number of entries, so that the cost of an entry grows no faster than a
	// few reports for each 8 ms.
	exchangeShare = 8 * time.Millisecond
	// callTimeout bounds one exchange; a connection that does not answer is made anew.
	callTimeout = 300 * time.Millisecond
)

// Control is what the exchange needs to know of the control group.
type Control interface {
	View() *control.View
	// SessionID returns the own session, and false while there is none.
	SessionID() (uint64, bool)
}

// Limiter admits requests within customers' limits. It is safe for concurrent use.
type Limiter struct {
	fleetpb.UnimplementedPeerServer

	control Control
	dialer  fleetrpc.Dialer
	loads   Loads

	mu    sync.Mutex
	meter *limit.Meter
	view  *control.View
	conns map[uint64]*grpc.ClientConn
}

// Loads is what entries tell each other of the work at upstreams and of requests that were sent again.
type Loads interface {
	Loads() []place.Load
	Observe(session uint64, loads []place.Load)
	Retries() []retry.Total
	ObserveRetries(session uint64, totals []retry.Total)
	// Demands returns what this entry's generations have asked of engines, by service.
	Demands() map[string]place.DemandTotal
	ObserveDemands(session uint64, totals map[string]place.DemandTotal)
}

// New returns a limiter; Run exchanges reports, which carry loads as well.
func New(c Control, dialer fleetrpc.Dialer) *Limiter {
	return &Limiter{control: c, dialer: dialer, meter: limit.NewMeter(), conns: map[uint64]*grpc.ClientConn{}}
}

// Take admits a request of a customer, or tells when to return.
func (l *Limiter) Take(bucket string, within config.Limit, tokens int64) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.meter.Take(time.Now(), bucket, within, tokens)
}

// Refund gives back the tokens of a request that has not run.
func (l *Limiter) Refund(bucket string, within config.Limit, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter.Refund(time.Now(), bucket, within, tokens)
}

// Share makes the reports carry what runs at upstreams. It is called before Run.
func (l *Limiter) Share(loads Loads) { l.loads = loads }

// Run exchanges reports until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	defer l.close()
	for ctx.Err() == nil {
		peers := l.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(exchangeEvery, time.Duration(len(peers))*exchangeShare)):
		}
		var group errgroup.Group
		for _, peer := range peers {
			group.Go(func() error {
				l.exchange(ctx, peer)
				return nil
			})
		}
		_ = group.Wait()
	}
	return nil
}

// refresh follows the view and returns the other entries' sessions.
func (l *Limiter) refresh() []*fleetpb.Session {
	view := l.control.View()
	own, _ := l.control.SessionID()
	l.mu.Lock()
	defer l.mu.Unlock()
	var peers []*fleetpb.Session
	var ids []uint64
	for id, session := range view.Sessions {
		if id != own {
			peers = append(peers, session)
			ids = append(ids, id)
		}
	}
	if view != l.view {
		l.view = view
		l.meter.SetPeers(time.Now(), ids)
		for id, conn := range l.conns {
			if !slices.Contains(ids, id) {
				// The connection is of no further use, whatever closing it says.
				_ = conn.Close()
				delete(l.conns, id)
			}
		}
	}
	return peers
}

func (l *Limiter) exchange(ctx context.Context, peer *fleetpb.Session) {
	conn, err := l.connection(peer)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := fleetpb.NewPeerClient(conn).ExchangeUse(ctx, l.report())
	if err == nil && report.SessionId != peer.Id {
		err = errOtherSession
	}
	if err != nil {
		// The meter assumes a use for a silent peer; a later exchange tells the real one.
		l.drop(peer.Id, conn)
		l.loads.Observe(peer.Id, nil)
		return
	}
	l.observe(peer.Id, report)
}

// errOtherSession means that another process than the one with the session has its address now: an entry that was started
// again. Its report counts under its own session.
var errOtherSession = errors.New("the address belongs to another session")

// ExchangeUse implements fleetpb.PeerServer. A report of a session that has ended, or is not known yet, does not count.
func (l *Limiter) ExchangeUse(_ context.Context, report *fleetpb.UseReport) (*fleetpb.UseReport, error) {
	l.refresh()
	if l.control.View().Sessions[report.SessionId] != nil {
		l.observe(report.SessionId, report)
	}
	return l.report(), nil
}

func (l *Limiter) report() *fleetpb.UseReport {
	own, _ := l.control.SessionID()
	report := &fleetpb.UseReport{SessionId: own}
	for _, load := range l.loads.Loads() {
		report.Upstreams = append(report.Upstreams, &fleetpb.UpstreamUse{
			Id: load.ID, Incarnation: load.Incarnation, Work: int64(load.Work), Requests: uint32(load.Requests), Ejected: load.Ejected,
		})
	}
	for _, t := range l.loads.Retries() {
		report.Services = append(report.Services, &fleetpb.ServiceUse{Service: t.Service, Requests: t.Requests, Retries: t.Retries})
	}
	for service, d := range l.loads.Demands() {
		report.Demands = append(report.Demands, &fleetpb.ServiceDemand{
			Service: service, Generations: d.Generations, PromptTokens: d.PromptTokens, Room: d.RoomMillis,
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.meter.Report(time.Now()) {
		report.Customers = append(report.Customers, &fleetpb.CustomerUse{Customer: u.Bucket, Tokens: u.Tokens, Level: int64(u.Level)})
	}
	return report
}

func (l *Limiter) observe(session uint64, report *fleetpb.UseReport) {
	uses := make([]limit.Use, 0, len(report.Customers))
	for _, c := range report.Customers {
		uses = append(uses, limit.Use{Bucket: c.Customer, Tokens: c.Tokens, Level: float64(c.Level)})
	}
	loads := make([]place.Load, 0, len(report.Upstreams))
	for _, u := range report.Upstreams {
		loads = append(loads, place.Load{ID: u.Id, Incarnation: u.Incarnation, Work: int(u.Work), Requests: int(u.Requests), Ejected: u.Ejected})
	}
	l.loads.Observe(session, loads)
	totals := make([]retry.Total, 0, len(report.Services))
	for _, s := range report.Services {
		totals = append(totals, retry.Total{Service: s.Service, Requests: s.Requests, Retries: s.Retries})
	}
	l.loads.ObserveRetries(session, totals)
	demands := map[string]place.DemandTotal{}
	for _, d := range report.Demands {
		demands[d.Service] = place.DemandTotal{Generations: d.Generations, PromptTokens: d.PromptTokens, RoomMillis: d.Room}
	}
	l.loads.ObserveDemands(session, demands)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter.Observe(time.Now(), session, uses, l.control.View().Limit)
}

func (l *Limiter) connection(peer *fleetpb.Session) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.conns[peer.Id]; conn != nil {
		return conn, nil
	}
	conn, err := l.dialer.Dial(peer.PeerAddress)
	if err != nil {
		return nil, err
	}
	l.conns[peer.Id] = conn
	return conn, nil
}

func (l *Limiter) drop(session uint64, conn *grpc.ClientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[session] == conn {
		delete(l.conns, session)
	}
	// The connection is of no further use, whatever closing it says.
	_ = conn.Close()
}

func (l *Limiter) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}
