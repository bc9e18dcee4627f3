package control

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"azuredoor.example/core/config"
	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

const (
	// watchTimeout ends a stream without events, unless one is arriving; the server sends an event at least every 500 ms.
	watchTimeout = 2 * time.Second
	// minEventProgress is the number of bytes within watchTimeout from which an event is taken to be arriving. Pings of the connection
	// stay below it.
	minEventProgress = 1 << 10
	// largeEventBytes is the size from which an event may take long to arrive.
	largeEventBytes = 4 << 10
	// firstEventTimeout bounds the wait for the first event of a stream, which a member sends at once. It doubles up to watchTimeout
	// with each member that sends none, so that a busy entry does not leave every member too soon.
	firstEventTimeout = attemptTimeout
	// maxWatchLag ends a stream whose member lags behind the leader, as the leader's responses to keepalives tell.
	maxWatchLag     = time.Second
	watchRetryPause = 100 * time.Millisecond
	// maxDocumentBytes bounds a document after decompression.
	maxDocumentBytes = 64 << 20
)

func (c *Client) maintainWatch(ctx context.Context) error {
	// Each entry starts at a random member, which spreads the streams over the members.
	known := c.members.knownAddresses()
	address := known[rand.IntN(len(known))]
	timeout := firstEventTimeout
	for ctx.Err() == nil {
		begun, err := c.watch(ctx, address, timeout)
		if timeout = min(2*timeout, watchTimeout); begun {
			timeout = firstEventTimeout
		}
		if ctx.Err() != nil {
			return nil
		}
		c.config.Events.Write(event.WatchBroken, func(e *log.Entry) { e.Str("member", address).Err(err) })
		c.members.mu.Lock()
		address = c.members.addressAfter(address)
		c.members.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryPause):
		}
	}
	return nil
}

// watch applies the events of a member's stream until the stream ends. It reports whether there was any event. The stream has a
// connection of its own, so that what arrives there tells whether an event is on its way.
func (c *Client) watch(ctx context.Context, address string, firstEvent time.Duration) (begun bool, err error) {
	conn, err := dial(c.members.dialer, address, &c.members.received)
	if err != nil {
		return false, err
	}
	// Closing fails only for a connection that is closed.
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := newWatchdog(conn, firstEvent, cancel)
	defer guard.stop()
	stream, err := fleetpb.NewFleetClient(conn).Watch(ctx, &fleetpb.WatchRequest{AfterIndex: c.View().Index, AcceptsCompressed: true})
	if err != nil {
		return false, eris.Wrap(err, "open watch stream")
	}
	for {
		before := conn.received.Load()
		e, err := stream.Recv()
		if err != nil {
			return begun, eris.Wrap(err, "read watch stream")
		}
		begun = true
		guard.eventArrived()
		if err := c.handleEvent(e); err != nil {
			return begun, err
		}
		// After a large event, it may be the link that took the time; the next event tells.
		large := conn.received.Load()-before >= largeEventBytes
		if lag := c.lag(); lag > maxWatchLag && !large {
			return begun, eris.Errorf("member %s is %v behind the leader", address, lag)
		}
	}
}

// watchdog ends a watch stream on which no event arrives.
type watchdog struct {
	conn *connection
	end  context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	// received is the number of bytes that the connection had received at the last check.
	received int64
}

// newWatchdog returns a watchdog that ends the stream after the given time without an event.
func newWatchdog(conn *connection, first time.Duration, end context.CancelFunc) *watchdog {
	w := &watchdog{conn: conn, end: end}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, w.check)
	return w
}

// check ends the stream, unless an event is on its way.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	received := w.conn.received.Load()
	if received-w.received < minEventProgress {
		w.end()
		return
	}
	w.received = received
	w.timer.Reset(watchTimeout)
}

// eventArrived gives the next event its time.
func (w *watchdog) eventArrived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received = w.conn.received.Load()
	w.timer.Reset(watchTimeout)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// handleEvent replaces the view with the next one. It returns an error if the event has an older index than the view.
func (c *Client) handleEvent(e *fleetpb.WatchEvent) error {
	current := c.View()
	if e.Index < current.Index {
		return eris.Errorf("watch event at index %d is older than the view at index %d", e.Index, current.Index)
	}
	next, changed, err := c.applyEvent(current, e)
	if err != nil {
		c.config.Events.Error(event.StateNotUnderstood, err)
		return err
	}
	c.mu.Lock()
	c.view.Store(next)
	c.applyProofs(next.Index)
	c.mu.Unlock()
	if changed {
		for _, handle := range c.changeHandlers {
			handle(next)
		}
	}
	return nil
}

