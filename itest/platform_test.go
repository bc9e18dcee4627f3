package itest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
	"azuredoor.example/entry/control"
	"azuredoor.example/platform/standin"
)

const (
	platformControls = 3
	// platformPort is the port for operators, upstreams and callers; platformReadyPort that of readiness checks.
	platformPort, platformReadyPort = 8100, 8101
	platformGrace                   = 4 * time.Second
	platformKey                     = "key"
)

// platform is a running deployment of the platform's programs, with one entry. Each process has its own address.
type platform struct {
	t        *testing.T
	network  string
	controls []*fleet.Process
	entry    *fleet.Process
	// startControl starts the control process with the given index, startEntry the entry, and startEntryAt one with another index.
	startControl func(i int, args ...string) *fleet.Process
	startEntry   func() *fleet.Process
	startEntryAt func(i int) *fleet.Process
}

// restartEntry kills the entry and starts it again. It calls whileDown in between.
func (p *platform) restartEntry(whileDown func()) {
	p.t.Helper()
	if err := p.entry.Signal(syscall.SIGKILL); err != nil {
		p.t.Fatal(err)
	}
	<-p.entry.Done()
	whileDown()
	p.entry = p.startEntry()
}

// restartControl kills a control process and starts it again with its data.
func (p *platform) restartControl(i int) {
	p.t.Helper()
	if err := p.controls[i].Signal(syscall.SIGKILL); err != nil {
		p.t.Fatal(err)
	}
	<-p.controls[i].Done()
	p.controls[i] = p.startControl(i)
}

func (p *platform) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", p.network, host, port)
}

func (p *platform) controlAddresses() []string {
	var addresses []string
	for i := range platformControls {
		addresses = append(addresses, p.address(11+i, platformPort))
	}
	return addresses
}

// entryHost is the host number of the entry with index 0; those of the others follow.
const entryHost = 51

func (p *platform) entryAddress() string { return p.address(entryHost, platformPort) }

// startPlatform starts the processes in a network of their own, 127.N.0.x, and puts the first document.
func startPlatform(t *testing.T) *platform {
	t.Helper()
	return startPlatformWith(t, nil, nil)
}

// startPlatformWith starts the processes with further arguments.
func startPlatformWith(t *testing.T, controlArgs, entryArgs []string) *platform {
	t.Helper()
	p := &platform{t: t}
	for n := 201; n < 250 && p.network == ""; n++ {
		if lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:7999", n)); err == nil {
			p.network = fmt.Sprintf("127.%d.0", n)
			t.Cleanup(func() { _ = lock.Close() })
		}
	}
	dir, runner := t.TempDir(), fleet.NewRunner()
	start := func(role string, host, i int, args ...string) *fleet.Process {
		name := fmt.Sprintf("%s-%d", role, i+1)
		common := []string{
			"-name", name, "-ip", fmt.Sprintf("%s.%d", p.network, host), "-failure-domain", string(rune('a' + i)), "-internal-ports", "7500,7501",
			"-seeds", strings.Join(p.controlAddresses(), ","), "-listen", p.address(host, platformPort),
		}
		process, err := runner.Start(name, filepath.Join(dir, name+".log"), filepath.Join(programDir, "azuredoor-platform-"+role), append(common, args...)...)
		if err != nil {
			t.Fatal(err)
		}
		return process
	}
	p.startControl = func(i int, args ...string) *fleet.Process {
		return start("control", 11+i, i, append([]string{"-data-dir", filepath.Join(dir, fmt.Sprint("data", i)), "-announce-every", "400ms"}, append(args, controlArgs...)...)...)
	}
	for i := range platformControls {
		p.controls = append(p.controls, p.startControl(i, "-first-start=true"))
	}
	p.startEntryAt = func(i int) *fleet.Process {
		host := entryHost + i
		return start("entry", host, i, append([]string{"-ready-listen", p.address(host, platformReadyPort), "-grace", platformGrace.String()}, entryArgs...)...)
	}
	p.startEntry = func() *fleet.Process { return p.startEntryAt(0) }
	p.entry = p.startEntry()
	t.Cleanup(func() {
		for _, process := range append(p.controls, p.entry) {
			_ = process.Signal(syscall.SIGCONT)
			_ = process.Signal(syscall.SIGKILL)
			<-process.Done()
		}
		if err := runner.Close(); err != nil {
			t.Error(err)
		}
	})
	document, err := standin.Document(1, []string{platformKey})
	if err != nil {
		t.Fatal(err)
	}
	p.await("the first document", func() bool {
		acknowledged, _ := standin.PutDocument(t.Context(), p.controlAddresses()[0], document)
		return acknowledged
	})
	return p
}

