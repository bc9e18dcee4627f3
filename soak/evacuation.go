package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"azuredoor.example/platform/standin"
)

// failureDomain returns the failure domain of an upstream, or "" if it is not known.
func (s *system) failureDomain(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.domains[id]
}

// spareDomain returns a failure domain without which upstreams remain, or "" if there is none.
func (s *system) spareDomain(r *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	domain := string(rune('a' + r.IntN(3)))
	for _, b := range s.upstreams {
		if b.standin.FailureDomain != domain {
			return domain
		}
	}
	return ""
}

// order sends an order to random control members until one acknowledges it or the context ends. It reports a violation if a member
// refuses the order.
func (s *soak) order(ctx context.Context, r *rand.Rand, domain string, withdraw bool) bool {
	addresses := s.controlAddresses()
	for ctx.Err() == nil {
		acknowledged, refusal := standin.Evacuate(ctx, addresses[r.IntN(len(addresses))], domain, withdraw)
		if refusal != "" {
			s.reportViolation("evacuation of failure domain %s, withdrawn %v: refused: %s", domain, withdraw, refusal)
		}
		if acknowledged || refusal != "" {
			return acknowledged
		}
		sleep(ctx, randomDuration(r, 20*time.Millisecond, 200*time.Millisecond))
	}
	return false
}

// orderEvacuations evacuates failure domains one after the other until faults ends, and withdraws each evacuation.
func (s *soak) orderEvacuations(faults, ctx context.Context) error {
	r := s.newRand(7)
	for faults.Err() == nil {
		if domain := s.spareDomain(r); domain != "" && s.order(ctx, r, domain, false) {
			sleep(faults, time.Duration(r.ExpFloat64()*float64(meanEvacuation)))
			s.order(ctx, r, domain, true)
		}
		sleep(faults, time.Duration(r.ExpFloat64()*float64(meanEvacuation)))
	}
	return nil
}

// checkEvacuation evacuates a failure domain after the last fault, and checks that its upstreams get no request after evacuationBound.
func (s *soak) checkEvacuation(ctx context.Context) {
	r := s.newRand(8)
	domain := s.spareDomain(r)
	if domain == "" || !s.order(ctx, r, domain, false) {
		return
	}
	sleep(ctx, evacuationBound)
	var caller standin.Caller
	defer caller.Close()
	for n := range evacuationCalls {
		call := standin.Call{ID: fmt.Sprintf("e%d-%d", s.options.Seed, n), Path: standin.SafePath, Key: permanentKey}
		response := caller.Do(s.entryProxies[n%len(s.entryProxies)].Address(), call)
		if response.Upstream != "" && s.failureDomain(response.Upstream) == domain {
			s.reportViolation("request %s: ran on %s, more than %v after its failure domain %s was evacuated", call.ID, response.Upstream, evacuationBound, domain)
		}
		caller.Close()
	}
	s.order(ctx, r, domain, true)
}
