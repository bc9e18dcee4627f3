package caller

import (
	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/relay"
)

const lostContact = "The router has lost contact with its control group."

// freshness rejects requests that require a key while the entry cannot know whether keys are still valid.
type freshness struct {
	control Control
}

// Serve implements Filter.
func (f *freshness) Serve(x *Exchange, next Handler) *relay.Error {
	if x.requiresKey() && !f.control.Fresh() {
		return notReadyError(lostContact)
	}
	return next(x)
}

// confirmation replaces the rejection of a request whose route, model or key is unknown, while they may have been added since.
type confirmation struct {
	control Control
}

// Serve implements Filter.
func (f *confirmation) Serve(x *Exchange, next Handler) *relay.Error {
	fresh := f.control.Fresh()
	e := next(x)
	if !fresh && e != nil && e.Result == relay.NotRun && (e.Status == fasthttp.StatusNotFound || e.Status == fasthttp.StatusUnauthorized) {
		return notReadyError(lostContact)
	}
	return e
}
