package caller

import (
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/config"
	"azuredoor.example/entry/control"
	"azuredoor.example/entry/relay"
)

// Kind is the kind of a caller's request.
type Kind int

// Kinds of requests: OpenAI's three calls, and requests to plain HTTP services.
const (
	KindChat Kind = iota
	KindCompletion
	KindModels
	KindService
)

// Exchange is the state of one request. The filters fill it in on the way to the last handler.
type Exchange struct {
	HTTP    *fasthttp.RequestCtx
	Arrived time.Time
	// ID is the request ID: "<session ID>-<number>".
	ID string
	// View is the state of the control group that all filters of the request use. View is nil until pathRouter
	// sets it.
	View *control.View
	Kind Kind

	// Key is the API key that the caller sent, or empty. The slice is valid only while the handler runs.
	Key []byte
	// KeyHash and Customer are empty for callers without a valid key and on open routes.
	KeyHash, Customer string

	RouteName   string
	Route       *config.Route
	ProfileName string
	Profile     *config.Profile
	// Body is set for chat and plain completion requests.
	Body *CompletionRequest
	// Claim is set for non-idempotent requests that have an idempotency key.
	Claim *relay.Claim

	// onAdmitted is called when an upstream is assigned to the request.
	onAdmitted func()
}

// requiresKey reports whether the request needs a valid key and runs for that key's customer.
func (x *Exchange) requiresKey() bool { return x.Route == nil || !x.Route.Open }

// Handler responds to a request, or returns an error that the server writes as the response.
type Handler func(x *Exchange) *relay.Error

// Filter is a middleware step. Serve calls next or returns an error.
type Filter interface {
	Serve(x *Exchange, next Handler) *relay.Error
}

// Chain returns a handler that runs the filters in order and then last.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		filter, next := filters[i], last
		last = func(x *Exchange) *relay.Error { return filter.Serve(x, next) }
	}
	return last
}
