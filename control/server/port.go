package server

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/control/member"
	"azuredoor.example/core/fleetpb"
)

// leaderRetryInterval is the time from a failed announcement to the next attempt, which looks up the leader again.
const leaderRetryInterval = 40 * time.Millisecond

// ErrStale means that the group knows a newer announcement of the upstream.
var ErrStale = errors.New("the control group knows a newer announcement of the upstream")

// PutDocument stores a configuration document unless the stored document has the same or a higher version, and returns the
// stored version. After an error the document may or may not be stored.
func (s *Server) PutDocument(ctx context.Context, version uint64, data []byte) (uint64, error) {
	result, err := s.member.Propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_PutDocument{
		PutDocument: &fleetpb.PutDocument{Version: version, Data: data},
	}})
	if err != nil {
		return 0, eris.Wrap(err, "store the configuration document")
	}
	return result.GetDocument().GetVersion(), nil
}

// Document returns the newest acknowledged configuration document, or nil if there is none. The read goes through the log,
// so a member that is cut off from the group returns an error and never an older document.
func (s *Server) Document(ctx context.Context) (*fleetpb.Document, error) {
	result, err := s.member.Propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_PutDocument{PutDocument: &fleetpb.PutDocument{}}})
	if err != nil {
		return nil, eris.Wrap(err, "read the configuration document")
	}
	return result.Document, nil
}

// Announce sends an upstream's announcement to the leader. It returns ErrStale if the group knows a newer announcement.
func (s *Server) Announce(ctx context.Context, u *fleetpb.Upstream) error {
	return s.announce(ctx, &fleetpb.AnnounceUpstreamRequest{Upstream: u})
}

// Withdraw informs the leader that the upstream with the ID leaves permanently.
func (s *Server) Withdraw(ctx context.Context, id string) error {
	return s.announce(ctx, &fleetpb.AnnounceUpstreamRequest{Upstream: &fleetpb.Upstream{Id: id}, Withdraw: true})
}

// announce calls the leader, and retries failed calls until ctx is cancelled. Retries are safe because announcements are idempotent.
func (s *Server) announce(ctx context.Context, request *fleetpb.AnnounceUpstreamRequest) error {
	for {
		var response *fleetpb.AnnounceUpstreamResponse
		var err error
		if s.member.Status().Leading {
			response, err = s.fleet.AnnounceUpstream(ctx, request)
		} else {
			err = s.member.CallLeader(ctx, func(ctx context.Context, client fleetpb.FleetClient) error {
				response, err = client.AnnounceUpstream(ctx, request)
				return err
			})
		}
		switch {
		case err == nil && response.Code == fleetpb.ResultCode_RESULT_CODE_STALE:
			return ErrStale
		case err == nil:
			return nil
		case status.Code(err) == codes.InvalidArgument:
			return eris.Wrap(err, "the control group refused an invalid announcement of an upstream")
		}
		select {
		case <-time.After(leaderRetryInterval):
		case <-ctx.Done():
			return eris.Wrap(err, "announce an upstream to the leader")
		}
	}
}

// Status returns the status of the member and its view of the group.
func (s *Server) Status() member.Status { return s.member.Status() }

// LocalDocument returns the newest configuration document that this member has applied. The group may have a newer document.
func (s *Server) LocalDocument() *fleetpb.Document { return s.state.Document() }
