package soak

import (
	"path/filepath"
	"testing"
	"time"
)

// seeds are those of the short soak of each CI run; a seed that broke a promise stays here with its cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "no fault of the system found; the seed of the short run"},
}

// TestSoak guards against promises that only break when several faults overlap: requests that run twice or although they
// were refused, answers that are wrong or look complete, acknowledged documents that are lost, keys that work for too long.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "bin")
	if err := Build(t.Context(), "..", bin); err != nil {
		t.Fatal(err)
	}
	for _, test := range seeds {
		dir := t.TempDir()
		report, err := Run(t.Context(), Options{
			Seed: test.seed, Duration: 10 * time.Second, Bin: bin, Dir: dir, Controls: 5, Entries: 4, Upstreams: 4, Callers: 16,
			Note: func(line string) { t.Log(line) },
		})
		if err != nil {
			t.Fatalf("seed %d: %v", test.seed, err)
		}
		for _, broken := range report.Broken {
			t.Errorf("seed %d (%s): got %s", test.seed, test.cause, broken)
		}
		t.Logf("seed %d: %d documents, faults %v, answers %v", test.seed, report.Documents, report.Faults, report.Calls)
	}
}
