// Package coordinator serves the entries of a fleet: it adds up what they use, and places their generations on engines.
//
// Each entry can be the coordinator. The others choose the one with the oldest session that responds, so that the choice
// changes only when the coordinator fails or stops. Placements do not depend on a single coordinator, because engines themselves
// grant the memory. Limits do: a coordinator confirms levels and charges customers only while a majority of the entries reports to
// it, so that one that is cut off stops before its successor begins, and each entry without a coordinator has its share.
package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/limit"
	"azuredoor.example/entry/place"
	"azuredoor.example/entry/quarantine"
)

const (
	// queueInterval is the longest time between two attempts to place waiting generations.
	queueInterval = 50 * time.Millisecond
	// sweepInterval is the time between two searches for ended sessions and silent entries.
	sweepInterval = 250 * time.Millisecond
)

// Control provides the view and the session of this entry.
type Control interface {
	View() *control.View
	// SessionID returns the last session of this entry, or 0, and whether its lease is valid.
	SessionID() (uint64, bool)
}

// Coordinator adds up reports and places generations. It is safe for concurrent use.
type Coordinator struct {
	fleetpb.UnimplementedPeerServer

	control Control

	mu     sync.Mutex
	view   *control.View
	meter  *limit.Meter
	book   *place.Book
	queue  *place.Queue
	sums   *Sums
	ledger *quarantine.Ledger
	// cold counts the requests to cold upstreams of plain services; the book counts those to engines.
	cold     *place.ColdLimiter
	sweptAt  time.Time
	resigned bool
	// awake tells whether this process was stopped.
	awake control.PauseDetector
}

// New returns a coordinator without reports.
func New(c Control) *Coordinator {
	book := place.NewBook()
	return &Coordinator{control: c, meter: limit.NewMeter(), book: book, queue: place.NewQueue(book), sums: NewSums(), ledger: quarantine.NewLedger(), cold: place.NewColdLimiter()}
}

// Errors of Report and Place.
var (
	errResigned       = status.Error(codes.Unavailable, "this entry is stopping")
	errNoSession      = status.Error(codes.Unavailable, "this entry has no session")
	errNotAlone       = status.Error(codes.Unavailable, "another entry may coordinate as well")
	errLateReport     = status.Error(codes.Aborted, "a newer report of the session is known")
	errUnknownSession = status.Error(codes.FailedPrecondition, "the session or the customer is not in this entry's view")
)

// Resign makes the entries choose another coordinator. It is called when the entry begins to stop.
func (c *Coordinator) Resign() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resigned = true
}

// ReportInterval returns the time between two reports of each of the given number of entries. It bounds the rate of reports
// at the coordinator.
func ReportInterval(entries int) time.Duration {
	return max(minReportInterval, time.Duration(entries)*reportIntervalPerEntry)
}

// Silence returns how long an entry may send no report before its share of the limits is withheld.
func Silence(entries int) time.Duration {
	return max(limit.DefaultSilence, silentReports*ReportInterval(entries))
}

const (
	// minReportInterval is the time between two reports in a small fleet. It bounds the tokens that entries admit beyond a
	// limit within one window.
	minReportInterval = 200 * time.Millisecond
	// reportIntervalPerEntry bounds the coordinator to 500 reports per second.
	reportIntervalPerEntry = 2 * time.Millisecond
	// silentReports is the number of missing reports after which an entry counts as silent.
	silentReports = 4
)

// ready returns the session of this entry, or an error if it does not coordinate. The caller must hold c.mu.
func (c *Coordinator) ready(now time.Time) (uint64, error) {
	own, _ := c.control.SessionID()
	switch {
	case c.resigned:
		return 0, errResigned
	case own == 0:
		return 0, errNoSession
	}
	if c.awake.Paused() {
		c.meter.LoseAuthority(now)
	}
	if view := c.control.View(); view != c.view {
		c.view = view
		c.book.Set(Engines(view))
		sessions := make([]uint64, 0, len(view.Sessions))
		for id := range view.Sessions {
			sessions = append(sessions, id)
		}
		c.meter.SetSessions(now, sessions)
		c.meter.Silence = Silence(len(sessions))
		c.queue.Advance(now)
	}
	c.book.SetColdReady(mayCountCold(now, c.meter))
	if now.Sub(c.sweptAt) >= sweepInterval {
		c.sweptAt = now
		ended := func(session uint64) bool { return c.view.Sessions[session] == nil }
		c.sums.Sweep(now, Silence(len(c.view.Sessions)), ended)
		c.cold.Forget(func(id string, incarnation uint64) bool {
			u := c.view.Upstreams[id]
			return u != nil && u.Incarnation == incarnation
		})
		for _, session := range c.book.Sessions() {
			if ended(session) {
				c.book.Drop(session)
			}
		}
	}
	return own, nil
}

