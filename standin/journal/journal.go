// Package journal writes the execution log of a stand-in as JSON lines and detects secrets in requests.
package journal

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Line is one line of the log.
type Line struct {
	Time     time.Time `json:"time"`
	Upstream string    `json:"upstream"`
	// Event is "start" or "end".
	Event string `json:"event"`
	// Work is "reserve", "prefill", "decode", "order" or "service".
	Work      string `json:"work"`
	RequestID string `json:"requestId,omitempty"`
	Attempt   int    `json:"attempt,omitempty"`
	Customer  string `json:"customer,omitempty"`
	Method    string `json:"method,omitempty"`
	Path      string `json:"path,omitempty"`
	// BodyHash is the SHA-256 of the body of a request to a plain service, in hex.
	BodyHash  string `json:"bodyHash,omitempty"`
	Tokens    int    `json:"tokens,omitempty"`
	Fence     uint64 `json:"fence,omitempty"`
	Cancelled bool   `json:"cancelled,omitempty"`
	// Secrets lists the headers and body parts that look like a secret, truncated.
	Secrets []string `json:"secrets,omitempty"`
	// SinceLeaving is the time in milliseconds since the upstream announced that it is leaving.
	SinceLeaving int64 `json:"sinceLeaving,omitempty"`
}

// Log is an execution log. Its methods are safe for concurrent use.
type Log struct {
	upstream string
	mu       sync.Mutex
	writer   io.Writer
	secrets  atomic.Int64
}

// New returns the log of an upstream. A nil writer discards all lines.
func New(upstream string, writer io.Writer) *Log {
	return &Log{upstream: upstream, writer: writer}
}

// Write appends a line, with its time and upstream set.
func (l *Log) Write(line Line) error {
	l.secrets.Add(int64(len(line.Secrets)))
	if l.writer == nil {
		return nil
	}
	line.Time, line.Upstream = time.Now(), l.upstream
	data, err := json.Marshal(line)
	if err != nil {
		return eris.Wrap(err, "encode a line of the execution log")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.writer.Write(append(data, '\n'))
	return eris.Wrap(err, "write the execution log")
}

// Secrets returns the number of secrets in all lines written.
func (l *Log) Secrets() int64 { return l.secrets.Load() }

var secretPattern = regexp.MustCompile(`\bsk-[A-Za-z0-9]|\bad-[A-Za-z0-9_-]{16,}`)

// FindSecrets returns the parts of the headers and the body that look like a secret, each truncated to 12 characters.
func FindSecrets(header http.Header, body []byte) []string {
	var found []string
	for name, values := range header {
		for _, value := range values {
			lower := strings.ToLower(name)
			if lower == "authorization" || lower == "cookie" || strings.Contains(lower, "api-key") || secretPattern.MatchString(value) {
				found = append(found, name+": "+truncate(value))
			}
		}
	}
	for _, match := range secretPattern.FindAllIndex(body, -1) {
		found = append(found, "body: "+truncate(string(body[match[0]:])))
	}
	return found
}

func truncate(text string) string { return text[:min(len(text), 12)] }

// Hash returns the SHA-256 of a body, in hex.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
