package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Watch calls changed after each SIGHUP and after each change of the file until the context is cancelled. Watch compares
// the file's size and modification time once per interval. If path is empty, Watch handles only the signal.
func Watch(ctx context.Context, path string, interval time.Duration, changed func()) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := stat(path)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			last = stat(path)
			changed()
		case <-ticker.C:
			if now := stat(path); now != last {
				last = now
				changed()
			}
		}
	}
}

// fileState identifies a version of a file.
type fileState struct {
	size     int64
	modified time.Time
}

// stat returns the state of a file. The state is the zero value while the file is inaccessible, for example during its
// replacement.
func stat(path string) fileState {
	if path == "" {
		return fileState{}
	}
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{info.Size(), info.ModTime()}
}
