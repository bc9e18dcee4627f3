package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

// Config configures a Client.
type Config struct {
	// Name is unique among the entries.
	Name string
	// PeerAddress is where other entries reach this one, host:port.
	PeerAddress           string
	FailureDomain, Region string
	// Regions maps failure domains to regions, as far as they are known. SetRegions replaces it.
	Regions map[string]string
	// Running returns how many requests of this entry still run in each evacuated failure domain; nil if that is not known.
	Running func() map[string]int
	// Members are the initial gRPC addresses of control members, at least one. Each keepalive response updates them.
	Members []string
	// Reseed, if set, returns addresses to try after no known member has responded within the timeout of a call.
	Reseed func() []string
	// Decode decodes the operators' document. If Decode is nil, views have no document.
	Decode func(data []byte) (*document.Document, error)
	Dialer fleetrpc.Dialer
	Events *event.Logger
	// KeepaliveInterval defaults to 500 ms and FreshnessBound to 3 s, as the design specifies. A FreshnessBound above
	// the session TTL lengthens only the freshness of the view, not the session.
	KeepaliveInterval, FreshnessBound time.Duration
	// ReportAge is the age of the view from which an event reports it; it defaults to FreshnessBound.
	ReportAge time.Duration
}

const (
	defaultKeepaliveInterval = 500 * time.Millisecond
	defaultFreshnessBound    = 3 * time.Second
	// sessionTTL is the lifetime of a session after a keepalive, as set by the control group.
	sessionTTL = 3 * time.Second
)

// Client holds an entry's session and its view of the replicated state.
type Client struct {
	config  Config
	members *members
	view    atomic.Pointer[View]
	// freshAt is the send time, as time since boot, of the newest keepalive whose state index the view has reached.
	freshAt atomic.Int64
	// sessionID is 0 while there is no session.
	sessionID atomic.Uint64
	// sessionExpiresAt is the end of the session's lease, as time since boot.
	sessionExpiresAt atomic.Int64
	// regions holds the regions of failure domains for the next view.
	regions atomic.Pointer[map[string]string]
	// firstSession is set if no session was ever opened before the current one.
	firstSession atomic.Bool

	mu sync.Mutex
	// pendingProofs holds the proofs whose state index the view has not reached.
	pendingProofs []proof
	// answeredAt is the send time, as time since boot, of the newest keepalive that was answered.
	answeredAt time.Duration
	// heartbeats maps each upstream that has announced itself since the last keepalive to its incarnation.
	heartbeats     map[string]uint64
	changeHandlers []func(*View)
}

// proof is a successful keepalive. A view that has reached stateIndex was current at sentAt.
type proof struct {
	sentAt     time.Duration
	stateIndex uint64
}

// New returns a client. Run opens the session and keeps the view current.
func New(c Config) *Client {
	if c.KeepaliveInterval == 0 {
		c.KeepaliveInterval = defaultKeepaliveInterval
	}
	if c.FreshnessBound == 0 {
		c.FreshnessBound = defaultFreshnessBound
	}
	if c.ReportAge == 0 {
		c.ReportAge = c.FreshnessBound
	}
	client := &Client{config: c, members: newMembers(c.Members, c.Dialer), heartbeats: map[string]uint64{}}
	client.view.Store(&View{
		Config: config.NewSet(), Sessions: map[uint64]*fleetpb.Session{}, Upstreams: map[string]*fleetpb.Upstream{},
	})
	client.freshAt.Store(int64(-time.Hour))
	client.SetRegions(c.Regions)
	return client
}

// SetRegions replaces the regions of failure domains. They take effect with the next change of the view.
func (c *Client) SetRegions(regions map[string]string) { c.regions.Store(&regions) }

// OnChange registers a function that is called, in order, with each view that differs from the last one in more than
// its index. The function must not block. OnChange must be called before Run.
func (c *Client) OnChange(f func(*View)) { c.changeHandlers = append(c.changeHandlers, f) }

// View returns the newest view; it is never nil.
func (c *Client) View() *View { return c.view.Load() }

// Fresh reports whether a keepalive has proved that the view was current within the freshness bound.
func (c *Client) Fresh() bool { return c.StaleFor() == 0 }

// Age returns the time since the view was last proved to be current.
func (c *Client) Age() time.Duration { return sinceBoot() - time.Duration(c.freshAt.Load()) }

// reseed adds the addresses that Reseed returns to the known members. It is called after all known members have
// failed, because the settings may name members that this entry does not know yet.
func (c *Client) reseed() {
	if c.config.Reseed != nil {
		c.members.addAddresses(c.config.Reseed())
	}
}

// StaleFor returns how long the view has not been fresh, or 0 while the view is fresh.
func (c *Client) StaleFor() time.Duration {
	staleFor := sinceBoot() - time.Duration(c.freshAt.Load()) - c.config.FreshnessBound
	return max(staleFor, 0)
}

// SessionID returns the ID of the session and reports whether its lease is valid by this VM's clock.
func (c *Client) SessionID() (uint64, bool) {
	id := c.sessionID.Load()
	return id, id != 0 && sinceBoot() < time.Duration(c.sessionExpiresAt.Load())
}

// SessionValid reports whether the session's lease is valid by this VM's clock.
func (c *Client) SessionValid() bool {
	_, ok := c.SessionID()
	return ok
}

// FirstSession reports whether no session was ever opened before the current one.
func (c *Client) FirstSession() bool { return c.firstSession.Load() }

// RecordHeartbeat records that an upstream announced itself. The next keepalive reports the upstream to the leader.
func (c *Client) RecordHeartbeat(id string, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeats[id] = max(incarnation, c.heartbeats[id])
}

