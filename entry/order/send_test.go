package order

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestOddResponseToOrder guards against an order that counts as carried out because of a response that is none.
func TestOddResponseToOrder(t *testing.T) {
	for response, accepted := range map[string]bool{
		"HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{}":                                         true,
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}":               true,
		"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}":                                         false,
		"HTTP/1.1 20 X\r\nContent-Length: 2\r\n\r\n{}":                                          false,
		"SMTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}":                                         false,
		"HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}":                                         false,
		"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{}":                                         false,
		"HTTP/1.1 200 X\r\nX-Note : 1\r\nContent-Length: 2\r\n\r\n{}":                           false,
		"HTTP/1.1 200 X\r\nX Note: 1\r\nContent-Length: 2\r\n\r\n{}":                            false,
		"HTTP/1.1 200 X\r\nX-Note: 1\r\n X-Note: 2\r\nContent-Length: 2\r\n\r\n{}":              false,
		"HTTP/1.1 200 X\r\nX-\x01Note: 1\r\nContent-Length: 2\r\n\r\n{}":                        false,
		"HTTP/1.1 202 X\r\nContent-Length : 2\r\n\r\n{}":                                        false,
		"HTTP/1.1 103 X\r\nX Note: 1\r\n\r\nHTTP/1.1 200 X\r\n\r\n{}":                           false,
		"HTTP/1.1 200 X\r\n!#$%&'*+-.^_`|~: 1\r\nContent-Length: 2\r\n\r\n{}":                   true,
		"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Sum: 1\r\n\r\n":  true,
		"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Sum: 1\r\n\r\n":  false,
		"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Sum : 1\r\n\r\n": false,
		"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n":                  false,
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}\r\n":           false,
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var group errgroup.Group
		group.Go(func() error {
			c, err := ln.Accept()
			if err != nil {
				return err
			}
			defer c.Close()
			_, _ = c.Read(make([]byte, 4<<10))
			_, err = io.WriteString(c, response)
			return err
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		err = (&HTTP{}).Send(ctx, Order{Address: ln.Addr().String()}, func() bool { return true })
		cancel()
		if (err == nil) != accepted {
			t.Errorf("%q: got error %v, want accepted: %v", response, err, accepted)
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		ln.Close()
	}
}
