// Package conn holds connections to upstreams with explicit ownership: each call owns its connection, and
// the end of the call's context closes it at once.
package conn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// ErrSilent means that no byte arrived within a bound.
var ErrSilent = errors.New("no byte arrived within the bound")

// ErrStalled means that bytes arrived but no progress was made until the time given to Body.Until.
var ErrStalled = errors.New("no progress within the bound")

// Error tells how far a failed call came.
type Error struct {
	Address string
	// Sent is false only when no byte can have reached the upstream.
	Sent bool
	// Answered is set when at least one byte of the response arrived.
	Answered bool
	Err      error
}

// Error implements error.
func (e *Error) Error() string { return "upstream " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Sent says whether any byte of the failed call may have reached the upstream. It is true for errors of
// other origin.
func Sent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// Answered says whether any byte of a response arrived before the call failed. It is false for errors of other origin.
func Answered(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Answered
}

// Options configure a Pool. Each zero bound gets the default in brackets.
type Options struct {
	// Connect bounds the connection set-up [500 ms].
	Connect time.Duration
	// Write bounds each write [2 s].
	Write time.Duration
	// FirstByte bounds the wait for the first byte of a response [2 s].
	FirstByte time.Duration
	// Silence bounds the time between reads after the first byte [2 s].
	Silence time.Duration
	// Idle bounds how long a connection is kept for reuse [5 s].
	Idle time.Duration
	// Unacknowledged bounds how long sent bytes may stay unacknowledged [Write + Silence].
	Unacknowledged time.Duration
	// KeepAlive bounds how long a connection is kept whose peer stated no time [Idle].
	KeepAlive time.Duration
	// IdlePerAddress bounds the connections kept for each address [32].
	IdlePerAddress int
}

func (o *Options) setDefaults() {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&o.Connect, 500*time.Millisecond)
	set(&o.Write, 2*time.Second)
	set(&o.FirstByte, 2*time.Second)
	set(&o.Silence, 2*time.Second)
	set(&o.Idle, 5*time.Second)
	set(&o.Unacknowledged, o.Write+o.Silence)
	set(&o.KeepAlive, o.Idle)
	if o.IdlePerAddress == 0 {
		o.IdlePerAddress = 32
	}
}

// link is one TCP connection. One call owns it at a time.
type link struct {
	*net.TCPConn
	pool    *Pool
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// The fields below belong to the current call.
	write, firstByte, silence time.Duration
	until                     time.Time
	// deadline is the read deadline in force.
	deadline        time.Time
	began, answered bool
	// failed is the last error of a read. fasthttp replaces errors before the first byte by io.EOF.
	failed error
	// idleSince is when the connection became idle, idleUntil when its peer may close it.
	idleSince, idleUntil time.Time
}

// Read implements io.Reader with the bounds of the current call.
func (l *link) Read(p []byte) (int, error) {
	bound := l.silence
	if !l.answered {
		bound = l.firstByte
	}
	deadline := time.Now().Add(bound)
	stall := !l.until.IsZero() && l.until.Before(deadline)
	if stall {
		deadline = l.until
	}
	// Setting a deadline costs more than a comparison, so it is set an eighth later than needed and kept while
	// it is not too early.
	slack := bound / 8
	if stall {
		slack = 0
	}
	if l.deadline.Before(deadline) || l.deadline.After(deadline.Add(slack)) {
		l.deadline = deadline.Add(slack)
		if err := l.SetReadDeadline(l.deadline); err != nil {
			return 0, fmt.Errorf("set read deadline: %w", err)
		}
	}
	n, err := l.TCPConn.Read(p)
	if n > 0 {
		l.answered = true
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrSilent
		if stall {
			err = ErrStalled
		} else {
			l.pool.dropIdle(l.address)
		}
	}
	if err != nil {
		l.failed = err
	}
	return n, err
}

// Write implements io.Writer with the bound of the current call.
func (l *link) Write(p []byte) (int, error) {
	l.began = true
	if err := l.SetWriteDeadline(time.Now().Add(l.write)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	return l.TCPConn.Write(p) //nolint:wrapcheck // wrapped by the call
}

// alive says whether an idle connection is open and has nothing to read.
func (l *link) alive() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	if err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		quiet = err == nil && n == 0
	}); err != nil {
		return false
	}
	return quiet
}

// Call is one exchange with an upstream.
type Call struct {
	Address string
	Request *fasthttp.Request
	// Reuse allows a kept-alive connection, and a second try on a fresh one when the kept-alive connection
	// breaks or stays silent before the first byte of the response. Set it for idempotent work only.
	Reuse bool
	// Once forbids that second try: the request must not be sent twice.
	Once bool
	// Match, if set, says whether a response belongs to the request. Others, such as the late second response to an
	// earlier request, are skipped.
	Match func(*fasthttp.ResponseHeader) bool
	// Limit bounds the open connections to the address; 0 means no bound.
	Limit int
	// FirstByte and Silence override the bounds of the pool.
	FirstByte, Silence time.Duration
	// MaxBody bounds the body of a buffered response in bytes; 0 means no bound.
	MaxBody int
}

