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

// leaderPause is the pause before a call looks for the leader again.
const leaderPause = 40 * time.Millisecond

// ErrStale refuses an announcement that is older than what is known of the upstream.
var ErrStale = errors.New("a newer announcement is known")

// PutDocument stores a document unless one with the same or a higher version is stored, and returns the version in
// force. After an error the document may or may not be stored.
func (s *Server) PutDocument(ctx context.Context, version uint64, data []byte) (uint64, error) {
	result, err := s.member.Propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_PutDocument{
		PutDocument: &fleetpb.PutDocument{Version: version, Data: data},
	}})
	if err != nil {
		return 0, eris.Wrap(err, "store a document")
	}
	return result.GetDocument().GetVersion(), nil
}

// Document returns the newest acknowledged document, nil when there is none. The read goes through the log, so a
// member that is cut off from the group returns an error and never an older document.
func (s *Server) Document(ctx context.Context) (*fleetpb.Document, error) {
	result, err := s.member.Propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_PutDocument{PutDocument: &fleetpb.PutDocument{}}})
	if err != nil {
		return nil, eris.Wrap(err, "read the document")
	}
	return result.Document, nil
}

// Announce hands an upstream's announcement to the leader. It returns ErrStale when a newer one is known.
func (s *Server) Announce(ctx context.Context, u *fleetpb.Upstream) error {
	return s.announce(ctx, &fleetpb.AnnounceUpstreamRequest{Upstream: u})
}

// Withdraw tells the group that an upstream leaves for good.
func (s *Server) Withdraw(ctx context.Context, id string) error {
	return s.announce(ctx, &fleetpb.AnnounceUpstreamRequest{Upstream: &fleetpb.Upstream{Id: id}, Withdraw: true})
}

// announce repeats the call on the leader until the context ends: applying an announcement twice changes nothing.
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
			return eris.Wrap(err, "announce an upstream")
		}
		select {
		case <-time.After(leaderPause):
		case <-ctx.Done():
			return eris.Wrap(err, "announce an upstream to the leader")
		}
	}
}

// Status describes the member and what it knows of the group.
func (s *Server) Status() member.Status { return s.member.Status() }

// Stored returns the newest document that this member knows of. It may be old.
func (s *Server) Stored() *fleetpb.Document { return s.state.Document() }
