package admin

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/control/member"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/settings"
)

// membershipTimeout bounds a membership change, including the time in which a new member catches up.
const membershipTimeout = 25 * time.Second

type memberBody struct {
	ID            string `json:"id"`
	Name          string `json:"name"`
	Address       string `json:"address"`
	AdminAddress  string `json:"adminAddress"`
	FailureDomain string `json:"failureDomain"`
	Learner       bool   `json:"learner"`
	Leader        bool   `json:"leader"`
	Reachable     bool   `json:"reachable"`
	Term          uint64 `json:"term"`
	Applied       uint64 `json:"applied"`
	// Lag is the number of log entries that the member has not yet acknowledged to the leader.
	Lag uint64 `json:"lag"`
}

func formatID(id uint64) string { return strconv.FormatUint(id, 16) }

func (s *Server) memberBodies(current member.Status) []memberBody {
	bodies := []memberBody{}
	for _, m := range current.Membership.GetMembers() {
		body := memberBody{
			ID: formatID(m.Id), Name: m.Name, Address: m.Address, AdminAddress: m.AdminAddress,
			FailureDomain: m.FailureDomain, Learner: m.Learner, Leader: m.Id == current.Leader,
		}
		if m.Id == current.ID {
			body.Reachable, body.Term, body.Applied = true, current.Term, current.Applied
		} else if info, reachable := s.config.Group.Peer(m.Id); info != nil {
			body.Reachable, body.Term, body.Applied = reachable, info.Term, info.Applied
		}
		if match, ok := current.Match[m.Id]; ok && match < current.Last {
			body.Lag = current.Last - match
		}
		bodies = append(bodies, body)
	}
	return bodies
}

// memberBody returns the description of a member; it holds only the ID if the member is not in the group.
func (s *Server) memberBody(id uint64) memberBody {
	for _, body := range s.memberBodies(s.config.Group.Status()) {
		if body.ID == formatID(id) {
			return body
		}
	}
	return memberBody{ID: formatID(id)}
}

func (s *Server) members(c *call) {
	c.respond(fasthttp.StatusOK, map[string]any{"members": s.memberBodies(s.config.Group.Status())})
}

type newMember struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	AdminAddress  string `json:"adminAddress"`
	FailureDomain string `json:"failureDomain"`
}

func (c *call) newMember() (*fleetpb.Member, bool) {
	var body newMember
	if !c.decode(&body) {
		return nil, false
	}
	if body.Name == "" || len(body.Name) > 64 {
		c.fail(invalid("name", "want 1 to 64 bytes"))
		return nil, false
	}
	for field, address := range map[string]string{"address": body.Address, "adminAddress": body.AdminAddress} {
		if err := settings.CheckAddress(address); err != nil {
			c.fail(invalid(field, err.Error()))
			return nil, false
		}
	}
	return &fleetpb.Member{Name: body.Name, Address: body.Address, AdminAddress: body.AdminAddress, FailureDomain: body.FailureDomain}, true
}

func (c *call) memberID() (uint64, bool) {
	id, err := strconv.ParseUint(c.path[1], 16, 64)
	if err != nil {
		c.fail(invalid("id", "want a member ID of up to 16 hex digits"))
	}
	return id, err == nil
}

// addMember responds with status 202 while the new member is still catching up, and with 200 otherwise.
func (s *Server) addMember(ctx context.Context, c *call) error {
	m, ok := c.newMember()
	if !ok {
		return nil
	}
	added, err := s.config.Group.Add(ctx, m)
	if err != nil {
		return err
	}
	status := fasthttp.StatusOK
	if added.GetLearner() {
		status = fasthttp.StatusAccepted
	}
	c.respond(status, s.memberBody(added.GetId()))
	return nil
}

