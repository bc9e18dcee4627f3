package place

import (
	"errors"
	"math"
	"slices"
	"testing"
	"time"
)

// TestLeaving guards against requests to an upstream that has stated that it leaves, also after it was out of the view or
// changed its address or role, and against a notice that takes out another incarnation or another upstream at the address.
func TestLeaving(t *testing.T) {
	a, b := service("a", "d", 0), service("b", "d", 0)
	restarted, moved, withdrawn := a, a, a
	restarted.Incarnation, moved.Address, withdrawn.Accepts = 2, "a:2", false
	sameAddress := service("z", "d", 0)
	sameAddress.Address, sameAddress.Service = a.Address, "z"
	leaving := Notice{Leaving: true}
	for name, test := range map[string]struct {
		change func(t *Table)
		need   Need
		want   string
	}{
		"leaving":                        {func(*Table) {}, Need{}, "b"},
		"other entries' load":            {func(t *Table) { t.Observe(epoch, 7, []Load{{ID: "b", Incarnation: 1, Work: 90, Requests: 90}}) }, Need{}, "b"},
		"the only other one was tried":   {func(*Table) {}, Need{Exclude: []string{"b"}}, ""},
		"the only other one failed":      {func(t *Table) { t.End(epoch, b, Need{Service: "s", Work: 1}, Unreachable) }, Need{}, "b"},
		"served since":                   {func(t *Table) { t.End(epoch, a, Need{Service: "s", Work: 1}, Served) }, Need{}, "b"},
		"announced again":                {func(t *Table) { t.Set([]Upstream{a, b}, 1) }, Need{}, "b"},
		"announced at another address":   {func(t *Table) { t.Set([]Upstream{moved, b}, 1) }, Need{}, "b"},
		"out of the view for some time":  {func(t *Table) { t.Set([]Upstream{b}, 1); t.Set([]Upstream{a, b}, 1) }, Need{}, "b"},
		"told again while not in view":   {func(t *Table) { t.Set([]Upstream{b}, 1); t.RecordNotice(epoch, a, leaving); t.Set([]Upstream{a, b}, 1) }, Need{}, "b"},
		"restarted":                      {func(t *Table) { t.Set([]Upstream{restarted}, 1) }, Need{}, "a"},
		"restarted, late response":       {func(t *Table) { t.Set([]Upstream{restarted}, 1); t.RecordNotice(epoch, a, leaving) }, Need{}, "a"},
		"restarted, leaves again":        {func(t *Table) { t.Set([]Upstream{restarted}, 1); t.RecordNotice(epoch, restarted, leaving) }, Need{}, ""},
		"another service at its address": {func(t *Table) { t.Set([]Upstream{a, sameAddress}, 1) }, Need{Service: "z"}, "z"},
	} {
		table := NewTable(0)
		table.Set([]Upstream{a, b}, 1)
		first, _ := table.RecordNotice(epoch, a, leaving)
		if again, _ := table.RecordNotice(epoch, a, leaving); !first || again {
			t.Fatalf("%s: got %v and %v, want the first notice to be new and the second one not", name, first, again)
		}
		test.change(table)
		test.need.Work, test.need.FailureDomain = 1, "d"
		if test.need.Service == "" {
			test.need.Service = "s"
		}
		got, err := table.Pick(epoch.Add(time.Hour), test.need)
		if got.ID != test.want || test.want == "" && !errors.Is(err, ErrNone) {
			t.Errorf("%s: got %q, %v, want %q", name, got.ID, err, test.want)
		}
		if got, ok := table.Assign(epoch, "a", 0, test.need); ok != (test.want == "a") {
			t.Errorf("%s: got %q, %v for an upstream that the coordinator chose, want it only if it may be picked", name, got.ID, ok)
		}
	}
	table := NewTable(0)
	table.Set([]Upstream{a, b}, 1)
	table.RecordNotice(epoch, a, leaving)
	if got := table.Count(epoch, Need{Service: "s", Role: RoleAny}); got != 1 {
		t.Errorf("got %d upstreams, want 1 without the one that leaves", got)
	}
	table.Set([]Upstream{withdrawn, b}, 1)
	if got := table.Unavailable(epoch, "s"); len(got) != 0 {
		t.Errorf("got %v withheld, want none, as the control group knows that the upstream leaves", got)
	}
}

// TestLeavingIsReported guards against a coordinator that is not told which engines leave, and that is told so for good.
func TestLeavingIsReported(t *testing.T) {
	engine, plain := decodeEngine("a", "d"), service("b", "d", 0)
	announced := engine
	announced.Accepts = false
	table := NewTable(0)
	table.Set([]Upstream{engine, plain}, 1)
	table.RecordNotice(epoch, engine, Notice{Leaving: true})
	table.RecordNotice(epoch, plain, Notice{Leaving: true})
	if got := table.Leaving(); len(got) != 1 || got["a"] != 1 {
		t.Errorf("got %v, want the engine only", got)
	}
	if got := table.Unavailable(epoch, "s"); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("got %v withheld, want both", got)
	}
	for name, upstreams := range map[string][]Upstream{"announced": {announced}, "gone": {}} {
		table.Set(upstreams, 1)
		if got := table.Leaving(); len(got) != 0 {
			t.Errorf("%s: got %v, want none", name, got)
		}
	}
}

