package caller

import "testing"

// TestStaleViewRefusesNothingForGood guards against 401 and 404 for what was added while the entry had no contact with its control group.
func TestStaleViewRefusesNothingForGood(t *testing.T) {
	f := newFixture(t, nil)
	for name, test := range map[string]struct {
		path, body, key string
		want            int
	}{
		"unknown path":  {"/added", "{}", testKey, 404},
		"unknown model": {"/v1/completions", `{"model":"added","prompt":"a"}`, testKey, 404},
		"unknown key":   {"/v1/completions", `{"model":"m","prompt":"a"}`, "added", 401},
	} {
		for _, stale := range []bool{false, true} {
			f.control.stale.Store(stale)
			want := test.want
			if stale {
				want = 503
			}
			if got := f.do(t, "POST", test.path, test.body, "Authorization", "Bearer "+test.key); got.status != want {
				t.Errorf("%s, stale %v: got status %d, want %d", name, stale, got.status, want)
			}
		}
	}
}
