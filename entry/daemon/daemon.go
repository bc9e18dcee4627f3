package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetrpc"
	"azuredoor.example/core/metric"
	"azuredoor.example/entry/announce"
	"azuredoor.example/entry/caller"
	"azuredoor.example/entry/cleanup"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/engine"
	"azuredoor.example/entry/order"
	"azuredoor.example/entry/relay"
	"azuredoor.example/entry/service"
)

// Exit codes of Main.
const (
	exitStopped = 0
	exitFailed  = 1
	// exitForced is the exit code after a second stop signal.
	exitForced = 4
)

// Main runs the process until it receives a stop signal, and returns the exit code. The first SIGTERM or SIGINT starts
// a graceful stop; the second ends the process at once.
func Main(c *Config) int {
	events := event.New(event.Options{Level: c.LogLevel, Text: c.LogText, Program: "azuredoor-entry", Name: c.Name})
	debug.SetMemoryLimit(int64(float64(c.MemoryMegabytes) * memoryLimitShare * (1 << 20)))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		<-signals
		cancel()
		<-signals
		events.Write(event.EntryStopped, func(e *log.Entry) { e.Str("reason", "second signal") })
		os.Exit(exitForced)
		return nil
	})
	if err := Run(stop, c, events); err != nil {
		events.Error(event.ServerFailed, err)
		return exitFailed
	}
	events.Write(event.EntryStopped, nil)
	return exitStopped
}

// process holds the components of one entry.
type process struct {
	config  *Config
	events  *event.Logger
	metrics *metric.Root
	fleet   *control.Client
	pool    *conn.Pool
	engines *engine.Client
	policy  policy
	relay   *relay.Relay
	caller  *caller.Server
	cleanup *cleanup.Controller
	// background tracks work that continues after the end of its request.
	background *errgroup.Group
}

// Run serves requests until stop is cancelled, then stops gracefully.
func Run(stop context.Context, c *Config, events *event.Logger) error {
	p, err := build(c, events)
	if err != nil {
		return err
	}
	defer p.pool.Close()
	defer func() { _ = p.metrics.Close() }()
	// The servers continue while the entry drains; cancelling ctx ends them.
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	p.subscribe(ctx, group)
	p.serve(ctx, group, listeners)
	events.Write(event.EntryStarted, func(e *log.Entry) { e.Str("listen", c.Listen).Str("policy", c.Policy) })
	group.Go(func() error {
		select {
		case <-stop.Done():
		case <-ctx.Done():
			return nil
		}
		p.drain(ctx)
		cancel()
		return nil
	})
	err = group.Wait()
	_ = p.background.Wait()
	if err != nil && !errors.Is(err, context.Canceled) {
		return eris.Wrap(err, "run the entry")
	}
	return nil
}

func build(c *Config, events *event.Logger) (*process, error) {
	p := &process{config: c, events: events, metrics: metric.New("azuredoor"), background: &errgroup.Group{}}
	dialer := fleetrpc.Dialer{Secret: c.secret, Source: c.sourceIP()}
	p.fleet = control.New(control.Config{
		Name: c.Name, PeerAddress: c.PeerListen, FailureDomain: c.FailureDomain, Region: c.Region,
		Members: c.Control, Dialer: dialer, Events: events,
	})
	p.pool = conn.NewPool(conn.Options{})
	p.engines = engine.NewClient(p.pool, engine.Options{})
	p.policy = newPolicy(c, p.fleet, dialer, events)
	requests := metric.NewRequests(p.metrics.Scope)
	p.relay = relay.New(relay.Options{
		Policy: p.policy, Engines: p.engines, Services: service.NewClient(p.pool), Claims: p.fleet, Metrics: requests,
		Log: events, Background: p.background,
	})
	p.caller = caller.New(caller.Options{
		Control: p.fleet, Relay: p.relay, Metrics: requests, Log: events, DrainDelay: c.DrainDelay,
		Memory: callerMemory(c.MemoryMegabytes), MaxConnections: maxConnections(c.MemoryMegabytes, c.FileDescriptors),
	})
	p.cleanup = cleanup.New(cleanup.Config{Engine: cleanupEngine{p.engines}, Fleet: p.fleet, Events: events})
	return p, nil
}

// cleanupEngine implements cleanup.Engine with the engine client.
type cleanupEngine struct{ client *engine.Client }

// Requests implements cleanup.Engine.
func (c cleanupEngine) Requests(ctx context.Context, address string) ([]string, error) {
	requests, err := c.client.Requests(ctx, address, "")
	if err != nil {
		return nil, err
	}
	ids := make([]string, 0, len(requests))
	for _, request := range requests {
		ids = append(ids, request.RequestID)
	}
	return ids, nil
}

