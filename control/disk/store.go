// Package disk stores the state of one consensus member in a data folder: a write-ahead log in segments,
// the newest snapshot, and the member's identity.
//
// A power failure may leave a torn tail: bytes of the last segment that were written but never synced.
// Open cuts it. Everything else that is not readable is damage, reported as DamageError: the member must
// not go on with a shorter log, because it may have acknowledged what is missing. What was synced follows
// from the synced offset in each later record and from the file "synced". That file is written after each
// sync without a sync of its own. When the power fails within the time that the system holds back writes
// (about 30 s on Linux), and the very last synced records are damaged as well, the damage
// cannot be told from a torn tail. Such records are cut.
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

// maxMarkFile bounds the file of sync marks, in bytes, before it is written anew.
const maxMarkFile = 64 << 10

// Options configure a Store.
type Options struct {
	// Dir is the data folder; it is created when missing.
	Dir string
	// Group is the group ID for a new identity; 0 chooses a random one.
	Group uint64
	// Member is the member ID for a new identity; 0 chooses a random one.
	Member uint64
	// Events defaults to a logger that writes nothing.
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

// DamageError reports stored data that is lost or altered. The member must not continue with the folder;
// SetAside makes room for a new member.
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
	// last is the highest index of an entry in the segment.
	last uint64
}

// Store is the storage of one member. It is not safe for concurrent use.
type Store struct {
	options  Options
	lock     io.Closer
	segments []segment // the last one is written to
	file     File
	marks    File
	markSize int
	synced   int64  // durable bytes of the last segment
	oldest   uint64 // number of the first segment that is needed
	// The newest values, repeated at the start of each segment.
	hardState  *fleetpb.HardState
	membership *fleetpb.Membership
	mark       *fleetpb.Snapshot // without data
	// markDue is set when the newest snapshot was stored just before a crash, without its mark in the log.
	markDue recordType
	// failed is the first error of a write; the store refuses everything after it.
	failed error
}

