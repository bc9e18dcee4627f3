package daemon

import (
	"context"
	"errors"
	"fmt"
	"maps"
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

	"azuredoor.example/core/budget"
	"azuredoor.example/core/document"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
	"azuredoor.example/core/metric"
	"azuredoor.example/core/settings"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/coordinator"
	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/order"
	"azuredoor.example/entry/quarantine"
	"azuredoor.example/entry/usage"
	"azuredoor.example/entry/web"
)

// WebConfig configures an entry that routes plain HTTP requests by the operators' configuration document.
type WebConfig struct {
	Name, IP, FailureDomain, Region string
	// FailureDomains maps the failure domains of the fleet to their regions. Requests with allowed regions go nowhere else.
	FailureDomains map[string]string
	// Listen, ReadyListen and MetricsListen are the addresses, as IP:port, that the entry listens on for callers, readiness
	// checks, and metrics scrapers.
	Listen, ReadyListen, MetricsListen string
	// ReadyPath is the URL path of the load balancer's readiness check.
	ReadyPath string
	// InternalPorts is the range of ports for calls inside the fleet; only its first port is used.
	InternalPorts string
	// Seeds lists addresses of control processes; the first internal port replaces their ports.
	Seeds string
	// Fleet is the shared name of the fleet; processes of the fleet refuse calls with another name.
	Fleet string
	// MemoryMegabytes is the VM's memory; a process that uses more is killed. FileDescriptors is the number of descriptors that the
	// process may have open.
	MemoryMegabytes, FileDescriptors int
	// Grace is the time between a stop signal and the end of the process.
	Grace time.Duration
	// Revocation is the time after which a withdrawn key must not work anywhere.
	Revocation time.Duration
	// Propagation is the time after which an acknowledged configuration must be in force everywhere.
	Propagation time.Duration
	// RetryRatio is the share of a service's requests that may be retried.
	RetryRatio float64
	// HedgeRatio is the share of a plain service's repeatable requests that may run on a second upstream at once.
	HedgeRatio float64
	// RetrySlack is the number of retries in 10 s that are allowed beyond RetryRatio.
	RetrySlack int
	// OrderPause is how long a new holder of the order lease waits before its first order after taking over from the
	// previous holder.
	OrderPause time.Duration
	LogLevel   string

	Codec web.Codec
	// Decode decodes a configuration document.
	Decode func(data []byte) (*document.Document, error)
	// WriteOrder encodes an order to an engine as an HTTP request; nil disables changes of engine roles.
	WriteOrder func(request *fasthttp.Request, o order.Order) error
	// Reload parses the settings again; nil disables reloading.
	Reload func() (*WebConfig, error)
	// SettingsFile is the file that is watched for changes; empty for none.
	SettingsFile string

	program string
}

// Settings returns the flag set of a program that fills the configuration.
func (c *WebConfig) Settings(program string) *settings.Set {
	c.program = program
	s := settings.New(program, "AZUREDOOR_WEB")
	s.Text(&c.Name, "name", "", "name of this entry, unique in the fleet")
	s.Text(&c.IP, "ip", "", "IP number of this VM")
	s.Text(&c.FailureDomain, "failure-domain", "", "failure domain of this VM")
	s.Text(&c.Region, "region", "", "region of this VM")
	s.Pairs(&c.FailureDomains, "failure-domains", "failure domains of the fleet with their regions, as domain=region, separated by commas")
	s.Address(&c.Listen, "listen", "", "IP:port that callers connect to")
	s.Address(&c.ReadyListen, "ready-listen", "", "IP:port that the load balancer asks for readiness")
	s.Address(&c.MetricsListen, "metrics-listen", "", "IP:port of the metrics page; empty for none")
	s.Text(&c.InternalPorts, "internal-ports", "", "first and last port for the fleet's own calls, separated by a comma")
	s.Text(&c.Seeds, "seeds", "", "IP:port of control processes, separated by commas")
	s.Text(&c.Fleet, "fleet", "azuredoor", "shared name of the fleet's processes")
	s.Count(&c.MemoryMegabytes, "memory-megabytes", 256, 32, 1<<20, "memory of this VM in megabytes")
	s.Count(&c.FileDescriptors, "file-descriptors", 4096, 256, 1<<24, "descriptors that this process may have open")
	s.Period(&c.Grace, "grace", 8*time.Second, time.Second, time.Hour,
		"time between a stop signal and the end of the process")
	s.Period(&c.Revocation, "revocation", 5*time.Second, time.Second, time.Hour,
		"time after which a withdrawn key must not work")
	s.Period(&c.Propagation, "propagation", 2*time.Second, 500*time.Millisecond, time.Hour,
		"time after which an acknowledged configuration must be in force")
	s.Float64Var(&c.RetryRatio, "retry-ratio", 0.1, "share of a service's requests that may be sent again")
	s.Float64Var(&c.HedgeRatio, "hedge-ratio", 0, "share of a plain service's repeatable requests that may be sent to a second upstream before the first responds")
	s.Count(&c.RetrySlack, "retry-slack", 40, 0, 1_000_000, "how many more may be sent again in 10 s")
	s.Period(&c.OrderPause, "order-pause", 3*time.Second, time.Second, time.Minute,
		"time that a new sender of orders waits after the one before it")
	s.Choice(&c.LogLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "lowest level that is logged")
	s.Required("name", "ip", "listen", "ready-listen", "internal-ports", "seeds", "failure-domain")
	return s
}

