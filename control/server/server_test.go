package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/control/admin"
	"azuredoor.example/control/disk"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/core/fleetrpc"
)

const (
	secret     = "secret-of-the-test-fleet"
	writeToken = "write-token-of-the-test"
	readToken  = "read-token-of-the-test"
)

// snapshotEntries is low, so that the tests take many snapshots.
var snapshotEntries uint64 = 50

// process is one control process of a test.
type process struct {
	t                     testing.TB
	number                int
	id                    uint64
	address, adminAddress string
	dir                   string
	// fs is the file system of dir, nil for that of the operating system.
	fs      *fullDisk
	storage *failingStore
	proxy   *proxy
	server  *Server
	stop    context.CancelFunc
	group   *errgroup.Group
}

func listen(t testing.TB, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func newProcess(t testing.TB, number int) *process {
	t.Helper()
	p := &process{
		t: t, number: number, dir: t.TempDir(),
		address: ownHost() + ":0", adminAddress: ownHost() + ":0", proxy: newProxy(t),
	}
	p.start()
	return p
}

// ownHost returns a loopback address of this process alone. A member that starts again listens on the ports that it had before, which
// tests of other packages, at 127.0.0.1, could have taken in the meantime.
func ownHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.250.%d.%d", pid>>8&0xff, pid&0xff)
}

// start starts the process. After a stop, start uses the same addresses and directory again.
func (p *process) start() {
	p.t.Helper()
	path := filepath.Join(p.t.TempDir(), "tokens")
	if err := os.WriteFile(path, []byte("ana write "+writeToken+"\nluis read "+readToken+"\n"), 0o600); err != nil {
		p.t.Fatal(err)
	}
	tokens, err := admin.ReadTokens(path)
	if err != nil {
		p.t.Fatal(err)
	}
	options := disk.Options{Dir: p.dir}
	if p.fs != nil {
		options.FS = p.fs
	}
	store, stored, identity, err := disk.Open(options)
	if err != nil {
		p.t.Fatal(err)
	}
	p.id, p.storage = identity.Member, &failingStore{Store: store}
	listener, adminListener := listen(p.t, p.address), listen(p.t, p.adminAddress)
	p.address, p.adminAddress = listener.Addr().String(), adminListener.Addr().String()
	p.proxy.mu.Lock()
	p.proxy.target = p.address
	p.proxy.mu.Unlock()
	listener = advertisedListener{listener, p.proxy.listener.Addr()}
	p.server, err = Open(Config{
		ID: p.id, Name: fmt.Sprintf("control-%d", p.number), Listener: listener, AdminListener: adminListener,
		FailureDomain: "nadi-store", Secret: secret, Tokens: tokens, SnapshotEntries: snapshotEntries,
		Storage: p.storage, Stored: stored, Events: event.Discard(),
	})
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop, p.group = stop, &errgroup.Group{}
	p.group.Go(func() error { return errors.Join(p.server.Run(ctx), store.Close()) })
	p.t.Cleanup(p.shutDown)
}

// shutDown stops the process gracefully. For a process that has crashed, shutDown does nothing.
func (p *process) shutDown() {
	p.stop()
	if err := p.group.Wait(); err != nil && !errors.Is(err, errStorage) {
		p.t.Errorf("process %d ended with %v", p.number, err)
	}
}

// crash ends a leader by a failed write to storage, without a transfer of leadership.
func (p *process) crash() {
	p.t.Helper()
	p.storage.fail.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := p.server.member.ProposeLocal(ctx, &fleetpb.Command{}); err == nil {
		p.t.Errorf("crash of process %d: the write to the failed storage succeeded, want an error", p.number)
	}
	if err := p.group.Wait(); !errors.Is(err, errStorage) {
		p.t.Errorf("crash of process %d: got %v, want the storage error", p.number, err)
	}
}

// call sends an operator's request to the admin API and returns the status code and the decoded body.
func (p *process) call(method, path, requestID string, body any) (int, map[string]any) {
	p.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		p.t.Fatal(err)
	}
	request, err := http.NewRequest(method, "http://"+p.adminAddress+path, bytes.NewReader(data))
	if err != nil {
		p.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+writeToken)
	request.Header.Set("Azuredoor-Request-Id", requestID)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	decoded := map[string]any{}
	if err := json.Unmarshal(text, &decoded); err != nil {
		p.t.Fatalf("%s %s: %v in %q", method, path, err, text)
	}
	return response.StatusCode, decoded
}

// newGroup forms a group of the given size.
func newGroup(t testing.TB, size int) []*process {
	t.Helper()
	group := []*process{newProcess(t, 1)}
	if code, body := group[0].call("POST", "/v1/bootstrap", "", nil); code != http.StatusOK {
		t.Fatalf("bootstrap: got %d %v, want 200", code, body)
	}
	for number := 2; number <= size; number++ {
		p := newProcess(t, number)
		if code, body := group[0].call("POST", "/v1/members", "", p.description()); code != http.StatusOK {
			t.Fatalf("add member %d: got %d %v, want 200", number, code, body)
		}
		group = append(group, p)
	}
	return group
}

