package itest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"azuredoor.example/platform/standin"
)

// startMalformed starts an upstream that answers requests with malformed responses of one kind. It returns its address and the number of
// requests that it got.
func startMalformed(t *testing.T, kind int) (address string, requests *atomic.Int64) {
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
				_, _ = io.WriteString(c, standin.MalformedResponses(path.Base(r.URL.Path))[kind])
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
	kinds := len(standin.MalformedResponses(""))
	addresses, requests := make([]string, kinds), make([]*atomic.Int64, kinds)
	for i := range kinds {
		addresses[i], requests[i] = startMalformed(t, i)
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
	send := func(prefix string) (call standin.Call, got standin.Response) {
		var c standin.Caller
		defer c.Close()
		sent++
		call = standin.Call{ID: fmt.Sprint("m", sent), Path: prefix, Key: platformKey}
		return call, c.Do(p.entryAddress(), call)
	}
	heartbeat := time.Now()
	p.await("requests at all upstreams", func() bool {
		if time.Since(heartbeat) > 400*time.Millisecond {
			heartbeat = time.Now()
			announce()
		}
		for _, prefix := range []string{standin.SafePath, standin.UnsafePath} {
			call, got := send(prefix)
			if got.Upstream == standin.MalformedID || got.ContentError != "" || !got.Complete && got.Err != nil {
				t.Errorf("%s%s: got %+v, want the response of the sound upstream or of the entry", prefix, call.ID, got)
			}
			if runs := journal.Run(call.ID).Starts; prefix == standin.UnsafePath && got.Status == 502 {
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
