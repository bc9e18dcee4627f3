package fleet

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/fleetpb"
)

// watchHeartbeat is the longest time between two events of a stream; without one the entry takes the
// connection for silent.
const watchHeartbeat = 500 * time.Millisecond

// watchLeaderless is the number of heartbeats after which a member that hears no leader ends its streams,
// so that the watcher turns to a member that may not be cut off.
const watchLeaderless = 4

// watchGap is the shortest time between two events of a stream. When 12,000 upstreams announce themselves
// at once, it keeps each one from becoming an event for each of 900 entries.
const watchGap = 20 * time.Millisecond

// Watch implements the service. A member that is behind the watcher sends nothing until it has caught
// up, so that the watcher turns to another one.
func (s *Service) Watch(request *fleetpb.WatchRequest, stream grpc.ServerStreamingServer[fleetpb.WatchEvent]) error {
	if len(s.group.Status().Membership.GetMembers()) == 0 {
		return status.Error(codes.Unavailable, "this member belongs to no group yet")
	}
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	cursor := request.AfterIndex
	due := true
	leaderless := 0
	var sent time.Time
	for {
		changed := s.state.Changed()
		event := s.state.EventAfter(cursor)
		if event != nil && (due || !empty(event)) {
			if err := stream.Send(event); err != nil {
				return eris.Wrap(err, "send to a watcher")
			}
			cursor = event.Index
			sent = time.Now()
			due = false
		}
		select {
		case <-changed:
			// Changes that come in quick succession share an event.
			if err := pause(stream, watchGap-time.Since(sent)); err != nil {
				return err
			}
		case <-heartbeat.C:
			due = true
			if leaderless++; s.group.Status().Leader != 0 {
				leaderless = 0
			}
			if leaderless == watchLeaderless {
				return status.Error(codes.Unavailable, "this member hears no leader")
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-s.stopping:
			return status.Error(codes.Unavailable, "this member is stopping")
		}
	}
}

func pause(stream grpc.ServerStreamingServer[fleetpb.WatchEvent], d time.Duration) error {
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

func empty(e *fleetpb.WatchEvent) bool {
	return !e.Reset_ && len(e.Objects)+len(e.DeletedObjects)+len(e.Sessions)+len(e.EndedSessions)+
		len(e.Upstreams)+len(e.RemovedUpstreams) == 0 && e.OrderLease == nil && e.Document == nil
}
