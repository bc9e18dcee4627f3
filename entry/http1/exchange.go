package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"azuredoor.example/core/budget"
	"azuredoor.example/entry/tcp"
)

// Exchange is one request and its response.
type Exchange struct {
	// Context is cancelled when the caller disconnects or the server closes.
	Context context.Context
	Request *fasthttp.Request
	// Arrived is when the first byte of the request was received.
	Arrived time.Time

	// status is the response status, 0 before a response is written.
	status int

	server *Server
	conn   *tcp.Conn
	input  *input
	reader *bufio.Reader
	writer *bufio.Writer
	// lease is the memory of the request's body, nil without one.
	lease *budget.Lease
	// closeAfter is set if the connection closes after the response. chunked is set if the response uses chunked transfer
	// coding. headerWritten is set once the response header is written, complete once the whole response is written. failed
	// is set by a call that does not fit what is written already; nothing more is written then.
	closeAfter, chunked, headerWritten, complete, failed bool
	// idleTimeout is how long the connection may be idle after the response, 0 for no limit.
	idleTimeout time.Duration
}

// refusal is the response to a request that could not be read. A status of 0 means that the caller has disconnected and
// no response is written.
type refusal struct {
	status int
	text   string
	// retryAfter is when the caller should retry, 0 for no time.
	retryAfter time.Duration
}

// defaultHeaderTimeout bounds the time to receive a header if no other bound is configured.
const defaultHeaderTimeout = 10 * time.Second

// readHeader reads the header of the request and enforces the bounds. It returns nil on success.
func (x *Exchange) readHeader(bounds Bounds) *refusal {
	x.Request = fasthttp.AcquireRequest()
	x.idleTimeout = bounds.IdleTimeout
	if err := x.conn.SetReadDeadline(time.Now().Add(cmp.Or(bounds.HeaderTimeout, defaultHeaderTimeout))); err != nil {
		return &refusal{}
	}
	h := &x.Request.Header
	h.SetNoDefaultContentType(true)
	if err := h.Read(x.reader); err != nil {
		return headerRefusal(err)
	}
	if bounds.HeaderBytes > 0 && len(h.RawHeaders()) > bounds.HeaderBytes {
		return &refusal{status: fasthttp.StatusRequestHeaderFieldsTooLarge, text: "the header is too large"}
	}
	if text := AmbiguityReason(h); text != "" {
		return &refusal{status: fasthttp.StatusBadRequest, text: text}
	}
	x.closeAfter = h.ConnectionClose() || !h.IsHTTP11()
	if bounds.BodyBytes > 0 && h.ContentLength() > bounds.BodyBytes {
		return bodyRefusal(budget.ErrTooLarge)
	}
	return nil
}

// invite tells a caller that waits for it to send the body.
func (x *Exchange) invite() *refusal {
	if !x.Request.MayContinue() {
		return nil
	}
	if _, err := x.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return &refusal{}
	}
	if err := x.writer.Flush(); err != nil {
		return &refusal{}
	}
	x.Request.Header.Del("Expect")
	return nil
}

func headerRefusal(err error) *refusal {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return &refusal{status: fasthttp.StatusRequestHeaderFieldsTooLarge, text: "the header is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: fasthttp.StatusRequestTimeout, text: "the header took too long"}
	case errors.Is(err, io.EOF), isReset(err):
		return &refusal{}
	}
	return &refusal{status: fasthttp.StatusBadRequest, text: "the header is malformed"}
}

// isReset reports whether a system call on the connection failed, for example because the caller reset the connection.
func isReset(err error) bool {
	var syscallError *os.SyscallError
	return errors.As(err, &syscallError)
}

// AmbiguityReason returns the reason why two HTTP implementations could parse the request differently (request
// smuggling), or an empty string if the request is unambiguous.
func AmbiguityReason(h *fasthttp.RequestHeader) string {
	lengths, encodings, hosts := 0, 0, 0
	for line := range bytes.Lines(h.RawHeaders()) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return "a header field is continued on a second line"
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return "a header field has no proper name"
		}
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if strings.Trim(strings.TrimSpace(value), "0123456789") != "" {
				return "the content length is not a number"
			}
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return "the transfer encoding is not supported"
			}
		case "host":
			hosts++
		}
	}
	switch {
	case lengths > 1 || encodings > 1 || lengths+encodings > 1:
		return "the request states its length more than once"
	case hosts > 1 || hosts == 0 && h.IsHTTP11():
		return "the request does not name one host"
	}
	return ""
}

