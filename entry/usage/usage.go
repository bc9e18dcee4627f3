// Package usage connects an entry to the coordinator of the fleet. It reports what the entry uses, learns what the others
// use, and asks for the engines of generations. Package limit decides on requests.
package usage

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/config"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/coordinator"
	"azuredoor.example/entry/limit"
	"azuredoor.example/entry/place"
	"azuredoor.example/entry/quarantine"
	"azuredoor.example/entry/retry"
)

const (
	// idleFactor lengthens the report interval of an entry without requests.
	idleFactor = 2
	// minKickPause is the shortest time between two reports, so that several ends of generations share one.
	minKickPause = 20 * time.Millisecond
	// reportTimeout bounds one report. It allows for a packet that is lost and sent again twice, because entries that
	// choose another coordinator for each lost packet place generations without knowledge of the others.
	reportTimeout = 650 * time.Millisecond
	// chargeTimeout bounds the call that charges a customer near its limit.
	chargeTimeout = 100 * time.Millisecond
	// minConfirmWait and one report interval bound how long after the last confirmation a request that is larger than this entry's share of
	// a limit waits for a coordinator to confirm the limit. A coordinator that fails is replaced within about that time.
	minConfirmWait = 700 * time.Millisecond
	// placeTimeout bounds the first response to a placement.
	placeTimeout = 250 * time.Millisecond
	// minAvoidance is how long a coordinator that failed is not asked again. It doubles with each failure up to
	// maxAvoidance.
	minAvoidance = time.Second
	maxAvoidance = 8 * time.Second
	// maxCandidates bounds the coordinators that one report tries.
	maxCandidates = 3
)

// Control provides the view and the session of this entry.
type Control interface {
	View() *control.View
	// SessionID returns the last session of this entry, or 0, and whether its lease is valid.
	SessionID() (uint64, bool)
}

// Coordinator is the coordinator in this process. It is used while this entry has the oldest session.
type Coordinator interface {
	Report(ctx context.Context, report *fleetpb.UseReport) (*fleetpb.FleetUse, error)
	Charge(ctx context.Context, r *fleetpb.ChargeRequest) (*fleetpb.ChargeResponse, error)
	PlaceGeneration(ctx context.Context, r *fleetpb.PlaceRequest, waiting func() error) (*fleetpb.PlaceResponse, error)
}

// Loads provides the loads, retries, demands and generations that reports carry, and observes those of the other entries.
// The other entries appear as one peer, under the session of the coordinator.
type Loads interface {
	Loads() []place.Load
	Observe(session uint64, loads []place.Load)
	Retries() []retry.Total
	ObserveRetries(session uint64, totals []retry.Total)
	// Demands returns the total demand of this entry's generations on engines, by service.
	Demands() map[string]place.DemandTotal
	ObserveDemands(session uint64, totals map[string]place.DemandTotal)
	// ObserveSilent observes the number of entries whose use the coordinator does not know: all others without a coordinator.
	ObserveSilent(entries int)
	// Generations returns the generations of this entry on decode engines.
	Generations() []place.Generation
	// ColdWanted returns how many requests this entry wanted to send to each cold upstream since the last call. GrantCold observes how
	// many it may send until the given time.
	ColdWanted() []place.ColdUse
	GrantCold(until time.Time, uses []place.ColdUse)
	// PrefillSpeed returns the observed rate of prefill engines in tokens per millisecond, or 0, and the time that a prefill
	// takes beyond that.
	PrefillSpeed() (rate float64, delay time.Duration)
}

// Config configures a Client.
type Config struct {
	Control     Control
	Dialer      fleetrpc.Dialer
	Coordinator Coordinator
	Events      *event.Logger
	// Changing returns the engines, with their incarnations, that this entry has ordered to change their role or that have told
	// it that they leave; nil for none.
	Changing func() map[string]uint64
	// Guard holds the evidence on prompt parts that crash engines. The default is an empty guard.
	Guard *quarantine.Guard
	// SetQuarantined receives the number of quarantined parts after each report; nil for none.
	SetQuarantined func(parts int)
}

