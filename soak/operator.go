package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"azuredoor.example/platform/standin"
)

// putFirstDocument sends the first document until a control member acknowledges it.
func (s *soak) putFirstDocument(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return s.putDocument(ctx, s.newRand(4), 1, s.keys)
}

// putDocument sends a document to random control members until one of them acknowledges it. It reports a violation if a member
// refuses the document.
func (s *soak) putDocument(ctx context.Context, r *rand.Rand, version int, keys []string) error {
	document, err := standin.Document(version, keys)
	if err != nil {
		return err
	}
	addresses := s.controlAddresses()
	for ctx.Err() == nil {
		acknowledged, refusal := standin.PutDocument(ctx, addresses[r.IntN(len(addresses))], document)
		if acknowledged {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.report.Documents++
			s.acknowledged = append(s.acknowledged, acknowledgement{version, time.Now()})
			return nil
		}
		if refusal != "" {
			s.reportViolation("valid document version %d was refused: %s", version, refusal)
			return nil
		}
		sleep(ctx, randomDuration(r, 20*time.Millisecond, 200*time.Millisecond))
	}
	return eris.Wrapf(ctx.Err(), "document version %d was not acknowledged", version)
}

// updateDocuments sends new document versions until the context ends. Each version adds a key and withdraws all earlier
// ones except permanentKey and, at random, the newest.
func (s *soak) updateDocuments(ctx context.Context) error {
	r := s.newRand(5)
	for version := 2; ctx.Err() == nil; version += 1 + r.IntN(3) {
		s.mu.Lock()
		keys := append([]string{}, s.keys...)
		s.mu.Unlock()
		newKeys := []string{permanentKey, fmt.Sprintf("key-%d", version)}
		if len(keys) > 1 && r.IntN(2) == 0 {
			newKeys = append(newKeys, keys[len(keys)-1])
		}
		if err := s.putDocument(ctx, r, version, newKeys); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		s.mu.Lock()
		for _, key := range keys {
			if _, withdrawn := s.revokedAt[key]; !withdrawn && !slices.Contains(newKeys, key) {
				s.revokedAt[key] = time.Now()
			}
		}
		s.keys = append(s.keys, newKeys[1])
		s.mu.Unlock()
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(meanDocumentInterval)))
	}
	return nil
}

// checkReads reads the document version at random control members and reports a violation if a member returns a version that
// is older than the propagation bound allows.
func (s *soak) checkReads(ctx context.Context) {
	r := s.newRand(6)
	for ctx.Err() == nil {
		addresses := s.controlAddresses()
		n := r.IntN(len(addresses))
		sent := time.Now()
		if version, ok := standin.ReadVersion(ctx, addresses[n]); ok {
			if want := s.newestAcknowledgedBefore(sent.Add(-propagationBound)); version < want {
				s.reportViolation("control-%d returned version %d, but version %d was acknowledged more than %v before", n+1, version, want, propagationBound)
			}
		}
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(meanReadInterval)))
	}
}

// newestAcknowledgedBefore returns the newest version that was acknowledged before a point in time, or 0.
func (s *soak) newestAcknowledgedBefore(at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := 0
	for _, a := range s.acknowledged {
		if a.at.Before(at) {
			newest = max(newest, a.version)
		}
	}
	return newest
}

// checkFinalVersion checks that no acknowledged document is lost once all processes run again.
func (s *soak) checkFinalVersion(ctx context.Context) {
	want := s.newestAcknowledgedBefore(time.Now())
	for deadline := time.Now().Add(recoveryBound); time.Now().Before(deadline); sleep(ctx, 100*time.Millisecond) {
		for _, address := range s.controlAddresses() {
			if version, ok := standin.ReadVersion(ctx, address); ok {
				if version < want {
					s.reportViolation("final read: got version %d, want at least %d", version, want)
				}
				return
			}
		}
	}
	s.reportViolation("no control member returned its document version within %v of the last fault", recoveryBound)
}