// Check reports the first invalid setting.
func (c *WebConfig) Check() error {
	if net.ParseIP(c.IP) == nil {
		return eris.Errorf("setting -ip=%q: want an IP number", c.IP)
	}
	if _, err := settings.FirstPort(c.InternalPorts); err != nil {
		return err
	}
	if len(c.controlAddresses()) == 0 {
		return eris.Errorf("setting -seeds=%q: want at least one IP:port", c.Seeds)
	}
	if c.RetryRatio < 0 || c.RetryRatio > 1 {
		return eris.Errorf("setting -retry-ratio=%v: want 0 to 1", c.RetryRatio)
	}
	if c.HedgeRatio < 0 || c.HedgeRatio > 0.5 {
		return eris.Errorf("setting -hedge-ratio=%v: want 0 to 0.5", c.HedgeRatio)
	}
	return nil
}

// maxConnections returns how many connections of callers may be open.
func (c *WebConfig) maxConnections() int {
	return maxConnections(c.MemoryMegabytes, c.FileDescriptors)
}

// maxConnections returns how many connections of callers a process may have open on a VM with the given memory.
func maxConnections(megabytes, descriptors int) int {
	byMemory := float64(megabytes) * connectionMemoryShare * (1 << 20) / connectionBytes
	return int(min(byMemory, float64(descriptors)*callerDescriptorShare))
}

// callerMemory returns a budget for what is held for callers on a VM with the given memory.
func callerMemory(megabytes int) *budget.Budget {
	return budget.New(int64(float64(megabytes) * callerMemoryShare * (1 << 20)))
}

// controlAddresses returns the gRPC addresses of the control processes in Seeds.
func (c *WebConfig) controlAddresses() []string {
	port, err := settings.FirstPort(c.InternalPorts)
	if err != nil {
		return nil
	}
	return settings.WithPort(c.Seeds, port)
}

