// Package conn is an HTTP client for upstreams with a connection pool. Each call owns its connection, which is
// closed as soon as the context of the call ends.
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

	"azuredoor.example/core/httpread"
)

// ErrReadTimeout means that no byte of a response arrived within the timeout of a read.
var ErrReadTimeout = errors.New("no byte arrived before the timeout")

// ErrStalled means that the progress deadline of a streamed body passed, although bytes may still have arrived.
var ErrStalled = errors.New("no progress before the deadline")

// Error is the error of a failed call. It records whether request bytes were sent and response bytes received.
type Error struct {
	Address string
	// Sent is false only when no byte can have reached the upstream.
	Sent bool
	// ResponseStarted is true when at least one byte of the response arrived.
	ResponseStarted bool
	Err             error
}

// Error implements error.
func (e *Error) Error() string { return "upstream " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Sent reports whether any byte of a failed call may have reached the upstream. For errors that do not wrap
// an Error, Sent returns true.
func Sent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// ResponseStarted reports whether any byte of a response arrived before the call failed. For errors that do not wrap an
// Error, ResponseStarted returns false.
func ResponseStarted(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.ResponseStarted
}

// Options configures a Pool. A field that is zero gets the default in brackets.
type Options struct {
	// ConnectTimeout is the timeout for opening a connection [500 ms].
	ConnectTimeout time.Duration
	// WriteTimeout is the timeout of each write [2 s].
	WriteTimeout time.Duration
	// FirstByteTimeout is the timeout for the first byte of a response [2 s].
	FirstByteTimeout time.Duration
	// ReadTimeout is the timeout of each read after the first byte [2 s].
	ReadTimeout time.Duration
	// IdleTimeout is the longest time that an unused connection is kept [5 s].
	IdleTimeout time.Duration
	// AckTimeout is the longest time that sent bytes may stay unacknowledged [WriteTimeout + ReadTimeout].
	AckTimeout time.Duration
	// KeepAliveTimeout is the longest time that an unused connection is kept if its peer sends no Keep-Alive timeout
	// [IdleTimeout].
	KeepAliveTimeout time.Duration
	// MaxIdlePerAddress limits the idle connections to each address [32].
	MaxIdlePerAddress int
	// ReceiveBuffer is the size in bytes of the kernel's receive buffer of each connection, so that a peer that sends without end takes
	// up little memory there [chosen by the kernel, which lets it grow].
	ReceiveBuffer int
	// LargeBodies limits the bytes of the large response bodies that are read into memory at the same time [64 MiB].
	LargeBodies int64
}

func (o *Options) setDefaults() {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&o.ConnectTimeout, 500*time.Millisecond)
	set(&o.WriteTimeout, 2*time.Second)
	set(&o.FirstByteTimeout, 2*time.Second)
	set(&o.ReadTimeout, 2*time.Second)
	set(&o.IdleTimeout, 5*time.Second)
	set(&o.AckTimeout, o.WriteTimeout+o.ReadTimeout)
	set(&o.KeepAliveTimeout, o.IdleTimeout)
	if o.MaxIdlePerAddress == 0 {
		o.MaxIdlePerAddress = 32
	}
	if o.LargeBodies == 0 {
		o.LargeBodies = defaultLargeBodies
	}
}

// pooledConn is a TCP connection that at most one call uses at a time.
type pooledConn struct {
	*net.TCPConn
	pool    *Pool
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// The fields from here to readErr hold the state of the current call.
	writeTimeout, firstByteTimeout, readTimeout time.Duration
	progressDeadline                            time.Time
	// readDeadline is the read deadline that is set on the socket.
	readDeadline                  time.Time
	writeStarted, responseStarted bool
	// onSilence is Call.OnSilence. waitUntil replaces the timeout of a read after it.
	onSilence func() time.Time
	waitUntil time.Time
	// readErr is the last error of a read. It is kept because fasthttp replaces errors before the first byte with io.EOF.
	readErr error
	// idleSince is when the connection became idle. The peer may close the connection from idleUntil on.
	idleSince, idleUntil time.Time
	// used is set by the first call. recent holds hashes of the IDs of the latest calls, next the index of the next one.
	used   bool
	recent [recentIDs]uint64
	next   int
}