// mayCountCold reports whether the coordinator with the meter may count requests to cold upstreams: none before it still does, and
// what that one has counted has been sent.
func mayCountCold(now time.Time, m *limit.Meter) bool {
	return m.AuthorityAge(now) > m.AuthorityPeriod()+place.ColdHandover
}

// grantCold counts the requests that an entry wants to send to cold upstreams of plain services, and returns how many it may. The
// caller must hold c.mu.
func (c *Coordinator) grantCold(now time.Time, wanted []*fleetpb.ColdUse) []*fleetpb.ColdUse {
	if len(wanted) == 0 || c.view.Document == nil || !mayCountCold(now, c.meter) {
		return nil
	}
	var granted []*fleetpb.ColdUse
	for _, w := range wanted {
		u := c.view.Upstreams[w.Id]
		if u == nil || u.Incarnation != w.Incarnation {
			continue
		}
		s := c.view.Document.Services[u.Pool]
		if s == nil || s.ColdRate <= 0 {
			continue
		}
		upstream := &place.Upstream{ID: u.Id, Incarnation: u.Incarnation, ColdRate: s.ColdRate}
		if n := c.cold.Share(now, upstream, int(w.Requests)); n > 0 {
			granted = append(granted, &fleetpb.ColdUse{Id: w.Id, Incarnation: w.Incarnation, Requests: uint32(n)})
		}
	}
	return granted
}

// Report implements fleetpb.PeerServer.
func (c *Coordinator) Report(_ context.Context, report *fleetpb.UseReport) (*fleetpb.FleetUse, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	own, err := c.ready(now)
	if err != nil {
		return nil, err
	}
	if c.view.Sessions[report.SessionId] == nil {
		return nil, errUnknownSession
	}
	if c.meter.Late(report.SessionId, report.Sequence) {
		return nil, errLateReport
	}
	c.observeGenerations(now, report)
	uses := make([]limit.Use, 0, len(report.Customers))
	for _, u := range report.Customers {
		uses = append(uses, limit.Use{Bucket: u.Customer, Tokens: u.Tokens, Level: float64(u.Level), Acknowledged: u.Acknowledged})
	}
	c.meter.Observe(now, report.SessionId, uses, c.view.Limit)
	response := c.sums.Exchange(now, report)
	response.SessionId, response.ColdGranted = own, c.grantCold(now, report.ColdWanted)
	response.Unconfirmed, response.Silent = !c.meter.Authoritative(now), uint32(c.meter.SilentPeers(now))
	c.judgeParts(now, report, response)
	for _, u := range c.meter.Report(now) {
		if l, ok := c.view.Limit(u.Bucket); ok && !u.Full(l) {
			response.Customers = append(response.Customers, &fleetpb.CustomerUse{Customer: u.Bucket, Level: int64(u.Level)})
		}
	}
	return response, nil
}

// Charge implements fleetpb.PeerServer.
func (c *Coordinator) Charge(_ context.Context, r *fleetpb.ChargeRequest) (*fleetpb.ChargeResponse, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, err := c.ready(now); err != nil {
		return nil, err
	}
	l, ok := c.view.Limit(r.Customer)
	if !ok || c.view.Sessions[r.SessionId] == nil {
		return nil, errUnknownSession
	}
	if !c.meter.Authoritative(now) {
		return nil, errNotAlone
	}
	admitted, retryAfter := c.meter.Charge(now, r.SessionId, r.Customer, l, r.Tokens, float64(r.Level))
	return &fleetpb.ChargeResponse{Admitted: admitted, RetryAfterMillis: uint32(retryAfter.Milliseconds())}, nil
}

