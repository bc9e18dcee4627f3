package web

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// startResettingUpstream answers each request at once with a response of the given head and part of a body, and resets the connection
// after a pause while the rest of the request is still being written.
func startResettingUpstream(t *testing.T, head string, read int64, pause time.Duration) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				_, _ = io.CopyN(io.Discard, c, read)
				_, _ = fmt.Fprint(c, head+"part of a body")
				time.Sleep(pause)
				closeWithReset(c)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		_ = group.Wait()
	})
	return ln.Addr().String()
}

// TestResetDuringUpload guards against a part of a response that reaches the caller as a complete one, because the reset of its connection
// was noticed by the write of the request and no longer by the read of the response.
func TestResetDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nId: request-1\r\nSigned: 1\r\n"
	for path, more := range map[string]string{"/safe/x": "\r\n", "/unsafe/x": "\r\n", "/stream/x": "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n", "/once/x": "\r\n"} {
		for _, read := range []int64{1000, 100_000, 2_000_000} {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				t.Run(fmt.Sprint(path[1:5], " ", read, " ", pause), func(t *testing.T) {
					t.Parallel()
					u := &upstream{address: startResettingUpstream(t, head+more, read, pause)}
					b := newTestRouter(t, []*upstream{u}, nil, []*upstream{u})
					request, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+b.address+path, bytes.NewReader(make([]byte, 4<<20)))
					if err != nil {
						t.Fatal(err)
					}
					request.Host = "h"
					for name, value := range map[string]string{"Id": "request-1", "Key": "key", "Patience": "5s", "Tokens": "100"} {
						request.Header.Set(name, value)
					}
					client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
					response, err := client.Do(request)
					if err != nil {
						return
					}
					defer response.Body.Close()
					if body, err := io.ReadAll(response.Body); err == nil && response.StatusCode < 300 {
						t.Errorf("got status %d with a complete body of %d bytes, want no complete response", response.StatusCode, len(body))
					}
				})
			}
		}
	}
}
