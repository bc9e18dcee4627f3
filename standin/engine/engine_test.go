package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/standin/answer"
	"azuredoor.example/standin/fault"
	"azuredoor.example/standin/journal"
)

// testEngine is an engine with its HTTP server.
type testEngine struct {
	*Engine
	url    string
	faults *fault.Set
}

func startEngine(t *testing.T, role string, change func(*Config)) testEngine {
	t.Helper()
	faults := fault.NewSet()
	server := httptest.NewUnstartedServer(nil)
	config := Config{
		ID: role, Address: server.Listener.Addr().String(), Role: role, Models: []string{"m"}, Slots: 3, PrefillRate: 100000,
		TokenGap: 2 * time.Millisecond, BatchCost: 1, Batch: 3, CacheBlocks: 8, KVBytesPerToken: 1024, LinkRate: 100 << 20,
		PrefillTTL: 200 * time.Millisecond, ReserveTTL: time.Second, ResumeTTL: 300 * time.Millisecond, PullTimeout: 200 * time.Millisecond,
		Incarnation: 1, Faults: faults, Log: journal.New(role, nil), SinceLeaving: func() time.Duration { return 0 },
	}
	if change != nil {
		change(&config)
	}
	e := New(config)
	server.Config.Handler = faults.Handler(NewServer(e).Handler())
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return testEngine{e, server.URL, faults}
}

// reply is a response whose body is closed at the end of the test.
type reply struct {
	status int
	body   io.Reader
}

func post(ctx context.Context, t *testing.T, url string, body any) reply {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return reply{response.StatusCode, response.Body}
}

func prefill(t *testing.T, p testEngine, id, prompt string) prefillResponse {
	t.Helper()
	response := post(t.Context(), t, p.url+"/v1/prefill", prefillRequest{RequestID: id, Attempt: 1, Model: "m", Prompt: prompt})
	var result prefillResponse
	if err := json.NewDecoder(response.body).Decode(&result); err != nil || response.status != http.StatusOK {
		t.Fatalf("prefill got status %d, error %v", response.status, err)
	}
	return result
}

// readStream reads up to limit tokens of a stream, or all tokens if limit is 0. It returns their text and number, and
// whether the end message was received.
func readStream(t *testing.T, response reply, limit int) (text string, tokens int, done bool) {
	t.Helper()
	lines := bufio.NewScanner(response.body)
	for (limit == 0 || tokens < limit) && lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		var event struct {
			Text string
			Done bool
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatal(err)
		}
		if event.Done {
			return text, tokens, true
		}
		text += event.Text
		tokens++
	}
	return text, tokens, false
}

func waitFor(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("%s did not happen within 5 s", what)
}

// TestDecodeCompleteOutput guards against lost tokens, and against slots and KV memory that stay in use after the end.
func TestDecodeCompleteOutput(t *testing.T) {
	pre, dec := startEngine(t, RolePrefill, nil), startEngine(t, RoleDecode, nil)
	prompt := strings.Repeat("felt ", 2100) + "len=40"
	first := prefill(t, pre, "7-1", prompt)
	response := post(t.Context(), t, dec.url+"/v1/decode", decodeRequest{
		RequestID: "7-1", Attempt: 1, Model: "m", Prompt: prompt, KV: kvSource{pre.config.Address, first.Handle},
	})
	text, _, done := readStream(t, response, 0)
	if want := answer.Text("m", prompt, 0); text != want || !done {
		t.Errorf("got %q, done %v, want %q", text, done, want)
	}
	if again := prefill(t, pre, "7-2", prompt); again.CachedTokens != 2048 {
		t.Errorf("second prefill got %d cached tokens, want 2048", again.CachedTokens)
	}
	waitFor(t, "release", func() bool { return pre.Idle() && dec.Idle() })
	if got := pre.Stats().WastedPrefillTokens; got != 2101 {
		t.Errorf("wasted prefill tokens got %d, want 2101 of the result that was not pulled", got)
	}
}

// TestResumeAndRelease guards against a stream that loses or repeats tokens after its connection breaks, and against a
// slot that stays in use after the caller disconnects.
func TestResumeAndRelease(t *testing.T) {
	e := startEngine(t, RoleBoth, nil)
	prompt := "net len=60"
	e.faults.Put(fault.Fault{Kind: fault.DropStream, Tokens: 10, Count: 1})
	decode := decodeRequest{
		RequestID: "7-1", Attempt: 1, Model: "m", Prompt: prompt, KV: kvSource{e.config.Address, prefill(t, e, "7-1", prompt).Handle},
	}
	text, tokens, done := readStream(t, post(t.Context(), t, e.url+"/v1/decode", decode), 0)
	if tokens != 10 || done {
		t.Fatalf("got %d tokens, done %v, want the connection to break after 10", tokens, done)
	}
	rest, _, done := readStream(t, post(t.Context(), t, e.url+"/v1/decode", decodeRequest{
		RequestID: "7-1", Attempt: 2, Model: "m", Prompt: prompt, Resume: true, StartAt: tokens,
	}), 0)
	if got, want := text+rest, answer.Text("m", prompt, 0); got != want || !done {
		t.Errorf("resumed text got %q, done %v, want %q", got, done, want)
	}
	ctx, cancel := context.WithCancel(t.Context())
	decode.RequestID, decode.KV.Handle = "7-2", prefill(t, e, "7-2", prompt).Handle
	readStream(t, post(ctx, t, e.url+"/v1/decode", decode), 5)
	cancel()
	waitFor(t, "release of the slot after the connection broke", e.Idle)
	if got := e.Stats(); got.SlotsInUse != 0 || got.KVBytesHeld != 0 {
		t.Errorf("got %d slots and %d KV bytes in use, want none", got.SlotsInUse, got.KVBytesHeld)
	}
}

