// Package tcp accepts TCP connections of callers. It limits how long a write may block, detects when a caller disconnects,
// and lets the kernel close connections to unreachable callers.
package tcp

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout and maxLingerBytes limit how long and how much input is discarded after a request was refused before
	// all of its input was read. Closing a socket with unread input resets the connection, and the reset may destroy
	// the response before the caller reads it.
	lingerTimeout  = time.Second
	maxLingerBytes = 4 << 20
)

// Listener accepts the connections of callers and sets their socket options.
type Listener struct {
	net.Listener
	// WriteTimeout is how long a caller may go without reading any of a response.
	WriteTimeout time.Duration
	// MaxOpen bounds the open connections; 0 means no bound. A further one replaces the connection that has moved nothing for the longest
	// time, unless a request of it is being served.
	MaxOpen int

	mu   sync.Mutex
	open map[*Conn]bool
}

// add records an open connection and reports whether there is room for it.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*Conn]bool{}
	}
	if l.MaxOpen > 0 && len(l.open) >= l.MaxOpen {
		oldest := l.leastRecent()
		if oldest == nil {
			return false
		}
		delete(l.open, oldest)
		_ = oldest.TCPConn.Close()
	}
	l.open[c] = true
	return true
}

// leastRecent returns the connection that has moved nothing for the longest time and is not busy, or nil. The caller must hold l.mu.
func (l *Listener) leastRecent() *Conn {
	var oldest *Conn
	least := int64(math.MaxInt64)
	for c := range l.open {
		if moved := c.movedAt.Load(); !c.busy.Load() && moved < least {
			oldest, least = c, moved
		}
	}
	return oldest
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// CloseAll closes all open connections without lingering.
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
		tcpConn, ok := c.(*net.TCPConn)
		if !ok {
			return nil, fmt.Errorf("listener accepted a connection of type %T, want *net.TCPConn", c)
		}
		keepAlive := net.KeepAliveConfig{Enable: true, Idle: l.WriteTimeout / 2, Interval: max(l.WriteTimeout/6, time.Second), Count: 3}
		if err := errors.Join(tcpConn.SetKeepAliveConfig(keepAlive), SetUserTimeout(tcpConn, l.WriteTimeout)); err != nil {
			// The caller has already reset the connection.
			_ = c.Close()
			continue
		}
		conn := &Conn{TCPConn: tcpConn, listener: l, writeTimeout: l.WriteTimeout}
		conn.moved()
		if !l.add(conn) {
			_ = c.Close()
			continue
		}
		return conn, nil
	}
}

// SetUserTimeout makes the kernel close a connection whose sent bytes are not acknowledged within the timeout.
func SetUserTimeout(c *net.TCPConn, timeout time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("get descriptor: %w", err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	if optionErr != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", optionErr)
	}
	return nil
}

// Conn is the connection of a caller. Each write has a timeout.
type Conn struct {
	*net.TCPConn
	listener      *Listener
	writeTimeout  time.Duration
	writeDeadline time.Time
	// Linger makes Close discard remaining input, up to lingerTimeout and maxLingerBytes, before it closes the connection.
	// It is set when a request is refused before all of its input was read.
	Linger bool
	// busy is set while a request is being served. movedAt is when a byte was last read or written, in nanoseconds since the Unix epoch.
	busy    atomic.Bool
	movedAt atomic.Int64
}

func (c *Conn) moved() { c.movedAt.Store(time.Now().UnixNano()) }

// SetBusy sets whether a request of the connection is being served, so that the connection is not closed for another one.
func (c *Conn) SetBusy(busy bool) {
	c.moved()
	c.busy.Store(busy)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.moved()
	}
	return n, err //nolint:wrapcheck // the server compares it
}

// AwaitInput waits until the peer has sent a byte or closed its side, or the read deadline has passed, without a buffer for the byte.
func (c *Conn) AwaitInput() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err //nolint:wrapcheck // the server compares it
	}
	return raw.Read(func(fd uintptr) bool { //nolint:wrapcheck // the server compares it
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		return err == nil && n > 0
	})
}

// Write implements net.Conn. It fails if the caller reads nothing within the write timeout.
func (c *Conn) Write(p []byte) (int, error) {
	// The deadline is renewed in steps, because setting a deadline costs more than comparing two times.
	if now := time.Now(); c.writeDeadline.Sub(now) < c.writeTimeout {
		c.writeDeadline = now.Add(c.writeTimeout * 5 / 4)
		if err := c.SetWriteDeadline(c.writeDeadline); err != nil {
			return 0, fmt.Errorf("set write deadline: %w", err)
		}
	}
	return c.TCPConn.Write(p) //nolint:wrapcheck // the server compares it
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	defer c.listener.remove(c)
	if c.Linger && c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		// A read error does not matter, because the connection is closed next.
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
	}
	return c.TCPConn.Close() //nolint:wrapcheck // the server compares it
}

// HasInput reports whether the peer has sent bytes that are still unread, or has closed its side.
func (c *Conn) HasInput() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	input := false
	if err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		input = err == nil && n > 0
	}); err != nil {
		return false
	}
	return input
}

// AwaitPeerClose ends the sending side and waits up to lingerTimeout until the peer has closed the connection, without reading.
// Closing a socket with unread input resets the connection, and the reset may destroy the last response before the peer has read
// it.
func (c *Conn) AwaitPeerClose() {
	raw, err := c.SyscallConn()
	if err != nil || c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	// An error means that the connection is closed or the time is over; it is closed next in any case.
	_ = raw.Read(peerClosed)
}

// WatchDisconnect calls onDisconnect once if the caller closes or resets the connection before stop is called. The
// connection must not be read until stop has returned. stop waits for the watch to end.
func (c *Conn) WatchDisconnect(group *errgroup.Group, onDisconnect func()) (stop func()) {
	raw, err := c.SyscallConn()
	if err == nil {
		// The read deadline of the request's header and body must not end the watch.
		err = c.SetReadDeadline(time.Time{})
	}
	if err != nil || PeerClosed(c.TCPConn) {
		// A request that is read late, for example after this process was stopped, must not be passed on.
		onDisconnect()
		return func() {}
	}
	done := make(chan struct{})
	group.Go(func() error {
		defer close(done)
		if err := raw.Read(peerClosed); err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			onDisconnect()
		}
		return nil
	})
	return func() {
		// Setting a deadline fails only on a closed connection, which ends the watch as well.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// PeerClosed reports whether the peer has closed or reset a TCP connection, even if received bytes are still unread.
func PeerClosed(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	if err := raw.Control(func(fd uintptr) { closed = peerClosed(fd) }); err != nil {
		return true
	}
	return closed
}

// peerClosed reports whether the peer closed or reset the connection, even if received bytes are still unread.
func peerClosed(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents != 0
}
