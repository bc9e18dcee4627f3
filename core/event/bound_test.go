package event

import (
	"bytes"
	"strings"
	"testing"
)

// TestBound guards against a flood that fills the disk with log lines, and against lines that vanish unnoticed.
func TestBound(t *testing.T) {
	var out bytes.Buffer
	l := New(Options{Writer: &out, PerSecond: 5})
	for range 50 {
		l.Write(RequestEnded, nil)
	}
	l.Write(EntryStarted, nil)
	if got := strings.Count(out.String(), `"event":1111`); got < 5 || got > 10 {
		t.Errorf("got %d lines of the flood, want 5 in a second", got)
	}
	if !strings.Contains(out.String(), `"event":1001`) {
		t.Error("the flood of one event left out another one")
	}
	l.second = 0
	l.Write(RequestEnded, nil)
	if !strings.Contains(out.String(), `"event":1113`) {
		t.Error("the lines that were left out are not counted in the log")
	}
}

// blocked is a writer that never returns.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestNeverBlocks guards against requests that wait for a slow reader of the log.
func TestNeverBlocks(t *testing.T) {
	w := blocked{make(chan struct{})}
	l := New(Options{Writer: w, Queue: 4})
	for range 100 {
		l.Write(RequestEnded, nil)
	}
	close(w.release)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}
