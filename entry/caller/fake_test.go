package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/config"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/metric"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/engine"
	"azuredoor.example/entry/naive"
	"azuredoor.example/entry/relay"
	"azuredoor.example/entry/service"
)

const testKey = "key-of-the-workshop-0123456789"

// fakeControl implements Control.
type fakeControl struct {
	view  atomic.Pointer[control.View]
	stale atomic.Bool
}

func (f *fakeControl) View() *control.View       { return f.view.Load() }
func (f *fakeControl) Fresh() bool               { return !f.stale.Load() }
func (f *fakeControl) SessionID() (uint64, bool) { return 7, true }

// fakeEngine implements the engine protocol. Output token i is " t<i>".
type fakeEngine struct {
	*httptest.Server
	id string

	mu             sync.Mutex
	requestsByPath map[string]int
	// received holds the URL, headers and body of each request.
	received        strings.Builder
	cancelled       map[string]time.Time
	prefillClosedAt time.Time
	prefillDelay    time.Duration
	// decode, if set, handles the decode calls.
	decode             func(w http.ResponseWriter, r *http.Request, d map[string]any, call int)
	decodeCalls        int
	rejectReservations bool
}

func newFakeEngine(t *testing.T, id string) *fakeEngine {
	e := &fakeEngine{id: id, requestsByPath: map[string]int{}, cancelled: map[string]time.Time{}}
	e.Server = httptest.NewServer(e)
	t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	return e
}

func (e *fakeEngine) count(path string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requestsByPath[path]
}

func (e *fakeEngine) receivedText() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received.String()
}

func (e *fakeEngine) cancelledAt(id string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled[id]
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var fields map[string]any
	_ = json.Unmarshal(body, &fields)
	e.mu.Lock()
	e.requestsByPath[r.URL.Path]++
	fmt.Fprintf(&e.received, "%s %v %s\n", r.URL, r.Header, body)
	delay, reject, decode := e.prefillDelay, e.rejectReservations, e.decode
	if r.URL.Path == "/v1/decode" {
		e.decodeCalls++
	}
	call := e.decodeCalls
	e.mu.Unlock()
	switch r.URL.Path {
	case "/v1/reserve":
		if reject {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, `{"slot":3,"expiresInMs":1000}`)
	case "/v1/prefill":
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			e.mu.Lock()
			e.prefillClosedAt = time.Now()
			e.mu.Unlock()
			return
		}
		fmt.Fprint(w, `{"handle":"h1","promptTokens":2,"cachedTokens":0,"kvBytes":100,"expiresInMs":800}`)
	case "/v1/decode":
		if decode != nil {
			decode(w, r, fields, call)
			return
		}
		writeTokens(w, fields, int(fields["maxTokens"].(float64)))
	case "/v1/cancel":
		e.mu.Lock()
		e.cancelled[fields["requestId"].(string)] = time.Now()
		e.mu.Unlock()
		fmt.Fprint(w, `{"cancelled":1}`)
	}
}

// writeTokens writes the tokens from startAt up to end, and the final event if end is maxTokens.
func writeTokens(w http.ResponseWriter, d map[string]any, end int) {
	for i := int(d["startAt"].(float64)); i < end; i++ {
		writeToken(w, d, i)
	}
	if end == int(d["maxTokens"].(float64)) {
		fmt.Fprintf(w, "data: {\"requestId\":%q,\"attempt\":%v,\"done\":true,\"finishReason\":\"length\",\"tokens\":%d}\n\n", d["requestId"], d["attempt"], end)
	}
}

func writeToken(w http.ResponseWriter, d map[string]any, offset int) {
	fmt.Fprintf(w, "data: {\"requestId\":%q,\"attempt\":%v,\"offset\":%d,\"text\":\" t%d\"}\n\n", d["requestId"], d["attempt"], offset, offset)
	w.(http.Flusher).Flush()
}

func expectedText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, " t%d", i)
	}
	return b.String()
}

// fakeClaims implements relay.Claims.
type fakeClaims struct {
	mu      sync.Mutex
	records map[string]*fleetpb.CompleteRequest
	hashes  map[string][]byte
	// loseResponses is 1 to record the next claim but fail its call, and then -1 until the claim is sent again.
	loseResponses int
}

type fixture struct {
	*Server
	control *fakeControl
	policy  *naive.Policy
	claims  *fakeClaims
	address string
	served  chan error
}

