package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/core/settings"
)

// testbed is a running fleet on which a sweep measures, with the simulated entries and peers.
type testbed struct {
	options  Options
	fleet    *fleet.Fleet
	result   *Result
	sessions *sessions
	peers    *peerStub
	random   *rand.Rand
	http     *http.Client
	calls    atomic.Uint64
	// customers is the number of customers in the configuration, each with one key.
	customers int
	// upstreams is the number of announced upstreams.
	upstreams int
}

const startTimeout = time.Minute

func newTestbed(ctx context.Context, o Options, name string, result *Result) (*testbed, error) {
	if err := os.WriteFile(o.exampleFile(), []byte(document), 0o600); err != nil {
		return nil, eris.Wrap(err, "write the initial configuration")
	}
	f, err := fleet.Start(ctx, fleet.Options{
		Bin: o.Bin, Dir: filepath.Join(o.Dir, name), Network: o.Network, Example: o.exampleFile(),
		Controls: controlMembers, Entries: 1, Deployment: deployment(), ReadyTimeout: startTimeout,
	})
	if err != nil {
		return nil, err
	}
	b := &testbed{
		options: o, fleet: f, result: result, random: rand.New(rand.NewPCG(o.Seed, 1)),
		http: &http.Client{Timeout: startTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: applyParallel}},
	}
	secret, err := settings.Secret("fleet-secret-file", f.SecretFile("fleet-secret"))
	if err == nil {
		b.peers, err = newPeerStub(f.Address(stubHostNumber, peerStubPort), secret)
	}
	if err == nil {
		b.sessions, err = b.newSessions(ctx, secret)
	}
	if err != nil {
		if b.peers != nil {
			_ = b.peers.close()
		}
		_ = f.Stop()
		return nil, err
	}
	b.printf("sweep %s\n", name)
	return b, nil
}

func (b *testbed) close() error {
	err := b.sessions.close()
	if stopErr := b.fleet.Stop(); err == nil {
		err = stopErr
	}
	if stopErr := b.peers.close(); err == nil {
		err = stopErr
	}
	b.http.CloseIdleConnections()
	return err
}

// leader returns the index of the control member that is the leader.
func (b *testbed) leader(ctx context.Context) (int, error) {
	var body struct {
		Members []struct {
			Name   string `json:"name"`
			Leader bool   `json:"leader"`
		} `json:"members"`
	}
	if err := b.admin(ctx, http.MethodGet, "/v1/members", nil, &body); err != nil {
		return 0, err
	}
	for _, m := range body.Members {
		for i := range controlMembers {
			if m.Leader && m.Name == fmt.Sprintf("control-%d", i+1) {
				return i, nil
			}
		}
	}
	return 0, eris.New("the control group has no leader")
}

// admin calls the admin API of the first control member.
func (b *testbed) admin(ctx context.Context, method, path string, body []byte, target any) error {
	request, err := http.NewRequestWithContext(ctx, method, b.fleet.AdminURL(0)+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build an admin call")
	}
	request.Header.Set("Authorization", "Bearer "+b.fleet.OperatorToken())
	request.Header.Set("Azuredoor-Request-Id", fmt.Sprintf("capacity-%d", b.calls.Add(1)))
	response, err := b.http.Do(request)
	if err != nil {
		return eris.Wrap(err, "call the admin API")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "read the response of the admin API")
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s %s: got status %s and body %s, want 200", method, path, response.Status, data)
	}
	return eris.Wrap(json.Unmarshal(data, target), "decode the response of the admin API")
}

// Names of the measured processes.
const (
	leaderProcess   = "leader"
	followerProcess = "follower"
	entryProcess    = "entry"
)

// sample is the resource usage of the measured processes over one window.
type sample struct {
	// cores is the CPU time per wall-clock time, and resident the memory in bytes, by process name.
	cores, resident map[string]float64
	// sent and received are the bytes per second of all simulated entries.
	sent, received float64
	// seconds is the length of the window.
	seconds float64
}

// count returns the number of operations in one window at a rate per second.
func (b *testbed) count(rate int) int { return int(b.options.Window.Seconds() * float64(rate)) }

// rate returns the achieved number of operations per second. This is lower than the requested rate if the fleet was too
// slow.
func (s *sample) rate(count int) float64 { return math.Round(10*float64(count)/s.seconds) / 10 }

// measure waits for the settle time and then measures one window. The function work, unless nil, runs during the window.
// If work takes longer than the window, the window ends when work returns.
func (b *testbed) measure(ctx context.Context, work func(ctx context.Context) error) (*sample, error) {
	if err := pause(ctx, b.options.Settle); err != nil {
		return nil, err
	}
	leader, err := b.leader(ctx)
	if err != nil {
		return nil, err
	}
	pids := map[string]int{
		leaderProcess:   b.fleet.Process(fmt.Sprintf("control-%d", leader+1)).PID(),
		followerProcess: b.fleet.Process(fmt.Sprintf("control-%d", (leader+1)%controlMembers+1)).PID(),
		entryProcess:    b.fleet.Process("entry-1").PID(),
	}
	before := map[string]usage{}
	for name, pid := range pids {
		if before[name], err = readUsage(pid); err != nil {
			return nil, err
		}
	}
	began, sent, received := time.Now(), b.sessions.sent.Load(), b.sessions.received.Load()
	if work != nil {
		if err := work(ctx); err != nil {
			return nil, err
		}
	}
	if err := pause(ctx, b.options.Window-time.Since(began)); err != nil {
		return nil, err
	}
	s := &sample{cores: map[string]float64{}, resident: map[string]float64{}, seconds: time.Since(began).Seconds()}
	s.sent = float64(b.sessions.sent.Load()-sent) / s.seconds
	s.received = float64(b.sessions.received.Load()-received) / s.seconds
	for name, pid := range pids {
		after, err := readUsage(pid)
		if err != nil {
			return nil, err
		}
		s.cores[name] = (after.cpu - before[name].cpu).Seconds() / s.seconds
		s.resident[name] = after.resident
	}
	now, err := b.leader(ctx)
	if err != nil {
		return nil, err
	}
	if now != leader {
		return nil, eris.New("the leader changed during a measurement")
	}
	return s, b.sessions.firstError()
}

// record adds the resource usage of a sample to the result.
func (b *testbed) record(swept string, x float64, s *sample) {
	for _, name := range []string{leaderProcess, followerProcess, entryProcess} {
		b.result.add(swept, name+" CPU", "% of core", x, 100*s.cores[name])
		b.result.add(swept, name+" memory", "MB", x, s.resident[name]/megabyte)
	}
	b.printf("  %s %g: leader %.2f%% %.1f MB, follower %.2f%% %.1f MB, entry %.2f%% %.1f MB, sessions sent %.1f kB/s received %.1f kB/s\n", swept, x,
		100*s.cores[leaderProcess], s.resident[leaderProcess]/megabyte, 100*s.cores[followerProcess], s.resident[followerProcess]/megabyte,
		100*s.cores[entryProcess], s.resident[entryProcess]/megabyte, s.sent/1e3, s.received/1e3)
}

const megabyte = 1 << 20

func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
