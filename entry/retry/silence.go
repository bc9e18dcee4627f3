package retry

import "time"

const (
	// firstRecheck is the time until another upstream is looked for again after none could take over. It doubles up to
	// maxRecheck.
	firstRecheck = 100 * time.Millisecond
	maxRecheck   = 400 * time.Millisecond
)

// Silence describes a request whose upstream is silent, but connected. The upstream may still respond, so the request leaves
// it only for another upstream that can serve it.
type Silence struct {
	// Repeatable is set if the request may run more than once and another upstream could go on with its response.
	Repeatable bool
	// Runs is the number of attempts that may have run, including the silent one. MaxRuns is the number that is allowed.
	Runs, MaxRuns int
	// BudgetAvailable is set if the retry budget allows another attempt.
	BudgetAvailable bool
	// Checks counts how often no other upstream could take over.
	Checks int
}

// MayLeave reports whether the request may be taken from the silent upstream once another one can serve it.
func (s Silence) MayLeave() bool { return s.Repeatable && s.Runs < s.MaxRuns && s.BudgetAvailable }

// Recheck returns how long to wait for the silent upstream before another one is looked for again.
func (s Silence) Recheck() time.Duration {
	return min(firstRecheck<<min(s.Checks, 8), maxRecheck)
}
