// Package disk stores the state of one consensus member in a data directory: a segmented write-ahead log, the newest
// snapshot, and the member's identity.
//
// A power failure may leave a torn tail: bytes of the last segment that were written but never synced. Open truncates
// the tail. All other unreadable data is damage, which Open reports as a DamageError: the member must not continue with
// a shorter log, because it may have acknowledged the missing records.
//
// The synced offset in each later record and the file "synced" show which bytes were synced. The file "synced" is
// written after each sync of the log and is not synced itself. If the power fails before the system writes the file
// back (about 30 s on Linux) and the last synced records are damaged too, the damage cannot be distinguished from a
// torn tail, and these records are truncated.
package disk

import (
	"errors"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"azuredoor.example/core/consensus"
	"azuredoor.example/core/event"
	"azuredoor.example/core/fleetpb"
)

// maxSyncFileBytes is the size in bytes at which the sync file is truncated and started again.
const maxSyncFileBytes = 64 << 10

// Options configure a Store.
type Options struct {
	// Dir is the data directory. It is created when it does not exist.
	Dir string
	// Group is the group ID for a new identity; 0 selects a random ID.
	Group uint64
	// Member is the member ID for a new identity; 0 selects a random ID.
	Member uint64
	// Events defaults to a logger that discards all events.
	Events *event.Logger
	// FS defaults to OS.
	FS FS
	// SegmentBytes is the size at which a new segment starts; it defaults to 16 MiB.
	SegmentBytes int64
}

func (o Options) withDefaults() Options {
	if o.Events == nil {
		o.Events = event.Discard()
	}
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = 16 << 20
	}
	return o
}

// DamageError reports stored data that is lost or altered. The member must not continue with the data directory;
// SetAside prepares the directory for a new member.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("stored data is damaged: %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

type segment struct {
	number uint64
	size   int64
	// lastIndex is the highest index of a log entry in the segment.
	lastIndex uint64
}

// Store is the storage of one member. It is not safe for concurrent use.
type Store struct {
	options      Options
	lock         io.Closer
	segments     []segment // records are appended to the last segment
	file         File
	syncFile     File
	syncFileSize int
	syncedBytes  int64  // number of durable bytes in the last segment
	oldestNeeded uint64 // number of the first segment that is still needed
	// The newest hard state, membership and snapshot reference are repeated at the start of each segment.
	hardState   *fleetpb.HardState
	membership  *fleetpb.Membership
	snapshotRef *fleetpb.Snapshot // without data
	// pendingRef is the type of the snapshot reference that is missing from the log after a crash, 0 for none.
	pendingRef recordType
	// firstErr is the first error of a write. After that error, the store refuses all writes.
	firstErr error
}

// Open opens or creates the storage in a data directory and locks the directory. Open returns a *DamageError when
// synced data is lost or altered.
func Open(options Options) (*Store, consensus.Stored, Identity, error) {
	s := &Store{options: options.withDefaults()}
	stored, identity, err := s.open()
	if err == nil {
		return s, stored, identity, nil
	}
	var damage *DamageError
	if errors.As(err, &damage) {
		s.options.Events.Error(event.DiskDamaged, err)
	}
	if s.file != nil {
		err = errors.Join(err, s.file.Close())
	}
	if s.syncFile != nil {
		err = errors.Join(err, s.syncFile.Close())
	}
	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
	}
	return nil, consensus.Stored{}, Identity{}, err
}

func (s *Store) path(name string) string { return filepath.Join(s.options.Dir, name) }

