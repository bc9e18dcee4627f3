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
	// reserveTimeout bounds the call that reserves room, which an engine answers at once; as long as a connection may take.
	reserveTimeout = 150 * time.Millisecond
	// reservedOutput is the part of the expected output that must be free when the request is placed. Answers that run on
	// the engine end and free their room while this one grows.
	reservedOutput = 0.6
	// maxReserves bounds the engines that one request asks for room.
	maxReserves = 6
	// maxGoOnReserves is the same for a stream that goes on at another engine.
	maxGoOnReserves = 30
	// maxReservationBytes bounds the answer to a reservation.
	maxReservationBytes = 4 << 10
)

var errNoRoom = errors.New("the engine keeps no room")

// reserve asks an engine to keep room for the request, so that no prompt is read for an engine that has none, and no
// running answer is stopped for want of memory. All entries ask the engine itself: what they tell each other is too old
// for that when many of them place requests at once. Engines that keep no room get an empty ID.
func (q *request) reserve(u place.Upstream) (id string, outcome place.Outcome, err error) {
	service := q.document.Services[u.Service]
	engine, connections := service.Engine, q.router.connections(service)
	if engine == nil || engine.Reservation <= 0 {
		err := q.router.config.Pool.Ensure(q.ctx, u.Address, connections)
		return "", q.reserveOutcome(err), err
	}
	out, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(response)
	q.router.config.Codec.Reserve(out, q.roomNeeded(), engine.Reservation)
	out.Header.SetHost(u.Address)
	call := conn.Call{
		Address: u.Address, Request: out, Reuse: true, FirstByte: reserveTimeout, Silence: reserveTimeout, MaxBody: maxReservationBytes,
		Limit: connections,
	}
	if err := q.router.config.Pool.Do(q.ctx, call, response); err != nil {
		return "", q.reserveOutcome(err), err
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		id, err := q.router.config.Codec.ReadReservation(response.Body())
		if err != nil {
			return "", place.Broken, err
		}
		return id, place.Served, nil
	case fasthttp.StatusServiceUnavailable:
		return "", place.Full, errNoRoom
	case fasthttp.StatusMisdirectedRequest:
		return "", place.Replaced, errNoRoom
	}
	return "", place.Refused, errNoRoom
}

// roomNeeded is what the engine must have free for the request, in tokens.
func (q *request) roomNeeded() int {
	return max(1, q.call.PromptTokens+int(reservedOutput*float64(q.expected)))
}

// reserveOutcome judges a call that failed before the request itself was sent.
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

// giveBack frees room that was reserved and is not used.
func (q *request) giveBack(address, id string) {
	if id != "" {
		q.router.tell(address, event.RoomNotFreed, func(out *fasthttp.Request) { q.router.config.Codec.Release(out, id) })
	}
}

// tell makes a call to an engine beside the request. What the call would free ends by itself if it fails.
func (r *Router) tell(address string, failed event.ID, write func(out *fasthttp.Request)) {
	r.config.Background.Go(func() error {
		out, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(out)
		defer fasthttp.ReleaseResponse(response)
		write(out)
		out.Header.SetHost(address)
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := r.config.Pool.Do(ctx, conn.Call{Address: address, Request: out, Reuse: true}, response); err != nil {
			r.config.Events.Write(failed, func(e *log.Entry) { e.Str("address", address).Err(err) })
		}
		return nil
	})
}