// description returns the request body with which an operator adds the process to the group.
func (p *process) description() map[string]any {
	return map[string]any{
		"name": fmt.Sprintf("control-%d", p.number), "address": p.proxy.address(), "adminAddress": p.adminAddress,
		"failureDomain": "nadi-store",
	}
}

func leaderOf(t testing.TB, group []*process) *process {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		for _, p := range group {
			if p.server.member.Status().Leading {
				return p
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the group got no leader within 10 s")
	return nil
}

func dial(t testing.TB, p *process) fleetpb.FleetClient {
	t.Helper()
	conn, err := fleetrpc.Dialer{Secret: secret}.Dial(p.proxy.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return fleetpb.NewFleetClient(conn)
}

// customerChange returns a change set that sets the weight of a customer. If expect is nil, any version is accepted.
func customerChange(name string, weight int, expect any) map[string]any {
	change := map[string]any{"kind": "customer", "name": name, "spec": map[string]any{"weight": weight}}
	if expect != nil {
		change["expectVersion"] = expect
	}
	return map[string]any{"changes": []any{change}}
}

// TestGroupServesOperatorsAndEntries guards against a group that cannot form, cannot change its configuration, or cannot
// serve the session, the watch and the claims of an entry.
func TestGroupServesOperatorsAndEntries(t *testing.T) {
	group := newGroup(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if code, body := group[2].call("POST", "/v1/apply", "r1", customerChange("mill", 5, 0)); code != 200 || body["revision"] != 1.0 {
		t.Fatalf("apply through a follower: got %d %v, want 200 and revision 1", code, body)
	}
	if code, body := group[1].call("GET", "/v1/objects/customer/mill", "", nil); code != 200 || body["version"] != 1.0 {
		t.Fatalf("read through a follower: got %d %v, want 200 and version 1", code, body)
	}
	leader := leaderOf(t, group)
	client := dial(t, leader)
	opened, err := client.OpenSession(ctx, &fleetpb.OpenSessionRequest{Name: "entry-1", PeerAddress: "127.0.0.1:1", Incarnation: 7})
	if err != nil {
		t.Fatal(err)
	}
	watch, err := dial(t, group[1]).Watch(ctx, &fleetpb.WatchRequest{})
	if err != nil {
		t.Fatal(err)
	}
	event, err := watch.Recv()
	if err != nil || !event.Reset_ {
		t.Fatalf("first watch event: got %v %v, want the whole state", event, err)
	}
	for event.Revision == 0 {
		// This member had not applied the change yet, although the group had.
		if len(event.Objects) != 0 {
			t.Fatalf("watch event before the change: got %v, want no object", event)
		}
		if event, err = watch.Recv(); err != nil {
			t.Fatal(err)
		}
	}
	if event.Revision != 1 || len(event.Objects) != 1 || event.Objects[0].Version != 1 {
		t.Fatalf("watch event of the change: got %v, want the object at revision 1", event)
	}
	alive, err := client.Keepalive(ctx, &fleetpb.KeepaliveRequest{SessionId: opened.SessionId, ConfigRevision: 1})
	if err != nil || alive.SessionEnded || alive.StateIndex < opened.SessionId {
		t.Fatalf("keepalive: got %v %v, want an open session and a state index of at least the session ID", alive, err)
	}
	if code, body := group[0].call("POST", "/v1/apply", "r2", customerChange("mill", 6, 1)); code != 200 {
		t.Fatalf("apply: got %d %v, want 200", code, body)
	}
	for event.Revision != 2 {
		if event, err = watch.Recv(); err != nil {
			t.Fatal(err)
		}
	}
	if event.Reset_ || len(event.Objects) != 1 || event.Objects[0].Version != 2 {
		t.Errorf("watch event: got %v, want the changed object only", event)
	}
	claim := &fleetpb.ClaimRequest{
		SessionId: opened.SessionId, Customer: "mill", IdempotencyKey: "k", BodyHash: []byte("h"), RetentionSeconds: 60, RequestId: "q",
	}
	granted, err := client.Claim(ctx, claim)
	if err != nil || granted.Outcome != fleetpb.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
		t.Fatalf("claim: got %v %v, want granted", granted, err)
	}
	done := &fleetpb.CompleteRequest{
		Customer: "mill", IdempotencyKey: "k", Attempt: granted.Attempt, State: fleetpb.ClaimState_CLAIM_STATE_DONE,
		Answer: &fleetpb.StoredAnswer{Status: 200, Body: []byte("booked")},
	}
	if completed, err := client.Complete(ctx, done); err != nil || completed.Code != fleetpb.ResultCode_RESULT_CODE_OK {
		t.Fatalf("complete: got %v %v, want OK", completed, err)
	}
	again, err := client.Claim(ctx, claim)
	if err != nil || again.Outcome != fleetpb.ClaimOutcome_CLAIM_OUTCOME_DONE || string(again.Answer.Body) != "booked" {
		t.Errorf("claim of a done request: got %v %v, want the stored answer", again, err)
	}
	if code, body := group[2].call("GET", "/v1/sessions", "", nil); code != 200 || len(body["sessions"].([]any)) != 1 {
		t.Errorf("sessions: got %d %v, want 200 and one session", code, body)
	}
}
