package disk

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"azuredoor.example/core/consensus"
	"azuredoor.example/core/fleetpb"
)

// TestFailedSyncIsFinal guards against writes after a failed sync, which leaves the contents of the disk unknown.
func TestFailedSyncIsFinal(t *testing.T) {
	fs := newMemoryFS()
	s, _, _, err := Open(testOptions(fs))
	if err != nil {
		t.Fatal(err)
	}
	fs.syncError = errors.New("no space left on device")
	ready := consensus.Ready{Entries: []*fleetpb.LogEntry{{Index: 1, Term: 1}}, MustSync: true}
	if err := s.Save(ready); !errors.Is(err, fs.syncError) {
		t.Errorf("got error %v, want the sync error", err)
	}
	want := fs.syncError
	fs.syncError = nil
	if err := s.Save(ready); !errors.Is(err, want) {
		t.Errorf("got error %v on the next call, want the first error", err)
	}
}

// TestOpenLockAndSetAside runs on the real file system. It guards against two processes that use one data directory, an
// identity that changes on reopening, and a damaged directory that cannot be replaced.
func TestOpenLockAndSetAside(t *testing.T) {
	options := Options{Dir: filepath.Join(t.TempDir(), "member"), Group: 7}
	s, _, first, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(options); err == nil {
		t.Error("opened a locked data directory, want an error")
	}
	if err := s.Save(consensus.Ready{Entries: []*fleetpb.LogEntry{{Index: 1, Term: 1}}, MustSync: true}); err != nil {
		t.Fatal(err)
	}
	if err := s.SaveSnapshot(&fleetpb.Snapshot{Index: 1, Term: 1, Data: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, stored, second, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	if !first.Created || second.Created || second.Member != first.Member || second.Group != 7 {
		t.Errorf("got identity %+v after reopening, want member and group of %+v, with Created set only by the first Open",
			second, first)
	}
	if stored.Snapshot.GetIndex() != 1 || len(stored.Entries) != 0 {
		t.Errorf("got %s, want only the snapshot", render(stored))
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(options.Dir, snapshotName(1))
	if err := os.WriteFile(name, []byte("y"), 0o600); err != nil {
		t.Fatal(err)
	}
	var damage *DamageError
	if _, _, _, err := Open(options); !errors.As(err, &damage) {
		t.Fatalf("got error %v, want a DamageError", err)
	}
	if err := SetAside(options); err != nil {
		t.Fatal(err)
	}
	s, stored, third, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	if third.Member == first.Member || !third.Created || stored.Snapshot != nil {
		t.Errorf("got identity %+v after the damage, want a new one", third)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// FuzzScan guards against a parser that panics, reads out of bounds or accepts a record with a wrong checksum.
func FuzzScan(f *testing.F) {
	var log []byte
	for i := range uint64(3) {
		var err error
		if log, err = appendRecord(log, typeEntry, uint32(len(log)),
			&fleetpb.LogEntry{Index: i, Term: 1, Data: []byte("data")}); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(log)
	f.Add(log[:len(log)-3])
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0}, 40))
	f.Add(append(bytes.Repeat([]byte{0xff}, 9), log...))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, end, synced := scanRecords(data)
		if end > len(data) || synced > len(data) {
			t.Fatalf("got end %d and synced %d, want at most %d bytes", end, synced, len(data))
		}
		size := 0
		for _, r := range records {
			if checksum(data[size:size+r.size()]) != checksum(append(data[size:size+recordHeaderBytes:size+recordHeaderBytes], r.payload...)) {
				t.Fatalf("record at %d does not match its checksum", size)
			}
			size += r.size()
		}
		if size != end {
			t.Fatalf("got %d bytes of records, want %d", size, end)
		}
	})
}

// BenchmarkOpen measures the time to open a store and its size on disk for several numbers of entries of 200 bytes, with
// no snapshots and with a snapshot of 100 kB every 1,000 entries.
func BenchmarkOpen(b *testing.B) {
	for _, snapshotInterval := range []int{0, 1000} {
		for _, length := range []int{1000, 10000, 100000} {
			b.Run(fmt.Sprintf("entries=%d/snapshotEvery=%d", length, snapshotInterval), func(b *testing.B) {
				options := Options{Dir: b.TempDir()}
				s, _, _, err := Open(options)
				if err != nil {
					b.Fatal(err)
				}
				for index := 1; index <= length; index++ {
					entry := &fleetpb.LogEntry{Index: uint64(index), Term: 1, Data: make([]byte, 200)}
					if err := s.Save(consensus.Ready{Entries: []*fleetpb.LogEntry{entry}}); err != nil {
						b.Fatal(err)
					}
					if snapshotInterval > 0 && index%snapshotInterval == 0 && index < length {
						if err := s.SaveSnapshot(&fleetpb.Snapshot{Index: uint64(index), Term: 1, Data: make([]byte, 100_000)}); err != nil {
							b.Fatal(err)
						}
					}
				}
				if err := s.Close(); err != nil {
					b.Fatal(err)
				}
				size := int64(0)
				names, err := OS{}.ReadDir(options.Dir)
				if err != nil {
					b.Fatal(err)
				}
				for _, name := range names {
					info, err := os.Stat(filepath.Join(options.Dir, name))
					if err != nil {
						b.Fatal(err)
					}
					size += info.Size()
				}
				for b.Loop() {
					s, _, _, err := Open(options)
					if err != nil {
						b.Fatal(err)
					}
					if err := s.Close(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}
