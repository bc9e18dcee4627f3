package itest

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/config"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetrpc"
	"azuredoor.example/core/metric"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/web"
	"azuredoor.example/platform/standin"
	"azuredoor.example/platform/wire"
)

// link is the network between an entry and the control group.
type link struct {
	mu sync.Mutex
	// passing is closed while the link passes data.
	passing chan struct{}
}

func newLink() *link {
	l := &link{passing: make(chan struct{})}
	close(l.passing)
	return l
}

// cut holds back all data, in both directions, until restore is called. Connections stay open.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.passing = make(chan struct{})
}

func (l *link) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.passing)
}

// wrap returns a connection over the link.
func (l *link) wrap(c net.Conn) net.Conn {
	return &linkConn{Conn: c, link: l, closed: make(chan struct{})}
}

type linkConn struct {
	net.Conn
	link   *link
	once   sync.Once
	closed chan struct{}
}

// wait returns once the link passes data, or with an error if the connection is closed before.
func (c *linkConn) wait() error {
	c.link.mu.Lock()
	passing := c.link.passing
	c.link.mu.Unlock()
	select {
	case <-passing:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Read implements net.Conn. What arrives while the link is cut is held back.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.wait(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// unlimited is a limiter that admits all requests.
type unlimited struct{}

func (unlimited) Take(string, config.Limit, int64) (bool, time.Duration) { return true, 0 }
func (unlimited) Refund(string, config.Limit, int64)                     {}

// startLinkedEntry starts an entry in this process that reaches the control group over a link, and returns its address.
func (p *platform) startLinkedEntry(l *link) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	var members []string
	for i := range platformControls {
		members = append(members, p.address(11+i, 7500))
	}
	client := control.New(control.Config{
		Name: "linked", PeerAddress: ln.Addr().String(), FailureDomain: "b", Members: members, Decode: wire.Decoder{}.Decode,
		Dialer: fleetrpc.Dialer{Secret: "azuredoor", Wrap: l.wrap}, Events: event.Discard(),
	})
	metrics, pool := metric.New("linked"), conn.NewPool(conn.Options{})
	var group, background errgroup.Group
	router := web.New(web.Config{
		Codec: wire.Codec{}, Control: client, Limiter: unlimited{}, Origins: client, Pool: pool, FailureDomain: "b", FreshFor: 4 * time.Second,
		CurrentFor: 1900 * time.Millisecond, Grace: platformGrace, RetryPercent: 10, RetryFloor: 40, Metrics: metric.NewRequests(metrics.Scope),
		Events: event.Discard(), Background: &background,
	})
	client.OnChange(router.OnChange)
	server := http1.New(http1.Config{Handler: router, Bounds: func() http1.Bounds { return http1.Bounds{} }})
	ctx, cancel := context.WithCancel(context.Background())
	group.Go(func() error { return client.Run(ctx) })
	group.Go(func() error { return server.Serve(ln) })
	p.t.Cleanup(func() {
		cancel()
		server.Close()
		_ = group.Wait()
		_ = background.Wait()
		pool.Close()
		_ = metrics.Close()
	})
	return ln.Addr().String()
}

// beginStreams opens streams at the entry with index 0, until enough have begun at each version, and breaks each after two events. It
// returns the versions by the IDs of the streams.
func (p *platform) beginStreams(versions ...string) map[string]string {
	const enough = 8
	began, count := map[string]string{}, map[string]int{}
	p.await("streams at all versions", func() bool {
		id := fmt.Sprint("first-", len(began))
		response, version, err := p.openStream(id, nil)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		reader := bufio.NewReader(response.Body)
		const linesOfTwoEvents = 6
		for range linesOfTwoEvents {
			if _, err := reader.ReadString('\n'); err != nil {
				return false
			}
		}
		began[id] = version
		count[version]++
		for _, version := range versions {
			if count[version] < enough {
				return false
			}
		}
		return true
	})
	return began
}

// outOfStep starts an entry and returns its address, and functions that bring it out of step with the control group and back.
type outOfStep func(p *platform) (address string, leave, rejoin func())

// cutOff is an entry that is cut off from the control group.
func cutOff(p *platform) (address string, leave, rejoin func()) {
	l := newLink()
	return p.startLinkedEntry(l), l.cut, l.restore
}

// frozen is an entry whose process stands still.
func frozen(p *platform) (address string, leave, rejoin func()) {
	entry := p.startEntryAt(1)
	signal := func(s syscall.Signal) {
		if err := entry.Signal(s); err != nil {
			p.t.Error(err)
		}
	}
	p.t.Cleanup(func() {
		signal(syscall.SIGKILL)
		<-entry.Done()
	})
	return p.address(entryHost+1, platformPort), func() { signal(syscall.SIGSTOP) }, func() { signal(syscall.SIGCONT) }
}

// TestOutOfStepEntryKeepsSoftwareVersions guards against streams that go on at another software version at an entry that was cut off from
// the control group, or stood still, while upstreams of a new version joined. The streams have begun through another entry. Their
// callers take them up again while the entry is out of step, and afterwards until they go on. If no control member remembers where they
// began, they must not go on at all.
func TestOutOfStepEntryKeepsSoftwareVersions(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]outOfStep{"cut off": cutOff, "frozen": frozen} {
		for _, outage := range []time.Duration{time.Second, 4 * time.Second} {
			for _, forgotten := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s for %v, origins forgotten %v", name, outage, forgotten), func(t *testing.T) {
					t.Parallel()
					testOutOfStepEntry(t, start, outage, forgotten)
				})
			}
		}
	}
}

