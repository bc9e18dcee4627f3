package coordinator

import (
	"time"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/quarantine"
)

// judgeParts records the evidence in a report and adds the parts that are suspected or quarantined to the response, unless the
// entry has them already. The caller must hold c.mu.
func (c *Coordinator) judgeParts(now time.Time, report *fleetpb.UseReport, response *fleetpb.FleetUse) {
	c.ledger.Restore(SuspectedState(now, report.KnownParts))
	for _, b := range report.BrokenAttempts {
		c.ledger.Break(now, quarantine.Break{
			Service: b.Service, Upstream: b.Upstream, Incarnation: b.Incarnation, Parts: b.Parts,
			Sent: now.Add(-milliseconds(b.SentAgeMillis)), At: now.Add(-milliseconds(b.BrokenAgeMillis)),
		})
	}
	for _, s := range report.PartStarts {
		c.ledger.Start(quarantine.Start{Part: quarantine.Part{Service: s.Service, ID: s.Part}, At: now.Add(-milliseconds(s.AgeMillis))})
	}
	for _, s := range report.ServiceStarts {
		c.ledger.CountStarts(now, s.Service, uint64(s.Starts))
	}
	response.PartsRevision = c.ledger.Revision()
	if report.PartsRevision != response.PartsRevision {
		response.SuspectedParts = SuspectedParts(now, c.ledger.State())
	}
}

// refusePrompt returns the refusal of a request whose prompt contains a quarantined part, or nil.
func (c *Coordinator) refusePrompt(now time.Time, r *fleetpb.PlaceRequest) *fleetpb.PlaceResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict := c.ledger.Admit(now, r.Service, r.PromptParts)
	if !verdict.Refused {
		return nil
	}
	return &fleetpb.PlaceResponse{
		Quarantined: true, QuarantinedPart: verdict.Part, RetryAfterMillis: uint32(verdict.RetryAfter.Milliseconds()),
	}
}

// SuspectedParts converts suspected and quarantined parts to messages.
func SuspectedParts(now time.Time, state quarantine.State) []*fleetpb.SuspectedPart {
	parts := make([]*fleetpb.SuspectedPart, 0, len(state.Suspects)+len(state.Quarantined))
	add := func(s quarantine.Suspect) *fleetpb.SuspectedPart {
		m := &fleetpb.SuspectedPart{
			Service: s.Service, Part: s.ID, Crashes: uint32(s.Crashes), AgeMillis: millis(now.Sub(s.LastCrash)), Position: uint32(s.Position),
		}
		parts = append(parts, m)
		return m
	}
	for _, s := range state.Suspects {
		add(s)
	}
	for _, item := range state.Quarantined {
		m := add(item.Suspect)
		m.PeriodMillis, m.RemainingMillis = millis(item.Period), millis(item.Until.Sub(now))
	}
	return parts
}

func millis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// SuspectedState converts messages to suspected and quarantined parts.
func SuspectedState(now time.Time, parts []*fleetpb.SuspectedPart) quarantine.State {
	duration := func(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
	var state quarantine.State
	for _, m := range parts {
		s := quarantine.Suspect{
			Part: quarantine.Part{Service: m.Service, ID: m.Part}, Crashes: int(m.Crashes), LastCrash: now.Add(-duration(m.AgeMillis)),
			Position: int(m.Position),
		}
		if m.PeriodMillis == 0 {
			state.Suspects = append(state.Suspects, s)
			continue
		}
		state.Quarantined = append(state.Quarantined, quarantine.Item{
			Suspect: s, Until: now.Add(duration(m.RemainingMillis)), Period: duration(m.PeriodMillis),
		})
	}
	return state
}
