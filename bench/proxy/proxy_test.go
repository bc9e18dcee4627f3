package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestProxyFaults guards against a fault proxy that lets data through while a test relies on a fault.
func TestProxyFaults(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer conn.Close()
				_, err := io.Copy(conn, conn)
				return err
			})
		}
	})
	p, err := Start("127.0.0.1:0", echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	answers := func(conn net.Conn) bool {
		if conn == nil {
			return false
		}
		_, writeErr := conn.Write([]byte("x"))
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, readErr := conn.Read(make([]byte, 1))
		return writeErr == nil && readErr == nil
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			return nil // a reset can arrive before the connection is made
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	first := dial()
	if !answers(first) {
		t.Fatal("no answer without a fault")
	}
	if got := p.SilenceOpen(); got != 1 {
		t.Errorf("got %d open connections, want 1", got)
	}
	second := dial()
	if answers(first) || !answers(second) {
		t.Error("SilenceOpen: want the old connection silent and the new one open")
	}
	p.Set("127.0.0.1", Silent)
	if answers(second) {
		t.Error("silent: got an answer")
	}
	p.Set("127.0.0.1", Mute)
	if answers(dial()) {
		t.Error("mute: got an answer")
	}
	p.Set("127.0.0.1", Slow)
	if began := time.Now(); !answers(dial()) || time.Since(began) < 2*slowBy {
		t.Errorf("slow: got no answer, or one after %v, want one after %v", time.Since(began), 2*slowBy)
	}
	p.Set("127.0.0.1", Pass)
	p.Set("", Refuse)
	if !answers(dial()) {
		t.Error("a source with its own setting got the setting of the others")
	}
	p.Set("127.0.0.1", Refuse)
	if answers(second) || answers(dial()) {
		t.Error("refuse: got an answer")
	}
}
