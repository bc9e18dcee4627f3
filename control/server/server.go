// Package server assembles one control process: the member, the services for entries and other members,
// and the operators' API.
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
	// handOverTime bounds the wait for another leader before stopping.
	handOverTime = 2 * time.Second
	// closeTime bounds the wait for open calls before stopping. The streams of other members never end by
	// themselves, so a stop always takes this long.
	closeTime = 500 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	// ID is the member ID of the data folder.
	ID   uint64
	Name string
	// Listener serves the other processes, AdminListener the operators. Their addresses are what other
	// members connect to. AdminListener may be nil where operators reach the group through the methods of Server.
	Listener, AdminListener net.Listener
	// Advertise and AdminAdvertise are where others reach the listeners; they default to the listeners' addresses.
	Advertise, AdminAdvertise string
	FailureDomain             string
	Secret                    string
	Tokens                    *admin.Tokens
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// Joining lets the member find its group without an operator; nil leaves that to operators.
	Joining *member.Joining
	// Voters is the number of members with a vote; 0 gives every member one.
	Voters int
	// UpstreamTTL is the lifetime of an upstream after an announcement; 0 means the default.
	UpstreamTTL time.Duration
	Storage     member.Storage
	// Stored is what Storage held at start.
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

// Open loads the stored state.
func Open(config Config) (*Server, error) {
	machine := state.New()
	self := &fleetpb.Member{Name: config.Name, Address: publicAddress(config.Advertise, config.Listener), FailureDomain: config.FailureDomain}
	if config.AdminListener != nil {
		self.AdminAddress = publicAddress(config.AdminAdvertise, config.AdminListener)
	}
	m, err := member.Open(member.Config{
		ID: config.ID, Self: self, Voters: config.Voters,
		Dialer: fleetrpc.Dialer{Secret: config.Secret, Source: host(config.Listener)}, SnapshotEntries: config.SnapshotEntries,
		Storage: config.Storage, Stored: config.Stored, State: machine, Events: config.Events,
	})
	if err != nil {
		return nil, err
	}
	s := &Server{config: config, state: machine, member: m, grpc: fleetrpc.NewServer(config.Secret, config.Events)}
	s.fleet = fleet.New(fleet.Config{Group: m, State: machine, Events: config.Events, UpstreamTTL: config.UpstreamTTL})
	if config.AdminListener != nil {
		s.admin = admin.New(admin.Config{Source: host(config.AdminListener), Group: m, State: machine, Revisions: s.fleet, Tokens: config.Tokens, Events: config.Events})
	}
	fleetpb.RegisterConsensusServer(s.grpc, &member.Server{Member: m})
	fleetpb.RegisterFleetServer(s.grpc, s.fleet)
	return s, nil
}

// Run serves until the context ends, then hands over leadership and closes what is open. It does not
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
			// The stop came before the server began.
			return nil
		}
		return eris.Wrap(err, "serve other processes")
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
			s.handOver()
		case <-running.Done():
		}
		s.close()
		stop()
		return nil
	})
	return group.Wait()
}

func (s *Server) handOver() {
	current := s.member.Status()
	if !current.Leading || len(current.Membership.GetMembers()) == 1 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	if err := s.member.HandOver(ctx); err != nil {
		s.config.Events.Error(event.ControlHandOverFailed, err)
	}
}

// close lets open calls end and stops both listeners.
func (s *Server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	s.fleet.Stop()
	if s.admin != nil {
		// An error means that calls were still open after closeTime; they end with the process.
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

func publicAddress(address string, listener net.Listener) string {
	if address != "" {
		return address
	}
	return listener.Addr().String()
}

// host is the IP that connections to other members come from.
func host(listener net.Listener) string {
	host, _, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		return ""
	}
	return host
}
