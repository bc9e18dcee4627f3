package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/standin/journal"
)

const maxBodyBytes = 16 << 20

// Server serves an engine over HTTP.
type Server struct {
	engine *Engine
	loads  errgroup.Group
}

// NewServer returns a server for an engine.
func NewServer(e *Engine) *Server { return &Server{engine: e} }

// Wait waits until all model loads have ended, and returns the first error.
func (s *Server) Wait() error { return s.loads.Wait() }

// Handler returns the handler of the engine's HTTP API.
func (s *Server) Handler() http.Handler {
	e := s.engine
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/reserve", func(w http.ResponseWriter, r *http.Request) {
		var body reserveRequest
		if !s.readBody(w, r, &body) || !e.accepts(w, RoleDecode, body.Model) {
			return
		}
		answer, err := e.reserve(body)
		if err != nil {
			refuseDecode(w, err)
			return
		}
		writeJSON(w, answer)
	})
	mux.HandleFunc("POST /v1/prefill", func(w http.ResponseWriter, r *http.Request) {
		var body prefillRequest
		if !s.readBody(w, r, &body) || !e.accepts(w, RolePrefill, body.Model) {
			return
		}
		answer, err := e.prefill(r.Context(), body)
		if err != nil {
			refuse(w, http.StatusConflict, "cancelled")
			return
		}
		writeJSON(w, answer)
	})
	mux.HandleFunc("POST /v1/decode", func(w http.ResponseWriter, r *http.Request) {
		var body decodeRequest
		if s.readBody(w, r, &body) && e.accepts(w, RoleDecode, body.Model) {
			e.serveDecode(w, r, body)
		}
	})
	mux.HandleFunc("POST /v1/cancel", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			RequestID string `json:"requestId"`
			Owner     string `json:"owner"`
		}
		if s.readBody(w, r, &body) {
			writeJSON(w, map[string]int{"cancelled": e.Cancel(body.RequestID, body.Owner)})
		}
	})
	mux.HandleFunc("POST /v1/orders", s.serveOrder)
	mux.HandleFunc("GET /v1/requests", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, map[string]any{"requests": e.Requests(r.URL.Query().Get("owner"))})
	})
	mux.HandleFunc("GET /v1/events", e.events.serve)
	mux.HandleFunc("GET /v1/kv/{handle}", e.serveTransfer)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(requestIDHeader); id != "" {
			w.Header().Set(requestIDHeader, id)
		}
		mux.ServeHTTP(w, r)
	})
}

// requestIDHeader carries the ID of a call. The response repeats it.
const requestIDHeader = "Azuredoor-Request-Id"

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body orderRequest
	if !s.readBody(w, r, &body) {
		return
	}
	load, err := s.engine.acceptOrder(body)
	if err != nil {
		refuse(w, http.StatusConflict, "staleFence")
		return
	}
	if load != nil {
		// The load continues after the response. Its completion is visible in the announced models.
		ctx := context.WithoutCancel(r.Context())
		s.loads.Go(func() error { return load(ctx) })
	}
	writeJSON(w, map[string]any{"accepted": true})
}

// readBody decodes the body of a request into target, and logs a request that contains a secret. On failure, readBody
// writes an error response and returns false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, target any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "the body broke off")
		return false
	}
	if secrets := journal.FindSecrets(r.Header, body); len(secrets) > 0 {
		line := journal.Line{Event: "start", Work: r.URL.Path, Customer: r.Header.Get("Azuredoor-Customer"), Secrets: secrets}
		if err := s.engine.config.Log.Write(line); err != nil {
			refuse(w, http.StatusInternalServerError, "log")
			return false
		}
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(target); err != nil {
		refuse(w, http.StatusBadRequest, "the body is not valid: "+err.Error())
		return false
	}
	return true
}

// accepts reports whether the engine has the role and has loaded the model. If not, it writes the refusal.
func (e *Engine) accepts(w http.ResponseWriter, role, model string) bool {
	e.mu.Lock()
	fits := e.role == RoleBoth || e.role == role
	loaded := e.models[model]
	e.mu.Unlock()
	switch {
	case !fits:
		refuse(w, http.StatusConflict, "role")
	case !loaded:
		refuse(w, http.StatusNotFound, "modelNotLoaded")
	}
	return fits && loaded
}

// refuseDecode writes the refusal for an error of reserve, resume, takeSlot or openPull.
func refuseDecode(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errFull):
		refuse(w, http.StatusServiceUnavailable, "full")
	case errors.Is(err, errKVGone):
		refuse(w, http.StatusGone, "kvGone")
	case errors.Is(err, errNoStream):
		refuse(w, http.StatusNotFound, "notHeld")
	case errors.Is(err, errRunning):
		refuse(w, http.StatusConflict, "running")
	case errors.Is(err, errBeyondEnd):
		refuse(w, http.StatusConflict, "startAt")
	default:
		refuse(w, http.StatusBadGateway, "transferFailed")
	}
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(map[string]string{"reason": reason}); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		panic(http.ErrAbortHandler)
	}
}
