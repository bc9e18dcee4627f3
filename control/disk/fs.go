package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the part of a file system that a Store uses. Tests use another implementation to simulate power failures.
type FS interface {
	MkdirAll(dir string) error
	// ReadDir returns the sorted names of the files in a directory, without its subdirectories.
	ReadDir(dir string) ([]string, error)
	// ReadFile returns an error that wraps os.ErrNotExist when the file does not exist.
	ReadFile(name string) ([]byte, error)
	// Create opens a file for writing. An existing file is truncated.
	Create(name string) (File, error)
	// Open opens a file for appending and creates the file when it does not exist.
	Open(name string) (File, error)
	// Truncate shortens a file to the given size and syncs the file.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals of files in a directory durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock, which the system releases when the process exits. Lock fails when another
	// process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

// OS implements FS with the file system of the operating system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return wrap(os.MkdirAll(dir, 0o700)) }

// ReadDir implements FS.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("list files: %w", err)
	}
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	return data, wrap(err)
}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return openFile(name, os.O_TRUNC)
}

// Open implements FS.
func (OS) Open(name string) (File, error) {
	return openFile(name, os.O_APPEND)
}

// Truncate implements FS.
func (OS) Truncate(name string, size int64) error {
	file, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("open to truncate: %w", err)
	}
	return errors.Join(file.Truncate(size), file.Sync(), file.Close())
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return wrap(os.Rename(from, to)) }

// Remove implements FS.
func (OS) Remove(name string) error { return wrap(os.Remove(name)) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	file, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open directory to sync: %w", err)
	}
	return errors.Join(file.Sync(), file.Close())
}

// Lock implements FS.
func (OS) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(
			fmt.Errorf("data directory %s is used by another process: %w", filepath.Dir(name), err), file.Close())
	}
	return file, nil
}

func openFile(name string, flags int) (File, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|flags, 0o600)
	if err != nil {
		return nil, wrap(err)
	}
	return file, nil
}

// wrap adds the package name to an error that already names the operation and the file.
func wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("disk: %w", err)
}

// writeFileAtomic writes a file durably. After an error or a crash, the file has either its old or its new content.
func writeFileAtomic(fs FS, name string, data []byte) error {
	temporary := name + ".tmp"
	file, err := fs.Create(temporary)
	if err != nil {
		return fmt.Errorf("create %s: %w", temporary, err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	if err := fs.Rename(temporary, name); err != nil {
		return fmt.Errorf("rename %s: %w", temporary, err)
	}
	if err := fs.SyncDir(filepath.Dir(name)); err != nil {
		return fmt.Errorf("sync directory of %s: %w", name, err)
	}
	return nil
}
