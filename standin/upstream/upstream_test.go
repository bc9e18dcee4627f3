package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/standin/announce"
	"azuredoor.example/standin/service"
)

// entry is an HTTP server that records announcements in place of an entry.
type entry struct {
	*httptest.Server
	mu            sync.Mutex
	announcements []announce.Announcement
}

func newEntry(t *testing.T) *entry {
	e := &entry{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a announce.Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil || r.Header.Get("Authorization") != "Bearer join-token-0123456789" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.announcements = append(e.announcements, a)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *entry) last() announce.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.announcements) == 0 {
		return announce.Announcement{}
	}
	return e.announcements[len(e.announcements)-1]
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

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// runService starts a plain service that sends announcements to an unreachable entry and to e.
func runService(t *testing.T, e *entry) (url string, stop func() error) {
	t.Helper()
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("join-token-0123456789"), 0o600); err != nil {
		t.Fatal(err)
	}
	address := freeAddress(t)
	s := Parse([]string{
		"-kind", "service", "-id", "s1", "-listen", address, "-pool", "desk", "-latency", "300ms", "-leave-delay", "50ms",
		"-announce", "http://" + freeAddress(t) + "," + e.URL, "-join-token-file", token,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return Run(ctx, s) })
	stop = sync.OnceValue(func() error { cancel(); return group.Wait() })
	t.Cleanup(func() { _ = stop() })
	waitFor(t, "announcement", func() bool { return e.last().State == "ready" })
	return "http://" + address, stop
}

func post(url, body string) (service.Response, error) {
	var decoded service.Response
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return decoded, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return decoded, err
	}
	return decoded, json.Unmarshal(data, &decoded)
}

// TestLeaving guards against an upstream that ends running work when it leaves, or that exits without announcing that it
// is leaving.
func TestLeaving(t *testing.T) {
	e := newEntry(t)
	url, stop := runService(t, e)
	var group errgroup.Group
	group.Go(func() error {
		_, err := post(url+"/desk/booking", "x")
		return err
	})
	waitFor(t, "start of the request", func() bool {
		response, err := http.Get(url + "/stats")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		return strings.Contains(string(data), `"slotsInUse":1`)
	})
	if err := stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
	if err := group.Wait(); err != nil {
		t.Errorf("the running request got error %v, want a response", err)
	}
	if got := e.last(); got.State != "leaving" || got.Incarnation == 0 || got.Sequence < 2 {
		t.Errorf("last announcement got %+v, want state leaving", got)
	}
}

// TestExecutionsAndFaults guards against executions that are not counted, and against faults that stay active beyond
// their count.
func TestExecutionsAndFaults(t *testing.T) {
	url, _ := runService(t, newEntry(t))
	for _, want := range []int{1, 2} {
		if got, err := post(url+"/desk/booking", "x"); err != nil || got.Executions != want {
			t.Errorf("executions got %d, error %v, want %d", got.Executions, err, want)
		}
	}
	if _, err := post(url+"/fault", `{"kind":"crossAnswers","count":1}`); err == nil {
		t.Error("POST /fault got a response with a body, want none")
	}
	if got, err := post(url+"/desk/booking", "y"); err != nil || got.Number != 2 {
		t.Errorf("crossed response got number %d, error %v, want 2, the number of the previous request", got.Number, err)
	}
	if got, err := post(url+"/desk/booking", "y"); err != nil || got.Number != 4 || got.Executions != 2 {
		t.Errorf("got number %d with %d executions, error %v, want 4 with 2", got.Number, got.Executions, err)
	}
}
