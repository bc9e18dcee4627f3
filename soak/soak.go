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
	// revocationBound, propagationBound and recoveryBound are bounds of the platform.

	// After revocationBound, entries must refuse a withdrawn key.
	revocationBound = 5 * time.Second
	// After propagationBound, control members must return an acknowledged document.
	propagationBound = 2 * time.Second
	// Within recoveryBound of the last fault, the system must serve requests again.
	recoveryBound = 12 * time.Second
	// startTimeout limits the time until the whole system serves requests.
	startTimeout = 20 * time.Second
	// toleratedLosses is the number of control members that may be lost at the same time.
	toleratedLosses = 2
	// wipeInterval is the minimum time between losses of data at two control members.
	wipeInterval = 12 * time.Second
	// drainDuration is how long a draining upstream continues to serve requests.
	drainDuration = 2 * time.Second
	// announceTimeout limits the time in which an upstream announces that it is draining, drains and withdraws.
	announceTimeout = 4 * time.Second
	// maxAnnouncementDelay limits how long an upstream that leaves states so in its responses only.
	maxAnnouncementDelay = time.Second
	// meanDocumentInterval is the mean time between two documents.
	meanDocumentInterval = 700 * time.Millisecond
	// meanReadInterval is the mean time between two reads.
	meanReadInterval = 300 * time.Millisecond
	// meanFaultInterval is the mean time between the starts of two faults. Faults may overlap.
	meanFaultInterval = 500 * time.Millisecond
	// recoveryCalls is the number of requests in each round of measureServedShare.
	recoveryCalls = 200
	// evacuationBound is the bound of the platform after which an evacuated upstream gets no request.
	evacuationBound = 5 * time.Second
	// evacuationCalls is the number of requests that check an evacuation.
	evacuationCalls = 50
	// meanEvacuation is the mean time that a failure domain stays evacuated, and the mean time between two evacuations.
	meanEvacuation = time.Second
	// minServedShare is the share of these requests that must be served.
	minServedShare = 0.9
	// maxStreamEvents is the largest number of events in a streamed response. An upstream sends one event each 20 ms.
	maxStreamEvents = 120
	// permanentKey is an access key that every document contains.
	permanentKey = "key-of-all-documents"
)

// Options configure a soak.
type Options struct {
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Bin is the directory of the compiled programs, and Dir is the directory for data and logs.
	Bin, Dir                              string
	Controls, Entries, Upstreams, Callers int
	// LogFault is called with one line for each fault.
	LogFault func(line string)
}

// Report is the result of a soak.
type Report struct {
	// Violations describes each case in which the system broke a promise.
	Violations []string
	// Responses counts responses by path and status. Faults counts faults by kind.
	Responses, Faults map[string]int
	Documents         int
}

type soak struct {
	*system
	options   Options
	startTime time.Time
	// memberLosses limits the number of control members that are lost at the same time to toleratedLosses.
	memberLosses *semaphore.Weighted
	// wipeLock is held while a control member has lost data.
	wipeLock sync.Mutex

	mu     sync.Mutex
	report Report
	// promisedNotRun are the IDs of requests whose responses guarantee that the request has not run. atMostOnce are the IDs
	// of requests that must not run more than once.
	promisedNotRun, atMostOnce []string
	// revokedAt maps a withdrawn key to the time at which the document that withdraws it was acknowledged.
	revokedAt map[string]time.Time
	// sentAfterRevocation are the IDs of requests that were sent more than revocationBound after their key was withdrawn.
	sentAfterRevocation []string
	keys                []string
	// leftAt is when an entry process first forwarded a response of an upstream that leaves.
	leftAt map[departure]time.Time
	// acknowledged lists the acknowledged document versions in order.
	acknowledged []acknowledgement
}

// departure identifies an upstream that leaves and an entry process that has forwarded a response saying so.
type departure struct {
	entry    int
	start    int32
	upstream string
}

type acknowledgement struct {
	version int
	at      time.Time
}

