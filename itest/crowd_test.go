package itest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/load"
	"azuredoor.example/platform/standin"
)

// These tests run one at a time, because each reads the peak memory of its processes. The crowds are small, and the memory of the
// VMs is lowered to match.
const (
	crowdEntryMegabytes   = 64
	crowdControlMegabytes = 96
	// crowdDescriptors is how many descriptors a process may have open. The settings allow about half as many connections of callers.
	crowdDescriptors = 700
	// crowdSettings has a line for each setting that lowers a limit.
	crowdSettings = "file-descriptors 700\n"
	// crowdTime is how long a crowd sends, or keeps its connections open, before an ordinary caller comes.
	crowdTime = 3 * time.Second
	// bodyLimit is the limit of standin.Document.
	bodyLimit = 1 << 20
)

// behaviour is what one client of a crowd does on a connection. The connection stays open when it returns.
type behaviour func(c net.Conn, i int) error

func head(method, path string, i int, fields ...string) string {
	return standin.RequestHead(method, path, fmt.Sprint("crowd-", i), platformKey, fields...)
}

// endless writes the text again and again until the connection breaks.
func endless(c net.Conn, text string) error {
	fill := []byte(strings.Repeat(text, max(1, 16<<10/len(text))))
	for {
		if _, err := c.Write(fill); err != nil {
			return err
		}
	}
}

// stopShort returns a behaviour that sends all but the last byte of a body in chunks of the given size.
func stopShort(method, path string, length, chunk int) behaviour {
	return func(c net.Conn, i int) error {
		if _, err := io.WriteString(c, head(method, path, i, "Transfer-Encoding: chunked")); err != nil {
			return err
		}
		piece := []byte(strconv.FormatInt(int64(chunk), 16) + "\r\n" + strings.Repeat("x", chunk) + "\r\n")
		pieces := bytes.Repeat(piece, max(1, 16<<10/len(piece)))
		for sent := 0; sent+chunk < length; {
			n := min(len(pieces)/len(piece), (length-1-sent)/chunk)
			if _, err := c.Write(pieces[:n*len(piece)]); err != nil {
				return err
			}
			sent += n * chunk
		}
		return nil
	}
}

// after returns a behaviour that sends a request's head and then the text without end.
func after(method, path, text string, fields ...string) behaviour {
	return func(c net.Conn, i int) error {
		if _, err := io.WriteString(c, head(method, path, i, fields...)); err != nil {
			return err
		}
		return endless(c, text)
	}
}

// readSlowly returns a behaviour that sends a request and reads a byte of the response now and then.
func readSlowly(method, path string) behaviour {
	return func(c net.Conn, i int) error {
		if _, err := io.WriteString(c, head(method, path, i, "Content-Length: 0")); err != nil {
			return err
		}
		for b := make([]byte, 1); ; time.Sleep(100 * time.Millisecond) {
			if _, err := c.Read(b); err != nil {
				return err
			}
		}
	}
}

func sayNothing(net.Conn, int) error { return nil }

func dripHead(c net.Conn, i int) error {
	for _, b := range []byte(head("POST", standin.SafePath+"x", i, strings.Repeat("X-Filler: 1\r\n", 100)+"A: 1")) {
		if _, err := c.Write([]byte{b}); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}

// pipeline sends requests and reads no response.
func pipeline(c net.Conn, i int) error {
	for n := range 2000 {
		if _, err := io.WriteString(c, head("GET", standin.SafePath+"x", i*10_000+n, "X: 1")); err != nil {
			return err
		}
	}
	return nil
}

// startCrowd lets clients behave on connections of their own until stop is called, and start anew as often as given.
func startCrowd(t *testing.T, address string, clients, again int, behave behaviour) (stop func()) {
	t.Helper()
	var group errgroup.Group
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	stopped := make(chan struct{})
	for i := range clients {
		group.Go(func() error {
			for round := range 1 + again {
				c, err := net.DialTimeout("tcp", address, 2*time.Second)
				if err != nil {
					return nil
				}
				mu.Lock()
				open[c] = true
				mu.Unlock()
				_ = behave(c, i)
				if round < again {
					time.Sleep(crowdTime / time.Duration(2*again))
					_ = c.Close()
				}
				select {
				case <-stopped:
					return nil
				default:
				}
			}
			return nil
		})
	}
	return sync.OnceFunc(func() {
		close(stopped)
		mu.Lock()
		for c := range open {
			_ = c.Close()
		}
		mu.Unlock()
		_ = group.Wait()
	})
}

// checkProcess checks that a process lives and has stayed within its memory and descriptors.
func checkProcess(t *testing.T, p *fleet.Process, megabytes int) {
	t.Helper()
	if !p.Running() {
		t.Fatalf("%s has ended", p.Name)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		t.Fatal(err)
	}
	peak := 0
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			if peak, err = strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB"))); err != nil {
				t.Fatal(err)
			}
		}
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: peak memory %d MB, %d descriptors open", p.Name, peak>>10, len(descriptors))
	if peak > megabytes<<10 {
		t.Errorf("%s: got a peak memory of %d MB, want at most %d MB", p.Name, peak>>10, megabytes)
	}
	if len(descriptors) > crowdDescriptors {
		t.Errorf("%s: got %d descriptors open, want at most %d", p.Name, len(descriptors), crowdDescriptors)
	}
}

