package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"azuredoor.example/core/consensus"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

const (
	identityFileName = "identity.json"
	lockFileName     = "lock"
	syncFileName     = "synced"
	segmentPrefix    = "wal-"
	segmentSuffix    = ".log"
	snapshotPrefix   = "snapshot-"
	snapshotSuffix   = ".bin"
)

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, number, segmentSuffix)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix)
}

// fileNumbers returns the hexadecimal numbers in the names that have the prefix and the suffix, in the order of the names.
func fileNumbers(names []string, prefix, suffix string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		var number uint64
		if middle, ok := strings.CutPrefix(name, prefix); ok && strings.HasSuffix(middle, suffix) {
			if _, err := fmt.Sscanf(strings.TrimSuffix(middle, suffix), "%x", &number); err == nil {
				numbers = append(numbers, number)
			}
		}
	}
	return numbers
}

// load reads the newest snapshot and all segments. It truncates a torn tail of the last segment.
func (s *Store) load(names []string) (consensus.Stored, error) {
	stored := consensus.Stored{}
	if snapshots := fileNumbers(names, snapshotPrefix, snapshotSuffix); len(snapshots) > 0 {
		snapshot, err := s.loadSnapshot(snapshotName(snapshots[len(snapshots)-1]))
		if err != nil {
			return stored, err
		}
		stored.Snapshot = snapshot
	}
	segments := fileNumbers(names, segmentPrefix, segmentSuffix)
	lastSync, err := s.readSyncPosition()
	if err != nil {
		return stored, err
	}
	replay := replayer{stored: &stored}
	for i, number := range segments {
		if i > 0 && number != segments[i-1]+1 {
			return stored, &DamageError{File: segmentName(segments[i-1] + 1), Reason: "the segment is missing"}
		}
		if err := s.loadSegment(number, i == len(segments)-1, lastSync, &replay); err != nil {
			return stored, err
		}
	}
	if len(segments) > 0 && lastSync.segment > segments[len(segments)-1] {
		return stored, &DamageError{File: segmentName(lastSync.segment), Reason: "the last segment is missing"}
	}
	if s.oldestNeeded == 0 && len(segments) > 0 {
		s.oldestNeeded = segments[0] // a power failure prevented the sync of the first segment's start record
	}
	if len(segments) > 0 && segments[0] > s.oldestNeeded {
		return stored, &DamageError{File: segmentName(s.oldestNeeded), Reason: "the oldest segment is missing"}
	}
	s.pendingRef = replay.finish()
	return stored, nil
}

func (s *Store) loadSnapshot(name string) (*fleetpb.Snapshot, error) {
	data, err := s.options.FS.ReadFile(s.path(name))
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	r, ok := parseRecord(data, 0)
	snapshot := &fleetpb.Snapshot{}
	if !ok || r.kind != typeSnapshot || r.size() != len(data) || proto.Unmarshal(r.payload, snapshot) != nil {
		return nil, &DamageError{File: name, Reason: "the snapshot does not match its checksum"}
	}
	return snapshot, nil
}

// loadSegment replays the records of a segment. Invalid data counts as a torn tail only at the end of the last segment and
// after all synced bytes; any other invalid data is damage.
func (s *Store) loadSegment(number uint64, last bool, lastSync syncPosition, replay *replayer) error {
	name := segmentName(number)
	data, err := s.options.FS.ReadFile(s.path(name))
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	records, end, synced := scanRecords(data)
	if lastSync.segment == number {
		synced = max(synced, int(lastSync.offset))
	}
	if end < synced || end < len(data) && (!last || lastSync.segment > number) {
		return &DamageError{File: name, Offset: int64(end), Reason: "a synced record does not match its checksum or is missing"}
	}
	if len(records) > 0 {
		start, ok := parseSegmentStart(records[0])
		if !ok {
			return &DamageError{File: name, Reason: "the first record is not a segment start"}
		}
		if n := len(s.segments); n > 0 && start.previousSize != uint64(s.segments[n-1].size) {
			return &DamageError{
				File: segmentName(s.segments[n-1].number), Offset: s.segments[n-1].size,
				Reason: fmt.Sprintf("the next segment records a size of %d bytes", start.previousSize),
			}
		}
		s.oldestNeeded = start.oldestNeeded
		records = records[1:]
	}
	current := segment{number: number, size: int64(end)}
	for _, r := range records {
		index, err := replay.apply(r)
		if err != nil {
			return &DamageError{File: name, Reason: err.Error()}
		}
		current.lastIndex = max(current.lastIndex, index)
	}
	s.segments = append(s.segments, current)
	if end == len(data) {
		return nil
	}
	s.options.Events.Write(event.DiskTailCut, func(e *log.Entry) {
		e.Str("file", name).Int("offset", end).Int("bytes", len(data)-end)
	})
	if err := s.options.FS.Truncate(s.path(name), int64(end)); err != nil {
		return fmt.Errorf("truncate torn tail: %w", err)
	}
	return nil
}

// segmentStart is the content of the first record of a segment.
type segmentStart struct {
	// previousSize is the size of the previous segment in bytes, 0 in the first segment.
	previousSize uint64
	// oldestNeeded is the number of the first segment that was still needed when this segment was created. Earlier
	// segments may be deleted.
	oldestNeeded uint64
}