// recentIDs is the number of calls after which a connection may carry a call with the same ID again. An upstream that sends a
// response once more does so with one of its next responses.
const recentIDs = 32

// Read implements io.Reader with the timeouts of the current call.
func (c *pooledConn) Read(p []byte) (int, error) {
	n, err := c.readOnce(p)
	for n == 0 && c.onSilence != nil && (errors.Is(err, ErrReadTimeout) || errors.Is(err, ErrStalled)) {
		until := c.onSilence()
		if until.IsZero() {
			break
		}
		if errors.Is(err, ErrStalled) {
			c.progressDeadline = until
		} else {
			c.waitUntil = until
		}
		n, err = c.readOnce(p)
	}
	if errors.Is(err, ErrReadTimeout) {
		c.pool.dropIdle(c.address)
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// readOnce reads until the timeout of the current call or its progress deadline.
func (c *pooledConn) readOnce(p []byte) (int, error) {
	timeout := c.readTimeout
	if !c.responseStarted {
		timeout = c.firstByteTimeout
	}
	deadline := time.Now().Add(timeout)
	if !c.waitUntil.IsZero() {
		deadline = c.waitUntil
	}
	useProgressDeadline := !c.progressDeadline.IsZero() && c.progressDeadline.Before(deadline)
	if useProgressDeadline {
		deadline = c.progressDeadline
	}
	// Setting a deadline costs more than comparing two times. The deadline is therefore set an eighth of the timeout
	// later than needed and is left unchanged while it is late enough.
	slack := timeout / 8
	if useProgressDeadline || !c.waitUntil.IsZero() {
		slack = 0
	}
	if c.readDeadline.Before(deadline) || c.readDeadline.After(deadline.Add(slack)) {
		c.readDeadline = deadline.Add(slack)
		if err := c.SetReadDeadline(c.readDeadline); err != nil {
			return 0, fmt.Errorf("set read deadline: %w", err)
		}
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.responseStarted, c.waitUntil = true, time.Time{}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrReadTimeout
		if useProgressDeadline {
			err = ErrStalled
		}
	}
	return n, err
}

// Write implements io.Writer with the write timeout of the current call.
func (c *pooledConn) Write(p []byte) (int, error) {
	c.writeStarted = true
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	return c.TCPConn.Write(p) //nolint:wrapcheck // wrapped by the call
}

// alive reports whether an idle connection is open and has no data to read.
func (c *pooledConn) alive() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	noEvents := false
	if err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		noEvents = err == nil && n == 0
	}); err != nil {
		return false
	}
	return noEvents
}

// Call is a request to an upstream and the options for sending it.
type Call struct {
	Address string
	Request *fasthttp.Request
	// Reuse allows an idle connection for the call. If the connection breaks or times out before the first byte of the
	// response, the call is retried on a new connection. A request that is not idempotent must not be retried.
	Reuse bool
	// NoRetry disables the retry of Reuse, for requests that must not be sent twice.
	NoRetry bool
	// ID is the ID by which Match recognises responses, empty for none. The call uses no idle connection whose latest
	// calls had the same ID, because a second copy of their responses would match.
	ID string
	// Match, if set, reports whether a response belongs to the request. Responses that do not match, such as a late
	// second response to an earlier request, are skipped. The body is set unless the response is streamed. reused is set if the
	// connection has had other calls.
	Match func(response *fasthttp.Response, reused bool) bool
	// matchFirst is set if the first response on a new connection must match.
	matchFirst bool
	// Limit is the largest number of open connections to the address; 0 means no limit.
	Limit int
	// FirstByteTimeout and ReadTimeout override the corresponding timeouts of the pool if they are above 0.
	FirstByteTimeout, ReadTimeout time.Duration
	// OnSilence, if set, is called when a read of the response has timed out or the progress deadline has passed. It returns
	// until when the call waits further, or the zero time to end the call.
	OnSilence func() time.Time
	// MaxBody is the largest body in bytes that is read into memory [1 MiB].
	MaxBody int
}

