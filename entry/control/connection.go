package control

import (
	"net"
	"sync/atomic"

	"google.golang.org/grpc"

	"azuredoor.example/core/fleetrpc"
)

// connection is a connection to a control member.
type connection struct {
	*grpc.ClientConn
	// received is the number of bytes that arrived, over all reconnections.
	received atomic.Int64
}

// dial returns a connection that adds the bytes that it receives to total, too.
func dial(dialer fleetrpc.Dialer, address string, total *atomic.Int64) (*connection, error) {
	conn, wrap := &connection{}, dialer.Wrap
	dialer.Wrap = func(c net.Conn) net.Conn {
		if wrap != nil {
			c = wrap(c)
		}
		return &countedConn{Conn: c, received: &conn.received, total: total}
	}
	var err error
	if conn.ClientConn, err = dialer.Dial(address); err != nil {
		return nil, err
	}
	return conn, nil
}

// countedConn counts the bytes that it reads.
type countedConn struct {
	net.Conn
	received, total *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.total.Add(int64(n))
	return n, err //nolint:wrapcheck // callers compare the errors of connections
}
