package web

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/control"
	"azuredoor.example/entry/place"
)

const (
	// originStoreWait bounds how long the first event of a stream waits until its origin is stored outside this process, if the
	// service has several software versions.
	originStoreWait = 100 * time.Millisecond
	// originCallTimeout bounds the storing of an origin, also after the first event was sent.
	originCallTimeout = time.Second
	// confirmTimeout bounds the wait for the newest view.
	confirmTimeout = 400 * time.Millisecond
)

// originKeepFactor is how long a stream may be taken up again, as a factor of its route's timeout.
const originKeepFactor = 2

// recordOrigin stores where the stream begins, and lets it go on at no other software version.
func (q *request) recordOrigin(u place.Upstream) {
	q.need.SoftwareVersion, q.need.SameSoftware = u.SoftwareVersion, true
	origins := q.router.config.Origins
	if origins == nil || q.call.LastEvent != "" || q.call.ID == "" || !q.idempotent() {
		return
	}
	o := control.Origin{
		Customer: q.customerName(), RequestID: q.call.ID, Service: q.service, SoftwareVersion: u.SoftwareVersion, Keep: originKeepFactor * q.route.Timeout,
	}
	stored := make(chan struct{})
	q.router.config.Background.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), originCallTimeout)
		defer cancel()
		origins.RecordOrigin(ctx, o, func() { close(stored) })
		return nil
	})
	if _, only := q.onlyOrigin(); only {
		return
	}
	timer := time.NewTimer(originStoreWait)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.C:
	case <-q.ctx.Done():
	}
}

// findOrigin sets the service and the software version at which a stream that the caller takes up again may go on. It refuses the
// request if that is not certain, because upstreams do not notice that they continue what another one began.
func (q *request) findOrigin() *refusal {
	origins := q.router.config.Origins
	if origins == nil || q.call.LastEvent == "" || !q.route.Stream {
		return nil
	}
	origin, err := control.Origin{}, control.ErrNoOrigin
	if q.call.Continues != "" {
		origin, err = origins.FindOrigin(q.ctx, q.customerName(), q.call.Continues)
	}
	_, only := q.onlyOrigin()
	if err != nil && only {
		origin, err = q.confirmOnlyOrigin()
	}
	switch {
	case err == nil && q.route.Allows(origin.Service):
		q.service, q.need.SoftwareVersion, q.need.SameSoftware = origin.Service, origin.SoftwareVersion, true
		return nil
	case err == nil:
		return &refusal{fasthttp.StatusServiceUnavailable, "the service at which the stream began is no longer one of its route", q.latestRetry()}
	case errors.Is(err, control.ErrNoOrigin):
		return &refusal{fasthttp.StatusServiceUnavailable, unknownOrigin, q.latestRetry()}
	}
	return &refusal{fasthttp.StatusServiceUnavailable, unknownOrigin, busyRetryAfter}
}

const unknownOrigin = "it is not known at which software version the stream began"

// onlyOrigin returns where all streams of the route begin, and false if there are several possibilities: services, or software versions
// that upstreams of the service have or had.
func (q *request) onlyOrigin() (control.Origin, bool) {
	versions := q.router.config.Control.View().SoftwareVersions(q.service)
	if len(versions) != 1 {
		return control.Origin{}, false
	}
	for _, t := range q.route.Targets {
		if t.Weight > 0 && t.Service != q.service {
			return control.Origin{}, false
		}
	}
	return control.Origin{Service: q.service, SoftwareVersion: versions[0]}, true
}

// confirmOnlyOrigin returns the only origin of the route's streams if it still is that by the newest view. It returns
// control.ErrNoOrigin if it is not, and another error if the view could not be confirmed.
func (q *request) confirmOnlyOrigin() (control.Origin, error) {
	ctx, cancel := context.WithTimeout(q.ctx, confirmTimeout)
	defer cancel()
	if err := q.router.config.Origins.ConfirmView(ctx); err != nil {
		return control.Origin{}, err
	}
	if origin, only := q.onlyOrigin(); only {
		return origin, nil
	}
	return control.Origin{}, control.ErrNoOrigin
}

// customerName returns the name of the customer, empty on open routes.
func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}
