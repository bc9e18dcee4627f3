package control

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"azuredoor.example/core/config"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

const (
	// watchSilence ends a stream without an event; the server sends one at least every 500 ms.
	watchSilence = 2 * time.Second
	// watchLag ends a stream whose member is behind what the leader confirmed.
	watchLag   = time.Second
	watchPause = 100 * time.Millisecond
)

func (c *Client) keepWatching(ctx context.Context) error {
	// Entries start at different members, which spreads the streams.
	known := c.members.known()
	address := known[rand.IntN(len(known))]
	for ctx.Err() == nil {
		err := c.watch(ctx, address)
		if ctx.Err() != nil {
			return nil
		}
		c.config.Events.Write(event.WatchBroken, func(e *log.Entry) { e.Str("member", address).Err(err) })
		c.members.mu.Lock()
		address = c.members.after(address)
		c.members.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
	return nil
}

func (c *Client) watch(ctx context.Context, address string) error {
	client, err := c.members.client(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	stream, err := client.Watch(ctx, &fleetpb.WatchRequest{AfterIndex: c.View().Index})
	if err != nil {
		return eris.Wrap(err, "open the watch stream")
	}
	for {
		e, err := stream.Recv()
		if err != nil {
			if ctx.Err() != nil {
				// The connection itself may have gone silent.
				c.members.drop(address)
			}
			return eris.Wrap(err, "read the watch stream")
		}
		silence.Reset(watchSilence)
		if err := c.apply(e); err != nil {
			return err
		}
		if behind := c.behind(); behind > watchLag {
			return eris.Errorf("member %s is %v behind the leader", address, behind)
		}
	}
}

// apply makes the next view of an event. A view never goes back to an older index.
func (c *Client) apply(e *fleetpb.WatchEvent) error {
	current := c.View()
	if e.Index < current.Index {
		return eris.Errorf("the member is at index %d, this entry at %d", e.Index, current.Index)
	}
	next, changed, err := c.with(current, e)
	if err != nil {
		c.config.Events.Error(event.StateNotUnderstood, err)
		return err
	}
	c.mu.Lock()
	c.view.Store(next)
	c.settle(next.Index)
	c.mu.Unlock()
	if changed {
		for _, watcher := range c.watchers {
			watcher(next)
		}
	}
	return nil
}

// with returns the view after an event and whether anything but the index differs.
func (c *Client) with(v *View, e *fleetpb.WatchEvent) (*View, bool, error) {
	next := *v
	next.Index = e.Index
	if !e.Reset_ && len(e.Objects)+len(e.DeletedObjects)+len(e.Sessions)+len(e.EndedSessions)+
		len(e.Upstreams)+len(e.RemovedUpstreams) == 0 && e.OrderLease == nil && e.Document == nil {
		return &next, false, nil
	}
	if e.Reset_ {
		next = View{Index: e.Index, Config: config.NewSet(), Document: v.Document}
	}
	next.Revision = max(e.Revision, next.Revision)
	if e.OrderLease != nil {
		next.OrderLease = e.OrderLease
	}
	if err := next.configure(e); err != nil {
		return nil, false, err
	}
	if err := c.readDocument(&next, e.Document); err != nil {
		return nil, false, err
	}
	next.Sessions = cloned(next.Sessions)
	for _, s := range e.Sessions {
		next.Sessions[s.Id] = s
	}
	for _, id := range e.EndedSessions {
		delete(next.Sessions, id)
	}
	next.Upstreams = cloned(next.Upstreams)
	for _, u := range e.Upstreams {
		next.Upstreams[u.Id] = u
	}
	for _, id := range e.RemovedUpstreams {
		delete(next.Upstreams, id)
	}
	return &next, true, nil
}

// readDocument puts a newer document into the view.
func (c *Client) readDocument(v *View, stored *fleetpb.Document) error {
	if stored == nil || c.config.Decode == nil || v.Document != nil && stored.Version <= v.Document.Version {
		return nil
	}
	next, err := c.config.Decode(stored.Data)
	if err != nil {
		return eris.Wrapf(err, "decode the accepted document %d", stored.Version)
	}
	v.Document = next
	c.config.Events.Write(event.DocumentApplied, func(e *log.Entry) {
		e.Uint64("version", next.Version).Uint64("index", v.Index).Int("routes", len(next.Routes)).Int("customers", len(next.Customers))
	})
	return nil
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

func (v *View) configure(e *fleetpb.WatchEvent) error {
	changes := make([]config.Change, 0, len(e.Objects)+len(e.DeletedObjects))
	for _, o := range e.Objects {
		spec, err := config.Decode(o.Kind, o.Name, o.Spec)
		if err != nil {
			return eris.Wrap(err, "decode an accepted object")
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
		return eris.Wrap(err, "apply an accepted change")
	}
	v.Config = set
	return nil
}
