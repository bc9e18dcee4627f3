package http1

import (
	"bufio"
	"bytes"
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

	"azuredoor.example/entry/tcp"
)

// Exchange is one request and its answer.
type Exchange struct {
	// Context ends when the caller hangs up or the server ends.
	Context context.Context
	Request *fasthttp.Request
	// Arrived is when the first byte of the request was there.
	Arrived time.Time

	// status is that of the answer, 0 while there is none.
	status int

	server *Server
	conn   *tcp.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// last is set when the connection ends after the answer, chunked while the answer has no length, begun when the
	// header is written, ended when the whole answer is.
	last, chunked, begun, ended bool
}

// refusal is an answer to a request that could not be read. A status of 0 means that nobody waits for it.
type refusal struct {
	status int
	text   string
}

// bodyTimeout bounds how long a body may take once its header is read.
const bodyTimeout = 10 * time.Second

// read reads the request.
func (x *Exchange) read(bounds Bounds) *refusal {
	x.Request = fasthttp.AcquireRequest()
	if bounds.HeaderTimeout > 0 {
		if err := x.conn.SetReadDeadline(time.Now().Add(bounds.HeaderTimeout)); err != nil {
			return &refusal{}
		}
	}
	h := &x.Request.Header
	h.SetNoDefaultContentType(true)
	if err := h.Read(x.reader); err != nil {
		return headerRefusal(err)
	}
	if bounds.HeaderBytes > 0 && len(h.RawHeaders()) > bounds.HeaderBytes {
		return &refusal{fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is too large"}
	}
	if text := Ambiguous(h); text != "" {
		return &refusal{fasthttp.StatusBadRequest, text}
	}
	x.last = h.ConnectionClose() || !h.IsHTTP11()
	if err := x.conn.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return &refusal{}
	}
	if x.Request.MayContinue() {
		if bounds.BodyBytes > 0 && h.ContentLength() > bounds.BodyBytes {
			return &refusal{fasthttp.StatusRequestEntityTooLarge, "the body is too large"}
		}
		if _, err := x.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return &refusal{}
		}
		if err := x.writer.Flush(); err != nil {
			return &refusal{}
		}
		h.Del("Expect")
	}
	if err := x.Request.ContinueReadBody(x.reader, bounds.BodyBytes, false); err != nil {
		return bodyRefusal(err)
	}
	return nil
}

func headerRefusal(err error) *refusal {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return &refusal{fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{fasthttp.StatusRequestTimeout, "the header took too long"}
	case errors.Is(err, io.EOF), isReset(err):
		return &refusal{}
	}
	return &refusal{fasthttp.StatusBadRequest, "the header is malformed"}
}

func bodyRefusal(err error) *refusal {
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &refusal{fasthttp.StatusRequestEntityTooLarge, "the body is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{fasthttp.StatusRequestTimeout, "the body took too long"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		return &refusal{}
	}
	return &refusal{fasthttp.StatusBadRequest, "the body is malformed"}
}

func isReset(err error) bool {
	var syscallError *os.SyscallError
	return errors.As(err, &syscallError)
}

// Ambiguous says why two parties might disagree on where the request ends, or what it says. It returns an empty string for
// a request that every party reads alike.
func Ambiguous(h *fasthttp.RequestHeader) string {
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

// Left returns how long the process goes on, and false while no end is planned.
func (x *Exchange) Left() (time.Duration, bool) { return x.server.Left() }

// closing says whether the connection ends after this answer.
func (x *Exchange) closing() bool { return x.last || x.server.draining.Load() }

// Status returns the status of the answer, 0 while there is none.
func (x *Exchange) Status() int { return x.status }

// Whole writes a whole answer. The header's own fields that concern one connection are replaced.
func (x *Exchange) Whole(h *fasthttp.ResponseHeader, body []byte) error {
	StripHop(h)
	x.last = x.closing()
	if x.last {
		h.SetConnectionClose()
	}
	x.status, x.begun = h.StatusCode(), true
	h.SetContentLength(len(body))
	h.SetNoDefaultContentType(true)
	if _, err := x.writer.Write(h.Header()); err != nil {
		return eris.Wrap(err, "write an answer")
	}
	if !x.Request.Header.IsHead() {
		if _, err := x.writer.Write(body); err != nil {
			return eris.Wrap(err, "write an answer")
		}
	}
	if err := x.writer.Flush(); err != nil {
		return eris.Wrap(err, "write an answer")
	}
	x.ended = true
	return nil
}

// retryDecimals is the precision of Retry-After in seconds; callers of this server accept fractions.
const retryDecimals = 3

// Refuse writes an answer of the entry's own. RetryAfter is left out when it is 0.
func (x *Exchange) Refuse(status int, text string, retryAfter time.Duration) {
	h := &fasthttp.ResponseHeader{}
	h.SetStatusCode(status)
	h.SetContentType("text/plain; charset=utf-8")
	if retryAfter > 0 {
		seconds := math.Ceil(retryAfter.Seconds()*1000) / 1000
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', retryDecimals, 64))
	}
	// A caller that no longer reads needs no answer; the connection is closed.
	_ = x.Whole(h, []byte(text+"\n"))
}

// Begin writes the header of an answer whose body comes in parts.
func (x *Exchange) Begin(h *fasthttp.ResponseHeader) error {
	StripHop(h)
	x.last = x.closing()
	x.chunked = x.Request.Header.IsHTTP11()
	if x.chunked {
		h.SetContentLength(-1)
	} else {
		h.SetContentLength(-2)
		x.last = true
	}
	if x.last {
		h.SetConnectionClose()
	}
	h.SetNoDefaultContentType(true)
	x.status, x.begun = h.StatusCode(), true
	if _, err := x.writer.Write(h.Header()); err != nil {
		return eris.Wrap(err, "write the header of an answer")
	}
	return eris.Wrap(x.writer.Flush(), "write the header of an answer")
}

// Begun says whether the header of the answer is written.
func (x *Exchange) Begun() bool { return x.begun }

// Part writes a part of the body at once.
func (x *Exchange) Part(data []byte) error {
	if len(data) == 0 {
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
		return eris.Wrap(err, "write a part of an answer")
	}
	return eris.Wrap(x.writer.Flush(), "write a part of an answer")
}

// End completes an answer in parts. Without it the connection is closed, so that the answer looks cut off.
func (x *Exchange) End() error {
	if x.chunked {
		if _, err := x.writer.WriteString("0\r\n\r\n"); err != nil {
			return eris.Wrap(err, "end an answer")
		}
		if err := x.writer.Flush(); err != nil {
			return eris.Wrap(err, "end an answer")
		}
	}
	x.ended = true
	return nil
}

// Complete says whether the whole answer was written.
func (x *Exchange) Complete() bool { return x.ended }

// hopFields concern one connection only (RFC 9110, section 7.6.1).
var hopFields = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

type fields interface {
	Peek(name string) []byte
	Del(name string)
}

// StripHop deletes the fields that concern one connection only.
func StripHop(h fields) {
	for name := range strings.SplitSeq(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, "close") && !strings.EqualFold(name, "keep-alive") {
			h.Del(name)
		}
	}
	for _, name := range hopFields {
		h.Del(name)
	}
}
