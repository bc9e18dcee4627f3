// Package admit controls the admission of requests to a pool.
//
// The slots of a pool are shared max-min fair among customers, over the demand of all entries. Waiting requests are
// scheduled by start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queuing", SIGCOMM 1996), first among
// priority classes and then among the customers of a class, in tokens of work. A request that cannot start in time is
// refused on arrival.
//
// A Queue is not safe for concurrent use.
package admit

import (
	"container/heap"
	"time"

	"azuredoor.example/core/config"
)

// Classes is the number of priority classes.
const Classes = 10

// classWeight returns the weight of a class. Each class gets twice the service of the class below, so urgent work goes
// first and the lowest class still gets 1/1023 of the service.
func classWeight(class int) float64 { return float64(int(1) << class) }

// Item is a request in a Queue.
type Item struct {
	Customer string
	// Class is the priority from 0 to 9; higher classes are more urgent.
	Class int
	// Work is the sum of the prompt and output tokens of the request, at least 1.
	Work    int64
	Arrived time.Time
	// LatestStart is the time after which the request can no longer meet its target or its queue timeout.
	LatestStart time.Time
	// Ready is not used by Queue. The caller can use it to signal whether the request starts or has expired.
	Ready chan bool

	state    itemState
	sequence uint64
	sortKey  float64
	started  time.Time
	// flowIndex is the position in the heap of the flow; deadlineIndex is the position in the deadline heap.
	flowIndex, deadlineIndex int
}

type itemState int

const (
	itemNew itemState = iota
	itemWaiting
	itemRunning
	itemEnded
)

// flow holds the waiting requests of one customer in one class.
type flow struct {
	customer *customer
	class    *class
	items    itemHeap
	// startTag is the start tag of the first item; finishTag is the finish tag of the last item served.
	startTag, finishTag float64
	// classIndex is the position in the heap of the class, or -1 if the flow is not in the heap.
	classIndex int
	// blocked is set while the customer holds all slots of its share.
	blocked bool
}

// class holds the flows of one priority class.
type class struct {
	index               int
	flows               flowHeap
	waiting             int
	virtualTime         float64
	startTag, finishTag float64
}

// customer is the demand and the share of one customer.
type customer struct {
	name    string
	hash    uint64
	weight  float64
	waiting int
	running int
	// waitingWork is the total work of the customer's waiting requests at this entry.
	waitingWork int64
	// peerDemand is the demand at other entries; demandBefore is the part of peerDemand at entries with lower session IDs.
	peerDemand, demandBefore int
	// share is the share over all entries, in slots; roundingOffset is the offset at which the local share is rounded.
	share, roundingOffset float64
	// need is the demand in slots during the water filling.
	need  float64
	flows [Classes]*flow
}

func (c *customer) localDemand() int { return c.waiting + c.running }
func (c *customer) demand() int      { return c.localDemand() + c.peerDemand }

// Options configure a Queue.
type Options struct {
	// Session is the session ID of this entry; session IDs order the entries when shares are rounded.
	Session uint64
	// Weight returns a customer's weight, at least 1. If Weight is nil, all weights are 1.
	Weight func(customer string) int
}

// Queue admits requests to one pool at one entry.
type Queue struct {
	options      Options
	slots        int
	objective    config.Objective
	customers    map[string]*customer
	customerList []*customer
	sorted       bool
	peers        map[uint64]*peerReport
	classes      [Classes]class
	virtualTime  float64
	sequence     uint64
	running      int
	// peerRunning is the number of running requests at other entries, from their reports.
	peerRunning int
	waiting     int
	deadlines   deadlineHeap
	// contended is set while the total demand exceeds the slots.
	contended bool
	// fairLevel is the fair share in slots per unit of weight, or +Inf without contention.
	fairLevel float64
	// dirty is set if the shares must be recalculated; balancedAt is when they were last recalculated.
	dirty      bool
	balancedAt time.Time
	// holdPerWork is the average time that requests hold a slot, in seconds per token of work.
	holdPerWork float64
	averageWork float64
	holdSamples int
}

// New returns an empty queue without slots.
func New(o Options) *Queue {
	q := &Queue{options: o, objective: config.WorstServed, customers: map[string]*customer{}, peers: map[uint64]*peerReport{}}
	for i := range q.classes {
		q.classes[i].index = i
	}
	return q
}

// SetSession changes the session ID after the entry opened a new session.
func (q *Queue) SetSession(session uint64) {
	q.options.Session = session
	q.recomputeDemandBefore()
}

