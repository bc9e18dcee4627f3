// Package tcp holds callers' connections: it bounds writes, notices a caller that hangs up, and makes the kernel give up
// on peers that vanished.
package tcp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

const (
	// lingerTime and lingerBytes bound what is read from a caller whose request was refused before its end. A
	// close with unread bytes would reset the connection and could destroy the answer on its way.
	lingerTime  = time.Second
	lingerBytes = 4 << 20
)

// Listener accepts callers' connections and tunes them.
type Listener struct {
	net.Listener
	// WriteTimeout bounds how long a caller may read nothing of an answer.
	WriteTimeout time.Duration

	mu   sync.Mutex
	open map[*Conn]bool
}

func (l *Listener) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*Conn]bool{}
	}
	l.open[c] = true
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// CloseAll closes the connections that are still open.
func (l *Listener) CloseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.TCPConn.Close()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // the server compares it
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return nil, fmt.Errorf("listener accepts %T, want TCP connections", c)
		}
		keepAlive := net.KeepAliveConfig{Enable: true, Idle: l.WriteTimeout / 2, Interval: max(l.WriteTimeout/6, time.Second), Count: 3}
		if err := errors.Join(tcp.SetKeepAliveConfig(keepAlive), SetUserTimeout(tcp, l.WriteTimeout)); err != nil {
			// The caller has reset the connection already.
			_ = c.Close()
			continue
		}
		accepted := &Conn{TCPConn: tcp, listener: l, write: l.WriteTimeout}
		l.add(accepted)
		return accepted, nil
	}
}

// SetUserTimeout makes the kernel end a connection whose sent bytes are not acknowledged within the bound.
func SetUserTimeout(c *net.TCPConn, bound time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("get descriptor: %w", err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(bound.Milliseconds()))
	}); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", failed)
	}
	return nil
}

// Conn is a caller's connection with a bound on each write.
type Conn struct {
	*net.TCPConn
	listener *Listener
	write    time.Duration
	until    time.Time
	// Linger is set when a request was refused before its end: Close then reads on for a while.
	Linger bool
}

// Write implements net.Conn. It fails when the caller reads nothing for the bound.
func (c *Conn) Write(p []byte) (int, error) {
	// Deadlines are renewed in steps, because setting one costs more than a comparison.
	if now := time.Now(); c.until.Sub(now) < c.write {
		c.until = now.Add(c.write * 5 / 4)
		if err := c.SetWriteDeadline(c.until); err != nil {
			return 0, fmt.Errorf("set write deadline: %w", err)
		}
	}
	return c.TCPConn.Write(p) //nolint:wrapcheck // the server compares it
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	defer c.listener.remove(c)
	if c.Linger && c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// Whatever ends the reading, the connection is closed next.
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	return c.TCPConn.Close() //nolint:wrapcheck // the server compares it
}

// Watch calls gone once when the caller closes or resets the connection before stop is called. Nobody may read
// from the connection in between. stop returns when the watch has ended.
func (c *Conn) Watch(group *errgroup.Group, gone func()) (stop func()) {
	raw, err := c.SyscallConn()
	if err == nil {
		// The deadline of the request's header and body must not end the watch.
		err = c.SetReadDeadline(time.Time{})
	}
	if err != nil {
		gone()
		return func() {}
	}
	done := make(chan struct{})
	group.Go(func() error {
		defer close(done)
		if err := raw.Read(hungUp); err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			gone()
		}
		return nil
	})
	return func() {
		// Setting deadlines fails only on a closed connection, which ends the watch as well.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// hungUp says whether the peer closed or reset a connection, even behind bytes that were not read yet.
func hungUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents != 0
}