// Client admits requests within customers' limits, and places generations. It is safe for concurrent use.
type Client struct {
	config Config
	loads  Loads
	kick   chan struct{}

	mu    sync.Mutex
	meter *limit.Meter
	conns map[uint64]*grpc.ClientConn
	// avoided holds the coordinators that failed.
	avoided map[uint64]avoidance
	// current is the session of the coordinator that answered the last report, or 0.
	current uint64
	// sequence is that of the last report. Only Run uses it.
	sequence uint64
	// touched is set when a request has used a limit since the last report.
	touched bool
	// confirmed is closed and replaced when a coordinator confirms the levels. unconfirmedAt is when none was found to do so any more.
	confirmed     chan struct{}
	unconfirmedAt time.Time
}

type avoidance struct {
	until    time.Time
	duration time.Duration
}

// New returns a limiter without loads; see SetLoads. Run exchanges its reports.
func New(c Config) *Client {
	if c.Guard == nil {
		c.Guard = quarantine.NewGuard()
	}
	return &Client{
		config: c, meter: limit.NewMeter(), conns: map[uint64]*grpc.ClientConn{}, avoided: map[uint64]avoidance{},
		kick: make(chan struct{}, 1), confirmed: make(chan struct{}),
	}
}

// SetLoads sets the source of the loads in reports. It must be called before Run.
func (c *Client) SetLoads(loads Loads) { c.loads = loads }