const (
	maxQueuedLogLines = 4096
	// maxLogLinesPerSecond bounds the lines of each event, so that a flood of events does not fill the disk. The usual
	// load of a day stays below the bound.
	maxLogLinesPerSecond = 300
	// memoryLimitShare is the share of the VM's memory that the Go runtime may use; the rest is left for socket buffers.
	memoryLimitShare = 0.7
	// callerMemoryShare is the share of the VM's memory for bodies of callers' requests and for responses that callers have not read.
	callerMemoryShare = 0.25
	// connectionMemoryShare is the share of the VM's memory for the connections of callers, and connectionBytes what one takes up while a
	// request of it is served: its buffers, and those of the connection to the upstream.
	connectionMemoryShare = 0.3
	connectionBytes       = 40 << 10
	// callerDescriptorShare is the share of the process's descriptors for connections of callers. The rest is for upstreams, other entries,
	// the control group and operators.
	callerDescriptorShare = 0.5
	// largeBodyShare is the share of the VM's memory for large bodies of upstreams' responses that are being read.
	largeBodyShare = 0.15
	// revocationMargin is subtracted from the revocation time, because a request with a withdrawn key may already be on
	// its way to an upstream.
	revocationMargin = 700 * time.Millisecond
	// propagationMargin is subtracted from the propagation time for the difference of clocks' rates.
	propagationMargin = 100 * time.Millisecond
	// retryBudgetShare is the share of the retry budget that the fleet uses; the rest covers retries that restarted
	// entries no longer count.
	retryBudgetShare = 0.7
	// stopMargin is subtracted from the grace period, because closing the session takes up to 1 s.
	stopMargin = 1200 * time.Millisecond
	// monitorCloseTimeout bounds the wait at shutdown for connections of the load balancer and of metrics scrapers.
	monitorCloseTimeout = 200 * time.Millisecond
	// maxMonitorBytes bounds the body of a readiness check or a scrape, which has none.
	maxMonitorBytes = 1 << 10
	// loadBalancerDelay is the time that the load balancer takes to stop sending new connections after the end of
	// readiness.
	loadBalancerDelay = 3 * time.Second
	drainPollInterval = 50 * time.Millisecond
	// memoryReportInterval is the time between two reports of the memory that is held for callers.
	memoryReportInterval = time.Second
	// settingsPollInterval is the interval of checks of the settings file. The file is polled because not every change
	// comes with a SIGHUP.
	settingsPollInterval = 2 * time.Second
	// upstreamConnectTimeout bounds the time lost on an upstream that is down; connecting within a region takes
	// milliseconds.
	upstreamConnectTimeout = 150 * time.Millisecond
	// upstreamAckTimeout bounds the time lost on an upstream that goes down while a request is sent to it. The kernel also
	// applies it to an upstream that is up but reads nothing, and a sound one may pause for a second or two.
	upstreamAckTimeout = 3 * time.Second
	// upstreamIdleTimeout bounds how long an idle connection to an upstream is kept.
	upstreamIdleTimeout = 4 * time.Second
	// upstreamKeepAliveTimeout replaces upstreamIdleTimeout for upstreams that state no keep-alive time.
	upstreamKeepAliveTimeout = 500 * time.Millisecond
	// upstreamReceiveBuffer bounds what the kernel holds of one upstream's bytes, in bytes. Within a region it lets 100 MB/s through.
	upstreamReceiveBuffer = 256 << 10
)

// upstreamOptions configures the connections to upstreams.
var upstreamOptions = conn.Options{
	ConnectTimeout: upstreamConnectTimeout, AckTimeout: upstreamAckTimeout, WriteTimeout: upstreamAckTimeout,
	IdleTimeout: upstreamIdleTimeout, KeepAliveTimeout: upstreamKeepAliveTimeout, ReceiveBuffer: upstreamReceiveBuffer,
}

// webEntry holds the components of a running entry.
type webEntry struct {
	config  *WebConfig
	events  *event.Logger
	metrics *metric.Root
	fleet   *control.Client
	limiter *usage.Client
	// coordinator serves the other entries while they choose this one.
	coordinator *coordinator.Coordinator
	// roles controls the roles of engines.
	roles   *order.Controller
	router  *web.Router
	callers *http1.Server
	pool    *conn.Pool
	// memory bounds what is held for callers.
	memory *budget.Budget
	// addresses holds the gRPC addresses of the control processes in the latest settings.
	addresses atomic.Pointer[[]string]
	stopping  atomic.Bool
	// lastReady is the readiness in the latest response to the load balancer.
	lastReady  atomic.Bool
	background errgroup.Group
}