// SetSlots sets the total number of requests that the upstreams of the pool can hold.
func (q *Queue) SetSlots(slots int) {
	if q.slots != slots {
		q.slots, q.dirty = slots, true
	}
}

// SetObjective changes the objective under contention and reorders the waiting requests.
func (q *Queue) SetObjective(objective config.Objective) {
	if q.objective == objective {
		return
	}
	q.objective, q.dirty = objective, true
	q.reorder()
}

// Waiting returns the number of requests that wait at this entry.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of requests of this entry that hold a slot.
func (q *Queue) Running() int { return q.running }

// Entries returns the number of entries that report demand, including this one.
func (q *Queue) Entries() int { return len(q.peers) + 1 }

// ReloadWeights reloads the weights of all customers after a change of the configuration.
func (q *Queue) ReloadWeights() {
	for _, c := range q.customerList {
		c.weight = q.weight(c.name)
	}
	q.dirty = true
}

func (q *Queue) weight(name string) float64 {
	if q.options.Weight == nil {
		return 1
	}
	return float64(max(1, q.options.Weight(name)))
}

func (q *Queue) customer(name string) *customer {
	c := q.customers[name]
	if c == nil {
		c = &customer{name: name, hash: hash(name), weight: q.weight(name)}
		q.customers[name] = c
		q.customerList = append(q.customerList, c)
		q.sorted, q.dirty = false, true
	}
	return c
}

// Refusal describes a refused request.
type Refusal struct {
	// RetryAfter is the delay after which the caller should retry, at least 100 ms.
	RetryAfter time.Duration
	// Wait is the estimated time until the request could have started.
	Wait time.Duration
}

// Offer enqueues a request. It returns a refusal if the request cannot start in time.
func (q *Queue) Offer(now time.Time, item *Item) *Refusal {
	if q.slots > 0 && q.running+q.peerRunning+q.waiting >= q.slots {
		q.balance(now)
	}
	c := q.customer(item.Customer)
	wait := q.estimateWait(now, c, item)
	if left := item.LatestStart.Sub(now); wait > max(left, 0) {
		return &Refusal{RetryAfter: max(wait-max(left, 0), 100*time.Millisecond), Wait: wait}
	}
	q.sequence++
	item.state, item.sequence = itemWaiting, q.sequence
	f := c.flows[item.Class]
	if f == nil {
		f = &flow{customer: c, class: &q.classes[item.Class], classIndex: -1}
		c.flows[item.Class] = f
	}
	item.sortKey = q.sortKey(item)
	heap.Push(&f.items, item)
	heap.Push(&q.deadlines, item)
	c.waiting++
	c.waitingWork += item.Work
	q.waiting++
	q.dirty = true
	k := f.class
	if k.waiting++; k.waiting == 1 {
		k.startTag = max(q.virtualTime, k.finishTag)
	}
	if len(f.items) == 1 {
		f.startTag = max(k.virtualTime, f.finishTag)
	}
	f.blocked = false
	q.schedule(f)
	return nil
}

// schedule adds a flow with waiting requests to the heap of its class, or updates its position there, unless the flow is
// blocked.
func (q *Queue) schedule(f *flow) {
	if f.blocked || len(f.items) == 0 {
		return
	}
	if f.classIndex >= 0 {
		heap.Fix(&f.class.flows, f.classIndex)
		return
	}
	heap.Push(&f.class.flows, f)
}

// Next starts and returns the next request that may start now, or returns nil if there is none.
func (q *Queue) Next(now time.Time) *Item {
	q.balance(now)
	for q.running+q.peerRunning < q.slots {
		k := q.nextClass()
		if k == nil {
			return nil
		}
		f := k.flows.flows[0]
		if !q.entitled(f.customer) {
			heap.Pop(&k.flows)
			f.blocked = true
			continue
		}
		item := f.items[0]
		q.serve(k, f, item)
		item.state, item.started = itemRunning, now
		f.customer.running++
		q.running++
		return item
	}
	return nil
}

func (q *Queue) nextClass() *class {
	var first *class
	for i := Classes - 1; i >= 0; i-- {
		if k := &q.classes[i]; k.flows.Len() > 0 && (first == nil || k.startTag < first.startTag) {
			first = k
		}
	}
	return first
}

