// Package fleet implements the gRPC service that entries call: sessions, keepalives, the watch stream,
// announcements of upstreams, claims of at-most-once requests and the order lease.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/control/member"
	"azuredoor.example/control/origin"
	"azuredoor.example/control/state"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

// Group is this process's member of the control group.
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
	// origins holds where responses began, as entries told this member.
	origins    *origin.Store
	compressor compressor
	// orderLeaseMu serializes the calls that may grant the order lease.
	orderLeaseMu sync.Mutex
	// stopping is closed by Stop.
	stopping chan struct{}
}

// Config configures a Service.
type Config struct {
	Group  Group
	State  *state.Machine
	Events *event.Logger
	// UpstreamTTL is the time from the last renewal of an upstream until it counts as down; the default is 2 s.
	UpstreamTTL time.Duration
}

// New returns a service. Sessions and upstreams expire only while Run is running.
func New(c Config) *Service {
	if c.UpstreamTTL == 0 {
		c.UpstreamTTL = defaultUpstreamTTL
	}
	return &Service{
		group: c.Group, state: c.State, events: c.Events, leases: newLeases(c.UpstreamTTL), origins: origin.NewStore(), stopping: make(chan struct{}),
	}
}

// leaderTerm returns the term in which this member leads. If this member does not lead, leaderTerm returns a gRPC
// error that names the leader.
func (s *Service) leaderTerm() (uint64, error) {
	current := s.group.Status()
	if current.Leading {
		return current.Term, nil
	}
	return 0, member.RPCError(&member.NotLeaderError{Leader: current.LeaderMember()})
}

// propose replicates a command and returns its result. Errors are gRPC errors.
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

// OpenSession implements fleetpb.FleetServer.
func (s *Service) OpenSession(ctx context.Context, request *fleetpb.OpenSessionRequest) (*fleetpb.OpenSessionResponse, error) {
	arrived := time.Now()
	term, err := s.leaderTerm()
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

// Keepalive implements fleetpb.FleetServer. It renews the session and the upstreams that the entry reports as alive.
func (s *Service) Keepalive(ctx context.Context, request *fleetpb.KeepaliveRequest) (*fleetpb.KeepaliveResponse, error) {
	arrived := time.Now()
	term, err := s.leaderTerm()
	if err != nil {
		return nil, err
	}
	if s.state.Session(request.SessionId) != nil {
		if !s.leases.renewSession(term, request.SessionId, request.ConfigRevision, arrived) {
			return &fleetpb.KeepaliveResponse{SessionEnded: true}, nil
		}
		s.leases.renewUpstreams(term, request.Alive, arrived)
		s.leases.recordRunning(request.SessionId, request.Running)
	}
	if _, err := s.group.ReadIndex(ctx); err != nil {
		return nil, member.RPCError(err)
	}
	if s.state.Session(request.SessionId) == nil {
		return &fleetpb.KeepaliveResponse{SessionEnded: true}, nil
	}
	return &fleetpb.KeepaliveResponse{StateIndex: s.state.StateIndex(), Members: s.memberAddresses()}, nil
}

// memberAddresses returns the gRPC addresses of the members of the control group.
func (s *Service) memberAddresses() []string {
	var addresses []string
	for _, m := range s.group.Status().Membership.GetMembers() {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// CloseSession implements fleetpb.FleetServer.
func (s *Service) CloseSession(ctx context.Context, request *fleetpb.CloseSessionRequest) (*fleetpb.CloseSessionResponse, error) {
	if _, err := s.leaderTerm(); err != nil {
		return nil, err
	}
	end := &fleetpb.EndSessions{SessionIds: []uint64{request.SessionId}}
	if _, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_EndSessions{EndSessions: end}}); err != nil {
		return nil, err
	}
	return &fleetpb.CloseSessionResponse{}, nil
}

// AnnounceUpstream implements fleetpb.FleetServer. An announcement that changes no replicated state only renews the
// lease of the upstream.
func (s *Service) AnnounceUpstream(ctx context.Context, request *fleetpb.AnnounceUpstreamRequest) (*fleetpb.AnnounceUpstreamResponse, error) {
	arrived := time.Now()
	term, err := s.leaderTerm()
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
		s.events.Write(event.ControlUpstreamWithdrawn, func(e *log.Entry) {
			e.Str("upstream", request.Upstream.Id).Uint64("incarnation", request.Upstream.Incarnation)
		})
		return &fleetpb.AnnounceUpstreamResponse{Code: result.Code}, nil
	}
	effect, stored := s.state.CompareAnnouncement(request.Upstream)
	if effect == state.AnnouncementStale {
		return &fleetpb.AnnounceUpstreamResponse{Code: fleetpb.ResultCode_RESULT_CODE_STALE, Desired: stored.GetDesired()}, nil
	}
	code := fleetpb.ResultCode_RESULT_CODE_OK
	if effect == state.AnnouncementChanges {
		result, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_AnnounceUpstream{AnnounceUpstream: request}})
		if err != nil {
			return nil, err
		}
		code = result.Code
		stored = s.state.Upstream(request.Upstream.Id)
		s.events.Write(event.ControlUpstreamChanged, func(e *log.Entry) {
			u := request.Upstream
			e.Str("upstream", u.Id).Uint64("incarnation", u.Incarnation).Uint64("sequence", u.Sequence).Str("address", u.Address).
				Str("pool", u.Pool).Str("role", u.Role).Str("state", u.State.String()).Str("result", code.String())
		})
	}
	if code == fleetpb.ResultCode_RESULT_CODE_OK {
		s.leases.renewUpstreams(term, []*fleetpb.UpstreamRef{{Id: request.Upstream.Id, Incarnation: request.Upstream.Incarnation}}, arrived)
	}
	return &fleetpb.AnnounceUpstreamResponse{Code: code, Desired: stored.GetDesired()}, nil
}

