// Package daemon runs a control process that finds its group by itself: it forms the group at the first start of a
// fleet, joins it at later ones, and starts anew with an empty folder when the group has replaced it.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/control/disk"
	"azuredoor.example/control/member"
	"azuredoor.example/control/server"
	"azuredoor.example/core/event"
	"azuredoor.example/core/metric"
	"azuredoor.example/core/settings"
)

// Config configures a control process.
type Config struct {
	Name, IP, FailureDomain, Region string
	// Listen faces operators and upstreams, IP:port.
	Listen string
	// InternalPorts are the ports for the fleet's own calls: the first one is used.
	InternalPorts string
	// Seeds are addresses of control processes; their ports are replaced by the first internal port.
	Seeds string
	// Fleet is the shared name by which the fleet's processes know each other.
	Fleet   string
	DataDir string
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	// ToleratedLosses is the number of members that may be lost at once.
	ToleratedLosses int
	// AnnounceEvery is the time between two announcements of an upstream.
	AnnounceEvery   time.Duration
	MemoryMegabytes int
	// MetricsListen is the address of the metrics page, IP:port; empty for none.
	MetricsListen string
	LogLevel      string

	// Reload reads the settings again.
	Reload func() (*Config, error)
	// SettingsFile is watched for changes; empty for none.
	SettingsFile string
	// Serve answers operators and upstreams until the context ends.
	Serve func(ctx context.Context, listener net.Listener, s *server.Server, calls *metric.Calls, events *event.Logger) error

	program string
}

// Settings returns the flags of a program that fill the configuration.
func (c *Config) Settings(program string) *settings.Set {
	c.program = program
	s := settings.New(program, "AZUREDOOR_GROUP")
	s.Text(&c.Name, "name", "", "name of this member, unique in the group")
	s.Text(&c.IP, "ip", "", "IP number of this VM")
	s.Text(&c.FailureDomain, "failure-domain", "", "failure domain of this VM")
	s.Text(&c.Region, "region", "", "region of this VM")
	s.Address(&c.Listen, "listen", "", "IP:port for operators and upstreams")
	s.Text(&c.InternalPorts, "internal-ports", "", "first and last port for the fleet's own calls, separated by a comma")
	s.Text(&c.Seeds, "seeds", "", "IP:port of control processes, separated by commas")
	s.Text(&c.Fleet, "fleet", "azuredoor", "shared name of the fleet's processes")
	s.Text(&c.DataDir, "data-dir", "", "folder for the log and snapshots")
	s.BoolVar(&c.FirstStart, "first-start", false, "the whole fleet starts for the first time")
	s.Count(&c.ToleratedLosses, "tolerated-losses", 1, 0, 10, "members that may be lost at once")
	s.Period(&c.AnnounceEvery, "announce-every", 500*time.Millisecond, 10*time.Millisecond, time.Hour, "time between two announcements of an upstream")
	s.Count(&c.MemoryMegabytes, "memory-megabytes", 256, 32, 1<<20, "memory of this VM in megabytes")
	s.Address(&c.MetricsListen, "metrics-listen", "", "IP:port of the metrics page; empty for none")
	s.Choice(&c.LogLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "lowest level that is logged")
	s.Required("name", "ip", "listen", "internal-ports", "seeds", "data-dir", "failure-domain")
	return s
}

// Check finds settings that contradict each other.
func (c *Config) Check() error {
	if net.ParseIP(c.IP) == nil {
		return eris.Errorf("setting -ip=%q: want an IP number", c.IP)
	}
	_, err := settings.FirstPort(c.InternalPorts)
	return err
}

// port is the first port for the fleet's own calls.
func (c *Config) port() string {
	port, err := settings.FirstPort(c.InternalPorts)
	if err != nil {
		return ""
	}
	return port
}

// members are the gRPC addresses of the control processes that the settings name.
func (c *Config) members() []string { return settings.WithPort(c.Seeds, c.port()) }

const (
	// logQueue and logPerSecond bound the log: a day's usual load stays below, a flood does not fill the disk.
	logQueue     = 4096
	logPerSecond = 200
	// memoryShare is the part of the VM's memory that the runtime may use; the rest holds sockets' buffers.
	memoryShare = 0.7
	// missedAnnouncements is how many announcements in a row may be late before an upstream counts as down.
	missedAnnouncements = 4
	// snapshotEntries is the number of log entries between snapshots: a restart replays fewer in well under a second.
	snapshotEntries = 2000
	// settingsPoll is how often the settings file is looked at; not every change comes with a signal.
	settingsPoll = 2 * time.Second
)