// Run runs one soak. It returns an error if the soak could not be run. Violations that the soak found are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, eris.Wrap(err, "create the directory of the soak")
	}
	started, err := startSystem(o)
	s := &soak{
		system: started, options: o, startTime: time.Now(), memberLosses: semaphore.NewWeighted(toleratedLosses), revokedAt: map[string]time.Time{},
		leftAt: map[departure]time.Time{},
		report: Report{Responses: map[string]int{}, Faults: map[string]int{}}, keys: []string{permanentKey},
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
	if err := s.putFirstDocument(ctx); err != nil {
		return err
	}
	if served := s.measureServedShare(ctx, startTimeout); served < minServedShare {
		return eris.Errorf("before the first fault: %.2f of the requests were served, want at least %.2f", served, minServedShare)
	}
	s.startTime = time.Now()
	faultCtx, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	var group errgroup.Group
	callCtx, stopCalls := context.WithCancel(ctx)
	for i := range s.options.Callers {
		group.Go(func() error {
			s.sendRequests(callCtx, i)
			return nil
		})
	}
	group.Go(func() error { return s.updateDocuments(callCtx) })
	group.Go(func() error { return s.orderEvacuations(faultCtx, callCtx) })
	group.Go(func() error {
		s.checkReads(callCtx)
		return nil
	})
	err := s.injectFaults(faultCtx)
	if served := s.measureServedShare(ctx, recoveryBound); err == nil && served < minServedShare {
		s.reportViolation("%.2f of the requests were served within %v of the last fault, want at least %.2f", served, recoveryBound, minServedShare)
	}
	stopCalls()
	err = errors.Join(err, group.Wait())
	s.checkEvacuation(ctx)
	s.checkExecutions()
	s.checkFinalVersion(ctx)
	return err
}

// reportViolation adds a violation to the report, with the time since the start.
func (s *soak) reportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf("%.3f s: ", time.Since(s.startTime).Seconds())+fmt.Sprintf(format, args...))
}

// newRand returns the random source of one part of the soak, so that each part draws the same numbers for the same seed.
func (s *soak) newRand(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.options.Seed, part)) }

// injectFaults starts faults at random intervals until the context ends, and returns when all faults are over.
func (s *soak) injectFaults(ctx context.Context) error {
	r := s.newRand(1)
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	var group errgroup.Group
	for n := uint64(0); ctx.Err() == nil; n++ {
		remaining := r.IntN(total)
		k := faultKinds[0]
		for _, k = range faultKinds {
			if remaining -= k.weight; remaining < 0 {
				break
			}
		}
		faultRand := s.newRand(1000 + n)
		group.Go(func() error {
			return k.inject(ctx, s, faultRand, func(format string, args ...any) {
				s.mu.Lock()
				s.report.Faults[k.name]++
				s.mu.Unlock()
				s.options.LogFault(fmt.Sprintf("%7.3f s %s %s", time.Since(s.startTime).Seconds(), k.name, fmt.Sprintf(format, args...)))
			})
		})
		sleep(ctx, time.Duration(r.ExpFloat64()*float64(meanFaultInterval)))
	}
	return group.Wait()
}

// sendRequests sends requests one after the other until the context ends. It keeps its connection open until a request fails.
func (s *soak) sendRequests(ctx context.Context, number int) {
	r := s.newRand(2_000_000 + uint64(number))
	var caller standin.Caller
	defer caller.Close()
	entryProxy := r.IntN(len(s.entryProxies))
	for n := 0; ctx.Err() == nil; n++ {
		call := standin.Call{ID: fmt.Sprintf("c%d-%d-%d", s.options.Seed, number, n), Key: s.randomKey(r)}
		switch r.IntN(4) {
		case 0:
			call.Path = standin.SafePath
		case 1:
			call.Path, call.Events = standin.StreamPath, 1+r.IntN(maxStreamEvents)
		default:
			call.Path = standin.UnsafePath
		}
		start := s.entries[entryProxy].starts.Load()
		sent := time.Now()
		response := caller.Do(s.entryProxies[entryProxy].Address(), call)
		s.recordResponse(call, response, sent)
		s.checkDeparture(call, response, departure{entryProxy, start, response.Upstream}, sent)
		if !response.Complete || response.Status != http.StatusOK {
			entryProxy = r.IntN(len(s.entryProxies))
			caller.Close()
			sleep(ctx, randomDuration(r, 5*time.Millisecond, 100*time.Millisecond))
		}
	}
}