func (c *Call) maxBody() int {
	if c.MaxBody <= 0 {
		return defaultMaxBody
	}
	return c.MaxBody
}

// Do sends the request and reads the complete response. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, call Call, response *fasthttp.Response) error {
	body, err := p.start(ctx, call, response, false)
	if err != nil {
		return err
	}
	body.finish(true)
	return nil
}

// Stream sends the request and returns when the header of the response has arrived. The caller must close the body.
// Errors are of type *Error.
func (p *Pool) Stream(ctx context.Context, call Call, response *fasthttp.Response) (*Body, error) {
	return p.start(ctx, call, response, true)
}

func (p *Pool) start(ctx context.Context, call Call, response *fasthttp.Response, stream bool) (*Body, error) {
	if call.Reuse {
		if c := p.takeIdle(call.Address, p.hashID(call.ID)); c != nil {
			body, err := p.exchange(ctx, c, call, response, stream)
			var failed *Error
			if err == nil || call.NoRetry || ctx.Err() != nil || !errors.As(err, &failed) || failed.ResponseStarted {
				return body, err
			}
			response.Reset()
		}
	}
	c, err := p.dial(ctx, call.Address, call.Limit)
	if errors.Is(err, ErrLimit) {
		// Idle connections that the call must not use count as well.
		if idle := p.takeIdle(call.Address, 0); idle != nil {
			p.drop(idle)
			c, err = p.dial(ctx, call.Address, call.Limit)
		}
	}
	if err != nil {
		return nil, &Error{Address: call.Address, Err: cause(ctx, nil, err)}
	}
	return p.exchange(ctx, c, call, response, stream)
}

// cause returns the cause of the context's end, else the read error of the connection, else err.
func cause(ctx context.Context, c *pooledConn, err error) error {
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx) //nolint:wrapcheck // wrapped by the call
	case c != nil && c.readErr != nil:
		return c.readErr
	}
	return err
}

func (p *Pool) exchange(ctx context.Context, c *pooledConn, call Call, response *fasthttp.Response, stream bool) (*Body, error) {
	c.writeTimeout, c.firstByteTimeout, c.readTimeout = p.options.WriteTimeout, p.options.FirstByteTimeout, p.options.ReadTimeout
	if call.FirstByteTimeout > 0 {
		c.firstByteTimeout = call.FirstByteTimeout
	}
	if call.ReadTimeout > 0 {
		c.readTimeout = call.ReadTimeout
	}
	c.progressDeadline, c.writeStarted, c.responseStarted, c.readErr = time.Time{}, false, false, nil
	reused := c.used
	c.used, c.recent[c.next], c.next = true, p.hashID(call.ID), (c.next+1)%recentIDs
	c.onSilence, c.waitUntil = call.OnSilence, time.Time{}
	body := &Body{pool: p, conn: c, response: response, ctx: ctx}
	// Close fails only on a connection that is already closed.
	body.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	err := ctx.Err()
	if err == nil {
		err = call.Request.Write(c.writer)
	}
	if err == nil {
		err = c.writer.Flush()
	}
	if err == nil {
		body.reader, err = c.readMatching(ctx, call, response, stream, reused)
	}
	if err != nil {
		failed := &Error{Address: c.address, Sent: c.writeStarted, ResponseStarted: c.responseStarted, Err: cause(ctx, c, err)}
		body.finish(false)
		return nil, failed
	}
	body.stated = response.Header.ContentLength()
	body.connectionClose, body.keepAlive = response.ConnectionClose(), p.keepAliveTimeout(&response.Header)
	return body, nil
}

const (
	// maxMismatched limits the responses to other requests that one call skips.
	maxMismatched = 3
	// maxMismatchedBytes limits the body of each of them in a streamed call.
	maxMismatchedBytes = 1 << 20
)

// ErrMismatchedResponse means that each response that arrived belongs to another request.
var ErrMismatchedResponse = errors.New("responses belong to other requests")