// MainWeb runs the entry until a stop signal and returns the exit code of the process.
func MainWeb(c *WebConfig) int {
	events := event.New(event.Options{
		Writer: os.Stdout, Level: c.LogLevel, Program: c.program, Name: c.Name,
		Queue: maxQueuedLogLines, PerSecond: maxLogLinesPerSecond,
	})
	debug.SetMemoryLimit(int64(float64(c.MemoryMegabytes) * memoryLimitShare * (1 << 20)))
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
	addresses := c.controlAddresses()
	e.addresses.Store(&addresses)
	dialer := fleetrpc.Dialer{Secret: c.Fleet, Source: c.IP}
	freshnessBound, evacuated := c.Revocation-revocationMargin, e.metrics.Gauge("evacuated_requests")
	e.fleet = control.New(control.Config{
		Name: c.Name, PeerAddress: net.JoinHostPort(c.IP, port), FailureDomain: c.FailureDomain, Region: c.Region,
		Members: addresses, Reseed: func() []string { return *e.addresses.Load() }, Decode: c.Decode, Dialer: dialer,
		Events: events, FreshnessBound: freshnessBound, ReportAge: c.Propagation, Regions: c.FailureDomains, Running: func() map[string]int { return e.runningEvacuated(evacuated.Update) },
	})
	e.coordinator = coordinator.New(e.fleet)
	guard, quarantined := quarantine.NewGuard(), e.metrics.Gauge("quarantined_parts")
	e.limiter = usage.New(usage.Config{
		Control: e.fleet, Dialer: dialer, Coordinator: e.coordinator, Events: events,
		Changing: func() map[string]uint64 {
			engines := e.roles.Changing(time.Now(), e.fleet.View())
			maps.Copy(engines, e.router.Leaving())
			return engines
		},
		Guard: guard, SetQuarantined: func(parts int) { quarantined.Update(float64(parts)) },
	})
	e.memory = callerMemory(c.MemoryMegabytes)
	options := upstreamOptions
	options.LargeBodies = int64(float64(c.MemoryMegabytes) * largeBodyShare * (1 << 20))
	e.pool = conn.NewPool(options)
	e.router = web.New(web.Config{
		Codec: c.Codec, Control: e.fleet, Limiter: e.limiter, Placer: e.limiter, Origins: e.fleet, Pool: e.pool, FailureDomain: c.FailureDomain,
		FreshFor: freshnessBound, CurrentFor: min(freshnessBound, c.Propagation-propagationMargin), Grace: c.Grace - stopMargin,
		RetryPercent: c.RetryRatio * retryBudgetShare * 100, RetryFloor: int(float64(c.RetrySlack) * retryBudgetShare),
		HedgePercent: c.HedgeRatio * 100, Hedged: e.countHedge,
		Metrics: metric.NewRequests(e.metrics.Scope), Guard: guard, Events: events, Background: &e.background,
	})
	e.limiter.SetLoads(e.router)
	e.roles = e.orders()
	e.callers = http1.New(http1.Config{
		Handler: e.router, Bounds: e.bounds, Check: e.router.Check, Memory: e.memory, MaxConnections: c.maxConnections(),
		Dropped: func(reason string) {
			events.Write(event.ConnectionEnded, func(l *log.Entry) { l.Str("reason", reason) })
		},
	})
	e.fleet.OnChange(e.router.OnChange)
	return e, nil
}

// countHedge counts a request that was sent to a second upstream.
func (e *webEntry) countHedge(won bool) {
	result := "lost"
	if won {
		result = "won"
	}
	e.metrics.Tagged(map[string]string{"result": result}).Counter("hedges_total").Inc(1)
}

// runningEvacuated returns how many requests of this entry still run in each evacuated failure domain, and passes their sum to set.
func (e *webEntry) runningEvacuated(set func(sum float64)) map[string]int {
	running, sum := e.router.RunningEvacuated(), 0
	for _, n := range running {
		sum += n
	}
	set(float64(sum))
	return running
}

// reportMemory reports what is held for callers, by kind, until the context ends. However many callers lose their memory, it logs one
// line a kind and interval.
func (e *webEntry) reportMemory(ctx context.Context) error {
	ticker := time.NewTicker(memoryReportInterval)
	defer ticker.Stop()
	evictions := map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, use := range e.memory.Uses() {
			scope := e.metrics.Tagged(map[string]string{"kind": use.Kind})
			scope.Gauge("held_bytes").Update(float64(use.Bytes))
			evicted := use.Evictions - evictions[use.Kind]
			evictions[use.Kind] = use.Evictions
			scope.Counter("evictions_total").Inc(evicted)
			if evicted > 0 {
				e.events.Write(event.MemoryShort, func(l *log.Entry) {
					l.Str("kind", use.Kind).Int64("evicted", evicted).Int64("heldBytes", use.Bytes).Int64("connections", e.callers.OpenConnections())
				})
			}
		}
	}
}