func (p *platform) await(what string, done func() bool) {
	p.t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%s: not seen within 20 s", what)
		}
	}
}

// startUpstream starts an upstream whose plain requests take the given time.
func (p *platform) startUpstream(work time.Duration, journal *standin.Journal) {
	p.startUpstreamIn("a", work, journal)
}

// startVersion starts an upstream of a software version, whose ID is the version. The function that it returns lets the upstream
// leave.
func (p *platform) startVersion(version string) (leave func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	u := &standin.Upstream{
		ID: version, Version: version, Service: standin.Service, FailureDomain: "a", Born: time.Now().UnixMilli(), AnnouncedAddress: ln.Addr().String(),
		ControlAddresses: p.controlAddresses(), Journal: standin.NewJournal(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return u.Run(ctx, ln) })
	stop := func() {
		cancel()
		_ = group.Wait()
	}
	p.t.Cleanup(stop)
	return func() {
		u.AnnounceDraining(p.t.Context())
		stop()
		u.Withdraw(p.t.Context())
	}
}

// startUpstreamIn starts an upstream in a failure domain, with the ID "u-" and the domain.
func (p *platform) startUpstreamIn(domain string, work time.Duration, journal *standin.Journal) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	u := &standin.Upstream{
		ID: "u-" + domain, Service: standin.Service, FailureDomain: domain, Born: time.Now().UnixMilli(), AnnouncedAddress: ln.Addr().String(),
		ControlAddresses: p.controlAddresses(), Journal: journal, Work: work,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return u.Run(ctx, ln) })
	p.t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
}

// tell makes a call of an upstream to a control process and returns the status, 0 without a response within a second.
func (p *platform) tell(i int, method, id, body string) int {
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.controlAddresses()[i]+"/-/instances/"+id, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func heartbeatOf(address string, born, sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		standin.Service, address, sequence, born)
}

// watch follows the upstreams that the control group knows, through the given control process.
func (p *platform) watch(i int) *control.Client {
	client := control.New(control.Config{
		Name: "watcher", PeerAddress: "127.0.0.1:1", FailureDomain: "a", Members: []string{p.address(11+i, 7500)},
		Dialer: fleetrpc.Dialer{Secret: "azuredoor"}, Events: event.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return client.Run(ctx) })
	p.t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return client
}

