package daemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/control/server"
	"azuredoor.example/core/event"
	"azuredoor.example/core/metric"
)

// fleet runs control processes on loopback addresses.
type fleet struct {
	t     *testing.T
	dir   string
	port  int
	seeds []string
	group errgroup.Group

	mu      sync.Mutex
	running map[string]*process
}

type process struct {
	stop   context.CancelFunc
	done   chan struct{}
	server *server.Server
}

func newFleet(t *testing.T, seeds ...string) *fleet {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := l.Addr().(*net.TCPAddr).Port
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, dir: t.TempDir(), port: port, seeds: seeds, running: map[string]*process{}}
	t.Cleanup(func() {
		f.mu.Lock()
		processes := f.running
		f.running = map[string]*process{}
		f.mu.Unlock()
		for _, p := range processes {
			p.stop()
		}
		if err := f.group.Wait(); err != nil {
			t.Errorf("control process: got error %v, want none", err)
		}
	})
	return f
}

func (f *fleet) dataDir(ip string) string { return filepath.Join(f.dir, ip) }

func (f *fleet) start(ip string, firstStart bool) {
	f.t.Helper()
	var seeds []string
	for _, seed := range f.seeds {
		seeds = append(seeds, seed+":1")
	}
	ctx, stop := context.WithCancel(f.t.Context())
	p := &process{stop: stop, done: make(chan struct{})}
	f.mu.Lock()
	f.running[ip] = p
	f.mu.Unlock()
	config := &Config{
		Name: "control-" + ip, IP: ip, FailureDomain: "d", Region: "r", Listen: ip + ":0", InternalPorts: fmt.Sprintf("%d,%d", f.port, f.port+1),
		Seeds: strings.Join(seeds, ","), Fleet: "test", DataDir: f.dataDir(ip), FirstStart: firstStart, ToleratedLosses: 2,
		AnnounceEvery: 500 * time.Millisecond, MemoryMegabytes: 256,
		Serve: func(ctx context.Context, listener net.Listener, s *server.Server, _ *metric.Calls, _ *event.Logger) error {
			f.mu.Lock()
			p.server = s
			f.mu.Unlock()
			<-ctx.Done()
			return listener.Close()
		},
	}
	f.group.Go(func() error {
		defer close(p.done)
		return Run(ctx, config, f.newLogger(ip))
	})
}

// stop shuts down a process. Unlike a crash, the shutdown transfers leadership first, which makes no difference to
// these tests.
func (f *fleet) stop(ip string) {
	f.t.Helper()
	f.mu.Lock()
	p := f.running[ip]
	delete(f.running, ip)
	f.mu.Unlock()
	p.stop()
	select {
	case <-p.done:
	case <-time.After(20 * time.Second):
		f.t.Fatalf("control process at %s: did not stop within 20 s", ip)
	}
}

func (f *fleet) removeData(ip string) {
	f.t.Helper()
	if err := os.RemoveAll(f.dataDir(ip)); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) server(ip string) *server.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.running[ip]; p != nil {
		return p.server
	}
	return nil
}

// awaitVoters waits until the process at ip knows a leader, and voters at exactly the addresses in want.
func (f *fleet) awaitVoters(ip string, want ...string) {
	f.t.Helper()
	var got []string
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		s := f.server(ip)
		if s == nil {
			continue
		}
		status := s.Status()
		got = nil
		for _, m := range status.Membership.GetMembers() {
			if host, _, err := net.SplitHostPort(m.Address); err == nil && !m.Learner {
				got = append(got, host)
			}
		}
		if status.Leader != 0 && sameSet(got, want) {
			return
		}
	}
	f.t.Fatalf("voters known to %s: got %v, want %v", ip, got, want)
}

func sameSet(a, b []string) bool {
	seen := map[string]bool{}
	for _, x := range a {
		seen[x] = true
	}
	for _, x := range b {
		if !seen[x] {
			return false
		}
	}
	return len(a) == len(b) && len(seen) == len(a)
}

func (f *fleet) putDocument(ip string, version uint64) {
	f.t.Helper()
	var err error
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		var stored uint64
		stored, err = f.server(ip).PutDocument(ctx, version, fmt.Appendf(nil, "document %d", version))
		cancel()
		if err == nil && stored >= version {
			return
		}
	}
	f.t.Fatalf("put document version %d at %s: %v", version, ip, err)
}

func (f *fleet) checkDocument(ip string, want uint64) {
	f.t.Helper()
	var err error
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		d, readErr := f.server(ip).Document(ctx)
		cancel()
		if err = readErr; err == nil {
			if d.GetVersion() != want || string(d.GetData()) != fmt.Sprintf("document %d", want) {
				f.t.Fatalf("read document at %s: got %v, want version %d", ip, d, want)
			}
			return
		}
	}
	f.t.Fatalf("read document at %s: %v", ip, err)
}

// TestGroupFormationAndMemberReplacement guards against fleets that form two groups or none from their seeds alone,
// members that never rejoin after their disk was lost, members at a new address that never replace lost members, and
// documents that are lost in these changes.
func TestGroupFormationAndMemberReplacement(t *testing.T) {
	t.Parallel()
	a, b, c, d, e, g := "127.0.7.1", "127.0.7.2", "127.0.7.3", "127.0.7.4", "127.0.7.5", "127.0.7.6"
	f := newFleet(t, a, b, c)
	for _, ip := range []string{d, a, e, b, c} {
		f.start(ip, true)
	}
	for _, ip := range []string{a, d, e} {
		f.awaitVoters(ip, a, b, c, d, e)
	}
	f.putDocument(e, 7)

	// Two members lose their disks at the same time; the processes restart at their addresses with empty data
	// directories.
	f.stop(a)
	f.stop(d)
	f.removeData(a)
	f.removeData(d)
	f.start(a, false)
	f.start(d, false)
	f.awaitVoters(b, a, b, c, d, e)
	f.awaitVoters(a, a, b, c, d, e)
	f.checkDocument(a, 7)

	// A member is lost for good, and a process without data starts at another address.
	f.stop(c)
	f.start(g, false)
	f.awaitVoters(b, a, b, d, e, g)
	f.putDocument(g, 9)
	f.checkDocument(d, 9)

	// The replaced member restarts with its old data directory; its old vote must not count.
	f.start(c, false)
	f.awaitVoters(b, a, b, d, e, g)
	f.checkDocument(b, 9)
}

// newLogger returns a logger that appends to a file in the directory AZUREDOOR_TEST_LOGS, or discards all lines if the
// variable is unset.
func (f *fleet) newLogger(ip string) *event.Logger {
	dir := os.Getenv("AZUREDOOR_TEST_LOGS")
	if dir == "" {
		return event.Discard()
	}
	file, err := os.OpenFile(filepath.Join(dir, ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = file.Close() })
	return event.New(event.Options{Writer: file, Name: ip})
}
