package soak

import (
	"path/filepath"
	"testing"
	"time"
)

// seeds are the seeds of the short soak in each CI run. A seed that found a fault stays in the list, with the cause of the fault.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "no fault of the system found; the seed of the short run"},
}

// TestSoak guards against failures that occur only when several faults overlap: requests that run twice or that run although
// they were refused, responses with wrong content or responses that are truncated but look complete, acknowledged documents
// that are lost, and withdrawn keys that are accepted after the revocation bound.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "bin")
	if err := Build(t.Context(), "..", bin); err != nil {
		t.Fatal(err)
	}
	for _, test := range seeds {
		dir := t.TempDir()
		report, err := Run(t.Context(), Options{
			Seed: test.seed, Duration: 10 * time.Second, Bin: bin, Dir: dir, Controls: 5, Entries: 4, Upstreams: 4, Callers: 16,
			LogFault: func(line string) { t.Log(line) },
		})
		if err != nil {
			t.Fatalf("seed %d: %v", test.seed, err)
		}
		for _, violation := range report.Violations {
			t.Errorf("seed %d (%s): got %s", test.seed, test.cause, violation)
		}
		t.Logf("seed %d: %d documents, faults %v, answers %v", test.seed, report.Documents, report.Faults, report.Responses)
	}
}
