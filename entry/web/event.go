package web

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// errTruncatedStream means that a stream ended in the middle of an event.
var errTruncatedStream = errors.New("stream ended in the middle of an event")

// errLargeEvent means that an event is larger than maxEventBytes.
var errLargeEvent = errors.New("event is too large")

// readEvent reads one event, including the blank line that ends the event. It returns io.EOF only between events.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > maxEventBytes:
			return nil, errLargeEvent
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(event) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, errTruncatedStream
		case err != nil:
			return nil, eris.Wrap(err, "read event")
		}
		if isBlank(line) {
			return event, nil
		}
	}
}

// bufferedEvent returns the next event if all of it is in the buffer.
func bufferedEvent(r *bufio.Reader) ([]byte, bool) {
	// Peek never fails for data that is already buffered.
	data, _ := r.Peek(r.Buffered())
	for end := 0; ; {
		i := bytes.IndexByte(data[end:], '\n')
		if i < 0 {
			return nil, false
		}
		line := data[end : end+i+1]
		end += i + 1
		if isBlank(line) {
			event := bytes.Clone(data[:end])
			// Discard never fails for data that is already buffered.
			_, _ = r.Discard(end)
			return event, true
		}
	}
}

// isBlank reports whether a line, with its line ending, is blank and so ends an event.
func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// eventID returns the value of an event's id field, or an empty string if the event has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// hasData reports whether an event has a data field. An event without one, such as a comment, is no progress.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data:")) || bytes.Contains(event, []byte("\ndata:"))
}

// isNewer reports whether the event id comes after last. IDs that are not numbers count as newer if they differ.
func isNewer(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
