package caller

import (
	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/http1"
	"azuredoor.example/entry/relay"
)

// limits refuses requests with too many headers, or whose end another server might see elsewhere. The server enforces the
// limits on sizes and times.
type limits struct {
	headers int
}

// Serve implements Filter.
func (f *limits) Serve(x *Exchange, next Handler) *relay.Error {
	if text := http1.AmbiguityReason(&x.HTTP.Request.Header); text != "" {
		x.HTTP.SetConnectionClose()
		return invalid(fasthttp.StatusBadRequest, "invalid_framing", "The request can be read in two ways: "+text+".")
	}
	n := 0
	for range x.HTTP.Request.Header.All() {
		n++
	}
	if n > f.headers {
		return invalid(fasthttp.StatusRequestHeaderFieldsTooLarge, "too_many_headers", "The request has too many headers.")
	}
	return next(x)
}
