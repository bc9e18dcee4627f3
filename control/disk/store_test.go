package disk

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/consensus"
	"azuredoor.example/core/fleetpb"
)

// model lists the records that were passed to a store. The first durableRecords of them were acknowledged as synced.
type model struct {
	records        []proto.Message
	durableRecords int
}

// render formats the state that is stored after the first n records.
func (m *model) render(n int) string {
	stored := consensus.Stored{}
	for _, record := range m.records[:n] {
		snapshotIndex := stored.Snapshot.GetIndex()
		switch record := record.(type) {
		case *fleetpb.HardState:
			stored.HardState = record
		case *fleetpb.Membership:
			stored.Membership = record
		case *fleetpb.LogEntry:
			stored.Entries = append(slices.Clip(stored.Entries[:record.Index-snapshotIndex-1]), record)
		case *fleetpb.Snapshot:
			position := slices.IndexFunc(stored.Entries, func(e *fleetpb.LogEntry) bool {
				return e.Index == record.Index && e.Term == record.Term
			})
			if position < 0 {
				position = len(stored.Entries) - 1
			}
			stored.Entries, stored.Snapshot = stored.Entries[position+1:], record
		}
	}
	return render(stored)
}

// render formats a stored state for comparison: term, vote and commit index; index and term of the snapshot; number of
// members; index, term and size of each entry.
func render(stored consensus.Stored) string {
	text := fmt.Sprintf("%d/%d/%d %d/%d %d:",
		stored.HardState.GetTerm(), stored.HardState.GetVote(), stored.HardState.GetCommit(),
		stored.Snapshot.GetIndex(), stored.Snapshot.GetTerm(), len(stored.Membership.GetMembers()))
	for _, entry := range stored.Entries {
		text += fmt.Sprintf(" %d/%d/%d", entry.Index, entry.Term, len(entry.Data))
	}
	return text
}

// workload writes random batches, stops at the first error, and returns the model of the written records and the error.
func workload(fs *memoryFS, seed uint64) (*model, error) {
	random := rand.New(rand.NewPCG(seed, 2))
	m := &model{}
	s, _, _, err := Open(testOptions(fs))
	if err != nil {
		return m, err
	}
	members := &fleetpb.Membership{Members: []*fleetpb.Member{{Id: 1}}}
	m.records = append(m.records, members)
	if err := s.SaveMembership(members); err != nil {
		return m, err
	}
	m.durableRecords = len(m.records)
	var term, last, first uint64 = 1, 0, 1
	terms := map[uint64]uint64{}
	for range 25 {
		var ready consensus.Ready
		switch random.IntN(8) {
		case 0: // snapshot of the applied state
			if last >= first {
				index := first + random.Uint64N(last-first+1)
				snapshot := &fleetpb.Snapshot{Index: index, Term: terms[index], Data: []byte("state")}
				m.records = append(m.records, snapshot)
				if err := s.SaveSnapshot(snapshot); err != nil {
					return m, err
				}
				m.durableRecords, first = len(m.records), index+1
			}
			continue
		case 1: // snapshot from the leader
			term++
			// The log may hold other entries at and after the snapshot's index.
			last = first + random.Uint64N(last+3-first+1)
			ready.Snapshot = &fleetpb.Snapshot{Index: last, Term: term}
			first = last + 1
			m.records = append(m.records, ready.Snapshot)
		case 2: // replaced entries
			if last >= first {
				last = first - 1 + random.Uint64N(last-first+1)
				term++
			}
		}
		for range random.IntN(4) {
			last++
			terms[last] = term
			ready.Entries = append(ready.Entries, &fleetpb.LogEntry{Index: last, Term: term, Data: make([]byte, random.IntN(20))})
		}
		for _, entry := range ready.Entries {
			m.records = append(m.records, entry)
		}
		ready.HardState = &fleetpb.HardState{Term: term, Vote: random.Uint64N(3), Commit: first - 1}
		m.records = append(m.records, ready.HardState)
		ready.MustSync = ready.Snapshot != nil || len(ready.Entries) > 0 || random.IntN(2) == 0
		if err := s.Save(ready); err != nil {
			return m, err
		}
		if ready.MustSync {
			m.durableRecords = len(m.records)
		}
	}
	return m, s.Close()
}

func testOptions(fs FS) Options { return Options{Dir: "data/member", FS: fs, SegmentBytes: 300} }

// TestPowerFailure guards against the loss of acknowledged writes. It simulates a power failure at every operation, and
// for each failure a last segment that is torn at every unsynced byte.
func TestPowerFailure(t *testing.T) {
	crashes := 0
	for seed := range uint64(12) {
		full := newMemoryFS()
		if _, err := workload(full, seed); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for failAt := 1; failAt <= full.operations; failAt++ {
			fs := newMemoryFS()
			fs.failAt = failAt
			m, err := workload(fs, seed)
			if !errors.Is(err, errPowerFailure) {
				t.Fatalf("seed %d, operation %d: got error %v, want a power failure", seed, failAt, err)
			}
			allowed := map[string]bool{}
			for n := m.durableRecords; n <= len(m.records); n++ {
				allowed[m.render(n)] = true
			}
			unsynced := 0
			if file := fs.lastSegment(); file != nil {
				unsynced = len(file.data) - file.syncedBytes
			}
			for torn := range unsynced + 1 {
				crashes++
				random := rand.New(rand.NewPCG(seed, uint64(failAt*10000+torn)))
				after := fs.afterPowerFailure(random, func(name string, unsynced int) int {
					if strings.HasPrefix(filepath.Base(name), segmentPrefix) {
						return min(torn, unsynced)
					}
					return random.IntN(unsynced + 1)
				}, tearMode(torn)%tearModes)
				if !checkReopen(t, after, allowed) {
					t.Fatalf("seed %d, operation %d, torn at byte %d: stored state is wrong", seed, failAt, torn)
				}
			}
			if !checkRestart(t, fs, allowed) {
				t.Fatalf("seed %d, operation %d, restart without a power failure: stored state is wrong", seed, failAt)
			}
		}
	}
	t.Logf("%d power failures", crashes)
}

