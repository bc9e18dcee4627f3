package web

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/place"
	"azuredoor.example/entry/usage"
)

// fakePlacer answers placements with results in turn; the last one repeats.
type fakePlacer struct {
	mu      sync.Mutex
	results []placeAnswer
	needs   []usage.PlaceNeed
	changes int
}

type placeAnswer struct {
	result usage.PlaceResult
	err    error
}

func (f *fakePlacer) Place(_ context.Context, need usage.PlaceNeed) (usage.PlaceResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needs = append(f.needs, need)
	answer := f.results[min(len(f.needs), len(f.results))-1]
	return answer.result, answer.err
}

func (f *fakePlacer) Changed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes++
}

func (f *fakePlacer) changeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes
}

// reservingEngine grants reservations with the status, and serves streams.
func reservingEngine(t *testing.T, status int) *upstream {
	return startUpstream(t, func(c net.Conn, r *fasthttp.Request, _ int) bool {
		if string(r.RequestURI()) == "/reserve" {
			return respond(c, r, status, "", "room1")
		}
		return writeEvents(c, r, 1, 2, true)
	})
}

// TestCoordinatedPlacement guards against generations on other engines than the coordinator chose, callers that are refused
// without the time at which memory becomes free, an entry that serves nobody while no coordinator answers, and ended
// generations that the coordinator keeps counting.
func TestCoordinatedPlacement(t *testing.T) {
	onSecond := placeAnswer{result: usage.PlaceResult{Decode: "edecode1", Incarnation: 1}}
	for name, test := range map[string]struct {
		answers    []placeAnswer
		firstGives int
		wantStatus int
		// wantFirst and wantSecond are the numbers of streams at the two engines.
		wantFirst, wantSecond int
		wantPlaces            int
	}{
		"chosen engine":             {[]placeAnswer{onSecond}, 200, 200, 0, 1, 1},
		"refused":                   {[]placeAnswer{{result: usage.PlaceResult{RetryAfter: 1700 * time.Millisecond}, err: place.ErrBusy}}, 200, 503, 0, 0, 1},
		"no coordinator":            {[]placeAnswer{{err: usage.ErrNoCoordinator}}, 200, 200, 1, 0, 1},
		"unknown engine":            {[]placeAnswer{{result: usage.PlaceResult{Decode: "elsewhere", Incarnation: 1}}}, 200, 200, 1, 0, 1},
		"engine of another start":   {[]placeAnswer{{result: usage.PlaceResult{Decode: "edecode1", Incarnation: 7}}}, 200, 200, 1, 0, 1},
		"engine refuses the memory": {[]placeAnswer{{result: usage.PlaceResult{Decode: "edecode0", Incarnation: 1}}, onSecond}, 503, 200, 0, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := reservingEngine(t, test.firstGives), reservingEngine(t, 200)
			b := newTestRouter(t, nil, nil, []*upstream{first, second})
			b.control.view.Document.Services["e"].Engine.Reservation = time.Second
			b.addLoad("edecode1", 5000)
			placer := &fakePlacer{results: test.answers}
			b.router.config.Placer = placer
			got := b.send(t, "POST", "/once/x", map[string]string{"Tokens": "100"})
			if got.status != test.wantStatus {
				t.Errorf("got %d, %q, want %d", got.status, got.body, test.wantStatus)
			}
			if retry := got.header.Get("Retry-After"); test.wantStatus == 503 && !strings.HasPrefix(retry, "1.7") {
				t.Errorf("got Retry-After %q, want the coordinator's 1.7 s", retry)
			}
			if a, z := streams(first), streams(second); a != test.wantFirst || z != test.wantSecond {
				t.Errorf("got %d and %d streams at the engines, want %d and %d", a, z, test.wantFirst, test.wantSecond)
			}
			if len(placer.needs) != test.wantPlaces {
				t.Fatalf("got %d placements, want %d", len(placer.needs), test.wantPlaces)
			}
			if last := placer.needs[len(placer.needs)-1]; test.wantPlaces == 2 && (len(last.Full) != 1 || last.Full[0] != "edecode0") {
				t.Errorf("got %q as full engines, want the one that refused", last.Full)
			}
			// The caller has the whole response before the entry records its end.
			deadline := time.Now().Add(500 * time.Millisecond)
			ended := func() bool {
				return len(b.router.Generations()) == 0 && (test.wantStatus != 200 || placer.changeCount() > 0)
			}
			for !ended() && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if !ended() {
				t.Errorf("got %v reported as running and %d reports of an end 500 ms later, want none and one", b.router.Generations(), placer.changeCount())
			}
		})
	}
}

func streams(u *upstream) int {
	n := 0
	for _, r := range u.requests() {
		if string(r.RequestURI()) != "/reserve" {
			n++
		}
	}
	return n
}

// TestLateCallersAreTold guards against callers that returned after a refusal and are placed before callers that can still be
// served within their target.
func TestLateCallersAreTold(t *testing.T) {
	b := withTimeout(newTestRouter(t, nil, nil, []*upstream{reservingEngine(t, 200)}), 20*time.Second)
	placer := &fakePlacer{results: []placeAnswer{{result: usage.PlaceResult{Decode: "edecode0", Incarnation: 1}}}}
	b.router.config.Placer = placer
	for i, test := range []struct {
		patience string
		want     bool
	}{{"10s", false}, {"8.6s", false}, {"6.8s", true}, {"9.9s", false}} {
		if got := b.send(t, "POST", "/once/x", map[string]string{"Tokens": "100", "Patience": test.patience}); got.status != 200 {
			t.Fatalf("got %d, want 200", got.status)
		}
		if got := placer.needs[i].Late; got != test.want {
			t.Errorf("patience %s: got late %v, want %v", test.patience, got, test.want)
		}
	}
}
