package web

import (
	"net"
	"strconv"
	"testing"

	"github.com/valyala/fasthttp"
)

// useVersions sets the software versions of the decode engines, in their order.
func (b *testRouter) useVersions(versions ...string) {
	for i, version := range versions {
		b.control.view.Upstreams["edecode"+strconv.Itoa(i)].SoftwareVersion = version
	}
	b.router.OnChange(b.control.view)
}

// streamScript serves events 1 to 6, and breaks off after event 3 if breaks is set.
func streamScript(breaks bool) func(c net.Conn, r *fasthttp.Request, n int) bool {
	return func(c net.Conn, r *fasthttp.Request, _ int) bool {
		after, _ := strconv.Atoi(string(r.Header.Peek("After")))
		if breaks && after == 0 {
			return writeEvents(c, r, 1, 3, false)
		}
		return writeEvents(c, r, after+1, 6, true)
	}
}

// TestBrokenStreamKeepsItsSoftwareVersion guards against one response with events of two software versions.
func TestBrokenStreamKeepsItsSoftwareVersion(t *testing.T) {
	for other, continued := range map[string]bool{"v1": true, "v2": false} {
		t.Run("the other engine has "+other, func(t *testing.T) {
			script := streamScript(true)
			first := startUpstream(t, func(c net.Conn, r *fasthttp.Request, n int) bool {
				// It takes up no stream again.
				return len(r.Header.Peek("After")) == 0 && script(c, r, n)
			})
			second := startUpstream(t, streamScript(false))
			b := newTestRouter(t, nil, nil, []*upstream{first, second})
			b.useVersions("v1", other)
			for i := range 10 {
				begun, taken := len(first.requests()), len(second.requests())
				got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"})
				if len(first.requests()) == begun {
					// The stream began at the second engine.
					continue
				}
				if whole := !got.truncated && got.body == wantEvents(6); whole != continued {
					t.Errorf("stream %d: got %q, want it whole: %v", i, got.body, continued)
				}
				if reached := len(second.requests()) > taken; reached != continued {
					t.Errorf("stream %d: reached the second engine: got %v, want %v", i, reached, continued)
				}
				return
			}
			t.Error("got no stream that began at the first engine")
		})
	}
}
