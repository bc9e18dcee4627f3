// Package daemon runs a control process that finds its group from seed addresses. The process forms the group at the
// first start of a fleet, joins the group at later starts, and rejoins with an empty data directory after the group
// has replaced the member.
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
	"azuredoor.example/core/budget"
	"azuredoor.example/core/event"
	"azuredoor.example/core/metric"
	"azuredoor.example/core/settings"
)

// Config configures a control process.
type Config struct {
	Name, IP, FailureDomain, Region string
	// FailureDomains maps the failure domains of the fleet to their regions; empty if they are not known.
	FailureDomains map[string]string
	// Listen is the address for operators and upstreams, IP:port.
	Listen string
	// InternalPorts holds the first and last port for calls between the fleet's processes, separated by a comma; only the
	// first port is used.
	InternalPorts string
	// Seeds are addresses of control processes, separated by commas; their ports are replaced by the first internal port.
	Seeds string
	// Fleet is the shared name by which the fleet's processes authenticate each other.
	Fleet   string
	DataDir string
	// FirstStart is true if the whole fleet starts for the first time.
	FirstStart bool
	// ToleratedLosses is the number of members that may be lost at once.
	ToleratedLosses int
	// AnnounceEvery is the interval between two announcements of an upstream.
	AnnounceEvery time.Duration
	// MemoryMegabytes is the memory of this VM, FileDescriptors the number of descriptors that the process may have open.
	MemoryMegabytes, FileDescriptors int
	// MetricsListen is the address of the metrics page, IP:port; empty for none.
	MetricsListen string
	LogLevel      string

	// Reload returns the settings as they are now; if nil, changed settings are ignored.
	Reload func() (*Config, error)
	// SettingsFile is watched for changes; empty for none.
	SettingsFile string
	// Serve serves operators and upstreams until ctx ends.
	Serve func(ctx context.Context, listener net.Listener, s *server.Server, calls *metric.Calls, events *event.Logger) error

	program string
}

// Settings returns the flags of a program; parsing them sets the fields of c.
func (c *Config) Settings(program string) *settings.Set {
	c.program = program
	s := settings.New(program, "AZUREDOOR_GROUP")
	s.Text(&c.Name, "name", "", "name of this member, unique in the group")
	s.Text(&c.IP, "ip", "", "IP number of this VM")
	s.Text(&c.FailureDomain, "failure-domain", "", "failure domain of this VM")
	s.Text(&c.Region, "region", "", "region of this VM")
	s.Pairs(&c.FailureDomains, "failure-domains", "failure domains of the fleet with their regions, as domain=region, separated by commas")
	s.Address(&c.Listen, "listen", "", "IP:port for operators and upstreams")
	s.Text(&c.InternalPorts, "internal-ports", "", "first and last port for the fleet's own calls, separated by a comma")
	s.Text(&c.Seeds, "seeds", "", "IP:port of control processes, separated by commas")
	s.Text(&c.Fleet, "fleet", "azuredoor", "shared name of the fleet's processes")
	s.Text(&c.DataDir, "data-dir", "", "folder for the log and snapshots")
	s.BoolVar(&c.FirstStart, "first-start", false, "the whole fleet starts for the first time")
	s.Count(&c.ToleratedLosses, "tolerated-losses", 1, 0, 10, "members that may be lost at once")
	s.Period(&c.AnnounceEvery, "announce-every", 500*time.Millisecond, 10*time.Millisecond, time.Hour, "time between two announcements of an upstream")
	s.Count(&c.MemoryMegabytes, "memory-megabytes", 256, 32, 1<<20, "memory of this VM in megabytes")
	s.Count(&c.FileDescriptors, "file-descriptors", 4096, 256, 1<<24, "descriptors that this process may have open")
	s.Address(&c.MetricsListen, "metrics-listen", "", "IP:port of the metrics page; empty for none")
	s.Choice(&c.LogLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "lowest level that is logged")
	s.Required("name", "ip", "listen", "internal-ports", "seeds", "data-dir", "failure-domain")
	return s
}

// Check returns an error if the IP or the internal ports are invalid.
func (c *Config) Check() error {
	if net.ParseIP(c.IP) == nil {
		return eris.Errorf("setting -ip=%q: want an IP number", c.IP)
	}
	_, err := settings.FirstPort(c.InternalPorts)
	return err
}

// CallMemory returns a budget for the bodies of calls that are being received.
func (c *Config) CallMemory() *budget.Budget {
	return budget.New(int64(float64(c.MemoryMegabytes) * callMemoryShare * (1 << 20)))
}

// MaxConnections returns how many connections of operators and upstreams may be open.
func (c *Config) MaxConnections() int { return int(float64(c.FileDescriptors) * callDescriptorShare) }

// internalPort returns the first internal port, or an empty string if InternalPorts is invalid.
func (c *Config) internalPort() string {
	port, err := settings.FirstPort(c.InternalPorts)
	if err != nil {
		return ""
	}
	return port
}

// seedAddresses returns the gRPC addresses of the control processes in Seeds.
func (c *Config) seedAddresses() []string { return settings.WithPort(c.Seeds, c.internalPort()) }