func (s *Server) removeMember(ctx context.Context, c *call) error {
	id, ok := c.memberID()
	if !ok {
		return nil
	}
	if err := s.config.Group.Remove(ctx, id); err != nil {
		return err
	}
	c.respond(fasthttp.StatusOK, map[string]any{"id": formatID(id)})
	return nil
}

func (s *Server) replaceMember(ctx context.Context, c *call) error {
	id, ok := c.memberID()
	if !ok {
		return nil
	}
	m, ok := c.newMember()
	if !ok {
		return nil
	}
	added, err := s.config.Group.Replace(ctx, id, m)
	if err != nil {
		return err
	}
	c.respond(fasthttp.StatusOK, s.memberBody(added.Id))
	return nil
}

func (s *Server) bootstrap(c *call) {
	ctx, cancel := context.WithTimeout(context.Background(), writeCallTimeout)
	defer cancel()
	if err := s.config.Group.Bootstrap(ctx); err != nil {
		c.failWithError(err)
		return
	}
	c.respond(fasthttp.StatusOK, map[string]any{"id": formatID(s.config.Group.Status().ID)})
}

type sessionBody struct {
	ID             uint64 `json:"id"`
	Name           string `json:"name"`
	FailureDomain  string `json:"failureDomain"`
	Region         string `json:"region"`
	ConfigRevision uint64 `json:"configRevision"`
}

func (s *Server) sessions(c *call) {
	bodies := []sessionBody{}
	for _, session := range s.config.State.Sessions() {
		bodies = append(bodies, sessionBody{
			ID: session.Id, Name: session.Name, FailureDomain: session.FailureDomain, Region: session.Region,
			ConfigRevision: s.config.Revisions.ConfigRevision(session.Id),
		})
	}
	c.respond(fasthttp.StatusOK, map[string]any{"revision": s.config.State.Revision(), "sessions": bodies})
}

type statusBody struct {
	// Confirmed is false if no leader responded; the other fields then hold the local state, which may be stale.
	Confirmed bool            `json:"confirmed"`
	Member    string          `json:"member"`
	Leader    string          `json:"leader,omitempty"`
	Term      uint64          `json:"term"`
	Applied   uint64          `json:"applied"`
	Revision  uint64          `json:"revision"`
	Members   []memberBody    `json:"members"`
	Sessions  int             `json:"sessions"`
	Claims    int             `json:"claims"`
	Upstreams []upstreamCount `json:"upstreams"`
	// Evacuations holds those in force.
	Evacuations []evacuationBody `json:"evacuations"`
}

type upstreamGroup struct {
	Pool          string `json:"pool"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"`
}

type upstreamCount struct {
	upstreamGroup
	Count int `json:"count"`
}

func (s *Server) status(c *call) {
	err := s.confirmRead(c)
	if errors.Is(err, errForwarded) {
		return
	}
	current := s.config.Group.Status()
	body := statusBody{
		Confirmed: err == nil, Member: formatID(current.ID), Term: current.Term, Applied: current.Applied,
		Revision: s.config.State.Revision(), Members: s.memberBodies(current), Sessions: len(s.config.State.Sessions()),
		Claims: s.config.State.ClaimCount(), Upstreams: s.countUpstreams(), Evacuations: s.evacuationBodies(),
	}
	if current.Leader != 0 {
		body.Leader = formatID(current.Leader)
	}
	c.respond(fasthttp.StatusOK, body)
}

func (s *Server) countUpstreams() []upstreamCount {
	counts := map[upstreamGroup]int{}
	s.config.State.EachUpstream(func(u *fleetpb.Upstream) {
		counts[upstreamGroup{Pool: u.Pool, FailureDomain: u.FailureDomain, State: stateName(u)}]++
	})
	list := []upstreamCount{}
	for _, group := range slices.SortedFunc(maps.Keys(counts), func(a, b upstreamGroup) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.State, b.State))
	}) {
		list = append(list, upstreamCount{upstreamGroup: group, Count: counts[group]})
	}
	return list
}
