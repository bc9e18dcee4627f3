package caller

import (
	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/relay"
)

// headerLimits rejects requests that have too many headers or ambiguous framing. With ambiguous framing, another server
// may find the end of the request at a different byte (request smuggling). The HTTP server enforces the limits on
// sizes and times.
type headerLimits struct {
	maxHeaders int
}

// Serve implements Filter.
func (f *headerLimits) Serve(x *Exchange, next Handler) *relay.Error {
	if text := http1.AmbiguityReason(&x.HTTP.Request.Header); text != "" {
		x.HTTP.SetConnectionClose()
		return rejection(fasthttp.StatusBadRequest, "invalid_framing", "The request can be read in two ways: "+text+".")
	}
	n := 0
	for range x.HTTP.Request.Header.All() {
		n++
	}
	if n > f.maxHeaders {
		return rejection(fasthttp.StatusRequestHeaderFieldsTooLarge, "too_many_headers", "The request has too many headers.")
	}
	return next(x)
}
