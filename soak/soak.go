package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"azuredoor.example/platform/standin"
)

const (
	// revocation is the time after which a withdrawn key must not work, propagation the one after which an acknowledged
	// document must be read back, recovery the one in which service comes back after the last fault. They are the
	// platform's bounds.
	revocation  = 5 * time.Second
	propagation = 2 * time.Second
	recovery    = 12 * time.Second
	// startTimeout bounds the start of the whole system.
	startTimeout = 20 * time.Second
	// tolerated is how many members of the control group may be away at once, wipeEvery the time between two lost disks.
	tolerated = 2
	wipeEvery = 12 * time.Second
	// drainTime is how long a leaving upstream goes on, noticeTimeout how long it tries to tell that.
	drainTime     = 2 * time.Second
	noticeTimeout = 4 * time.Second
	// documentEvery is the mean time between two documents, readEvery that between two reads.
	documentEvery = 700 * time.Millisecond
	readEvery     = 300 * time.Millisecond
	// faultEvery is the mean time between the starts of two faults, which overlap.
	faultEvery = 500 * time.Millisecond
	// lastCalls is the number of requests that show whether service came back, servedShare the part that must be served.
	lastCalls   = 200
	servedShare = 0.9
	// lastStream is the largest number of events of a stream; an event takes 20 ms.
	lastStream = 120
	// firstKey holds in all documents.
	firstKey = "key-of-all-documents"
)

// Options configure a soak.
type Options struct {
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Bin is the folder with the programs, Dir the one for data and logs.
	Bin, Dir                              string
	Controls, Entries, Upstreams, Callers int
	// Note takes one line for each fault.
	Note func(line string)
}

// Report is what a soak saw.
type Report struct {
	// Broken lists broken promises.
	Broken []string
	// Calls counts the answers by kind, Faults the faults by kind.
	Calls, Faults map[string]int
	Documents     int
}

type soak struct {
	*system
	options Options
	began   time.Time
	// spare counts members of the control group that may be taken away, wiping is held while one has lost its disk.
	spare  *semaphore.Weighted
	wiping sync.Mutex

	mu     sync.Mutex
	report Report
	// promised are requests whose answers promise that they have not run, once those that may run once at most.
	promised, once []string
	// revoked is when a document without a key was acknowledged.
	revoked map[string]time.Time
	// late are requests that were sent with a key too long after it was withdrawn.
	late []string
	keys []string
	// acknowledged are the versions that were acknowledged, in order, and when.
	acknowledged []acknowledgement
}

type acknowledgement struct {
	version int
	at      time.Time
}

// Run runs one soak. The error says that it could not be run; what it found is in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, eris.Wrap(err, "make the folder of the soak")
	}
	started, err := startSystem(o)
	s := &soak{
		system: started, options: o, began: time.Now(), spare: semaphore.NewWeighted(tolerated), revoked: map[string]time.Time{},
		report: Report{Calls: map[string]int{}, Faults: map[string]int{}}, keys: []string{firstKey},
	}
	if err == nil {
		err = s.run(ctx)
	}
	if started != nil {
		err = errors.Join(err, started.stop())
	}
	return &s.report, err
}

func (s *soak) run(ctx context.Context) error {
	if err := s.putFirst(ctx); err != nil {
		return err
	}
	if served := s.served(ctx, startTimeout); served < servedShare {
		return eris.Errorf("%.2f of the requests are served before the first fault, want %.2f", served, servedShare)
	}
	s.began = time.Now()
	soaking, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	var load errgroup.Group
	calling, stopCalling := context.WithCancel(ctx)
	for i := range s.options.Callers {
		load.Go(func() error {
			s.call(calling, i)
			return nil
		})
	}
	load.Go(func() error { return s.operate(calling) })
	load.Go(func() error {
		s.read(calling)
		return nil
	})
	err := s.injectFaults(soaking)
	if served := s.served(ctx, recovery); err == nil && served < servedShare {
		s.broken("%.2f of the requests are served %v after the last fault, want %.2f", served, recovery, servedShare)
	}
	stopCalling()
	err = errors.Join(err, load.Wait())
	s.checkRuns()
	s.checkLastRead(ctx)
	return err
}

func (s *soak) broken(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Broken = append(s.report.Broken, fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// source returns the random numbers of one part of the soak.
func (s *soak) source(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.options.Seed, part)) }

