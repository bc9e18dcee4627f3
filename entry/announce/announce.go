// Package announce handles the announcements of upstreams.
package announce

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/httpread"
	"azuredoor.example/core/settings"
	"azuredoor.example/entry/control"
)

// Path is the path to which upstreams post their announcements.
const Path = "/upstream/v1/announce"

// Announcement describes an upstream. It is the body of each request to Path.
type Announcement struct {
	// ID is unique among upstreams and stays the same across restarts.
	ID string `json:"id"`
	// Incarnation grows with each start of the upstream.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Address has the form IP:port.
	Address string `json:"address"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Role is "prefill", "decode" or "both" for engines, empty for services.
	Role          string   `json:"role,omitempty"`
	Pool          string   `json:"pool"`
	Models        []string `json:"models,omitempty"`
	FailureDomain string   `json:"failureDomain"`
	// Slots is the maximum number of concurrent requests.
	Slots         uint32 `json:"slots"`
	ChecksFencing bool   `json:"checksFencing,omitempty"`
	// State is "ready" or "leaving".
	State string `json:"state"`
}

// Response is the body of the response to an accepted announcement.
type Response struct {
	// Desired is "active", "draining" or "stopped".
	Desired string `json:"desired"`
}

// Fleet provides the view of the control state and receives the announcements.
type Fleet interface {
	View() *control.View
	// RecordHeartbeat records that a known upstream is alive.
	RecordHeartbeat(id string, incarnation uint64)
	// Announce sends a changed announcement to the leader.
	Announce(ctx context.Context, upstream *fleetpb.Upstream) (*fleetpb.AnnounceUpstreamResponse, error)
}

// Config configures a Handler.
type Config struct {
	// JoinToken is the bearer token that upstreams must send.
	JoinToken string
	Fleet     Fleet
	Events    *event.Logger
	// Base is the parent context of calls to the leader. fasthttp passes no context.Context to its handlers.
	Base context.Context
}

// Handler handles the HTTP requests of upstreams that announce themselves.
type Handler struct {
	config Config
	token  [sha256.Size]byte
}

// New returns a handler.
func New(c Config) *Handler {
	return &Handler{config: c, token: sha256.Sum256([]byte(c.JoinToken))}
}

const (
	maxIDBytes    = 128
	maxModels     = 64
	maxSlots      = 1 << 16
	leaderTimeout = 2 * time.Second
)

// Handle processes one announcement and writes the response.
func (h *Handler) Handle(ctx *fasthttp.RequestCtx) {
	if !h.authorised(ctx) {
		h.config.Events.Write(event.AnnouncementRefused, func(e *log.Entry) {
			e.Str("remote", ctx.RemoteAddr().String()).Str("reason", "wrong join token")
		})
		writeError(ctx, fasthttp.StatusUnauthorized, "the join token is missing or wrong")
		return
	}
	if err := httpread.CheckFields(ctx.Request.Header.RawHeaders()); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	a, err := Decode(ctx.PostBody())
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	h.process(ctx, a)
}

func (h *Handler) authorised(ctx *fasthttp.RequestCtx) bool {
	token, found := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	got := sha256.Sum256([]byte(token))
	return found && subtle.ConstantTimeCompare(got[:], h.token[:]) == 1
}

func (h *Handler) process(ctx *fasthttp.RequestCtx, a *Announcement) {
	if known := h.config.Fleet.View().Upstreams[a.ID]; known != nil && unchanged(known, a) {
		h.config.Fleet.RecordHeartbeat(a.ID, a.Incarnation)
		writeDesired(ctx, known.Desired)
		return
	}
	callCtx, cancel := context.WithTimeout(h.config.Base, leaderTimeout)
	defer cancel()
	result, err := h.config.Fleet.Announce(callCtx, a.upstream())
	switch {
	case err != nil:
		writeError(ctx, fasthttp.StatusServiceUnavailable, "the control group did not take the announcement; send it again")
	case result.Code == fleetpb.ResultCode_RESULT_CODE_STALE:
		writeError(ctx, fasthttp.StatusConflict, "a newer incarnation or sequence of this upstream is known")
	case result.Code != fleetpb.ResultCode_RESULT_CODE_OK:
		writeError(ctx, fasthttp.StatusBadRequest, "the control group refused the announcement")
	default:
		writeDesired(ctx, result.Desired)
	}
}

// unchanged reports whether an announcement equals the known state of its upstream. Such an announcement is only a
// heartbeat.
func unchanged(known *fleetpb.Upstream, a *Announcement) bool {
	announced := a.upstream()
	return known.Incarnation == announced.Incarnation && known.State == announced.State && known.Address == announced.Address &&
		known.Kind == announced.Kind && known.Role == announced.Role && known.Pool == announced.Pool &&
		known.FailureDomain == announced.FailureDomain && known.Slots == announced.Slots &&
		known.ChecksFencing == announced.ChecksFencing && slices.Equal(known.Models, announced.Models)
}

func (a *Announcement) upstream() *fleetpb.Upstream {
	state := fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE
	if a.State == "leaving" {
		state = fleetpb.UpstreamState_UPSTREAM_STATE_LEAVING
	}
	return &fleetpb.Upstream{
		Id: a.ID, Incarnation: a.Incarnation, Sequence: a.Sequence, Address: a.Address, Kind: a.Kind, Role: a.Role,
		Pool: a.Pool, Models: a.Models, FailureDomain: a.FailureDomain, Slots: a.Slots,
		ChecksFencing: a.ChecksFencing, State: state,
	}
}

// Decode decodes and validates an announcement. It ignores unknown fields, so that newer upstreams may add fields.
func Decode(body []byte) (*Announcement, error) {
	a := &Announcement{}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(a); err != nil {
		return nil, eris.Errorf("the body is not a JSON announcement: %v", err)
	}
	if a.ID == "" || len(a.ID) > maxIDBytes {
		return nil, eris.Errorf("id: got %d bytes, want 1 to %d", len(a.ID), maxIDBytes)
	}
	if a.Incarnation == 0 {
		return nil, eris.New("incarnation: want a positive number that grows with each start")
	}
	if err := settings.CheckAddress(a.Address); err != nil {
		return nil, eris.Errorf("address: got %q, %v", a.Address, err)
	}
	if a.Pool == "" || len(a.Pool) > maxIDBytes {
		return nil, eris.New("pool: is missing or too long")
	}
	if a.Slots == 0 || a.Slots > maxSlots {
		return nil, eris.Errorf("slots: got %d, want 1 to %d", a.Slots, maxSlots)
	}
	if len(a.Models) > maxModels {
		return nil, eris.Errorf("models: got %d, want at most %d", len(a.Models), maxModels)
	}
	if a.State != "ready" && a.State != "leaving" {
		return nil, eris.Errorf("state: got %q, want ready or leaving", a.State)
	}
	return a, checkRole(a)
}

func checkRole(a *Announcement) error {
	switch a.Kind {
	case "engine":
		if !slices.Contains([]string{"prefill", "decode", "both"}, a.Role) {
			return eris.Errorf("role: got %q, want prefill, decode or both", a.Role)
		}
	case "service":
		if a.Role != "" {
			return eris.Errorf("role: got %q, want none for a service", a.Role)
		}
	default:
		return eris.Errorf("kind: got %q, want engine or service", a.Kind)
	}
	return nil
}

var desiredNames = map[fleetpb.DesiredState]string{
	fleetpb.DesiredState_DESIRED_STATE_ACTIVE:   "active",
	fleetpb.DesiredState_DESIRED_STATE_DRAINING: "draining",
	fleetpb.DesiredState_DESIRED_STATE_STOPPED:  "stopped",
}

func writeDesired(ctx *fasthttp.RequestCtx, desired fleetpb.DesiredState) {
	writeJSON(ctx, fasthttp.StatusOK, Response{Desired: desiredNames[desired]})
}

func writeError(ctx *fasthttp.RequestCtx, status int, message string) {
	writeJSON(ctx, status, map[string]string{"error": message})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
