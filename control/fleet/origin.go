package fleet

import (
	"context"
	"time"

	"azuredoor.example/control/member"
	"azuredoor.example/control/origin"
	"azuredoor.example/core/fleetpb"
)

// RecordOrigin implements fleetpb.FleetServer.
func (s *Service) RecordOrigin(_ context.Context, r *fleetpb.RecordOriginRequest) (*fleetpb.RecordOriginResponse, error) {
	keep := time.Duration(r.KeepMillis) * time.Millisecond
	s.origins.Put(time.Now(), origin.Key{Customer: r.Customer, RequestID: r.RequestId}, origin.Origin{Service: r.Service, SoftwareVersion: r.SoftwareVersion}, keep)
	return &fleetpb.RecordOriginResponse{}, nil
}

// FindOrigin implements fleetpb.FleetServer.
func (s *Service) FindOrigin(_ context.Context, r *fleetpb.FindOriginRequest) (*fleetpb.FindOriginResponse, error) {
	o, found := s.origins.Get(time.Now(), origin.Key{Customer: r.Customer, RequestID: r.RequestId})
	return &fleetpb.FindOriginResponse{Found: found, Service: o.Service, SoftwareVersion: o.SoftwareVersion}, nil
}

// ConfirmView implements fleetpb.FleetServer.
func (s *Service) ConfirmView(ctx context.Context, _ *fleetpb.ConfirmViewRequest) (*fleetpb.ConfirmViewResponse, error) {
	if _, err := s.group.ReadIndex(ctx); err != nil {
		return nil, member.RPCError(err)
	}
	return &fleetpb.ConfirmViewResponse{StateIndex: s.state.StateIndex()}, nil
}