// injectFaults starts faults until the context ends, and returns when all are over.
func (s *soak) injectFaults(ctx context.Context) error {
	r := s.source(1)
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	var group errgroup.Group
	for n := uint64(0); ctx.Err() == nil; n++ {
		pick := r.IntN(total)
		k := kinds[0]
		for _, k = range kinds {
			if pick -= k.weight; pick < 0 {
				break
			}
		}
		own := s.source(1000 + n)
		group.Go(func() error {
			return k.act(ctx, s, own, func(format string, args ...any) {
				s.mu.Lock()
				s.report.Faults[k.name]++
				s.mu.Unlock()
				s.options.Note(fmt.Sprintf("%7.3f s %s %s", time.Since(s.began).Seconds(), k.name, fmt.Sprintf(format, args...)))
			})
		})
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(faultEvery)))
	}
	return group.Wait()
}

// call sends requests one after the other, on one connection as long as that is open.
func (s *soak) call(ctx context.Context, number int) {
	r := s.source(2_000_000 + uint64(number))
	var caller standin.Caller
	defer caller.Close()
	door := r.IntN(len(s.doors))
	for n := 0; ctx.Err() == nil; n++ {
		call := standin.Call{ID: fmt.Sprintf("c%d-%d-%d", s.options.Seed, number, n), Key: s.key(r)}
		switch r.IntN(4) {
		case 0:
			call.Path = standin.SafePath
		case 1:
			call.Path, call.Events = standin.StreamPath, 1+r.IntN(lastStream)
		default:
			call.Path = standin.UnsafePath
		}
		sent := time.Now()
		answer := caller.Do(s.doors[door].Address(), call)
		s.check(call, answer, sent)
		if !answer.Whole || answer.Status != http.StatusOK {
			door = r.IntN(len(s.doors))
			caller.Close()
			sleep(ctx, between(r, 5*time.Millisecond, 100*time.Millisecond))
		}
	}
}

// key draws a key: most callers have the one that always holds, some one that may have been withdrawn.
func (s *soak) key(r *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.IntN(4) > 0 {
		return firstKey
	}
	return s.keys[r.IntN(len(s.keys))]
}

// check notes an answer and what is to be checked once all has ended.
func (s *soak) check(call standin.Call, a standin.Answer, sent time.Time) {
	if a.Wrong != "" {
		s.broken("request %s: %s", call.ID, a.Wrong)
	}
	s.mu.Lock()
	name := fmt.Sprintf("%s %d", call.Path, a.Status)
	if a.Status == http.StatusOK && !a.Whole {
		name += " cut"
	}
	s.report.Calls[name]++
	if a.Promises() {
		s.promised = append(s.promised, call.ID)
	}
	if call.Path == standin.UnsafePath {
		s.once = append(s.once, call.ID)
	}
	if at, gone := s.revoked[call.Key]; gone && sent.After(at.Add(revocation)) {
		s.late = append(s.late, call.ID)
	}
	s.mu.Unlock()
	if call.Key == firstKey && a.Status >= 400 && a.Status < 500 && !a.Promises() {
		s.broken("request %s: status %d for a request that each document allows", call.ID, a.Status)
	}
}

// checkRuns compares what upstreams ran with what callers were told.
func (s *soak) checkRuns() {
	for _, id := range s.promised {
		if run := s.journal.Run(id); run.Times+run.Resumed > 0 {
			s.broken("request %s: the answer promises that it has not run, and it ran %d times", id, run.Times+run.Resumed)
		}
	}
	for _, id := range s.once {
		if run := s.journal.Run(id); run.Times > 1 {
			s.broken("request %s: ran %d times, want at most once", id, run.Times)
		}
	}
	for _, id := range s.late {
		if run := s.journal.Run(id); run.Times > 0 {
			s.broken("request %s: ran with a key that was withdrawn more than %v before", id, revocation)
		}
	}
}

// served returns the part of requests that are served, as soon as enough are or the time is over.
func (s *soak) served(ctx context.Context, within time.Duration) float64 {
	r, share := s.source(3), 0.0
	for limit, round := time.Now().Add(within), 0; ctx.Err() == nil; round++ {
		last := time.Now().After(limit)
		var group errgroup.Group
		group.SetLimit(20)
		var mu sync.Mutex
		whole := 0
		for n := range lastCalls {
			door := r.IntN(len(s.doors))
			group.Go(func() error {
				var caller standin.Caller
				defer caller.Close()
				id := fmt.Sprintf("l%d-%d-%d-%d", s.options.Seed, within.Milliseconds(), round, n)
				a := caller.Do(s.doors[door].Address(), standin.Call{ID: id, Path: standin.SafePath, Key: firstKey})
				mu.Lock()
				defer mu.Unlock()
				if a.Wrong != "" {
					s.broken("request %s: %s", id, a.Wrong)
				}
				if a.Whole && a.Status == http.StatusOK {
					whole++
				}
				return nil
			})
		}
		_ = group.Wait()
		if share = float64(whole) / lastCalls; share >= servedShare || last {
			break
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return share
}
