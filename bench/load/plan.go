// Package load sends seeded, open-loop load to entries and verifies each response.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Flow describes the requests of one kind from one customer. The requests arrive as a Poisson process.
type Flow struct {
	Customer string
	Kind     Kind
	// Rate is in requests per second.
	Rate  float64
	Model string
	// PromptTokens and OutputTokens are inclusive ranges. Prompt lengths are distributed log-uniformly, output
	// lengths uniformly.
	PromptTokens, OutputTokens [2]int
	// Documents is the number of distinct texts that prompts begin with, so that prompts share prefixes in the
	// prefix cache; 0 means that all prompts differ.
	Documents int
	// Path is the path of plain requests; LookUp requests append an item to the path.
	Path string
}

// Plan describes a load: the requests, their times and the entries that receive them.
type Plan struct {
	// Name is part of idempotency keys and prompts, so that plans with equal seeds don't share them.
	Name     string
	Flows    []Flow
	Duration time.Duration
	Seed     uint64
	// URLs are the base URLs of the entries.
	URLs []string
	// Shares are the relative parts of the load that the entries receive; the load is even if Shares is empty.
	Shares []float64
	Keys   map[string]string
	// Healthy reports whether the load balancer sends requests to entry URLs[i]; nil means always.
	Healthy func(i int) bool
	// Timeout is the timeout of one request.
	Timeout time.Duration
}

// Arrival is one request of a plan.
type Arrival struct {
	At time.Duration
	// Charge is the number of tokens that the request takes from the customer's token bucket.
	Charge int64
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	Flow         *Flow
	// Entry is the index in URLs of the entry that the load balancer prefers.
	Entry int
	Call  Call
}

// Arrivals returns the requests in order of their times. Equal plans yield equal requests.
func (p *Plan) Arrivals() []Arrival {
	var list []Arrival
	for i := range p.Flows {
		flow := &p.Flows[i]
		random := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		for at := p.nextArrival(random, flow, 0); at < p.Duration; at = p.nextArrival(random, flow, at) {
			list = append(list, p.newArrival(random, flow, at, i, len(list)))
		}
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return int(a.At - b.At) })
	return list
}

func (p *Plan) nextArrival(random *rand.Rand, flow *Flow, at time.Duration) time.Duration {
	if flow.Rate <= 0 {
		return p.Duration
	}
	return at + time.Duration(random.ExpFloat64()/flow.Rate*float64(time.Second))
}

func (p *Plan) newArrival(random *rand.Rand, flow *Flow, at time.Duration, flowIndex, arrivalIndex int) Arrival {
	call := Call{
		Kind: flow.Kind, Customer: flow.Customer, Key: p.Keys[flow.Customer], Timeout: p.Timeout,
	}
	id := fmt.Sprintf("%s-%d-%d-%d", p.Name, p.Seed, flowIndex, arrivalIndex)
	a := Arrival{At: at, Flow: flow, Entry: p.pickEntry(random)}
	switch flow.Kind {
	case LookUp:
		call.Path = flow.Path + "/item-" + id
	case Booking:
		call.Path, call.Body, call.IdempotencyKey = flow.Path, `{"order":"`+id+`"}`, id
	default:
		output := flow.OutputTokens[0] + random.IntN(flow.OutputTokens[1]-flow.OutputTokens[0]+1)
		call.Model, call.MaxTokens = flow.Model, output
		call.Prompt, a.PromptTokens = makePrompt(random, flow, id, output)
		a.Charge = int64(a.PromptTokens + output)
	}
	a.Call = call
	return a
}

func (p *Plan) pickEntry(random *rand.Rand) int {
	if len(p.Shares) == 0 {
		return random.IntN(len(p.URLs))
	}
	total := 0.0
	for _, share := range p.Shares {
		total += share
	}
	point := random.Float64() * total
	for i, share := range p.Shares {
		if point < share {
			return i
		}
		point -= share
	}
	return len(p.URLs) - 1
}

// makePrompt returns a prompt and its length in tokens. The prompt begins with the text of one of the flow's
// documents, if the flow has any, and ends with words that are unique to the request.
func makePrompt(random *rand.Rand, flow *Flow, id string, output int) (text string, tokens int) {
	low, high := math.Log(float64(flow.PromptTokens[0])), math.Log(float64(flow.PromptTokens[1]))
	tokens = max(2, int(math.Exp(low+random.Float64()*(high-low))))
	document := id
	if flow.Documents > 0 {
		document = fmt.Sprintf("%s-document-%d", flow.Customer, random.IntN(flow.Documents))
	}
	var b strings.Builder
	for i := range tokens - 2 {
		fmt.Fprintf(&b, "%s.%d ", document, i)
	}
	fmt.Fprintf(&b, "request-%s len=%d", id, output)
	return b.String(), tokens
}

// entryURL returns the URL of the preferred entry, or of the next healthy entry if the preferred entry is unhealthy.
func (p *Plan) entryURL(preferred int) string {
	for i := range p.URLs {
		entry := (preferred + i) % len(p.URLs)
		if p.Healthy == nil || p.Healthy(entry) {
			return p.URLs[entry]
		}
	}
	return p.URLs[preferred]
}
