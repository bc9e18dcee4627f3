package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"azuredoor.example/control/member"
	"azuredoor.example/control/state"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

// singleMemberGroup is a group of one member. Its proposals fail with proposeErr and its reads with readErr, if set.
type singleMemberGroup struct {
	Group
	machine             *state.Machine
	proposeErr, readErr error
}

func (g *singleMemberGroup) Propose(_ context.Context, command *fleetpb.Command) (*fleetpb.Result, error) {
	if g.proposeErr != nil {
		return nil, g.proposeErr
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	return g.machine.Apply(g.machine.Applied()+1, data), nil
}

func (g *singleMemberGroup) ReadIndex(context.Context) (uint64, error) { return 0, g.readErr }
func (g *singleMemberGroup) ConfigRevision(uint64) uint64              { return 0 }
func (g *singleMemberGroup) Status() member.Status {
	return member.Status{ID: 1, Leader: 1, Leading: true, Membership: &fleetpb.Membership{Members: []*fleetpb.Member{{Id: 1}}}}
}

func startServer(t *testing.T) (*singleMemberGroup, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tokens")
	if err := os.WriteFile(path, []byte("# operators\nana write write-token-0123456\n\nluis read read-token-01234567\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tokens, err := ReadTokens(path)
	if err != nil {
		t.Fatal(err)
	}
	group := &singleMemberGroup{machine: state.New()}
	server := New(Config{Group: group, State: group.machine, Revisions: group, Tokens: tokens, Events: event.Discard()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running errgroup.Group
	running.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		if err := running.Wait(); err != nil {
			t.Error(err)
		}
	})
	return group, "http://" + listener.Addr().String()
}

// TestResponses guards the status and the error code of each kind of response, on which operators' tools rely.
func TestResponses(t *testing.T) {
	group, base := startServer(t)
	const ana, luis = "write-token-0123456", "read-token-01234567"
	mill := `{"changes":[{"kind":"customer","name":"mill","expectVersion":0,"spec":{"weight":5}}]}`
	for _, test := range []struct {
		name, method, path, token, requestID, body string
		propose, read                              error
		status                                     int
		want                                       string
	}{
		{"no token", "GET", "/v1/objects", "", "", "", nil, nil, 401, `"unauthorized"`},
		{"wrong token", "GET", "/v1/objects", "write-token-0123457", "", "", nil, nil, 401, `"unauthorized"`},
		{"reader writes", "POST", "/v1/apply", luis, "r1", mill, nil, nil, 403, `"forbidden"`},
		{"no request ID", "POST", "/v1/apply", ana, "", mill, nil, nil, 400, `"Azuredoor-Request-Id"`},
		{"no leader", "POST", "/v1/apply", ana, "r1", mill, &member.NotLeaderError{}, nil, 503, `"notLeader"`},
		{"unknown outcome", "POST", "/v1/apply", ana, "r1", mill, member.ErrOutcomeUnknown, nil, 503, `"unavailable"`},
		{"created", "POST", "/v1/apply", ana, "r1", mill, nil, nil, 200, `{"changes":[{"kind":"customer","name":"mill","version":1}],"revision":1}`},
		{"resent with other white space", "POST", "/v1/apply", ana, "r1", strings.ReplaceAll(mill, ":5", ": 5"), nil, nil, 200, `"revision":1`},
		{"request ID reused for another change", "POST", "/v1/apply", ana, "r1", strings.ReplaceAll(mill, ":5", ":6"), nil, nil, 400, `"invalid"`},
		{"conflict", "POST", "/v1/apply", ana, "r2", mill, nil, nil, 409, `"current":[{"kind":"customer","name":"mill","version":1,"spec":{"weight":5}}]`},
		{"second JSON value", "POST", "/v1/apply", ana, "r3", strings.ReplaceAll(mill, ":0,", ":1,") + "{}", nil, nil, 400, `"invalid"`},
		{"wrong weight", "POST", "/v1/apply", ana, "r4", `{"changes":[{"kind":"customer","name":"shop","spec":{"weight":0}}]}`, nil, nil, 400, `"field":"customer/shop.weight"`},
		{"unknown field", "POST", "/v1/apply", ana, "r5", `{"change":[]}`, nil, nil, 400, `unknown field`},
		{"list", "GET", "/v1/objects?kind=customer", luis, "", "", nil, nil, 200, `"version":1`},
		{"list of a wrong kind", "GET", "/v1/objects?kind=customers", luis, "", "", nil, nil, 400, `"field":"kind"`},
		{"one object", "GET", "/v1/objects/customer/mill", luis, "", "", nil, nil, 200, `{"weight":5}`},
		{"missing object", "GET", "/v1/objects/customer/shop", luis, "", "", nil, nil, 404, `"notFound"`},
		{"unconfirmed read", "GET", "/v1/objects", luis, "", "", nil, context.DeadlineExceeded, 503, `"unavailable"`},
		{"history", "GET", "/v1/history?after=0&limit=5", luis, "", "", nil, nil, 200, `"operator":"ana"`},
		{"unknown upstream", "POST", "/v1/upstreams/a%2Fb/desired", ana, "r6", `{"desired":"stopped"}`, nil, nil, 404, `a/b`},
		{"invalid desired state", "POST", "/v1/upstreams/a/desired", ana, "r7", `{"desired":"paused"}`, nil, nil, 400, `"desired"`},
		{"status without a leader", "GET", "/v1/status", luis, "", "", nil, context.DeadlineExceeded, 200, `"confirmed":false`},
		{"no such path", "GET", "/v1/nothing", luis, "", "", nil, nil, 404, `"notFound"`},
		{"invalid member address", "POST", "/v1/members", ana, "", `{"name":"c","address":"host:1","adminAddress":"127.0.0.1:2"}`, nil, nil, 400, `"field":"address"`},
	} {
		group.proposeErr, group.readErr = test.propose, test.read
		request, err := http.NewRequest(test.method, base+test.path, strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		if test.token != "" {
			request.Header.Set("Authorization", "Bearer "+test.token)
		}
		if test.requestID != "" {
			request.Header.Set("Azuredoor-Request-Id", test.requestID)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		var text bytes.Buffer
		_, err = text.ReadFrom(response.Body)
		response.Body.Close()
		if err != nil || !json.Valid(text.Bytes()) || response.StatusCode != test.status || !strings.Contains(text.String(), test.want) {
			t.Errorf("%s: got %d %s %v, want %d with %s", test.name, response.StatusCode, text.String(), err, test.status, test.want)
		}
	}
}

// TestReadTokensRefusesBadLines guards against accepting part of an invalid token file.
func TestReadTokensRefusesBadLines(t *testing.T) {
	for _, text := range []string{"", "ana write short", "ana admin 0123456789abcdef", "ana 0123456789abcdef"} {
		path := filepath.Join(t.TempDir(), "tokens")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadTokens(path); err == nil || strings.Contains(err.Error(), "0123456789abcdef") {
			t.Errorf("%q: got %v, want an error without the token", text, err)
		}
	}
}