func (c *Coordinator) observeGenerations(now time.Time, report *fleetpb.UseReport) {
	generations := make([]place.Generation, 0, len(report.Generations))
	for _, g := range report.Generations {
		generations = append(generations, generation(g))
	}
	for service, ended := range c.book.Observe(now, report.SessionId, generations) {
		c.queue.RecordEnds(now, service, ended)
	}
	for _, u := range report.Upstreams {
		if u.Ejected {
			c.book.Suspect(now, u.Id, u.Incarnation)
		}
	}
	for _, u := range report.Changing {
		c.book.Changing(now, u.Id, u.Incarnation)
	}
	c.book.ObservePrefillSpeed(float64(report.PrefillRate)/1000, milliseconds(report.PrefillDelayMillis))
	c.queue.Advance(now)
}

func generation(g *fleetpb.Generation) place.Generation {
	return place.Generation{
		ID: g.Id, Upstream: g.Upstream, Incarnation: g.Incarnation, Prompt: int(g.PromptTokens), Output: int(g.OutputTokens),
		Expected: int(g.ExpectedTokens),
	}
}

// Place implements fleetpb.PeerServer.
func (c *Coordinator) Place(r *fleetpb.PlaceRequest, stream grpc.ServerStreamingServer[fleetpb.PlaceResponse]) error {
	result, err := c.PlaceGeneration(stream.Context(), r, func() error {
		return stream.Send(&fleetpb.PlaceResponse{Waiting: true})
	})
	if err != nil {
		return err
	}
	return stream.Send(result) //nolint:wrapcheck // grpc-go converts it to a status
}

// PlaceGeneration chooses the engines of a generation. It calls waiting once if the generation has to wait for memory.
func (c *Coordinator) PlaceGeneration(ctx context.Context, r *fleetpb.PlaceRequest, waiting func() error) (*fleetpb.PlaceResponse, error) {
	now := time.Now()
	if refused := c.refusePrompt(now, r); refused != nil {
		return refused, nil
	}
	w := &place.Waiting{
		Need: place.GenerationNeed{
			Session: r.SessionId, Service: r.Service, Generation: generation(r.Generation), FailureDomain: r.FailureDomain,
			Exclude: r.Exclude, Full: r.Full, Target: milliseconds(r.TargetMillis), Regions: regions(r), Repeatable: r.Repeatable,
			SoftwareVersion: r.SoftwareVersion, SameSoftware: r.SameSoftware,
		},
		Until: now.Add(milliseconds(r.WaitMillis)), Patience: milliseconds(r.PatienceMillis), Late: r.Late, Priority: int(r.Priority), Done: make(chan place.Result, 1),
	}
	result, done, err := c.enqueue(now, w)
	if err != nil {
		return nil, err
	}
	if done {
		return placeResponse(result, 0), nil
	}
	defer c.cancel(w)
	if err := waiting(); err != nil {
		return nil, err
	}
	ticker := time.NewTicker(queueInterval)
	defer ticker.Stop()
	for {
		select {
		case result := <-w.Done:
			return placeResponse(result, result.PlacedAt.Sub(now)), nil
		case <-ticker.C:
			c.advance()
		case <-ctx.Done():
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (c *Coordinator) enqueue(now time.Time, w *place.Waiting) (place.Result, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, err := c.ready(now); err != nil {
		return place.Result{}, false, err
	}
	result, done := c.queue.Add(now, w)
	return result, done, nil
}

func (c *Coordinator) cancel(w *place.Waiting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Cancel(w)
}

func (c *Coordinator) advance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.book.SetColdReady(mayCountCold(now, c.meter))
	c.queue.Advance(now)
}

// regions returns the regions of a request, nil if it may run in all.
func regions(r *fleetpb.PlaceRequest) []string {
	if !r.Restricted {
		return nil
	}
	return append([]string{}, r.Regions...)
}

func placeResponse(r place.Result, waited time.Duration) *fleetpb.PlaceResponse {
	switch {
	case errors.Is(r.Err, place.ErrNone):
		return &fleetpb.PlaceResponse{Unknown: true}
	case r.Err != nil:
		return &fleetpb.PlaceResponse{RetryAfterMillis: uint32(max(1, r.RetryAfter.Milliseconds()))}
	}
	return &fleetpb.PlaceResponse{
		Upstream: r.Placement.Decode.ID, Incarnation: r.Placement.Decode.Incarnation, Prefill: r.Placement.Prefill.ID,
		PrefillMillis: uint32(r.Placement.PrefillTime.Milliseconds()), ColdGranted: r.Placement.Cold, WaitedMillis: uint32(waited.Milliseconds()),
	}
}
