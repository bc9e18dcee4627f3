package fleet

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

const (
	sweepInterval = 200 * time.Millisecond
	// pauseThreshold is the time between two sweeps above which the process counts as paused. Keepalives that
	// arrived during the pause were not handled, so no lease may expire because of the pause.
	pauseThreshold = 3 * sweepInterval
	// sweepsPerCleanup is the number of sweeps between two cleanups. A cleanup removes unused leases and the records of
	// upstreams that have been down for longer than removeDownAfter.
	sweepsPerCleanup = 50
)

// Run expires sessions and upstreams while this member leads. Run returns when ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.sweepLoop(ctx, group) })
	err := group.Wait()
	return err
}

// Stop ends the watch streams.
func (s *Service) Stop() { close(s.stopping) }

func (s *Service) sweepLoop(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	lastSweep := time.Now()
	// Proposals run in goroutines, at most one of each kind, because a slow proposal in the loop would look like a
	// process pause.
	sessionsBusy, upstreamsBusy := make(chan struct{}, 1), make(chan struct{}, 1)
	for sweep := 0; ; sweep++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		gap := now.Sub(lastSweep)
		lastSweep = now
		status := s.group.Status()
		if !status.Leading {
			s.leases.setLeaderTerm(0)
			continue
		}
		s.leases.setLeaderTerm(status.Term)
		if gap > pauseThreshold {
			s.leases.renewAll(now)
			s.events.Write(event.ControlGraceGranted, func(e *log.Entry) { e.Dur("gap", gap) })
			continue
		}
		if sweep%sweepsPerCleanup == 0 {
			s.leases.removeUnknown(s.state)
			s.proposeMarkUpstreamsDown(ctx, group, upstreamsBusy, &fleetpb.MarkUpstreamsDown{
				Forget: true, Upstreams: s.leases.removableUpstreams(s.state.EachUpstream, now),
			})
		}
		s.endExpiredSessions(ctx, group, sessionsBusy, now)
		s.proposeMarkUpstreamsDown(ctx, group, upstreamsBusy, &fleetpb.MarkUpstreamsDown{
			Upstreams: s.leases.expiredUpstreams(s.state.EachUpstream, now),
		})
	}
}

// endExpiredSessions proposes the end of all expired sessions, unless an earlier such proposal is pending.
func (s *Service) endExpiredSessions(ctx context.Context, group *errgroup.Group, busy chan struct{}, now time.Time) {
	select {
	case busy <- struct{}{}:
	default:
		return
	}
	sessions := s.state.Sessions()
	s.leases.trackSessions(sessions, now)
	expired := s.leases.expiredSessions(sessions, now)
	if len(expired) == 0 {
		<-busy
		return
	}
	group.Go(func() error {
		defer func() { <-busy }()
		command := &fleetpb.Command{Body: &fleetpb.Command_EndSessions{EndSessions: &fleetpb.EndSessions{SessionIds: expired}}}
		if _, err := s.group.ProposeLocal(ctx, command); err != nil {
			s.leases.cancelEnding(expired)
			return nil
		}
		s.events.Write(event.ControlSessionsEnded, func(e *log.Entry) {
			e.Int("sessions", len(expired)).Uint64("first", expired[0])
		})
		return nil
	})
}

// proposeMarkUpstreamsDown proposes to mark upstreams as down or to remove their records. While an earlier such proposal
// is pending, there is no new proposal: a later sweep selects the same upstreams again.
func (s *Service) proposeMarkUpstreamsDown(ctx context.Context, group *errgroup.Group, busy chan struct{}, mark *fleetpb.MarkUpstreamsDown) {
	if len(mark.Upstreams) == 0 {
		return
	}
	select {
	case busy <- struct{}{}:
	default:
		return
	}
	group.Go(func() error {
		defer func() { <-busy }()
		command := &fleetpb.Command{Body: &fleetpb.Command_MarkUpstreamsDown{MarkUpstreamsDown: mark}}
		if _, err := s.group.ProposeLocal(ctx, command); err == nil {
			s.events.Write(event.ControlUpstreamsDown, func(e *log.Entry) {
				e.Int("upstreams", len(mark.Upstreams)).Str("first", mark.Upstreams[0].Id).Bool("forgotten", mark.Forget)
			})
		}
		return nil
	})
}
