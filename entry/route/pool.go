// Package route selects upstreams for prefill, decode and plain service calls.
//
// Each selection compares two random candidates and, for prefill, the engines that hold the longest cached prefix. Two
// random choices keep the longest queue short. Unlike choosing the least loaded upstream of all, they do not send
// entries with the same outdated information to the same upstream (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", IEEE TPDS 12(10), 2001). The cost does not depend on the size of the pool.
//
// A Pool is not safe for concurrent use.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/relay"
)

type role int

const (
	rolePrefill role = iota
	roleDecode
	roleService
	roleCount
)

// node is the state of one upstream incarnation.
type node struct {
	relay.Upstream
	// key is unique to each incarnation, so that prefix cache hints of an earlier incarnation are ignored.
	key     uint32
	slots   int
	models  []string
	kind    string
	role    string
	accepts bool
	health  health
	load    load
	// linkFreeAt is when the transfers that this entry sent to the node are expected to complete on its link.
	linkFreeAt time.Time
	// hintAccuracy is the average fraction of the expected cached tokens that the engine had cached, from 0 to 1.
	hintAccuracy float64
	lastSequence uint64
}

func (n *node) supportsRole(r role) bool {
	switch r {
	case rolePrefill:
		return n.kind != "service" && n.role != "decode"
	case roleDecode:
		return n.kind != "service" && n.role != "prefill"
	default:
		return n.kind == "service"
	}
}

// candidateList holds the accepting upstreams of one role and model.
type candidateList struct {
	all      []*node
	byDomain map[string][]*node
}

type listKey struct {
	role  role
	model string
}

// Pool selects among the upstreams of one configured pool.
type Pool struct {
	domain  string
	random  *rand.Rand
	nodes   map[string]*node
	lists   map[listKey]*candidateList
	nextKey uint32
	groups  map[string]*group
	prefix  *prefixIndex
	// linkRate is the rate of an engine's transfer link in bytes per second; 0 means unknown.
	linkRate float64
	// kvBytesPerToken is the average size of a prefill result in bytes per prompt token, averagePromptTokens the
	// average number of uncached prompt tokens of a prefill.
	kvBytesPerToken, averagePromptTokens float64
	reservations                         map[string]reservation
	lastExpiry                           time.Time
}

type reservation struct {
	node  *node
	since time.Time
}

// NewPool returns a pool without upstreams. Pools with different seeds make different random choices from the same
// information. The domain is the failure domain of this entry.
func NewPool(seed uint64, domain string) *Pool {
	return &Pool{
		domain: domain, random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), nodes: map[string]*node{},
		lists: map[listKey]*candidateList{}, groups: map[string]*group{}, prefix: newPrefixIndex(),
		averagePromptTokens: 1000, reservations: map[string]reservation{},
	}
}

// Set replaces the upstreams. Upstreams that do not accept work are no longer selected. LinkRate is the rate of one
// engine's transfer link in bytes per second; 0 means unknown.
func (p *Pool) Set(upstreams []*fleetpb.Upstream, linkRate int64) {
	p.linkRate = float64(linkRate)
	nodes := make(map[string]*node, len(upstreams))
	p.lists = map[listKey]*candidateList{}
	for _, g := range p.groups {
		g.size = 0
	}
	for _, u := range upstreams {
		n := p.nodes[u.Id]
		if n == nil || n.Incarnation != u.Incarnation {
			p.nextKey++
			n = &node{key: p.nextKey, hintAccuracy: 1}
		}
		n.Upstream = relay.Upstream{ID: u.Id, Incarnation: u.Incarnation, Address: u.Address, FailureDomain: u.FailureDomain}
		n.slots, n.models, n.kind, n.role, n.accepts = int(u.Slots), u.Models, u.Kind, u.Role, control.AcceptsRequests(u)
		nodes[u.Id] = n
		if n.accepts {
			p.group(n).size++
			p.addCandidate(n)
		}
	}
	p.nodes = nodes
	p.prefix.nodes = make(map[uint32]*node, len(nodes))
	for _, n := range nodes {
		if n.accepts && n.supportsRole(rolePrefill) {
			p.prefix.nodes[n.key] = n
		}
	}
	for name, g := range p.groups {
		if g.size == 0 {
			delete(p.groups, name)
		}
	}
}

func (p *Pool) addCandidate(n *node) {
	for r := range roleCount {
		if !n.supportsRole(r) {
			continue
		}
		models := n.models
		if r == roleService {
			models = []string{""}
		}
		for _, model := range models {
			key := listKey{r, model}
			l := p.lists[key]
			if l == nil {
				l = &candidateList{byDomain: map[string][]*node{}}
				p.lists[key] = l
			}
			l.all = append(l.all, n)
			l.byDomain[n.FailureDomain] = append(l.byDomain[n.FailureDomain], n)
		}
	}
}

// group returns the group of upstreams of the node's kind and role. At most half of a group is ejected at a time.
func (p *Pool) group(n *node) *group {
	name := n.kind + "/" + n.role
	g := p.groups[name]
	if g == nil {
		g = &group{}
		p.groups[name] = g
	}
	return g
}

// Slots returns the number of requests that the accepting upstreams can run concurrently: for engines, the slots of the
// decode engines of the model.
func (p *Pool) Slots(model string) int {
	total := 0
	for _, key := range []listKey{{roleDecode, model}, {roleService, ""}} {
		if l := p.lists[key]; l != nil {
			for _, n := range l.all {
				total += n.slots
			}
		}
	}
	return total
}

