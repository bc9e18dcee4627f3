// Package cleanup cancels the requests that entries with an ended session have left on engines, and this entry's
// requests on engines that operators have stopped.
package cleanup

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
)

// Engine lists and cancels requests on engines.
type Engine interface {
	// Requests returns the IDs of the requests on the engine at this address.
	Requests(ctx context.Context, address string) ([]string, error)
	// CancelOwner cancels all requests of a session on the engine at this address. The owner is the decimal session ID.
	CancelOwner(ctx context.Context, address, owner string) error
}

// Fleet provides the entry's session and view.
type Fleet interface {
	View() *control.View
	SessionID() (uint64, bool)
	// Fresh reports whether the view is known to be recent.
	Fresh() bool
}

// Config configures a Controller.
type Config struct {
	Engine Engine
	Fleet  Fleet
	Events *event.Logger
	// Interval is the time between sweeps; it defaults to 5 s.
	Interval time.Duration
}

const (
	defaultInterval = 5 * time.Second
	// callTimeout leaves time for a second attempt on a new connection after a kept-alive connection has stalled for 1 s.
	callTimeout = 3 * time.Second
	// maxParallelCalls bounds the number of engines that are called concurrently.
	maxParallelCalls = 16
	// followUpDelay is the delay of a second sweep after a session end. The second sweep finds requests that were in
	// transit when their entry died.
	followUpDelay = time.Second
)

// Controller sweeps the engines that are assigned to this entry. Each engine is assigned to the session with the
// highest rendezvous hash, so that only one entry sweeps it.
type Controller struct {
	config Config
	// wake requests a sweep before the interval ends. It has a capacity of 1, so that requests are merged.
	wake     chan struct{}
	sessions map[uint64]*fleetpb.Session
	stopped  map[string]bool
}

// New returns a controller.
func New(c Config) *Controller {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	return &Controller{config: c, wake: make(chan struct{}, 1)}
}

// OnChange requests a sweep if a session has ended or an engine was stopped since the last view. It must be called with
// each new view.
func (c *Controller) OnChange(view *control.View) {
	needsSweep := false
	for id := range c.sessions {
		if view.Sessions[id] == nil {
			needsSweep = true
		}
	}
	c.sessions = view.Sessions
	stopped := stoppedEngines(view)
	for id := range stopped {
		needsSweep = needsSweep || !c.stopped[id]
	}
	c.stopped = stopped
	if needsSweep {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

func stoppedEngines(view *control.View) map[string]bool {
	stopped := map[string]bool{}
	for id, u := range view.Upstreams {
		if u.Kind == "engine" && u.Desired == fleetpb.DesiredState_DESIRED_STATE_STOPPED {
			stopped[id] = true
		}
	}
	return stopped
}

// Run sweeps periodically and on request until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	delay := c.config.Interval
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
			delay = followUpDelay
		case <-time.After(delay):
			delay = c.config.Interval
		}
		c.Sweep(ctx)
	}
}

// Sweep cancels the requests of ended sessions on the engines that are assigned to this entry, and this entry's requests
// on all stopped engines. Sweep does nothing if this entry has no session or the view is not known to be recent.
func (c *Controller) Sweep(ctx context.Context) {
	ownSession, ok := c.config.Fleet.SessionID()
	if !ok || !c.config.Fleet.Fresh() {
		return
	}
	view := c.config.Fleet.View()
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for id := range stoppedEngines(view) {
		group.Go(func() error {
			c.cancelOwnRequests(ctx, view.Upstreams[id], ownSession)
			return nil
		})
	}
	for _, u := range view.Upstreams {
		if u.Kind != "engine" || u.State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN ||
			assignedSession(view, u.Id) != ownSession {
			continue
		}
		group.Go(func() error {
			c.sweepEngine(ctx, view, u)
			return nil
		})
	}
	_ = group.Wait()
}

// cancelOwnRequests cancels this entry's requests on a stopped engine. Their streams resume on other engines.
func (c *Controller) cancelOwnRequests(ctx context.Context, u *fleetpb.Upstream, ownSession uint64) {
	if u.State == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.config.Engine.CancelOwner(ctx, u.Address, strconv.FormatUint(ownSession, 10)); err != nil {
		c.config.Events.Write(event.SweepFailed, func(e *log.Entry) { e.Str("upstream", u.Id).Err(err) })
	}
}

// assignedSession returns the ID of the session whose entry sweeps an upstream, or 0 if the view has no session.
func assignedSession(view *control.View, upstream string) uint64 {
	var best, bestHash uint64
	for id := range view.Sessions {
		hash := xxhash.Sum64String(upstream + "/" + strconv.FormatUint(id, 10))
		if best == 0 || hash > bestHash || hash == bestHash && id > best {
			best, bestHash = id, hash
		}
	}
	return best
}

func (c *Controller) sweepEngine(ctx context.Context, view *control.View, u *fleetpb.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ids, err := c.config.Engine.Requests(ctx, u.Address)
	if err != nil {
		c.config.Events.Write(event.SweepFailed, func(e *log.Entry) { e.Str("upstream", u.Id).Err(err) })
		return
	}
	for _, owner := range EndedOwners(view, ids) {
		if err := c.config.Engine.CancelOwner(ctx, u.Address, owner); err != nil {
			c.config.Events.Write(event.SweepFailed, func(e *log.Entry) { e.Str("upstream", u.Id).Err(err) })
			continue
		}
		c.config.Events.Write(event.OwnerWorkCancelled, func(e *log.Entry) { e.Str("upstream", u.Id).Str("owner", owner) })
	}
}

// EndedOwners returns the owners of the given requests whose sessions have ended. The part of a request ID before the
// first hyphen is the owner, which is a session ID. A session ID is the index of the log entry that opened the session.
// A session that is not in the view has ended if its ID is at most the view's index; otherwise the session may be newer
// than the view.
func EndedOwners(view *control.View, requestIDs []string) []string {
	var ended []string
	seen := map[string]bool{}
	for _, id := range requestIDs {
		owner, _, _ := strings.Cut(id, "-")
		session, err := strconv.ParseUint(owner, 10, 64)
		if err != nil || seen[owner] || session > view.Index || view.Sessions[session] != nil {
			continue
		}
		seen[owner] = true
		ended = append(ended, owner)
	}
	return ended
}
