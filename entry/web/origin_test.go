package web

import (
	"context"
	"errors"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/document"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
)

// fakeOrigins keeps origins as the control group does.
type fakeOrigins struct {
	mu      sync.Mutex
	origins map[string]control.Origin
	// findErr is the error for origins that are not known, confirmErr that of ConfirmView. confirming, if set, is called by ConfirmView.
	findErr, confirmErr error
	confirming          func()
}

func (f *fakeOrigins) RecordOrigin(_ context.Context, o control.Origin, stored func()) {
	f.mu.Lock()
	f.origins[o.Customer+"/"+o.RequestID] = o
	f.mu.Unlock()
	stored()
}

func (f *fakeOrigins) FindOrigin(_ context.Context, customer, request string) (control.Origin, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if origin, ok := f.origins[customer+"/"+request]; ok {
		return origin, nil
	}
	return control.Origin{}, f.findErr
}

func (f *fakeOrigins) ConfirmView(context.Context) error {
	if f.confirming != nil {
		f.confirming()
	}
	return f.confirmErr
}

// useVersions sets the software versions of the decode engines, in their order.
func (b *testRouter) useVersions(origins Origins, versions ...string) {
	for i, version := range versions {
		b.control.view.Upstreams["edecode"+strconv.Itoa(i)].SoftwareVersion = version
	}
	b.router.config.Origins = origins
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
			b.useVersions(&fakeOrigins{origins: map[string]control.Origin{}}, "v1", other)
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

// TestTakenUpStreamKeepsItsSoftwareVersion guards against a caller that gets the rest of its stream from another software version.
func TestTakenUpStreamKeepsItsSoftwareVersion(t *testing.T) {
	unreachable := errors.New("no member answers")
	for name, test := range map[string]struct {
		recorded, service   string
		versions            []string
		down                int
		findErr, confirmErr error
		continues           string
		want                string
	}{
		"recorded at the old one":         {recorded: "v1", versions: []string{"v2", "v1"}, want: "v1"},
		"recorded at the new one":         {recorded: "v2", versions: []string{"v2", "v1"}, want: "v2"},
		"its version has left":            {recorded: "v1", versions: []string{"v2", "v2"}},
		"its service left the route":      {recorded: "v1", service: "s", versions: []string{"v1", "v1"}},
		"not recorded, one version":       {versions: []string{"v1", "v1"}, findErr: control.ErrNoOrigin, want: "v1"},
		"not recorded, two versions":      {versions: []string{"v1", "v2"}, findErr: control.ErrNoOrigin},
		"not recorded, one has left":      {versions: []string{"v2", "v1"}, down: 2, findErr: control.ErrNoOrigin},
		"members silent, two versions":    {versions: []string{"v1", "v2"}, findErr: unreachable},
		"members silent, one version":     {versions: []string{"v1", "v1"}, findErr: unreachable, want: "v1"},
		"not recorded, view not current":  {versions: []string{"v1", "v1"}, findErr: control.ErrNoOrigin, confirmErr: unreachable},
		"no attempt named, one version":   {recorded: "v2", versions: []string{"v1", "v1"}, continues: "-", want: "v1"},
		"no attempt named, two versions":  {recorded: "v1", versions: []string{"v1", "v2"}, continues: "-"},
		"attempt of another caller named": {recorded: "v1", versions: []string{"v1", "v2"}, continues: "other", findErr: control.ErrNoOrigin},
	} {
		t.Run(name, func(t *testing.T) {
			engines := []*upstream{startUpstream(t, streamScript(false)), startUpstream(t, streamScript(false))}
			b := newTestRouter(t, nil, nil, engines)
			origins := &fakeOrigins{origins: map[string]control.Origin{}, findErr: test.findErr, confirmErr: test.confirmErr}
			if test.recorded != "" {
				origins.origins["c/first"] = control.Origin{Service: firstNonEmpty(test.service, "e"), SoftwareVersion: test.recorded}
			}
			if test.down > 0 {
				b.control.view.Upstreams["edecode"+strconv.Itoa(test.down-1)].State = fleetpb.UpstreamState_UPSTREAM_STATE_DOWN
			}
			b.useVersions(origins, test.versions...)
			header := map[string]string{"Tokens": "100", "After": "3", "Continues": strings.Trim(firstNonEmpty(test.continues, "first"), "-")}
			for range 3 {
				got := b.send(t, "POST", "/stream/x", header)
				if served := got.status == 200; served != (test.want != "") || !served && (got.status != 503 || got.header.Get("Retry-After") == "") {
					t.Errorf("got status %d, want served: %v, or else 503 with Retry-After", got.status, test.want != "")
				}
			}
			for i, u := range engines {
				if version := test.versions[i]; len(u.requests()) > 0 && version != test.want {
					t.Errorf("got %d requests at version %s, want only version %q", len(u.requests()), version, test.want)
				}
			}
		})
	}
}

// TestTakenUpStreamAtLateView guards against a stream that is continued by another software version, because the entry's view does not
// have the version at which the stream began yet.
func TestTakenUpStreamAtLateView(t *testing.T) {
	for name, findErr := range map[string]error{"not recorded": control.ErrNoOrigin, "members silent": errors.New("no member answers")} {
		t.Run(name, func(t *testing.T) {
			engines := []*upstream{startUpstream(t, streamScript(false)), startUpstream(t, streamScript(false))}
			b := newTestRouter(t, nil, nil, engines[:1])
			origins := &fakeOrigins{origins: map[string]control.Origin{}, findErr: findErr}
			b.useVersions(origins, "v1")
			origins.confirming = func() {
				newest := *b.control.view
				newest.Upstreams = maps.Clone(newest.Upstreams)
				newest.Upstreams["edecode1"] = &fleetpb.Upstream{
					Id: "edecode1", Address: engines[1].address, Pool: "e", Role: "decode", Incarnation: 1, Slots: 8,
					State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE, SoftwareVersion: "v2",
				}
				b.control.changed.Store(&newest)
			}
			got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100", "After": "3", "Continues": "first"})
			if got.status != 503 || got.header.Get("Retry-After") == "" {
				t.Errorf("got status %d, Retry-After %q, want 503 with Retry-After", got.status, got.header.Get("Retry-After"))
			}
			if n := len(engines[0].requests()) + len(engines[1].requests()); n != 0 {
				t.Errorf("got %d requests at engines, want none", n)
			}
		})
	}
}

// TestOriginIsRecordedBeforeTheFirstEvent guards against a stream whose caller has an event, but whose origin nobody knows.
func TestOriginIsRecordedBeforeTheFirstEvent(t *testing.T) {
	engines := []*upstream{startUpstream(t, streamScript(false)), startUpstream(t, streamScript(false))}
	b := newTestRouter(t, nil, nil, engines)
	origins := &slowOrigins{fakeOrigins: fakeOrigins{origins: map[string]control.Origin{}}, delay: originStoreWait / 2}
	b.useVersions(origins, "v1", "v2")
	began := time.Now()
	if got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100"}); got.status != 200 || got.truncated {
		t.Fatalf("got status %d, truncated %v, want a whole stream", got.status, got.truncated)
	}
	if took := time.Since(began); took < origins.delay {
		t.Errorf("got the first event after %v at most, want it after the origin was stored (%v)", took, origins.delay)
	}
	want := "v1"
	if len(engines[1].requests()) > 0 {
		want = "v2"
	}
	if got := origins.origins["c/request-1"]; got.Service != "e" || got.SoftwareVersion != want {
		t.Errorf("got origin %+v, want %q of e", got, want)
	}
}

