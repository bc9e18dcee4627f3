package conn

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// RequestIDHeader carries the ID of a request of azuredoor's own protocols. Upstreams may repeat it in the response.
const RequestIDHeader = "Azuredoor-Request-Id"

// SetID sets the ID of the call, also in its request. A response with another ID is skipped, or is an error on a new
// connection, where it can't be a second copy of the response to an earlier call. After a response without an ID, keep decides
// by its status whether the connection may have other calls, which could get a second copy of that response.
func (c *Call) SetID(id string, keep func(status int) bool) {
	// A header field keeps no spaces around its value.
	id = strings.TrimSpace(id)
	c.ID, c.matchFirst = id, true
	c.Request.Header.Set(RequestIDHeader, id)
	c.Match = func(r *fasthttp.Response, _ bool) bool {
		if got := r.Header.Peek(RequestIDHeader); len(got) > 0 {
			return string(got) == id
		}
		if !keep(r.StatusCode()) {
			r.SetConnectionClose()
		}
		return true
	}
}