// serve advances the tags by the work of an item and removes the item from its flow.
func (q *Queue) serve(k *class, f *flow, item *Item) {
	q.virtualTime = k.startTag
	k.finishTag = k.startTag + float64(item.Work)/classWeight(k.index)
	k.startTag = k.finishTag
	k.virtualTime = max(k.virtualTime, f.startTag)
	f.finishTag = f.startTag + float64(item.Work)/f.customer.weight
	f.startTag = f.finishTag
	q.unlink(f, item)
}

func (q *Queue) unlink(f *flow, item *Item) {
	heap.Remove(&f.items, item.flowIndex)
	f.class.waiting--
	f.customer.waiting--
	f.customer.waitingWork -= item.Work
	heap.Remove(&q.deadlines, item.deadlineIndex)
	q.waiting--
	q.dirty = true
	if f.classIndex < 0 {
		return
	}
	if len(f.items) == 0 {
		heap.Remove(&f.class.flows, f.classIndex)
		return
	}
	heap.Fix(&f.class.flows, f.classIndex)
}

// Cancel removes a waiting request. It returns false if the request is not waiting.
func (q *Queue) Cancel(item *Item) bool {
	if item.state != itemWaiting {
		return false
	}
	item.state = itemEnded
	q.unlink(q.customers[item.Customer].flows[item.Class], item)
	return true
}

// Done releases the slot of a request. Only a request that ran updates the estimates of service times. The estimates are
// per token of announced work, because only the announced work of waiting requests is known.
func (q *Queue) Done(now time.Time, item *Item, ran bool) {
	if item.state != itemRunning {
		return
	}
	item.state = itemEnded
	c := q.customers[item.Customer]
	c.running--
	q.running--
	q.dirty = true
	q.unblock(c)
	if !ran {
		return
	}
	hold := now.Sub(item.started).Seconds() / float64(item.Work)
	q.holdSamples++
	gain := 1 / float64(min(q.holdSamples, 64))
	q.holdPerWork += (hold - q.holdPerWork) * gain
	q.averageWork += (float64(item.Work) - q.averageWork) * gain
}

func (q *Queue) unblock(c *customer) {
	for _, f := range c.flows {
		if f != nil && f.blocked {
			f.blocked = false
			q.schedule(f)
		}
	}
}

// Expire removes and returns a waiting request whose latest start has passed, or returns nil if there is none.
func (q *Queue) Expire(now time.Time) *Item {
	if len(q.deadlines) == 0 || now.Before(q.deadlines[0].LatestStart) {
		return nil
	}
	item := q.deadlines[0]
	q.Cancel(item)
	return item
}

// estimateWait returns the estimated time until a request of a customer could start. The estimate is the work waiting
// before the request, divided by the customer's share of the recent service rate.
func (q *Queue) estimateWait(now time.Time, c *customer, item *Item) time.Duration {
	if q.holdSamples == 0 || q.slots == 0 || (!q.contended && q.running+q.peerRunning+q.waiting < q.slots) {
		return 0
	}
	slots := q.localShare(c)
	if !q.contended {
		slots = float64(q.slots)
	}
	if slots < 0.5 {
		// The local share of a new customer is not known until its demand is known.
		slots = max(slots, min(q.fairLevel*c.weight, float64(q.slots)/float64(len(q.customers))), 0.05)
	}
	if q.contended && float64(c.demand()+1) <= q.fairLevel*c.weight {
		// A customer below its share gets the next slots that become free at this entry. Its local share is
		// proportional to its demand and does not predict the time until then.
		slots = max(slots, float64(q.running), float64(q.slots)/float64(len(q.peers)+1))
	}
	if float64(c.localDemand()) < slots && float64(q.running+q.peerRunning) < float64(q.slots) {
		return 0
	}
	ahead := float64(c.waitingWork)
	if q.objective == config.Goodput {
		ahead = q.workBefore(c, item)
	}
	// Running requests have on average half of their work left.
	ahead += q.averageWork / 2
	return time.Duration(ahead * q.holdPerWork / slots * float64(time.Second))
}

// workBefore estimates the customer's waiting work that would start before a request under the goodput objective.
func (q *Queue) workBefore(c *customer, item *Item) float64 {
	key := q.sortKey(item)
	f := c.flows[item.Class]
	if f == nil || len(f.items) == 0 || f.items[0].sortKey >= key {
		return 0
	}
	// Items are in heap order, not sorted, so half of the waiting work is used as the estimate.
	return float64(c.waitingWork) / 2
}