// AllSlots returns the number of slots of all accepting decode engines and services; an upstream with several models
// counts once. Decode engines have no slots while no engine accepts prefills, because no generation can start.
func (p *Pool) AllSlots() int {
	total := 0
	for _, n := range p.nodes {
		if n.accepts && (n.supportsRole(roleDecode) && p.PrefillEngines() > 0 || n.supportsRole(roleService)) {
			total += n.slots
		}
	}
	return total
}

// PrefillEngines returns the number of upstreams that accept prefills, including ejected ones.
func (p *Pool) PrefillEngines() int { return len(p.prefix.nodes) }

// Started records that a stage of a request starts on an upstream.
func (p *Pool) Started(now time.Time, r *relay.Request, id string, stage relay.Stage) {
	n := p.nodes[id]
	if n == nil {
		return
	}
	n.health.start()
	switch stage {
	case relay.StageReserve:
		n.load.start(now)
		p.reservations[r.ID+" "+id] = reservation{n, now}
		p.reserveLink(now, n, r.PromptTokens)
	case relay.StagePrefill:
		n.load.start(now)
		p.reserveLink(now, n, r.PromptTokens)
	case relay.StageDecode:
		key := r.ID + " " + id
		if _, ok := p.reservations[key]; ok {
			delete(p.reservations, key)
		} else {
			n.load.start(now)
		}
	case relay.StageService:
		n.load.start(now)
	}
	p.expireReservations(now)
}

// reservationLifetime bounds how long a slot counts as reserved when no decode follows.
const reservationLifetime = 5 * time.Second

func (p *Pool) expireReservations(now time.Time) {
	if now.Sub(p.lastExpiry) < time.Second {
		return
	}
	p.lastExpiry = now
	for key, r := range p.reservations {
		if now.Sub(r.since) > reservationLifetime {
			r.node.load.end(now)
			delete(p.reservations, key)
		}
	}
}

func (p *Pool) reserveLink(now time.Time, n *node, promptTokens int) {
	if p.linkRate <= 0 || p.kvBytesPerToken <= 0 {
		return
	}
	from := now
	if n.linkFreeAt.After(now) {
		from = n.linkFreeAt
	}
	n.linkFreeAt = from.Add(time.Duration(float64(promptTokens) * p.kvBytesPerToken / p.linkRate * float64(time.Second)))
}

// Observe records the outcome of a stage.
func (p *Pool) Observe(now time.Time, o relay.Outcome) {
	n := p.nodes[o.Upstream.ID]
	if n == nil || n.Incarnation != o.Upstream.Incarnation {
		return
	}
	if o.Stage != relay.StageReserve {
		n.load.end(now)
	} else if o.Kind != relay.Succeeded {
		key := o.Request.ID + " " + n.ID
		if _, ok := p.reservations[key]; ok {
			delete(p.reservations, key)
			n.load.end(now)
		}
	}
	if o.Kind == relay.Full {
		n.load.full(n.slots)
	}
	if o.Stage == relay.StagePrefill && o.Kind == relay.Succeeded {
		p.observePrefill(now, n, o)
	}
	p.updateHealth(now, n, o)
}

func (p *Pool) observePrefill(now time.Time, n *node, o relay.Outcome) {
	fresh := float64(max(0, o.Tokens-o.CachedTokens))
	p.averagePromptTokens += (fresh - p.averagePromptTokens) / 32
	if o.Tokens > 0 && o.KVBytes > 0 {
		size := float64(o.KVBytes) / float64(o.Tokens)
		if p.kvBytesPerToken == 0 {
			p.kvBytesPerToken = size
		}
		p.kvBytesPerToken += (size - p.kvBytesPerToken) / 32
	}
	if o.Request == nil {
		return
	}
	if expected := p.prefix.cachedBlocks(now, o.Request.PrefixHashes, n) * blockTokens; expected > 0 {
		n.hintAccuracy += (min(1, float64(o.CachedTokens)/float64(min(expected, max(1, o.Tokens)))) - n.hintAccuracy) / 4
		n.hintAccuracy = max(n.hintAccuracy, 0.05)
	}
	// The engine holds the prompt's blocks from now on, even before its cache event arrives.
	p.prefix.add(now, n, o.Request.PrefixHashes)
}

// ObserveLoad records the load that an engine reports.
func (p *Pool) ObserveLoad(now time.Time, id string, l relay.Load) {
	if n := p.nodes[id]; n != nil {
		n.load.report(now, l, n.slots)
	}
}

// ObserveCache records a change of an engine's prefix cache.
func (p *Pool) ObserveCache(now time.Time, id string, incarnation uint64, e relay.CacheEvent) {
	n := p.nodes[id]
	if n == nil || n.Incarnation != incarnation {
		return
	}
	if e.Sequence != 0 && e.Sequence <= n.lastSequence {
		return
	}
	if n.lastSequence != 0 && e.Sequence > n.lastSequence+1 {
		// The lost events may include evictions, so the accuracy of the hints is halved until prefills confirm the
		// hints.
		n.hintAccuracy = max(n.hintAccuracy/2, 0.05)
	}
	n.lastSequence = e.Sequence
	if e.Added {
		p.prefix.add(now, n, e.Hashes)
		return
	}
	p.prefix.remove(n, e.Hashes)
}

func excluded(exclude []string, n *node) bool { return slices.Contains(exclude, n.ID) }
