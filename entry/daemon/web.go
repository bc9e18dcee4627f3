package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
	"azuredoor.example/core/metric"
	"azuredoor.example/core/settings"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/order"
	"azuredoor.example/entry/usage"
	"azuredoor.example/entry/web"
)

// WebConfig configures an entry that serves the operators' document to callers of plain HTTP.
type WebConfig struct {
	Name, IP, FailureDomain, Region string
	// Listen faces callers, ReadyListen the load balancer, MetricsListen metrics scrapers; all are IP:port.
	Listen, ReadyListen, MetricsListen string
	// ReadyPath is what the load balancer asks for.
	ReadyPath string
	// InternalPorts are the ports for the fleet's own calls: the first one is used.
	InternalPorts string
	// Seeds are addresses of control processes; their ports are replaced by the first internal port.
	Seeds string
	// Fleet is the shared name by which the fleet's processes know each other.
	Fleet string
	// MemoryMegabytes is the VM's memory; the process is ended when it uses more.
	MemoryMegabytes int
	// Grace is the time between a stop signal and the end of the process.
	Grace time.Duration
	// Revocation is the time after which a withdrawn key must not work anywhere.
	Revocation time.Duration
	// RetryRatio is the share of a service's requests that may be sent again, RetrySlack how many more.
	RetryRatio float64
	RetrySlack int
	// OrderPause is how long a new sender of orders waits after the one before it.
	OrderPause time.Duration
	LogLevel   string

	Codec  web.Codec
	Decode func(data []byte) (*document.Document, error)
	// WriteOrder writes an order to an engine into a request; nil leaves engines' roles as they are.
	WriteOrder func(request *fasthttp.Request, o order.Order) error
	// Reload reads the settings again.
	Reload func() (*WebConfig, error)
	// SettingsFile is watched for changes; empty for none.
	SettingsFile string

	program string
}

// Settings returns the flags of a program that fill the configuration.
func (c *WebConfig) Settings(program string) *settings.Set {
	c.program = program
	s := settings.New(program, "AZUREDOOR_WEB")
	s.Text(&c.Name, "name", "", "name of this entry, unique in the fleet")
	s.Text(&c.IP, "ip", "", "IP number of this VM")
	s.Text(&c.FailureDomain, "failure-domain", "", "failure domain of this VM")
	s.Text(&c.Region, "region", "", "region of this VM")
	s.Address(&c.Listen, "listen", "", "IP:port that callers connect to")
	s.Address(&c.ReadyListen, "ready-listen", "", "IP:port that the load balancer asks for readiness")
	s.Address(&c.MetricsListen, "metrics-listen", "", "IP:port of the metrics page; empty for none")
	s.Text(&c.InternalPorts, "internal-ports", "", "first and last port for the fleet's own calls, separated by a comma")
	s.Text(&c.Seeds, "seeds", "", "IP:port of control processes, separated by commas")
	s.Text(&c.Fleet, "fleet", "azuredoor", "shared name of the fleet's processes")
	s.Count(&c.MemoryMegabytes, "memory-megabytes", 256, 32, 1<<20, "memory of this VM in megabytes")
	s.Period(&c.Grace, "grace", 8*time.Second, time.Second, time.Hour, "time between a stop signal and the end of the process")
	s.Period(&c.Revocation, "revocation", 5*time.Second, time.Second, time.Hour, "time after which a withdrawn key must not work")
	s.Float64Var(&c.RetryRatio, "retry-ratio", 0.1, "share of a service's requests that may be sent again")
	s.Count(&c.RetrySlack, "retry-slack", 40, 0, 1_000_000, "how many more may be sent again in 10 s")
	s.Period(&c.OrderPause, "order-pause", 3*time.Second, time.Second, time.Minute, "time that a new sender of orders waits after the one before it")
	s.Choice(&c.LogLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "lowest level that is logged")
	s.Required("name", "ip", "listen", "ready-listen", "internal-ports", "seeds", "failure-domain")
	return s
}

// Check finds settings that contradict each other.
func (c *WebConfig) Check() error {
	if net.ParseIP(c.IP) == nil {
		return eris.Errorf("setting -ip=%q: want an IP number", c.IP)
	}
	if _, err := settings.FirstPort(c.InternalPorts); err != nil {
		return err
	}
	if len(c.members()) == 0 {
		return eris.Errorf("setting -seeds=%q: want at least one IP:port", c.Seeds)
	}
	if c.RetryRatio < 0 || c.RetryRatio > 1 {
		return eris.Errorf("setting -retry-ratio=%v: want 0 to 1", c.RetryRatio)
	}
	return nil
}

// members are the gRPC addresses of the control processes that the settings name.
func (c *WebConfig) members() []string {
	port, err := settings.FirstPort(c.InternalPorts)
	if err != nil {
		return nil
	}
	return settings.WithPort(c.Seeds, port)
}

