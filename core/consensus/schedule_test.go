package consensus

import (
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

// TestSchedules checks the Raft invariants and linearizability under random schedules of message loss,
// duplication, reordering, crashes, partitions, membership changes, snapshots and leadership transfers.
// AZUREDOOR_SEED selects a single schedule; AZUREDOOR_SCHEDULES sets the number of schedules.
func TestSchedules(t *testing.T) {
	if text := os.Getenv("AZUREDOOR_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		runSchedule(t, seed)
		return
	}
	schedules := uint64(2000)
	if text := os.Getenv("AZUREDOOR_SCHEDULES"); text != "" {
		var err error
		if schedules, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	var next atomic.Uint64
	for shard := range 10 {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			for seed := next.Add(1); seed <= schedules && !t.Failed(); seed = next.Add(1) {
				runSchedule(t, seed)
			}
		})
	}
}

func runSchedule(t *testing.T, seed uint64) {
	defer func() {
		if cause := recover(); cause != nil {
			t.Errorf("seed %d: panic: %v; repeat with AZUREDOOR_SEED=%d go test -run TestSchedules ./consensus", seed, cause, seed)
			if os.Getenv("AZUREDOOR_SEED") != "" {
				panic(cause)
			}
		}
	}()
	if err := newSim(seed).run(); err != nil {
		t.Errorf("seed %d: %v; repeat with AZUREDOOR_SEED=%d go test -run TestSchedules ./consensus", seed, err, seed)
	}
}
