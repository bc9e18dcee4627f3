// Package soak runs the real programs as separate processes, injects faults from outside them, and checks what callers,
// upstreams and the operator see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/proxy"
	"azuredoor.example/platform/standin"
)

// Ports of the programs, the same for all instances. Each instance has its own address, as if it ran on its own VM.
const (
	listenPort = 8100
	readyPort  = 8101
	groupPorts = "7500,7501"
	// A soak uses the addresses 127.N.0.x, where N is the first free number between firstNetwork and lastNetwork.
	firstNetwork = 32
	lastNetwork  = 200
	// lockPort is the port that a soak listens on to reserve its network.
	lockPort = 7999
)

const (
	// gracePeriod is the time that a process may run after SIGTERM.
	gracePeriod = 4 * time.Second
	// gracePeriodTolerance is added to gracePeriod because a busy machine delays the exit.
	gracePeriodTolerance = 2 * time.Second
)

// instance is a control member or an entry: its command line and its current process, which may not be running.
type instance struct {
	name, program string
	args          []string
	process       *fleet.Process
	// starts counts the starts of the process.
	starts atomic.Int32
	// faultLock is held while a fault affects the instance.
	faultLock sync.Mutex
}

// upstream is a stand-in upstream and the proxy that entries reach it through.
type upstream struct {
	proxy     *proxy.Proxy
	cancel    context.CancelFunc
	standin   *standin.Upstream
	faultLock sync.Mutex
}

// system holds all processes, stand-in upstreams and proxies of a soak.
type system struct {
	dir         string
	bin         string
	network     int
	networkLock net.Listener
	runner      *fleet.Runner
	controls    []*instance
	entries     []*instance
	// entryProxies are the proxies through which callers connect to the entries, one for each entry.
	entryProxies []*proxy.Proxy
	upstreams    []*upstream
	journal      *standin.Journal
	group        errgroup.Group
	// lastStartMs is the start time of the newest upstream in Unix milliseconds. It increases with every upstream.
	lastStartMs   int64
	upstreamCount int
	// domains holds the failure domain of each upstream that was ever started.
	domains map[string]string
	mu      sync.Mutex
}

func (s *system) host(n int) string { return fmt.Sprintf("127.%d.0.%d", s.network, n) }

func (s *system) address(n, port int) string { return net.JoinHostPort(s.host(n), fmt.Sprint(port)) }

// controlAddresses returns the addresses at which the operator and upstreams reach the control members.
func (s *system) controlAddresses() []string {
	addresses := make([]string, 0, len(s.controls))
	for i := range s.controls {
		addresses = append(addresses, s.address(11+i, listenPort))
	}
	return addresses
}

// Build compiles the platform programs of the repository at root into the directory bin.
func Build(ctx context.Context, root, bin string) error {
	if err := os.MkdirAll(bin, 0o755); err != nil {
		return eris.Wrap(err, "create the directory for programs")
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", bin+"/", "./platform/cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return eris.Errorf("build the programs: %v: %s", err, out)
	}
	return nil
}

// instances returns all control members and entries.
func (s *system) instances() []*instance { return slices.Concat(s.controls, s.entries) }

