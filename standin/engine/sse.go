package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"azuredoor.example/standin/fault"
)

// sse writes server-sent events to a response and flushes after each event.
type sse struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	faults     *fault.Set
	started    bool
}

func newSSE(w http.ResponseWriter, faults *fault.Set) *sse {
	return &sse{writer: w, controller: http.NewResponseController(w), faults: faults}
}

// start sends the response header.
func (s *sse) start() error {
	s.started = true
	s.writer.Header().Set("Content-Type", "text/event-stream")
	s.writer.Header().Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
	return eris.Wrap(s.controller.Flush(), "send the response header")
}

func (s *sse) data(ctx context.Context, data []byte) error {
	return s.write(ctx, "data: "+string(data)+"\n\n")
}

func (s *sse) comment(ctx context.Context, text string) error {
	return s.write(ctx, ": "+text+"\n\n")
}

// write writes text and flushes the response. It waits while the fault Freeze is active.
func (s *sse) write(ctx context.Context, text string) error {
	if err := s.faults.Wait(ctx, fault.Freeze); err != nil {
		return eris.Wrap(err, "wait for the end of the freeze fault")
	}
	if !s.started {
		if err := s.start(); err != nil {
			return err
		}
	}
	if err := s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return eris.Wrap(err, "set the write deadline")
	}
	if _, err := s.writer.Write([]byte(text)); err != nil {
		return eris.Wrap(err, "write an event")
	}
	return eris.Wrap(s.controller.Flush(), "flush an event")
}
