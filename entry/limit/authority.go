package limit

import (
	"time"

	"azuredoor.example/core/config"
)

const (
	// recheckShare is recheckInterval as a share of Silence.
	recheckShare = 0.05
	// authorityShare is AuthorityPeriod as a share of Silence.
	authorityShare = 0.5
	// settleTime is how long reports that arrived while this process did not run may take to be read.
	settleTime = 100 * time.Millisecond
)

// AuthorityPeriod returns for how long a coordinator relies on a report.
func (m *Meter) AuthorityPeriod() time.Duration {
	return time.Duration(authorityShare * float64(m.Silence))
}

// Authoritative reports whether this meter may confirm levels: a majority of the entries have reported to it lately. An entry gives
// a coordinator up only after it has waited for longer than AuthorityPeriod, unless the connection broke. So a coordinator that is
// cut off stops before another one has a majority.
func (m *Meter) Authoritative(now time.Time) bool {
	m.recount(now)
	return m.majority
}

// AuthorityAge returns for how long this meter has been authoritative, 0 if it is not.
func (m *Meter) AuthorityAge(now time.Time) time.Duration {
	if !m.Authoritative(now) {
		return 0
	}
	return now.Sub(m.majorityAt)
}

// recount looks at the ages of all reports, unless it did so just before.
func (m *Meter) recount(now time.Time) {
	if now.Sub(m.countedAt) < m.recheckInterval() {
		return
	}
	m.countedAt, m.silent = now, nil
	recent := 0
	for _, p := range m.peers {
		age := now.Sub(p.lastReport)
		if p.heard && age <= m.AuthorityPeriod() {
			recent++
		}
		if age > m.Silence {
			m.silent = append(m.silent, p)
		}
	}
	before := m.majority
	if m.majority = 2*recent > m.shares(); m.majority && !before {
		m.majorityAt = now
	}
}

// LoseAuthority makes the meter wait for the reports of a majority again. It is called after this process has not run for some time.
// Reports that arrived meanwhile do not count, because their senders may have another coordinator by now.
func (m *Meter) LoseAuthority(now time.Time) {
	m.majority, m.countedAt, m.settledAt = false, time.Time{}, now.Add(settleTime)
	for _, p := range m.peers {
		p.heard = false
	}
}

// recheckInterval is the time after which the ages of reports are looked at again.
func (m *Meter) recheckInterval() time.Duration {
	return time.Duration(recheckShare * float64(m.Silence))
}

// SilentPeers returns the number of peers without a recent report.
func (m *Meter) SilentPeers(now time.Time) int {
	return len(m.silentPeers(now))
}

// silentPeers returns the peers without a recent report. A new peer counts as silent after Silence.
func (m *Meter) silentPeers(now time.Time) []*meterPeer {
	m.recount(now)
	return m.silent
}

// Late reports whether a report of a peer is older than one that was observed, and records its sequence otherwise. A sequence of 0
// is not known.
func (m *Meter) Late(session, sequence uint64) bool {
	p := m.peers[session]
	if p == nil || sequence == 0 {
		return false
	}
	if sequence <= p.sequence {
		return true
	}
	p.sequence = sequence
	return false
}

// withhold deducts the shares of silent peers from the level, because they may be admitting requests on their own.
func (m *Meter) withhold(now time.Time, name string, b *meterBucket) {
	silent := m.silentPeers(now)
	if len(silent) == 0 || m.coordinates && !m.majority {
		return
	}
	whole := b.level
	for _, p := range silent {
		whole += p.held[name]
	}
	for _, p := range silent {
		if _, done := p.held[name]; done {
			continue
		}
		share := max(0, whole/float64(m.shares()))
		p.held[name] = share
		p.assumed[name] += share
		b.level -= share
	}
}

// release returns the shares of the level that were withheld for a peer, because its report tells what it has used.
func (m *Meter) release(now time.Time, p *meterPeer, limits func(bucket string) (config.Limit, bool)) {
	for name, share := range p.held {
		if limit, ok := limits(name); ok {
			b := m.bucket(now, name, limit)
			b.level = min(b.level+share, float64(limit.BurstTokens))
		}
		p.assumed[name] -= share
	}
	clear(p.held)
}
