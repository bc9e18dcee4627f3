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
	// originCallTimeout bounds the storing of an origin, which goes on after its first event.
	originCallTimeout = time.Second
	// confirmTimeout bounds the wait for the newest view.
	confirmTimeout = 400 * time.Millisecond
)

// recordOrigin stores at which software version the stream begins, and lets it go on at no other one.
func (q *request) recordOrigin(u place.Upstream) {
	q.need.SoftwareVersion, q.need.SameSoftware = u.SoftwareVersion, true
	origins := q.router.config.Origins
	if origins == nil || q.call.LastEvent != "" || q.call.ID == "" || !q.idempotent() {
		return
	}
	o := control.Origin{RequestID: q.call.ID, SoftwareVersion: u.SoftwareVersion, Keep: originKeepFactor * q.route.Timeout}
	if q.customer != nil {
		o.Customer = q.customer.Name
	}
	stored := make(chan struct{})
	q.router.config.Background.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), originCallTimeout)
		defer cancel()
		origins.RecordOrigin(ctx, o, func() { close(stored) })
		return nil
	})
	if len(q.router.config.Control.View().SoftwareVersions(q.service)) < 2 {
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

// originKeepFactor is how long a stream may be taken up again, as a factor of its route's timeout.
const originKeepFactor = 2

// findOrigin sets the software version at which a stream that the caller takes up again may go on. It refuses the request if
// that is not certain, because upstreams do not notice that they continue the stream of another version.
func (q *request) findOrigin() *refusal {
	origins := q.router.config.Origins
	if origins == nil || q.call.LastEvent == "" {
		return nil
	}
	customer := ""
	if q.customer != nil {
		customer = q.customer.Name
	}
	err := control.ErrNoOrigin
	if q.call.Continues != "" {
		var version string
		if version, err = origins.FindOrigin(q.ctx, customer, q.call.Continues); err == nil {
			q.need.SoftwareVersion, q.need.SameSoftware = version, true
			return nil
		}
	}
	if version, ok := q.onlyVersion(); ok {
		q.need.SoftwareVersion, q.need.SameSoftware = version, true
		return nil
	}
	retryAfter := busyRetryAfter
	if errors.Is(err, control.ErrNoOrigin) && len(q.softwareVersions()) > 1 {
		retryAfter = q.latestRetry()
	}
	return &refusal{fasthttp.StatusServiceUnavailable, "it is not known at which software version the stream began", retryAfter}
}

// onlyVersion returns the only software version that upstreams of the service have or had, and whether the newest view confirms it.
func (q *request) onlyVersion() (string, bool) {
	if len(q.softwareVersions()) != 1 {
		return "", false
	}
	ctx, cancel := context.WithTimeout(q.ctx, confirmTimeout)
	defer cancel()
	if err := q.router.config.Origins.ConfirmView(ctx); err != nil {
		return "", false
	}
	versions := q.softwareVersions()
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

func (q *request) softwareVersions() []string {
	return q.router.config.Control.View().SoftwareVersions(q.service)
}
