package consensus

import (
	"errors"
	"maps"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/fleetpb"
)

const (
	kindAppend         = fleetpb.MessageKind_MESSAGE_KIND_APPEND
	kindAppendReply    = fleetpb.MessageKind_MESSAGE_KIND_APPEND_REPLY
	kindVote           = fleetpb.MessageKind_MESSAGE_KIND_VOTE
	kindVoteReply      = fleetpb.MessageKind_MESSAGE_KIND_VOTE_REPLY
	kindHeartbeat      = fleetpb.MessageKind_MESSAGE_KIND_HEARTBEAT
	kindHeartbeatReply = fleetpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY
)

func voters(ids ...uint64) *fleetpb.Membership {
	m := &fleetpb.Membership{}
	for _, id := range ids {
		m.Members = append(m.Members, &fleetpb.Member{Id: id})
	}
	return m
}

func entries(terms ...uint64) []*fleetpb.LogEntry {
	var list []*fleetpb.LogEntry
	for i, term := range terms {
		list = append(list, &fleetpb.LogEntry{Index: uint64(i + 1), Term: term, Data: []byte{0, byte(term)}})
	}
	return list
}

// newNode returns member id of the voters 1 to size, with a log of entries of the given terms.
func newNode(t *testing.T, id, size, term, commit uint64, logTerms ...uint64) *Node {
	t.Helper()
	var ids []uint64
	for i := range size {
		ids = append(ids, i+1)
	}
	n, err := New(Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, MaxAppendBytes: 1000, Seed: id}, Stored{
		HardState:  &fleetpb.HardState{Term: term, Commit: commit},
		Entries:    entries(logTerms...),
		Membership: voters(ids...),
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// processReady processes the Ready values of a node until none is left and returns their messages and read states.
func processReady(n *Node) (messages []*fleetpb.ConsensusMessage, reads []ReadState) {
	for n.HasReady() {
		r := n.Ready()
		messages, reads = append(messages, r.Messages...), append(reads, r.ReadStates...)
		n.Advance()
	}
	return messages, reads
}

// group connects nodes by a network that drops only the messages for which filter returns false.
type group struct {
	nodes  map[uint64]*Node
	filter func(m *fleetpb.ConsensusMessage) bool
}

func (g *group) deliverAll() {
	for idle := false; !idle; {
		idle = true
		for id := range uint64(len(g.nodes)) {
			messages, _ := processReady(g.nodes[id+1])
			for _, m := range messages {
				idle = false
				if to := g.nodes[m.To]; to != nil && (g.filter == nil || g.filter(m)) {
					to.Step(m)
				}
			}
		}
	}
}

func (g *group) tick(times int) {
	for range times {
		for id := range uint64(len(g.nodes)) {
			g.nodes[id+1].Tick()
		}
		g.deliverAll()
	}
}

// elect starts an election on a node and delivers all messages.
func (g *group) elect(id uint64) {
	g.nodes[id].campaign(false, true)
	g.deliverAll()
}

func newGroup(t *testing.T, size uint64) *group {
	g := &group{nodes: map[uint64]*Node{}}
	for id := range size {
		g.nodes[id+1] = newNode(t, id+1, size, 0, 0)
	}
	g.elect(1)
	if g.nodes[1].role != Leader {
		t.Fatal("member 1 is not the leader")
	}
	return g
}

// makeLeader makes a single node win an election with simulated votes of other members.
func makeLeader(t *testing.T, n *Node, voters ...uint64) {
	t.Helper()
	n.campaign(false, true)
	processReady(n)
	for _, voter := range voters {
		n.Step(&fleetpb.ConsensusMessage{Kind: kindVoteReply, From: voter, To: n.config.ID, Term: n.term})
	}
	if n.role != Leader {
		t.Fatalf("member %d is not the leader", n.config.ID)
	}
}

// TestIsolatedMemberDoesNotDisturb guards against a member that raises its term while isolated and causes a needless
// election when it reconnects.
func TestIsolatedMemberDoesNotDisturb(t *testing.T) {
	g := newGroup(t, 3)
	term := g.nodes[1].term
	g.filter = func(m *fleetpb.ConsensusMessage) bool { return m.From != 3 && m.To != 3 }
	g.tick(1000)
	if got := g.nodes[3].term; got != term {
		t.Errorf("got term %d on the isolated member, want %d", got, term)
	}
	g.filter = nil
	g.tick(100)
	if n := g.nodes[1]; n.role != Leader || n.term != term || g.nodes[3].leader != 1 {
		t.Errorf("got role %d in term %d and leader %d, want member 1 to lead in term %d",
			n.role, n.term, g.nodes[3].leader, term)
	}
}

// TestInflatedTermRejoins guards against a member with a higher term that can neither follow the leader nor be elected.
func TestInflatedTermRejoins(t *testing.T) {
	g := newGroup(t, 3)
	g.nodes[3].becomeFollower(50, 0)
	g.tick(100)
	leaders := 0
	for _, n := range g.nodes {
		if n.role == Leader {
			leaders++
		}
		if n.term < 50 || n.term > 52 || n.leader == 0 || n.commit != g.nodes[1].commit {
			t.Errorf("member %d has term %d, leader %d, commit %d; want a term from 50 to 52, a leader and the commit of member 1",
				n.config.ID, n.term, n.leader, n.commit)
		}
	}
	if leaders != 1 {
		t.Errorf("got %d leaders, want 1", leaders)
	}
}

// TestFollowerIgnoresVotes guards against a candidate that deposes a leader with which other members are in contact.
func TestFollowerIgnoresVotes(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(5)
	for _, kind := range []fleetpb.MessageKind{kindVote, fleetpb.MessageKind_MESSAGE_KIND_PRE_VOTE} {
		for _, id := range []uint64{1, 2} {
			g.nodes[id].Step(&fleetpb.ConsensusMessage{Kind: kind, From: 3, To: id, Term: 9, Index: 9, LogTerm: 9})
			if messages, _ := processReady(g.nodes[id]); g.nodes[id].term != 1 || len(messages) > 0 {
				t.Errorf("member %d answers %v although the leader is active", id, kind)
			}
		}
	}
}

// TestCommitOnlyInOwnTerm guards against overwriting a committed entry as in figure 3.7 of Ongaro 2014 (figure 8 of the
// Raft paper).
func TestCommitOnlyInOwnTerm(t *testing.T) {
	n := newNode(t, 1, 5, 3, 1, 1, 2)
	makeLeader(t, n, 2, 3)
	processReady(n)
	for _, id := range []uint64{2, 3} {
		n.Step(&fleetpb.ConsensusMessage{Kind: kindAppendReply, From: id, To: 1, Term: n.term, Index: 2})
	}
	if n.commit != 1 {
		t.Errorf("got commit %d after an entry of term 2 reached a majority in term %d, want 1", n.commit, n.term)
	}
	for _, id := range []uint64{2, 3} {
		n.Step(&fleetpb.ConsensusMessage{Kind: kindAppendReply, From: id, To: 1, Term: n.term, Index: 3})
	}
	if n.commit != 3 {
		t.Errorf("got commit %d after an entry of the current term reached a majority, want 3", n.commit)
	}
}

// TestEqualTermCandidates guards against two leaders in one term and against a leader that steps down for another
// leader of the same term.
func TestEqualTermCandidates(t *testing.T) {
	g := &group{nodes: map[uint64]*Node{}}
	for id := range uint64(3) {
		g.nodes[id+1] = newNode(t, id+1, 3, 0, 0)
	}
	g.nodes[1].campaign(false, false)
	g.nodes[2].campaign(false, false)
	g.deliverAll()
	if a, b := g.nodes[1], g.nodes[2]; a.term != 1 || b.term != 1 || (a.role == Leader) == (b.role == Leader) {
		t.Fatalf("got roles %d and %d in terms %d and %d, want one leader in term 1", a.role, b.role, a.term, b.term)
	}
	leader := g.nodes[g.nodes[3].leader]
	leader.Step(&fleetpb.ConsensusMessage{Kind: kindAppend, From: 3, To: leader.config.ID, Term: 1, Entries: entries(1)})
	if messages, _ := processReady(leader); leader.role != Leader || len(messages) > 0 {
		t.Error("the leader follows another leader of the same term")
	}
}

// TestVoteIsSyncedInKnownTerm guards against a second vote in one term after a power failure.
func TestVoteIsSyncedInKnownTerm(t *testing.T) {
	n := newNode(t, 1, 3, 4, 0)
	n.Step(&fleetpb.ConsensusMessage{Kind: kindVote, From: 2, To: 1, Term: 4})
	if r := n.Ready(); !r.MustSync || r.HardState.GetVote() != 2 || len(r.Messages) != 1 || r.Messages[0].Reject {
		t.Errorf("got %+v, want a synced vote", r)
	}
}

// TestOwnVoteCountsOncePersisted guards against a member that becomes leader by its own vote before the vote is persisted.
func TestOwnVoteCountsOncePersisted(t *testing.T) {
	n := newNode(t, 1, 1, 1, 0)
	n.Step(&fleetpb.ConsensusMessage{Kind: kindVote, From: 2, To: 1, Term: 1}) // produces a Ready
	n.Ready()
	for range 30 {
		n.Tick()
	}
	n.Advance()
	if n.role == Leader {
		t.Error("the vote counts although its Ready has not been processed")
	}
	if processReady(n); n.role != Leader || n.commit != 1 {
		t.Errorf("got role %d and commit %d, want a leader that committed its entry", n.role, n.commit)
	}
}

// TestLeaderCountsItselfOncePersisted guards against a commit that counts the leader's entry before it is persisted.
func TestLeaderCountsItselfOncePersisted(t *testing.T) {
	n := newNode(t, 1, 3, 0, 0)
	makeLeader(t, n, 2)
	n.Ready()
	n.Step(&fleetpb.ConsensusMessage{Kind: kindAppendReply, From: 2, To: 1, Term: n.term, Index: 1})
	if n.commit != 0 {
		t.Error("the leader's entry counts before it is persisted")
	}
	if n.Advance(); n.commit != 1 {
		t.Errorf("got commit %d after Advance, want 1", n.commit)
	}
}

// TestFollowerWithStaleTail guards against a follower that acknowledges or commits entries that the leader did not send.
func TestFollowerWithStaleTail(t *testing.T) {
	n := newNode(t, 1, 3, 2, 0, 1, 2, 2, 2)
	n.Step(&fleetpb.ConsensusMessage{Kind: kindAppend, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Commit: 4})
	messages, _ := processReady(n)
	if n.commit != 1 || len(messages) != 1 || messages[0].Index != 1 {
		t.Errorf("got commit %d and reply %v, want index 1", n.commit, messages)
	}
	n.Step(&fleetpb.ConsensusMessage{Kind: kindAppend, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: entries(1, 2)[1:]})
	if n.log.last() != 4 {
		t.Errorf("got last index %d, want a matching append to keep the tail", n.log.last())
	}
}

// TestOldRepliesIgnored guards against counting votes or acknowledgements of an earlier term.
func TestOldRepliesIgnored(t *testing.T) {
	n := newNode(t, 1, 3, 4, 0)
	n.campaign(false, false)
	processReady(n)
	n.Step(&fleetpb.ConsensusMessage{Kind: kindVoteReply, From: 2, To: 1, Term: 4})
	if n.role != Candidate {
		t.Fatal("a vote of an earlier term counts")
	}
	n.Step(&fleetpb.ConsensusMessage{Kind: kindVoteReply, From: 2, To: 1, Term: 5})
	processReady(n)
	n.Step(&fleetpb.ConsensusMessage{Kind: kindAppendReply, From: 2, To: 1, Term: 4, Index: 1})
	if n.commit != 0 {
		t.Error("an acknowledgement of an earlier term counts")
	}
}

// TestReadNeedsLaterRound guards against reads confirmed by heartbeats sent before the request, and against a
// read index below the commit index.
func TestReadNeedsLaterRound(t *testing.T) {
	n := newNode(t, 1, 3, 0, 0)
	makeLeader(t, n, 2)
	processReady(n)
	if err := n.ReadIndex(1); err != nil {
		t.Fatal(err)
	}
	reply := func(kind fleetpb.MessageKind, index, round uint64) []ReadState {
		n.Step(&fleetpb.ConsensusMessage{Kind: kind, From: 2, To: 1, Term: n.term, Index: index, ReadRound: round})
		_, reads := processReady(n)
		return reads
	}
	if reads := reply(kindHeartbeatReply, 0, 0); len(reads) > 0 {
		t.Errorf("got %v before an entry of the current term is committed, want no read state", reads)
	}
	n.Step(&fleetpb.ConsensusMessage{Kind: kindAppendReply, From: 2, To: 1, Term: n.term, Index: 1})
	if n.ReadIndex(2); n.reads.index != 1 {
		t.Errorf("got read index %d, want 1", n.reads.index)
	}
	processReady(n)
	if reads := reply(kindHeartbeatReply, 0, 1); len(reads) != 1 || reads[0] != (ReadState{Request: 1, Index: 1}) {
		t.Errorf("got %v, want the read of the first round", reads)
	}
	if reads := reply(kindHeartbeatReply, 0, 1); len(reads) > 0 {
		t.Errorf("got %v, want a second round first", reads)
	}
	if reads := reply(kindHeartbeatReply, 0, 2); len(reads) != 1 || reads[0].Request != 2 {
		t.Errorf("got %v, want the second read", reads)
	}
	n.ReadIndex(3)
	for range 20 {
		n.Tick()
	}
	if _, reads := processReady(n); n.role == Leader || len(reads) != 1 || !reads[0].Refused {
		t.Errorf("got role %d and %v, want a refused read on a leader without a majority", n.role, reads)
	}
}

// TestMembershipRules guards against membership changes that could lead to two disjoint majorities.
func TestMembershipRules(t *testing.T) {
	n := newNode(t, 1, 3, 1, 1, 1)
	makeLeader(t, n, 2)
	processReady(n)
	propose := func(next *fleetpb.Membership) error {
		_, _, err := n.ProposeMembership(next)
		return err
	}
	added := voters(1, 2, 3, 4)
	added.Members[3].Learner = true
	if err := propose(added); !errors.Is(err, ErrMembershipPending) {
		t.Errorf("got error %v before an entry of the current term is committed, want ErrMembershipPending", err)
	}
	ack := func(from, index uint64) {
		n.Step(&fleetpb.ConsensusMessage{Kind: kindAppendReply, From: from, To: 1, Term: n.term, Index: index})
		processReady(n)
	}
	ack(2, 2)
	for name, next := range map[string]*fleetpb.Membership{
		"two removed": voters(1), "none": voters(1, 2, 3), "new voter": voters(1, 2, 3, 4), "duplicate": voters(1, 2, 2, 3),
	} {
		if err := propose(next); !errors.Is(err, ErrMembershipInvalid) {
			t.Errorf("%s: got error %v, want ErrMembershipInvalid", name, err)
		}
	}
	if err := propose(added); err != nil {
		t.Fatal(err)
	}
	if err := propose(voters(1, 2, 3)); !errors.Is(err, ErrMembershipPending) {
		t.Errorf("got error %v while a change is pending, want ErrMembershipPending", err)
	}
	processReady(n)
	ack(2, 3)
	if err := propose(voters(1, 2, 3, 4)); !errors.Is(err, ErrLearnerBehind) {
		t.Errorf("got error %v for a learner without entries, want ErrLearnerBehind", err)
	}
	if err := propose(voters(1, 2, 3)); err != nil {
		t.Fatal(err)
	}
	processReady(n)
	ack(2, 4)
	if err := propose(added); !errors.Is(err, ErrMembershipInvalid) {
		t.Errorf("got error %v for a removed ID, want ErrMembershipInvalid", err)
	}
	n.Step(&fleetpb.ConsensusMessage{Kind: kindVote, From: 4, To: 1, Term: 9, Index: 9, LogTerm: 9, Hint: leadershipTransferHint})
	if n.role != Leader || n.term == 9 {
		t.Error("a removed member deposes the leader")
	}
}

// TestMembershipRollback guards against a membership that stays in force after its log entry is truncated.
func TestMembershipRollback(t *testing.T) {
	n := newNode(t, 1, 3, 1, 1, 1)
	data, err := proto.Marshal(voters(1))
	if err != nil {
		t.Fatal(err)
	}
	change := &fleetpb.LogEntry{Index: 2, Term: 1, Kind: fleetpb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	n.Step(&fleetpb.ConsensusMessage{Kind: kindAppend, From: 2, To: 1, Term: 1, Index: 1, LogTerm: 1,
		Entries: []*fleetpb.LogEntry{change}})
	if got := len(n.Status().Membership.Members); got != 1 {
		t.Errorf("got %d members after the append, want 1", got)
	}
	n.Step(&fleetpb.ConsensusMessage{Kind: kindAppend, From: 3, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: entries(1, 2)[1:]})
	if got := len(n.Status().Membership.Members); got != 3 {
		t.Errorf("got %d members after the truncation, want 3", got)
	}
}

// TestLeaderRemovesItself guards against a leader that keeps leading after its removal, and against a group that is left
// without a leader.
func TestLeaderRemovesItself(t *testing.T) {
	g := newGroup(t, 3)
	if _, _, err := g.nodes[1].ProposeMembership(voters(2, 3)); err != nil {
		t.Fatal(err)
	}
	g.deliverAll()
	if g.nodes[1].role == Leader || g.nodes[2].role != Leader && g.nodes[3].role != Leader {
		t.Errorf("got roles %d, %d, %d, want another leader immediately", g.nodes[1].role, g.nodes[2].role, g.nodes[3].role)
	}
	term := g.nodes[2].term
	g.tick(200)
	if g.nodes[2].term != term || g.nodes[1].role != Follower {
		t.Errorf("the removed member disrupts the group: got term %d, want %d", g.nodes[2].term, term)
	}
}

// TestTransfer guards against a leadership transfer that loses entries, takes an election timeout or never ends.
func TestTransfer(t *testing.T) {
	g := newGroup(t, 3)
	g.filter = func(m *fleetpb.ConsensusMessage) bool { return m.To != 3 || m.Kind == kindHeartbeat }
	if _, _, err := g.nodes[1].Propose([]byte("x")); err != nil {
		t.Fatal(err)
	}
	g.deliverAll()
	if err := g.nodes[1].TransferLeadership(3); err != nil {
		t.Fatal(err)
	}
	if _, _, err := g.nodes[1].Propose(nil); !errors.Is(err, ErrNotLeader) {
		t.Errorf("got error %v for a proposal during the transfer, want ErrNotLeader", err)
	}
	g.tick(10)
	if _, _, err := g.nodes[1].Propose(nil); err != nil {
		t.Errorf("got error %v after the transfer was abandoned, want none", err)
	}
	g.filter = nil
	g.tick(4)
	if err := g.nodes[1].TransferLeadership(3); err != nil {
		t.Fatal(err)
	}
	g.deliverAll()
	if g.nodes[3].role != Leader || g.nodes[3].commit != g.nodes[3].log.last() {
		t.Errorf("got role %d and commit %d on the target, want a leader with commit %d",
			g.nodes[3].role, g.nodes[3].commit, g.nodes[3].log.last())
	}
}

// TestStartElectsSoon guards against a group that waits for a full election timeout after all members lost power,
// and against a member that uses the shorter initial timeout after it has known a leader.
func TestStartElectsSoon(t *testing.T) {
	g := &group{nodes: map[uint64]*Node{}}
	for id := range uint64(5) {
		g.nodes[id+1] = newNode(t, id+1, 5, 3, 2, 1, 3)
	}
	ticks := 0
	for ; ticks < 100 && !slices.ContainsFunc(slices.Collect(maps.Values(g.nodes)), func(n *Node) bool {
		return n.role == Leader
	}); ticks++ {
		g.tick(1)
	}
	if want := g.nodes[1].config.ElectionTicks; ticks >= want {
		t.Errorf("got a leader after %d ticks, want one before the shortest election timeout of %d", ticks, want)
	}
	g.tick(2)
	for id, n := range g.nodes {
		n.resetElection()
		if n.electionTimeout < n.config.ElectionTicks {
			t.Errorf("member %d: got an election timeout of %d ticks once a leader is known, want at least %d",
				id, n.electionTimeout, n.config.ElectionTicks)
		}
	}
}
