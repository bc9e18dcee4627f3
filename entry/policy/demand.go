package policy

import (
	"context"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/fleetpb"
)

// Demand applies the demand of another entry and returns the demand of this entry. It is the Demand callback of
// peer.Config.
func (p *Policy) Demand(d *fleetpb.Demand) *fleetpb.Demand {
	p.applyDemand(d)
	local, _ := p.localDemand()
	return local
}

// localDemand returns the demand of this entry under the next sequence number. It reports whether any pool has a
// waiting or running request.
func (p *Policy) localDemand() (d *fleetpb.Demand, busy bool) {
	p.demandMu.Lock()
	p.demandSequence++
	d = &fleetpb.Demand{SessionId: p.config.Session(), Sequence: p.demandSequence}
	p.demandMu.Unlock()
	for _, pool := range p.allPools() {
		if pool.appendDemand(d) {
			busy = true
		}
	}
	return d, busy
}

// applyDemand applies the demand of another entry. It drops messages that arrive out of order, and messages of
// this entry or of an unknown session.
func (p *Policy) applyDemand(d *fleetpb.Demand) {
	if d.SessionId == 0 || d.SessionId == p.config.Session() || p.config.View().Sessions[d.SessionId] == nil {
		return
	}
	p.demandMu.Lock()
	stale := d.Sequence <= p.peerSequences[d.SessionId]
	if !stale {
		p.peerSequences[d.SessionId] = d.Sequence
	}
	p.demandMu.Unlock()
	if stale {
		return
	}
	now := p.config.Now()
	for _, poolDemand := range d.Pools {
		if pool := p.pool(poolDemand.Pool); pool != nil {
			pool.setPeerDemand(now, d.SessionId, poolDemand)
		}
	}
}

// exchangeDemand sends the local demand to the other entries while any request is waiting or running, and once more
// afterwards.
func (p *Policy) exchangeDemand(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxPeerCalls)
	err := runEvery(ctx, exchangeInterval, func() {
		local, busy := p.localDemand()
		sessions := p.config.View().Sessions
		p.demandMu.Lock()
		for session := range p.peerSequences {
			if sessions[session] == nil {
				delete(p.peerSequences, session)
			}
		}
		skip := !busy && p.wasIdle
		p.wasIdle = !busy
		p.demandMu.Unlock()
		if skip || local.SessionId == 0 {
			return
		}
		for session := range sessions {
			if session == local.SessionId {
				continue
			}
			// A call above maxPeerCalls is dropped: the next exchange is due in 200 ms.
			group.TryGo(func() error {
				// A failed call is ignored: the last known demand of the peer expires, and a broken connection is
				// replaced.
				if d, err := p.config.Peers.ExchangeDemand(ctx, session, local); err == nil {
					p.applyDemand(d)
				}
				return nil
			})
		}
	})
	if waitErr := group.Wait(); waitErr != nil {
		return waitErr
	}
	return err
}

// RequestCounts returns the numbers of waiting and of running requests of a pool, for metrics. Both are 0 for an
// unknown pool.
func (p *Policy) RequestCounts(name string) (waiting, running int) {
	pool := p.pool(name)
	if pool == nil {
		return 0, 0
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.queue.Waiting(), pool.queue.Running()
}
