// Package admin implements the operators' HTTP/JSON API for configuration, upstreams and control members.
package admin

import (
	"context"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"azuredoor.example/control/member"
	"azuredoor.example/control/state"
	"azuredoor.example/core/budget"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

const (
	maxBodyBytes   = 4 << 20
	maxHeldBytes   = 32 << 20
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	maxConnections = 256

	requestIDHeader = "Azuredoor-Request-Id"
	forwardedHeader = "Azuredoor-Forwarded"
)

// Group is the member of the control group that serves the API.
type Group interface {
	Propose(ctx context.Context, command *fleetpb.Command) (*fleetpb.Result, error)
	ReadIndex(ctx context.Context) (uint64, error)
	Status() member.Status
	Peer(id uint64) (*fleetpb.InfoResponse, bool)
	Bootstrap(ctx context.Context) error
	Add(ctx context.Context, next *fleetpb.Member) (*fleetpb.Member, error)
	Remove(ctx context.Context, id uint64) error
	Replace(ctx context.Context, old uint64, next *fleetpb.Member) (*fleetpb.Member, error)
}

// Revisions provides the configuration revision that each session reported in its last keepalive.
type Revisions interface {
	ConfigRevision(session uint64) uint64
}

// Running provides the number of requests that entries run in an evacuated failure domain.
type Running interface {
	RunningIn(domain string) int
}

// Config configures a Server.
type Config struct {
	Group Group
	// Source is the local IP address of connections for forwarded calls; if empty, the system chooses the address.
	Source    string
	State     *state.Machine
	Revisions Revisions
	// Running may be nil.
	Running Running
	Tokens  *Tokens
	Events  *event.Logger
}

// Server serves the operators' API of one member.
type Server struct {
	config Config
	http   *fasthttp.Server
	// dialer opens connections to other members.
	dialer net.Dialer
	// memory bounds what is held for the bodies of all calls.
	memory *budget.Budget
}

// New returns a server that accepts no connections until Serve is called.
func New(config Config) *Server {
	s := &Server{config: config, memory: budget.New(maxHeldBytes), dialer: net.Dialer{Timeout: dialTimeout}}
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "azuredoor-control", MaxRequestBodySize: maxBodyBytes, StreamRequestBody: true,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		Concurrency: maxConnections, CloseOnShutdown: true, NoDefaultDate: true,
		// Connection errors are caused by clients and must not flood the log.
		Logger: discardLogger{},
	}
	if ip := net.ParseIP(config.Source); ip != nil {
		s.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return s
}

type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve serves calls until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return eris.Wrap(s.http.Serve(listener), "serve the operator API")
}

// Shutdown stops the server and waits for the calls in progress to finish, until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return eris.Wrap(s.http.ShutdownWithContext(ctx), "shut down the operator API")
}

// call is one API request.
type call struct {
	*fasthttp.RequestCtx
	operator Operator
	// path holds the unescaped path segments after /v1.
	path []string
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c := &call{RequestCtx: ctx}
	ctx.Response.Header.SetContentType("application/json")
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if ok {
		c.operator, ok = s.config.Tokens.Find(token)
	}
	if !ok {
		s.logRefusal(c)
		c.fail(problem{status: fasthttp.StatusUnauthorized, code: "unauthorized", message: "the operator token is missing or wrong"})
		return
	}
	if !ctx.IsGet() && !c.operator.Write {
		s.logRefusal(c)
		c.fail(problem{status: fasthttp.StatusForbidden, code: "forbidden", message: "this operator token allows no changes"})
		return
	}
	if !c.splitPath() {
		c.fail(notFound("no such path"))
		return
	}
	lease, ok := s.readBody(c)
	if lease != nil {
		defer lease.Release()
	}
	if ok {
		s.route(c)
	}
}

func (s *Server) logRefusal(c *call) {
	s.config.Events.Write(event.ControlOperatorRefused, func(e *log.Entry) {
		e.Str("operator", c.operator.Name).Str("remote", c.RemoteIP().String())
	})
}

// splitPath sets the path of the call and reports whether the path is valid. Each segment is unescaped separately,
// because names may contain escaped slashes.
func (c *call) splitPath() bool {
	segments := strings.Split(strings.TrimPrefix(string(c.URI().PathOriginal()), "/"), "/")
	if segments[0] != "v1" {
		return false
	}
	for _, segment := range segments[1:] {
		text, err := url.PathUnescape(segment)
		if err != nil || text == "" {
			return false
		}
		c.path = append(c.path, text)
	}
	return len(c.path) > 0
}

// route runs the handler for the method and path of the call. In the keys of the route table, x stands for a name or
// an ID.
func (s *Server) route(c *call) {
	key := string(c.Method()) + " " + c.path[0]
	switch len(c.path) {
	case 2:
		key += "/x"
	case 3:
		key += "/x/" + c.path[2]
		if c.path[0] == "objects" {
			key = string(c.Method()) + " objects/x/x"
		}
	}
	routes := map[string]func(*call){
		"GET objects":              s.linearizableRead(s.objects),
		"GET objects/x/x":          s.linearizableRead(s.object),
		"POST apply":               s.apply,
		"GET history":              s.linearizableRead(s.history),
		"GET upstreams":            s.linearizableRead(s.upstreams),
		"POST upstreams/x/desired": s.setDesired,
		"DELETE upstreams/x":       s.removeUpstream,
		"GET evacuations":          s.linearizableRead(s.evacuations),
		"POST evacuations/x":       s.evacuate,
		"DELETE evacuations/x":     s.withdrawEvacuation,
		"GET members":              s.linearizableRead(s.members),
		"POST members":             s.onLeader(s.addMember),
		"DELETE members/x":         s.onLeader(s.removeMember),
		"POST members/x/replace":   s.onLeader(s.replaceMember),
		"GET sessions":             s.linearizableRead(s.sessions),
		"GET status":               s.status,
		"POST bootstrap":           s.bootstrap,
	}
	handler, ok := routes[key]
	if !ok {
		c.fail(notFound("no such path or method"))
		return
	}
	handler(c)
}
