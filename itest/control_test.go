package itest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/load"
)

// propagationBound is the maximum time from the acknowledgement of a change until every entry has applied the change.
const propagationBound = 4 * time.Second

// adminRequest sends a request to the admin API of control member i, counted from 0. The status is 0 if there is no complete
// response.
func (b *testFleet) adminRequest(i int, method, path, requestID string, body any) (int, []byte) {
	token, err := os.ReadFile(filepath.Join(b.Dir, "secrets", "operator-token"))
	if err != nil {
		b.t.Fatal(err)
	}
	data, err := json.Marshal(body)
	if err != nil {
		b.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(b.ctx, method, "http://"+b.Address(11+i, 7102)+path, bytes.NewReader(data))
	if err != nil {
		b.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	request.Header.Set("Azuredoor-Request-Id", requestID)
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, responseBody
}

// change is one change in the body of an apply request.
type change struct {
	Kind          string         `json:"kind"`
	Name          string         `json:"name"`
	ExpectVersion *uint64        `json:"expectVersion,omitempty"`
	Spec          map[string]any `json:"spec"`
}

// applyBody returns the body of an apply request.
func applyBody(changes ...change) map[string]any { return map[string]any{"changes": changes} }

// setCustomerWeight sets a customer's weight at control member i and reports whether the change was acknowledged.
func (b *testFleet) setCustomerWeight(i int, name string, weight int, requestID string) bool {
	status, _ := b.adminRequest(i, http.MethodPost, "/v1/apply", requestID,
		applyBody(change{Kind: "customer", Name: name, Spec: map[string]any{"weight": weight}}))
	return status == http.StatusOK
}

// customerWeights returns the weight of each customer from control member i, or nil if the member does not return a list.
func (b *testFleet) customerWeights(i int) map[string]int {
	status, body := b.adminRequest(i, http.MethodGet, "/v1/objects?kind=customer", "", nil)
	if status != http.StatusOK {
		return nil
	}
	var list struct {
		Objects []struct {
			Name string
			Spec struct{ Weight int }
		}
	}
	if err := json.Unmarshal(body, &list); err != nil {
		b.t.Fatal(err)
	}
	weights := map[string]int{}
	for _, o := range list.Objects {
		weights[o.Name] = o.Spec.Weight
	}
	return weights
}

// TestAcknowledgedChangesSurviveKills guards against the loss of an acknowledged change when control members are killed
// at any moment, one after the other and all at once (invariant I10).
func TestAcknowledgedChangesSurviveKills(t *testing.T) {
	t.Parallel()
	b := startFleet(t)
	acknowledged := map[string]int{}
	number := 0
	write := func(member int) {
		name := fmt.Sprintf("c%d", number%40)
		number++
		// A change without a response is resent with the same request ID until it is acknowledged.
		b.await(15*time.Second, "a change is acknowledged", func() bool {
			member++
			return b.setCustomerWeight(member%3, name, number%1000+1, fmt.Sprintf("survive-%d", number))
		})
		acknowledged[name] = number%1000 + 1
	}
	for round := range 6 {
		killed := b.Process(fmt.Sprintf("control-%d", round%3+1))
		var group errgroup.Group
		group.Go(func() error {
			time.Sleep(time.Duration(20+37*round) * time.Millisecond)
			return killed.Kill()
		})
		for i := range 25 {
			write(i)
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		if err := killed.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 3 {
		if err := b.Process(fmt.Sprintf("control-%d", i+1)).Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 3 {
		if err := b.Process(fmt.Sprintf("control-%d", i+1)).Start(); err != nil {
			t.Fatal(err)
		}
	}
	var got map[string]int
	elapsed := b.await(15*time.Second, "the group returns weights again", func() bool { got = b.customerWeights(0); return got != nil })
	t.Logf("the group returned weights %v after the restart of all members, with %d changes in its history", elapsed.Round(time.Millisecond), number)
	for name, want := range acknowledged {
		if got[name] != want {
			t.Errorf("customer %s got weight %d, want the acknowledged weight %d", name, got[name], want)
		}
	}
	b.await(10*time.Second, "entries serve requests again", func() bool {
		return b.startCalls(b.streamCall(0, b.deployment.Large, "after", 8)).wait()[0].Verdict == load.Complete
	})
}

// TestOperatorsRace guards against two conditional changes that both succeed on the same version, and against a resent
// change that is applied as a new change.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	b := startFleet(t)
	version := uint64(0)
	for round := range 10 {
		var won, lost atomic.Int32
		var group errgroup.Group
		var winner atomic.Int32
		for i := range 6 {
			group.Go(func() error {
				status, _ := b.adminRequest(i%3, http.MethodPost, "/v1/apply", fmt.Sprintf("race-%d-%d", round, i),
					applyBody(change{Kind: "customer", Name: "raced", ExpectVersion: &version, Spec: map[string]any{"weight": i + 1}}))
				switch status {
				case http.StatusOK:
					won.Add(1)
					winner.Store(int32(i))
				case http.StatusConflict:
					lost.Add(1)
				}
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		if won.Load() != 1 || lost.Load() != 5 {
			t.Fatalf("round %d: got %d acknowledged changes and %d conflicts, want 1 and 5", round, won.Load(), lost.Load())
		}
		i := int(winner.Load())
		if got := b.customerWeights((i + 1) % 3)["raced"]; got != i+1 {
			t.Errorf("round %d: got weight %d, want weight %d of the acknowledged change", round, got, i+1)
		}
		status, first := b.adminRequest((i+1)%3, http.MethodPost, "/v1/apply", fmt.Sprintf("race-%d-%d", round, i),
			applyBody(change{Kind: "customer", Name: "raced", ExpectVersion: &version, Spec: map[string]any{"weight": i + 1}}))
		var responseBody struct{ Revision uint64 }
		if err := json.Unmarshal(first, &responseBody); err != nil || status != http.StatusOK {
			t.Fatalf("round %d: resend got status %d and error %v, want the response of the first send", round, status, err)
		}
		version = responseBody.Revision
	}
}

// TestFrozenLeaderKeepsServing guards against requests that are refused while the control leader is paused, and against a
// paused leader that, when it continues, still acts as leader instead of applying the changes of its successor.
func TestFrozenLeaderKeepsServing(t *testing.T) {
	t.Parallel()
	b := startFleet(t)
	leader := b.Process("control-1")
	if err := leader.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		b.wantComplete(b.startCalls(b.streamCall(i%4, b.deployment.Customers[i%5], fmt.Sprint("frozen", i), 8)).wait())
		time.Sleep(200 * time.Millisecond)
	}
	b.await(propagationBound, "the other members acknowledge a change", func() bool { return b.setCustomerWeight(1, "new", 7, "frozen-leader") })
	if err := leader.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	b.await(propagationBound, "the continued member returns the change", func() bool { return b.customerWeights(0)["new"] == 7 })
}

// TestLostDisk guards against a control member that votes after it lost its disk, and against the loss of changes when a
// second VM is lost directly after the member was replaced.
func TestLostDisk(t *testing.T) {
	t.Parallel()
	b := startFleet(t)
	for i := range 30 {
		if !b.setCustomerWeight(0, fmt.Sprintf("c%d", i), i+1, fmt.Sprintf("disk-%d", i)) {
			t.Fatal("a change was not acknowledged although no fault was injected")
		}
	}
	lost := b.Process("control-3")
	if err := lost.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(filepath.Join(b.Dir, "control-3")); err != nil {
		t.Fatal(err)
	}
	if err := lost.Start(); err != nil {
		t.Fatal(err)
	}
	id := b.memberID("control-3")
	replacement := map[string]any{
		"name": "control-3b", "address": b.Address(13, 7101), "adminAddress": b.Address(13, 7102), "failureDomain": b.deployment.FailureDomains[2],
	}
	b.await(20*time.Second, "the member is replaced", func() bool {
		status, _ := b.adminRequest(0, http.MethodPost, "/v1/members/"+id+"/replace", "replace-1", replacement)
		return status == http.StatusOK
	})
	if err := b.Process("control-1").Kill(); err != nil {
		t.Fatal(err)
	}
	b.await(10*time.Second, "the group acknowledges a change", func() bool { return b.setCustomerWeight(1, "after", 9, "disk-after") })
	got := b.customerWeights(1)
	for i := range 30 {
		if name := fmt.Sprintf("c%d", i); got[name] != i+1 {
			t.Errorf("customer %s got weight %d, want %d", name, got[name], i+1)
		}
	}
	b.await(10*time.Second, "entries serve requests", func() bool {
		return b.startCalls(b.streamCall(1, b.deployment.Large, "after", 8)).wait()[0].Verdict == load.Complete
	})
}

// memberID returns the ID of the control member with a name.
func (b *testFleet) memberID(name string) string {
	status, body := b.adminRequest(0, http.MethodGet, "/v1/members", "", nil)
	var list struct {
		Members []struct {
			ID   string
			Name string
		}
	}
	if err := json.Unmarshal(body, &list); err != nil {
		b.t.Fatalf("members: status %d, %v: %s", status, err, body)
	}
	for _, m := range list.Members {
		if m.Name == name {
			return m.ID
		}
	}
	b.t.Fatalf("no member %s in %s", name, body)
	return ""
}

// readAdmin decodes the response of the first control member that returns status 200 into out, and reports whether there
// is one.
func (b *testFleet) readAdmin(path string, out any) bool {
	for i := range 3 {
		if status, body := b.adminRequest(i, http.MethodGet, path, "", nil); status == http.StatusOK {
			if err := json.Unmarshal(body, out); err != nil {
				b.t.Fatalf("%s: %v: %s", path, err, body)
			}
			return true
		}
	}
	return false
}