// slowOrigins takes some time to store an origin.
type slowOrigins struct {
	fakeOrigins
	delay time.Duration
}

func (s *slowOrigins) RecordOrigin(ctx context.Context, o control.Origin, stored func()) {
	time.Sleep(s.delay)
	s.fakeOrigins.RecordOrigin(ctx, o, stored)
}

// TestTakenUpStreamKeepsItsService guards against a stream that is continued by another service of its route, whose software may have
// the same version.
func TestTakenUpStreamKeepsItsService(t *testing.T) {
	first, second := startUpstream(t, streamScript(false)), startUpstream(t, streamScript(false))
	b := newTestRouter(t, []*upstream{second}, nil, []*upstream{first})
	for _, route := range b.control.view.Document.Routes {
		if route.Name == "stream" {
			route.Targets = []document.Target{{Service: "e", Weight: 1}, {Service: "s", Weight: 9}}
		}
	}
	origins := &fakeOrigins{origins: map[string]control.Origin{"c/first": {Service: "e"}}, findErr: control.ErrNoOrigin}
	b.useVersions(origins, "")
	for i, continues := range []string{"first", "first", "first", "first", "first", "first", "unknown", "unknown"} {
		want := 200
		if continues == "unknown" {
			want = 503
		}
		if got := b.send(t, "POST", "/stream/x", map[string]string{"Tokens": "100", "After": "3", "Continues": continues}); got.status != want {
			t.Errorf("stream %d: got status %d, want %d", i, got.status, want)
		}
	}
	if got := len(second.requests()); got != 0 {
		t.Errorf("got %d requests at the other service, want none", got)
	}
}
