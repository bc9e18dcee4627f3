// Package usage limits customers across all entries. It exchanges reports of what each entry admitted, and package limit
// decides on requests.
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
	// exchangeInterval is the time between two reports to a peer in a small fleet. Tokens that entries admit beyond a limit
	// in this time are paid back later, so the interval only bounds the excess within one window.
	exchangeInterval = 200 * time.Millisecond
	// exchangeIntervalPerPeer lengthens the interval with the number of peers, so that an entry handles at most a few
	// reports per 8 ms.
	exchangeIntervalPerPeer = 8 * time.Millisecond
	// callTimeout bounds one exchange. A connection whose peer does not respond in time is closed and dialed again.
	callTimeout = 300 * time.Millisecond
)

// Control provides the view and the session of this entry.
type Control interface {
	View() *control.View
	// SessionID returns the session of this entry, and false while there is none.
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

// Loads provides the loads, retries and demands that reports carry, and observes those of peers.
type Loads interface {
	Loads() []place.Load
	Observe(session uint64, loads []place.Load)
	Retries() []retry.Total
	ObserveRetries(session uint64, totals []retry.Total)
	// Demands returns the total demand of this entry's generations on engines, by service.
	Demands() map[string]place.DemandTotal
	ObserveDemands(session uint64, totals map[string]place.DemandTotal)
}

// New returns a limiter without loads; see SetLoads. Run exchanges its reports.
func New(c Control, dialer fleetrpc.Dialer) *Limiter {
	return &Limiter{control: c, dialer: dialer, meter: limit.NewMeter(), conns: map[uint64]*grpc.ClientConn{}}
}

// Take reports whether a request of a customer is admitted, and charges its tokens if so. Otherwise, Take returns the time
// after which to retry.
func (l *Limiter) Take(bucket string, bucketLimit config.Limit, tokens int64) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.meter.Take(time.Now(), bucket, bucketLimit, tokens)
}

// Refund returns the tokens of a request that was not run.
func (l *Limiter) Refund(bucket string, bucketLimit config.Limit, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter.Refund(time.Now(), bucket, bucketLimit, tokens)
}

// SetLoads sets the source of the loads in reports. It must be called before Run.
func (l *Limiter) SetLoads(loads Loads) { l.loads = loads }

// Run exchanges reports until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	defer l.close()
	for ctx.Err() == nil {
		peers := l.updatePeers()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(exchangeInterval, time.Duration(len(peers))*exchangeIntervalPerPeer)):
		}
		var group errgroup.Group
		for _, peer := range peers {
			group.Go(func() error {
				l.exchangeReports(ctx, peer)
				return nil
			})
		}
		_ = group.Wait()
	}
	return nil
}

// updatePeers applies the current view and returns the sessions of the other entries.
func (l *Limiter) updatePeers() []*fleetpb.Session {
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
				// The connection is discarded, so an error of Close does not matter.
				_ = conn.Close()
				delete(l.conns, id)
			}
		}
	}
	return peers
}

func (l *Limiter) exchangeReports(ctx context.Context, peer *fleetpb.Session) {
	conn, err := l.peerConn(peer)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := fleetpb.NewPeerClient(conn).ExchangeUse(ctx, l.localReport())
	if err == nil && report.SessionId != peer.Id {
		err = errSessionMismatch
	}
	if err != nil {
		// The meter assumes a use for a silent peer until a later exchange reports the actual use.
		l.closeConn(peer.Id, conn)
		l.loads.Observe(peer.Id, nil)
		return
	}
	l.applyReport(peer.Id, report)
}

// errSessionMismatch means that the peer responded with another session: a restarted entry has the address now. Its report
// counts only under its new session.
var errSessionMismatch = errors.New("the address belongs to another session")

// ExchangeUse implements fleetpb.PeerServer. It ignores the report of a session that has ended or is not known yet.
func (l *Limiter) ExchangeUse(_ context.Context, report *fleetpb.UseReport) (*fleetpb.UseReport, error) {
	l.updatePeers()
	if l.control.View().Sessions[report.SessionId] != nil {
		l.applyReport(report.SessionId, report)
	}
	return l.localReport(), nil
}

func (l *Limiter) localReport() *fleetpb.UseReport {
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
			Service: service, Generations: d.Generations, PromptTokens: d.PromptTokens, Room: d.MemoryMillis,
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.meter.Report(time.Now()) {
		report.Customers = append(report.Customers, &fleetpb.CustomerUse{Customer: u.Bucket, Tokens: u.Tokens, Level: int64(u.Level)})
	}
	return report
}

func (l *Limiter) applyReport(session uint64, report *fleetpb.UseReport) {
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
		demands[d.Service] = place.DemandTotal{Generations: d.Generations, PromptTokens: d.PromptTokens, MemoryMillis: d.Room}
	}
	l.loads.ObserveDemands(session, demands)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter.Observe(time.Now(), session, uses, l.control.View().Limit)
}

func (l *Limiter) peerConn(peer *fleetpb.Session) (*grpc.ClientConn, error) {
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

func (l *Limiter) closeConn(session uint64, conn *grpc.ClientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[session] == conn {
		delete(l.conns, session)
	}
	// The connection is discarded, so an error of Close does not matter.
	_ = conn.Close()
}

func (l *Limiter) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}
