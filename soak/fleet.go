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
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/proxy"
	"azuredoor.example/platform/standin"
)

// Ports of the programs; VMs differ in their addresses.
const (
	listenPort = 8100
	readyPort  = 8101
	groupPorts = "7500,7501"
	// firstNetwork and lastNetwork bound N of the addresses 127.N.0.x; each soak takes a free one.
	firstNetwork = 32
	lastNetwork  = 200
	lockPort     = 7999
)

const (
	// grace is how long a process may go on after a stop signal, graceSlack what a busy machine may add.
	grace      = 4 * time.Second
	graceSlack = 2 * time.Second
)

// machine is one process of the system, which may be down, and what it is started with.
type machine struct {
	name, program string
	args          []string
	process       *fleet.Process
	// busy is held while a fault acts on the machine.
	busy sync.Mutex
}

// backEnd is one upstream behind a proxy.
type backEnd struct {
	proxy  *proxy.Proxy
	cancel context.CancelFunc
	self   *standin.Upstream
	busy   sync.Mutex
}

// system is everything that runs in a soak.
type system struct {
	dir      string
	bin      string
	network  int
	lock     net.Listener
	runner   *fleet.Runner
	controls []*machine
	entries  []*machine
	// doors are the proxies in front of the entries, which callers connect to.
	doors    []*proxy.Proxy
	backEnds []*backEnd
	journal  *standin.Journal
	group    errgroup.Group
	born     int64
	serial   int
	mu       sync.Mutex
}

func (s *system) host(n int) string { return fmt.Sprintf("127.%d.0.%d", s.network, n) }

func (s *system) address(n, port int) string { return net.JoinHostPort(s.host(n), fmt.Sprint(port)) }

// controlAddresses are where the operator and upstreams reach the control group.
func (s *system) controlAddresses() []string {
	addresses := make([]string, 0, len(s.controls))
	for i := range s.controls {
		addresses = append(addresses, s.address(11+i, listenPort))
	}
	return addresses
}

// Build builds the programs of the system from the folder of the repository.
func Build(ctx context.Context, root, bin string) error {
	if err := os.MkdirAll(bin, 0o755); err != nil {
		return eris.Wrap(err, "make the folder for programs")
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", bin+"/", "./platform/cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return eris.Errorf("build the programs: %v: %s", err, out)
	}
	return nil
}

// machines are the processes of the system.
func (s *system) machines() []*machine { return slices.Concat(s.controls, s.entries) }

func startSystem(o Options) (*system, error) {
	s := &system{dir: o.Dir, bin: o.Bin, runner: fleet.NewRunner(), journal: standin.NewJournal(), born: time.Now().UnixMilli()}
	for s.network = firstNetwork; s.network <= lastNetwork; s.network++ {
		lock, err := net.Listen("tcp", s.address(1, lockPort))
		if err == nil {
			s.lock = lock
			break
		}
	}
	if s.lock == nil {
		return nil, eris.New("no free network: other soaks run there")
	}
	s.controls = make([]*machine, o.Controls)
	for i := range s.controls {
		s.controls[i] = s.machine("control", 11+i, i, "azuredoor-platform-control",
			"-listen", s.address(11+i, listenPort), "-data-dir", filepath.Join(o.Dir, fmt.Sprintf("data-%d", i+1)), "-tolerated-losses", "2",
			"-announce-every", "400ms")
	}
	for i := range o.Entries {
		s.entries = append(s.entries, s.machine("entry", 51+i, i, "azuredoor-platform-entry",
			"-listen", s.address(51+i, listenPort), "-ready-listen", s.address(51+i, readyPort), "-grace", grace.String(), "-revocation", revocation.String(),
			"-retry-ratio", "1", "-retry-slack", "1000000"))
	}
	for _, m := range s.controls {
		// Only the start of the whole fleet forms a group.
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
		door, err := proxy.Start("127.0.0.1:0", s.address(51+i, listenPort))
		if err != nil {
			return s, eris.Wrap(err, "start a proxy")
		}
		s.doors = append(s.doors, door)
	}
	for range o.Upstreams {
		b := &backEnd{}
		if err := s.startBackEnd(b); err != nil {
			return s, err
		}
		s.backEnds = append(s.backEnds, b)
	}
	return s, nil
}

func (s *system) machine(role string, host, i int, program string, args ...string) *machine {
	seeds := make([]string, 0, 3)
	for n := range min(3, len(s.controls)) {
		seeds = append(seeds, s.address(11+n, listenPort))
	}
	m := &machine{name: fmt.Sprintf("%s-%d", role, i+1), program: filepath.Join(s.bin, program)}
	m.args = append([]string{
		"-name", m.name, "-ip", s.host(host), "-failure-domain", string(rune('a' + i%3)), "-region", "r", "-internal-ports", groupPorts,
		"-seeds", strings.Join(seeds, ","), "-memory-megabytes", "200",
	}, args...)
	return m
}

func (s *system) start(m *machine, more ...string) error {
	p, err := s.runner.Start(m.name, filepath.Join(s.dir, m.name+".log"), m.program, slices.Concat(m.args, more)...)
	m.process = p
	return eris.Wrap(err, "start a process")
}

// startBackEnd starts an upstream under a new ID and a new proxy.
func (s *system) startBackEnd(b *backEnd) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen as an upstream")
	}
	if b.proxy, err = proxy.Start("127.0.0.1:0", ln.Addr().String()); err != nil {
		return errors.Join(err, ln.Close())
	}
	s.mu.Lock()
	s.serial++
	s.born++
	b.self = &standin.Upstream{
		ID: fmt.Sprintf("u-%d", s.serial), Service: standin.Service, FailureDomain: string(rune('a' + s.serial%3)), Born: s.born,
		Announced: b.proxy.Address(), Controls: s.controlAddresses(), Journal: s.journal,
	}
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	self := b.self
	s.group.Go(func() error { return self.Run(ctx, ln) })
	return nil
}

// stop ends everything that was started.
func (s *system) stop() error {
	var errs []error
	for _, b := range s.backEnds {
		b.cancel()
		errs = append(errs, b.proxy.Close())
	}
	for _, door := range s.doors {
		errs = append(errs, door.Close())
	}
	for _, m := range s.machines() {
		if m.process != nil && m.process.Running() {
			errs = append(errs, m.process.Signal(syscall.SIGCONT), m.process.Kill())
		}
	}
	errs = append(errs, s.group.Wait(), s.runner.Close(), s.lock.Close())
	return errors.Join(errs...)
}
