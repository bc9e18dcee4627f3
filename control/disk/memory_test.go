package disk

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

var errPowerFailure = errors.New("power failure")

// memoryFile holds the contents of a file. A power failure loses or alters the bytes after the first syncedBytes.
type memoryFile struct {
	data        []byte
	syncedBytes int
}

// memoryFS is a file system in memory that simulates a power failure at a given operation.
type memoryFS struct {
	files        map[string]*memoryFile
	durableFiles map[string]*memoryFile // files of each directory at its last sync
	// operations counts the calls that modify or sync files. The call with number failAt and all later ones fail;
	// 0 means that none fails.
	operations, failAt int
	syncError          error
}

func newMemoryFS() *memoryFS {
	return &memoryFS{files: map[string]*memoryFile{}, durableFiles: map[string]*memoryFile{}}
}

// tearMode selects how a power failure alters the unsynced tail of a file. The tail consists of a first part, whose length
// the test chooses, and the rest.
type tearMode int

const (
	tearTruncated tearMode = iota // the rest is lost
	tearGarbage                   // the rest is replaced by random bytes
	tearZeroed                    // the rest is kept, and the first part is zeroed
	tearModes                     // number of modes
)

// afterPowerFailure returns the file system after a power failure. Each creation, rename or removal that was not synced
// survives at random. keep returns the length of the first part of a file's unsynced tail; mode selects what is lost.
func (fs *memoryFS) afterPowerFailure(random *rand.Rand, keep func(name string, unsynced int) int, mode tearMode) *memoryFS {
	next := newMemoryFS()
	names := maps.Clone(fs.durableFiles)
	for name, file := range fs.files {
		if random.IntN(2) == 0 {
			names[name] = file
		}
	}
	for name := range fs.durableFiles {
		if fs.files[name] == nil && random.IntN(2) == 0 {
			delete(names, name)
		}
	}
	for name, file := range names {
		end := file.syncedBytes + keep(name, len(file.data)-file.syncedBytes)
		data := slices.Clone(file.data[:end])
		switch mode {
		case tearGarbage:
			for range len(file.data) - end {
				data = append(data, byte(random.IntN(2)*random.IntN(256)))
			}
		case tearZeroed:
			clear(data[file.syncedBytes:])
			data = append(data, file.data[end:]...)
		}
		next.files[name] = &memoryFile{data: data, syncedBytes: len(data)}
	}
	next.durableFiles = maps.Clone(next.files)
	return next
}

func (fs *memoryFS) countOperation() error {
	fs.operations++
	if fs.failAt > 0 && fs.operations >= fs.failAt {
		return errPowerFailure
	}
	return nil
}

func (fs *memoryFS) MkdirAll(string) error { return nil }

func (fs *memoryFS) ReadDir(dir string) ([]string, error) {
	var names []string
	for name := range fs.files {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (fs *memoryFS) ReadFile(name string) ([]byte, error) {
	file := fs.files[name]
	if file == nil {
		return nil, fmt.Errorf("%s: %w", name, os.ErrNotExist)
	}
	return slices.Clone(file.data), nil
}

func (fs *memoryFS) Create(name string) (File, error) {
	if err := fs.countOperation(); err != nil {
		return nil, err
	}
	fs.files[name] = &memoryFile{}
	return &memoryHandle{fs, fs.files[name]}, nil
}

func (fs *memoryFS) Open(name string) (File, error) {
	if fs.files[name] == nil {
		return fs.Create(name)
	}
	return &memoryHandle{fs, fs.files[name]}, nil
}

func (fs *memoryFS) Truncate(name string, size int64) error {
	if err := fs.countOperation(); err != nil {
		return err
	}
	file := fs.files[name]
	file.data = file.data[:size]
	file.syncedBytes = len(file.data)
	return nil
}

func (fs *memoryFS) Rename(from, to string) error {
	if err := fs.countOperation(); err != nil {
		return err
	}
	fs.files[to] = fs.files[from]
	delete(fs.files, from)
	return nil
}

func (fs *memoryFS) Remove(name string) error {
	if err := fs.countOperation(); err != nil {
		return err
	}
	delete(fs.files, name)
	return nil
}

func (fs *memoryFS) SyncDir(dir string) error {
	if err := fs.countOperation(); err != nil {
		return err
	}
	maps.DeleteFunc(fs.durableFiles, func(name string, _ *memoryFile) bool { return filepath.Dir(name) == dir })
	for name, file := range fs.files {
		if filepath.Dir(name) == dir {
			fs.durableFiles[name] = file
		}
	}
	return nil
}

func (fs *memoryFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// lastSegment returns the file of the last segment, or nil when there is none.
func (fs *memoryFS) lastSegment() *memoryFile {
	lastName := ""
	for name := range fs.files {
		if strings.HasPrefix(filepath.Base(name), segmentPrefix) && name > lastName {
			lastName = name
		}
	}
	return fs.files[lastName]
}

type memoryHandle struct {
	fs   *memoryFS
	file *memoryFile
}

// Write appends the data even when the power fails during this call, so that the tail may be torn at any byte.
func (h *memoryHandle) Write(data []byte) (int, error) {
	failed := h.fs.failAt > 0 && h.fs.operations >= h.fs.failAt
	err := h.fs.countOperation()
	if !failed {
		h.file.data = append(h.file.data, data...)
	}
	return len(data), err
}

func (h *memoryHandle) Sync() error {
	if h.fs.syncError != nil {
		return h.fs.syncError
	}
	if err := h.fs.countOperation(); err != nil {
		return err
	}
	h.file.syncedBytes = len(h.file.data)
	return nil
}

func (h *memoryHandle) Close() error { return nil }