func (s *Store) open() (consensus.Stored, Identity, error) {
	var stored consensus.Stored
	fs := s.options.FS
	if err := fs.MkdirAll(s.options.Dir); err != nil {
		return stored, Identity{}, fmt.Errorf("create data directory: %w", err)
	}
	if err := fs.SyncDir(filepath.Dir(s.options.Dir)); err != nil {
		return stored, Identity{}, fmt.Errorf("sync parent of data directory: %w", err)
	}
	var err error
	if s.lock, err = fs.Lock(s.path(lockFileName)); err != nil {
		return stored, Identity{}, err
	}
	// A rename by a process that crashed may not be durable yet.
	if err := fs.SyncDir(s.options.Dir); err != nil {
		return stored, Identity{}, fmt.Errorf("sync data directory: %w", err)
	}
	names, err := fs.ReadDir(s.options.Dir)
	if err != nil {
		return stored, Identity{}, err
	}
	for _, name := range names {
		if strings.HasSuffix(name, ".tmp") {
			if err := fs.Remove(s.path(name)); err != nil {
				return stored, Identity{}, fmt.Errorf("remove temporary file: %w", err)
			}
		}
	}
	identity, err := loadIdentity(s.options)
	if err != nil {
		return stored, identity, err
	}
	if stored, err = s.load(names); err != nil {
		return stored, identity, err
	}
	switch {
	case identity.Member != 0 && len(s.segments) == 0:
		return stored, identity, &DamageError{File: segmentPrefix, Reason: "the identity exists, but the log is missing"}
	case identity.Member == 0 &&
		(stored.Snapshot != nil || stored.HardState != nil || stored.Membership != nil || len(stored.Entries) > 0):
		return stored, identity, &DamageError{File: identityFileName, Reason: "a log exists, but the identity is missing"}
	}
	s.hardState, s.membership = stored.HardState, stored.Membership
	s.setSnapshotRef(stored.Snapshot)
	if err := s.openLog(); err != nil {
		return stored, identity, err
	}
	if identity.Member == 0 {
		identity, err = createIdentity(s.options)
	}
	return stored, identity, err
}

// openLog opens the last segment for writing. Open may have read records from the page cache that were never synced, so
// openLog syncs the segment before the member uses these records.
func (s *Store) openLog() error {
	fs := s.options.FS
	syncFile, err := fs.Create(s.path(syncFileName))
	if err != nil {
		return fmt.Errorf("create sync file: %w", err)
	}
	s.syncFile = syncFile
	if len(s.segments) == 0 {
		s.oldestNeeded = 1
		return s.rotate()
	}
	last := s.segments[len(s.segments)-1]
	if s.file, err = fs.Open(s.path(segmentName(last.number))); err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	if last.size == 0 {
		if err := s.writeSegmentHeader(); err != nil {
			return err
		}
	}
	if s.pendingRef != 0 {
		var reference batch
		reference.add(s.pendingRef, s.snapshotRef)
		if err := s.write(reference); err != nil {
			return err
		}
	}
	return s.sync()
}

func (s *Store) setSnapshotRef(snapshot *fleetpb.Snapshot) {
	if snapshot != nil {
		s.snapshotRef = &fleetpb.Snapshot{Index: snapshot.Index, Term: snapshot.Term}
	}
}

// Save stores the snapshot, the entries and the hard state of a Ready, with one sync of the log when MustSync is set.
// After an error, for example on a full disk, the store refuses all later writes: the contents of the disk after a
// failed sync are unknown, so the member must stop.
func (s *Store) Save(ready consensus.Ready) error {
	return s.runFailStop(func() error {
		if ready.Snapshot != nil {
			if err := s.writeSnapshot(ready.Snapshot); err != nil {
				return err
			}
		}
		var batch batch
		if ready.Snapshot != nil {
			batch.add(typeLogReset, s.snapshotRef)
		}
		for _, entry := range ready.Entries {
			batch.add(typeEntry, entry)
			batch.lastIndex = max(batch.lastIndex, entry.Index)
		}
		if ready.HardState != nil {
			batch.add(typeHardState, ready.HardState)
			s.hardState = ready.HardState
		}
		if err := s.write(batch); err != nil {
			return err
		}
		if ready.MustSync {
			if err := s.sync(); err != nil {
				return err
			}
		}
		if ready.Snapshot != nil {
			return s.compact()
		}
		if s.segments[len(s.segments)-1].size >= s.options.SegmentBytes {
			return s.rotate()
		}
		return nil
	})
}

// SaveMembership stores the initial membership of a new group.
func (s *Store) SaveMembership(membership *fleetpb.Membership) error {
	return s.runFailStop(func() error {
		s.membership = membership
		var batch batch
		batch.add(typeMembership, membership)
		if err := s.write(batch); err != nil {
			return err
		}
		return s.sync()
	})
}