// applyEvent returns the view after an event and reports whether more than the index has changed.
func (c *Client) applyEvent(v *View, e *fleetpb.WatchEvent) (*View, bool, error) {
	next := *v
	next.Index = e.Index
	if !e.Reset_ && len(e.Objects)+len(e.DeletedObjects)+len(e.Sessions)+len(e.EndedSessions)+
		len(e.Upstreams)+len(e.RemovedUpstreams)+len(e.Evacuations) == 0 && e.OrderLease == nil && e.Document == nil {
		return &next, false, nil
	}
	if e.Reset_ {
		next = View{Index: e.Index, Config: config.NewSet(), Document: v.Document}
	}
	if regions := c.regions.Load(); regions != nil {
		next.Regions = *regions
	}
	next.Revision = max(e.Revision, next.Revision)
	if e.OrderLease != nil {
		next.OrderLease = e.OrderLease
	}
	if err := next.applyObjects(e); err != nil {
		return nil, false, err
	}
	if err := c.readDocument(&next, e.Document); err != nil {
		return nil, false, err
	}
	next.Sessions = cloneOrNew(next.Sessions)
	for _, s := range e.Sessions {
		next.Sessions[s.Id] = s
	}
	for _, id := range e.EndedSessions {
		delete(next.Sessions, id)
	}
	next.announced = cloneOrNew(next.announced)
	for _, u := range e.Upstreams {
		next.announced[u.Id] = u
	}
	for _, id := range e.RemovedUpstreams {
		delete(next.announced, id)
	}
	if len(e.Evacuations) > 0 {
		next.Evacuations = cloneOrNew(next.Evacuations)
	}
	for _, evacuation := range e.Evacuations {
		next.Evacuations[evacuation.FailureDomain] = evacuation
		c.config.Events.Write(event.EvacuationApplied, func(l *log.Entry) {
			l.Str("failureDomain", evacuation.FailureDomain).Bool("withdrawn", evacuation.Withdrawn).Uint64("version", evacuation.Version).
				Str("operator", evacuation.Operator).Uint64("index", e.Index)
		})
	}
	next.applyEvacuations(v)
	if next.versions == nil || len(e.Upstreams)+len(e.RemovedUpstreams) > 0 {
		next.versions = softwareVersions(next.announced)
	}
	next.observeCold(time.Now(), e)
	return &next, true, nil
}

// readDocument decodes a document and stores it in the view if it is newer than the current one.
func (c *Client) readDocument(v *View, stored *fleetpb.Document) error {
	if stored == nil || c.config.Decode == nil || v.Document != nil && stored.Version <= v.Document.Version {
		return nil
	}
	data := stored.Data
	if len(stored.Compressed) > 0 {
		var err error
		if data, err = document.Decompress(stored.Compressed, maxDocumentBytes); err != nil {
			return eris.Wrapf(err, "read accepted document, version %d", stored.Version)
		}
	}
	next, err := c.config.Decode(data)
	if err != nil {
		return eris.Wrapf(err, "decode accepted document, version %d", stored.Version)
	}
	v.Document = next
	c.config.Events.Write(event.DocumentApplied, func(e *log.Entry) {
		e.Uint64("version", next.Version).Uint64("index", v.Index).Int("routes", len(next.Routes)).Int("customers", len(next.Customers))
	})
	return nil
}

func cloneOrNew[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

func (v *View) applyObjects(e *fleetpb.WatchEvent) error {
	changes := make([]config.Change, 0, len(e.Objects)+len(e.DeletedObjects))
	for _, o := range e.Objects {
		spec, err := config.Decode(o.Kind, o.Name, o.Spec)
		if err != nil {
			return eris.Wrap(err, "decode accepted object")
		}
		changes = append(changes, config.Change{Kind: o.Kind, Name: o.Name, Spec: spec})
	}
	for _, o := range e.DeletedObjects {
		changes = append(changes, config.Change{Kind: o.Kind, Name: o.Name})
	}
	if len(changes) == 0 {
		return nil
	}
	set, err := v.Config.Apply(changes)
	if err != nil {
		return eris.Wrap(err, "apply accepted changes")
	}
	v.Config = set
	return nil
}
