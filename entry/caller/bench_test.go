package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startTokenServer starts an upstream that writes one event for each token, with the given gap between events, and
// returns its address.
func startTokenServer(tb testing.TB, gap time.Duration) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	handler := func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/v1/reserve":
			ctx.SetBodyString(`{"slot":3,"expiresInMs":1000}`)
		case "/v1/prefill":
			ctx.SetBodyString(`{"handle":"h1","promptTokens":2,"kvBytes":100,"expiresInMs":800}`)
		case "/v1/decode":
			body := ctx.Request.Body()
			id := textBetween(body, `"requestId":"`, `"`)
			attempt := textBetween(body, `"attempt":`, `,`)
			n := 0
			fmt.Sscan(textBetween(body, `"maxTokens":`, `,`), &n)
			ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
				for i := range n {
					fmt.Fprintf(w, "data: {\"requestId\":%q,\"attempt\":%s,\"offset\":%d,\"text\":\" t%d\"}\n\n", id, attempt, i, i)
					w.Flush()
					time.Sleep(gap)
				}
				fmt.Fprintf(w, "data: {\"requestId\":%q,\"attempt\":%s,\"done\":true,\"finishReason\":\"length\"}\n\n", id, attempt)
			})
		}
	}
	server := &fasthttp.Server{Handler: handler}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ln) })
	tb.Cleanup(func() { ln.Close(); group.Wait() })
	return ln.Addr().String()
}

func textBetween(text []byte, before, after string) string {
	_, rest, _ := bytes.Cut(text, []byte(before))
	got, _, _ := bytes.Cut(rest, []byte(after))
	return string(got)
}

// startMinimalRelay starts a server that copies the upstream's stream to the caller with fasthttp alone, and returns its
// address.
func startMinimalRelay(tb testing.TB, upstream string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	client := &fasthttp.Client{StreamResponseBody: true, MaxConnsPerHost: 1000}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		var request fasthttp.Request
		request.SetRequestURI("http://" + upstream + "/v1/decode")
		request.Header.SetMethod("POST")
		request.SetBodyString(`{"requestId":"7-1","attempt":1,"maxTokens":200,}`)
		response := &fasthttp.Response{}
		if err := client.Do(&request, response); err != nil {
			ctx.SetStatusCode(502)
			return
		}
		ctx.Response.Header.SetContentType("text/event-stream")
		ctx.SetBodyStream(response.BodyStream(), -1)
	}}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ln) })
	tb.Cleanup(func() { ln.Close(); group.Wait() })
	return ln.Addr().String()
}

// BenchmarkToken compares the CPU time per token of an entry with the CPU time of a relay that uses fasthttp alone. Both
// figures include the CPU time of the upstream and the callers, which "direct" measures.
func BenchmarkToken(b *testing.B) {
	upstream := startTokenServer(b, 20*time.Millisecond)
	e := &fakeEngine{id: "e"}
	u := e.upstreamAt(upstream, "both", 1000)
	f := newFixture(b, nil, u)
	const streams, n = 100, 200
	for _, target := range []struct{ name, url, body string }{
		{"direct", "http://" + upstream + "/v1/decode", `{"requestId":"7-1","attempt":1,"maxTokens":200,}`},
		{"bare", "http://" + startMinimalRelay(b, upstream) + "/", "x"},
		{"entry", "http://" + f.address + "/v1/completions", `{"model":"m","prompt":"two words","max_tokens":200,"stream":true}`},
	} {
		b.Run(target.name, func(b *testing.B) {
			var used time.Duration
			for range b.N {
				start := cpuTime()
				var group errgroup.Group
				for range streams {
					group.Go(func() error {
						request, _ := http.NewRequest("POST", target.url, bytes.NewBufferString(target.body))
						request.Header.Set("Authorization", "Bearer "+testKey)
						response, err := http.DefaultClient.Do(request)
						if err != nil {
							return err
						}
						defer response.Body.Close()
						data, err := io.ReadAll(response.Body)
						if got := bytes.Count(data, []byte(`"text":" t`)); got != n {
							return fmt.Errorf("status %d, %d tokens, want %d", response.StatusCode, got, n)
						}
						return err
					})
				}
				if err := group.Wait(); err != nil {
					b.Fatal(err)
				}
				used += cpuTime() - start
			}
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N*streams*n), "cpu-ns/token")
		})
	}
}
