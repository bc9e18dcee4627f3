package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"azuredoor.example/core/config"
	"azuredoor.example/standin/answer"
)

// TestClassify guards against truncated, foreign or repeated output that is taken for a correct response.
func TestClassify(t *testing.T) {
	const want = "felt1 seam2 knot3 cord4"
	tests := []struct {
		got   string
		ended bool
		want  Verdict
	}{
		{want, true, Complete},
		{want, false, Truncated},
		{"felt1 seam2", true, Truncated},
		{"", false, Failed},
		{"", true, Truncated},
		{"felt1 seam2 seam2 knot3 cord4", true, Duplicated},
		{want + " cord4", true, Duplicated},
		{"felt1 mesh7 knot3 cord4", true, Foreign},
		{"felt1 knot3", true, Foreign},
	}
	for _, test := range tests {
		if got := Classify(test.got, want, test.ended); got != test.want {
			t.Errorf("Classify(%q, ended %v) got %s, want %s", test.got, test.ended, got, test.want)
		}
	}
}

// TestArrivalsAreSeeded guards against a load that differs between runs with the same seed, misses its rate or
// ignores the shares of the entries.
func TestArrivalsAreSeeded(t *testing.T) {
	plan := Plan{
		Flows: []Flow{
			{Customer: "a", Kind: Completion, Rate: 200, Model: "m", PromptTokens: [2]int{10, 100}, OutputTokens: [2]int{5, 9}, Documents: 2},
			{Customer: "b", Kind: Booking, Rate: 100, Path: "/desk/booking"},
		},
		Duration: 10 * time.Second, Seed: 7, URLs: []string{"x", "y"}, Shares: []float64{0.9, 0.1},
	}
	first, again := plan.Arrivals(), plan.Arrivals()
	if !reflect.DeepEqual(first, again) {
		t.Error("equal plans yield different arrivals")
	}
	if got := len(first); got < 2700 || got > 3300 {
		t.Errorf("got %d arrivals, want about 3000", got)
	}
	firstEntry := 0
	for _, a := range first {
		if a.Entry == 0 {
			firstEntry++
		}
	}
	if got := float64(firstEntry) / float64(len(first)); got < 0.87 || got > 0.93 {
		t.Errorf("got share %.2f of the first entry, want 0.9", got)
	}
	plan.Seed = 8
	if reflect.DeepEqual(first, plan.Arrivals()) {
		t.Error("plans with different seeds yield the same arrivals")
	}
}

// TestRun guards against a load tool that waits for responses before it sends further requests, or misreads a stream.
func TestRun(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Model, Prompt string
			MaxTokens     int `json:"max_tokens"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil || r.Header.Get("Authorization") != "Bearer key" {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"code":"overloaded","outcome":"notRun"}}`)
			return
		}
		time.Sleep(300 * time.Millisecond)
		for offset := range answer.Length(body.Prompt, body.MaxTokens) {
			_, _ = fmt.Fprintf(w, ": heartbeat\n\ndata: {\"choices\":[{\"text\":%q}]}\n\n", answer.Token(body.Model, body.Prompt, offset))
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	defer server.Close()
	flow := Flow{Customer: "a", Kind: Completion, Rate: 100, Model: "m", PromptTokens: [2]int{10, 20}, OutputTokens: [2]int{5, 9}}
	refused := flow
	refused.Customer, refused.Rate = "b", 20
	plan := &Plan{
		Flows: []Flow{flow, refused}, Duration: time.Second, Seed: 3, URLs: []string{server.URL}, Keys: map[string]string{"a": "key", "b": "wrong"}, Timeout: 5 * time.Second,
	}
	began := time.Now()
	records, err := Run(t.Context(), plan)
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("the run took %v, want little more than 1 s", took)
	}
	for _, r := range records {
		want := Complete
		if r.Flow.Customer == "b" {
			want = Refused
		}
		if r.Verdict != want || want == Refused && (r.ErrorCode != "overloaded" || r.Outcome != "notRun") {
			t.Errorf("customer %s got verdict %s, code %s, outcome %s, error %v, want %s", r.Flow.Customer, r.Verdict, r.ErrorCode, r.Outcome, r.Err, want)
		}
	}
	report := Summarize(records, plan.Duration, map[Kind]Targets{Completion: {FirstToken: 100 * time.Millisecond}}, nil)
	if got := report.All; got.Complete == 0 || got.Good != 0 || got.FirstToken.P50 < 300 || got.Sent != len(records) || report.EngineGoodput != 0 {
		t.Errorf("got %+v, want complete responses that miss the target", got)
	}
}