// Take reports whether a request of a customer is admitted, and charges its tokens if so. Otherwise, Take returns the time
// after which to retry.
func (c *Client) Take(bucket string, bucketLimit config.Limit, tokens int64) (ok bool, retryAfter time.Duration) {
	for {
		c.mu.Lock()
		now := time.Now()
		c.touched = true
		current, confirmed := c.current, c.confirmed
		asks := !c.meter.Unconfirmed(now) && c.meter.MustAsk(now, bucket, bucketLimit, tokens)
		if asks && current == 0 {
			c.meter.Suspend()
			asks = false
		}
		wait := c.confirmWait(now)
		if !asks && (wait <= 0 || c.meter.Covers(now, bucket, bucketLimit, tokens)) {
			ok, retryAfter = c.meter.Take(now, bucket, bucketLimit, tokens)
			c.mu.Unlock()
			return ok, retryAfter
		}
		level := c.meter.Level(now, bucket, bucketLimit)
		c.mu.Unlock()
		if asks {
			response, err := c.charge(current, bucket, tokens, level)
			if err == nil {
				return c.admit(response, bucket, bucketLimit, tokens)
			}
			// The coordinator has failed or is not the only one, so the entry decides by its share of the bucket, unless one confirms
			// the whole level soon.
			c.suspend(current, err)
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-confirmed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// confirmWait returns how long a request that is larger than this entry's share still waits for a coordinator to confirm the limits. It
// is 0 while one does, and when none has for so long that waiting would not help. The caller must hold c.mu.
func (c *Client) confirmWait(now time.Time) time.Duration {
	if !c.meter.Unconfirmed(now) {
		c.unconfirmedAt = time.Time{}
		return 0
	}
	if c.unconfirmedAt.IsZero() {
		c.unconfirmedAt = now
	}
	return c.unconfirmedAt.Add(minConfirmWait + coordinator.ReportInterval(len(c.config.Control.View().Sessions))).Sub(now)
}

// admit applies the coordinator's decision on a request.
func (c *Client) admit(response *fleetpb.ChargeResponse, bucket string, bucketLimit config.Limit, tokens int64) (ok bool, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.Admitted {
		c.meter.Admit(time.Now(), bucket, bucketLimit, tokens)
	}
	return response.Admitted, time.Duration(response.RetryAfterMillis) * time.Millisecond
}

// suspend makes this entry use its share of the limits after a coordinator has failed, or while another one may act as well.
func (c *Client) suspend(coordinator uint64, reason error) {
	c.mu.Lock()
	confirmed := !c.meter.Suspended()
	c.meter.Suspend()
	c.mu.Unlock()
	if confirmed {
		c.logConfirmed(coordinator, false, reason)
	}
}

func (c *Client) logConfirmed(coordinator uint64, confirmed bool, reason error) {
	c.config.Events.Write(event.LimitsConfirmed, func(e *log.Entry) { e.Uint64("session", coordinator).Bool("confirmed", confirmed).Err(reason) })
}

// charge asks the coordinator to charge a customer.
func (c *Client) charge(coordinator uint64, bucket string, tokens int64, level float64) (*fleetpb.ChargeResponse, error) {
	own, _ := c.config.Control.SessionID()
	request := &fleetpb.ChargeRequest{SessionId: own, Customer: bucket, Tokens: tokens, Level: int64(level)}
	ctx, cancel := context.WithTimeout(context.Background(), chargeTimeout)
	defer cancel()
	var response *fleetpb.ChargeResponse
	var err error
	if coordinator == own {
		response, err = c.config.Coordinator.Charge(ctx, request)
	} else {
		peer := c.config.Control.View().Sessions[coordinator]
		if peer == nil {
			return nil, errNoCoordinator
		}
		var conn *grpc.ClientConn
		if conn, err = c.peerConn(peer); err != nil {
			return nil, err
		}
		response, err = fleetpb.NewPeerClient(conn).Charge(ctx, request)
	}
	if err != nil {
		c.Changed()
	}
	return response, err
}

// Refund returns the tokens of a request that was not run.
func (c *Client) Refund(bucket string, bucketLimit config.Limit, tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter.Refund(time.Now(), bucket, bucketLimit, tokens)
}

// Changed makes the next report happen soon. It is called when a generation has ended.
func (c *Client) Changed() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run reports to the coordinator until the context ends.
func (c *Client) Run(ctx context.Context) error {
	defer c.close()
	for ctx.Err() == nil {
		c.report(ctx)
		c.logQuarantine()
		timer := time.NewTimer(c.interval())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-c.kick:
			select {
			case <-ctx.Done():
			case <-time.After(minKickPause):
			}
		}
		timer.Stop()
	}
	return nil
}

// interval returns the time until the next report.
func (c *Client) interval() time.Duration {
	interval := coordinator.ReportInterval(len(c.config.Control.View().Sessions))
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.touched {
		interval *= idleFactor
	}
	c.touched = false
	return interval
}

// candidates returns the sessions that may coordinate, in the order of preference. Coordinators that failed come last.
func (c *Client) candidates(now time.Time, view *control.View) []uint64 {
	ids := make([]uint64, 0, len(view.Sessions))
	for id := range view.Sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.avoided {
		if view.Sessions[id] == nil {
			delete(c.avoided, id)
		}
	}
	c.closeOthers(view)
	var preferred, avoided []uint64
	for _, id := range ids {
		if now.Before(c.avoided[id].until) {
			avoided = append(avoided, id)
		} else {
			preferred = append(preferred, id)
		}
	}
	return append(preferred, avoided...)
}

// report reports to the first coordinator that answers.
func (c *Client) report(ctx context.Context) {
	view := c.config.Control.View()
	// A session whose lease has expired still identifies this entry, for example while the control group has no leader.
	own, valid := c.config.Control.SessionID()
	if view.Sessions[own] == nil {
		return
	}
	c.mu.Lock()
	c.meter.SetExpired(!valid)
	c.meter.SetEntries(time.Now(), len(view.Sessions))
	c.meter.Silence = coordinator.Silence(len(view.Sessions))
	c.mu.Unlock()
	candidates := c.candidates(time.Now(), view)
	for _, id := range candidates[:min(len(candidates), maxCandidates)] {
		err := c.reportTo(ctx, view, own, id)
		switch {
		case err == nil:
			c.setCurrent(id, nil)
			return
		case ctx.Err() != nil || status.Code(err) == codes.FailedPrecondition:
			// The coordinator has an older view without this session.
			return
		}
		c.avoid(id)
		c.suspend(id, err)
	}
	c.loads.ObserveSilent(len(view.Sessions) - 1)
	c.setCurrent(0, errNoCoordinator)
}

// errNoCoordinator means that none of the candidates answered.
var errNoCoordinator = errors.New("no coordinator responds")

// setCurrent records which coordinator answered.
func (c *Client) setCurrent(id uint64, err error) {
	c.mu.Lock()
	previous := c.current
	c.current = id
	if err == nil {
		delete(c.avoided, id)
	}
	c.mu.Unlock()
	if id == 0 {
		c.config.Guard.Lost()
	}
	if previous == id {
		return
	}
	if previous != 0 {
		// The loads of the other entries now come from another coordinator.
		c.loads.Observe(previous, nil)
	}
	c.config.Events.Write(event.CoordinatorChanged, func(e *log.Entry) { e.Uint64("before", previous).Uint64("session", id).Err(err) })
}

// avoid makes other coordinators preferred for some time.
func (c *Client) avoid(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	duration := min(max(minAvoidance, 2*c.avoided[id].duration), maxAvoidance)
	c.avoided[id] = avoidance{until: time.Now().Add(duration), duration: duration}
	if conn := c.conns[id]; conn != nil {
		delete(c.conns, id)
		// The connection is discarded, so an error of Close does not matter.
		_ = conn.Close()
	}
}

func (c *Client) reportTo(ctx context.Context, view *control.View, own, id uint64) error {
	c.mu.Lock()
	uses := c.meter.Report(time.Now())
	c.mu.Unlock()
	report := c.localReport(own, uses)
	c.sequence++
	report.Sequence = c.sequence
	c.addEvidence(report, id)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sent := time.Now()
	var response *fleetpb.FleetUse
	var err error
	if id == own {
		response, err = c.config.Coordinator.Report(ctx, report)
	} else {
		var conn *grpc.ClientConn
		if conn, err = c.peerConn(view.Sessions[id]); err != nil {
			return err
		}
		response, err = fleetpb.NewPeerClient(conn).Report(ctx, report)
	}
	if err != nil {
		return err
	}
	if response.SessionId != id {
		return errSessionMismatch
	}
	c.apply(view, uses, response)
	c.applyParts(response)
	granted := make([]place.ColdUse, 0, len(response.ColdGranted))
	for _, use := range response.ColdGranted {
		granted = append(granted, place.ColdUse{ID: use.Id, Incarnation: use.Incarnation, Requests: int(use.Requests)})
	}
	c.loads.GrantCold(sent.Add(place.GrantLifetime), granted)
	return nil
}

// errSessionMismatch means that the peer responded with another session: a restarted entry has the address now.
var errSessionMismatch = errors.New("the address belongs to another session")

func (c *Client) localReport(own uint64, uses []limit.Use) *fleetpb.UseReport {
	rate, delay := c.loads.PrefillSpeed()
	report := &fleetpb.UseReport{SessionId: own, PrefillRate: uint32(rate * 1000), PrefillDelayMillis: uint32(delay.Milliseconds())}
	for _, load := range c.loads.Loads() {
		report.Upstreams = append(report.Upstreams, &fleetpb.UpstreamUse{
			Id: load.ID, Incarnation: load.Incarnation, Work: int64(load.Work), Requests: uint32(load.Requests), Ejected: load.Ejected,
		})
	}
	for _, t := range c.loads.Retries() {
		report.Services = append(report.Services, &fleetpb.ServiceUse{Service: t.Service, Requests: t.Requests, Retries: t.Retries})
	}
	for service, d := range c.loads.Demands() {
		report.Demands = append(report.Demands, &fleetpb.ServiceDemand{
			Service: service, Generations: d.Generations, PromptTokens: d.PromptTokens, Room: d.MemoryMillis, OutputTokens: d.OutputTokens,
		})
	}
	for _, g := range c.loads.Generations() {
		report.Generations = append(report.Generations, generationMessage(g))
	}
	for _, use := range c.loads.ColdWanted() {
		report.ColdWanted = append(report.ColdWanted, &fleetpb.ColdUse{Id: use.ID, Incarnation: use.Incarnation, Requests: uint32(use.Requests)})
	}
	if c.config.Changing != nil {
		for id, incarnation := range c.config.Changing() {
			report.Changing = append(report.Changing, &fleetpb.UpstreamRef{Id: id, Incarnation: incarnation})
		}
	}
	for _, u := range uses {
		report.Customers = append(report.Customers, &fleetpb.CustomerUse{Customer: u.Bucket, Tokens: u.Tokens, Level: int64(u.Level), Acknowledged: u.Acknowledged})
	}
	return report
}

func generationMessage(g place.Generation) *fleetpb.Generation {
	return &fleetpb.Generation{
		Id: g.ID, Upstream: g.Upstream, Incarnation: g.Incarnation, PromptTokens: uint32(max(0, g.Prompt)),
		OutputTokens: uint32(max(0, g.Output)), ExpectedTokens: uint32(max(0, g.Expected)),
	}
}

// apply applies the coordinator's response to a report of the given uses.
func (c *Client) apply(view *control.View, reported []limit.Use, response *fleetpb.FleetUse) {
	loads := make([]place.Load, 0, len(response.Upstreams))
	for _, u := range response.Upstreams {
		loads = append(loads, place.Load{ID: u.Id, Incarnation: u.Incarnation, Work: int(u.Work), Requests: int(u.Requests), Ejected: u.Ejected})
	}
	c.loads.Observe(response.SessionId, loads)
	totals := make([]retry.Total, 0, len(response.Services))
	for _, s := range response.Services {
		totals = append(totals, retry.Total{Service: s.Service, Requests: s.Requests, Retries: s.Retries})
	}
	c.loads.ObserveRetries(response.SessionId, totals)
	demands := map[string]place.DemandTotal{}
	for _, d := range response.Demands {
		demands[d.Service] = place.DemandTotal{Generations: d.Generations, PromptTokens: d.PromptTokens, OutputTokens: d.OutputTokens, MemoryMillis: d.Room}
	}
	c.loads.ObserveDemands(response.SessionId, demands)
	c.loads.ObserveSilent(int(response.Silent))
	levels := make([]limit.Use, 0, len(response.Customers))
	for _, u := range response.Customers {
		levels = append(levels, limit.Use{Bucket: u.Customer, Level: float64(u.Level)})
	}
	if response.Unconfirmed {
		if own, _ := c.config.Control.SessionID(); response.SessionId == own {
			c.suspend(own, errNoMajority)
		}
		return
	}
	c.mu.Lock()
	suspended := c.meter.Suspended()
	c.meter.Confirm(time.Now(), response.SessionId, reported, levels, view.Limit)
	close(c.confirmed)
	c.confirmed = make(chan struct{})
	c.mu.Unlock()
	if suspended {
		c.logConfirmed(response.SessionId, true, nil)
	}
}

// errNoMajority means that this entry is a coordinator to which fewer than half of the entries report, so that the others may have
// another one.
var errNoMajority = errors.New("no majority of the entries reports to this one")

func (c *Client) peerConn(peer *fleetpb.Session) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[peer.Id]; conn != nil {
		return conn, nil
	}
	conn, err := c.config.Dialer.Dial(peer.PeerAddress)
	if err != nil {
		return nil, err
	}
	c.conns[peer.Id] = conn
	return conn, nil
}

// closeOthers closes the connections to entries whose sessions have ended. The caller must hold c.mu.
func (c *Client) closeOthers(view *control.View) {
	for id, conn := range c.conns {
		if view.Sessions[id] == nil {
			// The connection is discarded, so an error of Close does not matter.
			_ = conn.Close()
			delete(c.conns, id)
		}
	}
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
