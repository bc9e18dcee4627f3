package admin

import (
	"strings"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/fleetpb"
)

type upstreamBody struct {
	ID            string   `json:"id"`
	Incarnation   uint64   `json:"incarnation"`
	Address       string   `json:"address"`
	Kind          string   `json:"kind"`
	Role          string   `json:"role,omitempty"`
	Pool          string   `json:"pool"`
	Models        []string `json:"models,omitempty"`
	FailureDomain string   `json:"failureDomain"`
	Slots         uint32   `json:"slots"`
	ChecksFencing bool     `json:"checksFencing"`
	State         string   `json:"state"`
	Desired       string   `json:"desired"`
}

func stateName(u *fleetpb.Upstream) string {
	return strings.ToLower(strings.TrimPrefix(u.State.String(), "UPSTREAM_STATE_"))
}

var desiredStates = map[string]fleetpb.DesiredState{
	"active":   fleetpb.DesiredState_DESIRED_STATE_ACTIVE,
	"draining": fleetpb.DesiredState_DESIRED_STATE_DRAINING,
	"stopped":  fleetpb.DesiredState_DESIRED_STATE_STOPPED,
}

func (s *Server) upstreams(c *call) {
	bodies := []upstreamBody{}
	for _, u := range s.config.State.Upstreams() {
		bodies = append(bodies, upstreamBody{
			ID: u.Id, Incarnation: u.Incarnation, Address: u.Address, Kind: u.Kind, Role: u.Role, Pool: u.Pool,
			Models: u.Models, FailureDomain: u.FailureDomain, Slots: u.Slots, ChecksFencing: u.ChecksFencing,
			State: stateName(u), Desired: strings.ToLower(strings.TrimPrefix(u.Desired.String(), "DESIRED_STATE_")),
		})
	}
	c.respond(fasthttp.StatusOK, map[string]any{"upstreams": bodies})
}

func (s *Server) setDesired(c *call) {
	id, ok := c.requestID()
	if !ok {
		return
	}
	var body struct {
		Desired string `json:"desired"`
	}
	if !c.decode(&body) {
		return
	}
	desired, ok := desiredStates[body.Desired]
	if !ok {
		c.fail(invalid("desired", "want active, draining or stopped"))
		return
	}
	command := &fleetpb.SetDesired{RequestId: id, Operator: c.operator.Name, UpstreamId: c.path[1], Desired: desired}
	s.writeAndRespond(c, &fleetpb.Command{Body: &fleetpb.Command_SetDesired{SetDesired: command}})
}

func (s *Server) removeUpstream(c *call) {
	id, ok := c.requestID()
	if !ok {
		return
	}
	command := &fleetpb.RemoveUpstream{RequestId: id, Operator: c.operator.Name, UpstreamId: c.path[1]}
	s.writeAndRespond(c, &fleetpb.Command{Body: &fleetpb.Command_RemoveUpstream{RemoveUpstream: command}})
}

func (s *Server) writeAndRespond(c *call, command *fleetpb.Command) {
	if result := s.write(c, command); result != nil {
		c.respond(fasthttp.StatusOK, map[string]any{"revision": result.Revision})
	}
}
