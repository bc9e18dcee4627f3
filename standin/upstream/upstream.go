// Package upstream runs a stand-in process: the server, the announcements and the shutdown.
package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/settings"
	"azuredoor.example/standin/announce"
	"azuredoor.example/standin/engine"
	"azuredoor.example/standin/fault"
	"azuredoor.example/standin/journal"
	"azuredoor.example/standin/service"
	"azuredoor.example/standin/weight"
)

const (
	idleInterval    = 20 * time.Millisecond
	shutdownTimeout = 30 * time.Second
)

// upstream is one running stand-in.
type upstream struct {
	settings    *Settings
	incarnation uint64
	faults      *fault.Set
	log         *journal.Log

	handler http.Handler
	// The functions below depend on the kind of upstream.
	load  func() (running, waiting, free int)
	idle  func() bool
	stats func() any
	run   func(ctx context.Context) error
	// engine is nil if the upstream is not an engine.
	engine *engine.Engine

	mu sync.Mutex
	// stopping is set when the shutdown begins. Removing the fault Leave does not reset it.
	stopping     bool
	leavingSince time.Time
}

// Run serves until the context is done. Run then announces that the upstream is leaving, waits for running work to end
// and returns.
func Run(ctx context.Context, s *Settings) error {
	u := &upstream{settings: s, incarnation: uint64(time.Now().UnixMilli()), faults: fault.NewSet()}
	var writer io.Writer
	if s.LogFile != "" {
		file, err := os.OpenFile(s.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return eris.Wrap(err, "open the execution log")
		}
		defer func() { _ = file.Close() }()
		writer = file
	}
	u.log = journal.New(s.ID, writer)
	u.configureKind()
	token := ""
	if s.Announce != "" {
		var err error
		if token, err = settings.Secret("join-token-file", s.JoinTokenFile); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	return u.serve(ctx, listener, token)
}

func (u *upstream) configureKind() {
	s := u.settings
	u.run = func(context.Context) error { return nil }
	var kindHandler http.Handler
	switch s.Kind {
	case KindEngine:
		c := s.Engine
		c.ID, c.Address, c.Role, c.Models, c.EventLoss = s.ID, s.address(), s.Role, splitList(s.Models), s.eventLoss
		c.ChecksFencing, c.Incarnation, c.Faults, c.Log, c.SinceLeaving = s.ChecksFencing, u.incarnation, u.faults, u.log, u.sinceLeaving
		u.engine = engine.New(c)
		kindHandler = engine.NewServer(u.engine).Handler()
		u.load, u.idle, u.run = u.engine.Load, u.engine.Idle, u.engine.Run
		u.stats = func() any { return u.engine.Stats() }
	case KindService:
		plain := service.New(service.Config{
			ID: s.ID, Latency: s.Latency, Concurrency: s.Concurrency, Faults: u.faults, Log: u.log, SinceLeaving: u.sinceLeaving,
		})
		kindHandler, u.load = plain.Handler(), plain.Load
		u.idle = func() bool { running, waiting, _ := plain.Load(); return running+waiting == 0 }
		u.stats = func() any { return plain.Stats() }
	default:
		store := weight.New(weight.Config{Rate: s.WeightRate, Bytes: s.WeightBytes})
		kindHandler = store.Handler()
		u.load = func() (running, waiting, free int) { return store.Running(), 0, 0 }
		u.idle = func() bool { return store.Running() == 0 }
		u.stats = func() any { return store.Stats() }
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", u.serveStats)
	mux.Handle("/", kindHandler)
	u.handler = u.faults.Handler(mux)
}

func (u *upstream) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(map[string]any{
		"id": u.settings.ID, "incarnation": u.incarnation, "leaving": u.leaving(), "secretsSeen": u.log.Secrets(), "stats": u.stats(),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// leaving reports whether the upstream announces that it is leaving, which begins with the shutdown or the fault Leave.
func (u *upstream) leaving() bool {
	_, faultActive := u.faults.Active(fault.Leave)
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !faultActive && !u.stopping:
		u.leavingSince = time.Time{}
	case u.leavingSince.IsZero():
		u.leavingSince = time.Now()
	}
	return !u.leavingSince.IsZero()
}

// sinceLeaving returns the time since the upstream began to leave, or 0 if it is not leaving.
func (u *upstream) sinceLeaving() time.Duration {
	if !u.leaving() {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Since(u.leavingSince)
}

// announcement returns the current announcement, or false while the fault Silent is active.
func (u *upstream) announcement() (announce.Announcement, bool) {
	if _, silent := u.faults.Active(fault.Silent); silent {
		return announce.Announcement{}, false
	}
	s := u.settings
	a := announce.Announcement{
		ID: s.ID, Incarnation: u.incarnation, Address: s.address(), Kind: s.Kind, Pool: s.Pool, FailureDomain: s.FailureDomain,
		Slots: s.Concurrency, ChecksFencing: s.ChecksFencing, State: "ready",
	}
	if u.engine != nil {
		a.Models, a.Role = u.engine.Models()
		a.Slots = s.Engine.Slots
	}
	if u.leaving() {
		a.State = "leaving"
	}
	a.Load.Running, a.Load.Waiting, a.Load.FreeSlots = u.load()
	return a, true
}

func (u *upstream) serve(ctx context.Context, listener net.Listener, token string) error {
	server := &http.Server{Handler: u.handler, ReadHeaderTimeout: shutdownTimeout}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	wake := make(chan struct{}, 1)
	announcer := &announce.Announcer{Entries: u.settings.entries(), Token: token, Current: u.announcement}
	group.Go(func() error {
		if err := server.Serve(listener); background.Err() == nil {
			return eris.Wrap(err, "serve")
		}
		return nil
	})
	group.Go(func() error { return u.run(background) })
	group.Go(func() error {
		if u.settings.Kind == KindWeightStore {
			return nil
		}
		return announcer.Run(background, wake)
	})
	group.Go(func() error {
		defer func() { _ = server.Close() }()
		defer stop()
		select {
		case <-ctx.Done():
		case <-background.Done():
			return nil
		}
		u.drain(background, wake)
		return nil
	})
	return group.Wait()
}

// drain announces that the upstream is leaving and waits until no work is left and LeaveDelay has passed, at most for
// shutdownTimeout.
func (u *upstream) drain(ctx context.Context, wake chan<- struct{}) {
	u.mu.Lock()
	u.stopping = true
	u.mu.Unlock()
	since := time.Now()
	wake <- struct{}{}
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for end := time.Now().Add(shutdownTimeout); time.Now().Before(end); {
		if time.Since(since) >= u.settings.LeaveDelay && u.idle() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
