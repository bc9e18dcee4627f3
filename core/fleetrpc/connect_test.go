package fleetrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"azuredoor.example/core/fleetpb"
)

// listenWithFullBacklog returns the address of a listener whose backlog is full. The kernel drops further connection
// attempts, as for a VM that is down.
func listenWithFullBacklog(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sockaddr, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sockaddr.(*unix.SockaddrInet4).Port}).String()
	for range 10 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the kernel still accepts connections after 10 attempts")
	return ""
}

// TestConnectTimeout guards against calls that hang on a VM that is down. The VM may have restarted long before the kernel
// retransmits the SYN.
func TestConnectTimeout(t *testing.T) {
	conn, err := Dialer{Secret: "x"}.Dial(listenWithFullBacklog(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	began := time.Now()
	_, err = fleetpb.NewPeerClient(conn).Report(ctx, &fleetpb.UseReport{})
	if took := time.Since(began); err == nil || took > 2*connectTimeout {
		t.Errorf("got error %v after %v, want one within %v", err, took, 2*connectTimeout)
	}
}
