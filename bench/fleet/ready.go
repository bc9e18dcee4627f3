package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	pollInterval = 50 * time.Millisecond
	pollTimeout  = time.Second
)

// pollUntil repeats a check until the check succeeds, the context ends or a process of the fleet exits.
func (f *Fleet) pollUntil(ctx context.Context, condition string, check func() error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		if exited := f.Exited(); len(exited) > 0 {
			return f.processes[exited[0]].exitError()
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(err, "gave up waiting until %s", condition)
		case <-ticker.C:
		}
	}
}

func dial(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: pollTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return eris.Wrap(err, "connect")
	}
	return eris.Wrap(conn.Close(), "close")
}

// AwaitReady waits until all entries are ready and all upstreams are active.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for i := range f.options.Entries {
		if err := f.pollUntil(ctx, f.EntryURL(i)+" is ready", func() error { return f.Ready(ctx, i) }); err != nil {
			return err
		}
	}
	return f.pollUntil(ctx, "all upstreams are active", func() error {
		active, err := f.ActiveUpstreams(ctx)
		if err != nil {
			return err
		}
		if want := f.upstreamCount(); len(active) < want {
			return eris.Errorf("%d of %d upstreams are active", len(active), want)
		}
		return nil
	})
}

func (f *Fleet) upstreamCount() int {
	count := 0
	for _, s := range f.Standins() {
		if s.Kind != "weightstore" {
			count++
		}
	}
	return count
}

// Ready returns nil if entry i, counted from 0, reports that it is ready, and the reason otherwise.
func (f *Fleet) Ready(ctx context.Context, i int) error {
	_, err := f.Get(ctx, f.EntryURL(i)+"/readyz", "")
	return err
}

// Get sends a GET request and returns the body of the response. A status other than 200 is an error.
func (f *Fleet) Get(ctx context.Context, url, token string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create the request")
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read the response")
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("%s responded with %s: %s", url, response.Status, body)
	}
	return body, nil
}

// ActiveUpstreams returns the IDs of the upstreams in state active, as listed by the first control member that
// responds.
func (f *Fleet) ActiveUpstreams(ctx context.Context) ([]string, error) {
	out, err := f.Ctl(ctx, "upstream", "list", "-json")
	if err != nil {
		return nil, err
	}
	var answer struct {
		Upstreams []struct{ ID, State string }
	}
	if err := json.Unmarshal([]byte(out), &answer); err != nil {
		return nil, eris.Wrap(err, "decode the list of upstreams")
	}
	var active []string
	for _, u := range answer.Upstreams {
		if strings.EqualFold(u.State, "active") {
			active = append(active, u.ID)
		}
	}
	return active, nil
}

// Fault injects a fault into a stand-in. Package standin/fault describes the fields of a fault.
func (f *Fleet) Fault(ctx context.Context, id string, fault map[string]any) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return eris.Wrap(err, "encode the fault")
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.StandinURL(id)+"/fault", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create the request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "inject a fault into %s", id)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return eris.Errorf("inject a fault into %s: got status %s, want 204", id, response.Status)
	}
	return nil
}

// Stats decodes the counters of a stand-in into out, unless out is nil, and returns the number of secrets that the
// stand-in has received.
func (f *Fleet) Stats(ctx context.Context, id string, out any) (secrets int, err error) {
	body, err := f.Get(ctx, f.StandinURL(id)+"/stats", "")
	if err != nil {
		return 0, err
	}
	var answer struct {
		SecretsSeen int             `json:"secretsSeen"`
		Stats       json.RawMessage `json:"stats"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, eris.Wrapf(err, "decode the counters of %s", id)
	}
	if out == nil {
		return answer.SecretsSeen, nil
	}
	return answer.SecretsSeen, eris.Wrapf(json.Unmarshal(answer.Stats, out), "decode the counters of %s", id)
}

// SecretsSeen returns the number of secrets that all stand-ins together have received.
func (f *Fleet) SecretsSeen(ctx context.Context) (int, error) {
	sum := 0
	for _, s := range f.Standins() {
		seen, err := f.Stats(ctx, s.ID, nil)
		if err != nil {
			return 0, err
		}
		sum += seen
	}
	return sum, nil
}

// Ctl runs azuredoorctl with the addresses of all control members and returns its standard output.
func (f *Fleet) Ctl(ctx context.Context, args ...string) (string, error) {
	return f.ctlAt(ctx, strings.Join(f.adminAddresses(), ","), args...)
}

func (f *Fleet) ctlAt(ctx context.Context, members string, args ...string) (string, error) {
	arguments := append([]string{"-members", members, "-token-file", f.secretFile("operator-token")}, args...)
	cmd := exec.CommandContext(ctx, f.program("azuredoorctl"), arguments...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return "", eris.Wrapf(err, "azuredoorctl %s: %s", strings.Join(args, " "), stderr.String())
	}
	return stdout.String(), nil
}

// CtlCommand returns the azuredoorctl command line with which an operator runs args on this fleet.
func (f *Fleet) CtlCommand(args string) string {
	return f.program("azuredoorctl") + " -members " + strings.Join(f.adminAddresses(), ",") + " -token-file " + f.secretFile("operator-token") + " " + args
}

// Execution is the number of times that a plain service executed a request.
type Execution struct {
	Path     string `json:"path"`
	BodyHash string `json:"bodyHash"`
	Count    int    `json:"count"`
}

// Executions returns the execution counts of a plain service.
func (f *Fleet) Executions(ctx context.Context, id string) ([]Execution, error) {
	body, err := f.Get(ctx, f.StandinURL(id)+"/executions", "")
	if err != nil {
		return nil, err
	}
	var list []Execution
	return list, eris.Wrapf(json.Unmarshal(body, &list), "decode the executions of %s", id)
}