// TestLateWithdrawal guards against a withdrawal that a control process reads only after it was stopped, when the upstream has
// withdrawn at another one and runs again under its ID: the upstream must stay in use.
func TestLateWithdrawal(t *testing.T) {
	t.Parallel()
	for frozen := range platformControls {
		t.Run(fmt.Sprint("control process ", frozen+1), func(t *testing.T) {
			p := startPlatform(t)
			other := (frozen + 1) % platformControls
			const address = "127.0.0.1:9"
			p.await("the first start", func() bool { return p.tell(other, "PUT", "u", heartbeatOf(address, 1000, 1)) == 200 })
			if err := p.controls[frozen].Signal(syscall.SIGSTOP); err != nil {
				t.Fatal(err)
			}
			if got := p.tell(frozen, "DELETE", "u", ""); got != 0 {
				t.Fatalf("stopped process: got status %d, want no response", got)
			}
			p.await("the withdrawal", func() bool { return p.tell(other, "DELETE", "u", "") == 200 })
			p.await("the second start", func() bool { return p.tell(other, "PUT", "u", heartbeatOf(address, 2000, 1)) == 200 })
			view := p.watch(other)
			if err := p.controls[frozen].Signal(syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			state := func() *fleetpb.Upstream { return view.View().Upstreams["u"] }
			p.await("the second incarnation", func() bool { return state().GetIncarnation() == 2000 })
			for sequence, end := 2, time.Now().Add(2*time.Second); time.Now().Before(end); sequence++ {
				p.tell(other, "PUT", "u", heartbeatOf(address, 2000, sequence))
				if got := state(); got.State != fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE {
					t.Fatalf("got state %v of incarnation %d, want it in use", got.State, got.Incarnation)
				}
				time.Sleep(100 * time.Millisecond)
			}
			if got := p.tell(frozen, "DELETE", "u", ""); got != 200 {
				t.Errorf("withdrawal of the second incarnation: got status %d, want 200", got)
			}
			p.await("the withdrawal of the second incarnation", func() bool { return state().State == fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING })
		})
	}
}

// TestLeavingUpstreamStaysOut guards against a leaving upstream that gets requests again because it is cut off from the control group,
// so that it counts as down and no longer as leaving.
func TestLeavingUpstreamStaysOut(t *testing.T) {
	t.Parallel()
	p := startPlatform(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var reached atomic.Int64
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		standin.Sign(w.Header(), r.Header)
	})}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ln) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = group.Wait()
	})
	send := func(i int) int {
		var c standin.Caller
		defer c.Close()
		return c.Do(p.entryAddress(), standin.Call{ID: fmt.Sprint("r", i), Path: standin.SafePath, Key: platformKey}).Status
	}
	ready := heartbeatOf(ln.Addr().String(), 1000, 1)
	p.await("the upstream in use", func() bool { return p.tell(0, "PUT", "u", ready) == 200 && send(0) == 200 })
	draining := strings.Replace(heartbeatOf(ln.Addr().String(), 1000, 1_000_000), "ready", "draining", 1)
	p.await("the upstream that leaves", func() bool { return p.tell(0, "PUT", "u", draining) == 200 })
	view := p.watch(0)
	p.await("the upstream down", func() bool {
		return view.View().Upstreams["u"].GetState() == fleetpb.UpstreamState_UPSTREAM_STATE_DOWN
	})
	before := reached.Load()
	for i := range 20 {
		if got := send(1 + i); got != 503 {
			t.Errorf("request %d: got status %d, want 503", i, got)
		}
	}
	if got := reached.Load() - before; got != 0 {
		t.Errorf("got %d requests at the upstream that leaves, want none", got)
	}
}

