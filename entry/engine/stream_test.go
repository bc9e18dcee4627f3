package engine

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
)

func tokenLine(id string, attempt, offset string) string {
	return `data: {"requestId":"` + id + `","attempt":` + attempt + `,"offset":` + offset + `,"text":" t` + offset + "\"}\n\n"
}

// readAll reads a stream until the first error and returns the text.
func readAll(source string, startAt, maxTokens int) (string, *Reader, error) {
	r := NewReader(strings.NewReader(source), Attempt{RequestID: "7-1", Attempt: 2}, startAt)
	r.maxTokens = maxTokens
	var text strings.Builder
	for {
		token, err := r.Next()
		if err != nil {
			return text.String(), r, err
		}
		text.WriteString(token)
	}
}

// TestReader guards against responses with missing or repeated tokens, or with tokens of other requests or earlier
// attempts.
func TestReader(t *testing.T) {
	tokens := func(offsets ...string) string {
		var b strings.Builder
		for _, offset := range offsets {
			b.WriteString(tokenLine("7-1", "2", offset))
		}
		return b.String()
	}
	const end = `data: {"requestId":"7-1","attempt":2,"done":true,"finishReason":"stop","tokens":3}` + "\n\n"
	const endWithoutID = `data: {"done":true,"finishReason":"stop"}` + "\n\n"
	tests := []struct {
		name, source, text string
		startAt, maxTokens int
		// brokenAt is the offset at which the stream breaks, or -1 for a complete stream.
		brokenAt int
	}{
		{"complete", tokens("0", "1", "2") + end, " t0 t1 t2", 0, 0, -1},
		{"comments and CRLF", ": hb\r\n\r\n" + strings.ReplaceAll(tokens("0", "1", "2")+end, "\n", "\r\n"), " t0 t1 t2", 0, 0, -1},
		{"other request", tokens("0") + tokenLine("7-2", "2", "1") + tokens("1", "2") + end, " t0 t1 t2", 0, 0, -1},
		{"earlier attempt", tokenLine("7-1", "1", "0") + tokens("0", "1", "2") + end, " t0 t1 t2", 0, 0, -1},
		{"repeated token", tokens("0", "0", "1", "0", "2", "2") + end, " t0 t1 t2", 0, 0, -1},
		{"resumed", tokens("0", "1", "2") + end, " t2", 2, 0, -1},
		{"gap", tokens("0", "2"), " t0", 0, 0, 1},
		{"unexpected end", tokens("0", "1"), " t0 t1", 0, 0, 2},
		{"end of another request", tokens("0") + `data: {"requestId":"7-2","attempt":2,"done":true}` + "\n\n", " t0", 0, 0, 1},
		{"end without request ID after a token of another request", tokens("0") + tokenLine("7-2", "1", "1") + endWithoutID, " t0", 0, 0, 1},
		{"end without request ID", tokens("0") + endWithoutID, " t0", 0, 0, -1},
		{"end too early", tokens("0", "1") + end, " t0 t1", 0, 0, 2},
		{"length too early", tokens("0") + `data: {"done":true,"finishReason":"length"}` + "\n\n", " t0", 0, 5, 1},
		{"error of the engine", tokens("0") + `data: {"error":"cancelled"}` + "\n\n", " t0", 0, 0, 1},
		{"not JSON", tokens("0") + "data: <html>\n\n", " t0", 0, 0, 1},
		{"token without request ID", tokens("0") + `data: {"offset":1,"text":"x"}` + "\n\n" + tokens("1", "2") + end, " t0 t1 t2", 0, 0, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text, _, err := readAll(test.source, test.startAt, test.maxTokens)
			var broken *BrokenStreamError
			brokenAt := -1
			if errors.As(err, &broken) {
				brokenAt = broken.Offset
			} else if !errors.Is(err, io.EOF) {
				t.Fatalf("got error %v, want io.EOF or a *BrokenStreamError", err)
			}
			if text != test.text || brokenAt != test.brokenAt {
				t.Errorf("got text %q, broken at %d, want %q, %d (error %v)", text, brokenAt, test.text, test.brokenAt, err)
			}
		})
	}
}

// FuzzReader guards against panics, endless reads and tokens out of order for any input in chunks of any size.
func FuzzReader(f *testing.F) {
	f.Add(tokenLine("7-1", "2", "0")+tokenLine("7-2", "2", "1")+`data: {"done":true}`+"\n", 3)
	f.Add(": c\r\ndata:{}\n\ndata: {\"error\":\"x\"}\n", 1)
	f.Add("data: {\"requestId\":\"7-1\",\"attempt\":2,\"offset\":-1}\n", 7)
	f.Add(strings.Repeat("x", 5000)+"\n", 100)
	f.Fuzz(func(t *testing.T, source string, size int) {
		r := NewReader(&chunkReader{source, max(1, size)}, Attempt{RequestID: "7-1", Attempt: 2}, 0)
		for n := 0; ; n++ {
			if _, err := r.Next(); err != nil {
				if r.Offset() != n {
					t.Errorf("got offset %d after %d tokens", r.Offset(), n)
				}
				return
			}
			if n > len(source) {
				t.Fatalf("got more than %d tokens", len(source))
			}
			r.Buffered()
		}
	})
}

// chunkReader is an io.Reader that returns at most size bytes at a time.
type chunkReader struct {
	rest string
	size int
}

func (r *chunkReader) Read(b []byte) (int, error) {
	if r.rest == "" {
		return 0, io.EOF
	}
	n := copy(b, r.rest[:min(r.size, len(r.rest))])
	r.rest = r.rest[n:]
	return n, nil
}

// FuzzParsePlainToken guards against differences between parsePlainToken and the JSON decoder.
func FuzzParsePlainToken(f *testing.F) {
	f.Add("0,\"text\":\" t0\"}")
	f.Add("00,\"text\":\"\\u0041\"}")
	f.Add("1,\"text\":\"a\",\"offset\":\"}")
	f.Add("999999999999999999999,\"text\":\"\"}")
	f.Fuzz(func(t *testing.T, rest string) {
		r := NewReader(nil, Attempt{RequestID: "7-1", Attempt: 2}, 0)
		content := []byte(string(r.tokenPrefix) + rest)
		offset, text, ok := r.parsePlainToken(content)
		if !ok {
			return
		}
		var m message
		if err := json.Unmarshal(content, &m); err != nil || m.Offset == nil || *m.Offset != offset || m.Text != text {
			t.Errorf("%s: got %d, %q, want %+v (%v)", content, offset, text, m, err)
		}
	})
}
