// Package server runs one control process: the member of the control group, the services for entries and other members,
// and the API for operators.
package server

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"azuredoor.example/control/admin"
	"azuredoor.example/control/fleet"
	"azuredoor.example/control/member"
	"azuredoor.example/control/state"
	"azuredoor.example/core/consensus"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

const (
	// transferTimeout bounds the transfer of leadership before a stop.
	transferTimeout = 2 * time.Second
	// closeTimeout bounds the wait for open calls before a stop. The streams of other members never end by themselves, so
	// a stop with connected members always takes closeTimeout.
	closeTimeout = 500 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	// ID is the member ID stored in the data directory.
	ID   uint64
	Name string
	// Listener serves entries and other members.
	// AdminListener serves operators; nil if operators reach the group only through the methods of Server.
	Listener, AdminListener net.Listener
	// Advertise is the address at which other processes connect to Listener; the default is the address of Listener.
	// AdminAdvertise is the address at which other processes connect to AdminListener; the default is
	// the address of AdminListener.
	Advertise, AdminAdvertise string
	FailureDomain             string
	// FailureDomains are the failure domains that operators may evacuate; empty for those of the known upstreams and entries.
	FailureDomains []string
	Secret         string
	Tokens         *admin.Tokens
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// Joining lets the member form or join its group without an operator; if nil, operators form the group.
	Joining *member.JoinConfig
	// Voters is the number of members with a vote; 0 gives a vote to every member.
	Voters int
	// UpstreamTTL is the time from an announcement until the upstream counts as down; 0 means the default.
	UpstreamTTL time.Duration
	Storage     member.Storage
	// Stored is the content of Storage at the start of the process.
	Stored consensus.Stored
	Events *event.Logger
}

// Server is one control process.
type Server struct {
	config Config
	state  *state.Machine
	member *member.Member
	fleet  *fleet.Service
	admin  *admin.Server
	grpc   *grpc.Server
}

// Open returns a Server with the stored state. Run starts the Server.
func Open(config Config) (*Server, error) {
	machine := state.New()
	self := &fleetpb.Member{
		Name: config.Name, Address: advertisedAddress(config.Advertise, config.Listener), FailureDomain: config.FailureDomain,
	}
	if config.AdminListener != nil {
		self.AdminAddress = advertisedAddress(config.AdminAdvertise, config.AdminListener)
	}
	m, err := member.Open(member.Config{
		ID: config.ID, Self: self, Voters: config.Voters,
		Dialer:          fleetrpc.Dialer{Secret: config.Secret, Source: listenerIP(config.Listener)},
		SnapshotEntries: config.SnapshotEntries,
		Storage:         config.Storage, Stored: config.Stored, State: machine, Events: config.Events,
	})
	if err != nil {
		return nil, err
	}
	s := &Server{config: config, state: machine, member: m, grpc: fleetrpc.NewServer(config.Secret, config.Events)}
	s.fleet = fleet.New(fleet.Config{Group: m, State: machine, Events: config.Events, UpstreamTTL: config.UpstreamTTL})
	if config.AdminListener != nil {
		s.admin = admin.New(admin.Config{
			Source: listenerIP(config.AdminListener), Group: m, State: machine, Revisions: s.fleet, Running: s.fleet,
			Tokens: config.Tokens, Events: config.Events,
		})
	}
	fleetpb.RegisterConsensusServer(s.grpc, &member.Server{Member: m})
	fleetpb.RegisterFleetServer(s.grpc, s.fleet)
	return s, nil
}

// Run serves until ctx is cancelled, then transfers leadership, ends open calls and closes the listeners. Run does not
// close the storage.
func (s *Server) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return s.member.Run(running) })
	group.Go(func() error { return s.fleet.Run(running) })
	group.Go(func() error {
		err := s.grpc.Serve(s.config.Listener)
		if errors.Is(err, grpc.ErrServerStopped) {
			// The server was stopped before it began to serve.
			return nil
		}
		return eris.Wrap(err, "serve entries and other members")
	})
	if s.admin != nil {
		group.Go(func() error { return s.admin.Serve(s.config.AdminListener) })
	}
	if s.config.Joining != nil {
		group.Go(func() error { return s.member.KeepJoined(running, *s.config.Joining) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			s.config.Events.Write(event.ControlStopping, nil)
			s.transferLeadership()
		case <-running.Done():
		}
		s.close()
		stop()
		return nil
	})
	return group.Wait()
}

func (s *Server) transferLeadership() {
	current := s.member.Status()
	if !current.Leading || len(current.Membership.GetMembers()) == 1 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := s.member.TransferLeadership(ctx); err != nil {
		s.config.Events.Error(event.ControlLeadershipTransferFailed, err)
	}
}

// close waits at most closeTimeout for open calls and closes both listeners.
func (s *Server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	s.fleet.Stop()
	if s.admin != nil {
		// An error means that calls were still open after closeTimeout; they end with the process.
		_ = s.admin.Shutdown(ctx)
	}
	var group errgroup.Group
	stopped := make(chan struct{})
	group.Go(func() error {
		s.grpc.GracefulStop()
		close(stopped)
		return nil
	})
	select {
	case <-stopped:
	case <-ctx.Done():
		s.grpc.Stop()
	}
	_ = group.Wait()
}

func advertisedAddress(address string, listener net.Listener) string {
	if address != "" {
		return address
	}
	return listener.Addr().String()
}

// listenerIP returns the IP address of listener, which is the source address of connections to other members.
func listenerIP(listener net.Listener) string {
	host, _, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		return ""
	}
	return host
}