// FindUpstream implements fleetpb.FleetServer. It confirms that this member leads after the call has arrived.
func (s *Service) FindUpstream(ctx context.Context, request *fleetpb.FindUpstreamRequest) (*fleetpb.FindUpstreamResponse, error) {
	if _, err := s.group.ReadIndex(ctx); err != nil {
		return nil, member.RPCError(err)
	}
	return &fleetpb.FindUpstreamResponse{Upstream: s.state.Upstream(request.Id)}, nil
}

// FindEvacuation implements fleetpb.FleetServer. It confirms that this member leads after the call has arrived.
func (s *Service) FindEvacuation(ctx context.Context, request *fleetpb.FindEvacuationRequest) (*fleetpb.FindEvacuationResponse, error) {
	if _, err := s.group.ReadIndex(ctx); err != nil {
		return nil, member.RPCError(err)
	}
	return &fleetpb.FindEvacuationResponse{
		Evacuation: s.state.Evacuation(request.FailureDomain), Known: s.state.KnowsFailureDomain(request.FailureDomain),
	}, nil
}

// SetEvacuation implements fleetpb.FleetServer.
func (s *Service) SetEvacuation(ctx context.Context, request *fleetpb.SetEvacuationRequest) (*fleetpb.SetEvacuationResponse, error) {
	if _, err := s.leaderTerm(); err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_SetEvacuation{SetEvacuation: request}})
	if err != nil {
		return nil, err
	}
	s.events.Write(event.ControlEvacuationOrdered, func(e *log.Entry) {
		e.Str("failureDomain", request.FailureDomain).Bool("withdraw", request.Withdraw).Str("operator", request.Operator).
			Uint64("expected", request.ExpectVersion).Uint64("version", result.Evacuation.GetVersion()).Str("result", result.Code.String())
	})
	return &fleetpb.SetEvacuationResponse{Code: result.Code}, nil
}

// Claim implements fleetpb.FleetServer.
func (s *Service) Claim(ctx context.Context, request *fleetpb.ClaimRequest) (*fleetpb.ClaimResponse, error) {
	if _, err := s.leaderTerm(); err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_Claim{Claim: request}})
	if err != nil {
		return nil, err
	}
	return result.Claim, nil
}

// Complete implements fleetpb.FleetServer.
func (s *Service) Complete(ctx context.Context, request *fleetpb.CompleteRequest) (*fleetpb.CompleteResponse, error) {
	if _, err := s.leaderTerm(); err != nil {
		return nil, err
	}
	request.Answer = state.OmitLargeBody(request.Answer)
	result, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_Complete{Complete: request}})
	if err != nil {
		return nil, err
	}
	return &fleetpb.CompleteResponse{Code: result.Code}, nil
}

// AcquireOrderLease implements fleetpb.FleetServer. The lease of the holder starts when the holder sends its request,
// which is before the leader grants the lease. Another session gets the lease only after the TTL and the clock drift
// have passed since the last grant, so that the previous lease has expired by the clock of its holder too.
func (s *Service) AcquireOrderLease(ctx context.Context, request *fleetpb.AcquireOrderLeaseRequest) (*fleetpb.AcquireOrderLeaseResponse, error) {
	term, err := s.leaderTerm()
	if err != nil {
		return nil, err
	}
	// All entries request the lease. Requests that cannot succeed return here, so that they do not queue for the mutex.
	if !s.canHoldOrderLease(term, request.SessionId) {
		return &fleetpb.AcquireOrderLeaseResponse{}, nil
	}
	s.orderLeaseMu.Lock()
	defer s.orderLeaseMu.Unlock()
	if !s.canHoldOrderLease(term, request.SessionId) {
		return &fleetpb.AcquireOrderLeaseResponse{}, nil
	}
	if _, err := s.group.ReadIndex(ctx); err != nil {
		return nil, member.RPCError(err)
	}
	if s.state.Session(request.SessionId) == nil {
		return &fleetpb.AcquireOrderLeaseResponse{}, nil
	}
	current := s.state.OrderLease()
	if current.SessionId == request.SessionId {
		s.leases.renewOrderLease(term, time.Now())
		return &fleetpb.AcquireOrderLeaseResponse{
			Held: true, Fence: current.Fence, TtlMillis: uint32(state.SessionTTL / time.Millisecond),
		}, nil
	}
	if !s.leases.orderLeaseExpired(term, time.Now()) {
		return &fleetpb.AcquireOrderLeaseResponse{}, nil
	}
	result, err := s.propose(ctx, &fleetpb.Command{Body: &fleetpb.Command_AcquireOrderLease{AcquireOrderLease: request}})
	// A proposal that returned an error may still be committed.
	s.leases.renewOrderLease(term, time.Now())
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

// canHoldOrderLease reports whether the session holds the order lease or the lease has expired.
func (s *Service) canHoldOrderLease(term, session uint64) bool {
	return s.state.OrderLease().SessionId == session || s.leases.orderLeaseExpired(term, time.Now())
}

// ConfigRevision returns the highest configuration revision that a session reported in keepalives to this leader, or 0
// if this leader received no keepalive of the session.
func (s *Service) ConfigRevision(session uint64) uint64 { return s.leases.configRevision(session) }

// RunningIn returns how many requests the entries run on the upstreams of an evacuated failure domain, as they last reported to this
// leader.
func (s *Service) RunningIn(domain string) int { return s.leases.runningIn(domain) }
