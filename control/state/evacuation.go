package state

import "azuredoor.example/core/fleetpb"

// setEvacuation evacuates a failure domain, or withdraws its evacuation. An order that is in force already changes nothing. An order
// without a request ID that follows another one than it names is a conflict, so that one that comes late does not undo a newer one.
func (m *Machine) setEvacuation(c *fleetpb.SetEvacuationRequest) *fleetpb.Result {
	if c.FailureDomain == "" || len(c.FailureDomain) > maxTextBytes || len(c.Operator) > maxTextBytes {
		return failure(fleetpb.ResultCode_RESULT_CODE_INVALID, "an evacuation names a failure domain of at most %d bytes", maxTextBytes)
	}
	if c.RequestId != "" && !m.knowsFailureDomain(c.FailureDomain) {
		return failure(fleetpb.ResultCode_RESULT_CODE_NOT_FOUND, "no upstream or entry is in failure domain %q", c.FailureDomain)
	}
	known := m.evacuations[c.FailureDomain]
	if (known == nil || known.Withdrawn) == c.Withdraw {
		return &fleetpb.Result{Evacuation: known}
	}
	if c.RequestId == "" && known.GetVersion() != c.ExpectVersion {
		return failure(fleetpb.ResultCode_RESULT_CODE_CONFLICT, "another order on failure domain %q came first", c.FailureDomain)
	}
	next := &fleetpb.Evacuation{
		FailureDomain: c.FailureDomain, Version: m.applied, Withdrawn: c.Withdraw, Operator: c.Operator, SinceMillis: m.timeMillis,
	}
	m.evacuations[c.FailureDomain] = next
	m.revision++
	m.recordChange(changeKey{kind: changedEvacuation, object: objectKey{name: c.FailureDomain}})
	text := "evacuated"
	if c.Withdraw {
		text = "evacuation withdrawn"
	}
	m.addHistory(&fleetpb.HistoryRecord{Operator: c.Operator, Summary: summary("failure domain %s: %s", c.FailureDomain, text)})
	return &fleetpb.Result{Evacuation: next}
}

// Evacuation returns the newest order on a failure domain, or nil if there was none.
func (m *Machine) Evacuation(domain string) *fleetpb.Evacuation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.evacuations[domain]
}

// Evacuations returns the newest order on each failure domain that was ever evacuated, ordered by failure domain.
func (m *Machine) Evacuations() []*fleetpb.Evacuation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sortedValues(m.evacuations)
}

// KnowsFailureDomain reports whether an upstream or an entry is in the failure domain, or an order on it was given.
func (m *Machine) KnowsFailureDomain(domain string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.knowsFailureDomain(domain)
}

func (m *Machine) knowsFailureDomain(domain string) bool {
	if m.evacuations[domain] != nil {
		return true
	}
	for _, u := range m.upstreams {
		if u.FailureDomain == domain {
			return true
		}
	}
	for _, s := range m.sessions {
		if s.FailureDomain == domain {
			return true
		}
	}
	return false
}
