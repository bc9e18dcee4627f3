package caller

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/prompt"
	"azuredoor.example/entry/relay"
)

// generate runs a chat or plain completion request. When generate returns nil, it has called finish with the outcome,
// or finish is called once the streamed response is written.
func (s *Server) generate(ctx context.Context, x *Exchange, finish func(outcome string)) *relay.Error {
	request := s.relayRequest(x)
	request.Model, request.MaxTokens = x.Body.Model, x.Body.MaxTokens
	request.PromptTokens, request.PrefixHashes = prompt.Blocks(x.Body.Prompt)
	request.Charge = int64(request.PromptTokens + request.MaxTokens)
	generation := &relay.Generation{Request: request, Prompt: x.Body.Prompt, CheckAllowed: s.keyCheck(ctx, x), RenewID: s.ids.renew, Claim: x.Claim}
	if pool := x.View.Config.Pools[x.Route.Pool]; pool != nil {
		generation.LinkBytesPerSecond = pool.LinkBytesPerSecond
	}
	stream, stored, err := s.options.Relay.Generate(ctx, generation)
	if err != nil {
		return toRelayError(err)
	}
	if stored != nil {
		writeResponse(x, stored)
		finish("ok")
		return nil
	}
	response := &x.HTTP.Response
	if !x.Body.Stream {
		defer stream.Close()
		data, err := newResponseFormat(x).encode(stream)
		if err != nil {
			return toRelayError(err)
		}
		response.Header.Set(headerUpstream, stream.Upstream())
		response.Header.SetContentType("application/json")
		response.SetBodyRaw(data)
		stream.Store(fasthttp.StatusOK, "application/json", data)
		finish("ok")
		return nil
	}
	body := &eventBody{recording: x.Claim != nil, stream: stream, chunks: newResponseFormat(x).chunks(), includeUsage: x.Body.IncludeUsage, finish: finish, outcome: "caller_gone"}
	// An error in the first batch of tokens is returned with its HTTP status. A later error is sent as an event.
	if e := body.awaitFirst(); e != nil {
		stream.Close()
		return e
	}
	response.Header.Set(headerUpstream, stream.Upstream())
	response.Header.SetContentType("text/event-stream")
	response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	response.SetBodyStream(body, -1)
	return nil
}

// eventBody is the body of a streamed response. The HTTP server writes the result of each Read to the caller at once.
type eventBody struct {
	stream       tokenStream
	chunks       chunkFormat
	includeUsage bool
	finish       func(outcome string)
	outcome      string

	// recording keeps the written events in recorded, to store the response of a claimed request.
	recording bool
	recorded  []byte

	buf     []byte
	pending []byte
	ended   bool
}

// maxBatchBytes is the size at which a batch of events is written even if more tokens are buffered.
const maxBatchBytes = 2048

// awaitFirst encodes the start of the response, and waits for the first token or the end of the stream.
func (b *eventBody) awaitFirst() *relay.Error {
	b.buf = b.chunks.appendStart(b.buf[:0])
	return b.fill()
}

// fill waits for the next token and appends its event and those of the tokens already buffered. On an error, the
// events before it stay pending.
func (b *eventBody) fill() *relay.Error {
	for {
		text, err := b.stream.Next()
		switch {
		case err == io.EOF: //nolint:errorlint // Next returns io.EOF bare
			var u *usage
			if b.includeUsage {
				u = usageOf(b.stream)
			}
			b.buf = b.chunks.appendEnd(b.buf, b.stream.FinishReason(), u)
			b.ended, b.outcome = true, "ok"
			if b.recording {
				b.stream.Store(fasthttp.StatusOK, "text/event-stream", append(b.recorded, b.buf...))
			}
		case err != nil:
			b.ended, b.outcome = true, toRelayError(err).Code
			b.pending = b.buf
			return toRelayError(err)
		default:
			b.buf = b.chunks.appendToken(b.buf, text)
		}
		if b.ended || len(b.buf) >= maxBatchBytes || !b.stream.Buffered() {
			b.pending = b.buf
			return nil
		}
	}
}

// Read implements io.Reader.
func (b *eventBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		if b.recording && len(b.recorded) <= relay.MaxStoredBytes {
			b.recorded = append(b.recorded, b.buf...)
		}
		b.buf = b.buf[:0]
		if e := b.fill(); e != nil {
			b.buf = append(append(append(b.buf, "data: "...), encodeError(e)...), "\n\n"...)
			b.pending = b.buf
		}
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close implements io.Closer. The HTTP server calls Close once, after the complete body or when writing to the caller
// fails.
func (b *eventBody) Close() error {
	b.stream.Close()
	b.finish(b.outcome)
	return nil
}