// startCrowdPlatform starts the platform's programs with lowered limits and an upstream with long responses.
func startCrowdPlatform(t *testing.T) *platform {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "crowd.conf")
	if err := os.WriteFile(settings, []byte(crowdSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("AZUREDOOR_SETTINGS", settings)
	p := startPlatformWith(t, []string{"-memory-megabytes", strconv.Itoa(crowdControlMegabytes)}, []string{"-memory-megabytes", strconv.Itoa(crowdEntryMegabytes)})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	long := bytes.Repeat([]byte("0123456789abcdef"), bodyLimit/16)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		standin.Sign(w.Header(), r.Header)
		switch {
		case strings.HasPrefix(r.URL.Path, standin.StreamPath):
			w.Header().Set("Content-Type", "text/event-stream")
			for i := 1; i <= 64; i++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, long[:16<<10]); err != nil {
					return
				}
			}
		case strings.HasSuffix(r.URL.Path, "long"):
			_, _ = w.Write(long)
		default:
			_, _ = io.WriteString(w, "short")
		}
	})}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ln) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = group.Wait()
	})
	beats := func(sequence int) string { return heartbeatOf(ln.Addr().String(), 1000, sequence) }
	p.await("the upstream in use", func() bool { return p.tell(0, "PUT", "u", beats(1)) == 200 && p.ordinary() == 200 })
	done := make(chan struct{})
	group.Go(func() error {
		for sequence := 2; ; sequence++ {
			select {
			case <-done:
				return nil
			case <-time.After(400 * time.Millisecond):
				for i := range platformControls {
					if p.tell(i, "PUT", "u", beats(sequence)) == 200 {
						break
					}
				}
			}
		}
	})
	t.Cleanup(func() { close(done) })
	return p
}

// ordinary sends one ordinary request to the entry and returns the status of its response.
func (p *platform) ordinary() int {
	var c standin.Caller
	defer c.Close()
	return c.Do(p.entryAddress(), standin.Call{ID: fmt.Sprint("ordinary-", time.Now().UnixNano()), Path: standin.SafePath, Key: platformKey}).Status
}

// TestCrowdAtEntry guards against an entry that runs out of memory or descriptors, or serves nobody, because of clients outside the
// limits.
func TestCrowdAtEntry(t *testing.T) {
	for _, crowd := range []struct {
		name           string
		clients, again int
		behave         behaviour
	}{
		{"bodies that stop short, large chunks", 60, 0, stopShort("POST", standin.UnsafePath+"x", bodyLimit, 32<<10)},
		{"bodies that stop short, small chunks", 60, 0, stopShort("POST", standin.UnsafePath+"x", bodyLimit, 16)},
		{"chunk extensions without end", 60, 0, after("POST", standin.UnsafePath+"x", "x", "Transfer-Encoding: chunked\r\n\r\n5;x")},
		{"trailers without end", 60, 0, after("POST", standin.UnsafePath+"x", "X-Filler: 1\r\n", "Transfer-Encoding: chunked\r\n\r\n0")},
		{"announced far over the limit", 60, 0, after("POST", standin.UnsafePath+"x", "x", "Content-Length: 1073741824")},
		{"announced far over the limit, with Expect", 60, 0, after("POST", standin.UnsafePath+"x", "x", "Content-Length: 1073741824", "Expect: 100-continue")},
		{"sent far over the limit", 60, 0, after("POST", standin.UnsafePath+"x", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n", "Transfer-Encoding: chunked")},
		{"long responses read slowly", 100, 0, readSlowly("GET", standin.SafePath+"long")},
		{"long streams read slowly", 100, 0, readSlowly("GET", standin.StreamPath+"long")},
		{"connections that send nothing", 2000, 0, sayNothing},
		{"heads that drip", 2000, 0, dripHead},
		{"pipelined requests whose responses nobody reads", 40, 0, pipeline},
		{"bodies that stop short, clients that leave and return", 60, 4, stopShort("POST", standin.UnsafePath+"x", bodyLimit, 32<<10)},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			p := startCrowdPlatform(t)
			stop := startCrowd(t, p.entryAddress(), crowd.clients, crowd.again, crowd.behave)
			defer stop()
			time.Sleep(crowdTime)
			checkProcess(t, p.entry, crowdEntryMegabytes)
			p.await("an ordinary request", func() bool { return p.ordinary() == 200 })
			checkProcess(t, p.entry, crowdEntryMegabytes)
		})
	}
}