const (
	// logQueueLines is the number of log lines that may wait for the writer.
	logQueueLines = 4096
	// logLinesPerSecond bounds the log lines per second of each event. The usual load of a day stays below this limit,
	// and a flood of events does not fill the disk.
	logLinesPerSecond = 200
	// memoryLimitShare is the share of the VM's memory that the Go runtime may use; the rest is left for socket buffers.
	memoryLimitShare = 0.7
	// callMemoryShare is the share of the VM's memory for the bodies of calls that are being received.
	callMemoryShare = 0.25
	// callDescriptorShare is the share of the process's descriptors for connections of operators and upstreams. The rest is for entries,
	// other members and files.
	callDescriptorShare = 0.5
	// maxMissedAnnouncements is the number of consecutive announcements that may be late before an upstream counts as
	// down.
	maxMissedAnnouncements = 4
	// snapshotEntries is the number of log entries between snapshots. A restart replays fewer entries than this, which
	// takes well under a second.
	snapshotEntries = 2000
	// settingsPollInterval is the interval between checks of the settings file, because not every change comes with a
	// signal.
	settingsPollInterval = 2 * time.Second
)

// Main runs the process until SIGTERM or SIGINT and returns the exit code.
func Main(c *Config) int {
	events := event.New(event.Options{
		Writer: os.Stdout, Level: c.LogLevel, Program: c.program, Name: c.Name, Queue: logQueueLines, PerSecond: logLinesPerSecond,
	})
	debug.SetMemoryLimit(int64(float64(c.MemoryMegabytes) * memoryLimitShare * (1 << 20)))
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

// Run runs the process until ctx ends. If the group has removed the member while the process was down, or if the stored
// data is damaged, Run sets the data aside and joins the group as a new member.
func Run(ctx context.Context, c *Config, events *event.Logger) error {
	var seeds atomic.Pointer[[]string]
	addresses := c.seedAddresses()
	seeds.Store(&addresses)
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
		return settings.Watch(ctx, c.SettingsFile, settingsPollInterval, func() {
			if c.Reload == nil {
				return
			}
			reloaded, err := c.Reload()
			events.Write(event.ControlSettingsReloaded, func(e *log.Entry) { e.Err(err) })
			if err == nil {
				addresses := reloaded.seedAddresses()
				seeds.Store(&addresses)
			}
		})
	})
	group.Go(func() error {
		founders := c.founders()
		for ctx.Err() == nil {
			err := runMember(ctx, c, calls, events, founders, func() []string { return *seeds.Load() })
			damage := (*disk.DamageError)(nil)
			if !errors.Is(err, member.ErrRemoved) && !errors.As(err, &damage) {
				if err == nil {
					return context.Canceled
				}
				return err
			}
			events.Error(event.DiskSetAside, err)
			if err := disk.SetAside(disk.Options{Dir: c.DataDir, Events: events}); err != nil {
				return eris.Wrap(err, "set aside the data of the removed or damaged member")
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

// maxMetricsRequestBytes bounds the body of a request for the metrics page, which has none.
const maxMetricsRequestBytes = 1 << 10

// metricsTimeout bounds reading a request for the metrics page and writing the response.
const metricsTimeout = 5 * time.Second

func serveMetrics(ctx context.Context, group *errgroup.Group, address string, metrics *metric.Root) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	metricsServer := &fasthttp.Server{
		Handler: func(requestCtx *fasthttp.RequestCtx) {
			requestCtx.SetContentType(metric.ContentType)
			if err := metrics.WriteText(requestCtx); err != nil {
				requestCtx.SetStatusCode(fasthttp.StatusInternalServerError)
			}
		},
		NoDefaultServerHeader: true, ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout, CloseOnShutdown: true,
		MaxRequestBodySize: maxMetricsRequestBytes,
	}
	group.Go(func() error { return eris.Wrap(metricsServer.Serve(listener), "serve metrics") })
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), metricsTimeout/20)
		defer cancel()
		// An error means that clients were still connected; their connections end with the process.
		_ = metricsServer.ShutdownWithContext(shutdownCtx)
		return nil
	})
	return nil
}

// founders returns the addresses of the members that form the group. At later starts of the fleet, and in processes
// that are not among these members, founders returns nil.
func (c *Config) founders() []string {
	addresses := c.seedAddresses()
	if !c.FirstStart || !slices.Contains(addresses, net.JoinHostPort(c.IP, c.internalPort())) {
		return nil
	}
	return addresses
}

// runMember opens the data directory and runs a member until ctx ends or the group has removed the member.
func runMember(ctx context.Context, c *Config, calls *metric.Calls, events *event.Logger, founders []string, seeds func() []string) (err error) {
	address := net.JoinHostPort(c.IP, c.internalPort())
	options := disk.Options{Dir: c.DataDir, Events: events}
	if len(founders) > 0 {
		options.Member = member.FounderID(address)
	}
	storage, stored, identity, err := disk.Open(options)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, storage.Close()) }()
	internalListener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	s, err := server.Open(server.Config{
		ID: identity.Member, Name: c.Name, Listener: internalListener, Advertise: address, FailureDomain: c.FailureDomain, Secret: c.Fleet,
		FailureDomains: slices.Sorted(maps.Keys(c.FailureDomains)),
		Joining:        &member.JoinConfig{Addresses: seeds, Founders: founders}, Voters: 2*c.ToleratedLosses + 1,
		UpstreamTTL: maxMissedAnnouncements * c.AnnounceEvery, SnapshotEntries: snapshotEntries, Storage: storage, Stored: stored, Events: events,
	})
	if err != nil {
		return errors.Join(err, internalListener.Close())
	}
	publicListener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Join(eris.Wrapf(err, "listen on %s", c.Listen), internalListener.Close())
	}
	events.Write(event.ControlStarted, func(e *log.Entry) {
		e.Str("id", fmt.Sprintf("%x", identity.Member)).Str("listen", c.Listen).Str("internal", address).Bool("firstStart", c.FirstStart).
			Int("founders", len(founders)).Str("seeds", c.Seeds).Str("failureDomain", c.FailureDomain)
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.Run(ctx) })
	group.Go(func() error { return c.Serve(ctx, publicListener, s, calls, events) })
	return group.Wait()
}
