package server

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/fleetpb"
)

// percentile returns the duration at a quantile of list, in milliseconds. It sorts list.
func percentile(list []time.Duration, quantile float64) float64 {
	slices.Sort(list)
	return float64(list[int(float64(len(list)-1)*quantile)]) / float64(time.Millisecond)
}

// cpuTime returns the CPU time that this process has used. The process runs all members and clients.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkClaims measures claims in a group of three members in this process, for several numbers of concurrent callers.
// Each claim is one log entry that two members have synced to disk.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			group := newGroup(b, 3)
			client := dial(b, leaderOf(b, group))
			ctx := context.Background()
			stop := keepSessionsAlive(b, client, 1)
			defer stop()
			opened, err := client.OpenSession(ctx, &fleetpb.OpenSessionRequest{Name: "entry-0", Incarnation: 1})
			if err != nil {
				b.Fatal(err)
			}
			var mu sync.Mutex
			var latencies []time.Duration
			var running errgroup.Group
			work := make(chan int)
			b.ResetTimer()
			for range callers {
				running.Go(func() error {
					for i := range work {
						start := time.Now()
						got, err := client.Claim(ctx, &fleetpb.ClaimRequest{
							SessionId: opened.SessionId, Customer: "mill", IdempotencyKey: fmt.Sprint(b.N, "-", i),
							BodyHash: make([]byte, 32), RetentionSeconds: 60,
						})
						if err != nil || got.Outcome != fleetpb.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
							b.Error(got, err)
						}
						mu.Lock()
						latencies = append(latencies, time.Since(start))
						mu.Unlock()
					}
					return nil
				})
			}
			for i := range b.N {
				work <- i
			}
			close(work)
			_ = running.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(percentile(latencies, 0.5), "p50-ms")
			b.ReportMetric(percentile(latencies, 0.99), "p99-ms")
		})
	}
}

// keepSessionsAlive opens sessions and sends a keepalive for each session every 500 ms until stop is called.
func keepSessionsAlive(b *testing.B, client fleetpb.FleetClient, sessions int) (stop func()) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running errgroup.Group
	for i := range sessions {
		opened, err := client.OpenSession(ctx, &fleetpb.OpenSessionRequest{Name: fmt.Sprint("entry-", i), Incarnation: 1})
		if err != nil {
			b.Fatal(err)
		}
		running.Go(func() error {
			for ctx.Err() == nil {
				got, err := client.Keepalive(ctx, &fleetpb.KeepaliveRequest{SessionId: opened.SessionId})
				if ctx.Err() == nil && (err != nil || got.SessionEnded) {
					b.Error(got, err)
				}
				select {
				case <-time.After(500 * time.Millisecond):
				case <-ctx.Done():
				}
			}
			return nil
		})
	}
	return func() {
		cancel()
		_ = running.Wait()
	}
}

// BenchmarkKeepalives measures the CPU time of an idle group and of a group with 900 sessions, for the three members and
// the 900 clients together.
func BenchmarkKeepalives(b *testing.B) {
	const sessions, period = 900, 5 * time.Second
	group := newGroup(b, 3)
	client := dial(b, leaderOf(b, group))
	for b.Loop() {
		before := cpuTime(b)
		time.Sleep(period)
		idle := cpuTime(b) - before
		stop := keepSessionsAlive(b, client, sessions)
		time.Sleep(time.Second)
		before = cpuTime(b)
		time.Sleep(period)
		busy := cpuTime(b) - before
		stop()
		calls := float64(sessions) * 2 * period.Seconds()
		b.ReportMetric(float64(idle.Microseconds())/1e4/period.Seconds(), "idle-core-%")
		b.ReportMetric(float64(busy.Microseconds())/1e4/period.Seconds(), "busy-core-%")
		b.ReportMetric(float64((busy-idle).Microseconds())/calls, "us/keepalive")
	}
}

// BenchmarkRestart measures the time from the start of a member with 1,000 changes in its log until the member has applied
// all changes.
func BenchmarkRestart(b *testing.B) {
	snapshotEntries = 10_000
	defer func() { snapshotEntries = 50 }()
	group := newGroup(b, 3)
	for i := range 1000 {
		if code, body := group[0].call("POST", "/v1/apply", fmt.Sprint("r", i), customerChange(fmt.Sprint("c", i%100), 1+i%9, nil)); code != 200 {
			b.Fatal(code, body)
		}
	}
	for b.Loop() {
		b.StopTimer()
		group[1].shutDown()
		b.StartTimer()
		group[1].start()
		for group[1].server.state.Revision() < 1000 {
			time.Sleep(time.Millisecond)
		}
	}
}
