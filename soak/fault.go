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

// fault acts until it is over and leaves everything running. It notes what it does.
type fault func(ctx context.Context, s *soak, r *rand.Rand, note func(format string, args ...any)) error

// kind is one kind of fault; its weight is how often it is drawn beside the others.
type kind struct {
	name   string
	weight int
	act    fault
}

// kinds lists the faults. Those of the control group take few members at once, because the group bears the loss of two.
var kinds = []kind{
	{"killEntry", 4, onEntry(func(_ *soak, m *machine) error { return m.process.Kill() }, 200*time.Millisecond, 2*time.Second)},
	{"stopEntry", 4, onEntry((*soak).stopInTime, 100*time.Millisecond, time.Second)},
	{"pauseEntry", 3, pause(func(s *soak) []*machine { return s.entries })},
	{"killControl", 4, onControl(false)},
	{"wipeControl", 1, onControl(true)},
	{"pauseControl", 3, pause(func(s *soak) []*machine { return s.controls })},
	{"killAll", 1, killAll},
	{"cutUpstream", 6, cutUpstream},
	{"replaceUpstream", 4, replaceUpstream},
	{"cutCallers", 3, cutCallers},
}

// between draws a duration.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// claim takes a machine that no other fault acts on. It returns nil when the one drawn is taken.
func claim(machines []*machine, r *rand.Rand) *machine {
	if m := machines[r.IntN(len(machines))]; m.busy.TryLock() {
		return m
	}
	return nil
}

// stopInTime asks a process to end and checks that it does within its grace period. One that has just started may end before
// it handles the signal.
func (s *soak) stopInTime(m *machine) error {
	if err := m.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-m.process.Done():
		return nil
	case <-time.After(grace + graceSlack):
	}
	s.broken("%s did not end within %v of the stop signal", m.name, grace+graceSlack)
	return m.process.Kill()
}

func onEntry(end func(s *soak, m *machine) error, low, high time.Duration) fault {
	return func(ctx context.Context, s *soak, r *rand.Rand, note func(string, ...any)) error {
		down := between(r, low, high)
		m := claim(s.entries, r)
		if m == nil {
			return nil
		}
		defer m.busy.Unlock()
		note("%s, down for %v", m.name, down)
		if err := end(s, m); err != nil {
			return err
		}
		sleep(ctx, down)
		return s.start(m)
	}
}

// onControl kills a member; with wipe it loses its disk, as a VM that is replaced at the same address.
func onControl(wipe bool) fault {
	return func(ctx context.Context, s *soak, r *rand.Rand, note func(string, ...any)) error {
		down := between(r, 200*time.Millisecond, 3*time.Second)
		if !s.spare.TryAcquire(1) {
			return nil
		}
		defer s.spare.Release(1)
		m := claim(s.controls, r)
		if m == nil {
			return nil
		}
		defer m.busy.Unlock()
		if wipe && !s.wiping.TryLock() {
			return nil
		}
		note("%s, down for %v, wiped %v", m.name, down, wipe)
		if err := m.process.Kill(); err != nil {
			return err
		}
		if wipe {
			defer func() {
				// The group takes the emptied member in again before another one may lose its disk. Until then it counts
				// among those that are away.
				sleep(ctx, wipeEvery)
				s.wiping.Unlock()
			}()
			if err := os.RemoveAll(filepath.Join(s.dir, "data-"+m.name[len("control-"):])); err != nil {
				return fmt.Errorf("wipe a disk: %w", err)
			}
		}
		sleep(ctx, down)
		return s.start(m)
	}
}

func pause(pick func(s *soak) []*machine) fault {
	return func(ctx context.Context, s *soak, r *rand.Rand, note func(string, ...any)) error {
		machines, down := pick(s), between(r, 300*time.Millisecond, 6*time.Second)
		if machines[0] == s.controls[0] {
			if !s.spare.TryAcquire(1) {
				return nil
			}
			defer s.spare.Release(1)
		}
		m := claim(machines, r)
		if m == nil {
			return nil
		}
		defer m.busy.Unlock()
		note("%s for %v", m.name, down)
		if err := m.process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		sleep(ctx, down)
		return m.process.Signal(syscall.SIGCONT)
	}
}

// killAll kills every process at once, as a loss of power.
func killAll(ctx context.Context, s *soak, r *rand.Rand, note func(string, ...any)) error {
	down := between(r, 300*time.Millisecond, 1500*time.Millisecond)
	var taken []*machine
	for _, m := range s.machines() {
		if m.busy.TryLock() {
			taken = append(taken, m)
			defer m.busy.Unlock()
		}
	}
	note("%d processes for %v", len(taken), down)
	var group errgroup.Group
	for _, m := range taken {
		group.Go(m.process.Kill)
	}
	if err := group.Wait(); err != nil {
		return err
	}
	sleep(ctx, down)
	for _, m := range taken {
		if err := s.start(m); err != nil {
			return err
		}
	}
	return nil
}

var networkFaults = []proxy.Fault{proxy.Silent, proxy.Refuse, proxy.Mute, proxy.Slow}

func cutUpstream(ctx context.Context, s *soak, r *rand.Rand, note func(string, ...any)) error {
	f, down, b := networkFaults[r.IntN(len(networkFaults))], between(r, 100*time.Millisecond, 3*time.Second), s.backEnds[r.IntN(len(s.backEnds))]
	if !b.busy.TryLock() {
		return nil
	}
	defer b.busy.Unlock()
	note("%s with fault %d for %v", b.self.ID, f, down)
	b.proxy.Set("", f)
	sleep(ctx, down)
	b.proxy.Set("", proxy.Pass)
	return nil
}

// replaceUpstream ends an upstream, with notice or without, and starts another one.
func replaceUpstream(ctx context.Context, s *soak, r *rand.Rand, note func(string, ...any)) error {
	b, notice := s.backEnds[r.IntN(len(s.backEnds))], r.IntN(2) == 0
	if !b.busy.TryLock() {
		return nil
	}
	defer b.busy.Unlock()
	note("%s, notice %v", b.self.ID, notice)
	if notice {
		leaving, cancel := context.WithTimeout(ctx, noticeTimeout)
		b.self.Leave(leaving)
		sleep(leaving, drainTime)
		b.self.Withdraw(leaving)
		cancel()
	}
	b.cancel()
	if err := b.proxy.Close(); err != nil {
		return err
	}
	return s.startBackEnd(b)
}

func cutCallers(ctx context.Context, s *soak, r *rand.Rand, note func(string, ...any)) error {
	n, f, down := r.IntN(len(s.doors)), networkFaults[r.IntN(len(networkFaults))], between(r, 100*time.Millisecond, 2*time.Second)
	note("entry-%d with fault %d for %v", n+1, f, down)
	s.doors[n].Set("", f)
	sleep(ctx, down)
	s.doors[n].Set("", proxy.Pass)
	return nil
}
