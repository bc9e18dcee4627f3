package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/bench/proxy"
)

// fault injects one fault, waits until its duration is over, and restores the system. It logs its target with logf.
type fault func(ctx context.Context, s *soak, r *rand.Rand, logf func(format string, args ...any)) error

// faultKind is a kind of fault. Its weight sets the probability that it is chosen, relative to the other kinds.
type faultKind struct {
	name   string
	weight int
	inject fault
}

// faultKinds lists all kinds of faults. Faults of control members affect at most two members at once, because the control
// group tolerates the loss of two.
var faultKinds = []faultKind{
	{"killEntry", 4, entryFault(func(_ *soak, m *instance) error { return m.process.Kill() }, 200*time.Millisecond, 2*time.Second)},
	{"stopEntry", 4, entryFault((*soak).stopWithinGracePeriod, 100*time.Millisecond, time.Second)},
	{"pauseEntry", 3, pauseFault(func(s *soak) []*instance { return s.entries })},
	{"killControl", 4, controlFault(nil)},
	{"wipeControl", 1, controlFault(wipeFiles)},
	{"damageControl", 1, controlFault(damageFile)},
	{"pauseControl", 3, pauseFault(func(s *soak) []*instance { return s.controls })},
	{"killAll", 1, killAll},
	{"cutUpstream", 6, cutUpstream},
	{"replaceUpstream", 4, replaceUpstream},
	{"cutCallers", 3, cutCallers},
	{"refuseRequests", 3, refuseRequests},
}

// maxDamagedBytes is the largest number of bytes that damageFile changes.
const maxDamagedBytes = 64

// randomDuration returns a random duration in [low, high).
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// lockRandomInstance chooses a random instance and acquires its faultLock. It returns nil if another fault holds the lock.
func lockRandomInstance(instances []*instance, r *rand.Rand) *instance {
	if m := instances[r.IntN(len(instances))]; m.faultLock.TryLock() {
		return m
	}
	return nil
}

// stopWithinGracePeriod sends SIGTERM to an instance and reports a violation if the process does not exit within its grace
// period. A process that has just started may exit before it handles the signal.
func (s *soak) stopWithinGracePeriod(m *instance) error {
	if err := m.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-m.process.Done():
		return nil
	case <-time.After(gracePeriod + gracePeriodTolerance):
	}
	s.reportViolation("%s did not exit within %v of SIGTERM", m.name, gracePeriod+gracePeriodTolerance)
	return m.process.Kill()
}

// entryFault returns a fault that ends an entry process with end and restarts it after a random time between low and high.
func entryFault(end func(s *soak, m *instance) error, low, high time.Duration) fault {
	return func(ctx context.Context, s *soak, r *rand.Rand, logf func(string, ...any)) error {
		downtime := randomDuration(r, low, high)
		m := lockRandomInstance(s.entries, r)
		if m == nil {
			return nil
		}
		defer m.faultLock.Unlock()
		logf("%s, down for %v", m.name, downtime)
		if err := end(s, m); err != nil {
			return err
		}
		sleep(ctx, downtime)
		return s.start(m)
	}
}

// controlFault returns a fault that kills a control member and restarts it. If lose is set, it changes the member's data directory
// before the restart.
func controlFault(lose func(dir string, r *rand.Rand) (string, error)) fault {
	return func(ctx context.Context, s *soak, r *rand.Rand, logf func(string, ...any)) error {
		downtime := randomDuration(r, 200*time.Millisecond, 3*time.Second)
		if !s.memberLosses.TryAcquire(1) {
			return nil
		}
		defer s.memberLosses.Release(1)
		m := lockRandomInstance(s.controls, r)
		if m == nil {
			return nil
		}
		defer m.faultLock.Unlock()
		if lose != nil && !s.wipeLock.TryLock() {
			return nil
		}
		if err := m.process.Kill(); err != nil {
			return err
		}
		lost := "nothing"
		if lose != nil {
			defer func() {
				// The group needs time to readmit the member before another member may lose its data. Until then, the member
				// counts as lost.
				sleep(ctx, wipeInterval)
				s.wipeLock.Unlock()
			}()
			var err error
			if lost, err = lose(filepath.Join(s.dir, "data-"+m.name[len("control-"):]), r); err != nil {
				return err
			}
		}
		logf("%s, down for %v, lost %s", m.name, downtime, lost)
		sleep(ctx, downtime)
		return s.start(m)
	}
}

// wipeFiles removes a data directory, as if the VM was replaced at the same address.
func wipeFiles(dir string, _ *rand.Rand) (string, error) {
	if err := os.RemoveAll(dir); err != nil {
		return "", fmt.Errorf("remove the data directory: %w", err)
	}
	return "all files", nil
}

// damageFile changes some bytes in a random file of a data directory.
func damageFile(dir string, r *rand.Rand) (string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return "", fmt.Errorf("list the data directory: %w", err)
	}
	for _, i := range r.Perm(len(entries)) {
		name := filepath.Join(dir, entries[i].Name())
		data, err := os.ReadFile(name)
		if err != nil || len(data) == 0 {
			// Directories and the empty lock file hold no data.
			continue
		}
		from := r.IntN(len(data))
		damaged := data[from:min(len(data), from+1+r.IntN(maxDamagedBytes))]
		for n := range damaged {
			damaged[n] ^= byte(1 + r.IntN(255))
		}
		if err := os.WriteFile(name, data, 0o600); err != nil {
			return "", fmt.Errorf("damage a file: %w", err)
		}
		return fmt.Sprintf("%d of %d bytes of %s from %d", len(damaged), len(data), entries[i].Name(), from), nil
	}
	return "no file", nil
}

