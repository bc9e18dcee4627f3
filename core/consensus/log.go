package consensus

import (
	"fmt"
	"slices"

	"azuredoor.example/core/fleetpb"
)

// entryOverhead is the estimated encoded size in bytes of an entry without its data.
const entryOverhead = 24

// raftLog holds the log entries after index base.
type raftLog struct {
	// base and baseTerm are the index and term of the last dropped entry.
	base, baseTerm uint64
	entries        []*fleetpb.LogEntry
	// stable is the last index persisted by the driver.
	stable uint64
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if the log does not contain the entry.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns the entries with indexes in the closed interval [from, to].
func (l *raftLog) slice(from, to uint64) []*fleetpb.LogEntry {
	if from > to {
		return nil
	}
	return slices.Clone(l.entries[from-l.base-1 : to-l.base])
}

// batch returns the entries that start at index from, up to maxBytes in total. The first entry is included whatever its
// size.
func (l *raftLog) batch(from uint64, maxBytes int) []*fleetpb.LogEntry {
	size, to := 0, from-1
	for to < l.last() {
		size += entryOverhead + len(l.entries[to-l.base].Data)
		if size > maxBytes && to >= from {
			break
		}
		to++
	}
	return l.slice(from, to)
}

func (l *raftLog) append(entries ...*fleetpb.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entry at index and all later entries.
func (l *raftLog) truncate(index uint64) {
	clear(l.entries[index-l.base-1:])
	l.entries = l.entries[:index-l.base-1]
	l.stable = min(l.stable, index-1)
}

// compact drops the entries up to index.
func (l *raftLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, ok := l.term(index)
	if !ok {
		panic(fmt.Sprintf("compaction at index %d beyond the last index %d", index, l.last()))
	}
	// Copying allows the dropped entries to be garbage-collected.
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
	l.stable = max(l.stable, index)
}

// reset empties the log after the state has been replaced by a snapshot at index.
func (l *raftLog) reset(index, term uint64) {
	*l = raftLog{base: index, baseTerm: term, stable: index}
}

// findConflictByTerm returns the largest index up to the given index whose entry has at most the given term, and the
// term of that entry. The leader can thus skip a whole conflicting term per round trip (Ongaro 2014, section 3.5).
func (l *raftLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.base {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
		index--
	}
	t, _ := l.term(index)
	return index, t
}

// upToDate reports whether a log that ends with the given entry is at least as complete as this log.
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}
