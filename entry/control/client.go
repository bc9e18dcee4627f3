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
	// Members are the gRPC addresses of control members at start; at least one. Later the group tells its members.
	Members []string
	// Reseed, if set, returns addresses to try when none of the known members answers for the freshness bound.
	Reseed func() []string
	// Decode reads the operators' document; nil leaves documents out of the view.
	Decode func(data []byte) (*document.Document, error)
	Dialer fleetrpc.Dialer
	Events *event.Logger
	// KeepaliveInterval and FreshnessBound default to the values of the design page, 500 ms and 3 s. A FreshnessBound
	// beyond the session's lifetime lengthens freshness alone.
	KeepaliveInterval, FreshnessBound time.Duration
}

const (
	defaultKeepaliveInterval = 500 * time.Millisecond
	defaultFreshnessBound    = 3 * time.Second
	// sessionTTL is the lifetime that the control group gives a session after a keepalive.
	sessionTTL = 3 * time.Second
)

// Client holds an entry's session and its view of the replicated state.
type Client struct {
	config  Config
	members *members
	view    atomic.Pointer[View]
	// freshAt is the send time of the newest keepalive that proves the view fresh, as time since boot.
	freshAt atomic.Int64
	// sessionID is 0 while there is none; sessionUntil is its end as time since boot.
	sessionID    atomic.Uint64
	sessionUntil atomic.Int64
	sessionFirst atomic.Bool

	mu sync.Mutex
	// unmet holds answered keepalives whose state index the view has not reached.
	unmet []proof
	// heard holds the upstreams that announced themselves since the last keepalive.
	heard    map[string]uint64
	watchers []func(*View)
}

// proof is an answered keepalive.
type proof struct {
	sentAt     time.Duration
	stateIndex uint64
}

// New returns a client; Run makes it work.
func New(c Config) *Client {
	if c.KeepaliveInterval == 0 {
		c.KeepaliveInterval = defaultKeepaliveInterval
	}
	if c.FreshnessBound == 0 {
		c.FreshnessBound = defaultFreshnessBound
	}
	client := &Client{config: c, members: newMembers(c.Members, c.Dialer), heard: map[string]uint64{}}
	client.view.Store(&View{
		Config: config.NewSet(), Sessions: map[uint64]*fleetpb.Session{}, Upstreams: map[string]*fleetpb.Upstream{},
	})
	client.freshAt.Store(int64(-time.Hour))
	return client
}

// OnChange registers a function that is called with each new view, in order. It must not block, and it must
// be registered before Run.
func (c *Client) OnChange(f func(*View)) { c.watchers = append(c.watchers, f) }

// View returns the newest view; it is never nil.
func (c *Client) View() *View { return c.view.Load() }

// Fresh says whether the view is proved to be no older than the freshness bound.
func (c *Client) Fresh() bool { return c.StaleFor() == 0 }

// Age returns how old the proof is that the view was current.
func (c *Client) Age() time.Duration { return sinceBoot() - time.Duration(c.freshAt.Load()) }

// reseed adds the addresses of the settings to the known members after all of them failed: the settings may name
// members that this entry has never met.
func (c *Client) reseed() {
	if c.config.Reseed != nil {
		c.members.add(c.config.Reseed())
	}
}

// StaleFor returns how long the view has not been fresh; 0 while it is.
func (c *Client) StaleFor() time.Duration {
	over := sinceBoot() - time.Duration(c.freshAt.Load()) - c.config.FreshnessBound
	return max(over, 0)
}

// SessionID returns the session's ID while its lease is valid by this VM's clock.
func (c *Client) SessionID() (uint64, bool) {
	id := c.sessionID.Load()
	return id, id != 0 && sinceBoot() < time.Duration(c.sessionUntil.Load())
}

// SessionValid says whether the session's lease is valid by this VM's clock.
func (c *Client) SessionValid() bool {
	_, ok := c.SessionID()
	return ok
}

// SessionFirst says whether no session was ever opened before the current one.
func (c *Client) SessionFirst() bool { return c.sessionFirst.Load() }

// Heard notes that an upstream announced itself; the next keepalive tells the leader.
func (c *Client) Heard(id string, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard[id] = max(incarnation, c.heard[id])
}