// Run maintains the session and the view until the context ends, then closes the session.
func (c *Client) Run(ctx context.Context) error {
	defer c.members.close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.maintainSession(ctx) })
	group.Go(func() error { return c.maintainWatch(ctx) })
	group.Go(func() error { return c.reportAge(ctx) })
	return group.Wait()
}

const closeTimeout = time.Second

func (c *Client) maintainSession(ctx context.Context) error {
	for ctx.Err() == nil {
		if !c.SessionValid() {
			c.openSession(ctx)
		} else {
			c.keepalive(ctx)
		}
		pause := c.config.KeepaliveInterval
		if !c.SessionValid() {
			pause = retryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	c.closeSession(context.WithoutCancel(ctx))
	return nil
}

// sessionOpenTimeout bounds the attempts to open a session with one incarnation.
const sessionOpenTimeout = 2 * time.Second

func (c *Client) openSession(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sessionOpenTimeout)
	defer cancel()
	request := &fleetpb.OpenSessionRequest{
		Name: c.config.Name, PeerAddress: c.config.PeerAddress, FailureDomain: c.config.FailureDomain,
		Region: c.config.Region, Incarnation: rand.Uint64(),
	}
	var sentAt time.Duration
	var response *fleetpb.OpenSessionResponse
	err := c.members.call(ctx, func(ctx context.Context, client fleetpb.FleetClient) (err error) {
		sentAt = sinceBoot()
		response, err = client.OpenSession(ctx, request)
		return err
	})
	if err != nil {
		c.config.Events.Error(event.SessionOpenFailed, err)
		c.reseed()
		return
	}
	c.sessionExpiresAt.Store(int64(sentAt + time.Duration(response.TtlMillis)*time.Millisecond))
	c.firstSession.Store(response.First)
	c.sessionID.Store(response.SessionId)
	c.config.Events.Write(event.SessionOpened, func(e *log.Entry) { e.Uint64("session", response.SessionId) })
	c.addProof(proof{sentAt: sentAt, stateIndex: response.StateIndex})
}

func (c *Client) keepalive(ctx context.Context) {
	// A response after the freshness bound is too late to renew the lease.
	ctx, cancel := context.WithTimeout(ctx, c.config.FreshnessBound)
	defer cancel()
	heartbeats := c.takeHeartbeats()
	request := &fleetpb.KeepaliveRequest{SessionId: c.sessionID.Load(), ConfigRevision: c.View().Revision, Alive: heartbeats}
	if c.config.Running != nil {
		for domain, n := range c.config.Running() {
			request.Running = append(request.Running, &fleetpb.DomainUse{FailureDomain: domain, Requests: uint32(n)})
		}
	}
	var sentAt time.Duration
	var response *fleetpb.KeepaliveResponse
	err := c.members.call(ctx, func(ctx context.Context, client fleetpb.FleetClient) (err error) {
		sentAt = sinceBoot()
		response, err = client.Keepalive(ctx, request)
		return err
	})
	switch {
	case err != nil:
		for _, ref := range heartbeats {
			c.RecordHeartbeat(ref.Id, ref.Incarnation)
		}
		c.config.Events.Error(event.KeepaliveFailed, err)
		c.reseed()
	case response.SessionEnded:
		c.sessionID.Store(0)
		c.config.Events.Write(event.SessionLost, func(e *log.Entry) { e.Uint64("session", request.SessionId) })
	default:
		c.sessionExpiresAt.Store(int64(sentAt + min(c.config.FreshnessBound, sessionTTL)))
		c.members.setAddresses(response.Members)
		c.addProof(proof{sentAt: sentAt, stateIndex: response.StateIndex})
	}
}

func (c *Client) takeHeartbeats() []*fleetpb.UpstreamRef {
	c.mu.Lock()
	defer c.mu.Unlock()
	refs := make([]*fleetpb.UpstreamRef, 0, len(c.heartbeats))
	for id, incarnation := range c.heartbeats {
		refs = append(refs, &fleetpb.UpstreamRef{Id: id, Incarnation: incarnation})
	}
	clear(c.heartbeats)
	return refs
}

// addProof records a successful keepalive and renews the freshness if the view has reached its state index.
func (c *Client) addProof(p proof) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingProofs = append(c.pendingProofs, p)
	c.answeredAt = max(c.answeredAt, p.sentAt)
	c.applyProofs(c.View().Index)
}

// applyProofs renews the freshness by the proofs whose state index is at most index, and drops proofs that are
// older than the freshness bound. The caller holds c.mu.
func (c *Client) applyProofs(index uint64) {
	kept := c.pendingProofs[:0]
	for _, p := range c.pendingProofs {
		switch {
		case p.stateIndex <= index:
			c.freshAt.Store(max(c.freshAt.Load(), int64(p.sentAt)))
		case sinceBoot()-p.sentAt < c.config.FreshnessBound:
			kept = append(kept, p)
		}
	}
	c.pendingProofs = kept
}

// lag returns the time since the oldest keepalive whose state index the view has not reached.
func (c *Client) lag() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pendingProofs) == 0 {
		return 0
	}
	return sinceBoot() - c.pendingProofs[0].sentAt
}

func (c *Client) closeSession(ctx context.Context) {
	id := c.sessionID.Swap(0)
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := c.members.call(ctx, func(ctx context.Context, client fleetpb.FleetClient) error {
		_, err := client.CloseSession(ctx, &fleetpb.CloseSessionRequest{SessionId: id})
		return err
	}); err != nil {
		c.config.Events.Error(event.SessionCloseFailed, err)
	}
}