const (
	// logQueue and logPerSecond bound the log: a day's usual load stays below, a flood does not fill the disk.
	logQueue     = 4096
	logPerSecond = 300
	// memoryShare is the part of the VM's memory that the runtime may use; the rest holds sockets' buffers.
	memoryShare = 0.7
	// revocationMargin is kept from the time in which a withdrawn key must stop working: a request may be on its way to
	// an upstream.
	revocationMargin = 700 * time.Millisecond
	// retryPart is the part of the retry budget that the fleet uses; the rest covers entries that started again and
	// forgot what they used.
	retryPart = 0.7
	// stopMargin is kept from the end of the grace period: closing the session takes up to a second.
	stopMargin = 1200 * time.Millisecond
	// closeMargin bounds the wait for the load balancer's and scrapers' connections at the end.
	closeMargin = 200 * time.Millisecond
	// balancerNotices is the time in which the load balancer stops sending new connections after readiness ended.
	balancerNotices = 3 * time.Second
	stopPoll        = 50 * time.Millisecond
	// settingsPoll is how often the settings file is looked at; not every change comes with a signal.
	settingsPoll = 2 * time.Second
	// upstreamConnect and upstreamUnacked bound what a dead upstream costs: a connection in a region takes milliseconds.
	upstreamConnect = 150 * time.Millisecond
	upstreamUnacked = 600 * time.Millisecond
	// upstreamIdle bounds how long a connection to an upstream is kept, upstreamKeep the same where the upstream states
	// no time.
	upstreamIdle = 4 * time.Second
	upstreamKeep = 500 * time.Millisecond
)

// webEntry holds the parts of a running entry.
type webEntry struct {
	config  *WebConfig
	events  *event.Logger
	metrics *metric.Root
	fleet   *control.Client
	limiter *usage.Limiter
	router  *web.Router
	callers *http1.Server
	pool    *conn.Pool
	// seeds are the members that the newest settings name.
	seeds    atomic.Pointer[[]string]
	stopping atomic.Bool
	// ready is what the load balancer was told last.
	ready      atomic.Bool
	background errgroup.Group
}

