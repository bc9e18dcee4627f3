// Package service implements a stand-in for a plain HTTP service.
package service

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"azuredoor.example/standin/fault"
	"azuredoor.example/standin/journal"
	"azuredoor.example/standin/link"
)

const maxBodyBytes = 16 << 20

// Config configures a Service.
type Config struct {
	ID string
	// Latency is the processing time of one request.
	Latency time.Duration
	// Concurrency is the number of requests processed at once; further requests wait.
	Concurrency int
	Faults      *fault.Set
	Log         *journal.Log
	// SinceLeaving returns the time since the service announced that it is leaving, or 0 if it is not leaving.
	SinceLeaving func() time.Duration
}

// Response is the body of each response.
type Response struct {
	Instance string `json:"instance"`
	// Number is the sequence number of the request at this instance.
	Number int64  `json:"number"`
	Method string `json:"method"`
	// Path includes the query.
	Path     string `json:"path"`
	BodyHash string `json:"bodyHash"`
	// Executions is the number of times that this instance has executed a request with this path and body; 0 for GET and
	// HEAD.
	Executions int `json:"executions"`
}

// Execution is the number of executions of the non-idempotent requests with one path and body.
type Execution struct {
	Path     string `json:"path"`
	BodyHash string `json:"bodyHash"`
	Count    int    `json:"count"`
}

// Service is a simulated service that counts executions by path and body hash.
type Service struct {
	config Config
	slots  chan struct{}

	mu         sync.Mutex
	number     int64
	waiting    int
	executions map[[2]string]int
	// previous is the response to the previous request, which the fault CrossAnswers sends.
	previous Response
}

// New returns a service.
func New(config Config) *Service {
	return &Service{config: config, slots: make(chan struct{}, config.Concurrency), executions: map[[2]string]int{}}
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /executions", s.serveExecutions)
	mux.HandleFunc("/", s.serve)
	return mux
}

// Stats returns the counters that GET /stats reports.
func (s *Service) Stats() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, maxCount := 0, 0
	for _, count := range s.executions {
		total += count
		maxCount = max(maxCount, count)
	}
	return map[string]any{
		"slots": s.config.Concurrency, "slotsInUse": len(s.slots), "waiting": s.waiting,
		"answers": s.number, "executions": total, "mostExecutionsOfOne": maxCount,
	}
}

// Load returns the number of running requests, of waiting requests and of free slots.
func (s *Service) Load() (running, waiting, free int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.slots), s.waiting, s.config.Concurrency - len(s.slots)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body broke off", http.StatusBadRequest)
		return
	}
	line := journal.Line{
		Event: "start", Work: "service", RequestID: r.Header.Get("Azuredoor-Request-Id"), Customer: r.Header.Get("Azuredoor-Customer"),
		Method: r.Method, Path: r.URL.RequestURI(), BodyHash: journal.Hash(body),
		Secrets: journal.FindSecrets(r.Header, body), SinceLeaving: s.config.SinceLeaving().Milliseconds(),
	}
	s.addWaiting(1)
	select {
	case s.slots <- struct{}{}:
		s.addWaiting(-1)
	case <-r.Context().Done():
		s.addWaiting(-1)
		return
	}
	defer func() { <-s.slots }()
	response := s.execute(line)
	if err := s.config.Log.Write(line); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	err = link.Sleep(r.Context(), s.config.Faults.Scale(s.config.Latency))
	line.Event, line.Secrets, line.Cancelled = "end", nil, err != nil
	if logErr := s.config.Log.Write(line); err != nil || logErr != nil {
		return
	}
	if s.config.Faults.Wait(r.Context(), fault.Freeze) != nil {
		return
	}
	if _, ok := s.config.Faults.Trigger(fault.DropStream); ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, s.swapResponse(response))
}

func (s *Service) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

// execute counts the request and returns the response to it. It is called before the processing time, so that a broken
// connection does not hide an execution.
func (s *Service) execute(line journal.Line) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	response := Response{Instance: s.config.ID, Number: s.number, Method: line.Method, Path: line.Path, BodyHash: line.BodyHash}
	if line.Method != http.MethodGet && line.Method != http.MethodHead {
		key := [2]string{line.Path, line.BodyHash}
		s.executions[key]++
		response.Executions = s.executions[key]
	}
	return response
}

// swapResponse returns the previous response in place of this one if the fault CrossAnswers is triggered.
func (s *Service) swapResponse(response Response) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previous
	s.previous = response
	if _, ok := s.config.Faults.Trigger(fault.CrossAnswers); ok && previous.Number > 0 {
		return previous
	}
	return response
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := make([]Execution, 0, len(s.executions))
	for key, count := range s.executions {
		list = append(list, Execution{Path: key[0], BodyHash: key[1], Count: count})
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b Execution) int {
		return cmp.Or(strings.Compare(a.Path, b.Path), strings.Compare(a.BodyHash, b.BodyHash))
	})
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		panic(http.ErrAbortHandler)
	}
}