// TestOddHeartbeats guards against control processes that end, stop serving, or use an upstream, because of a heartbeat that no
// upstream sends.
func TestOddHeartbeats(t *testing.T) {
	t.Parallel()
	p := startPlatform(t)
	sound := func(sequence int) string { return heartbeatOf("127.0.0.1:9", 1000, sequence) }
	p.await("a sound upstream", func() bool { return p.tell(0, "PUT", "sound", sound(1)) == 200 })
	deep := strings.Repeat(`{"a":`, 200_000) + "1" + strings.Repeat("}", 200_000)
	with := func(old, replacement string) string { return strings.Replace(sound(1), old, replacement, 1) }
	for name, test := range map[string]struct{ id, body string }{
		"nested deeply":              {"odd", `{"state":` + strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000) + "}"},
		"nested deeply, too long":    {"odd", deep},
		"endless number":             {"odd", with(`"slots":8`, `"slots":1e999`)},
		"too many slots":             {"odd", with(`"slots":8`, `"slots":4294967295`)},
		"negative slots":             {"odd", with(`"slots":8`, `"slots":-1`)},
		"no slots":                   {"odd", with(`"slots":8`, `"slots":0`)},
		"largest sequence":           {"odd", with(`"sequence":1`, `"sequence":18446744073709551615`)},
		"sequence too large":         {"odd", with(`"sequence":1`, `"sequence":18446744073709551616`)},
		"born in the future":         {"odd", with(`"born":1000`, `"born":18446744073709551615`)},
		"port out of range":          {"odd", with("127.0.0.1:9", "127.0.0.1:70000")},
		"port 0":                     {"odd", with("127.0.0.1:9", "127.0.0.1:0")},
		"no host":                    {"odd", with("127.0.0.1:9", ":9")},
		"any host":                   {"odd", with("127.0.0.1:9", "0.0.0.0:9")},
		"many hosts":                 {"odd", with("127.0.0.1:9", "224.0.0.1:9")},
		"a name for a host":          {"odd", with("127.0.0.1:9", "localhost:9")},
		"ID that is no text":         {"%ff%fe", sound(1)},
		"ID that is too long":        {strings.Repeat("x", 300), sound(1)},
		"zone that is too long":      {"odd", with(`"zone":"a"`, `"zone":"`+strings.Repeat("z", 300)+`"`)},
		"bytes that can't be read":   {"odd", "\x00\xff\xfe{"},
		"no object":                  {"odd", "[]"},
		"null":                       {"odd", "null"},
		"second value":               {"odd", sound(1) + sound(1)},
		"service of another type":    {"odd", with(`"service":"desk"`, `"service":7`)},
		"state that nobody knows":    {"odd", with(`"state":"ready"`, `"state":"resting"`)},
		"zone that can't be decoded": {"odd", with(`"zone":"a"`, "\"zone\":\"\xff\"")},
	} {
		got := p.tell(0, "PUT", test.id, test.body)
		// A zone is replaced text, as JSON defines it; the other fields decide whether the upstream is used.
		if want := 400; got != want && name != "nested deeply, too long" && name != "zone that can't be decoded" || got/100 == 5 {
			t.Errorf("%s: got status %d, want %d", name, got, want)
		}
	}
	if got := p.tell(0, "DELETE", "%ff", ""); got/100 != 2 && got/100 != 4 {
		t.Errorf("withdrawal of an ID that is no text: got status %d, want a clear response", got)
	}
	view := p.watch(1)
	p.await("the sound upstream", func() bool { return view.View().Upstreams["sound"] != nil })
	for i := range p.controls {
		if !p.controls[i].Running() {
			t.Errorf("control process %d has ended", i+1)
		}
		if got := p.tell(i, "PUT", "sound", sound(2+i)); got != 200 {
			t.Errorf("control process %d: got status %d for a sound heartbeat, want 200", i+1, got)
		}
	}
}

// TestPlannedStopOfEntry guards against requests that an entry takes late in its grace period, passes on, and cuts without a
// response when it ends. Callers keep using their connections, and open new ones, until the process is gone.
func TestPlannedStopOfEntry(t *testing.T) {
	t.Parallel()
	p := startPlatform(t)
	journal := standin.NewJournal()
	p.startUpstream(700*time.Millisecond, journal)
	p.await("a request served", func() bool {
		var c standin.Caller
		defer c.Close()
		return c.Do(p.entryAddress(), standin.Call{ID: fmt.Sprint("first-", time.Now().UnixNano()), Path: standin.SafePath, Key: platformKey}).Status == 200
	})
	var group errgroup.Group
	var mu sync.Mutex
	lost, served, late := 0, 0, 0
	var stopped time.Time
	for n := range 16 {
		group.Go(func() error {
			var c standin.Caller
			defer c.Close()
			for i := 0; p.entry.Running(); i++ {
				call := standin.Call{ID: fmt.Sprintf("r%d-%d", n, i), Path: standin.UnsafePath, Key: platformKey}
				sent := time.Now()
				got := c.Do(p.entryAddress(), call)
				mu.Lock()
				switch {
				case got.Status == 200 && got.Complete && got.ContentError == "":
					served++
					if !stopped.IsZero() && sent.After(stopped) {
						late++
					}
				case !got.Complete && journal.Run(call.ID).Starts > 0:
					lost++
					t.Errorf("request %s, sent %v after the stop signal, ran and got no response: %v", call.ID, sent.Sub(stopped).Round(time.Millisecond), got.Err)
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
			return nil
		})
	}
	time.Sleep(time.Second)
	mu.Lock()
	stopped = time.Now()
	mu.Unlock()
	if err := p.entry.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.entry.Done():
	case <-time.After(platformGrace + 3*time.Second):
		t.Error("the entry has not ended by the end of its grace period")
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if served < 16 || late == 0 {
		t.Errorf("got %d requests served, %d of them sent after the signal, want the load to cover the stop", served, late)
	}
	t.Logf("%d served, %d sent after the signal, %d lost", served, late, lost)
}
