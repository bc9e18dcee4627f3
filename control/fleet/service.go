// Package fleet serves the entries: sessions, keepalives, the watch stream, announcements of upstreams,
// claims and the order lease.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/control/member"
	"azuredoor.example/control/state"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

// Group is the member of the control group that the service runs on.
type Group interface {
	ProposeLocal(ctx context.Context, command *fleetpb.Command) (*fleetpb.Result, error)
	ReadIndex(ctx context.Context) (uint64, error)
	Status() member.Status
}

// Service implements the gRPC service Fleet.
type Service struct {
	fleetpb.UnimplementedFleetServer

	group  Group
	state  *state.Machine
	events *event.Logger
	leases *leases
	// lease serializes the calls that grant the order lease.
	lease sync.Mutex
	// stopping is closed when the service stops; it ends the watch streams.
	stopping chan struct{}
}

// Config configures a Service.
type Config struct {
	Group  Group
	State  *state.Machine
	Events *event.Logger
	// UpstreamTTL is the lifetime of an upstream after an announcement; it defaults to that of the design page, 2 s.
	UpstreamTTL time.Duration
}

// New returns a service; its Run expires sessions and upstreams.
func New(c Config) *Service {
	if c.UpstreamTTL == 0 {
		c.UpstreamTTL = defaultUpstreamTTL
	}
	return &Service{group: c.Group, state: c.State, events: c.Events, leases: newLeases(c.UpstreamTTL), stopping: make(chan struct{})}
}

// leading returns the term in which this member leads, or the error for callers.
func (s *Service) leading() (uint64, error) {
	current := s.group.Status()
	if current.Leading {
		return current.Term, nil
	}
	return 0, member.RPCError(&member.NotLeaderError{Leader: current.LeaderMember()})
}

func (s *Service) propose(ctx context.Context, command *fleetpb.Command) (*fleetpb.Result, error) {
	result, err := s.group.ProposeLocal(ctx, command)
	if err != nil {
		return nil, member.RPCError(err)
	}
	if result.Code == fleetpb.ResultCode_RESULT_CODE_INVALID {
		return nil, status.Error(codes.InvalidArgument, result.Error)
	}
	return result, nil
}

// OpenSession implements the service.
func (s *Service) OpenSession(ctx context.Context, request *fleetpb.OpenSessionRequest) (*fleetpb.OpenSessionResponse, error) {
	arrived := time.Now()
	term, err := s.leading()
	if err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_OpenSession{OpenSession: request}})
	if err != nil {
		return nil, err
	}
	id := result.OpenSession.SessionId
	s.leases.renewSession(term, id, 0, arrived)
	s.events.Write(event.ControlSessionOpened, func(e *log.Entry) {
		e.Uint64("session", id).Str("entry", request.Name).Str("failureDomain", request.FailureDomain)
	})
	return result.OpenSession, nil
}

// Keepalive implements the service.
func (s *Service) Keepalive(ctx context.Context, request *fleetpb.KeepaliveRequest) (*fleetpb.KeepaliveResponse, error) {
	arrived := time.Now()
	term, err := s.leading()
	if err != nil {
		return nil, err
	}
	if s.state.Session(request.SessionId) != nil {
		if !s.leases.renewSession(term, request.SessionId, request.ConfigRevision, arrived) {
			return &fleetpb.KeepaliveResponse{SessionEnded: true}, nil
		}
		s.leases.renewUpstreams(term, request.Alive, arrived)
	}
	if _, err := s.group.ReadIndex(ctx); err != nil {
		return nil, member.RPCError(err)
	}
	if s.state.Session(request.SessionId) == nil {
		return &fleetpb.KeepaliveResponse{SessionEnded: true}, nil
	}
	return &fleetpb.KeepaliveResponse{StateIndex: s.state.StateIndex(), Members: s.addresses()}, nil
}

// addresses returns the gRPC addresses of the group's members.
func (s *Service) addresses() []string {
	var addresses []string
	for _, m := range s.group.Status().Membership.GetMembers() {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// CloseSession implements the service.
func (s *Service) CloseSession(ctx context.Context, request *fleetpb.CloseSessionRequest) (*fleetpb.CloseSessionResponse, error) {
	if _, err := s.leading(); err != nil {
		return nil, err
	}
	end := &fleetpb.EndSessions{SessionIds: []uint64{request.SessionId}}
	if _, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_EndSessions{EndSessions: end}}); err != nil {
		return nil, err
	}
	return &fleetpb.CloseSessionResponse{}, nil
}

