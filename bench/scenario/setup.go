// Package scenario compares the policies of the entries under load and faults.
package scenario

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"azuredoor.example/bench/fleet"
	"azuredoor.example/bench/load"
	"azuredoor.example/core/config"
)

// Settings of the engines and of the load. The engines are faster than real engines, so that a run of a few seconds
// has enough requests.
const (
	slots       = 20
	prefillRate = 12500
	tokenGap    = 20 * time.Millisecond
	batchCost   = 1.0
	// linkRate is the rate of the links between engines in bytes per second, in the settings of the engines and in the
	// specification of the pool.
	linkRate = 10 << 30

	firstTokenTarget = time.Second
	// tokenGapTarget is 1.5 times the time between tokens in a full batch.
	tokenGapTarget = 60 * time.Millisecond
	requestTimeout = 10 * time.Second
	queueTimeout   = 3 * time.Second
	// limitScale multiplies the limits of the example document, so that a load of three times the capacity stays
	// within the customers' rates.
	limitScale = 3
)

var (
	promptTokens = [2]int{200, 800}
	outputTokens = [2]int{20, 60}
	// documentTokens is the range of prompt lengths in the scenario that depends on the prefix cache.
	documentTokens = [2]int{2100, 4000}
)

// Setup describes a fleet to measure.
type Setup struct {
	Bin, Dir, Examples string
	Network            int
	Deployment         fleet.Deployment
	Policy             string
}

// testbed is a running fleet with its deployment and the model of its limits.
type testbed struct {
	*fleet.Fleet
	deployment fleet.Deployment
	buckets    *load.Buckets
	// steady is the report of the steady scenario, or nil if that scenario has not run yet.
	steady *load.Report
}

func (b *testbed) weight(customer string) float64 {
	if c := b.buckets.Set.Customers[customer]; c != nil {
		return float64(max(1, c.Weight))
	}
	return 1
}

func (s *Setup) start(ctx context.Context) (*testbed, error) {
	if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return nil, eris.Wrap(err, "create the run directory")
	}
	document := filepath.Join(s.Dir, "document.json")
	buckets, err := scaleDocument(filepath.Join(s.Examples, s.Deployment.Name+".json"), document)
	if err != nil {
		return nil, err
	}
	f, err := fleet.Start(ctx, fleet.Options{
		Bin: s.Bin, Dir: s.Dir, Network: s.Network, Example: document, Policy: s.Policy, Deployment: s.Deployment,
		DrainDelay: 200 * time.Millisecond,
		StandinArgs: []string{
			"-slots", strconv.Itoa(slots), "-batch", strconv.Itoa(slots), "-prefill-rate", strconv.Itoa(prefillRate),
			"-token-gap", tokenGap.String(), "-batch-cost", strconv.FormatFloat(batchCost, 'f', -1, 64),
			"-link-rate", strconv.Itoa(linkRate),
		},
	})
	if err != nil {
		return nil, err
	}
	return &testbed{Fleet: f, deployment: s.Deployment, buckets: buckets}, nil
}

