package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testToken = "operator-token-0123456789"

// stubMember is a control member that records each request and returns the next of responses; the last response is
// repeated.
type stubMember struct {
	*httptest.Server
	responses []cannedResponse
	requests  []request
}

type cannedResponse struct {
	status int
	body   string
	// disconnect closes the connection without a response.
	disconnect bool
}

type request struct{ method, path, id, token, body string }

func newStubMember(t *testing.T, responses ...cannedResponse) *stubMember {
	s := &stubMember{responses: responses}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.requests = append(s.requests, request{r.Method, r.URL.RequestURI(), r.Header.Get("Azuredoor-Request-Id"), r.Header.Get("Authorization"), string(body)})
		next := s.responses[min(len(s.requests), len(s.responses))-1]
		if next.disconnect {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(next.status)
		_, _ = io.WriteString(w, next.body)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *stubMember) address() string { return s.Listener.Addr().String() }

func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// runCommand runs a command and returns the exit code, standard output and standard error.
func runCommand(t *testing.T, members string, args ...string) (code int, out, errOut string) {
	t.Helper()
	return runCommandIn(t.Context(), t, "1m", members, args...)
}

func runCommandIn(ctx context.Context, t *testing.T, timeout, members string, args ...string) (code int, out, errOut string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte(testToken), 0o600); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	code = Main(ctx, append(args, "-members", members, "-token-file", file, "-timeout", timeout), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// TestExitCodes guards against exit codes that show a script success or another failure in place of the failure that
// occurred, and against errors without advice.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		name     string
		response cannedResponse
		args     []string
		code     int
		want     string
	}{
		{"read", cannedResponse{200, `{"revision":7,"objects":[{"kind":"pool","name":"e","version":2,"spec":{"kind":"service"},"new":1}]}`, false}, []string{"get", "pool"}, 0, `pool  e     2        {"kind":"service"}`},
		{"upstream", cannedResponse{200, `{}`, false}, []string{"upstream", "drain", "e1"}, 0, "draining"},
		{"large ID", cannedResponse{200, `{"members":[{"id":18446744073709551615,"name":"c1"}]}`, false}, []string{"member", "list"}, 0, "18446744073709551615"},
		{"conflict", cannedResponse{409, `{"error":{"code":"conflict","message":"pool e has version 3","current":[{"kind":"pool","name":"e","version":3,"spec":{}}]}}`, false}, []string{"delete", "pool", "e"}, 3, "now: pool e version 3"},
		{"last members", cannedResponse{409, `{"error":{"code":"majority","message":"a majority would be lost"}}`, false}, []string{"member", "remove", "1f"}, 3, "member list"},
		{"history", cannedResponse{200, `{"records":[{"revision":4,"operator":"ana","changes":[{"kind":"pool","name":"e"},{"kind":"key","name":"k","delete":true}]}]}`, false}, []string{"history"}, 0, "ana       put pool/e, delete key/k"},
		{"not found", cannedResponse{404, `{"error":{"code":"notFound","message":"no key k"}}`, false}, []string{"key", "withdraw", "k"}, 4, "no key k"},
		{"invalid", cannedResponse{400, `{"error":{"code":"invalid","message":"unknown","field":"key/k.customer"}}`, false}, []string{"key", "create", "-customer", "c"}, 1, "key/k.customer: unknown"},
		{"token", cannedResponse{401, `{"error":{"code":"unauthorized","message":"wrong token"}}`, false}, []string{"status"}, 1, "-token-file"},
		{"unknown outcome", cannedResponse{503, `{"error":{"code":"timeout","message":"no majority"}}`, false}, []string{"delete", "pool", "e"}, 5, "outcome is unknown"},
		{"no change made", cannedResponse{503, `{"error":{"code":"notLeader","message":"no leader"}}`, false}, []string{"delete", "pool", "e"}, 5, "No change was made"},
		{"no memory for the call", cannedResponse{503, `{"error":{"code":"busy","message":"too much is being received"}}`, false}, []string{"delete", "pool", "e"}, 5, "No change was made"},
		{"lost response", cannedResponse{disconnect: true}, []string{"delete", "pool", "e"}, 5, "outcome is unknown"},
		{"no command", cannedResponse{}, nil, 2, "command is missing"},
		{"wrong command", cannedResponse{}, []string{"upstream", "kick", "e1"}, 2, "unknown command"},
		{"wrong flag", cannedResponse{}, []string{"delete", "pool", "e", "-json"}, 2, "does not take -json"},
		{"missing argument", cannedResponse{}, []string{"delete", "pool"}, 2, "delete kind name"},
		{"unknown flag", cannedResponse{}, []string{"get", "-colour"}, 2, "colour"},
	}
	for _, test := range tests {
		s := newStubMember(t, test.response)
		ctx, cancel := context.WithCancel(t.Context())
		if test.code == exitUnavailable {
			// Without an end of its context, the command would repeat the request until its timeout.
			ctx = httptrace.WithClientTrace(ctx, cancelAfterAttempt(test.response, cancel))
		}
		code, out, errOut := runCommandIn(ctx, t, "1m", s.address(), test.args...)
		cancel()
		if code != test.code || !strings.Contains(out+errOut, test.want) {
			t.Errorf("%s: got code %d and %q, want %d and %q", test.name, code, out+errOut, test.code, test.want)
		}
	}
}

