package web

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/place"
	"azuredoor.example/entry/usage"
)

// placement holds the engines of a generation.
type placement struct {
	decode place.Upstream
	// coordinated is set if the coordinator chose the engines. Otherwise the fields below are empty.
	coordinated bool
	// prefill is the ID of the prefill engine, or empty if the decode engine processes the prompt.
	prefill string
	// prefillTime is the expected time until the prompt is processed.
	prefillTime time.Duration
	// grantedUntil is until when the engines may get the generation although they are cold.
	grantedUntil time.Time
}

// findEngines asks the coordinator for engines. The entry chooses the decode engine itself if no coordinator answers. The
// engines in full have just refused a reservation.
func (q *request) findEngines(until time.Time, full []string) (placement, *refusal) {
	start := time.Now()
	defer func() { q.trace.placeTime += time.Since(start) }()
	if q.router.config.Placer != nil && q.document.Services[q.service].Engine != nil {
		q.trace.placedBy = "coordinator"
		p, refused, err := q.askCoordinator(until, full)
		if err == nil {
			return p, refused
		}
		if q.ctx.Err() != nil {
			return placement{}, q.unavailableRefusal(err)
		}
	}
	if refused := q.promptRefusal(false); refused != nil {
		return placement{}, refused
	}
	q.trace.placedBy = "entry"
	u, err := q.router.pick(q.ctx, q.need, until)
	if err != nil {
		return placement{}, q.unavailableRefusal(err)
	}
	if q.document.Services[q.service].Engine != nil {
		q.beginGeneration(u)
	}
	return placement{decode: u}, nil
}

// errNotPlaced means that the coordinator does not answer or chose an engine that this entry does not know.
var errNotPlaced = errors.New("the coordinator placed no generation")

// maxPlacements bounds how often one request asks the coordinator while the engines that it chooses want no
// requests.
const maxPlacements = 3

// askCoordinator asks the coordinator for engines. It returns an error if the entry has to choose the engines itself.
func (q *request) askCoordinator(until time.Time, full []string) (placement, *refusal, error) {
	for range maxPlacements {
		result, err := q.router.config.Placer.Place(q.ctx, q.placeNeed(until, full))
		switch {
		case errors.Is(err, place.ErrNone) && len(q.need.Exclude) == 0 && q.resumeDelay() == 0:
			return placement{}, q.unavailableRefusal(place.ErrNone), nil
		case errors.Is(err, usage.ErrQuarantined):
			return placement{}, q.quarantineRefusal(result.QuarantinedPart, result.RetryAfter), nil
		case errors.Is(err, place.ErrBusy):
			return placement{}, q.busyRefusal(result.RetryAfter), nil
		case err != nil:
			return placement{}, nil, err
		}
		need := q.need
		need.GrantedUntil = result.GrantedUntil
		if u, ok := q.router.assign(result.Decode, result.Incarnation, need); ok {
			q.beginGeneration(u)
			return placement{
				decode: u, coordinated: true, prefill: result.Prefill, prefillTime: result.PrefillTime, grantedUntil: result.GrantedUntil,
			}, nil, nil
		}
		if !q.router.restricted(result.Decode, result.Incarnation) && !q.router.mayBeCold(result.Decode, result.Incarnation) {
			break
		}
		// The engine has stated that it wants no requests, or that it is cold, while this one waited at the coordinator.
	}
	return placement{}, nil, errNotPlaced
}

// placeNeed describes the generation for the coordinator.
func (q *request) placeNeed(until time.Time, full []string) usage.PlaceNeed {
	left := time.Until(q.deadline)
	return usage.PlaceNeed{
		Service: q.service, Generation: q.describeGeneration(), FailureDomain: q.router.config.FailureDomain,
		Exclude: append(q.router.unavailable(q.service), q.need.Exclude...), Full: full,
		Wait: min(time.Until(until), left), Target: q.route.Target, Patience: left, Late: q.late, Priority: q.priority(),
		PromptParts: q.sharedParts(), Regions: q.need.Regions, Repeatable: q.need.Repeatable,
		SoftwareVersion: q.need.SoftwareVersion, SameSoftware: q.need.SameSoftware,
	}
}

// priority returns the priority of the request: its customer's, or that of its route.
func (q *request) priority() int {
	if q.customer != nil && q.customer.HasPriority {
		return q.customer.Priority
	}
	return q.route.Priority
}

// busyRefusal returns the refusal of a request that finds no free memory.
func (q *request) busyRefusal(retryAfter time.Duration) *refusal {
	if q.ctx.Err() != nil || q.mayHaveRun {
		return q.unavailableRefusal(place.ErrBusy)
	}
	return &refusal{fasthttp.StatusServiceUnavailable, "all upstreams of the service are busy", retryAfter}
}

// describeGeneration returns the size of the generation as known now.
func (q *request) describeGeneration() place.Generation {
	if q.generation.ID == 0 {
		q.generation.ID = q.router.generations.newID()
	}
	made := q.trace.events * q.document.Services[q.service].Engine.EventTokens
	// A generation that has reached its expected length is expected to grow by another quarter.
	return place.Generation{
		ID: q.generation.ID, Prompt: max(1, q.call.PromptTokens), Output: made, Expected: max(q.expectedOutput, made+made/4),
	}
}

// beginGeneration records that a generation is about to start on an engine, so that reports to the coordinator hold it.
func (q *request) beginGeneration(u place.Upstream) {
	q.generation = q.describeGeneration()
	q.generation.Upstream, q.generation.Incarnation = u.ID, u.Incarnation
	q.router.generations.put(q.generation)
}

// endGeneration records that the generation has ended.
func (q *request) endGeneration() {
	if id := q.generation.ID; id != 0 && q.router.generations.remove(id) {
		q.generation = place.Generation{}
		if q.router.config.Placer != nil {
			q.router.config.Placer.Changed()
		}
	}
}

// assign adds the request to the load of an upstream that the coordinator chose. It returns false if the upstream is empty or
// unknown.
func (r *Router) assign(id string, incarnation uint64, need place.Need) (place.Upstream, bool) {
	if id == "" {
		return place.Upstream{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Assign(time.Now(), id, incarnation, need)
}

// unavailable returns the upstreams of a service to which this entry sends no requests now.
func (r *Router) unavailable(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Unavailable(time.Now(), service)
}
