package web

import (
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/place"
)

const (
	eventStreamType = "text/event-stream"
	// identityLength is the content length by which fasthttp marks a body that ends with its connection.
	identityLength = -2
)

var (
	// errNoEvent means that a stream had no event and no other end than that of its connection.
	errNoEvent = errors.New("the connection ended before the first event")
	// errOtherResponse means that the response does not continue the stream that the caller has begun to receive.
	errOtherResponse = errors.New("response does not continue the stream")
)

// continuesStream reports whether the response is an event stream that begins the response to the caller, or continues it.
func (q *request) continuesStream(s *attempt) bool {
	if s.err != nil || s.outcome != place.Served || q.x.Request.Header.IsHead() {
		return false
	}
	status, kind := s.response.StatusCode(), mediaType(&s.response.Header)
	if q.x.HeaderWritten() {
		return status == q.x.Status() && kind == q.streamType
	}
	return status < 300 && status != fasthttp.StatusNoContent && (kind == "" || kind == eventStreamType)
}

// mediaType returns the media type of a response in lower case, without parameters; empty if the response states none.
func mediaType(h *fasthttp.ResponseHeader) string {
	h.SetNoDefaultContentType(true)
	kind, _, _ := strings.Cut(string(h.ContentType()), ";")
	return strings.ToLower(strings.TrimSpace(kind))
}

// beginStream writes the header of a stream to the caller.
func (q *request) beginStream(s *attempt) error {
	q.streamType = mediaType(&s.response.Header)
	return q.x.WriteHeader(&s.response.Header)
}

// readNonStream reads the body of a response that is not an event stream, such as an error. If it is not complete, or cannot
// be forwarded because a stream has begun, the attempt counts as broken.
func (q *request) readNonStream(s *attempt) []byte {
	if s.err != nil || s.notRun() {
		return nil
	}
	if q.x.HeaderWritten() {
		if s.outcome == place.Served {
			s.outcome = place.Broken
		}
		s.err = errOtherResponse
		return nil
	}
	body, err := s.body.ReadAll(maxResponseBytes)
	if err != nil {
		s.outcome, s.err = place.Broken, err
		if q.callerGone() {
			s.outcome = place.Cancelled
		}
	}
	return body
}