// cancelAfterAttempt returns a trace that calls cancel when the response has been read, or, if none comes, when the request
// has been written.
func cancelAfterAttempt(response cannedResponse, cancel context.CancelFunc) *httptrace.ClientTrace {
	if response.disconnect {
		return &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { cancel() }}
	}
	return &httptrace.ClientTrace{PutIdleConn: func(error) { cancel() }}
}

// TestTimeout guards against a command that waits without end for a member that does not respond or has no leader.
func TestTimeout(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The context ends with the connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	t.Cleanup(silent.Close)
	noLeader := newStubMember(t, cannedResponse{503, `{"error":{"code":"notLeader","message":"no leader"}}`, false})
	for _, member := range []string{silent.Listener.Addr().String(), noLeader.address()} {
		if code, out, errOut := runCommandIn(t.Context(), t, "400ms", member, "delete", "pool", "e"); code != exitUnavailable {
			t.Errorf("got code %d and %q, want %d", code, out+errOut, exitUnavailable)
		}
	}
}

// TestResendKeepsRequestID guards against a change that is made twice because the response to the first attempt was
// lost.
func TestResendKeepsRequestID(t *testing.T) {
	s := newStubMember(t, cannedResponse{disconnect: true}, cannedResponse{503, `{"error":{"code":"notLeader","message":"no leader"}}`, false},
		cannedResponse{200, `{"revision":8,"changes":[]}`, false})
	code, out, errOut := runCommand(t, closedAddress(t)+","+s.address(), "delete", "pool", "e")
	if code != 0 || !strings.Contains(out, "revision 8") {
		t.Fatalf("got code %d, %q, %q, want 0 and revision 8", code, out, errOut)
	}
	for _, r := range s.requests {
		if r.id == "" || r.id != s.requests[0].id || r.token != "Bearer "+testToken {
			t.Errorf("got request ID %q and token %q, want %q and the operator token", r.id, r.token, s.requests[0].id)
		}
	}
}

// TestKeyCreate guards against sending the key itself, in place of its hash, to a member, which would store the key.
func TestKeyCreate(t *testing.T) {
	s := newStubMember(t, cannedResponse{200, `{"revision":9,"changes":[]}`, false})
	code, out, errOut := runCommand(t, s.address(), "key", "create", "-customer", "c", "-name", "k", "-json")
	var created struct{ Name, Key string }
	if err := json.Unmarshal([]byte(out), &created); err != nil || code != 0 {
		t.Fatalf("got code %d, %q, %q", code, out, errOut)
	}
	body := s.requests[0].body
	if !strings.HasPrefix(created.Key, "ad-") || len(created.Key) < 40 || strings.Contains(body, created.Key) {
		t.Errorf("got key %q and request %s, want a long key that is not sent", created.Key, body)
	}
	if !strings.Contains(body, `"expectVersion":0`) || !strings.Contains(body, `"sha256":"`) {
		t.Errorf("got request %s, want the hash of a key that does not exist yet", body)
	}
}

// TestApply guards against applying only part of a document and against dropping the versions of its objects.
func TestApply(t *testing.T) {
	s := newStubMember(t, cannedResponse{200, `{"revision":2,"changes":[{"kind":"customer","name":"c","version":4}]}`, false})
	file := filepath.Join(t.TempDir(), "doc.json")
	tests := []struct {
		doc  string
		code int
		want string
	}{
		{`{"objects":[{"kind":"customer","name":"c","version":3,"spec":{"weight":2}},{"kind":"customer","name":"d","spec":{"weight":1}}]}`, 0, "customer c version 4"},
		{`{"objects":[{"kind":"customer","name":"c","spec":{"weight":0}}]}`, 1, "customer/c.weight"},
		{`{"objects":[],"more":1}`, 1, "more"},
	}
	for _, test := range tests {
		if err := os.WriteFile(file, []byte(test.doc), 0o600); err != nil {
			t.Fatal(err)
		}
		if code, out, errOut := runCommand(t, s.address(), "apply", "-file", file); code != test.code || !strings.Contains(out+errOut, test.want) {
			t.Errorf("%s: got code %d and %q, want %d and %q", test.doc, code, out+errOut, test.code, test.want)
		}
	}
	want := `{"changes":[{"kind":"customer","name":"c","expectVersion":3,"spec":{"weight":2}},{"kind":"customer","name":"d","spec":{"weight":1}}]}`
	if len(s.requests) != 1 || s.requests[0].body != want {
		t.Errorf("got requests %v, want one with %s", s.requests, want)
	}
}

// TestStatus guards against a status command that fails when fields of the response are missing or unknown.
func TestStatus(t *testing.T) {
	tests := []struct{ body, want string }{
		{`{"revision":5,"members":[{"id":1,"name":"c1","term":3,"leader":true,"applied":70}],"sessions":[],"upstreams":[{"pool":"e","failureDomain":"x","state":"active","count":3}]}`, "e     x               active  3"},
		{`{"revision":5,"sessions":4,"upstreams":{"e":{"x":{"active":3}}},"new":[1]}`, "e  x  active  3"},
		{`{"confirmed":false,"member":"1f","revision":5,"sessions":4}`, "no leader answered: this is what member 1f knows\nrevision 5\nsessions 4"},
	}
	for _, test := range tests {
		s := newStubMember(t, cannedResponse{200, test.body, false})
		if code, out, errOut := runCommand(t, s.address(), "status"); code != 0 || !strings.Contains(out, test.want) {
			t.Errorf("got code %d, %q, %q, want %q", code, out, errOut, test.want)
		}
	}
}
