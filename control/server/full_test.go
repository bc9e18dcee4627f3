package server

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/control/disk"
)

// fullDisk is a file system that takes only half of each write, and then an error, while it is full.
type fullDisk struct {
	disk.OS
	full atomic.Bool
}

type fullDiskFile struct {
	disk.File
	fs *fullDisk
}

func (f fullDiskFile) Write(p []byte) (int, error) {
	if !f.fs.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	return n, errors.Join(syscall.ENOSPC, err)
}

// Create implements disk.FS.
func (fs *fullDisk) Create(name string) (disk.File, error) {
	f, err := fs.OS.Create(name)
	return fullDiskFile{f, fs}, err
}

// Open implements disk.FS.
func (fs *fullDisk) Open(name string) (disk.File, error) {
	f, err := fs.OS.Open(name)
	return fullDiskFile{f, fs}, err
}

// TestDisksFullInTurn guards against changes that are refused, unanswered or lost after the disks of all members were full for a
// while, one after another.
func TestDisksFullInTurn(t *testing.T) {
	const fullTime, restartDelay = 1500 * time.Millisecond, 300 * time.Millisecond
	group := newGroup(t, 5)
	for _, p := range group {
		p.shutDown()
		p.fs = &fullDisk{}
		p.start()
	}
	var acknowledged, next atomic.Uint64
	ctx, cancel := context.WithCancel(t.Context())
	var operator errgroup.Group
	put := func(ctx context.Context, p *process, version uint64) error {
		_, err := p.server.PutDocument(ctx, version, fmt.Appendf(nil, "document %d", version))
		return err
	}
	servers := make([]atomic.Pointer[process], len(group))
	for i, p := range group {
		servers[i].Store(p)
	}
	operator.Go(func() error {
		for i := 0; ctx.Err() == nil; i++ {
			if p := servers[i%len(servers)].Load(); p != nil {
				call, stop := context.WithTimeout(ctx, time.Second)
				if version := next.Add(1); put(call, p, version) == nil {
					acknowledged.Store(version)
				}
				stop()
			}
			time.Sleep(5 * time.Millisecond)
		}
		return nil
	})
	for i, p := range group {
		p.fs.full.Store(true)
		room := time.After(fullTime)
		if err := p.group.Wait(); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("process %d: got %v, want it to end for lack of room", p.number, err)
		}
		servers[i].Store(nil)
		for full := true; full; {
			if store, _, _, err := disk.Open(disk.Options{Dir: p.dir, FS: p.fs}); !errors.Is(err, syscall.ENOSPC) {
				t.Errorf("start on the full disk: got %v, want no room", err)
				store.Close()
			}
			select {
			case <-room:
				full = false
			case <-time.After(restartDelay):
			}
		}
		p.fs.full.Store(false)
		p.start()
		servers[i].Store(p)
	}
	cancel()
	_ = operator.Wait()
	const bound = 4 * time.Second
	for _, p := range group {
		call, stop := context.WithTimeout(t.Context(), bound)
		version := next.Add(1)
		if err := put(call, p, version); err != nil {
			t.Errorf("change through process %d: got %v, want an acknowledgement within %v", p.number, err, bound)
		}
		got, err := p.server.Document(call)
		if err != nil || got.GetVersion() != version {
			t.Errorf("read through process %d: got version %d, %v, want %d", p.number, got.GetVersion(), err, version)
		}
		stop()
	}
	if acknowledged.Load() == 0 {
		t.Error("got no acknowledgement while disks were full in turn")
	}
}
