package admin

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/fleetpb"
)

type evacuationBody struct {
	FailureDomain string    `json:"failureDomain"`
	Operator      string    `json:"operator"`
	Since         time.Time `json:"since"`
	// Upstreams is the number of upstreams in the failure domain that are not down. Running is the number of requests that still run
	// there, as the entries last reported to the leader.
	Upstreams int `json:"upstreams"`
	Running   int `json:"running"`
}

func (s *Server) evacuationBodies() []evacuationBody {
	bodies := []evacuationBody{}
	for _, e := range s.config.State.Evacuations() {
		if e.Withdrawn {
			continue
		}
		body := evacuationBody{FailureDomain: e.FailureDomain, Operator: e.Operator, Since: time.UnixMilli(e.SinceMillis).UTC()}
		s.config.State.EachUpstream(func(u *fleetpb.Upstream) {
			if u.FailureDomain == e.FailureDomain && u.State != fleetpb.UpstreamState_UPSTREAM_STATE_DOWN {
				body.Upstreams++
			}
		})
		if s.config.Running != nil {
			body.Running = s.config.Running.RunningIn(e.FailureDomain)
		}
		bodies = append(bodies, body)
	}
	return bodies
}

func (s *Server) evacuations(c *call) {
	c.respond(fasthttp.StatusOK, map[string]any{"evacuations": s.evacuationBodies()})
}

func (s *Server) evacuate(c *call) { s.orderEvacuation(c, false) }

func (s *Server) withdrawEvacuation(c *call) { s.orderEvacuation(c, true) }

func (s *Server) orderEvacuation(c *call, withdraw bool) {
	id, ok := c.requestID()
	if !ok {
		return
	}
	if strings.Contains(c.path[1], "/") {
		c.fail(invalid("failureDomain", "want a name without slashes"))
		return
	}
	if len(c.PostBody()) > 0 {
		c.fail(invalid("", "the order must have no body"))
		return
	}
	order := &fleetpb.SetEvacuationRequest{FailureDomain: c.path[1], Withdraw: withdraw, Operator: c.operator.Name, RequestId: id}
	s.writeAndRespond(c, &fleetpb.Command{Body: &fleetpb.Command_SetEvacuation{SetEvacuation: order}})
}
