package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	// batchCustomers is the number of customers per apply call while customers are added.
	batchCustomers = 2000
	applyParallel  = 16
)

// change is one changed object in an apply call.
type change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Spec any    `json:"spec"`
}

// apply applies changes to the configuration and returns the new revision.
func (b *testbed) apply(ctx context.Context, changes []change) (uint64, error) {
	body, err := json.Marshal(map[string]any{"changes": changes})
	if err != nil {
		return 0, eris.Wrap(err, "encode a change")
	}
	var response struct {
		Revision uint64 `json:"revision"`
	}
	err = b.admin(ctx, http.MethodPost, "/v1/apply", body, &response)
	return response.Revision, err
}

// customerObjects returns the objects of one customer: the customer and its key.
func customerObjects(i, weight int) []change {
	name := fmt.Sprintf("customer-%05d", i)
	hash := sha256.Sum256([]byte(name))
	return []change{
		{"customer", name, map[string]any{"weight": weight, "limit": map[string]int{"tokensPerSecond": 4000, "burstTokens": 24000}}},
		{"key", name, map[string]any{"customer": name, "sha256": hex.EncodeToString(hash[:])}},
	}
}

// addCustomers adds customers until the configuration has n customers.
func (b *testbed) addCustomers(ctx context.Context, n int) error {
	for b.customers < n {
		var changes []change
		for range min(batchCustomers, n-b.customers) {
			changes = append(changes, customerObjects(b.customers, 1)...)
			b.customers++
		}
		if _, err := b.apply(ctx, changes); err != nil {
			return err
		}
	}
	return nil
}

// changeWeight sets a random weight for a random customer.
func (b *testbed) changeWeight(ctx context.Context) (uint64, error) {
	return b.apply(ctx, customerObjects(b.random.IntN(b.customers), 1+b.random.IntN(1000))[:1])
}

// changeAtRate returns a function that makes the changes of one window at a steady rate, or as fast as the control group
// accepts them if that is slower.
func (b *testbed) changeAtRate(perSecond int) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		if perSecond == 0 {
			return nil
		}
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		var group errgroup.Group
		group.SetLimit(applyParallel)
		for range b.count(perSecond) {
			changes := customerObjects(b.random.IntN(b.customers), 1+b.random.IntN(1000))[:1]
			group.Go(func() error {
				_, err := b.apply(ctx, changes)
				return err
			})
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
		}
		return group.Wait()
	}
}

// maxPropagation is the maximum time from the acknowledgement of a change until the change is in effect at all entries;
// see I10 in docs/design.md.
const maxPropagation = 4 * time.Second

// measurePropagation makes changes one after the other. It measures the time until each change has reached all simulated
// entries, from the sending of the change and from its acknowledgement.
func (b *testbed) measurePropagation(ctx context.Context, name string, count int) error {
	var fromSend, fromAck []time.Duration
	for range count {
		sent := time.Now()
		revision, err := b.changeWeight(ctx)
		if err != nil {
			return err
		}
		acknowledged := time.Now()
		last, ok := b.sessions.arrivalAtAll(revision)
		for ; !ok; last, ok = b.sessions.arrivalAtAll(revision) {
			if time.Since(acknowledged) > 2*maxPropagation {
				return eris.Errorf("revision %d did not reach all entries within %v", revision, 2*maxPropagation)
			}
			if err := pause(ctx, time.Millisecond); err != nil {
				return err
			}
		}
		fromSend, fromAck = append(fromSend, last.Sub(sent)), append(fromAck, max(0, last.Sub(acknowledged)))
	}
	for _, series := range []struct {
		from  string
		times []time.Duration
	}{{"sending", fromSend}, {"acknowledgement", fromAck}} {
		slices.Sort(series.times)
		b.result.addFigure(fmt.Sprintf("%s: change at all entries after %s, median", name, series.from), "ms", milliseconds(series.times[len(series.times)/2]))
		b.result.addFigure(fmt.Sprintf("%s: change at all entries after %s, longest of %d", name, series.from, count), "ms", milliseconds(series.times[len(series.times)-1]))
	}
	b.printf("  %s: change at all entries: longest %v after sending, %v after acknowledgement\n", name, fromSend[len(fromSend)-1], fromAck[len(fromAck)-1])
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