// TestRestrictionsAreForgotten guards against memory that grows with each upstream that ever left.
func TestRestrictionsAreForgotten(t *testing.T) {
	table := NewTable(0)
	now := epoch
	for i := range 1000 {
		u := service("u"+time.Duration(i).String(), "d", 0)
		table.Set([]Upstream{u}, 1)
		table.RecordNotice(now, u, Notice{Leaving: true})
		now = now.Add(time.Minute)
	}
	if got, want := len(table.restrictions), int(restrictionRetention/time.Minute)+2; got > want {
		t.Errorf("got %d restrictions, want at most the %d of the last %v", got, want, restrictionRetention)
	}
}

// TestPause guards against requests to an upstream that has asked this entry for a pause: as a last resort, because a later
// response was a success or asked for a shorter pause, or because the pause was garbled; against a pause without end; and against
// one that outlives a restart.
func TestPause(t *testing.T) {
	a, b, restarted := service("a", "d", 0), service("b", "far", 0), service("a", "d", 0)
	restarted.Incarnation = 2
	need := Need{Service: "s", Work: 1, FailureDomain: "d"}
	end := func(u Upstream, outcome Outcome) func(t *Table) {
		return func(t *Table) { t.End(epoch, u, need, outcome) }
	}
	second := Notice{Pause: time.Second}
	for name, test := range map[string]struct {
		notice    Notice
		upstreams []Upstream
		change    func(t *Table)
		after     time.Duration
		want      string
		// wantWait and wantRetry are of the error if no upstream is wanted.
		wantWait, wantRetry time.Duration
	}{
		"paused":               {second, []Upstream{a, b}, nil, 999 * time.Millisecond, "b", 0, 0},
		"ended":                {second, []Upstream{a, b}, nil, time.Second, "a", 0, 0},
		"no pause":             {Notice{}, []Upstream{a, b}, nil, 0, "a", 0, 0},
		"negative":             {Notice{Pause: -time.Second}, []Upstream{a, b}, nil, 0, "a", 0, 0},
		"absurd":               {Notice{Pause: 1 << 62}, []Upstream{a, b}, nil, maxPause - 1, "b", 0, 0},
		"absurd, ended":        {Notice{Pause: 1 << 62}, []Upstream{a, b}, nil, maxPause, "a", 0, 0},
		"served since":         {second, []Upstream{a, b}, end(a, Served), 900 * time.Millisecond, "b", 0, 0},
		"ejected as well":      {second, []Upstream{a, b}, end(a, Unreachable), 900 * time.Millisecond, "b", 0, 0},
		"the other is ejected": {second, []Upstream{a, b}, end(b, Unreachable), 100 * time.Millisecond, "b", 0, 0},
		"only one":             {second, []Upstream{a}, nil, 300 * time.Millisecond, "", 700 * time.Millisecond, 700 * time.Millisecond},
		"only one, ejected":    {second, []Upstream{a}, end(a, Unreachable), 300 * time.Millisecond, "", 700 * time.Millisecond, 700 * time.Millisecond},
		"all": {second, []Upstream{a, b}, func(t *Table) {
			t.RecordNotice(epoch, b, Notice{Pause: 500 * time.Millisecond})
		}, 300 * time.Millisecond, "", 200 * time.Millisecond, 200 * time.Millisecond},
		"shorter later": {second, []Upstream{a, b}, func(t *Table) {
			t.RecordNotice(epoch.Add(100*time.Millisecond), a, Notice{Pause: 100 * time.Millisecond})
		}, 900 * time.Millisecond, "b", 0, 0},
		"longer later": {second, []Upstream{a, b}, func(t *Table) {
			t.RecordNotice(epoch.Add(100*time.Millisecond), a, second)
		}, 1050 * time.Millisecond, "b", 0, 0},
		"restarted":                {second, []Upstream{a, b}, func(t *Table) { t.Set([]Upstream{restarted, b}, 1) }, 0, "a", 0, 0},
		"out of the view meantime": {second, []Upstream{a, b}, func(t *Table) { t.Set([]Upstream{b}, 1); t.Set([]Upstream{a, b}, 1) }, 0, "b", 0, 0},
	} {
		table := NewTable(0)
		table.Set(test.upstreams, 1)
		table.RecordNotice(epoch, a, test.notice)
		if test.change != nil {
			test.change(table)
		}
		now := epoch.Add(test.after)
		got, err := table.Pick(now, need)
		var paused *PausedError
		if got.ID != test.want || errors.As(err, &paused) != (test.want == "") {
			t.Errorf("%s: got %q, %v, want %q", name, got.ID, err, test.want)
		}
		if paused != nil && (paused.Wait != test.wantWait || paused.Retry != test.wantRetry) {
			t.Errorf("%s: got a wait of %v and a retry after %v, want %v and %v", name, paused.Wait, paused.Retry, test.wantWait, test.wantRetry)
		}
		if _, ok := table.Assign(now, "a", 0, need); ok != (test.want == "a") {
			t.Errorf("%s: got %v for the upstream as chosen by the coordinator, want %v", name, ok, test.want == "a")
		}
	}
}

