// Package httpread reads the HTTP/1 responses of other processes. It decodes them with fasthttp, and refuses what fasthttp accepts
// although other readers of HTTP would find another response in it. CheckFields does the same for the fields of a request that a server
// of fasthttp has read.
package httpread

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxInterim bounds the interim responses (RFC 9110, section 15.2) before a response.
	maxInterim = 16
	// statusLine is the form of the beginning of a response, up to the status. A 0 stands for a digit.
	statusLine = "HTTP/1.0 000"
)

var (
	errNoStatusLine   = errors.New("received bytes are no response")
	errSwitched       = errors.New("upstream switched protocols unasked")
	errManyInterim    = errors.New("too many interim responses")
	errControlByte    = errors.New("status line has a control byte")
	errMalformedField = errors.New("malformed header field")
	errFaultyFraming  = errors.New("response has a transfer coding that its version does not know")
	errLongHead       = errors.New("head of the response is too long")
)

// skipInterim reads interim responses until the whole head of another response is buffered. It returns an error if the head of any of
// them is malformed.
func skipInterim(r *bufio.Reader) error {
	var header fasthttp.ResponseHeader
	for range maxInterim {
		line, err := r.Peek(len(statusLine))
		if err != nil {
			return headError(err, len(line))
		}
		// The bytes that Peek returns are valid until the next read.
		status := string(line[len(statusLine)-3:])
		switch {
		// fasthttp takes a status of 000 for 200.
		case !bytes.HasPrefix(line, []byte(statusLine[:7])) || line[8] != ' ' || status[0] < '1' || status[0] > '9':
			return errNoStatusLine
		case status == "101":
			return errSwitched
		}
		if err := checkHead(r); err != nil {
			return err
		}
		if status[0] != '1' {
			return nil
		}
		if err := header.Read(r); err != nil {
			return err //nolint:wrapcheck // wrapped by the caller
		}
	}
	return errManyInterim
}

// checkHead waits until r has buffered the head of a response, and returns an error if the head is malformed. It consumes nothing.
// fasthttp accepts blanks in the names of fields, drops those before a colon, and joins lines that begin with one, so that another
// reader of HTTP would find other fields. It passes control bytes of the status line on. It ignores Transfer-Encoding unless the
// version is 1.1, and takes the chunks for the body (RFC 9112, section 6.1, calls that framing faulty).
func checkHead(r *bufio.Reader) error {
	line, err := peekLine(r, 0)
	if err != nil {
		return err
	}
	// The bytes that peekLine returns are valid until the next read.
	status := strings.TrimSuffix(strings.TrimSuffix(string(line), "\n"), "\r")
	if !httpguts.ValidHeaderFieldValue(status) {
		return errControlByte
	}
	end, err := peekFields(r, len(line))
	if err != nil || strings.HasPrefix(status, "HTTP/1.1 ") {
		return err
	}
	// It never fails for what is buffered.
	head, _ := r.Peek(end)
	if bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:")) {
		return errFaultyFraming
	}
	return nil
}

// peekFields waits until r has buffered lines of fields from an index on and the blank line after them. It returns the index where
// they end, or an error if one of them is no field.
func peekFields(r *bufio.Reader, from int) (end int, err error) {
	for end = from; ; {
		line, err := peekLine(r, end)
		if err != nil {
			return 0, err
		}
		end += len(line)
		if string(line) == "\r\n" {
			return end, nil
		}
		if err := checkField(line); err != nil {
			return 0, err
		}
	}
}

// checkField returns an error if a line of a head does not begin with the name of a field and a colon.
func checkField(line []byte) error {
	if name, _, found := bytes.Cut(line, []byte(":")); !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return fmt.Errorf("%w: %.40q", errMalformedField, line)
	}
	return nil
}

// CheckFields returns an error if one of the fields of a request is malformed. They are those that RequestHeader.RawHeaders returns.
func CheckFields(raw []byte) error {
	for line := range bytes.Lines(raw) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			continue
		}
		if err := checkField(line); err != nil {
			return err
		}
	}
	return nil
}

// peekLine waits until r has buffered the line that begins at an index, and returns it with its line break.
func peekLine(r *bufio.Reader, from int) ([]byte, error) {
	for searched := from; ; {
		// It never fails for what is buffered.
		buffered, _ := r.Peek(r.Buffered())
		if i := bytes.IndexByte(buffered[searched:], '\n'); i >= 0 {
			return buffered[from : searched+i+1], nil
		}
		searched = len(buffered)
		if _, err := r.Peek(searched + 1); err != nil {
			return nil, headError(err, searched)
		}
	}
}

// headError returns the error of a call whose read of a head failed after some bytes had arrived.
func headError(err error, received int) error {
	switch {
	case err == io.EOF && received > 0: //nolint:errorlint // Peek returns io.EOF bare
		return io.ErrUnexpectedEOF
	case errors.Is(err, bufio.ErrBufferFull):
		return errLongHead
	}
	return err
}