// CancelOwner implements cleanup.Engine.
func (c cleanupEngine) CancelOwner(ctx context.Context, address, owner string) error {
	_, err := c.client.CancelOwner(ctx, address, owner)
	return err
}

// listeners holds the listening sockets of the process. The monitor listener is nil if its address is that of upstreams.
type listeners struct {
	callers, peers, upstreams, monitor net.Listener
}

func (p *process) listen() (*listeners, error) {
	l := &listeners{}
	for _, socket := range []struct {
		target  *net.Listener
		address string
	}{
		{&l.callers, p.config.Listen}, {&l.peers, p.config.PeerListen},
		{&l.upstreams, p.config.UpstreamListen}, {&l.monitor, p.config.MonitorListen},
	} {
		if socket.target == &l.monitor && socket.address == p.config.UpstreamListen {
			continue
		}
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s", socket.address)
		}
		*socket.target = listener
	}
	return l, nil
}

// subscribe registers the components for changes of the fleet's state.
func (p *process) subscribe(ctx context.Context, group *errgroup.Group) {
	subscriptions := engine.NewSubscriptions(ctx, group, p.engines, p.events, func(id string, e engine.Event) {
		relay.DispatchEvent(p.policy, id, e)
	})
	p.fleet.OnChange(func(view *control.View) {
		p.policy.SetUpstreams(view.Upstreams, view.Config)
		p.caller.OnChange(view)
		p.cleanup.OnChange(view)
		subscriptions.Set(view.Upstreams)
	})
}

// serve starts the servers and controllers.
func (p *process) serve(ctx context.Context, group *errgroup.Group, l *listeners) {
	group.Go(func() error { return p.fleet.Run(ctx) })
	group.Go(func() error { return p.policy.Run(ctx) })
	group.Go(func() error { return p.cleanup.Run(ctx) })
	orders := order.New(order.Config{
		Fleet: p.fleet, Sender: &order.HTTP{Dialer: net.Dialer{Timeout: order.DialTimeout}}, Events: p.events,
	})
	group.Go(func() error { return orders.Run(ctx) })
	group.Go(func() error { return p.caller.Serve(l.callers) })

	peers := fleetrpc.NewServer(p.config.secret, p.events)
	p.policy.register(peers)
	group.Go(func() error { return peers.Serve(l.peers) })
	httpServer := &fasthttp.Server{
		Handler: p.httpHandler(ctx), NoDefaultServerHeader: true, ReadTimeout: httpReadTimeout, IdleTimeout: httpIdleTimeout,
		MaxRequestBodySize: maxAnnouncementBytes, CloseOnShutdown: true,
	}
	group.Go(func() error { return httpServer.Serve(l.upstreams) })
	if l.monitor != nil {
		group.Go(func() error { return httpServer.Serve(l.monitor) })
	}
	group.Go(func() error {
		<-ctx.Done()
		peers.Stop()
		_ = l.callers.Close()
		return httpServer.Shutdown()
	})
}

const (
	httpReadTimeout      = 5 * time.Second
	httpIdleTimeout      = 30 * time.Second
	maxAnnouncementBytes = 64 << 10
)

// httpHandler returns the handler of announcements, metrics and health checks.
func (p *process) httpHandler(ctx context.Context) fasthttp.RequestHandler {
	announcements := announce.New(announce.Config{JoinToken: p.config.joinToken, Fleet: p.fleet, Events: p.events, Base: ctx})
	return func(request *fasthttp.RequestCtx) {
		path := string(request.Path())
		switch {
		case path == announce.Path && request.IsPost():
			announcements.Handle(request)
		case path == "/metrics" && request.IsGet():
			request.SetContentType("text/plain; version=0.0.4")
			if err := p.metrics.WriteText(request); err != nil {
				request.SetStatusCode(fasthttp.StatusInternalServerError)
			}
		case path == "/healthz":
			request.SetBodyString("ok\n")
		default:
			request.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// drain completes running requests before it hands over the token buckets, because running requests need the session
// and the policy.
func (p *process) drain(ctx context.Context) {
	p.events.Write(event.EntryDraining, nil)
	ctx, cancel := context.WithTimeout(ctx, p.config.DrainTimeout)
	defer cancel()
	if err := p.caller.Shutdown(ctx); err != nil {
		p.events.Error(event.ServerFailed, err)
	}
	_ = p.background.Wait()
	p.policy.handOver(ctx)
}
