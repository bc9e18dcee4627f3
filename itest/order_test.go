package itest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"azuredoor.example/bench/fleet"
)

// orderRecord is the record of an accepted order in the execution log of a stand-in.
type orderRecord struct {
	Time                         time.Time
	Event, Work, RequestID, Path string
	Fence                        uint64
}

// acceptedOrders returns the orders that an engine accepted, in the order of acceptance.
func (b *testFleet) acceptedOrders(engine string) []orderRecord {
	b.t.Helper()
	data, err := os.ReadFile(b.ExecutionLog(engine))
	if err != nil {
		b.t.Fatal(err)
	}
	var lines []orderRecord
	for line := range bytes.Lines(data) {
		var record orderRecord
		if json.Unmarshal(line, &record) == nil && record.Work == "order" && record.Event == "start" {
			lines = append(lines, record)
		}
	}
	return lines
}

// allAcceptedOrders returns the orders of one kind that any engine accepted, sorted by time. An empty kind selects all orders.
func (b *testFleet) allAcceptedOrders(kind string) []orderRecord {
	b.t.Helper()
	var all []orderRecord
	for _, role := range []string{"prefill", "decode"} {
		for _, id := range b.engineIDs(role) {
			for _, o := range b.acceptedOrders(id) {
				if kind == "" || o.Path == kind {
					all = append(all, o)
				}
			}
		}
	}
	slices.SortFunc(all, func(a, b orderRecord) int { return a.Time.Compare(b.Time) })
	return all
}

// checkFencingTokens checks that no engine accepted an order after an order with a higher fencing token.
func (b *testFleet) checkFencingTokens() {
	b.t.Helper()
	for _, role := range []string{"prefill", "decode"} {
		for _, id := range b.engineIDs(role) {
			highest := uint64(0)
			for _, o := range b.acceptedOrders(id) {
				if o.Fence < highest {
					b.t.Errorf("engine %s accepted order %s with fencing token %d after an order with fencing token %d", id, o.RequestID, o.Fence, highest)
				}
				highest = max(highest, o.Fence)
			}
		}
	}
}

// orderLeaseHolder returns the entry that was last granted the order lease, and the fencing token of that lease. Both are read
// from the logs of the entries. The entry is -1 if no entry logged a lease.
func (b *testFleet) orderLeaseHolder() (entry int, fence uint64) {
	b.t.Helper()
	entry = -1
	for i := range b.Entries() {
		data, err := os.ReadFile(b.entryProcess(i).LogFile)
		if err != nil {
			b.t.Fatal(err)
		}
		for line := range bytes.Lines(data) {
			var record struct{ Fence uint64 }
			if bytes.Contains(line, []byte("order lease held")) && json.Unmarshal(line, &record) == nil && record.Fence > fence {
				entry, fence = i, record.Fence
			}
		}
	}
	return entry, fence
}

// TestOrdersUnderFaults guards against two entries that send orders at the same time and an engine that accepts these
// orders in the wrong sequence (design section 3.5), and against model loads that together exceed the rate of the weight
// store. The holder of the order lease is paused or killed while engines accept its orders.
func TestOrdersUnderFaults(t *testing.T) {
	t.Parallel()
	const modelBytes, loadTime = 16 << 20, 1500 * time.Millisecond
	for _, kind := range []string{"load", "unload"} {
		for name, signal := range map[string]syscall.Signal{"frozen": syscall.SIGSTOP, "killed": syscall.SIGKILL} {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				// Engines start with models that the pool does not contain, so that unload orders are sent all the time.
				fleetModels := fleet.Quetzaltenango().Models
				models := slices.Concat(fleetModels, numberedNames("old", 30))
				b := startFleet(t, "-models="+strings.Join(models, ","))
				pool := map[string]any{"kind": "engine", "models": fleetModels, "modelBytes": modelBytes}
				if kind == "load" {
					pool["models"] = append(slices.Clone(fleetModels), "new-model")
				}
				status, body := b.adminRequest(0, http.MethodPost, "/v1/apply", "orders", applyBody(
					change{Kind: "fleet", Name: "fleet", Spec: map[string]any{"objective": "worstServed", "retryPercent": 10, "weightStoreBytesPerSecond": int64(float64(modelBytes) / loadTime.Seconds())}},
					change{Kind: "pool", Name: "workshop-models", Spec: pool}))
				if status != http.StatusOK {
					t.Fatalf("change the pool: status %d: %s", status, body)
				}
				before := len(b.allAcceptedOrders(kind))
				b.await(10*time.Second, "an engine accepts an order", func() bool { return len(b.allAcceptedOrders(kind)) > before })
				time.Sleep(time.Duration(rand.IntN(8000)) * time.Microsecond)
				holder, fence := b.orderLeaseHolder()
				if holder < 0 {
					t.Fatal("no entry logged that it holds the order lease")
				}
				if err := b.entryProcess(holder).Signal(signal); err != nil {
					t.Fatal(err)
				}
				elapsed := b.await(15*time.Second, "an engine accepts an order of another entry", func() bool {
					all := b.allAcceptedOrders("")
					return all[len(all)-1].Fence > fence
				})
				t.Logf("%d orders accepted; first order of another entry %v after the fault", len(b.allAcceptedOrders("")), elapsed.Round(time.Millisecond))
				if signal == syscall.SIGSTOP {
					if err := b.entryProcess(holder).Signal(syscall.SIGCONT); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(2500 * time.Millisecond)
				b.checkFencingTokens()
				loads := b.allAcceptedOrders("load")
				for i := 1; i < len(loads); i++ {
					if got := loads[i].Time.Sub(loads[i-1].Time); got < loadTime {
						t.Errorf("got model loads %v apart, want at least %v because of the rate of the weight store", got, loadTime)
					}
				}
				if kind == "load" && len(loads) < 2 {
					t.Errorf("got %d model loads, want at least one by each lease holder", len(loads))
				}
				for i := range b.Entries() {
					if i != holder {
						b.wantComplete(b.startCalls(b.streamCall(i, b.deployment.Large, fmt.Sprint("orders", i), 8)).wait())
					}
				}
			})
		}
	}
}
