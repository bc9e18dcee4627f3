package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azuredoor.example/core/config"
)

const (
	// demandLifetime is how long a peer's reported demand stays valid; peers report every 200 ms.
	demandLifetime = time.Second
	// balanceIntervalPerCustomer, times the number of customers, is the minimum interval between recalculations of the
	// shares, so that recalculations take a small fraction of the time for any number of customers.
	balanceIntervalPerCustomer = 5 * time.Microsecond
	// rotationPeriod is the interval at which the rounding offsets move, so that entries take turns to serve a share of
	// less than one slot.
	rotationPeriod       = 500 * time.Millisecond
	goldenRatioConjugate = 0.6180339887498949
	// roundingTolerance is added to both ends of each interval, because entries compute a common end with different rounding
	// errors. Without it, an end that is a whole number could count for both entries or for none.
	roundingTolerance = 1e-9
)

func hash(name string) uint64 { return xxhash.Sum64String(name) }

// Demand is the number of waiting and running requests of a customer at one entry.
type Demand struct {
	Waiting, Running int
}

// peerReport is the last demand that another entry reported.
type peerReport struct {
	demand     map[string]Demand
	reportedAt time.Time
}

// SetPeer replaces the reported demand of another entry. The report expires after a second.
func (q *Queue) SetPeer(now time.Time, session uint64, demand map[string]Demand) {
	q.dropPeer(session)
	q.peers[session] = &peerReport{demand, now}
	q.addPeerDemand(session, demand, 1)
}

func (q *Queue) dropPeer(session uint64) {
	if p := q.peers[session]; p != nil {
		q.addPeerDemand(session, p.demand, -1)
		delete(q.peers, session)
	}
}

func (q *Queue) addPeerDemand(session uint64, demand map[string]Demand, sign int) {
	for name, d := range demand {
		c := q.customer(name)
		c.peerDemand += sign * (d.Waiting + d.Running)
		if session < q.options.Session {
			c.demandBefore += sign * (d.Waiting + d.Running)
		}
		q.peerRunning += sign * d.Running
	}
	q.dirty = true
}

// recomputeDemandBefore recalculates demandBefore of all customers after the session ID of this entry changed.
func (q *Queue) recomputeDemandBefore() {
	for _, c := range q.customerList {
		c.demandBefore = 0
	}
	for session, p := range q.peers {
		if session >= q.options.Session {
			continue
		}
		for name, d := range p.demand {
			q.customer(name).demandBefore += d.Waiting + d.Running
		}
	}
	q.dirty = true
}

// Demand calls f for each customer with waiting or running requests at this entry.
func (q *Queue) Demand(f func(customer string, d Demand)) {
	for _, c := range q.customerList {
		if c.localDemand() > 0 {
			f(c.name, Demand{c.waiting, c.running})
		}
	}
}

// balance recalculates the shares if demand, slots or weights changed or the rounding offsets are due to move, at
// intervals that limit its cost.
func (q *Queue) balance(now time.Time) {
	interval := time.Duration(len(q.customerList)) * balanceIntervalPerCustomer
	rotated := now.UnixNano()/int64(rotationPeriod) != q.balancedAt.UnixNano()/int64(rotationPeriod)
	if !q.dirty && !rotated || now.Sub(q.balancedAt) < interval {
		return
	}
	q.dirty, q.balancedAt = false, now
	for session, p := range q.peers {
		if now.Sub(p.reportedAt) > demandLifetime {
			q.dropPeer(session)
		}
	}
	q.removeIdleCustomers()
	if !q.sorted {
		slices.SortFunc(q.customerList, func(a, b *customer) int { return cmp.Compare(a.hash, b.hash) })
		q.sorted = true
	}
	q.assignShares()
	q.setRoundingOffsets(now)
	for _, c := range q.customerList {
		q.unblock(c)
	}
}

// removeIdleCustomers removes customers that have no demand and have not received service above their share.
func (q *Queue) removeIdleCustomers() {
	kept := q.customerList[:0]
	for _, c := range q.customerList {
		if c.demand() > 0 || q.servedAhead(c) {
			kept = append(kept, c)
			continue
		}
		delete(q.customers, c.name)
	}
	clear(q.customerList[len(kept):])
	q.customerList = kept
}

// servedAhead reports whether a customer has received service above its share in a class with waiting requests.
func (q *Queue) servedAhead(c *customer) bool {
	for _, f := range c.flows {
		if f != nil && f.finishTag > f.class.virtualTime && f.class.waiting > 0 {
			return true
		}
	}
	return false
}

// assignShares divides the slots max-min fair by weight (water filling): each customer gets the lower of its demand and
// the common level times its weight.
func (q *Queue) assignShares() {
	total := 0
	for _, c := range q.customerList {
		c.need = float64(c.demand())
		total += c.demand()
	}
	q.contended = total > q.slots
	if !q.contended {
		for _, c := range q.customerList {
			c.share = c.need
		}
		q.fairLevel = math.Inf(1)
		return
	}
	q.fairLevel = waterLevel(q.customerList, float64(q.slots))
	left, wanted := float64(q.slots), 0.0
	for _, c := range q.customerList {
		c.share = min(c.need, q.fairLevel*c.weight)
		if c.share < c.need {
			wanted += c.need
		} else {
			left -= c.need
		}
	}
	if q.objective != config.Goodput {
		return
	}
	for _, c := range q.customerList {
		if c.share < c.need {
			// Half of each fair share is guaranteed. The other half is divided by demand among the customers whose
			// demand exceeds their shares, so that slots go to requests that can meet their deadlines. Customers
			// with a lower demand keep their shares.
			c.share = c.share/2 + c.need/wanted*left/2
		}
	}
}

// waterLevel returns the level, in slots per unit of weight, at which the customers use all slots if each customer gets
// the lower of its need and the level times its weight.
func waterLevel(customers []*customer, slots float64) float64 {
	level, previous := 0.0, math.Inf(-1)
	for {
		left, weights := slots, 0.0
		for _, c := range customers {
			if c.need <= previous*c.weight {
				left -= c.need
			} else {
				weights += c.weight
			}
		}
		if weights == 0 {
			return level
		}
		level = left / weights
		if level <= previous {
			return level
		}
		previous = level
	}
}

// setRoundingOffsets sets the rounding offset of each customer. The shares of all customers at all entries are laid end
// to end on one line, and an entry gets one slot for each whole number in its interval, so all entries together get every
// slot (systematic rounding). The start of the line moves with time, so that no local share is always rounded down.
func (q *Queue) setRoundingOffsets(now time.Time) {
	turn := float64(now.UnixNano()/int64(rotationPeriod)%1000) * goldenRatioConjugate
	line := turn - math.Floor(turn)
	for _, c := range q.customerList {
		if d := c.demand(); d > 0 {
			start := line + c.share*float64(c.demandBefore)/float64(d) + roundingTolerance
			c.roundingOffset = start - math.Floor(start)
		}
		line += c.share
	}
}

// localShare returns this entry's part of a customer's share, in slots.
func (q *Queue) localShare(c *customer) float64 {
	d := c.demand()
	if d == 0 {
		return 0
	}
	share := c.share
	if share == 0 {
		share = min(float64(d), q.fairLevel*c.weight)
	}
	return share * float64(c.localDemand()) / float64(d)
}

// entitled reports whether a customer may use one more slot at this entry.
func (q *Queue) entitled(c *customer) bool {
	if !q.contended {
		return true
	}
	return c.running < int(c.roundingOffset+q.localShare(c))
}
