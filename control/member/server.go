package member

import (
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

// maxReceivedBytes bounds a consensus message; messages with a snapshot are the largest.
const maxReceivedBytes = 1 << 30

// Server implements the gRPC service Consensus of a member.
type Server struct {
	fleetpb.UnimplementedConsensusServer
	Member *Member
}

// Step receives consensus messages from another member and passes them to the member's loop.
func (s *Server) Step(stream grpc.ClientStreamingServer[fleetpb.StepChunk, fleetpb.StepDone]) error {
	s.Member.addSenderAsPeer(stream.Context())
	var parts []byte
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return eris.Wrap(stream.SendAndClose(&fleetpb.StepDone{}), "end a stream")
		}
		if err != nil {
			return eris.Wrap(err, "receive a message")
		}
		if len(parts)+len(chunk.Data) > maxReceivedBytes {
			return status.Error(codes.ResourceExhausted, "the message is too large")
		}
		data := chunk.Data
		if len(parts) > 0 || !chunk.Last {
			parts = append(parts, chunk.Data...)
			data = parts
		}
		if !chunk.Last {
			continue
		}
		message := &fleetpb.ConsensusMessage{}
		if err := proto.Unmarshal(data, message); err != nil {
			return status.Error(codes.InvalidArgument, "the message is malformed")
		}
		parts = nil
		select {
		case s.Member.inbox <- message:
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-s.Member.done:
			return status.Error(codes.Unavailable, "the member is stopping")
		}
	}
}

// addSenderAsPeer adds the sender of a stream as a provisional peer. A process that does not belong to a group yet can
// thus answer the leader that adds the process.
func (m *Member) addSenderAsPeer(ctx context.Context) {
	ids := metadata.ValueFromIncomingContext(ctx, senderIDKey)
	addresses := metadata.ValueFromIncomingContext(ctx, senderAddressKey)
	if len(ids) != 1 || len(addresses) != 1 {
		return
	}
	if id, err := strconv.ParseUint(ids[0], 16, 64); err == nil && id != 0 {
		m.transport.addProvisionalPeer(id, addresses[0])
	}
}

// Forward proposes a command forwarded by another member.
func (s *Server) Forward(ctx context.Context, request *fleetpb.ForwardRequest) (*fleetpb.ForwardResponse, error) {
	command := &fleetpb.Command{}
	if err := proto.Unmarshal(request.Command, command); err != nil {
		return nil, status.Error(codes.InvalidArgument, "the command is malformed")
	}
	result, err := s.Member.ProposeLocal(ctx, command)
	if err != nil {
		return nil, RPCError(err)
	}
	data, err := proto.Marshal(result)
	if err != nil {
		return nil, status.Error(codes.Internal, "the result can't be encoded")
	}
	return &fleetpb.ForwardResponse{Result: data}, nil
}

// Info returns the ID and status of the member.
func (s *Server) Info(context.Context, *fleetpb.InfoRequest) (*fleetpb.InfoResponse, error) {
	current := s.Member.Status()
	return &fleetpb.InfoResponse{
		Id: current.ID, Term: current.Term, Leader: current.Leader, Applied: current.Applied, Committed: current.Commit,
		FirstIndex: current.First, LastIndex: current.Last, Membership: current.Membership, CommandLevel: commandLevel,
	}, nil
}

// RPCError converts an error of a Member to a gRPC status: FAILED_PRECONDITION with a NotLeader detail if the member is
// not the leader, ABORTED if a command certainly had no effect, CANCELLED if the call was cancelled, and UNAVAILABLE
// otherwise.
func RPCError(err error) error {
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		detail := &fleetpb.NotLeader{LeaderId: notLeader.Leader.GetId(), Address: notLeader.Leader.GetAddress()}
		refused, detailErr := status.New(codes.FailedPrecondition, notLeader.Error()).WithDetails(detail)
		if detailErr != nil {
			return status.Error(codes.FailedPrecondition, notLeader.Error())
		}
		return refused.Err()
	case errors.Is(err, ErrNotApplied), errors.Is(err, ErrStopped):
		return status.Error(codes.Aborted, err.Error())
	case errors.Is(err, context.Canceled):
		return status.Error(codes.Canceled, err.Error())
	default:
		return status.Error(codes.Unavailable, err.Error())
	}
}