// readMatching reads responses until one matches the call. In a streamed call it bounds the time until the header is complete,
// so that bytes that arrive at intervals do not extend it, and returns a reader of the body, or nil if there is none.
func (c *pooledConn) readMatching(ctx context.Context, call Call, response *fasthttp.Response, stream, reused bool) (io.Reader, error) {
	if stream {
		c.progressDeadline = time.Now().Add(c.firstByteTimeout + c.readTimeout)
		defer func() { c.progressDeadline = time.Time{} }()
	}
	for range maxMismatched {
		response.SkipBody = call.Request.Header.IsHead()
		source, err := httpread.Head(c.reader, response)
		if err != nil {
			return nil, err
		}
		if !stream {
			if err := c.bufferBody(ctx, response, source, call.maxBody()); err != nil {
				return nil, err
			}
			source = nil
		}
		if call.Match == nil || call.Match(response, reused) {
			return source, nil
		}
		if call.matchFirst && !reused {
			return nil, ErrMismatchedResponse
		}
		if source != nil {
			_, err := io.CopyN(io.Discard, source, maxMismatchedBytes)
			if err == nil {
				return nil, ErrMismatchedResponse
			}
			if err != io.EOF { //nolint:errorlint // CopyN returns io.EOF bare
				return nil, err //nolint:wrapcheck // wrapped by the call
			}
			// Closing the stream only returns it to its pool.
			_ = response.CloseBodyStream()
		}
		response.Reset()
	}
	return nil, ErrMismatchedResponse
}

// bufferBody reads the body of a response into memory.
func (c *pooledConn) bufferBody(ctx context.Context, response *fasthttp.Response, source io.Reader, limit int) error {
	response.StreamBody = false
	if source == nil {
		return nil
	}
	length := response.Header.ContentLength()
	body, err := c.pool.buffers.read(ctx, source, length, limit)
	if err != nil {
		// Closing the stream only returns it to its pool.
		_ = response.CloseBodyStream()
		return err
	}
	response.SetBodyRaw(body)
	if length == endsWithConnection {
		response.Header.SetContentLength(len(body))
	}
	return nil
}

// endsWithConnection is the content length by which fasthttp marks a body that ends with its connection.
const endsWithConnection = -2

// Body is the streamed body of a response. A Body is not safe for concurrent use.
type Body struct {
	pool       *Pool
	conn       *pooledConn
	response   *fasthttp.Response
	reader     io.Reader
	ctx        context.Context
	stop       func() bool
	reachedEOF bool
	finished   bool
	// stated is the length of the body according to the header, negative if it states none.
	stated int
	// connectionClose and keepAlive are what the header says of the connection. The user of the response may change the header.
	connectionClose bool
	keepAlive       time.Duration
}

// SetProgressDeadline sets the progress deadline, which limits reads in addition to the read timeout. A zero time removes
// the deadline.
func (b *Body) SetProgressDeadline(t time.Time) { b.conn.progressDeadline = t }

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
		b.reachedEOF = true
		return n, io.EOF
	}
	return n, &Error{Address: b.conn.address, Sent: true, ResponseStarted: true, Err: cause(b.ctx, b.conn, err)}
}

// ReadAll reads the rest of the body, of at most limit bytes, into memory. Errors are of type *Error.
func (b *Body) ReadAll(limit int) ([]byte, error) {
	if b.reader == nil {
		return nil, nil
	}
	body, err := b.pool.buffers.read(b.ctx, b, b.stated, limit)
	var failed *Error
	if err != nil && !errors.As(err, &failed) {
		err = &Error{Address: b.conn.address, Sent: true, ResponseStarted: true, Err: err}
	}
	return body, err
}

// Close ends the call. The connection is kept for reuse if the body was read to its end.
func (b *Body) Close() {
	b.finish(b.reachedEOF)
}

func (b *Body) finish(complete bool) {
	if b.finished {
		return
	}
	b.finished, b.conn.onSilence = true, nil
	if b.reader != nil {
		b.reader = nil
		// Closing the stream only returns it to its pool; the connection is handled below.
		_ = b.response.CloseBodyStream()
	}
	if stopped := b.stop(); !stopped || !complete || b.connectionClose || b.conn.reader.Buffered() > 0 {
		b.pool.drop(b.conn)
		return
	}
	b.conn.idleUntil = time.Now().Add(b.keepAlive)
	b.pool.putIdle(b.conn)
}