// TestExcludedPrefillEngine guards against prompts that the coordinator sends to a prefill engine that pauses for their entry.
func TestExcludedPrefillEngine(t *testing.T) {
	b := NewBook()
	b.Set([]Upstream{decodeEngine("a", "d"), prefillEngine("p", "d"), prefillEngine("q", "far")})
	for id, exclude := range map[uint64][]string{2: nil, 3: {"p"}, 4: {"p", "q"}} {
		// The generation before makes the decode engine busy, so that a prefill engine is wanted.
		b.Observe(epoch, 7, []Generation{{ID: 1, Upstream: "a", Incarnation: 1, Prompt: 10, Expected: 10}})
		need := generationNeed(1, id)
		need.Exclude = exclude
		want := []string{"p", "q", ""}[len(exclude)]
		if got, err := b.Place(epoch.Add(time.Duration(id)*time.Minute), need); err != nil || got.Prefill.ID != want {
			t.Errorf("%q excluded: got prefill engine %q, %v, want %q", exclude, got.Prefill.ID, err, want)
		}
		b.Drop(1)
	}
}

// TestPauseOfTriedUpstreams guards against a caller that is told to retry too late or too early after its request was refused by
// some upstreams and the others pause.
func TestPauseOfTriedUpstreams(t *testing.T) {
	a, b := service("a", "d", 0), service("b", "d", 0)
	for name, test := range map[string]struct {
		pauseA, pauseB time.Duration
		exclude        []string
		wantWait       time.Duration
		wantRetry      time.Duration
	}{
		"the tried one is open":         {0, 2 * time.Second, []string{"a"}, 2 * time.Second, 0},
		"the tried one pauses shorter":  {time.Second, 2 * time.Second, []string{"a"}, 2 * time.Second, time.Second},
		"the tried one pauses longer":   {3 * time.Second, 2 * time.Second, []string{"a"}, 2 * time.Second, 2 * time.Second},
		"both were tried and now pause": {time.Second, 2 * time.Second, []string{"a", "b"}, math.MaxInt64, time.Second},
	} {
		table := NewTable(0)
		table.Set([]Upstream{a, b}, 1)
		table.RecordNotice(epoch, a, Notice{Pause: test.pauseA})
		table.RecordNotice(epoch, b, Notice{Pause: test.pauseB})
		_, err := table.Pick(epoch, Need{Service: "s", Work: 1, Exclude: test.exclude})
		var paused *PausedError
		if !errors.As(err, &paused) || paused.Wait != test.wantWait || paused.Retry != test.wantRetry {
			t.Errorf("%s: got %+v, want a wait of %v and a retry after %v", name, err, test.wantWait, test.wantRetry)
		}
	}
}

// TestMayWait guards against requests that wait for upstreams that pause for longer, and against refusals of requests that could
// be served in time after the pause.
func TestMayWait(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		left time.Duration
		want bool
	}{
		"chosen":               {nil, time.Second, false},
		"none":                 {ErrNone, time.Second, false},
		"busy":                 {ErrBusy, time.Second, true},
		"busy, no time left":   {ErrBusy, 0, false},
		"short pause":          {&PausedError{Wait: 300 * time.Millisecond}, time.Second, true},
		"long pause":           {&PausedError{Wait: 2 * time.Second}, time.Second, false},
		"pause, no time left":  {&PausedError{Wait: time.Millisecond}, 0, false},
		"only tried ones left": {&PausedError{Wait: math.MaxInt64}, time.Second, false},
	} {
		if got := MayWait(test.err, test.left); got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
	for _, test := range []struct{ pause, patience, want time.Duration }{
		{0, 10 * time.Second, 0}, {time.Second, 10 * time.Second, time.Second}, {9 * time.Second, 10 * time.Second, 3200 * time.Millisecond},
		{9 * time.Second, time.Minute, maxRetryAfter},
	} {
		if got := ResumeRetryDelay(test.pause, test.patience); got != test.want {
			t.Errorf("pause %v, patience %v: got a retry after %v, want %v", test.pause, test.patience, got, test.want)
		}
	}
}