const testConfig = `{
 "profile/deferrable": {"firstTokenTarget":"2s","requestTimeout":"20s","queueTimeout":"10s","priority":1,"repeatRule":"idempotent","customerLimit":{"tokensPerSecond":100000,"burstTokens":100000},"requestTokens":1},
 "profile/booking": {"firstTokenTarget":"500ms","requestTimeout":"2s","queueTimeout":"1s","priority":9,"repeatRule":"nonIdempotent","answerRetention":"1h","customerLimit":{"tokensPerSecond":100000,"burstTokens":100000},"requestTokens":1},
 "customer/workshop": {"weight":1},
 "key/first": {"customer":"workshop","sha256":"` + "%s" + `"},
 "pool/readers": {"kind":"engine","models":["m"]},
 "pool/desk": {"kind":"service"},
 "route/readers": {"models":["m"],"profile":"deferrable","pool":"readers"},
 "pool/once": {"kind":"engine","models":["once"]},
 "route/once": {"models":["once"],"profile":"booking","pool":"readers"},
 "route/open": {"models":["open"],"profile":"deferrable","pool":"readers","open":true},
 "route/bookings": {"pathPrefix":"/bookings","profile":"booking","pool":"desk"},
 "route/stock": {"pathPrefix":"/stock","profile":"deferrable","pool":"desk"}
}`

func newView(t testing.TB, upstreams ...*fleetpb.Upstream) *control.View {
	t.Helper()
	var objects map[string]json.RawMessage
	if err := json.Unmarshal(fmt.Appendf(nil, testConfig, hashKey([]byte(testKey))), &objects); err != nil {
		t.Fatal(err)
	}
	var changes []config.Change
	for path, data := range objects {
		kind, name, _ := strings.Cut(path, "/")
		spec, err := config.Decode(kind, name, data)
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes, config.Change{Kind: kind, Name: name, Spec: spec})
	}
	set, err := config.NewSet().Apply(changes)
	if err != nil {
		t.Fatal(err)
	}
	view := &control.View{Config: set, Upstreams: map[string]*fleetpb.Upstream{}}
	for _, u := range upstreams {
		view.Upstreams[u.Id] = u
	}
	return view
}

func (e *fakeEngine) upstream(role string, slots uint32) *fleetpb.Upstream {
	return e.upstreamAt(e.Listener.Addr().String(), role, slots)
}

func (e *fakeEngine) upstreamAt(address, role string, slots uint32) *fleetpb.Upstream {
	return &fleetpb.Upstream{
		Id: e.id, Address: address, Kind: "engine", Role: role, Pool: "readers", Models: []string{"m", "open", "once"},
		Slots: slots, State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE,
	}
}

func serviceUpstream(id, address string) *fleetpb.Upstream {
	return &fleetpb.Upstream{Id: id, Address: address, Kind: "service", Pool: "desk", State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE}
}

func newFixture(t testing.TB, change func(o *Options), upstreams ...*fleetpb.Upstream) *fixture {
	t.Helper()
	f := &fixture{control: &fakeControl{}, policy: naive.New(func() int { return 1 }), claims: &fakeClaims{}, served: make(chan error, 1)}
	view := newView(t, upstreams...)
	f.control.view.Store(view)
	f.policy.SetUpstreams(view.Upstreams, view.Config)
	metrics := metric.NewRequests(metric.New("test"))
	pool := conn.NewPool(conn.Options{})
	background := &errgroup.Group{}
	r := relay.New(relay.Options{
		Policy: f.policy, Engines: engine.NewClient(pool, engine.Options{ReadTimeout: time.Second}), Services: service.NewClient(pool),
		Claims: f.claims, Metrics: metrics, Log: event.Discard(), Background: background, TransferBaseTimeout: 500 * time.Millisecond,
	})
	options := Options{Control: f.control, Relay: r, Metrics: metrics, Log: event.Discard(), DrainDelay: 50 * time.Millisecond}
	if change != nil {
		change(&options)
	}
	f.Server = New(options)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = ln.Addr().String()
	serving := &errgroup.Group{}
	serving.Go(func() error {
		f.served <- f.Serve(ln)
		return nil
	})
	t.Cleanup(func() {
		ctx, cancel := contextWithTimeout(t, 100*time.Millisecond)
		defer cancel()
		_ = f.Shutdown(ctx)
		_ = serving.Wait()
		_ = background.Wait()
	})
	return f
}

type testResponse struct {
	status int
	header http.Header
	body   string
}

func (f *fixture) do(t *testing.T, method, path, body string, headers ...string) testResponse {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+f.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("reading the response: %v", err)
	}
	return testResponse{response.StatusCode, response.Header, string(data)}
}

// streamText returns the text of a streamed response and whether the response ended with [DONE].
func streamText(t *testing.T, body string) (text string, done bool) {
	t.Helper()
	for scanner := bufio.NewScanner(strings.NewReader(body)); scanner.Scan(); {
		content, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(content) == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal(content, &chunk); err != nil {
			t.Fatalf("decoding chunk %s: %v", content, err)
		}
		for _, c := range chunk.Choices {
			text += c.Text + c.Delta.Content
		}
	}
	return text, false
}
