package server

import (
	"context"
	"errors"
	"slices"
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

// Upstream returns what the group knows of an upstream when the call arrives, or nil if it knows none.
func (s *Server) Upstream(ctx context.Context, id string) (*fleetpb.Upstream, error) {
	request := &fleetpb.FindUpstreamRequest{Id: id}
	var response *fleetpb.FindUpstreamResponse
	err := s.callLeader(ctx, func(ctx context.Context, leader leaderCalls) (err error) {
		response, err = leader.FindUpstream(ctx, request)
		return err
	})
	if status.Code(err) == codes.Unimplemented {
		// An older leader can only withdraw the incarnation that is known when the withdrawal takes effect.
		return &fleetpb.Upstream{Id: id}, nil
	}
	return response.GetUpstream(), eris.Wrapf(err, "find upstream %q", id)
}

// Withdraw informs the leader that an incarnation of an upstream leaves permanently.
func (s *Server) Withdraw(ctx context.Context, id string, incarnation uint64) error {
	return s.announce(ctx, &fleetpb.AnnounceUpstreamRequest{Upstream: &fleetpb.Upstream{Id: id, Incarnation: incarnation}, Withdraw: true})
}

// ErrSuperseded means that another order on the failure domain came first.
var ErrSuperseded = errors.New("another order on the failure domain came first")

// Evacuation returns the newest order on a failure domain when the call arrives, or nil if there was none, and whether the failure
// domain is known: it is one of Config.FailureDomains or, without these, an upstream or an entry is in it.
func (s *Server) Evacuation(ctx context.Context, domain string) (evacuation *fleetpb.Evacuation, known bool, err error) {
	request := &fleetpb.FindEvacuationRequest{FailureDomain: domain}
	var response *fleetpb.FindEvacuationResponse
	if err := s.callLeader(ctx, func(ctx context.Context, leader leaderCalls) (err error) {
		response, err = leader.FindEvacuation(ctx, request)
		return err
	}); err != nil {
		return nil, false, eris.Wrapf(err, "find the evacuation of failure domain %q", domain)
	}
	known = response.Known
	if len(s.config.FailureDomains) > 0 {
		known = slices.Contains(s.config.FailureDomains, domain)
	}
	return response.Evacuation, known, nil
}

// SetEvacuation stores an order on a failure domain. It returns ErrSuperseded if the order follows another one than it names.
func (s *Server) SetEvacuation(ctx context.Context, request *fleetpb.SetEvacuationRequest) error {
	var response *fleetpb.SetEvacuationResponse
	if err := s.callLeader(ctx, func(ctx context.Context, leader leaderCalls) (err error) {
		response, err = leader.SetEvacuation(ctx, request)
		return err
	}); err != nil {
		return eris.Wrapf(err, "store the evacuation of failure domain %q", request.FailureDomain)
	}
	if response.Code != fleetpb.ResultCode_RESULT_CODE_OK {
		return ErrSuperseded
	}
	return nil
}

func (s *Server) announce(ctx context.Context, request *fleetpb.AnnounceUpstreamRequest) error {
	var response *fleetpb.AnnounceUpstreamResponse
	err := s.callLeader(ctx, func(ctx context.Context, leader leaderCalls) (err error) {
		response, err = leader.AnnounceUpstream(ctx, request)
		return err
	})
	switch {
	case status.Code(err) == codes.InvalidArgument:
		return eris.Wrap(err, "the control group refused an invalid announcement of an upstream")
	case err != nil:
		return eris.Wrap(err, "announce an upstream to the leader")
	case response.Code == fleetpb.ResultCode_RESULT_CODE_STALE:
		return ErrStale
	}
	return nil
}

// leaderCalls are the calls that members make for upstreams and operators. The leader carries them out itself.
type leaderCalls interface {
	AnnounceUpstream(ctx context.Context, request *fleetpb.AnnounceUpstreamRequest) (*fleetpb.AnnounceUpstreamResponse, error)
	FindUpstream(ctx context.Context, request *fleetpb.FindUpstreamRequest) (*fleetpb.FindUpstreamResponse, error)
	FindEvacuation(ctx context.Context, request *fleetpb.FindEvacuationRequest) (*fleetpb.FindEvacuationResponse, error)
	SetEvacuation(ctx context.Context, request *fleetpb.SetEvacuationRequest) (*fleetpb.SetEvacuationResponse, error)
}

// remoteLeader makes the calls over a connection.
type remoteLeader struct{ client fleetpb.FleetClient }

// AnnounceUpstream implements leaderCalls.
func (l remoteLeader) AnnounceUpstream(ctx context.Context, request *fleetpb.AnnounceUpstreamRequest) (*fleetpb.AnnounceUpstreamResponse, error) {
	return l.client.AnnounceUpstream(ctx, request)
}

// FindUpstream implements leaderCalls.
func (l remoteLeader) FindUpstream(ctx context.Context, request *fleetpb.FindUpstreamRequest) (*fleetpb.FindUpstreamResponse, error) {
	return l.client.FindUpstream(ctx, request)
}

// FindEvacuation implements leaderCalls.
func (l remoteLeader) FindEvacuation(ctx context.Context, request *fleetpb.FindEvacuationRequest) (*fleetpb.FindEvacuationResponse, error) {
	return l.client.FindEvacuation(ctx, request)
}

// SetEvacuation implements leaderCalls.
func (l remoteLeader) SetEvacuation(ctx context.Context, request *fleetpb.SetEvacuationRequest) (*fleetpb.SetEvacuationResponse, error) {
	return l.client.SetEvacuation(ctx, request)
}

// callLeader makes an idempotent call to the leader, and retries it until ctx is cancelled or the leader refuses it for good.
func (s *Server) callLeader(ctx context.Context, call func(ctx context.Context, leader leaderCalls) error) error {
	for {
		var err error
		if s.member.Status().Leading {
			err = call(ctx, s.fleet)
		} else {
			err = s.member.CallLeader(ctx, func(ctx context.Context, client fleetpb.FleetClient) error { return call(ctx, remoteLeader{client}) })
		}
		switch status.Code(err) {
		case codes.OK, codes.InvalidArgument, codes.Unimplemented:
			return err
		}
		select {
		case <-time.After(leaderRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// Status returns the status of the member and its view of the group.
func (s *Server) Status() member.Status { return s.member.Status() }

// LocalDocument returns the newest configuration document that this member has applied. The group may have a newer document.
func (s *Server) LocalDocument() *fleetpb.Document { return s.state.Document() }