func (s segmentStart) message() proto.Message {
	data := binary.LittleEndian.AppendUint64(nil, s.previousSize)
	return wrapperspb.Bytes(binary.LittleEndian.AppendUint64(data, s.oldestNeeded))
}

func parseSegmentStart(r record) (segmentStart, bool) {
	value := &wrapperspb.BytesValue{}
	if r.kind != typeSegmentStart || proto.Unmarshal(r.payload, value) != nil || len(value.Value) != 16 {
		return segmentStart{}, false
	}
	return segmentStart{binary.LittleEndian.Uint64(value.Value), binary.LittleEndian.Uint64(value.Value[8:])}, true
}

// replayer rebuilds the state of a member from the records of the log.
type replayer struct {
	stored *consensus.Stored
	// termAtSnapshot is the term of the log's entry at the index of the snapshot, 0 when the log has no such entry.
	termAtSnapshot uint64
	// snapshotReferenced is set when the log holds a reference to the snapshot.
	snapshotReferenced bool
}

// apply replays a record and returns the index of the record's log entry, or 0 when the record holds no entry.
func (p *replayer) apply(r record) (uint64, error) {
	snapshotIndex := p.stored.Snapshot.GetIndex()
	snapshotRef, entry := &fleetpb.Snapshot{}, &fleetpb.LogEntry{}
	var message proto.Message
	switch r.kind {
	case typeHardState:
		p.stored.HardState = &fleetpb.HardState{}
		message = p.stored.HardState
	case typeMembership:
		p.stored.Membership = &fleetpb.Membership{}
		message = p.stored.Membership
	case typeSnapshotRef, typeLogReset:
		message = snapshotRef
	case typeEntry:
		message = entry
	default:
		return 0, fmt.Errorf("record type %d must not occur in a segment", r.kind)
	}
	if err := proto.Unmarshal(r.payload, message); err != nil {
		return 0, fmt.Errorf("decode record of type %d: %w", r.kind, err)
	}
	switch r.kind {
	case typeEntry:
		return entry.Index, p.appendEntry(entry, snapshotIndex)
	case typeSnapshotRef, typeLogReset:
		if snapshotRef.Index > snapshotIndex {
			return 0, fmt.Errorf("the snapshot at index %d is missing", snapshotRef.Index)
		}
		p.snapshotReferenced = p.snapshotReferenced || snapshotRef.Index == snapshotIndex
		if r.kind == typeLogReset {
			p.stored.Entries = nil
		}
	}
	return 0, nil
}

// appendEntry appends an entry to the log. The entry replaces any entries at its index and after.
func (p *replayer) appendEntry(entry *fleetpb.LogEntry, snapshotIndex uint64) error {
	if entry.Index <= snapshotIndex {
		p.stored.Entries, p.termAtSnapshot = nil, 0
		if entry.Index == snapshotIndex {
			p.termAtSnapshot = entry.Term
		}
		return nil
	}
	position := entry.Index - snapshotIndex - 1
	if position > uint64(len(p.stored.Entries)) {
		return fmt.Errorf("entry %d follows entry %d, want no gap", entry.Index, snapshotIndex+uint64(len(p.stored.Entries)))
	}
	p.stored.Entries = append(p.stored.Entries[:position], entry)
	return nil
}

// finish handles a crash between the write of a snapshot file and the write of the snapshot reference to the log. A
// snapshot that this member took leaves the log unchanged: the log still holds the entry at the snapshot's index, because
// segments are deleted only after the reference is written. A snapshot from the leader replaces the log, which does not
// hold that entry. finish returns the type of the reference that Open must write to the log, or 0 for none.
func (p *replayer) finish() recordType {
	if p.stored.Snapshot == nil || p.snapshotReferenced {
		return 0
	}
	if p.termAtSnapshot == p.stored.Snapshot.Term {
		return typeSnapshotRef
	}
	p.stored.Entries = nil
	return typeLogReset
}

// syncPosition is a position in the log up to which all records are synced.
type syncPosition struct{ segment, offset uint64 }

const syncPositionBytes = 20

func (p syncPosition) encode() []byte {
	data := binary.LittleEndian.AppendUint64(nil, p.segment)
	data = binary.LittleEndian.AppendUint64(data, p.offset)
	return binary.LittleEndian.AppendUint32(data, crc32.Checksum(data, castagnoli))
}

// readSyncPosition returns the last valid position in the sync file, which is also the highest position.
func (s *Store) readSyncPosition() (syncPosition, error) {
	data, err := s.options.FS.ReadFile(filepath.Join(s.options.Dir, syncFileName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return syncPosition{}, fmt.Errorf("read sync position: %w", err)
	}
	var last syncPosition
	for ; len(data) >= syncPositionBytes; data = data[syncPositionBytes:] {
		p := syncPosition{binary.LittleEndian.Uint64(data), binary.LittleEndian.Uint64(data[8:])}
		if p.offset <= math.MaxInt32 && string(p.encode()) == string(data[:syncPositionBytes]) {
			last = p
		}
	}
	return last, nil
}