// checkRestart opens the store after a crash of the process without a power failure, and opens it again after a power
// failure. The state that Open returned first, possibly from the page cache, must be durable. checkRestart reports whether
// both states are as wanted.
func checkRestart(t *testing.T, fs *memoryFS, allowed map[string]bool) bool {
	fs.failAt = 0
	_, stored, _, err := Open(testOptions(fs))
	if err != nil || !allowed[render(stored)] {
		t.Errorf("got %q, error %v, want one of %v", render(stored), err, allowed)
		return false
	}
	after := fs.afterPowerFailure(rand.New(rand.NewPCG(1, 1)), func(string, int) int { return 0 }, tearTruncated)
	_, again, _, err := Open(testOptions(after))
	if err != nil || render(again) != render(stored) {
		t.Errorf("got %q after a power failure, error %v, want %q", render(again), err, render(stored))
		return false
	}
	return true
}

// TestMissingFile guards against a missing file that Open does not report although stored data is lost.
func TestMissingFile(t *testing.T) {
	for seed := range uint64(20) {
		fs := newMemoryFS()
		m, err := workload(fs, seed)
		if err != nil {
			t.Fatal(err)
		}
		for name := range fs.files {
			damaged := fs.afterPowerFailure(rand.New(rand.NewPCG(1, 1)), func(_ string, unsynced int) int { return unsynced }, tearTruncated)
			delete(damaged.files, name)
			_, stored, _, err := Open(testOptions(damaged))
			var damage *DamageError
			if !errors.As(err, &damage) && (err != nil || render(stored) != m.render(len(m.records))) {
				t.Errorf("seed %d without %s: got %q, error %v, want a DamageError", seed, name, render(stored), err)
			}
		}
	}
}

// checkReopen opens the store twice, with a write in between. It reports whether both states are as wanted.
func checkReopen(t *testing.T, fs *memoryFS, allowed map[string]bool) bool {
	s, stored, _, err := Open(testOptions(fs))
	if err != nil || !allowed[render(stored)] {
		t.Errorf("got %q, error %v, want one of %v", render(stored), err, allowed)
		return false
	}
	stored.Entries = append(stored.Entries, &fleetpb.LogEntry{Index: stored.Snapshot.GetIndex() + uint64(len(stored.Entries)) + 1, Term: 99})
	if err := s.Save(consensus.Ready{Entries: stored.Entries[len(stored.Entries)-1:], MustSync: true}); err != nil {
		t.Errorf("save after a power failure: %v", err)
		return false
	}
	_, again, _, err := Open(testOptions(fs))
	if err != nil || render(again) != render(stored) {
		t.Errorf("got %q after reopening, error %v, want %q", render(again), err, render(stored))
		return false
	}
	return true
}

// TestDamage guards against damaged records that Open ignores: Open must report each altered or missing byte of the
// synced data.
func TestDamage(t *testing.T) {
	for _, syncFileLost := range []bool{false, true} {
		fs := newMemoryFS()
		if _, err := workload(fs, 3); err != nil {
			t.Fatal(err)
		}
		lastBatchStart := 0
		if records, _, _ := scanRecords(fs.lastSegment().data); syncFileLost {
			lastBatchStart = int(records[len(records)-1].syncedBytes)
		}
		for name, file := range fs.files {
			base := filepath.Base(name)
			if base == syncFileName {
				continue
			}
			for offset := range file.data {
				if syncFileLost && file == fs.lastSegment() && offset >= lastBatchStart {
					break // cannot be distinguished from a torn tail
				}
				for _, truncated := range []bool{false, true} {
					damaged := fs.afterPowerFailure(rand.New(rand.NewPCG(1, 1)), func(_ string, unsynced int) int { return unsynced }, tearTruncated)
					if syncFileLost {
						delete(damaged.files, filepath.Join("data/member", syncFileName))
					}
					if data := damaged.files[name].data; truncated {
						damaged.files[name].data = data[:offset]
					} else {
						data[offset] ^= 0x20
					}
					_, stored, _, err := Open(testOptions(damaged))
					var damage *DamageError
					if syncFileLost && truncated && file == fs.lastSegment() {
						continue // a shorter last segment without later records cannot be distinguished from a torn tail
					}
					if base == identityFileName && !truncated && err == nil {
						continue // a changed digit or letter case of an ID is not detected
					}
					if !errors.As(err, &damage) {
						t.Fatalf("%s at byte %d, truncated %v, sync file lost %v: got %q, error %v, want a DamageError",
							base, offset, truncated, syncFileLost, render(stored), err)
					}
				}
			}
		}
	}
}
