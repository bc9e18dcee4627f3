// Package event writes log lines for numbered events of a catalogue.
package event

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// ID is the number of an event and is never reused. The numbers 1000 to 1999 belong to the entry, 2000 to 2999 to
// control, and 3000 to 3999 to core.
type ID int

// Description holds the log level and the message of an event.
type Description struct {
	Level log.Level
	Text  string
}

// Logger writes the events of one process.
type Logger struct {
	log   log.Logger
	queue *log.AsyncWriter

	// maxPerSecond bounds the lines of each event in a second; 0 means no bound.
	maxPerSecond int
	// mu guards the fields below.
	mu sync.Mutex
	// second is the Unix time of the counts below.
	second  int64
	written map[ID]int
	dropped int
}

// Options configure a Logger.
type Options struct {
	// Writer defaults to standard error.
	Writer io.Writer
	// Level is "debug", "info", "warn" or "error"; empty means info.
	Level string
	// Text selects human-readable lines instead of JSON.
	Text bool
	// Program and Name identify the process in each line.
	Program, Name string
	// Queue, if set, is the capacity of the queue of lines in front of Writer. Lines that do not fit are dropped, so that
	// a slow reader of the log does not delay requests.
	Queue uint
	// PerSecond, if set, bounds the lines of each event in a second. Further lines are dropped.
	PerSecond int
}

// New returns a logger.
func New(o Options) *Logger {
	if o.Writer == nil {
		o.Writer = os.Stderr
	}
	var writer log.Writer = &log.IOWriter{Writer: o.Writer}
	if o.Text {
		writer = &log.ConsoleWriter{Writer: o.Writer}
	}
	level := log.InfoLevel
	if o.Level != "" {
		level = log.ParseLevel(o.Level)
	}
	l := &Logger{maxPerSecond: o.PerSecond, written: map[ID]int{}}
	if o.Queue > 0 {
		l.queue = &log.AsyncWriter{Writer: writer, ChannelSize: o.Queue, DiscardOnFull: true}
		writer = l.queue
	}
	context := log.NewContext(nil).Str("program", o.Program).Str("name", o.Name).Value()
	l.log = log.Logger{Level: level, Writer: writer, Context: context}
	return l
}

// Close writes the queued lines.
func (l *Logger) Close() error {
	if l.queue == nil {
		return nil
	}
	if err := l.queue.Close(); err != nil && !errors.Is(err, os.ErrClosed) {
		return fmt.Errorf("write the last log lines: %w", err)
	}
	return nil
}

// admit reports whether a line of the event is within the bound. On the first call in a second, it also returns the
// number of lines dropped since the previous reset.
func (l *Logger) admit(id ID) (ok bool, dropped int) {
	if l.maxPerSecond == 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.second {
		l.second, dropped, l.dropped = now, l.dropped, 0
		clear(l.written)
	}
	if l.written[id] >= l.maxPerSecond {
		l.dropped++
		return false, dropped
	}
	l.written[id]++
	return true, dropped
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return &Logger{log: log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}}
}

// Write writes one event. The fields function may be nil, and must not add access keys or prompt text.
func (l *Logger) Write(id ID, fields func(e *log.Entry)) {
	description, ok := Catalogue[id]
	if !ok {
		description = Description{Level: log.ErrorLevel, Text: fmt.Sprintf("event %d is not in the catalogue", id)}
	}
	ok, dropped := l.admit(id)
	if dropped > 0 {
		l.log.WithLevel(Catalogue[LinesDropped].Level).Int("event", int(LinesDropped)).Int("lines", dropped).Msg(Catalogue[LinesDropped].Text)
	}
	if !ok {
		return
	}
	entry := l.log.WithLevel(description.Level)
	if entry == nil {
		return
	}
	entry = entry.Int("event", int(id))
	if fields != nil {
		fields(entry)
	}
	entry.Msg(description.Text)
}

// Error writes one event with the error as a field.
func (l *Logger) Error(id ID, err error) {
	l.Write(id, func(e *log.Entry) { e.Err(err) })
}
