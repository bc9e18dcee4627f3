package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a runner.
type arrival struct {
	id, from, expected string
	at                 time.Time
	// run is set if the runner began to work on it, done if the whole answer was written.
	run, done bool
	runner    *runner
}

// runner is a stand-in of a runner of a service.
type runner struct {
	fleet                      *fleet
	id, service, address, zone string
	stage                      string
	born                       int64
	sequence, spoiled, answers atomic.Int64
	// noControl is set while the runner cannot reach the control_plane.
	noControl, draining atomic.Bool
	// silentUntil is until when the runner sends nothing, in Unix nanoseconds.
	silentUntil atomic.Int64
	work        time.Duration
	slots       chan struct{}
	// spoil is set for runners that spoil some of their answers.
	spoil  bool
	server *http.Server
	quit   chan struct{}
	next   atomic.Int64

	mu       sync.Mutex
	arrivals []*arrival
}

func (f *fleet) newRunner(id, service, stage string, n, slots int, work time.Duration) *runner {
	return &runner{
		fleet: f, id: id, service: service, stage: stage, address: fmt.Sprintf("%s:%d", f.ip(1, n), runnerPort), zone: zones[n%3],
		born: time.Now().UnixMilli(), work: work, slots: make(chan struct{}, slots), quit: make(chan struct{}),
	}
}

func (r *runner) start() error {
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(ln) }()
	go func() {
		for {
			r.announce()
			select {
			case <-r.quit:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	return nil
}

// stop ends the runner at once.
func (r *runner) stop() {
	close(r.quit)
	_ = r.server.Close()
}

func (r *runner) heartbeat() []byte {
	state := "ready"
	if r.draining.Load() {
		state = "draining"
	}
	fields := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": cap(r.slots), "state": state,
		"cold_remaining_ms": 0, "sequence": r.sequence.Add(1), "born": r.born,
	}
	if r.stage != "" {
		fields["stage"] = r.stage
		fields["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	body, _ := json.Marshal(fields)
	return body
}

// announce sends a heartbeat to one machine after the other until one acknowledges it within a second.
func (r *runner) announce() bool { return r.tell(http.MethodPut, r.heartbeat(), int(r.next.Load())) }

// tell sends a call to the machines in turn, from the given one on, until one acknowledges it within a second.
func (r *runner) tell(method string, body []byte, first int) bool {
	controls := r.fleet.controls()
	for i := range controls {
		if r.noControl.Load() {
			return false
		}
		n := (first + i) % len(controls)
		began := time.Now()
		status, _, err := call(method, controls[n], "/-/instances/"+r.id, body, time.Second)
		if method == http.MethodDelete || r.draining.Load() {
			r.fleet.record.line("runner %s sends %s %s to core-%d: status %d after %d ms", r.id, method, body, n+1, status, time.Since(began).Milliseconds())
		}
		if err == nil && status/100 == 2 {
			r.next.Store(int64(n))
			return true
		}
	}
	return false
}

func (r *runner) arrive(q *http.Request, run bool) *arrival {
	host, _, _ := net.SplitHostPort(q.RemoteAddr)
	a := &arrival{id: q.Header.Get("Request-Id"), from: host, expected: q.Header.Get("Expect-Instance"), at: time.Now(), run: run, runner: r}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	return a
}

func (r *runner) list() []*arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*arrival(nil), r.arrivals...)
}

// spoils reports whether the runner spoils this answer: at most one in twenty of all its answers.
func (r *runner) spoils() bool {
	if !r.spoil || (r.spoiled.Load()+1)*20 > r.answers.Load() {
		return false
	}
	r.spoiled.Add(1)
	return true
}

func stamp(id string) string { return "3e1b.07." + id }

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	r.answers.Add(1)
	h := w.Header()
	if r.draining.Load() {
		h.Set("Server-Leaving", "1")
	}
	switch {
	case q.URL.Path == "/health":
		h.Set("Instance-Id", r.id)
		return
	case q.URL.Path == "/-/hold-take":
		r.json(w, map[string]any{"hold": fmt.Sprintf("%x", time.Now().UnixNano())})
		return
	case q.Method == http.MethodDelete:
		if r.spoils() {
			r.endless(w, q)
			return
		}
		r.json(w, map[string]any{})
		return
	}
	id := q.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e := q.Header.Get("Expect-Instance"); e != "" && e != r.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.stage != "" {
		r.serveModel(w, q, id)
		return
	}
	a := r.arrive(q, true)
	select {
	case r.slots <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	if !r.pause(q, r.work) {
		return
	}
	for time.Now().UnixNano() < r.silentUntil.Load() {
		if !r.pause(q, 5*time.Millisecond) {
			return
		}
	}
	h.Set("Server-Stamp", stamp(id))
	body := make([]byte, 800)
	for i := range body {
		body[i] = "0123456789abcdef"[i%16]
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write(body)
	a.done = err == nil
}

// serveModel prefills a prompt, or writes an answer as a stream of events.
func (r *runner) serveModel(w http.ResponseWriter, q *http.Request, id string) {
	h := w.Header()
	if q.Header.Get("Serving-Stage") == "prefill" {
		if r.stage != "prefill" {
			h.Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.pause(q, r.work) {
			r.json(w, map[string]any{"cache_handle": fmt.Sprintf("%x", time.Now().UnixNano()), "tokens": 5200, "version": 1})
		}
		return
	}
	if r.stage != "decode" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := r.arrive(q, true)
	h.Set("Server-Stamp", stamp(id))
	h.Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	if !r.pause(q, 30*time.Millisecond) {
		return
	}
	for n := after + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil || control.Flush() != nil {
			return
		}
		if !r.pause(q, 30*time.Millisecond) {
			return
		}
	}
	a.done = true
}

const streamEvents = 40

// pause waits and reports whether the caller is still there.
func (r *runner) pause(q *http.Request, d time.Duration) bool {
	select {
	case <-q.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *runner) json(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	body, _ := json.Marshal(value)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// endless answers with a body that has no end until the caller closes.
func (r *runner) endless(w http.ResponseWriter, q *http.Request) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r.fleet.record.line("runner %s spoils its answer to %s %s from %s (%d of %d answers): a body without end", r.id, q.Method, q.URL.Path, q.RemoteAddr, r.spoiled.Load(), r.answers.Load())
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 999999999999999999\r\n\r\n")
	if buffered.Flush() != nil {
		return
	}
	block := make([]byte, 4096)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}