// SaveSnapshot stores a snapshot of the applied state and deletes the older snapshots and the segments that are no
// longer needed.
func (s *Store) SaveSnapshot(snapshot *fleetpb.Snapshot) error {
	return s.runFailStop(func() error {
		if snapshot.Index <= s.snapshotRef.GetIndex() {
			return nil
		}
		if err := s.writeSnapshot(snapshot); err != nil {
			return err
		}
		return s.compact()
	})
}

// Close syncs and closes the files and releases the lock. After a failed write, Close skips the sync.
func (s *Store) Close() error {
	var errs []error
	if s.firstErr == nil {
		errs = append(errs, s.sync(), s.syncFile.Sync())
	}
	for _, closer := range []io.Closer{s.file, s.syncFile, s.lock} {
		errs = append(errs, closer.Close())
	}
	return errors.Join(errs...)
}

// runFailStop runs f. After the first error of any f, every later call returns that error without running f.
func (s *Store) runFailStop(f func() error) error {
	if s.firstErr != nil {
		return fmt.Errorf("storage stopped after an earlier error: %w", s.firstErr)
	}
	if err := f(); err != nil {
		s.firstErr = err
		s.options.Events.Error(event.DiskFailed, err)
		return err
	}
	return nil
}

// batch is a list of records that one write appends to the log.
type batch struct {
	kinds     []recordType
	messages  []proto.Message
	lastIndex uint64
}

func (b *batch) add(kind recordType, message proto.Message) {
	b.kinds, b.messages = append(b.kinds, kind), append(b.messages, message)
}

// write appends a batch to the last segment without a sync.
func (s *Store) write(b batch) error {
	var data []byte
	var err error
	for i, kind := range b.kinds {
		if data, err = appendRecord(data, kind, uint32(s.syncedBytes), b.messages[i]); err != nil {
			return err
		}
	}
	current := &s.segments[len(s.segments)-1]
	if len(data) == 0 {
		return nil
	}
	if current.size+int64(len(data)) > math.MaxInt32 {
		return fmt.Errorf("segment %d would exceed 2 GiB", current.number)
	}
	if _, err := s.file.Write(data); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	current.size += int64(len(data))
	current.lastIndex = max(current.lastIndex, b.lastIndex)
	return nil
}

// sync makes the last segment durable and appends its size to the sync file.
func (s *Store) sync() error {
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	current := s.segments[len(s.segments)-1]
	s.syncedBytes = current.size
	if s.syncFileSize >= maxSyncFileBytes {
		if err := s.syncFile.Close(); err != nil {
			return fmt.Errorf("close sync file: %w", err)
		}
		var err error
		if s.syncFile, err = s.options.FS.Create(s.path(syncFileName)); err != nil {
			return fmt.Errorf("create sync file: %w", err)
		}
		s.syncFileSize = 0
	}
	if _, err := s.syncFile.Write(syncPosition{current.number, uint64(current.size)}.encode()); err != nil {
		return fmt.Errorf("write sync position: %w", err)
	}
	s.syncFileSize += syncPositionBytes
	return nil
}

// rotate starts a new segment. The segment begins with the newest hard state, membership and snapshot reference, so that
// earlier segments can be deleted.
func (s *Store) rotate() error {
	number := uint64(1)
	if len(s.segments) > 0 {
		if err := s.sync(); err != nil {
			return err
		}
		if err := s.file.Close(); err != nil {
			return fmt.Errorf("close segment: %w", err)
		}
		number = s.segments[len(s.segments)-1].number + 1
	}
	file, err := s.options.FS.Create(s.path(segmentName(number)))
	if err != nil {
		return fmt.Errorf("create segment: %w", err)
	}
	s.file, s.syncedBytes = file, 0
	s.segments = append(s.segments, segment{number: number})
	return s.writeSegmentHeader()
}

