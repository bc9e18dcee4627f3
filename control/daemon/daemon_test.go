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

// fleet runs control processes on addresses of the loopback range.
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
		all := f.running
		f.running = map[string]*process{}
		f.mu.Unlock()
		for _, p := range all {
			p.stop()
		}
		if err := f.group.Wait(); err != nil {
			t.Errorf("a process ended with %v", err)
		}
	})
	return f
}

func (f *fleet) dataDir(ip string) string { return filepath.Join(f.dir, ip) }

func (f *fleet) start(ip string, first bool) {
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
		Seeds: strings.Join(seeds, ","), Fleet: "test", DataDir: f.dataDir(ip), FirstStart: first, ToleratedLosses: 2,
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
		return Run(ctx, config, f.events(ip))
	})
}

// kill stops a process; unlike a crash it hands over first, which changes nothing that these tests look at.
func (f *fleet) kill(ip string) {
	f.t.Helper()
	f.mu.Lock()
	p := f.running[ip]
	delete(f.running, ip)
	f.mu.Unlock()
	p.stop()
	select {
	case <-p.done:
	case <-time.After(20 * time.Second):
		f.t.Fatalf("%s does not stop", ip)
	}
}

func (f *fleet) wipe(ip string) {
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

// await waits until the group that a process knows has voters at exactly these addresses, and a leader.
func (f *fleet) await(ip string, want ...string) {
	f.t.Helper()
	var got []string
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
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

func (f *fleet) put(ip string, version uint64) {
	f.t.Helper()
	var err error
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		var held uint64
		held, err = f.server(ip).PutDocument(ctx, version, fmt.Appendf(nil, "document %d", version))
		cancel()
		if err == nil && held >= version {
			return
		}
	}
	f.t.Fatalf("put %d at %s: %v", version, ip, err)
}

func (f *fleet) read(ip string, want uint64) {
	f.t.Helper()
	var err error
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		d, failed := f.server(ip).Document(ctx)
		cancel()
		if err = failed; err == nil {
			if d.GetVersion() != want || string(d.GetData()) != fmt.Sprintf("document %d", want) {
				f.t.Fatalf("read at %s: got %v, want version %d", ip, d, want)
			}
			return
		}
	}
	f.t.Fatalf("read at %s: %v", ip, err)
}

// TestGroupFindsItself guards against fleets that form two groups or none from their seeds alone, members that never
// return after their disk was lost, members at a new address that never replace those that are gone, and documents that
// are lost on the way.
func TestGroupFindsItself(t *testing.T) {
	t.Parallel()
	a, b, c, d, e, g := "127.0.7.1", "127.0.7.2", "127.0.7.3", "127.0.7.4", "127.0.7.5", "127.0.7.6"
	f := newFleet(t, a, b, c)
	for _, ip := range []string{d, a, e, b, c} {
		f.start(ip, true)
	}
	for _, ip := range []string{a, d, e} {
		f.await(ip, a, b, c, d, e)
	}
	f.put(e, 7)

	// Two members lose their disks at once; the processes come back at their addresses with empty folders.
	f.kill(a)
	f.kill(d)
	f.wipe(a)
	f.wipe(d)
	f.start(a, false)
	f.start(d, false)
	f.await(b, a, b, c, d, e)
	f.await(a, a, b, c, d, e)
	f.read(a, 7)

	// A member is gone for good, and an empty one comes at another address.
	f.kill(c)
	f.start(g, false)
	f.await(b, a, b, d, e, g)
	f.put(g, 9)
	f.read(d, 9)

	// The member that was replaced returns with its old folder; it must not count with its old votes.
	f.start(c, false)
	f.await(b, a, b, d, e, g)
	f.read(b, 9)
}

// events writes the processes' logs into the folder of AZUREDOOR_TEST_LOGS, if it is set.
func (f *fleet) events(ip string) *event.Logger {
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
