package conn

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// TestEndlessBodies guards against calls that state no limit and read a body of any length into memory, or take up memory for a
// stated length of which nothing arrives.
func TestEndlessBodies(t *testing.T) {
	for name, head := range map[string]string{
		"stated length":     "Content-Length: 999999999999999999\r\n\r\n",
		"chunk":             "Transfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n",
		"small chunks":      "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 1000),
		"without a length":  "\r\n",
		"a chunk after one": "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\nffffffff\r\n",
	} {
		for _, stream := range []bool{false, true} {
			u := startUpstream(t, func(c net.Conn, _ int) bool {
				if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\n"+head); err != nil {
					return false
				}
				fill := []byte(strings.Repeat("1\r\nx\r\n", 1000))
				for {
					if _, err := c.Write(fill); err != nil {
						return false
					}
				}
			})
			p := NewPool(Options{})
			defer p.Close()
			response := &fasthttp.Response{}
			var err error
			if stream {
				var body *Body
				if body, err = p.Stream(t.Context(), u.call(false), response); err == nil {
					_, err = body.ReadAll(defaultMaxBody)
					body.Close()
				}
			} else {
				err = p.Do(t.Context(), u.call(false), response)
			}
			var failed *Error
			if !errors.Is(err, ErrBodyTooLong) || !errors.As(err, &failed) || !failed.ResponseStarted {
				t.Errorf("%s, stream %v: got %v, want %v of the upstream", name, stream, err, ErrBodyTooLong)
			}
			if got := p.OpenConnections(u.address); got != 0 {
				t.Errorf("%s, stream %v: got %d open connections, want the connection closed", name, stream, got)
			}
		}
	}
}

// TestLargeBodiesTakeTurns guards against large bodies that arrive at the same time and together take up more memory than the VM
// has, and against sound ones among them that are given up.
func TestLargeBodiesTakeTurns(t *testing.T) {
	const calls, size, most = 40, 2 << 20, 4 << 20
	half, body := make(chan struct{}), make([]byte, size)
	u := startUpstream(t, func(c net.Conn, _ int) bool {
		if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
			return false
		}
		if _, err := c.Write(body[:size/2]); err != nil {
			return false
		}
		<-half
		_, _ = c.Write(body[size/2:])
		return false
	})
	p := NewPool(Options{LargeBodies: most, ReadTimeout: 20 * time.Second, AckTimeout: 20 * time.Second, WriteTimeout: 20 * time.Second})
	defer p.Close()
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var group errgroup.Group
	var mu sync.Mutex
	whole := 0
	for range calls {
		group.Go(func() error {
			call := u.call(false)
			call.MaxBody = size
			response := &fasthttp.Response{}
			if err := p.Do(t.Context(), call, response); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if len(response.Body()) == size {
				whole++
			}
			return nil
		})
	}
	for u.requests.Load() < calls {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&during)
	// Twice the bound for buffers that grow, and what each call may hold besides.
	if got, most := int64(during.HeapAlloc)-int64(before.HeapAlloc), int64(2*most+calls*(3*smallBodyBytes+size/8)); got > most {
		t.Errorf("got %d bytes in use for %d bodies that have half arrived, want at most %d", got, calls, most)
	}
	close(half)
	if err := group.Wait(); err != nil || whole != calls {
		t.Errorf("got %d whole bodies, %v, want %d", whole, err, calls)
	}
}