// bounds returns the limits on requests of callers in the current document.
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
	fleetpb.RegisterPeerServer(server, e.coordinator)
	monitor := &fasthttp.Server{
		Handler: e.serveMonitor, NoDefaultServerHeader: true, ReadTimeout: httpReadTimeout, IdleTimeout: httpIdleTimeout,
		MaxRequestBodySize: maxMonitorBytes, CloseOnShutdown: true,
	}
	group.Go(func() error { return e.fleet.Run(ctx) })
	group.Go(func() error { return e.limiter.Run(ctx) })
	if e.config.WriteOrder != nil {
		group.Go(func() error { return e.roles.Run(ctx) })
	}
	group.Go(func() error { return e.reportMemory(ctx) })
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
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), monitorCloseTimeout)
		defer cancel()
		// An error means that connections are still open; the end of the process closes them.
		_ = monitor.ShutdownWithContext(shutdownCtx)
		return nil
	})
	return nil
}

// orders returns the controller of engine roles.
func (e *webEntry) orders() *order.Controller {
	// The coordinator detects that a change is needed; so that planning costs the other entries nothing, they do so only without
	// a coordinator. The entry that obtains the lease plans again and sends the order.
	planner := &order.RolePlanner{Demand: e.router.Demand}
	return order.New(order.Config{
		Fleet: e.fleet, Sender: &order.HTTP{Dialer: net.Dialer{Timeout: order.DialTimeout}, Write: e.config.WriteOrder},
		Events: e.events,
		Plan:   func(time.Time, *control.View) order.Plans { return &order.RolePlanner{Demand: e.router.Demand} },
		Pause:  e.config.OrderPause,
		Wanted: func(now time.Time, view *control.View) bool {
			return e.limiter.ActsForFleet() && (len(planner.Plan(now, view)) > 0 || planner.Pending())
		},
	})
}

// serveMonitor handles readiness checks of the load balancer and requests of metrics scrapers.
func (e *webEntry) serveMonitor(request *fasthttp.RequestCtx) {
	switch string(request.Path()) {
	case e.config.ReadyPath:
		ready := !e.stopping.Load() && e.router.Ready()
		if e.lastReady.Swap(ready) != ready {
			e.events.Write(event.ReadinessChanged, func(l *log.Entry) {
				l.Bool("ready", ready).Bool("stopping", e.stopping.Load()).Int64("viewAgeMs", e.fleet.Age().Milliseconds())
			})
		}
		if !ready {
			request.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case "/metrics":
		request.SetContentType(metric.ContentType)
		if err := e.metrics.WriteText(request); err != nil {
			request.SetStatusCode(fasthttp.StatusInternalServerError)
		}
	default:
		request.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// drain ends readiness at once and continues to serve open connections. It returns when all connections are closed, but
// not before loadBalancerDelay has passed, and at the latest stopMargin before the end of the grace period.
func (e *webEntry) drain() {
	start := time.Now()
	e.stopping.Store(true)
	e.coordinator.Resign()
	e.callers.Drain(e.config.Grace - stopMargin)
	e.events.Write(event.EntryDraining, func(l *log.Entry) {
		l.Int64("connections", e.callers.OpenConnections()).Int64("requests", e.callers.ActiveRequests())
	})
	for time.Since(start) < e.config.Grace-stopMargin {
		if time.Since(start) > loadBalancerDelay && e.callers.ActiveRequests() == 0 && e.callers.OpenConnections() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	e.events.Write(event.CallerDrainEnded, func(l *log.Entry) {
		l.Int64("connections", e.callers.OpenConnections()).Int64("requests", e.callers.ActiveRequests())
	})
}

// watchSettings reloads the settings after each SIGHUP or change of the settings file.
func (e *webEntry) watchSettings(ctx context.Context) error {
	return settings.Watch(ctx, e.config.SettingsFile, settingsPollInterval, func() {
		if e.config.Reload == nil {
			return
		}
		next, err := e.config.Reload()
		e.events.Write(event.EntryReloaded, func(l *log.Entry) { l.Err(err) })
		if err != nil {
			return
		}
		addresses := next.controlAddresses()
		e.addresses.Store(&addresses)
		e.fleet.SetRegions(next.FailureDomains)
	})
}