// MainWeb runs the entry until a signal and returns its exit code.
func MainWeb(c *WebConfig) int {
	events := event.New(event.Options{
		Writer: os.Stdout, Level: c.LogLevel, Program: c.program, Name: c.Name, Queue: logQueue, PerSecond: logPerSecond,
	})
	debug.SetMemoryLimit(int64(float64(c.MemoryMegabytes) * memoryShare * (1 << 20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	code := exitStopped
	if err := runWeb(ctx, c, events); err != nil {
		events.Error(event.ServerFailed, err)
		code = exitFailed
	}
	events.Write(event.EntryStopped, nil)
	if err := events.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}

func runWeb(stop context.Context, c *WebConfig, events *event.Logger) error {
	e, err := newWebEntry(c, events)
	if err != nil {
		return err
	}
	defer e.pool.Close()
	defer func() { _ = e.metrics.Close() }()
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	if err := e.serve(ctx, group); err != nil {
		return err
	}
	events.Write(event.EntryStarted, func(l *log.Entry) { l.Str("listen", c.Listen).Str("seeds", c.Seeds) })
	group.Go(func() error { return e.watchSettings(ctx) })
	group.Go(func() error {
		select {
		case <-stop.Done():
			e.drain()
		case <-ctx.Done():
		}
		cancel()
		return nil
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return eris.Wrap(err, "run the entry")
	}
	_ = e.background.Wait()
	return nil
}

func newWebEntry(c *WebConfig, events *event.Logger) (*webEntry, error) {
	port, err := settings.FirstPort(c.InternalPorts)
	if err != nil {
		return nil, err
	}
	e := &webEntry{config: c, events: events, metrics: metric.New("azuredoor")}
	members := c.members()
	e.seeds.Store(&members)
	dialer := fleetrpc.Dialer{Secret: c.Fleet, Source: c.IP}
	fresh := c.Revocation - revocationMargin
	e.fleet = control.New(control.Config{
		Name: c.Name, PeerAddress: net.JoinHostPort(c.IP, port), FailureDomain: c.FailureDomain, Region: c.Region,
		Members: members, Reseed: func() []string { return *e.seeds.Load() }, Decode: c.Decode, Dialer: dialer, Events: events,
		FreshnessBound: fresh,
	})
	e.limiter = usage.New(e.fleet, dialer)
	e.pool = conn.NewPool(conn.Options{
		Connect: upstreamConnect, Unacknowledged: upstreamUnacked, Idle: upstreamIdle, KeepAlive: upstreamKeep,
	})
	e.router = web.New(web.Config{
		Codec: c.Codec, Control: e.fleet, Limiter: e.limiter, Pool: e.pool, FailureDomain: c.FailureDomain, FreshFor: fresh, Grace: c.Grace - stopMargin,
		RetryPercent: c.RetryRatio * retryPart * 100, RetryFloor: int(float64(c.RetrySlack) * retryPart),
		Metrics: metric.NewRequests(e.metrics.Scope), Events: events, Background: &e.background,
	})
	e.limiter.Share(e.router)
	e.callers = http1.New(http1.Config{
		Handler: e.router, Bounds: e.bounds,
		Dropped: func(reason string) {
			events.Write(event.ConnectionEnded, func(l *log.Entry) { l.Str("reason", reason) })
		},
	})
	e.fleet.OnChange(e.router.OnChange)
	return e, nil
}

// bounds are what callers may send.
func (e *webEntry) bounds() http1.Bounds {
	d := e.fleet.View().Document
	if d == nil {
		return http1.Bounds{}
	}
	return http1.Bounds(d.Bounds)
}

func (e *webEntry) serve(ctx context.Context, group *errgroup.Group) error {
	port, err := settings.FirstPort(e.config.InternalPorts)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", e.config.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", e.config.Listen)
	}
	peers, err := net.Listen("tcp", net.JoinHostPort(e.config.IP, port))
	if err != nil {
		return eris.Wrapf(err, "listen on %s:%s", e.config.IP, port)
	}
	server := fleetrpc.NewServer(e.config.Fleet, e.events)
	fleetpb.RegisterPeerServer(server, e.limiter)
	monitor := &fasthttp.Server{
		Handler: e.monitor, NoDefaultServerHeader: true, ReadTimeout: webTimeout, IdleTimeout: webIdle, CloseOnShutdown: true,
	}
	group.Go(func() error { return e.fleet.Run(ctx) })
	group.Go(func() error { return e.limiter.Run(ctx) })
	if e.config.WriteOrder != nil {
		group.Go(func() error { return e.orders().Run(ctx) })
	}
	group.Go(func() error { return e.callers.Serve(callers) })
	group.Go(func() error { return server.Serve(peers) })
	for _, address := range []string{e.config.ReadyListen, e.config.MetricsListen} {
		if address == "" {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", address)
		}
		group.Go(func() error { return monitor.Serve(listener) })
	}
	group.Go(func() error {
		<-ctx.Done()
		server.Stop()
		e.callers.Close()
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeMargin)
		defer cancel()
		// An error means that connections were still open; they end with the process.
		_ = monitor.ShutdownWithContext(closing)
		return nil
	})
	return nil
}

// orders returns the controller of engines' roles.
func (e *webEntry) orders() *order.Controller {
	// Every entry sees when a change is wanted; the one that gets the lease plans again and sends the order.
	watching := &order.Stages{Demand: e.router.Demand}
	return order.New(order.Config{
		Fleet: e.fleet, Sender: &order.HTTP{Dialer: net.Dialer{Timeout: order.DialTimeout}, Write: e.config.WriteOrder}, Events: e.events,
		Plan:  func(time.Time, *control.View) order.Plans { return &order.Stages{Demand: e.router.Demand} },
		Pause: e.config.OrderPause,
		Wanted: func(now time.Time, view *control.View) bool {
			return len(watching.Plan(now, view)) > 0 || watching.Pending()
		},
	})
}

// monitor answers the load balancer and metrics scrapers.
func (e *webEntry) monitor(x *fasthttp.RequestCtx) {
	switch string(x.Path()) {
	case e.config.ReadyPath:
		ready := !e.stopping.Load() && e.router.Ready()
		if e.ready.Swap(ready) != ready {
			e.events.Write(event.ReadinessChanged, func(l *log.Entry) {
				l.Bool("ready", ready).Bool("stopping", e.stopping.Load()).Int64("viewAgeMs", e.fleet.Age().Milliseconds())
			})
		}
		if !ready {
			x.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case "/metrics":
		x.SetContentType(metric.ContentType)
		if err := e.metrics.WriteText(x); err != nil {
			x.SetStatusCode(fasthttp.StatusInternalServerError)
		}
	default:
		x.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// drain ends readiness at once and serves open connections until they are closed or the grace period nears its end.
func (e *webEntry) drain() {
	began := time.Now()
	e.stopping.Store(true)
	e.callers.Drain(e.config.Grace - stopMargin)
	e.events.Write(event.EntryDraining, func(l *log.Entry) { l.Int64("connections", e.callers.Open()).Int64("requests", e.callers.Active()) })
	for time.Since(began) < e.config.Grace-stopMargin {
		if time.Since(began) > balancerNotices && e.callers.Active() == 0 && e.callers.Open() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	e.events.Write(event.CallerDrainEnded, func(l *log.Entry) { l.Int64("connections", e.callers.Open()).Int64("requests", e.callers.Active()) })
}

// watchSettings reads the settings again after SIGHUP or when their file changed.
func (e *webEntry) watchSettings(ctx context.Context) error {
	return settings.Watch(ctx, e.config.SettingsFile, settingsPoll, func() {
		if e.config.Reload == nil {
			return
		}
		next, err := e.config.Reload()
		e.events.Write(event.EntryReloaded, func(l *log.Entry) { l.Err(err) })
		if err != nil {
			return
		}
		members := next.members()
		e.seeds.Store(&members)
	})
}
