package web

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"azuredoor.example/core/event"
	"azuredoor.example/entry/conn"
	"azuredoor.example/entry/place"
)

const (
	// reserveTimeout bounds the call that reserves memory. An engine responds at once, so the timeout is as long as
	// establishing a connection may take.
	reserveTimeout = 150 * time.Millisecond
	// maxReserveDuration bounds the whole call: connecting, the first byte of the response, and its rest.
	maxReserveDuration = 3 * reserveTimeout
	// reservedOutputShare is the share of the expected output for which an engine must have free memory if no coordinator
	// placed the generation. Engines keep a reservation for some time after the generation has begun and preempt others in
	// that time, so that a generation whose growth the coordinator has forecast reserves only its prompt.
	reservedOutputShare = 0.6
	// maxReserves bounds the reservation calls of one request.
	maxReserves = 6
	// maxResumeReserves bounds the reservation calls of a stream that resumes on another engine.
	maxResumeReserves = 30
	// maxCallBytes bounds the response to a call of this entry's own, such as a reservation or its release.
	maxCallBytes = 4 << 10
)

var errReservationDeclined = errors.New("engine declined the memory reservation")

// reserve reserves KV-cache memory for the request on an engine, so that no prompt is processed for an engine without
// free memory and no running generation is preempted for lack of memory. Every entry calls the engine itself, because
// the loads that entries exchange are too old when many of them place requests at once. For a service without
// reservations, reserve only ensures that a connection exists and returns an empty ID.
func (q *request) reserve(p placement) (id string, outcome place.Outcome, err error) {
	u := p.decode
	service := q.document.Services[u.Service]
	engine, connections := service.Engine, q.router.connections(service)
	if engine == nil || engine.Reservation <= 0 {
		err := q.router.config.Pool.EnsureConnection(q.ctx, u.Address, connections)
		return "", q.reserveOutcome(err), err
	}
	out, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(response)
	q.router.config.Codec.Reserve(out, q.tokensToReserve(p.coordinated), engine.Reservation)
	out.Header.SetHost(u.Address)
	call := conn.Call{
		Address: u.Address, Request: out, Reuse: true, FirstByteTimeout: reserveTimeout, ReadTimeout: reserveTimeout, MaxBody: maxCallBytes,
		Limit: connections,
		Match: func(r *fasthttp.Response, reused bool) bool { return q.router.ownsReservation(u.Address, r, reused) },
	}
	ctx, cancel := context.WithTimeout(q.ctx, maxReserveDuration)
	defer cancel()
	if err := q.router.config.Pool.Do(ctx, call, response); err != nil {
		return "", q.reserveOutcome(err), err
	}
	q.router.observeNotice(u, response.StatusCode(), q.router.config.Codec.ReadResponse(&response.Header), "")
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		id, err := q.router.config.Codec.ReadReservation(response.Body())
		if err != nil {
			return "", place.Broken, err
		}
		return id, place.Served, nil
	case fasthttp.StatusServiceUnavailable:
		return "", place.Full, errReservationDeclined
	case fasthttp.StatusMisdirectedRequest:
		return "", place.Replaced, errReservationDeclined
	}
	return "", place.Refused, errReservationDeclined
}

// tokensToReserve returns how much memory the engine must have free for the request, in tokens.
func (q *request) tokensToReserve(coordinated bool) int {
	if coordinated {
		return max(1, q.call.PromptTokens)
	}
	return max(1, q.call.PromptTokens+int(reservedOutputShare*float64(q.expectedOutput)))
}

// reserveOutcome returns the outcome of a call that is made before the request itself is sent.
func (q *request) reserveOutcome(err error) place.Outcome {
	switch {
	case err == nil:
		return place.Served
	case q.ctx.Err() != nil || errors.Is(err, conn.ErrLimit):
		return place.Cancelled
	case conn.Sent(err):
		return place.Broken
	}
	return place.Unreachable
}

// releaseReservation releases an unused reservation in the background. An empty ID is ignored.
func (q *request) releaseReservation(address, id string) {
	if id != "" {
		q.router.callInBackground(address, event.ReservationNotReleased, func(out *fasthttp.Request) { q.router.config.Codec.Release(out, id) })
	}
}

// callInBackground makes a call to an engine that frees a resource there. A failed call is only logged, because the
// resource expires by itself.
func (r *Router) callInBackground(address string, failed event.ID, write func(out *fasthttp.Request)) {
	r.config.Background.Go(func() error {
		out, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(out)
		defer fasthttp.ReleaseResponse(response)
		write(out)
		out.Header.SetHost(address)
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := r.config.Pool.Do(ctx, conn.Call{Address: address, Request: out, Reuse: true, MaxBody: maxCallBytes}, response); err != nil {
			r.config.Events.Write(failed, func(e *log.Entry) { e.Str("address", address).Err(err) })
		}
		return nil
	})
}