// writeSegmentHeader writes the first records of a segment and makes them durable.
func (s *Store) writeSegmentHeader() error {
	var header batch
	start := segmentStart{oldestNeeded: s.oldestNeeded}
	if n := len(s.segments); n > 1 {
		start.previousSize = uint64(s.segments[n-2].size)
	}
	header.add(typeSegmentStart, start.message())
	if s.snapshotRef != nil {
		header.add(typeSnapshotRef, s.snapshotRef)
	}
	if s.membership != nil {
		header.add(typeMembership, s.membership)
	}
	if s.hardState != nil {
		header.add(typeHardState, s.hardState)
	}
	if err := s.write(header); err != nil {
		return err
	}
	// The directory is synced first: the sync file must not refer to a segment whose name is lost in a power failure.
	if err := s.options.FS.SyncDir(s.options.Dir); err != nil {
		return fmt.Errorf("sync data directory: %w", err)
	}
	return s.sync()
}

// writeSnapshot syncs the log, so that all earlier records are durable, and then stores the snapshot.
func (s *Store) writeSnapshot(snapshot *fleetpb.Snapshot) error {
	if s.segments[len(s.segments)-1].size > s.syncedBytes {
		if err := s.sync(); err != nil {
			return err
		}
	}
	data, err := appendRecord(nil, typeSnapshot, 0, snapshot)
	if err != nil {
		return err
	}
	if err := writeFileAtomic(s.options.FS, s.path(snapshotName(snapshot.Index)), data); err != nil {
		return err
	}
	s.setSnapshotRef(snapshot)
	return nil
}

// compact deletes the segments and snapshots that the newest snapshot replaces.
func (s *Store) compact() error {
	s.oldestNeeded = s.segments[len(s.segments)-1].number + 1
	for _, old := range slices.Backward(s.segments) {
		if old.lastIndex > s.snapshotRef.Index {
			s.oldestNeeded = old.number
		}
	}
	if err := s.rotate(); err != nil {
		return err
	}
	names, err := s.options.FS.ReadDir(s.options.Dir)
	if err != nil {
		return err
	}
	// Segments are deleted before snapshots and in ascending order, so that a crash in between leaves a log without gaps.
	for s.segments[0].number < s.oldestNeeded {
		if err := s.options.FS.Remove(s.path(segmentName(s.segments[0].number))); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
		s.segments = s.segments[1:]
		if err := s.options.FS.SyncDir(s.options.Dir); err != nil {
			return fmt.Errorf("sync data directory: %w", err)
		}
	}
	for _, index := range fileNumbers(names, snapshotPrefix, snapshotSuffix) {
		if index < s.snapshotRef.Index {
			if err := s.options.FS.Remove(s.path(snapshotName(index))); err != nil {
				return fmt.Errorf("remove snapshot: %w", err)
			}
		}
	}
	if err := s.options.FS.SyncDir(s.options.Dir); err != nil {
		return fmt.Errorf("sync data directory: %w", err)
	}
	return nil
}

// SetAside moves the files of a damaged data directory into a subdirectory, so that Open creates a new identity and the
// process can rejoin the group as a new member. After a crash in between, Open reports damage again, because a log
// without an identity counts as damaged.
func SetAside(options Options) error {
	options = options.withDefaults()
	fs, dir := options.FS, options.Dir
	lock, err := fs.Lock(filepath.Join(dir, lockFileName))
	if err != nil {
		return err
	}
	names, err := fs.ReadDir(dir)
	if err != nil {
		return errors.Join(err, lock.Close())
	}
	id, err := randomID()
	if err != nil {
		return errors.Join(err, lock.Close())
	}
	target := filepath.Join(dir, fmt.Sprintf("damaged-%016x", id))
	err = fs.MkdirAll(target)
	for _, name := range names {
		if err == nil && name != lockFileName {
			err = fs.Rename(filepath.Join(dir, name), filepath.Join(target, name))
		}
	}
	if err == nil {
		err = errors.Join(fs.SyncDir(target), fs.SyncDir(dir))
	}
	if err := errors.Join(err, lock.Close()); err != nil {
		return fmt.Errorf("set damaged files aside: %w", err)
	}
	options.Events.Write(event.DiskSetAside, nil)
	return nil
}
