// Package weight implements a stand-in for the weight store.
package weight

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"azuredoor.example/standin/link"
)

const chunkBytes = 64 << 10

// Config configures a Store.
type Config struct {
	// Rate is the total rate of all downloads, in bytes per second.
	Rate int64
	// Bytes is the size of the weights of each model version.
	Bytes int64
}

// Store serves simulated weights at GET /weights/{model}/{version}.
type Store struct {
	config      Config
	link        *link.Link
	servedBytes atomic.Int64
	running     atomic.Int64
	maxRunning  atomic.Int64
}

// New returns a store.
func New(config Config) *Store {
	return &Store{config: config, link: link.New(config.Rate, func(d time.Duration) time.Duration { return d })}
}

// Handler returns the store's HTTP handler.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", s.serve)
	return mux
}

// Stats returns the counters that GET /stats reports.
func (s *Store) Stats() map[string]any {
	return map[string]any{"weightBytesServed": s.servedBytes.Load(), "downloads": s.running.Load(), "mostDownloadsAtOnce": s.maxRunning.Load()}
}

// Running returns the number of downloads in progress.
func (s *Store) Running() int { return int(s.running.Load()) }

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for highest := s.maxRunning.Load(); running > highest && !s.maxRunning.CompareAndSwap(highest, running); highest = s.maxRunning.Load() {
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.config.Bytes, 10))
	if err := s.copy(r.Context(), w); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) copy(ctx context.Context, w http.ResponseWriter) error {
	chunk := make([]byte, chunkBytes)
	for remaining := s.config.Bytes; remaining > 0; {
		n := min(remaining, chunkBytes)
		if err := s.link.Take(ctx, n); err != nil {
			return err
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return err //nolint:wrapcheck // only ends the copy
		}
		s.servedBytes.Add(n)
		remaining -= n
	}
	return nil
}