func startSystem(o Options) (*system, error) {
	s := &system{dir: o.Dir, bin: o.Bin, runner: fleet.NewRunner(), journal: standin.NewJournal(), lastStartMs: time.Now().UnixMilli(), domains: map[string]string{}}
	for s.network = firstNetwork; s.network <= lastNetwork; s.network++ {
		lock, err := net.Listen("tcp", s.address(1, lockPort))
		if err == nil {
			s.networkLock = lock
			break
		}
	}
	if s.networkLock == nil {
		return nil, eris.New("no free network: other soaks use all addresses between 127.32.0.1 and 127.200.0.1")
	}
	s.controls = make([]*instance, o.Controls)
	for i := range s.controls {
		s.controls[i] = s.newInstance("control", 11+i, i, "azuredoor-platform-control",
			"-listen", s.address(11+i, listenPort), "-data-dir", filepath.Join(o.Dir, fmt.Sprintf("data-%d", i+1)), "-tolerated-losses", "2",
			"-announce-every", "400ms")
	}
	for i := range o.Entries {
		s.entries = append(s.entries, s.newInstance("entry", 51+i, i, "azuredoor-platform-entry",
			"-listen", s.address(51+i, listenPort), "-ready-listen", s.address(51+i, readyPort), "-grace", gracePeriod.String(), "-revocation", revocationBound.String(),
			"-retry-ratio", "1", "-retry-slack", "1000000"))
	}
	for _, m := range s.controls {
		// Only a first start of the whole fleet forms a new control group; a restarted member joins the existing group.
		if err := s.start(m, "-first-start=true"); err != nil {
			return s, err
		}
	}
	for _, m := range s.entries {
		if err := s.start(m); err != nil {
			return s, err
		}
	}
	for i := range s.entries {
		entryProxy, err := proxy.Start("127.0.0.1:0", s.address(51+i, listenPort))
		if err != nil {
			return s, eris.Wrap(err, "start the proxy of an entry")
		}
		s.entryProxies = append(s.entryProxies, entryProxy)
	}
	for range o.Upstreams {
		b := &upstream{}
		if err := s.startUpstream(b); err != nil {
			return s, err
		}
		s.upstreams = append(s.upstreams, b)
	}
	return s, nil
}

// newInstance returns an instance with the command line that all roles share, followed by args. It does not start the instance.
func (s *system) newInstance(role string, host, i int, program string, args ...string) *instance {
	seeds := make([]string, 0, 3)
	for n := range min(3, len(s.controls)) {
		seeds = append(seeds, s.address(11+n, listenPort))
	}
	m := &instance{name: fmt.Sprintf("%s-%d", role, i+1), program: filepath.Join(s.bin, program)}
	m.args = append([]string{
		"-name", m.name, "-ip", s.host(host), "-failure-domain", string(rune('a' + i%3)), "-region", "r", "-internal-ports", groupPorts,
		"-seeds", strings.Join(seeds, ","), "-memory-megabytes", "200",
	}, args...)
	return m
}

// start starts the process of an instance, with extra arguments after those of its command line.
func (s *system) start(m *instance, extraArgs ...string) error {
	p, err := s.runner.Start(m.name, filepath.Join(s.dir, m.name+".log"), m.program, slices.Concat(m.args, extraArgs)...)
	m.process = p
	m.starts.Add(1)
	return eris.Wrap(err, "start a process")
}

// startUpstream starts a new stand-in upstream in b, with a new ID and a new proxy.
func (s *system) startUpstream(b *upstream) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen as an upstream")
	}
	if b.proxy, err = proxy.Start("127.0.0.1:0", ln.Addr().String()); err != nil {
		return errors.Join(err, ln.Close())
	}
	s.mu.Lock()
	s.upstreamCount++
	s.lastStartMs++
	b.standin = &standin.Upstream{
		ID: fmt.Sprintf("u-%d", s.upstreamCount), Service: standin.Service, FailureDomain: string(rune('a' + s.upstreamCount%3)), Born: s.lastStartMs,
		AnnouncedAddress: b.proxy.Address(), ControlAddresses: s.controlAddresses(), Journal: s.journal,
	}
	s.domains[b.standin.ID] = b.standin.FailureDomain
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	self := b.standin
	s.group.Go(func() error { return self.Run(ctx, ln) })
	return nil
}

// stop stops all upstreams, proxies and processes and releases the network.
func (s *system) stop() error {
	var errs []error
	for _, b := range s.upstreams {
		b.cancel()
		errs = append(errs, b.proxy.Close())
	}
	for _, entryProxy := range s.entryProxies {
		errs = append(errs, entryProxy.Close())
	}
	for _, m := range s.instances() {
		if m.process != nil && m.process.Running() {
			errs = append(errs, m.process.Signal(syscall.SIGCONT), m.process.Kill())
		}
	}
	errs = append(errs, s.group.Wait(), s.runner.Close(), s.networkLock.Close())
	return errors.Join(errs...)
}