// TimeUntilExit returns the time until the process exits. The second result reports whether the server is draining.
func (x *Exchange) TimeUntilExit() (time.Duration, bool) { return x.server.timeUntilExit() }

// closesAfter reports whether the connection closes after this response. A draining server closes it only after the responses to
// requests that have already arrived.
func (x *Exchange) closesAfter() bool {
	return x.closeAfter || x.server.draining.Load() && x.reader.Buffered() == 0 && !x.conn.HasInput()
}

// Status returns the response status, or 0 if no response has been written.
func (x *Exchange) Status() int { return x.status }

// Errors of calls that would add bytes to a response to which they do not belong.
var (
	errSecondResponse = errors.New("the exchange already has a response")
	errNoResponseBody = errors.New("the exchange has no response whose body could be written")
)

// fail makes the connection close after the exchange and returns err. A response that is not complete stays so.
func (x *Exchange) fail(err error) error {
	x.failed, x.closeAfter = true, true
	return err
}

// beginResponse returns an error if a response was begun before.
func (x *Exchange) beginResponse() error {
	if x.headerWritten || x.failed {
		return x.fail(errSecondResponse)
	}
	return nil
}

// checkBody returns an error unless a response was begun with WriteHeader and is not complete.
func (x *Exchange) checkBody() error {
	if !x.headerWritten || x.complete || x.failed {
		return x.fail(errNoResponseBody)
	}
	return nil
}

// bodyless reports whether the response has no body, whatever its header says (RFC 9112, section 6.3).
func (x *Exchange) bodyless() bool {
	return x.Request.Header.IsHead() || x.status == fasthttp.StatusNoContent || x.status == fasthttp.StatusNotModified
}

// WriteResponse writes a complete response. It replaces the hop-by-hop fields of the header. It fails, and the connection
// closes, if a response was begun before.
func (x *Exchange) WriteResponse(h *fasthttp.ResponseHeader, body []byte) error {
	if err := x.beginResponse(); err != nil {
		return err
	}
	StripHopByHop(h)
	x.closeAfter = x.closesAfter()
	x.writeConnectionFields(h)
	x.status, x.headerWritten = h.StatusCode(), true
	h.SetContentLength(len(body))
	h.SetNoDefaultContentType(true)
	if _, err := x.writer.Write(h.Header()); err != nil {
		return eris.Wrap(err, "write response")
	}
	if !x.bodyless() {
		if err := x.writeBody(body); err != nil {
			return eris.Wrap(err, "write response")
		}
	}
	if err := x.writer.Flush(); err != nil {
		return eris.Wrap(err, "write response")
	}
	x.complete = true
	return nil
}

const (
	// pieceBytes is the size of the pieces in which a body is written. A caller has the write timeout for each of them.
	pieceBytes = 32 << 10
	// heldBodyBytes is the size from which on a body that is being written counts as held for its caller.
	heldBodyBytes = 4 << 10
)

// writeBody writes the body of a response in pieces. It fails if the caller reads too slowly and the memory is needed for another one.
func (x *Exchange) writeBody(body []byte) error {
	if len(body) >= heldBodyBytes {
		lease := x.server.config.Memory.Lease("responses", func() {
			// Closing ends the write in progress.
			_ = x.conn.TCPConn.Close()
		})
		defer lease.Release()
		if err := lease.Grow(int64(len(body))); err != nil {
			return err
		}
		for ; len(body) > pieceBytes; body = body[pieceBytes:] {
			if _, err := x.writer.Write(body[:pieceBytes]); err != nil {
				return err //nolint:wrapcheck // wrapped by the caller
			}
			lease.Moved()
		}
	}
	_, err := x.writer.Write(body)
	return err //nolint:wrapcheck // wrapped by the caller
}

