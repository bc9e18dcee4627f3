package announce

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
)

type fakeFleet struct {
	view      *control.View
	heard     []string
	announced []*fleetpb.Upstream
	code      fleetpb.ResultCode
}

func (f *fakeFleet) View() *control.View                 { return f.view }
func (f *fakeFleet) RecordHeartbeat(id string, _ uint64) { f.heard = append(f.heard, id) }
func (f *fakeFleet) Announce(_ context.Context, u *fleetpb.Upstream) (*fleetpb.AnnounceUpstreamResponse, error) {
	f.announced = append(f.announced, u)
	return &fleetpb.AnnounceUpstreamResponse{Code: f.code}, nil
}

func valid() Announcement {
	return Announcement{
		ID: "e1", Incarnation: 7, Sequence: 1, Address: "127.0.0.1:9000", Kind: "engine", Role: "decode", Pool: "p",
		Models: []string{"m"}, Slots: 20, State: "ready",
	}
}

func post(t *testing.T, fleet *fakeFleet, token string, a Announcement) int {
	t.Helper()
	body, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod("POST")
	ctx.Request.Header.Set("Authorization", "Bearer "+token)
	ctx.Request.SetBody(body)
	handler := New(Config{JoinToken: "join-token-of-the-test", Fleet: fleet, Events: event.Discard(), Base: context.Background()})
	handler.Handle(&ctx)
	return ctx.Response.StatusCode()
}

// TestHandleSortsAnnouncements guards against announcements from strangers, against a log entry for each
// heartbeat, and against a lost change.
func TestHandleSortsAnnouncements(t *testing.T) {
	known := valid()
	leaving := valid()
	leaving.State = "leaving"
	restarted := valid()
	restarted.Incarnation = 8
	tests := []struct {
		name                string
		token               string
		announcement        Announcement
		code                fleetpb.ResultCode
		wantStatus          int
		wantHeard, wantSent int
	}{
		{"wrong token", "wrong", known, 0, 401, 0, 0},
		{"heartbeat", "join-token-of-the-test", known, 0, 200, 1, 0},
		{"leaving", "join-token-of-the-test", leaving, 0, 200, 0, 1},
		{"restarted", "join-token-of-the-test", restarted, 0, 200, 0, 1},
		{"stale", "join-token-of-the-test", leaving, fleetpb.ResultCode_RESULT_CODE_STALE, 409, 0, 1},
	}
	for _, test := range tests {
		fleet := &fakeFleet{view: &control.View{Upstreams: map[string]*fleetpb.Upstream{"e1": known.upstream()}}, code: test.code}
		if got := post(t, fleet, test.token, test.announcement); got != test.wantStatus {
			t.Errorf("%s: got status %d, want %d", test.name, got, test.wantStatus)
		}
		if len(fleet.heard) != test.wantHeard || len(fleet.announced) != test.wantSent {
			t.Errorf("%s: got %d heard and %d sent, want %d and %d", test.name, len(fleet.heard), len(fleet.announced), test.wantHeard, test.wantSent)
		}
	}
}

// TestDecodeNamesTheField guards against an upstream that is routed to with a missing or absurd field.
func TestDecodeNamesTheField(t *testing.T) {
	tests := []struct{ from, to, want string }{
		{`"id":"e1"`, `"id":""`, "id"},
		{`"incarnation":7`, `"incarnation":0`, "incarnation"},
		{`127.0.0.1:9000`, `engine:9000`, "address"},
		{`"role":"decode"`, `"role":"other"`, "role"},
		{`"kind":"engine"`, `"kind":"service"`, "role"},
		{`"slots":20`, `"slots":0`, "slots"},
		{`"state":"ready"`, `"state":"up"`, "state"},
		{`"pool":"p"`, `"pool":""`, "pool"},
	}
	body, err := json.Marshal(valid())
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		changed := strings.Replace(string(body), test.from, test.to, 1)
		if _, err := Decode([]byte(changed)); err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("Decode with %s got error %v, want one that names %s", test.to, err, test.want)
		}
	}
}

// FuzzDecode guards against a panic on bytes from outside and against accepting an unusable address.
func FuzzDecode(f *testing.F) {
	body, err := json.Marshal(valid())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte(`{"id":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode(data)
		if err == nil && (a.ID == "" || a.Slots == 0) {
			t.Errorf("accepted %+v", a)
		}
	})
}
