package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

// Errors of proposals and reads.
var (
	// ErrOutcomeUnknown is returned if the command may or may not take effect.
	ErrOutcomeUnknown = errors.New("the outcome of the command is unknown")
	// ErrNotApplied is returned if the command has no effect and will never have one.
	ErrNotApplied = errors.New("the command was replaced by another leader's")
	// ErrStopped is returned if the member is stopping.
	ErrStopped = errors.New("the member is stopping")
	// ErrOlderMember is returned if a member could not apply the command, because it runs an older build.
	ErrOlderMember = errors.New("a member of the group runs a build that does not know the command")
)

// NotLeaderError is returned by a member that is not the leader. Nothing has been proposed.
type NotLeaderError struct {
	// Leader is the current leader, or nil if unknown.
	Leader *fleetpb.Member
}

// Error implements the error interface.
func (e *NotLeaderError) Error() string {
	if e.Leader == nil {
		return "this member does not lead, and no leader is known"
	}
	return fmt.Sprintf("this member does not lead; the leader is %s", e.Leader.Name)
}

const (
	// proposeTimeout bounds the duration of a proposal.
	proposeTimeout = 5 * time.Second
	// forwardTimeout bounds a call to the leader. It is shorter than proposeTimeout, so that an idempotent command can be
	// retried after a call on an unresponsive connection.
	forwardTimeout = 2 * time.Second
	// leaderRetry is the delay between two attempts of a proposal.
	leaderRetry = 50 * time.Millisecond
)

type proposal struct {
	data  []byte
	term  uint64 // term of the log entry
	reply chan proposalResult
}

type proposalResult struct {
	result *fleetpb.Result
	err    error
}

func (p *proposal) finish(result *fleetpb.Result, err error) { p.reply <- proposalResult{result, err} }

// propose submits a proposal to the consensus node.
func (m *Member) propose(p *proposal) {
	index, term, err := m.node.Propose(p.data)
	if err != nil {
		p.finish(nil, m.notLeader())
		return
	}
	p.term = term
	m.track(index, p)
}

// track registers a proposal that finishes when the entry at index is applied. An earlier proposal at the same index
// has been overwritten in the log and fails with ErrNotApplied.
func (m *Member) track(index uint64, p *proposal) {
	if old, ok := m.pending[index]; ok {
		old.finish(nil, ErrNotApplied)
	}
	m.pending[index] = p
}

func (m *Member) notLeader() error {
	s := m.node.Status()
	return &NotLeaderError{Leader: findMember(s.Membership, s.Leader)}
}

const (
	// levelEvacuations is the first command level with SetEvacuation.
	levelEvacuations = 1
	// commandLevel is the level of the commands that this build can apply. A member that skipped a command would differ from the
	// others for good.
	commandLevel = levelEvacuations
)

// checkCommandLevel returns ErrOlderMember if a member, as last heard of, is too old for a command.
func (m *Member) checkCommandLevel(command *fleetpb.Command) error {
	if _, ok := command.Body.(*fleetpb.Command_SetEvacuation); !ok {
		return nil
	}
	for _, other := range m.Status().Membership.GetMembers() {
		if info, _ := m.Peer(other.Id); info != nil && info.CommandLevel < levelEvacuations {
			return ErrOlderMember
		}
	}
	return nil
}

// ProposeLocal proposes a command on the leader and returns the result of applying the command. Members other than the
// leader return a *NotLeaderError. The time of the proposed command is set to the time of this member.
func (m *Member) ProposeLocal(ctx context.Context, command *fleetpb.Command) (*fleetpb.Result, error) {
	if current := m.Status(); !current.Leading {
		return nil, &NotLeaderError{Leader: current.LeaderMember()}
	}
	if err := m.checkCommandLevel(command); err != nil {
		return nil, err
	}
	stamped := &fleetpb.Command{TimeMillis: m.now().UnixMilli(), Body: command.Body}
	data, err := proto.Marshal(stamped)
	if err != nil {
		return nil, eris.Wrap(err, "encode a command")
	}
	if len(data) > maxCommandBytes {
		return nil, eris.Errorf("the command has %d bytes, more than %d", len(data), maxCommandBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p := &proposal{data: data, reply: make(chan proposalResult, 1)}
	select {
	case m.proposals <- p:
	case <-ctx.Done():
		return nil, ErrNotApplied
	case <-m.done:
		return nil, ErrStopped
	}
	select {
	case reply := <-p.reply:
		return reply.result, reply.err
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown
	case <-m.done:
		return nil, ErrOutcomeUnknown
	}
}

// Propose proposes a command on the leader, which may be another member. Propose retries if the command certainly had
// no effect, and also after an unknown outcome if the command is idempotent.
func (m *Member) Propose(ctx context.Context, command *fleetpb.Command) (*fleetpb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	uncertain := false
	for {
		result, err := m.proposeOnce(ctx, command)
		var notLeader *NotLeaderError
		switch {
		case err == nil:
			return result, nil
		case errors.As(err, &notLeader), errors.Is(err, ErrNotApplied):
		case errors.Is(err, ErrOutcomeUnknown) && isIdempotent(command):
			uncertain = true
		default:
			return nil, err
		}
		select {
		case <-time.After(leaderRetry):
		case <-ctx.Done():
			if uncertain {
				return nil, ErrOutcomeUnknown
			}
			return nil, err
		}
	}
}

// isIdempotent reports whether applying a command twice has the same effect as applying the command once.
func isIdempotent(command *fleetpb.Command) bool {
	switch command.Body.(type) {
	case *fleetpb.Command_ApplyConfig, *fleetpb.Command_SetDesired, *fleetpb.Command_RemoveUpstream,
		*fleetpb.Command_PutDocument, *fleetpb.Command_SetEvacuation:
		return true
	}
	return false
}

func (m *Member) proposeOnce(ctx context.Context, command *fleetpb.Command) (*fleetpb.Result, error) {
	current := m.Status()
	if current.Leading {
		return m.ProposeLocal(ctx, command)
	}
	leader := current.LeaderMember()
	if leader == nil {
		return nil, &NotLeaderError{}
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, eris.Wrap(err, "encode a command")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	response, err := m.transport.forward(ctx, leader.Id, data)
	if err != nil {
		switch status.Code(err) {
		case codes.FailedPrecondition:
			return nil, &NotLeaderError{}
		case codes.Aborted:
			return nil, ErrNotApplied
		default:
			return nil, fmt.Errorf("forward to the leader: %w: %w", err, ErrOutcomeUnknown)
		}
	}
	result := &fleetpb.Result{}
	if err := proto.Unmarshal(response, result); err != nil {
		return nil, eris.Wrap(err, "decode a result")
	}
	return result, nil
}
