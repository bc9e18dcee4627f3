package itest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/platform/standin"
)

// malformedResponses are responses to a request that differ from sound ones in their head or trailers only. The first parameter is the
// ID of the request, the second its signature, the third the body.
var malformedResponses = []string{
	"HTTP/1.1 200 OK\r\nInstance-Id: malformed\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nX Note: 1\r\nContent-Length: %[4]d\r\n\r\n%[3]s",
	"HTTP/1.1 200 OK\r\nInstance-Id: malformed\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nX-Note : 1\r\nContent-Length: %[4]d\r\n\r\n%[3]s",
	"HTTP/1.1 200 OK\r\nInstance-Id: malformed\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length : 4\r\n\r\n%[3]s",
	"HTTP/1.1 200 OK\r\nInstance-Id: malformed\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nX-\x01Note: 1\r\nContent-Length: %[4]d\r\n\r\n%[3]s",
	"HTTP/1.1 103 Hints\r\nX Note: 1\r\n\r\nHTTP/1.1 200 OK\r\nInstance-Id: malformed\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %[4]d\r\n\r\n%[3]s",
	"HTTP/1.1 000 OK\r\nInstance-Id: malformed\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %[4]d\r\n\r\n%[3]s",
	"HTTP/1.1 503 X\r\nInstance-Id: malformed\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nNot Executed: 1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nInstance-Id: malformed\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nTransfer-Encoding: chunked\r\n\r\n%[4]x\r\n%[3]s\r\n0\r\nX Sum: 1\r\n\r\n",
}

// startMalformed starts an upstream that answers requests with responses of one form. It returns its address and the number of requests
// that it got.
func startMalformed(t *testing.T, form string) (address string, requests *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = &atomic.Int64{}
	var group errgroup.Group
	t.Cleanup(func() {
		ln.Close()
		_ = group.Wait()
	})
	group.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return nil
				}
				requests.Add(1)
				id := r.Header.Get("Request-Id")
				body := standin.ResponseBody(id)
				_, _ = fmt.Fprintf(c, form, id, standin.Signature(id), body, len(body))
				return nil
			})
		}
	})
	return ln.Addr().String(), requests
}

// TestMalformedResponsesReachNobody guards against callers who get a response whose head or trailers are malformed, and against requests
// that run twice because of one.
func TestMalformedResponsesReachNobody(t *testing.T) {
	t.Parallel()
	p := startPlatform(t)
	journal := standin.NewJournal()
	p.startUpstream(time.Millisecond, journal)
	addresses := make([]string, len(malformedResponses))
	requests := make([]*atomic.Int64, len(malformedResponses))
	for i, form := range malformedResponses {
		addresses[i], requests[i] = startMalformed(t, form)
	}
	sequence := 0
	announce := func() {
		sequence++
		for i, address := range addresses {
			p.tell(0, "PUT", fmt.Sprint("malformed-", i), heartbeatOf(address, 1000, sequence))
		}
	}
	announce()
	sent, failed := 0, 0
	send := func(path string) (call standin.Call, got standin.Response) {
		var c standin.Caller
		defer c.Close()
		sent++
		call = standin.Call{ID: fmt.Sprint("m", sent), Path: path, Key: platformKey}
		return call, c.Do(p.entryAddress(), call)
	}
	heartbeat := time.Now()
	p.await("requests at all upstreams", func() bool {
		if time.Since(heartbeat) > 400*time.Millisecond {
			heartbeat = time.Now()
			announce()
		}
		for _, path := range []string{standin.SafePath, standin.UnsafePath} {
			call, got := send(path)
			if got.Upstream == "malformed" || got.ContentError != "" || !got.Complete && got.Err != nil {
				t.Errorf("%s%s: got %+v, want the response of the sound upstream or of the entry", path, call.ID, got)
			}
			if runs := journal.Run(call.ID).Starts; path == standin.UnsafePath && got.Status == 502 {
				failed++
				if runs != 0 {
					t.Errorf("%s: got %d runs at the sound upstream after a malformed response, want none", call.ID, runs)
				}
			}
		}
		return !slices.ContainsFunc(requests, func(n *atomic.Int64) bool { return n.Load() == 0 })
	})
	t.Logf("%d requests, %d got a 502", sent, failed)
}
