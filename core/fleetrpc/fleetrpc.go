// Package fleetrpc creates gRPC servers and client connections between azuredoor processes.
package fleetrpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"azuredoor.example/core/event"
)

const (
	secretHeader = "azuredoor-fleet-secret"
	// maxMessageBytes bounds one message; larger snapshots are sent in parts.
	maxMessageBytes = 64 << 20

	// A connection without traffic is checked by pings. A server closes a dead connection within pingInterval +
	// pingTimeout.
	pingInterval = 2 * time.Second
	pingTimeout  = time.Second

	// connectTimeout bounds one connection attempt. The value is many times the round-trip time between regions, but
	// shorter than the 1 s after which the kernel retransmits a lost SYN, so that a VM that has restarted is reached by
	// the next attempt.
	connectTimeout = 400 * time.Millisecond

	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = time.Second
)

// NewServer returns a gRPC server that refuses calls without the fleet secret.
func NewServer(secret string, events *event.Logger) *grpc.Server {
	want := sha256.Sum256([]byte(secret))
	check := func(ctx context.Context) error {
		values := metadata.ValueFromIncomingContext(ctx, secretHeader)
		if len(values) == 1 {
			got := sha256.Sum256([]byte(values[0]))
			if subtle.ConstantTimeCompare(got[:], want[:]) == 1 {
				return nil
			}
		}
		events.Write(event.CallRefused, nil)
		return status.Error(codes.Unauthenticated, "the fleet secret is missing or wrong")
	}
	return grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
			if err := check(ctx); err != nil {
				return nil, err
			}
			return next(ctx, req)
		}),
		grpc.StreamInterceptor(func(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
			if err := check(stream.Context()); err != nil {
				return err
			}
			return next(srv, stream)
		}),
	)
}

// Dialer creates connections to other processes of the fleet.
type Dialer struct {
	// Secret is the fleet secret, sent with each call.
	Secret string
	// Source is the local IP address of connections; empty leaves the choice to the system. On a VM with several
	// addresses, Source makes other processes see the address from the settings.
	Source string
	// Wrap, if set, wraps each new connection, for example to count its bytes.
	Wrap func(net.Conn) net.Conn
}

// Dial returns a client that connects to address, a host:port, on first use and reconnects after failures. Because
// grpc-go raises the ping interval of clients to at least 10 s, callers must set a deadline on each call and replace a
// connection whose calls time out.
func (d Dialer) Dial(address string) (*grpc.ClientConn, error) {
	dialer := &net.Dialer{Timeout: connectTimeout}
	if d.Source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(d.Source)}
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err //nolint:wrapcheck // grpc-go adds the address
			}
			if d.Wrap == nil {
				return conn, nil
			}
			// grpc-go sets the timeout only on a connection that is not wrapped.
			if err := setUserTimeout(conn, pingTimeout); err != nil {
				return nil, errors.Join(err, conn.Close())
			}
			return d.Wrap(conn), nil
		}),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithPerRPCCredentials(secretCredentials(d.Secret)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: maxReconnectDelay,
		}),
	)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	return conn, nil
}

// setUserTimeout sets the time after which the kernel ends a connection whose peer does not acknowledge what was sent.
func setUserTimeout(conn net.Conn, timeout time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "access the socket")
	}
	var setErr error
	if err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
	}); err != nil {
		return eris.Wrap(err, "access the socket")
	}
	return eris.Wrap(setErr, "set the timeout of unacknowledged data")
}

// secretCredentials sends the fleet secret with each call.
type secretCredentials string

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (s secretCredentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{secretHeader: string(s)}, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials. TLS is not required, because the VMs of the fleet
// share a private network; see docs/operating.md.
func (secretCredentials) RequireTransportSecurity() bool { return false }