// TestRefusedWithinRate guards against refusals that are classified wrongly because the modelled bucket has a wrong
// level.
func TestRefusedWithinRate(t *testing.T) {
	flow := &Flow{Customer: "c", Kind: Completion, Model: "m"}
	buckets := &Buckets{
		Set: &config.Set{Customers: map[string]*config.Customer{"c": {Weight: 1, Limit: &config.Limit{TokensPerSecond: 10, BurstTokens: 100}}}},
	}
	record := func(at time.Duration, charge int64, verdict Verdict, used int) Record {
		return Record{Arrival: Arrival{At: at, Charge: charge, Flow: flow}, Result: Result{Verdict: verdict, Tokens: used, End: time.Second}}
	}
	records := []Record{
		record(0, 90, Complete, 40),                  // leaves level 10; 50 tokens are returned at 1 s
		record(time.Millisecond, 20, Refused, 0),     // above the level
		record(500*time.Millisecond, 15, Refused, 0), // level 15
		record(2*time.Second, 75, Refused, 0),        // level 10 + 50 + 20
		record(2*time.Second, 85, Refused, 0),
	}
	want := []bool{false, false, true, true, false}
	if got := buckets.refusedWithinRate(records); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestWorstRelative guards against a result in which the other customers or different durations of the loads hide the
// worst-served customer.
func TestWorstRelative(t *testing.T) {
	baseline := &Report{Seconds: 1, Customers: map[string]*Count{"a": {Sent: 10, Good: 10}, "b": {Sent: 5, Good: 4}, "greedy": {Sent: 50, Good: 50}}}
	report := &Report{Seconds: 2, Customers: map[string]*Count{"a": {Sent: 90, Good: 30}, "b": {Sent: 10, Good: 6}, "greedy": {Sent: 400, Good: 1}}}
	if got, want := report.WorstRelative(baseline, "greedy"), 0.75; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	report.Customers["b"].Good = 0
	if got := report.WorstRelative(baseline, "greedy"); got != 0 {
		t.Errorf("got %v for a customer without good requests, want 0", got)
	}
}

// TestEngineGoodput guards against counting responses that ended while the engines were filling, after the load or later
// than their target.
func TestEngineGoodput(t *testing.T) {
	flow, plain := &Flow{Customer: "a", Kind: Completion}, &Flow{Customer: "a", Kind: LookUp}
	record := func(f *Flow, at, end time.Duration) Record {
		return Record{Arrival: Arrival{At: at, Flow: f}, Result: Result{Verdict: Complete, FirstToken: end / 2, End: end}}
	}
	records := []Record{
		record(flow, 0, 500*time.Millisecond), record(flow, 900*time.Millisecond, time.Second), record(flow, time.Second, time.Second),
		record(flow, 2500*time.Millisecond, time.Second), record(plain, time.Second, time.Second), record(flow, 0, 2800*time.Millisecond),
	}
	targets := map[Kind]Targets{Completion: {FirstToken: time.Second}, LookUp: {FirstToken: time.Second}}
	if got, want := Summarize(records, 3*time.Second, targets, nil).EngineGoodput, 1.0; got != want {
		t.Errorf("got %v good responses per second, want %v", got, want)
	}
}