// TestCancelByOwner guards against a cancel that leaves reservations, prefills, prefill results or streams of the owner
// active.
func TestCancelByOwner(t *testing.T) {
	e := startEngine(t, RoleBoth, func(c *Config) { c.PrefillTTL, c.ReserveTTL = time.Minute, time.Minute })
	prompt := "net len=2000"
	decode := decodeRequest{
		RequestID: "7-1", Attempt: 1, Model: "m", Prompt: prompt, KV: kvSource{e.config.Address, prefill(t, e, "7-1", prompt).Handle},
	}
	stream := post(t.Context(), t, e.url+"/v1/decode", decode)
	readStream(t, stream, 3)
	prefill(t, e, "7-2", prompt)
	post(t.Context(), t, e.url+"/v1/reserve", reserveRequest{RequestID: "7-3", Attempt: 1, Model: "m"})
	post(t.Context(), t, e.url+"/v1/reserve", reserveRequest{RequestID: "70-1", Attempt: 1, Model: "m"})
	if got := len(e.Requests("7")); got != 3 {
		t.Errorf("owner 7 has %d steps of active work, want 3", got)
	}
	if got := e.Cancel("", "7"); got != 3 {
		t.Errorf("cancelled %d steps, want 3", got)
	}
	if _, _, done := readStream(t, stream, 0); done {
		t.Error("the cancelled stream got an end message, want none")
	}
	if got := e.Requests(""); len(got) != 1 || got[0].RequestID != "70-1" {
		t.Errorf("active work got %v, want only 70-1", got)
	}
}

// TestTransferStall guards against a stalled transfer that ends neither the decode nor its use of the slot.
func TestTransferStall(t *testing.T) {
	pre, dec := startEngine(t, RolePrefill, nil), startEngine(t, RoleDecode, nil)
	pre.faults.Put(fault.Fault{Kind: fault.TransferStall})
	result := prefill(t, pre, "7-1", "net net len=20")
	decode := decodeRequest{RequestID: "7-1", Attempt: 1, Model: "m", Prompt: "net net len=20", KV: kvSource{pre.config.Address, result.Handle}}
	if _, tokens, done := readStream(t, post(t.Context(), t, dec.url+"/v1/decode", decode), 0); tokens > 1 || done {
		t.Errorf("got %d tokens, done %v, want an error event", tokens, done)
	}
	if !dec.Idle() {
		t.Error("the decode engine still has active work for the request")
	}
	pre.faults.Put(fault.Fault{Kind: fault.Off})
	decode.Attempt = 2
	if _, _, done := readStream(t, post(t.Context(), t, dec.url+"/v1/decode", decode), 0); !done {
		t.Error("the second attempt with the same result got no end message")
	}
}

// TestOrderFence guards against accepting an order from a previous holder of the order lease.
func TestOrderFence(t *testing.T) {
	e := startEngine(t, RoleBoth, func(c *Config) { c.ChecksFencing = true })
	tests := []struct {
		order orderRequest
		want  int
	}{
		{orderRequest{OrderID: "a", Fence: 5, Kind: "load", Model: "n"}, http.StatusOK},
		{orderRequest{OrderID: "b", Fence: 4, Kind: "unload", Model: "m"}, http.StatusConflict},
		{orderRequest{OrderID: "c", Fence: 5, Kind: "setRole", Role: RoleDecode}, http.StatusOK},
	}
	for _, test := range tests {
		if got := post(t.Context(), t, e.url+"/v1/orders", test.order).status; got != test.want {
			t.Errorf("order %s got status %d, want %d", test.order.OrderID, got, test.want)
		}
	}
	waitFor(t, "load", func() bool { models, role := e.Models(); return len(models) == 2 && role == RoleDecode })
}

// TestPrefillPriority guards against a queue that runs prefills of low priority before prefills of high priority.
func TestPrefillPriority(t *testing.T) {
	e := startEngine(t, RolePrefill, func(c *Config) { c.PrefillRate = 100 })
	var group errgroup.Group
	order := make(chan int, 3)
	for i, priority := range []int{0, 0, 9} {
		want := i
		group.Go(func() error {
			_, err := e.prefill(context.Background(), prefillRequest{RequestID: "7-1", Model: "m", Prompt: "a b c d e f g h i j", Priority: priority})
			order <- priority
			return err
		})
		waitFor(t, "queueing", func() bool { _, waiting, _ := e.Load(); return waiting == want })
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if first, second := <-order, <-order; first != 0 || second != 9 {
		t.Errorf("got priorities %d, %d first, want 0, 9", first, second)
	}
}
