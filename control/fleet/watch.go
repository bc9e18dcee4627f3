package fleet

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/fleetpb"
)

// watchHeartbeatInterval is the longest time between two events of a stream. An entry that receives no event for
// longer treats the connection as broken.
const watchHeartbeatInterval = 500 * time.Millisecond

// maxLeaderlessHeartbeats is the number of heartbeats without a known leader after which a member ends its streams.
// The member may be partitioned from the group, so the watcher must try another member.
const maxLeaderlessHeartbeats = 4

// minEventInterval is the shortest time between two events of a stream that carry changes. Changes are batched: when
// 12,000 upstreams announce themselves at once, 900 entries would otherwise each receive 12,000 events.
const minEventInterval = 20 * time.Millisecond

// Watch implements fleetpb.FleetServer. A member whose state is older than that of the watcher sends nothing until it
// has caught up, so that the watcher times out and tries another member.
func (s *Service) Watch(request *fleetpb.WatchRequest, stream grpc.ServerStreamingServer[fleetpb.WatchEvent]) error {
	if len(s.group.Status().Membership.GetMembers()) == 0 {
		return status.Error(codes.Unavailable, "this member belongs to no group yet")
	}
	heartbeat := time.NewTicker(watchHeartbeatInterval)
	defer heartbeat.Stop()
	cursor := request.AfterIndex
	heartbeatDue := true
	leaderlessHeartbeats := 0
	var lastSent time.Time
	for {
		changed := s.state.Changed()
		event := s.state.EventAfter(cursor)
		if event != nil && (heartbeatDue || !isEmpty(event)) {
			if request.AcceptsCompressed {
				event.Document = s.compressor.compress(event.Document, s.events)
			}
			if err := stream.Send(event); err != nil {
				return eris.Wrap(err, "send watch event")
			}
			cursor = event.Index
			lastSent = time.Now()
			heartbeatDue = false
		}
		select {
		case <-changed:
			// Changes that arrive within minEventInterval are sent in one event.
			if err := wait(stream, minEventInterval-time.Since(lastSent)); err != nil {
				return err
			}
		case <-heartbeat.C:
			heartbeatDue = true
			if leaderlessHeartbeats++; s.group.Status().Leader != 0 {
				leaderlessHeartbeats = 0
			}
			if leaderlessHeartbeats == maxLeaderlessHeartbeats {
				return status.Error(codes.Unavailable, "this member hears no leader")
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-s.stopping:
			return status.Error(codes.Unavailable, "this member is stopping")
		}
	}
}

// wait returns after d or when the stream ends, with the error of the stream's context in the latter case.
func wait(stream grpc.ServerStreamingServer[fleetpb.WatchEvent], d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
}

func isEmpty(e *fleetpb.WatchEvent) bool {
	return !e.Reset_ && len(e.Objects)+len(e.DeletedObjects)+len(e.Sessions)+len(e.EndedSessions)+
		len(e.Upstreams)+len(e.RemovedUpstreams) == 0 && e.OrderLease == nil && e.Document == nil && len(e.Evacuations) == 0
}