type object struct {
	Kind string          `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
}

type document struct {
	Objects []object `json:"objects"`
}

// scaleDocument writes a copy of an example document with the limits and targets of the scenarios, and returns the
// model of the limits in the copy.
func scaleDocument(from, to string) (*load.Buckets, error) {
	data, err := os.ReadFile(from)
	if err != nil {
		return nil, eris.Wrap(err, "read the example")
	}
	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, eris.Wrapf(err, "decode %s", from)
	}
	changes := make([]config.Change, len(doc.Objects))
	for i, o := range doc.Objects {
		spec, err := config.Decode(o.Kind, o.Name, o.Spec)
		if err != nil {
			return nil, err
		}
		switch s := spec.(type) {
		case *config.Profile:
			scaleLimit(&s.CustomerLimit)
			if s.TokenGapTarget > 0 {
				s.FirstTokenTarget, s.TokenGapTarget = config.Duration(firstTokenTarget), config.Duration(tokenGapTarget)
				s.RequestTimeout, s.QueueTimeout = config.Duration(requestTimeout), config.Duration(queueTimeout)
			}
		case *config.Pool:
			if s.LinkBytesPerSecond > 0 {
				s.LinkBytesPerSecond = linkRate
			}
		case *config.Customer:
			if s.Limit != nil {
				scaleLimit(s.Limit)
			}
		}
		changes[i] = config.Change{Kind: o.Kind, Name: o.Name, Spec: spec}
		if doc.Objects[i].Spec, err = json.Marshal(spec); err != nil {
			return nil, eris.Wrap(err, "encode an object")
		}
	}
	set, err := config.NewSet().Apply(changes)
	if err != nil {
		return nil, err
	}
	if data, err = json.MarshalIndent(doc, "", "  "); err != nil {
		return nil, eris.Wrap(err, "encode the document")
	}
	return newBuckets(set), eris.Wrap(os.WriteFile(to, data, 0o600), "write the document")
}

// scaleLimit multiplies the rate of a limit by limitScale and sets the burst to the tokens of one second, so that a
// short run reaches the steady rate.
func scaleLimit(l *config.Limit) {
	l.TokensPerSecond *= limitScale
	l.BurstTokens = l.TokensPerSecond
}

func newBuckets(set *config.Set) *load.Buckets {
	profiles := map[string]string{}
	for _, route := range set.Routes {
		for _, model := range route.Models {
			profiles[model] = route.Profile
		}
		if route.PathPrefix != "" {
			profiles[route.PathPrefix] = route.Profile
		}
	}
	return &load.Buckets{Set: set, Profiles: profiles}
}

// Capacity returns the number of engine requests per second that the pool can finish. It is the smaller of the
// capacities of the prefill engines and the decode engines with full batches.
func Capacity(d fleet.Deployment) float64 {
	prefill, decode := 0.0, 0.0
	for _, s := range d.Standins {
		switch s.Role {
		case "prefill":
			prefill += prefillRate / mean(promptTokens)
		case "decode":
			decode += slots / (tokenGap.Seconds() * (1 + batchCost)) / mean(outputTokens)
		}
	}
	return min(prefill, decode)
}

// mean returns the arithmetic mean of a range. It is larger than the mean of log-uniform prompt lengths, so Capacity
// is slightly too low.
func mean(r [2]int) float64 { return float64(r[0]+r[1]) / 2 }

// loadShare returns a customer's share of the load. The first two customers have larger shares than the others.
func loadShare(d fleet.Deployment, customer string) float64 {
	for _, large := range d.Customers[:2] {
		if customer == large {
			return 0.3
		}
	}
	return 0.4 / float64(len(d.Customers)-2)
}

const (
	mainModelShare = 0.7
	lookUpRate     = 20.0
	bookingRate    = 10.0
)

// flows returns the flows of all customers: engine requests at a total rate, and in addition look-ups and bookings.
func flows(d fleet.Deployment, rate float64, prompt [2]int, documents int) []load.Flow {
	var list []load.Flow
	for _, customer := range d.Customers {
		customerShare := loadShare(d, customer)
		for i, model := range d.Models {
			modelShare := mainModelShare
			if i > 0 {
				modelShare = 1 - mainModelShare
			}
			list = append(list, load.Flow{
				Customer: customer, Kind: load.Completion, Rate: rate * customerShare * modelShare, Model: model,
				PromptTokens: prompt, OutputTokens: outputTokens, Documents: documents,
			})
		}
		list = append(list,
			load.Flow{Customer: customer, Kind: load.LookUp, Rate: lookUpRate * customerShare, Path: d.Idempotent},
			load.Flow{Customer: customer, Kind: load.Booking, Rate: bookingRate * customerShare, Path: d.NonIdempotent})
	}
	return list
}

// targets returns the latency targets by kind of request.
func targets(d fleet.Deployment, b *load.Buckets) map[load.Kind]load.Targets {
	plain := func(path string) load.Targets {
		return load.Targets{FirstToken: time.Duration(b.Set.Profiles[b.Profiles[path]].FirstTokenTarget)}
	}
	engine := load.Targets{FirstToken: firstTokenTarget, TokenGap: tokenGapTarget}
	return map[load.Kind]load.Targets{
		load.Completion: engine, load.Chat: engine, load.LookUp: plain(d.Idempotent), load.Booking: plain(d.NonIdempotent),
	}
}
