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

// putFirst sends the first document until it is acknowledged.
func (s *soak) putFirst(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return s.put(ctx, s.source(4), 1, s.keys)
}

// put sends a document to one member after the other until one acknowledges it.
func (s *soak) put(ctx context.Context, r *rand.Rand, version int, keys []string) error {
	document, err := standin.Document(version, keys)
	if err != nil {
		return err
	}
	addresses := s.controlAddresses()
	for ctx.Err() == nil {
		acknowledged, refusal := standin.Put(ctx, addresses[r.IntN(len(addresses))], document)
		if acknowledged {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.report.Documents++
			s.acknowledged = append(s.acknowledged, acknowledgement{version, time.Now()})
			return nil
		}
		if refusal != "" {
			s.broken("version %d is valid and was refused: %s", version, refusal)
			return nil
		}
		sleep(ctx, between(r, 20*time.Millisecond, 200*time.Millisecond))
	}
	return eris.Wrapf(ctx.Err(), "version %d was not acknowledged", version)
}

// operate changes the keys in one document after the other.
func (s *soak) operate(ctx context.Context) error {
	r := s.source(5)
	for version := 2; ctx.Err() == nil; version += 1 + r.IntN(3) {
		s.mu.Lock()
		keys := append([]string{}, s.keys...)
		s.mu.Unlock()
		next := []string{firstKey, fmt.Sprintf("key-%d", version)}
		if len(keys) > 1 && r.IntN(2) == 0 {
			next = append(next, keys[len(keys)-1])
		}
		if err := s.put(ctx, r, version, next); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		s.mu.Lock()
		for _, key := range keys {
			if _, gone := s.revoked[key]; !gone && !slices.Contains(next, key) {
				s.revoked[key] = time.Now()
			}
		}
		s.keys = append(s.keys, next[1])
		s.mu.Unlock()
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(documentEvery)))
	}
	return nil
}

// read reads the version in force at random members.
func (s *soak) read(ctx context.Context) {
	r := s.source(6)
	for ctx.Err() == nil {
		addresses := s.controlAddresses()
		n := r.IntN(len(addresses))
		sent := time.Now()
		if version, ok := standin.Version(ctx, addresses[n]); ok {
			if want := s.newestBefore(sent.Add(-propagation)); version < want {
				s.broken("control-%d reads version %d, and %d was acknowledged more than %v before", n+1, version, want, propagation)
			}
		}
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(readEvery)))
	}
}

func (s *soak) newestBefore(at time.Time) int {
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

// checkLastRead checks that nothing acknowledged is lost once all processes run again.
func (s *soak) checkLastRead(ctx context.Context) {
	want := s.newestBefore(time.Now())
	for limit := time.Now().Add(recovery); time.Now().Before(limit); sleep(ctx, 100*time.Millisecond) {
		for _, address := range s.controlAddresses() {
			if version, ok := standin.Version(ctx, address); ok {
				if version < want {
					s.broken("the last read got version %d, want at least %d", version, want)
				}
				return
			}
		}
	}
	s.broken("no member tells the document in force %v after the last fault", recovery)
}