// Main runs the process until a signal and returns its exit code.
func Main(c *Config) int {
	events := event.New(event.Options{
		Writer: os.Stdout, Level: c.LogLevel, Program: c.program, Name: c.Name, Queue: logQueue, PerSecond: logPerSecond,
	})
	debug.SetMemoryLimit(int64(float64(c.MemoryMegabytes) * memoryShare * (1 << 20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	code := 0
	if err := Run(ctx, c, events); err != nil {
		events.Error(event.ServerFailed, err)
		code = 1
	}
	events.Write(event.ControlStopped, nil)
	if err := events.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}

// Run runs the process until the context ends. A member that was removed while it was away, or whose data is damaged,
// sets its data aside and joins again as a new member.
func Run(ctx context.Context, c *Config, events *event.Logger) error {
	var seeds atomic.Pointer[[]string]
	members := c.members()
	seeds.Store(&members)
	metrics := metric.New("azuredoor")
	defer func() { _ = metrics.Close() }()
	calls := metric.NewCalls(metrics.Scope)
	group, ctx := errgroup.WithContext(ctx)
	if c.MetricsListen != "" {
		if err := serveMetrics(ctx, group, c.MetricsListen, metrics); err != nil {
			return err
		}
	}
	group.Go(func() error {
		return settings.Watch(ctx, c.SettingsFile, settingsPoll, func() {
			if c.Reload == nil {
				return
			}
			next, err := c.Reload()
			events.Write(event.ControlSettingsReloaded, func(e *log.Entry) { e.Err(err) })
			if err == nil {
				members := next.members()
				seeds.Store(&members)
			}
		})
	})
	group.Go(func() error {
		founders := c.founders()
		for ctx.Err() == nil {
			err := runOnce(ctx, c, calls, events, founders, func() []string { return *seeds.Load() })
			damage := (*disk.DamageError)(nil)
			if !errors.Is(err, member.ErrRemoved) && !errors.As(err, &damage) {
				if err == nil {
					return context.Canceled
				}
				return err
			}
			events.Error(event.DiskSetAside, err)
			if err := disk.SetAside(disk.Options{Dir: c.DataDir, Events: events}); err != nil {
				return eris.Wrap(err, "set the data aside")
			}
			founders = nil
		}
		return nil
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// metricsTimeout bounds a reader of the metrics page.
const metricsTimeout = 5 * time.Second

func serveMetrics(ctx context.Context, group *errgroup.Group, address string, metrics *metric.Root) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	page := &fasthttp.Server{
		Handler: func(x *fasthttp.RequestCtx) {
			x.SetContentType(metric.ContentType)
			if err := metrics.WriteText(x); err != nil {
				x.SetStatusCode(fasthttp.StatusInternalServerError)
			}
		},
		NoDefaultServerHeader: true, ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout, CloseOnShutdown: true,
	}
	group.Go(func() error { return eris.Wrap(page.Serve(listener), "serve metrics") })
	group.Go(func() error {
		<-ctx.Done()
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), metricsTimeout/20)
		defer cancel()
		// An error means that readers were still connected; they end with the process.
		_ = page.ShutdownWithContext(closing)
		return nil
	})
	return nil
}

// founders are the members that form the group, empty unless this is the first start and this process is one of them.
func (c *Config) founders() []string {
	members := c.members()
	if !c.FirstStart || !slices.Contains(members, net.JoinHostPort(c.IP, c.port())) {
		return nil
	}
	return members
}

// runOnce opens the folder and runs a member until the context ends or the group has replaced it.
func runOnce(ctx context.Context, c *Config, calls *metric.Calls, events *event.Logger, founders []string, seeds func() []string) (err error) {
	address := net.JoinHostPort(c.IP, c.port())
	options := disk.Options{Dir: c.DataDir, Events: events}
	if len(founders) > 0 {
		options.Member = member.FounderID(address)
	}
	storage, stored, identity, err := disk.Open(options)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, storage.Close()) }()
	internal, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	s, err := server.Open(server.Config{
		ID: identity.Member, Name: c.Name, Listener: internal, Advertise: address, FailureDomain: c.FailureDomain, Secret: c.Fleet,
		Joining: &member.Joining{Addresses: seeds, Founders: founders}, Voters: 2*c.ToleratedLosses + 1,
		UpstreamTTL: missedAnnouncements * c.AnnounceEvery, SnapshotEntries: snapshotEntries, Storage: storage, Stored: stored, Events: events,
	})
	if err != nil {
		return errors.Join(err, internal.Close())
	}
	outside, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Join(eris.Wrapf(err, "listen on %s", c.Listen), internal.Close())
	}
	events.Write(event.ControlStarted, func(e *log.Entry) {
		e.Str("id", fmt.Sprintf("%x", identity.Member)).Str("listen", c.Listen).Str("internal", address).Bool("firstStart", c.FirstStart).
			Int("founders", len(founders)).Str("seeds", c.Seeds).Str("failureDomain", c.FailureDomain)
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.Run(ctx) })
	group.Go(func() error { return c.Serve(ctx, outside, s, calls, events) })
	return group.Wait()
}
