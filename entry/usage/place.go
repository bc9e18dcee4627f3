package usage

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/place"
)

// ErrNoCoordinator means that no coordinator answers, so that the entry has to choose engines itself.
var ErrNoCoordinator = errors.New("no coordinator answers")

// ErrQuarantined means that a part of the prompt is quarantined.
var ErrQuarantined = errors.New("a part of the prompt is quarantined")

// PlaceNeed describes a generation that needs engines.
type PlaceNeed struct {
	Service    string
	Generation place.Generation
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	// Exclude lists decode engines that must not be chosen, Full those that refused a reservation.
	Exclude, Full []string
	// Wait is how long the generation may wait for memory. Target is the latency target, Patience how long the caller
	// waits.
	Wait, Target, Patience time.Duration
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// Late is set if the target has passed already, because the caller was refused before.
	Late bool
	// PromptParts are the parts of the prompt that other prompts may share.
	PromptParts []uint64
	// Regions are those whose engines may run the generation, nil for all.
	Regions []string
	// SoftwareVersion is the only one whose decode engines may run the generation, if SameSoftware is set.
	SoftwareVersion string
	SameSoftware    bool
	// Repeatable is set if the generation may run more than once.
	Repeatable bool
}

// PlaceResult holds the engines of a generation.
type PlaceResult struct {
	// Decode and Incarnation identify the decode engine. Prefill is empty if the decode engine processes the prompt.
	Decode, Prefill string
	Incarnation     uint64
	// PrefillTime is the expected time until the prompt is processed.
	PrefillTime time.Duration
	// GrantedUntil is until when the generation may be sent to its engines although they are cold; the zero time if they were warm.
	GrantedUntil time.Time
	// RetryAfter is when the caller should retry. It is set with place.ErrBusy and ErrQuarantined.
	RetryAfter time.Duration
	// QuarantinedPart is set with ErrQuarantined.
	QuarantinedPart uint64
}

// Place asks the coordinator for the engines of a generation. Its error is nil, place.ErrBusy, place.ErrNone,
// ErrQuarantined, ErrNoCoordinator or the cause of the end of the context.
func (c *Client) Place(ctx context.Context, need PlaceNeed) (PlaceResult, error) {
	own, _ := c.config.Control.SessionID()
	c.mu.Lock()
	id := c.current
	c.mu.Unlock()
	if id == 0 || own == 0 {
		return PlaceResult{}, ErrNoCoordinator
	}
	request := &fleetpb.PlaceRequest{
		SessionId: own, Service: need.Service, Generation: generationMessage(need.Generation), FailureDomain: need.FailureDomain,
		Exclude: need.Exclude, Full: need.Full, WaitMillis: uint32(max(0, need.Wait.Milliseconds())),
		TargetMillis: uint32(max(0, need.Target.Milliseconds())), PatienceMillis: uint32(max(0, need.Patience.Milliseconds())),
		Late: need.Late, Priority: uint32(max(0, need.Priority)), PromptParts: need.PromptParts, Regions: need.Regions, Restricted: need.Regions != nil, Repeatable: need.Repeatable,
		SoftwareVersion: need.SoftwareVersion, SameSoftware: need.SameSoftware,
	}
	sent := time.Now()
	response, err := c.callPlace(ctx, own, id, request, need.Wait)
	switch {
	case err == nil:
		return placeResult(sent, response)
	case ctx.Err() != nil:
		return PlaceResult{}, context.Cause(ctx) //nolint:wrapcheck // callers check the cause
	case status.Code(err) == codes.Unavailable:
		c.coordinatorFailed(id)
	default:
		// The next report finds out whether the coordinator responds at all.
		c.Changed()
	}
	return PlaceResult{}, ErrNoCoordinator
}

// coordinatorFailed makes the next report choose another coordinator.
func (c *Client) coordinatorFailed(id uint64) {
	c.avoid(id)
	c.mu.Lock()
	if c.current == id {
		c.current = 0
	}
	c.mu.Unlock()
	c.loads.Observe(id, nil)
	c.config.Guard.Lost()
	c.Changed()
}

// callPlace calls the coordinator. The first response has to arrive within placeTimeout, so that a coordinator that has
// failed is noticed before the generation has waited.
func (c *Client) callPlace(ctx context.Context, own, id uint64, request *fleetpb.PlaceRequest, wait time.Duration) (*fleetpb.PlaceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+placeTimeout)
	defer cancel()
	if id == own {
		return c.config.Coordinator.PlaceGeneration(ctx, request, func() error { return nil })
	}
	peer := c.config.Control.View().Sessions[id]
	if peer == nil {
		return nil, status.Error(codes.Unavailable, "the session of the coordinator has ended")
	}
	conn, err := c.peerConn(peer)
	if err != nil {
		return nil, err
	}
	silence := time.AfterFunc(placeTimeout, cancel)
	defer silence.Stop()
	stream, err := fleetpb.NewPeerClient(conn).Place(ctx, request)
	if err != nil {
		return nil, err
	}
	response, err := stream.Recv()
	if err == nil && response.Waiting {
		silence.Stop()
		response, err = stream.Recv()
	}
	return response, err //nolint:wrapcheck // the error only means that the coordinator failed
}

// placeResult converts the response to a request that was sent at the given time.
func placeResult(sent time.Time, r *fleetpb.PlaceResponse) (PlaceResult, error) {
	switch {
	case r.Quarantined:
		retryAfter := time.Duration(r.RetryAfterMillis) * time.Millisecond
		return PlaceResult{RetryAfter: retryAfter, QuarantinedPart: r.QuarantinedPart}, ErrQuarantined
	case r.Unknown:
		return PlaceResult{}, place.ErrNone
	case r.Upstream == "":
		return PlaceResult{RetryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond}, place.ErrBusy
	}
	result := PlaceResult{
		Decode: r.Upstream, Incarnation: r.Incarnation, Prefill: r.Prefill,
		PrefillTime: time.Duration(r.PrefillMillis) * time.Millisecond,
	}
	if r.ColdGranted {
		// The request arrived after it was sent, so that the coordinator made the placement no earlier than this.
		result.GrantedUntil = sent.Add(time.Duration(r.WaitedMillis)*time.Millisecond + place.GrantLifetime)
	}
	return result, nil
}

// ActsForFleet reports whether this entry does the work that one entry does for all: it is the coordinator, or no coordinator
// answers it.
func (c *Client) ActsForFleet() bool {
	own, _ := c.config.Control.SessionID()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current == own || c.current == 0
}
