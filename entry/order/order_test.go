package order

import (
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"azuredoor.example/core/config"
	"azuredoor.example/core/fleetpb"
	"azuredoor.example/entry/control"
)

var start = time.Unix(1_000_000, 0)

func engine(id, role string, models ...string) *fleetpb.Upstream {
	return &fleetpb.Upstream{
		Id: id, Kind: "engine", Role: role, Pool: "p", Models: models, Address: id + ":1",
		State: fleetpb.UpstreamState_UPSTREAM_STATE_ACTIVE,
	}
}

func viewOf(pool config.Pool, rate int64, engines ...*fleetpb.Upstream) *control.View {
	set := config.NewSet()
	set.Pools["p"] = &pool
	set.Fleet.WeightStoreBytesPerSecond = rate
	upstreams := map[string]*fleetpb.Upstream{}
	for _, u := range engines {
		upstreams[u.Id] = u
	}
	return &control.View{Config: set, Upstreams: upstreams}
}

func describe(orders []Order) []string {
	var texts []string
	for _, o := range orders {
		texts = append(texts, o.Upstream+" "+o.Kind+" "+o.Model+o.Role)
	}
	return texts
}

// TestPlan guards against orders that the configuration of a pool does not require, and against two concurrent orders
// to one engine.
func TestPlan(t *testing.T) {
	draining := engine("e3", "decode")
	draining.Desired = fleetpb.DesiredState_DESIRED_STATE_DRAINING
	tests := []struct {
		name    string
		pool    config.Pool
		engines []*fleetpb.Upstream
		want    []string
	}{
		{"nothing to do", config.Pool{Kind: "engine", Models: []string{"m"}}, []*fleetpb.Upstream{engine("e1", "decode", "m")}, nil},
		{"load", config.Pool{Kind: "engine", Models: []string{"m", "n"}}, []*fleetpb.Upstream{engine("e1", "decode"), engine("e2", "decode", "m"), draining},
			[]string{"e1 load m", "e2 load n"}},
		{"unload", config.Pool{Kind: "engine", Models: []string{"m"}}, []*fleetpb.Upstream{engine("e1", "decode", "m", "old")}, []string{"e1 unload old"}},
		{"more prefill", config.Pool{Kind: "engine", Models: []string{"m"}, PrefillEngines: 2},
			[]*fleetpb.Upstream{engine("e1", "prefill", "m"), engine("e2", "decode", "m"), engine("e3", "decode", "m")}, []string{"e2 setRole prefill"}},
		{"less prefill", config.Pool{Kind: "engine", Models: []string{"m"}, PrefillEngines: 1},
			[]*fleetpb.Upstream{engine("e1", "prefill", "m"), engine("e2", "prefill", "m")}, []string{"e1 setRole decode"}},
	}
	for _, test := range tests {
		view := viewOf(test.pool, 0, test.engines...)
		planner := NewPlanner(start, view.Config)
		if got := describe(planner.Plan(start, view)); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
		if got := planner.Plan(start.Add(time.Second), view); len(got) != 0 {
			t.Errorf("%s: got %q while the first orders are pending, want no order", test.name, describe(got))
		}
	}
}

// TestLoadsRespectWeightStore guards against concurrent loads that exceed the weight store's rate, also right after
// the order lease got a new holder.
func TestLoadsRespectWeightStore(t *testing.T) {
	pool := config.Pool{Kind: "engine", Models: []string{"m"}, ModelBytes: 1000}
	view := viewOf(pool, 100, engine("e1", "decode"), engine("e2", "decode"), engine("e3", "decode"))
	planner := NewPlanner(start, view.Config)
	var at []time.Duration
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += time.Second {
		for range planner.Plan(start.Add(elapsed), view) {
			at = append(at, elapsed)
		}
	}
	want := []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second}
	if !slices.Equal(at, want) {
		t.Errorf("got loads at %v, want %v: one load takes 10 s", at, want)
	}
}

// TestSendCallsGuardLast guards against an order that is sent although the lease ended while the order was prepared.
func TestSendCallsGuardLast(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	sender := &HTTP{}
	if err := sender.Send(ctx, Order{Address: listener.Addr().String()}, func() bool { return false }); !errors.Is(err, ErrLeaseEnding) {
		t.Fatalf("got error %v, want %v", err, ErrLeaseEnding)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("got %d bytes and error %v, want a connection that ends without a byte", n, err)
	}
}
