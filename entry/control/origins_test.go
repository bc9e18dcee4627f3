package control

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"azuredoor.example/core/fleetpb"
)

// originMember is a control member that keeps origins, and may be told to be silent.
type originMember struct {
	fakeMember
	mu      sync.Mutex
	origins map[string]*fleetpb.RecordOriginRequest
	silent  bool
}

func (m *originMember) setSilent(silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent = silent
}

// wait returns an error when the context of a call to a silent member has ended.
func (m *originMember) wait(ctx context.Context) error {
	m.mu.Lock()
	silent := m.silent
	m.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// RecordOrigin implements fleetpb.FleetServer.
func (m *originMember) RecordOrigin(ctx context.Context, r *fleetpb.RecordOriginRequest) (*fleetpb.RecordOriginResponse, error) {
	if err := m.wait(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.origins[r.Customer+"/"+r.RequestId] = r
	return &fleetpb.RecordOriginResponse{}, nil
}

// FindOrigin implements fleetpb.FleetServer.
func (m *originMember) FindOrigin(ctx context.Context, r *fleetpb.FindOriginRequest) (*fleetpb.FindOriginResponse, error) {
	if err := m.wait(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.origins[r.Customer+"/"+r.RequestId]
	return &fleetpb.FindOriginResponse{Found: ok, Service: o.GetService(), SoftwareVersion: o.GetSoftwareVersion()}, nil
}

// ConfirmView implements fleetpb.FleetServer.
func (m *originMember) ConfirmView(context.Context, *fleetpb.ConfirmViewRequest) (*fleetpb.ConfirmViewResponse, error) {
	_, index, _ := m.settings()
	return &fleetpb.ConfirmViewResponse{StateIndex: index}, nil
}

// TestOriginOutlivesMembers guards against origins that are lost, or taken for never recorded, because of members that do not answer.
func TestOriginOutlivesMembers(t *testing.T) {
	members := make([]*originMember, 3)
	var addresses []string
	for i := range members {
		members[i] = &originMember{fakeMember: fakeMember{events: make(chan *fleetpb.WatchEvent)}, origins: map[string]*fleetpb.RecordOriginRequest{}}
		addresses = append(addresses, serveMember(t, members[i]))
	}
	client := startClient(t, addresses...)
	ctx := t.Context()
	for silent := range members {
		id := string(rune('a' + silent))
		stored := 0
		client.RecordOrigin(ctx, Origin{Customer: "c", RequestID: id, Service: "s", SoftwareVersion: "v1", Keep: time.Minute}, func() { stored++ })
		if stored != 1 {
			t.Errorf("got %d reports that the origin is stored, want 1", stored)
		}
		members[silent].setSilent(true)
		client.RecordOrigin(ctx, Origin{Customer: "c", RequestID: "late" + id, SoftwareVersion: "v1", Keep: time.Minute}, func() {})
		for i, m := range members {
			if _, got := m.origins["c/late"+id]; got != (i != silent) {
				t.Errorf("member %d silent: member %d has the origin: got %v, want %v", silent, i, got, i != silent)
			}
		}
		if got, err := client.FindOrigin(ctx, "c", id); err != nil || got.Service != "s" || got.SoftwareVersion != "v1" {
			t.Errorf("member %d silent: got %+v, %v, want v1 of s", silent, got, err)
		}
		if _, err := client.FindOrigin(ctx, "c", "never"+id); err == nil || errors.Is(err, ErrNoOrigin) {
			t.Errorf("never recorded, member %d silent: got %v, want an error that leaves it open", silent, err)
		}
		members[silent].setSilent(false)
		if _, err := client.FindOrigin(ctx, "other", id); !errors.Is(err, ErrNoOrigin) {
			t.Errorf("request of another customer: got %v, want ErrNoOrigin", err)
		}
	}
}

// TestConfirmViewWaits guards against a view that counts as the newest although the leader knows of a later change.
func TestConfirmViewWaits(t *testing.T) {
	member := &originMember{fakeMember: fakeMember{events: make(chan *fleetpb.WatchEvent, 4)}, origins: map[string]*fleetpb.RecordOriginRequest{}}
	client := startClient(t, serveMember(t, member))
	member.configure(func() { member.stateIndex = 8 })
	member.events <- &fleetpb.WatchEvent{Reset_: true, Index: 7}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if err := client.ConfirmView(ctx); err == nil {
		t.Error("got no error while a change is missing")
	}
	member.events <- &fleetpb.WatchEvent{Index: 8}
	if err := client.ConfirmView(t.Context()); err != nil || client.View().Index < 8 {
		t.Errorf("got %v at index %d, want the view at index 8", err, client.View().Index)
	}
}

// TestSoftwareVersionsOfView guards against a view that still has the software versions of an earlier one.
func TestSoftwareVersionsOfView(t *testing.T) {
	member := &originMember{fakeMember: fakeMember{events: make(chan *fleetpb.WatchEvent, 4)}, origins: map[string]*fleetpb.RecordOriginRequest{}}
	client := startClient(t, serveMember(t, member))
	upstream := func(id, version string) *fleetpb.Upstream {
		return &fleetpb.Upstream{Id: id, Pool: "s", SoftwareVersion: version}
	}
	for i, step := range []struct {
		event *fleetpb.WatchEvent
		want  int
	}{
		{&fleetpb.WatchEvent{Reset_: true, Upstreams: []*fleetpb.Upstream{upstream("a", "v1"), upstream("b", "v1")}}, 1},
		{&fleetpb.WatchEvent{Upstreams: []*fleetpb.Upstream{upstream("b", "v2")}}, 2},
		{&fleetpb.WatchEvent{Sessions: []*fleetpb.Session{{Id: 1}}}, 2},
		{&fleetpb.WatchEvent{RemovedUpstreams: []string{"a"}}, 1},
		{&fleetpb.WatchEvent{Reset_: true}, 0},
	} {
		step.event.Index = uint64(i + 1)
		member.events <- step.event
		waitFor(t, "the event", func() bool { return client.View().Index == step.event.Index })
		if got := client.View().SoftwareVersions("s"); len(got) != step.want {
			t.Errorf("step %d: got versions %q, want %d", i+1, got, step.want)
		}
	}
}