// Run keeps the session and the view until the context ends, then closes the session.
func (c *Client) Run(ctx context.Context) error {
	defer c.members.close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.keepSession(ctx) })
	group.Go(func() error { return c.keepWatching(ctx) })
	return group.Wait()
}

const closeTimeout = time.Second

func (c *Client) keepSession(ctx context.Context) error {
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

// sessionOpenTimeout bounds the tries for one incarnation.
const sessionOpenTimeout = 2 * time.Second

func (c *Client) openSession(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sessionOpenTimeout)
	defer cancel()
	request := &fleetpb.OpenSessionRequest{
		Name: c.config.Name, PeerAddress: c.config.PeerAddress, FailureDomain: c.config.FailureDomain,
		Region: c.config.Region, Incarnation: rand.Uint64(),
	}
	var sentAt time.Duration
	var answer *fleetpb.OpenSessionResponse
	err := c.members.call(ctx, func(ctx context.Context, client fleetpb.FleetClient) (err error) {
		sentAt = sinceBoot()
		answer, err = client.OpenSession(ctx, request)
		return err
	})
	if err != nil {
		c.config.Events.Error(event.SessionOpenFailed, err)
		c.reseed()
		return
	}
	c.sessionUntil.Store(int64(sentAt + time.Duration(answer.TtlMillis)*time.Millisecond))
	c.sessionFirst.Store(answer.First)
	c.sessionID.Store(answer.SessionId)
	c.config.Events.Write(event.SessionOpened, func(e *log.Entry) { e.Uint64("session", answer.SessionId) })
	c.prove(proof{sentAt: sentAt, stateIndex: answer.StateIndex})
}

func (c *Client) keepalive(ctx context.Context) {
	// A keepalive that cannot renew the lease in time is of no use.
	ctx, cancel := context.WithTimeout(ctx, c.config.FreshnessBound)
	defer cancel()
	alive := c.takeHeard()
	request := &fleetpb.KeepaliveRequest{SessionId: c.sessionID.Load(), ConfigRevision: c.View().Revision, Alive: alive}
	var sentAt time.Duration
	var answer *fleetpb.KeepaliveResponse
	err := c.members.call(ctx, func(ctx context.Context, client fleetpb.FleetClient) (err error) {
		sentAt = sinceBoot()
		answer, err = client.Keepalive(ctx, request)
		return err
	})
	switch {
	case err != nil:
		for _, ref := range alive {
			c.Heard(ref.Id, ref.Incarnation)
		}
		c.config.Events.Error(event.KeepaliveFailed, err)
		c.reseed()
	case answer.SessionEnded:
		c.sessionID.Store(0)
		c.config.Events.Write(event.SessionLost, func(e *log.Entry) { e.Uint64("session", request.SessionId) })
	default:
		c.sessionUntil.Store(int64(sentAt + min(c.config.FreshnessBound, sessionTTL)))
		c.members.set(answer.Members)
		c.prove(proof{sentAt: sentAt, stateIndex: answer.StateIndex})
	}
}

func (c *Client) takeHeard() []*fleetpb.UpstreamRef {
	c.mu.Lock()
	defer c.mu.Unlock()
	refs := make([]*fleetpb.UpstreamRef, 0, len(c.heard))
	for id, incarnation := range c.heard {
		refs = append(refs, &fleetpb.UpstreamRef{Id: id, Incarnation: incarnation})
	}
	clear(c.heard)
	return refs
}

// prove records an answered keepalive and renews freshness as far as the view allows.
func (c *Client) prove(p proof) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unmet = append(c.unmet, p)
	c.settle(c.View().Index)
}

// settle applies the proofs that a view with this index meets. The caller holds the lock.
func (c *Client) settle(index uint64) {
	kept := c.unmet[:0]
	for _, p := range c.unmet {
		switch {
		case p.stateIndex <= index:
			c.freshAt.Store(max(c.freshAt.Load(), int64(p.sentAt)))
		case sinceBoot()-p.sentAt < c.config.FreshnessBound:
			kept = append(kept, p)
		}
	}
	c.unmet = kept
}

// behind returns how long the view has been older than what the leader confirmed.
func (c *Client) behind() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unmet) == 0 {
		return 0
	}
	return sinceBoot() - c.unmet[0].sentAt
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