// TestCrowdAtControl guards against a control process that runs out of memory or descriptors, or serves no operator or upstream,
// because of clients outside the limits.
func TestCrowdAtControl(t *testing.T) {
	const path = "/-/configuration"
	for _, crowd := range []struct {
		name    string
		clients int
		behave  behaviour
	}{
		{"documents that stop short", 20, stopShort("PUT", path, 8<<20, 32<<10)},
		{"documents that stop short, small chunks", 20, stopShort("PUT", path, 4<<20, 16)},
		{"announced far over the limit", 60, after("PUT", path, "x", "Content-Length: 1073741824")},
		{"sent far over the limit", 20, after("PUT", path, "1000\r\n"+strings.Repeat("x", 4096)+"\r\n", "Transfer-Encoding: chunked")},
		{"heartbeats that stop short", 300, stopShort("PUT", "/-/instances/u", 64<<10, 4<<10)},
		{"connections that send nothing", 2000, sayNothing},
		{"heads that drip", 2000, dripHead},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			p := startCrowdPlatform(t)
			stop := startCrowd(t, p.controlAddresses()[0], crowd.clients, 0, crowd.behave)
			defer stop()
			time.Sleep(crowdTime)
			checkProcess(t, p.controls[0], crowdControlMegabytes)
			p.await("a heartbeat", func() bool { return p.tell(0, "PUT", "u2", heartbeatOf("127.0.0.1:9", 1000, 1)) == 200 })
			p.await("the document", func() bool {
				_, ok := standin.ReadVersion(t.Context(), p.controlAddresses()[0])
				return ok
			})
			checkProcess(t, p.controls[0], crowdControlMegabytes)
		})
	}
}

// ownMegabytes is the default memory of a VM of the product's own interface.
const ownMegabytes = 256

// TestCrowdAtOwnInterface guards against an entry of the OpenAI interface, or the operators' API, that runs out of memory or serves
// nobody because of clients outside the limits.
func TestCrowdAtOwnInterface(t *testing.T) {
	const limit = 4 << 20
	b := startFleet(t)
	key := b.Keys[b.deployment.Large]
	own := func(body behaviour) behaviour {
		return func(c net.Conn, i int) error { return body(&replacer{Conn: c, key: key}, i) }
	}
	entry := strings.TrimPrefix(b.EntryURL(0), "http://")
	admin := strings.TrimPrefix(b.AdminURL(0), "http://")
	for _, crowd := range []struct {
		name, address, process string
		clients                int
		behave                 behaviour
	}{
		{"entry: bodies that stop short", entry, "entry-1", 60, own(stopShort("POST", "/v1/completions", limit, 32<<10))},
		{"entry: bodies that stop short, no key", entry, "entry-1", 60, stopShort("POST", "/v1/completions", limit, 32<<10)},
		{"entry: bodies that stop short, small chunks", entry, "entry-1", 60, own(stopShort("POST", "/v1/completions", limit, 64))},
		{"entry: announced far over the limit", entry, "entry-1", 60, own(after("POST", "/v1/completions", "x", "Content-Length: 1073741824"))},
		{"entry: sent far over the limit", entry, "entry-1", 60, own(after("POST", "/v1/completions", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n", "Transfer-Encoding: chunked"))},
		{"operators: bodies that stop short", admin, "control-1", 80, stopShort("POST", "/v1/apply", limit, 32<<10)},
		{"operators: announced far over the limit", admin, "control-1", 80, after("POST", "/v1/apply", "x", "Content-Length: 1073741824")},
		{"operators: sent far over the limit", admin, "control-1", 80, after("POST", "/v1/apply", "1000\r\n"+strings.Repeat("x", 4096)+"\r\n", "Transfer-Encoding: chunked")},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			process := b.Process(crowd.process)
			stop := startCrowd(t, crowd.address, crowd.clients, 0, crowd.behave)
			defer stop()
			time.Sleep(crowdTime)
			checkProcess(t, process, ownMegabytes)
			for i, end := 0, time.Now().Add(20*time.Second); ; i++ {
				err := b.ordinaryAt(crowd.process, fmt.Sprint(crowd.name, i))
				if err == nil {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("an ordinary call: %v", err)
				}
				time.Sleep(100 * time.Millisecond)
			}
			checkProcess(t, process, ownMegabytes)
		})
	}
}

// ordinaryAt makes an ordinary call to a process.
func (b *testFleet) ordinaryAt(process, id string) error {
	if process == "control-1" {
		_, err := b.Get(b.ctx, b.AdminURL(0)+"/v1/status", b.OperatorToken())
		return err
	}
	if got := b.startCalls(b.streamCall(0, b.deployment.Large, id, 3)).wait()[0]; got.Verdict != load.Complete {
		return fmt.Errorf("got %s, status %d, %w", got.Verdict, got.Status, got.Err)
	}
	return nil
}

// replacer replaces the key of the platform in what is written by another one.
type replacer struct {
	net.Conn
	key string
}

// Write implements net.Conn.
func (r *replacer) Write(p []byte) (int, error) {
	if before, rest, ok := bytes.Cut(p, []byte("Bearer "+platformKey+"\r\n")); ok {
		p = bytes.Join([][]byte{before, []byte("Bearer " + r.key + "\r\n"), rest}, nil)
	}
	return r.Conn.Write(p)
}