// randomKey returns permanentKey in most cases, and otherwise a key that may have been withdrawn.
func (s *soak) randomKey(r *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.IntN(4) > 0 {
		return permanentKey
	}
	return s.keys[r.IntN(len(s.keys))]
}

// recordResponse checks a response, counts it, and stores what checkExecutions checks at the end.
func (s *soak) recordResponse(call standin.Call, a standin.Response, sent time.Time) {
	if a.ContentError != "" {
		s.reportViolation("request %s: %s", call.ID, a.ContentError)
	}
	s.mu.Lock()
	name := fmt.Sprintf("%s %d", call.Path, a.Status)
	if a.Status == http.StatusOK && !a.Complete {
		name += " cut"
	}
	s.report.Responses[name]++
	if a.GuaranteesNotRun() {
		s.promisedNotRun = append(s.promisedNotRun, call.ID)
	}
	if call.Path == standin.UnsafePath {
		s.atMostOnce = append(s.atMostOnce, call.ID)
	}
	if at, withdrawn := s.revokedAt[call.Key]; withdrawn && sent.After(at.Add(revocationBound)) {
		s.sentAfterRevocation = append(s.sentAfterRevocation, call.ID)
	}
	s.mu.Unlock()
	if call.Key == permanentKey && a.Status >= 400 && a.Status < 500 && !a.GuaranteesNotRun() {
		s.reportViolation("request %s: got status %d, but every document allows the request", call.ID, a.Status)
	}
}

// checkDeparture checks that an entry process that has forwarded a response of an upstream that leaves sends it no later request.
func (s *soak) checkDeparture(call standin.Call, a standin.Response, d departure, sent time.Time) {
	s.mu.Lock()
	at, known := s.leftAt[d]
	if a.Leaving && !known {
		s.leftAt[d] = time.Now()
	}
	s.mu.Unlock()
	if known && sent.After(at) {
		s.reportViolation("request %s: entry-%d sent it to %s %v after it had forwarded that the upstream leaves", call.ID, d.entry+1, d.upstream, sent.Sub(at))
	}
}

// checkExecutions compares the executions at the upstreams with the responses that callers received.
func (s *soak) checkExecutions() {
	for _, id := range s.promisedNotRun {
		if run := s.journal.Run(id); run.Starts+run.Resumes > 0 {
			s.reportViolation("request %s: the response guarantees that it has not run, but it ran %d times", id, run.Starts+run.Resumes)
		}
	}
	for _, id := range s.atMostOnce {
		if run := s.journal.Run(id); run.Starts > 1 {
			s.reportViolation("request %s: ran %d times, want at most once", id, run.Starts)
		}
	}
	for _, id := range s.sentAfterRevocation {
		if run := s.journal.Run(id); run.Starts > 0 {
			s.reportViolation("request %s: ran although its key was withdrawn more than %v before it was sent", id, revocationBound)
		}
	}
}

// measureServedShare sends rounds of requests until minServedShare of a round is served or the timeout has passed. It returns
// the served share of the last round.
func (s *soak) measureServedShare(ctx context.Context, timeout time.Duration) float64 {
	r, share := s.newRand(3), 0.0
	for deadline, round := time.Now().Add(timeout), 0; ctx.Err() == nil; round++ {
		last := time.Now().After(deadline)
		var group errgroup.Group
		group.SetLimit(20)
		var mu sync.Mutex
		served := 0
		for n := range recoveryCalls {
			entryProxy := r.IntN(len(s.entryProxies))
			group.Go(func() error {
				var caller standin.Caller
				defer caller.Close()
				id := fmt.Sprintf("l%d-%d-%d-%d", s.options.Seed, timeout.Milliseconds(), round, n)
				a := caller.Do(s.entryProxies[entryProxy].Address(), standin.Call{ID: id, Path: standin.SafePath, Key: permanentKey})
				mu.Lock()
				defer mu.Unlock()
				if a.ContentError != "" {
					s.reportViolation("request %s: %s", id, a.ContentError)
				}
				if a.Complete && a.Status == http.StatusOK {
					served++
				}
				return nil
			})
		}
		_ = group.Wait()
		if share = float64(served) / recoveryCalls; share >= minServedShare || last {
			break
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return share
}
