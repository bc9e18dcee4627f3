package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Watch calls changed after each SIGHUP, and when the file's size or time of change differs at one of the polls, until
// the context ends. An empty path leaves the signal alone.
func Watch(ctx context.Context, path string, every time.Duration, changed func()) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	seen := stamp(path)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			seen = stamp(path)
			changed()
		case <-ticker.C:
			if now := stamp(path); now != seen {
				seen = now
				changed()
			}
		}
	}
}

type fileStamp struct {
	size     int64
	modified time.Time
}

// stamp is zero while the file cannot be read, for example while it is being replaced.
func stamp(path string) fileStamp {
	if path == "" {
		return fileStamp{}
	}
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.Size(), info.ModTime()}
}
