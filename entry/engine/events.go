package engine

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/conn"
)

// Event is one event of an engine's event stream.
type Event struct {
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases by one with each event; a gap means that events were lost.
	Sequence uint64 `json:"sequence"`
	// Kind is "cacheAdd", "cacheEvict" or "load".
	Kind   string   `json:"kind"`
	Model  string   `json:"model"`
	Hashes []uint64 `json:"hashes"`
	// The following fields are set for events of kind "load".
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	FreeSlots int   `json:"freeSlots"`
	LagMillis int64 `json:"lagMs"`
}

const (
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 5 * time.Second
)

// Subscriptions reads the event streams of engines, over one connection for each engine.
type Subscriptions struct {
	client *Client
	log    *event.Logger
	handle func(upstreamID string, e Event)
	group  *errgroup.Group
	ctx    context.Context

	mu     sync.Mutex
	active map[string]subscription
}

type subscription struct {
	address     string
	incarnation uint64
	stop        context.CancelFunc
}

// NewSubscriptions returns Subscriptions whose readers run in group until ctx ends. Each event is passed to handle;
// the calls for one engine are sequential.
func NewSubscriptions(ctx context.Context, group *errgroup.Group, client *Client, logger *event.Logger,
	handle func(upstreamID string, e Event)) *Subscriptions {
	return &Subscriptions{client: client, log: logger, handle: handle,
		group: group, ctx: ctx, active: map[string]subscription{}}
}

// Set starts and stops readers so that each engine in upstreams that publishes events has a reader, and no other
// upstream has a reader. A reader is restarted when the address or incarnation of its engine changes.
func (s *Subscriptions) Set(upstreams map[string]*fleetpb.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, current := range s.active {
		u := upstreams[id]
		if u == nil || !publishesEvents(u) || u.Address != current.address || u.Incarnation != current.incarnation {
			current.stop()
			delete(s.active, id)
		}
	}
	for id, u := range upstreams {
		if _, ok := s.active[id]; ok || !publishesEvents(u) || s.ctx.Err() != nil {
			continue
		}
		ctx, stop := context.WithCancel(s.ctx)
		s.active[id] = subscription{address: u.Address, incarnation: u.Incarnation, stop: stop}
		s.group.Go(func() error {
			defer stop()
			s.readEvents(ctx, id, u.Address)
			return nil
		})
	}
}

func publishesEvents(u *fleetpb.Upstream) bool {
	return u.Kind == "engine" && u.State != fleetpb.UpstreamState_UPSTREAM_STATE_DOWN &&
		u.Desired != fleetpb.DesiredState_DESIRED_STATE_STOPPED
}

// readEvents reads the events of one engine and reconnects with exponential backoff until ctx ends.
func (s *Subscriptions) readEvents(ctx context.Context, id, address string) {
	delay := minReconnectDelay
	for ctx.Err() == nil {
		began := time.Now()
		err := s.client.Events(ctx, address, func(e Event) { s.handle(id, e) })
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > maxReconnectDelay {
			delay = minReconnectDelay
		}
		s.log.Write(event.EngineEventsBroken, func(e *log.Entry) { e.Str("upstream", id).Err(err) })
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		delay = min(2*delay, maxReconnectDelay)
	}
}

// Events reads an engine's event stream until the stream breaks, no data arrives for Options.ReadTimeout, or ctx ends.
func (c *Client) Events(ctx context.Context, address string, handle func(e Event)) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := prepareRequest(request, address, "/v1/events", nil); err != nil {
		return err
	}
	call := conn.Call{Address: address, Request: request,
		FirstByteTimeout: c.options.ReadTimeout, ReadTimeout: c.options.ReadTimeout}
	call.SetID("/v1/events", neverKeep)
	body, err := c.pool.Stream(ctx, call, response)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := checkStatus("/v1/events", response.StatusCode()); err != nil {
		return err
	}
	reader := lineReader{source: body}
	for {
		line, err := reader.next()
		if err != nil {
			return err
		}
		content := dataField(line)
		if content == nil {
			continue
		}
		var e Event
		// A line that cannot be parsed is skipped; the gap in the sequence numbers shows that an event was lost.
		if json.Unmarshal(content, &e) == nil {
			handle(e)
		}
	}
}
