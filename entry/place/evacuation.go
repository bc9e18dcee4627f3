package place

import "time"

// MaySend reports whether a request may still be sent to the upstream that was chosen for it: its failure domain is not evacuated, and
// it is warm or the request is counted.
func (t *Table) MaySend(now time.Time, u Upstream) bool {
	s := t.states[u.ID]
	return s == nil || s.Incarnation != u.Incarnation || !s.Evacuated && (!s.cold(now) || now.Before(u.GrantedUntil))
}

// RunningEvacuated returns how many requests of this entry still run in each evacuated failure domain.
func (t *Table) RunningEvacuated() map[string]int {
	running := map[string]int{}
	for _, s := range t.states {
		if s.Evacuated && s.ownRequests > 0 {
			running[s.FailureDomain] += s.ownRequests
		}
	}
	return running
}
