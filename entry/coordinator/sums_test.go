package coordinator

import (
	"testing"
	"time"

	"azuredoor.example/core/fleetpb"
)

func report(session, requests uint64, work int64) *fleetpb.UseReport {
	return &fleetpb.UseReport{
		SessionId: session, Services: []*fleetpb.ServiceUse{{Service: "s", Requests: requests}},
		Upstreams: []*fleetpb.UpstreamUse{{Id: "u", Incarnation: 1, Work: work, Requests: uint32(work)}},
	}
}

func others(use *fleetpb.FleetUse) (requests uint64, work int64) {
	for _, s := range use.Services {
		requests += s.Requests
	}
	for _, u := range use.Upstreams {
		work += u.Work
	}
	return requests, work
}

// TestSums guards against use that is counted twice, as another entry's, or for good after an entry has become silent or
// has started anew.
func TestSums(t *testing.T) {
	s := NewSums()
	now := time.Unix(1000, 0)
	for _, step := range []struct {
		name                   string
		after                  time.Duration
		report                 *fleetpb.UseReport
		wantRequests, wantWork uint64
	}{
		{"first report", 0, report(1, 100, 3), 0, 0},
		{"use before the first report has no time", 0, report(2, 50, 4), 0, 3},
		{"increase of the other", 0, report(1, 110, 3), 0, 4},
		{"increase of the other, own one not counted", 0, report(2, 57, 4), 10, 3},
		{"increase of the other, seen once", 0, report(1, 110, 2), 7, 4},
		{"nothing new", 0, report(1, 110, 2), 7, 4},
		{"started anew", 0, report(1, 5, 1), 7, 4},
		{"counts after a start", 0, report(2, 57, 4), 10, 1},
		{"the other is silent", 3 * time.Second, report(1, 6, 1), 7, 0},
	} {
		now = now.Add(step.after)
		s.Sweep(now, time.Second, func(uint64) bool { return false })
		requests, work := others(s.Exchange(now, step.report))
		if requests != step.wantRequests || uint64(work) != step.wantWork {
			t.Errorf("%s: got %d requests and work %d of others, want %d and %d", step.name, requests, work, step.wantRequests, step.wantWork)
		}
	}
}

// TestSumsPassOnEjections guards against entries that each have to find out by themselves that an upstream has failed,
// and against ejections that outlive their time or a restart of the upstream.
func TestSumsPassOnEjections(t *testing.T) {
	s := NewSums()
	now := time.Unix(1000, 0)
	ejected := func(session uint64, at time.Time) bool {
		for _, u := range s.Exchange(at, &fleetpb.UseReport{SessionId: session}).Upstreams {
			if u.Ejected {
				return true
			}
		}
		return false
	}
	s.Exchange(now, &fleetpb.UseReport{SessionId: 1, Upstreams: []*fleetpb.UpstreamUse{{Id: "u", Incarnation: 1, Ejected: true}}})
	if got := ejected(2, now); !got {
		t.Error("another entry: got not ejected, want ejected")
	}
	if got := ejected(1, now); got {
		t.Error("the entry itself: got ejected by others, want not")
	}
	if got := ejected(2, now.Add(ejectionLifetime)); got {
		t.Error("after its time: got ejected, want not")
	}
	s.Exchange(now, &fleetpb.UseReport{SessionId: 3, Upstreams: []*fleetpb.UpstreamUse{{Id: "u", Incarnation: 2, Work: 1, Requests: 1}}})
	s.Exchange(now, &fleetpb.UseReport{SessionId: 1, Upstreams: []*fleetpb.UpstreamUse{{Id: "u", Incarnation: 1, Ejected: true}}})
	if got := ejected(2, now); got {
		t.Error("ejection of an earlier incarnation: got ejected, want not")
	}
}

// TestReportInterval guards against a coordinator whose load grows with the number of entries, and against healthy entries
// that count as silent between two of their reports in a large fleet.
func TestReportInterval(t *testing.T) {
	for _, entries := range []int{4, 30, 118, 300, 900} {
		interval := ReportInterval(entries)
		if rate := float64(entries) / interval.Seconds(); rate > 500 {
			t.Errorf("%d entries: got %.0f reports per second, want at most 500", entries, rate)
		}
		if Silence(entries) < 3*interval {
			t.Errorf("%d entries: got silent after %v, want at least three intervals of %v", entries, Silence(entries), interval)
		}
	}
}
