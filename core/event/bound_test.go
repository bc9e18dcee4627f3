package event

import (
	"bytes"
	"strings"
	"testing"
)

// TestLineLimit guards against a flood of one event that fills the disk, and against dropped lines that are not counted in
// the log.
func TestLineLimit(t *testing.T) {
	var out bytes.Buffer
	l := New(Options{Writer: &out, PerSecond: 5})
	for range 50 {
		l.Write(RequestEnded, nil)
	}
	l.Write(EntryStarted, nil)
	if got := strings.Count(out.String(), `"event":1111`); got < 5 || got > 10 {
		t.Errorf("got %d lines of the repeated event, want 5 in a second", got)
	}
	if !strings.Contains(out.String(), `"event":1001`) {
		t.Error("the limit on one event dropped a line of another event")
	}
	l.second = 0
	l.Write(RequestEnded, nil)
	if !strings.Contains(out.String(), `"event":1113`) {
		t.Error("the dropped lines are not counted in the log")
	}
}

// blockedWriter is a writer whose calls block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestWriteDoesNotBlock guards against requests that wait for a slow reader of the log.
func TestWriteDoesNotBlock(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	l := New(Options{Writer: w, Queue: 4})
	for range 100 {
		l.Write(RequestEnded, nil)
	}
	close(w.release)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}