// Open opens or creates the storage in a folder and locks it. It returns a *DamageError when synced data
// is lost or altered.
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
	if s.marks != nil {
		err = errors.Join(err, s.marks.Close())
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
		return stored, Identity{}, fmt.Errorf("create data folder: %w", err)
	}
	if err := fs.SyncDir(filepath.Dir(s.options.Dir)); err != nil {
		return stored, Identity{}, fmt.Errorf("sync folder above the data folder: %w", err)
	}
	var err error
	if s.lock, err = fs.Lock(s.path(lockName)); err != nil {
		return stored, Identity{}, err
	}
	// A file that a crashed process renamed may not be durable under its name yet.
	if err := fs.SyncDir(s.options.Dir); err != nil {
		return stored, Identity{}, fmt.Errorf("sync data folder: %w", err)
	}
	names, err := fs.ReadDir(s.options.Dir)
	if err != nil {
		return stored, Identity{}, err
	}
	for _, name := range names {
		if strings.HasSuffix(name, ".tmp") {
			if err := fs.Remove(s.path(name)); err != nil {
				return stored, Identity{}, fmt.Errorf("remove unfinished file: %w", err)
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
	case identity.Member == 0 && (stored.Snapshot != nil || stored.HardState != nil || stored.Membership != nil || len(stored.Entries) > 0):
		return stored, identity, &DamageError{File: identityName, Reason: "a log exists, but the identity is missing"}
	}
	s.hardState, s.membership = stored.HardState, stored.Membership
	s.setMark(stored.Snapshot)
	if err := s.openLog(); err != nil {
		return stored, identity, err
	}
	if identity.Member == 0 {
		identity, err = createIdentity(s.options)
	}
	return stored, identity, err
}

// openLog opens the last segment for writing. Records that were never synced may have been read from the
// system's cache; the sync makes them durable before anyone relies on them.
func (s *Store) openLog() error {
	fs := s.options.FS
	marks, err := fs.Create(s.path(markName))
	if err != nil {
		return fmt.Errorf("create sync marks: %w", err)
	}
	s.marks = marks
	if len(s.segments) == 0 {
		s.oldest = 1
		return s.rotate()
	}
	last := s.segments[len(s.segments)-1]
	if s.file, err = fs.Open(s.path(segmentName(last.number))); err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	if last.size == 0 {
		if err := s.writeHeader(); err != nil {
			return err
		}
	}
	if s.markDue != 0 {
		var mark batch
		mark.add(s.markDue, s.mark)
		if err := s.write(mark); err != nil {
			return err
		}
	}
	return s.sync()
}

func (s *Store) setMark(snapshot *fleetpb.Snapshot) {
	if snapshot != nil {
		s.mark = &fleetpb.Snapshot{Index: snapshot.Index, Term: snapshot.Term}
	}
}

// Save persists the snapshot, the entries and the hard state of a Ready, with one sync of the log when
// MustSync is set. After an error, for example on a full disk, the store refuses all later calls: what a
// failed sync left on the disk is unknown, so the member must stop.
func (s *Store) Save(ready consensus.Ready) error {
	return s.guard(func() error {
		if ready.Snapshot != nil {
			if err := s.writeSnapshot(ready.Snapshot); err != nil {
				return err
			}
		}
		var batch batch
		if ready.Snapshot != nil {
			batch.add(typeReset, s.mark)
		}
		for _, entry := range ready.Entries {
			batch.add(typeEntry, entry)
			batch.last = max(batch.last, entry.Index)
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
	return s.guard(func() error {
		s.membership = membership
		var batch batch
		batch.add(typeMembership, membership)
		if err := s.write(batch); err != nil {
			return err
		}
		return s.sync()
	})
}

// SaveSnapshot stores a snapshot of the applied state and deletes the segments and snapshots before it.
func (s *Store) SaveSnapshot(snapshot *fleetpb.Snapshot) error {
	return s.guard(func() error {
		if snapshot.Index <= s.mark.GetIndex() {
			return nil
		}
		if err := s.writeSnapshot(snapshot); err != nil {
			return err
		}
		return s.compact()
	})
}

// Close syncs and closes the files and gives the lock back.
func (s *Store) Close() error {
	var errs []error
	if s.failed == nil {
		errs = append(errs, s.sync(), s.marks.Sync())
	}
	for _, closer := range []io.Closer{s.file, s.marks, s.lock} {
		errs = append(errs, closer.Close())
	}
	return errors.Join(errs...)
}

// guard makes the first error final.
func (s *Store) guard(f func() error) error {
	if s.failed != nil {
		return fmt.Errorf("storage stopped after an earlier failure: %w", s.failed)
	}
	if err := f(); err != nil {
		s.failed = err
		s.options.Events.Error(event.DiskFailed, err)
		return err
	}
	return nil
}

// batch is a list of records to be written at once.
type batch struct {
	kinds    []recordType
	messages []proto.Message
	last     uint64
}

func (b *batch) add(kind recordType, message proto.Message) {
	b.kinds, b.messages = append(b.kinds, kind), append(b.messages, message)
}

func (s *Store) write(b batch) error {
	var data []byte
	var err error
	for i, kind := range b.kinds {
		if data, err = appendRecord(data, kind, uint32(s.synced), b.messages[i]); err != nil {
			return err
		}
	}
	current := &s.segments[len(s.segments)-1]
	if len(data) == 0 {
		return nil
	}
	if current.size+int64(len(data)) > math.MaxInt32 {
		return fmt.Errorf("segment %d would grow beyond 2 GiB", current.number)
	}
	if _, err := s.file.Write(data); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	current.size += int64(len(data))
	current.last = max(current.last, b.last)
	return nil
}

// sync makes the last segment durable and notes its size in the file of marks.
func (s *Store) sync() error {
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	current := s.segments[len(s.segments)-1]
	s.synced = current.size
	if s.markSize >= maxMarkFile {
		if err := s.marks.Close(); err != nil {
			return fmt.Errorf("close sync marks: %w", err)
		}
		var err error
		if s.marks, err = s.options.FS.Create(s.path(markName)); err != nil {
			return fmt.Errorf("create sync marks: %w", err)
		}
		s.markSize = 0
	}
	if _, err := s.marks.Write(syncMark{current.number, uint64(current.size)}.encode()); err != nil {
		return fmt.Errorf("write sync mark: %w", err)
	}
	s.markSize += markBytes
	return nil
}

// rotate starts a segment that repeats the newest values, so that earlier segments can be deleted.
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
	s.file, s.synced = file, 0
	s.segments = append(s.segments, segment{number: number})
	return s.writeHeader()
}

// writeHeader writes the first records of a segment.
func (s *Store) writeHeader() error {
	var header batch
	start := segmentStart{oldest: s.oldest}
	if n := len(s.segments); n > 1 {
		start.previousSize = uint64(s.segments[n-2].size)
	}
	header.add(typeStart, start.message())
	if s.mark != nil {
		header.add(typeMark, s.mark)
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
	// The folder is synced first: a mark for the segment must not outlive its name.
	if err := s.options.FS.SyncDir(s.options.Dir); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return s.sync()
}

// writeSnapshot stores a snapshot after everything that was written to the log before it.
func (s *Store) writeSnapshot(snapshot *fleetpb.Snapshot) error {
	if s.segments[len(s.segments)-1].size > s.synced {
		if err := s.sync(); err != nil {
			return err
		}
	}
	data, err := appendRecord(nil, typeSnapshot, 0, snapshot)
	if err != nil {
		return err
	}
	if err := writeFile(s.options.FS, s.path(snapshotName(snapshot.Index)), data); err != nil {
		return err
	}
	s.setMark(snapshot)
	return nil
}

// compact deletes what the newest snapshot made useless.
func (s *Store) compact() error {
	s.oldest = s.segments[len(s.segments)-1].number + 1
	for _, old := range slices.Backward(s.segments) {
		if old.last > s.mark.Index {
			s.oldest = old.number
		}
	}
	if err := s.rotate(); err != nil {
		return err
	}
	names, err := s.options.FS.ReadDir(s.options.Dir)
	if err != nil {
		return err
	}
	// Segments go first and in order. A crash in between leaves a log without gaps.
	for s.segments[0].number < s.oldest {
		if err := s.options.FS.Remove(s.path(segmentName(s.segments[0].number))); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
		s.segments = s.segments[1:]
		if err := s.options.FS.SyncDir(s.options.Dir); err != nil {
			return fmt.Errorf("sync data folder: %w", err)
		}
	}
	for _, index := range numbered(names, snapshotPrefix, snapshotSuffix) {
		if index < s.mark.Index {
			if err := s.options.FS.Remove(s.path(snapshotName(index))); err != nil {
				return fmt.Errorf("remove snapshot: %w", err)
			}
		}
	}
	if err := s.options.FS.SyncDir(s.options.Dir); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}

// SetAside moves the files of a damaged folder into a subfolder, so that Open creates a new identity and
// the member rejoins as a new one. The identity goes last: a log without one counts as damaged again.
func SetAside(options Options) error {
	options = options.withDefaults()
	fs, dir := options.FS, options.Dir
	lock, err := fs.Lock(filepath.Join(dir, lockName))
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
		if err == nil && name != lockName {
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