// writeConnectionFields tells the caller whether, and for how long, it may send another request on the connection. The header of an
// upstream also states that upstream's version of HTTP, by which the caller would read the framing of this server.
func (x *Exchange) writeConnectionFields(h *fasthttp.ResponseHeader) {
	h.SetProtocol([]byte("HTTP/1.1"))
	switch seconds := int64(x.idleTimeout / time.Second); {
	case x.closeAfter:
		h.SetConnectionClose()
	case seconds > 0:
		h.Set("Keep-Alive", "timeout="+strconv.FormatInt(seconds, 10))
	}
}

// retryAfterDecimals is the number of decimals of Retry-After, in seconds. Callers of this server accept fractions.
const retryAfterDecimals = 3

// Refuse writes a response that the entry generates itself. Retry-After is omitted if retryAfter is 0.
func (x *Exchange) Refuse(status int, text string, retryAfter time.Duration) {
	h := &fasthttp.ResponseHeader{}
	h.SetStatusCode(status)
	h.SetContentType("text/plain; charset=utf-8")
	if retryAfter > 0 {
		seconds := math.Ceil(retryAfter.Seconds()*1000) / 1000
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', retryAfterDecimals, 64))
	}
	// A write fails only when the caller no longer reads; the connection is then closed.
	_ = x.WriteResponse(h, []byte(text+"\n"))
}

// WriteHeader writes the header of a response whose body follows in chunks. It fails, and the connection closes, if a
// response was begun before.
func (x *Exchange) WriteHeader(h *fasthttp.ResponseHeader) error {
	if err := x.beginResponse(); err != nil {
		return err
	}
	StripHopByHop(h)
	x.closeAfter = x.closesAfter()
	x.chunked = x.Request.Header.IsHTTP11()
	if x.chunked {
		h.SetContentLength(-1)
	} else {
		h.SetContentLength(-2)
		x.closeAfter = true
	}
	x.writeConnectionFields(h)
	h.SetNoDefaultContentType(true)
	x.status, x.headerWritten = h.StatusCode(), true
	if _, err := x.writer.Write(h.Header()); err != nil {
		return eris.Wrap(err, "write response header")
	}
	return eris.Wrap(x.writer.Flush(), "write response header")
}

// HeaderWritten reports whether the response header has been written.
func (x *Exchange) HeaderWritten() bool { return x.headerWritten }

// WriteChunk writes a chunk of the body and flushes it.
func (x *Exchange) WriteChunk(data []byte) error {
	if err := x.checkBody(); err != nil {
		return err
	}
	if len(data) == 0 || x.bodyless() {
		return nil
	}
	var out []byte
	if x.chunked {
		out = append(strconv.AppendInt(make([]byte, 0, len(data)+16), int64(len(data)), 16), "\r\n"...)
		out = append(append(out, data...), "\r\n"...)
	} else {
		out = data
	}
	if _, err := x.writer.Write(out); err != nil {
		return eris.Wrap(err, "write response chunk")
	}
	return eris.Wrap(x.writer.Flush(), "write response chunk")
}

// Finish completes a response started with WriteHeader. If it is not called, the connection is closed without the final
// chunk, so that the caller sees a truncated response.
func (x *Exchange) Finish() error {
	if err := x.checkBody(); err != nil {
		return err
	}
	if x.chunked && !x.bodyless() {
		if _, err := x.writer.WriteString("0\r\n\r\n"); err != nil {
			return eris.Wrap(err, "finish response")
		}
		if err := x.writer.Flush(); err != nil {
			return eris.Wrap(err, "finish response")
		}
	}
	x.complete = true
	return nil
}

// Complete reports whether the whole response was written.
func (x *Exchange) Complete() bool { return x.complete }

// hopByHopFields apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopFields = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

type header interface {
	Peek(name string) []byte
	Del(name string)
}

// StripHopByHop deletes the hop-by-hop fields, including those listed in Connection.
func StripHopByHop(h header) {
	for name := range strings.SplitSeq(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, "close") && !strings.EqualFold(name, "keep-alive") {
			h.Del(name)
		}
	}
	for _, name := range hopByHopFields {
		h.Del(name)
	}
}
