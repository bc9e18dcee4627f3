package usage

import (
	"strconv"
	"time"

	"github.com/phuslu/log"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/coordinator"
)

// addEvidence adds the evidence on prompt parts to a report for the given coordinator.
func (c *Client) addEvidence(report *fleetpb.UseReport, id uint64) {
	now := time.Now()
	age := func(at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }
	evidence := c.config.Guard.Report(now, id)
	for _, b := range evidence.Breaks {
		report.BrokenAttempts = append(report.BrokenAttempts, &fleetpb.BrokenAttempt{
			Service: b.Service, Upstream: b.Upstream, Incarnation: b.Incarnation, Parts: b.Parts, SentAgeMillis: age(b.Sent),
			BrokenAgeMillis: age(b.At),
		})
	}
	for _, s := range evidence.Starts {
		report.PartStarts = append(report.PartStarts, &fleetpb.PartStart{Service: s.Service, Part: s.ID, AgeMillis: age(s.At)})
	}
	for service, n := range evidence.Begun {
		report.ServiceStarts = append(report.ServiceStarts, &fleetpb.ServiceStarts{Service: service, Starts: uint32(n)})
	}
	report.KnownParts = coordinator.SuspectedParts(now, evidence.Known)
	report.PartsRevision = evidence.Revision
}

// applyParts applies the suspected and quarantined parts in a coordinator's response.
func (c *Client) applyParts(response *fleetpb.FleetUse) {
	state := coordinator.SuspectedState(time.Now(), response.SuspectedParts)
	state.Revision = response.PartsRevision
	c.config.Guard.Apply(response.SessionId, state)
}

// logQuarantine logs the parts whose quarantine began or ended.
func (c *Client) logQuarantine() {
	added, ended, total := c.config.Guard.Changes()
	for _, item := range added {
		c.config.Events.Write(event.PartQuarantined, func(e *log.Entry) {
			e.Str("service", item.Service).Str("part", strconv.FormatUint(item.ID, 16)).Int("crashes", item.Crashes).
				Int64("lastCrashMs", time.Since(item.LastCrash).Milliseconds()).Int64("untilMs", time.Until(item.Until).Milliseconds())
		})
	}
	for _, item := range ended {
		c.config.Events.Write(event.PartReleased, func(e *log.Entry) {
			e.Str("service", item.Service).Str("part", strconv.FormatUint(item.ID, 16))
		})
	}
	if c.config.SetQuarantined != nil {
		c.config.SetQuarantined(total)
	}
}
