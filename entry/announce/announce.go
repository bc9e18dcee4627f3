// Package announce takes the announcements of upstreams.
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
	"azuredoor.example/core/settings"
	"azuredoor.example/entry/control"
)

// Path is where upstreams announce themselves.
const Path = "/upstream/v1/announce"

// Announcement is what an upstream tells of itself.
type Announcement struct {
	// ID is unique among upstreams and keeps its value over restarts.
	ID string `json:"id"`
	// Incarnation grows with each start of the upstream.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Address is IP:port.
	Address string `json:"address"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Role is "prefill", "decode" or "both" for engines, empty for services.
	Role          string   `json:"role,omitempty"`
	Pool          string   `json:"pool"`
	Models        []string `json:"models,omitempty"`
	FailureDomain string   `json:"failureDomain"`
	// Slots is how many requests the upstream holds at once.
	Slots         uint32 `json:"slots"`
	ChecksFencing bool   `json:"checksFencing,omitempty"`
	// State is "ready" or "leaving".
	State string `json:"state"`
}

// Answer is what an upstream gets back.
type Answer struct {
	// Desired is "active", "draining" or "stopped".
	Desired string `json:"desired"`
}

// Fleet is what the announcements are told to.
type Fleet interface {
	View() *control.View
	// RecordHeartbeat records that an upstream whose announcement is unchanged is alive.
	RecordHeartbeat(id string, incarnation uint64)
	// Announce hands a changed announcement to the leader.
	Announce(ctx context.Context, upstream *fleetpb.Upstream) (*fleetpb.AnnounceUpstreamResponse, error)
}

// Config configures a Handler.
type Config struct {
	// JoinToken is what upstreams show as bearer token.
	JoinToken string
	Fleet     Fleet
	Events    *event.Logger
	// Base is the context of calls to the leader; fasthttp hands no context to its handlers.
	Base context.Context
}

// Handler takes announcements.
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

// Handle answers one announcement.
func (h *Handler) Handle(ctx *fasthttp.RequestCtx) {
	if !h.authorised(ctx) {
		h.config.Events.Write(event.AnnouncementRefused, func(e *log.Entry) {
			e.Str("remote", ctx.RemoteAddr().String()).Str("reason", "wrong join token")
		})
		answerError(ctx, fasthttp.StatusUnauthorized, "the join token is missing or wrong")
		return
	}
	a, err := Decode(ctx.PostBody())
	if err != nil {
		answerError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	h.accept(ctx, a)
}

func (h *Handler) authorised(ctx *fasthttp.RequestCtx) bool {
	token, found := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	got := sha256.Sum256([]byte(token))
	return found && subtle.ConstantTimeCompare(got[:], h.token[:]) == 1
}

func (h *Handler) accept(ctx *fasthttp.RequestCtx, a *Announcement) {
	if known := h.config.Fleet.View().Upstreams[a.ID]; known != nil && unchanged(known, a) {
		h.config.Fleet.RecordHeartbeat(a.ID, a.Incarnation)
		answerDesired(ctx, known.Desired)
		return
	}
	call, cancel := context.WithTimeout(h.config.Base, leaderTimeout)
	defer cancel()
	result, err := h.config.Fleet.Announce(call, a.upstream())
	switch {
	case err != nil:
		answerError(ctx, fasthttp.StatusServiceUnavailable, "the control group did not take the announcement; send it again")
	case result.Code == fleetpb.ResultCode_RESULT_CODE_STALE:
		answerError(ctx, fasthttp.StatusConflict, "a newer incarnation or sequence of this upstream is known")
	case result.Code != fleetpb.ResultCode_RESULT_CODE_OK:
		answerError(ctx, fasthttp.StatusBadRequest, "the control group refused the announcement")
	default:
		answerDesired(ctx, result.Desired)
	}
}

// unchanged says whether the announcement only proves that the upstream is alive.
func unchanged(known *fleetpb.Upstream, a *Announcement) bool {
	now := a.upstream()
	return known.Incarnation == now.Incarnation && known.State == now.State && known.Address == now.Address &&
		known.Kind == now.Kind && known.Role == now.Role && known.Pool == now.Pool &&
		known.FailureDomain == now.FailureDomain && known.Slots == now.Slots &&
		known.ChecksFencing == now.ChecksFencing && slices.Equal(known.Models, now.Models)
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

// Decode reads and checks an announcement. Unknown fields are ignored, so that newer upstreams may announce.
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

func answerDesired(ctx *fasthttp.RequestCtx, desired fleetpb.DesiredState) {
	answerJSON(ctx, fasthttp.StatusOK, Answer{Desired: desiredNames[desired]})
}

func answerError(ctx *fasthttp.RequestCtx, status int, text string) {
	answerJSON(ctx, status, map[string]string{"error": text})
}

func answerJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