func testOutOfStepEntry(t *testing.T, start outOfStep, outage time.Duration, forgotten bool) {
	p := startPlatform(t)
	p.startVersion("v1")
	address, leave, rejoin := start(p)
	open := func(id string, interrupted *standin.Interrupted) (status int, version string) {
		call := standin.Call{ID: id, Path: standin.StreamPath, Key: platformKey, Events: streamEvents}
		response, version, err := standin.OpenStream(t.Context(), address, call, interrupted)
		if err != nil {
			return 0, ""
		}
		response.Body.Close()
		return response.StatusCode, version
	}
	p.await("the entry to serve", func() bool {
		status, _ := open("probe", nil)
		return status == 200
	})
	leave()
	p.startVersion("v2")
	began := p.beginStreams("v1", "v2")
	if forgotten {
		for i := range platformControls {
			p.restartControl(i)
		}
	}
	// Callers go on for longer than the entry takes to be in step again.
	const rejoinTime = 3 * time.Second
	end := time.Now().Add(outage + rejoinTime)
	rejoining := time.AfterFunc(outage, rejoin)
	defer rejoining.Stop()
	var group errgroup.Group
	var refused, resumed atomic.Int32
	for id, version := range began {
		group.Go(func() error {
			last := 0
			for i := 0; time.Now().Before(end); i++ {
				status, got := open(fmt.Sprint(id, "-", i), &standin.Interrupted{ID: id, LastEvent: 2})
				if status == 200 {
					resumed.Add(1)
					if forgotten || got != version {
						t.Errorf("%s: began at %s and goes on at %s, origins forgotten %v", id, version, got, forgotten)
					}
					return nil
				}
				if status == http.StatusServiceUnavailable {
					refused.Add(1)
				}
				last = status
				time.Sleep(50 * time.Millisecond)
			}
			if last != http.StatusServiceUnavailable {
				t.Errorf("%s: got status %d last, want it to go on or to be refused", id, last)
			}
			return nil
		})
	}
	_ = group.Wait()
	t.Logf("%d of %d streams went on, %d take-ups were refused", resumed.Load(), len(began), refused.Load())
	if !forgotten && int(resumed.Load()) != len(began) {
		t.Errorf("got %d streams that went on, want all %d", resumed.Load(), len(began))
	}
}