// Do makes a call and reads the whole response. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, call Call, response *fasthttp.Response) error {
	body, err := p.start(ctx, call, response, false)
	if err != nil {
		return err
	}
	body.finish(true)
	return nil
}

// Stream makes a call and returns once the header of the response is there. The caller closes the body.
func (p *Pool) Stream(ctx context.Context, call Call, response *fasthttp.Response) (*Body, error) {
	return p.start(ctx, call, response, true)
}

func (p *Pool) start(ctx context.Context, call Call, response *fasthttp.Response, stream bool) (*Body, error) {
	if call.Reuse {
		if l := p.take(call.Address); l != nil {
			body, err := p.exchange(ctx, l, call, response, stream)
			var failed *Error
			if err == nil || call.Once || ctx.Err() != nil || !errors.As(err, &failed) || failed.Answered {
				return body, err
			}
			response.Reset()
		}
	}
	l, err := p.dial(ctx, call.Address, call.Limit)
	if err != nil {
		return nil, &Error{Address: call.Address, Err: cause(ctx, nil, err)}
	}
	return p.exchange(ctx, l, call, response, stream)
}

// cause prefers the reason why the context or the connection ended to the error that it led to.
func cause(ctx context.Context, l *link, err error) error {
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx) //nolint:wrapcheck // wrapped by the call
	case l != nil && l.failed != nil:
		return l.failed
	}
	return err
}

func (p *Pool) exchange(ctx context.Context, l *link, call Call, response *fasthttp.Response, stream bool) (*Body, error) {
	l.write, l.firstByte, l.silence = p.options.Write, p.options.FirstByte, p.options.Silence
	if call.FirstByte > 0 {
		l.firstByte = call.FirstByte
	}
	if call.Silence > 0 {
		l.silence = call.Silence
	}
	l.until, l.began, l.answered, l.failed = time.Time{}, false, false, nil
	body := &Body{pool: p, link: l, response: response, ctx: ctx}
	// Closing fails only on a connection that is closed already.
	body.stop = context.AfterFunc(ctx, func() { _ = l.Close() })
	response.StreamBody = stream
	err := ctx.Err()
	if err == nil {
		err = call.Request.Write(l.writer)
	}
	if err == nil {
		err = l.writer.Flush()
	}
	if err == nil {
		err = l.readMatching(call, response, stream)
	}
	if err != nil {
		failed := &Error{Address: l.address, Sent: l.began, Answered: l.answered, Err: cause(ctx, l, err)}
		body.finish(false)
		return nil, failed
	}
	body.reader = response.BodyStream()
	return body, nil
}

// maxForeign bounds the responses that are skipped because they belong to another request.
const maxForeign = 3

// ErrForeign means that only responses to other requests arrived.
var ErrForeign = errors.New("the response belongs to another request")

// readMatching reads the response that belongs to the call.
func (l *link) readMatching(call Call, response *fasthttp.Response, stream bool) error {
	for range maxForeign {
		response.SkipBody = call.Request.Header.IsHead()
		if err := response.ReadLimitBody(l.reader, call.MaxBody); err != nil {
			return err //nolint:wrapcheck // wrapped by the call
		}
		if call.Match == nil || call.Match(&response.Header) {
			return nil
		}
		if stream {
			if _, err := io.Copy(io.Discard, response.BodyStream()); err != nil {
				return err //nolint:wrapcheck // wrapped by the call
			}
			// The stream is only returned to its pool.
			_ = response.CloseBodyStream()
		}
		response.Reset()
		response.StreamBody = stream
	}
	return ErrForeign
}

// Body is the streamed body of a response. It is not safe for concurrent use.
type Body struct {
	pool     *Pool
	link     *link
	response *fasthttp.Response
	reader   io.Reader
	ctx      context.Context
	stop     func() bool
	ended    bool
	done     bool
}

// Until bounds reads by a time in addition to the bound on silence; zero takes the bound away.
func (b *Body) Until(t time.Time) { b.link.until = t }

// Read implements io.Reader. Errors other than io.EOF are of type *Error.
func (b *Body) Read(p []byte) (int, error) {
	if b.reader == nil {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		b.ended = true
		return n, io.EOF
	}
	return n, &Error{Address: b.link.address, Sent: true, Answered: true, Err: cause(b.ctx, b.link, err)}
}

// Close ends the call. The connection is kept for reuse when the body was read to its end.
func (b *Body) Close() {
	b.finish(b.ended)
}

func (b *Body) finish(whole bool) {
	if b.done {
		return
	}
	b.done = true
	closing := b.response.ConnectionClose()
	if b.reader != nil {
		b.reader = nil
		// The stream is only returned to its pool; the connection is handled below.
		_ = b.response.CloseBodyStream()
	}
	if stopped := b.stop(); !stopped || !whole || closing || b.link.reader.Buffered() > 0 {
		b.pool.drop(b.link)
		return
	}
	b.link.idleUntil = time.Now().Add(b.pool.keepAlive(&b.response.Header))
	b.pool.put(b.link)
}