// AnnounceUpstream implements the service. An announcement that changes nothing replicated only renews
// the upstream.
func (s *Service) AnnounceUpstream(ctx context.Context, request *fleetpb.AnnounceUpstreamRequest) (*fleetpb.AnnounceUpstreamResponse, error) {
	arrived := time.Now()
	term, err := s.leading()
	if err != nil {
		return nil, err
	}
	if request.Upstream == nil {
		return nil, status.Error(codes.InvalidArgument, "the announcement names no upstream")
	}
	if request.Withdraw {
		result, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_AnnounceUpstream{AnnounceUpstream: request}})
		if err != nil {
			return nil, err
		}
		s.events.Write(event.ControlUpstreamWithdrawn, func(e *log.Entry) { e.Str("upstream", request.Upstream.Id) })
		return &fleetpb.AnnounceUpstreamResponse{Code: result.Code}, nil
	}
	effect, known := s.state.CompareAnnouncement(request.Upstream)
	if effect == state.AnnouncementStale {
		return &fleetpb.AnnounceUpstreamResponse{Code: fleetpb.ResultCode_RESULT_CODE_STALE, Desired: known.GetDesired()}, nil
	}
	code := fleetpb.ResultCode_RESULT_CODE_OK
	if effect == state.AnnouncementChanges {
		result, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_AnnounceUpstream{AnnounceUpstream: request}})
		if err != nil {
			return nil, err
		}
		code = result.Code
		known = s.state.Upstream(request.Upstream.Id)
		s.events.Write(event.ControlUpstreamChanged, func(e *log.Entry) {
			u := request.Upstream
			e.Str("upstream", u.Id).Uint64("incarnation", u.Incarnation).Uint64("sequence", u.Sequence).Str("address", u.Address).
				Str("pool", u.Pool).Str("role", u.Role).Str("state", u.State.String()).Str("result", code.String())
		})
	}
	if code == fleetpb.ResultCode_RESULT_CODE_OK {
		s.leases.renewUpstreams(term, []*fleetpb.UpstreamRef{{Id: request.Upstream.Id, Incarnation: request.Upstream.Incarnation}}, arrived)
	}
	return &fleetpb.AnnounceUpstreamResponse{Code: code, Desired: known.GetDesired()}, nil
}

// Claim implements the service.
func (s *Service) Claim(ctx context.Context, request *fleetpb.ClaimRequest) (*fleetpb.ClaimResponse, error) {
	if _, err := s.leading(); err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_Claim{Claim: request}})
	if err != nil {
		return nil, err
	}
	return result.Claim, nil
}

// Complete implements the service.
func (s *Service) Complete(ctx context.Context, request *fleetpb.CompleteRequest) (*fleetpb.CompleteResponse, error) {
	if _, err := s.leading(); err != nil {
		return nil, err
	}
	request.Answer = state.BoundAnswer(request.Answer)
	result, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_Complete{Complete: request}})
	if err != nil {
		return nil, err
	}
	return &fleetpb.CompleteResponse{Code: result.Code}, nil
}

// AcquireOrderLease implements the service. The holder's lease counts from the time it sent the request,
// so a new holder is granted only when that time has surely passed since the last grant.
func (s *Service) AcquireOrderLease(ctx context.Context, request *fleetpb.AcquireOrderLeaseRequest) (*fleetpb.AcquireOrderLeaseResponse, error) {
	term, err := s.leading()
	if err != nil {
		return nil, err
	}
	// Every entry asks for the lease, so the many that can't get it must not wait for one another.
	if !s.mayHold(term, request.SessionId) {
		return &fleetpb.AcquireOrderLeaseResponse{}, nil
	}
	s.lease.Lock()
	defer s.lease.Unlock()
	if !s.mayHold(term, request.SessionId) {
		return &fleetpb.AcquireOrderLeaseResponse{}, nil
	}
	if _, err := s.group.ReadIndex(ctx); err != nil {
		return nil, member.RPCError(err)
	}
	if s.state.Session(request.SessionId) == nil {
		return &fleetpb.AcquireOrderLeaseResponse{}, nil
	}
	holder := s.state.OrderLease()
	if holder.SessionId == request.SessionId {
		s.leases.grantOrderLease(term, time.Now())
		return &fleetpb.AcquireOrderLeaseResponse{Held: true, Fence: holder.Fence, TtlMillis: uint32(state.SessionTTL / time.Millisecond)}, nil
	}
	if !s.leases.orderLeaseFree(term, time.Now()) {
		return &fleetpb.AcquireOrderLeaseResponse{}, nil
	}
	result, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_AcquireOrderLease{AcquireOrderLease: request}})
	// Even a failed proposal may take effect.
	s.leases.grantOrderLease(term, time.Now())
	if err != nil {
		return nil, err
	}
	if result.OrderLease == nil {
		return &fleetpb.AcquireOrderLeaseResponse{}, nil
	}
	s.events.Write(event.ControlOrderLeaseGranted, func(e *log.Entry) {
		e.Uint64("session", request.SessionId).Uint64("fence", result.OrderLease.Fence)
	})
	return result.OrderLease, nil
}

// mayHold says whether a session holds the order lease or could get it now.
func (s *Service) mayHold(term, session uint64) bool {
	return s.state.OrderLease().SessionId == session || s.leases.orderLeaseFree(term, time.Now())
}

// ConfigRevision returns the configuration revision of a session's last keepalive; it is 0 when the
// session sent none to this leader.
func (s *Service) ConfigRevision(session uint64) uint64 { return s.leases.configRevision(session) }