// pauseFault returns a fault that stops the process of a random instance with SIGSTOP and continues it later.
func pauseFault(pick func(s *soak) []*instance) fault {
	return func(ctx context.Context, s *soak, r *rand.Rand, logf func(string, ...any)) error {
		instances, downtime := pick(s), randomDuration(r, 300*time.Millisecond, 6*time.Second)
		if instances[0] == s.controls[0] {
			if !s.memberLosses.TryAcquire(1) {
				return nil
			}
			defer s.memberLosses.Release(1)
		}
		m := lockRandomInstance(instances, r)
		if m == nil {
			return nil
		}
		defer m.faultLock.Unlock()
		logf("%s for %v", m.name, downtime)
		if err := m.process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		sleep(ctx, downtime)
		return m.process.Signal(syscall.SIGCONT)
	}
}

// killAll kills all processes at once, as a power failure does.
func killAll(ctx context.Context, s *soak, r *rand.Rand, logf func(string, ...any)) error {
	downtime := randomDuration(r, 300*time.Millisecond, 1500*time.Millisecond)
	var locked []*instance
	for _, m := range s.instances() {
		if m.faultLock.TryLock() {
			locked = append(locked, m)
			defer m.faultLock.Unlock()
		}
	}
	logf("%d processes for %v", len(locked), downtime)
	var group errgroup.Group
	for _, m := range locked {
		group.Go(m.process.Kill)
	}
	if err := group.Wait(); err != nil {
		return err
	}
	sleep(ctx, downtime)
	for _, m := range locked {
		if err := s.start(m); err != nil {
			return err
		}
	}
	return nil
}

// networkFaults are the proxy faults that cutUpstream and cutCallers choose from.
var networkFaults = []proxy.Fault{proxy.Stall, proxy.Refuse, proxy.BlockResponses, proxy.Slow}

// cutUpstream injects a network fault between the entries and a random upstream.
func cutUpstream(ctx context.Context, s *soak, r *rand.Rand, logf func(string, ...any)) error {
	f, downtime, b := networkFaults[r.IntN(len(networkFaults))], randomDuration(r, 100*time.Millisecond, 3*time.Second), s.upstreams[r.IntN(len(s.upstreams))]
	if !b.faultLock.TryLock() {
		return nil
	}
	defer b.faultLock.Unlock()
	logf("%s with fault %d for %v", b.standin.ID, f, downtime)
	b.proxy.SetFault("", f)
	sleep(ctx, downtime)
	b.proxy.SetFault("", proxy.Pass)
	return nil
}

// replaceUpstream stops a random upstream and starts a new one in its place. In half of the cases the upstream states in its
// responses that it leaves, announces some time later that it is draining, and withdraws before it stops; in the other half it
// stops without notice.
func replaceUpstream(ctx context.Context, s *soak, r *rand.Rand, logf func(string, ...any)) error {
	b, notice, silence := s.upstreams[r.IntN(len(s.upstreams))], r.IntN(2) == 0, randomDuration(r, 0, maxAnnouncementDelay)
	if !b.faultLock.TryLock() {
		return nil
	}
	defer b.faultLock.Unlock()
	logf("%s, notice %v", b.standin.ID, notice)
	if notice {
		drainCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		b.standin.Leave()
		sleep(drainCtx, silence)
		b.standin.AnnounceDraining(drainCtx)
		sleep(drainCtx, drainDuration)
		b.standin.Withdraw(drainCtx)
		cancel()
	}
	b.cancel()
	if err := b.proxy.Close(); err != nil {
		return err
	}
	return s.startUpstream(b)
}

// refuseRequests makes a random upstream refuse requests and state for how long.
func refuseRequests(ctx context.Context, s *soak, r *rand.Rand, logf func(string, ...any)) error {
	pause, b := randomDuration(r, 200*time.Millisecond, 3*time.Second), s.upstreams[r.IntN(len(s.upstreams))]
	if !b.faultLock.TryLock() {
		return nil
	}
	defer b.faultLock.Unlock()
	logf("%s for %v", b.standin.ID, pause)
	b.standin.Refuse(pause)
	sleep(ctx, pause)
	return nil
}

// cutCallers injects a network fault between callers and a random entry.
func cutCallers(ctx context.Context, s *soak, r *rand.Rand, logf func(string, ...any)) error {
	n, f, downtime := r.IntN(len(s.entryProxies)), networkFaults[r.IntN(len(networkFaults))], randomDuration(r, 100*time.Millisecond, 2*time.Second)
	logf("entry-%d with fault %d for %v", n+1, f, downtime)
	s.entryProxies[n].SetFault("", f)
	sleep(ctx, downtime)
	s.entryProxies[n].SetFault("", proxy.Pass)
	return nil
}
