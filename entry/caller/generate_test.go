package caller

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"azuredoor.example/core/fleetpb"
)

const chatBody = `{"model":"m","messages":[{"role":"user","content":"two words"}],"max_tokens":20`

// TestGenerate guards against wrong text, usage, headers or format of complete and streamed responses, and against a
// key that reaches an engine.
func TestGenerate(t *testing.T) {
	prefill, decode := newFakeEngine(t, "p"), newFakeEngine(t, "d")
	f := newFixture(t, nil, prefill.upstream("prefill", 0), decode.upstream("decode", 4))

	got := f.do(t, "POST", "/v1/chat/completions", chatBody+"}")
	var completion struct {
		Object  string
		Choices []struct {
			Message      struct{ Role, Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal([]byte(got.body), &completion); err != nil || got.status != 200 {
		t.Fatalf("got %d %s (%v), want a chat completion", got.status, got.body, err)
	}
	if completion.Object != "chat.completion" || completion.Choices[0].Message.Content != expectedText(20) || completion.Choices[0].FinishReason != "length" || completion.Usage.CompletionTokens != 20 {
		t.Errorf("got %+v, want 20 tokens", completion)
	}
	if id := got.header.Get(headerRequestID); !strings.HasPrefix(id, "7-") || got.header.Get(headerUpstream) != "d" {
		t.Errorf("got request ID %q, upstream %q, want 7-<number> and d", id, got.header.Get(headerUpstream))
	}
	for path, body := range map[string]string{
		"/v1/chat/completions": chatBody + `,"stream":true}`,
		"/v1/completions":      `{"model":"m","prompt":"two words","max_tokens":20,"stream":true}`,
	} {
		got := f.do(t, "POST", path, body)
		if text, done := streamText(t, got.body); text != expectedText(20) || !done {
			t.Errorf("%s: got text %q, done %v, want 20 tokens and [DONE]", path, text, done)
		}
	}
	for _, e := range []*fakeEngine{prefill, decode} {
		if strings.Contains(e.receivedText(), testKey) {
			t.Errorf("engine %s received the key", e.id)
		}
	}
}

// TestGenerateAtMostOnce guards against a second execution of a non-idempotent request by engines, streamed or not.
func TestGenerateAtMostOnce(t *testing.T) {
	e := newFakeEngine(t, "e")
	f := newFixture(t, nil, e.upstream("both", 4))
	for i, body := range []string{
		`{"model":"once","prompt":"a b","max_tokens":3}`,
		`{"model":"once","prompt":"a b","max_tokens":3,"stream":true}`,
	} {
		key := strings.Repeat("k", i+1)
		first := f.do(t, "POST", "/v1/completions", body, headerIdempotencyKey, key)
		again := f.do(t, "POST", "/v1/completions", body, headerIdempotencyKey, key)
		if first.status != 200 || again.body != first.body || again.header.Get(headerReplayed) != "true" || again.header.Get("Content-Type") != first.header.Get("Content-Type") {
			t.Errorf("got %d %q and then %q, want the same response replayed", first.status, first.body, again.body)
		}
		if got := e.count("/v1/decode"); got != i+1 {
			t.Errorf("got %d decodes, want %d", got, i+1)
		}
	}
	e.prefillDelay = 10 * time.Second
	got := f.do(t, "POST", "/v1/completions", `{"model":"once","prompt":"a b","max_tokens":3}`, headerIdempotencyKey, "late")
	if got.status != 504 || got.header.Get(headerOutcome) != "unknown" || e.count("/v1/prefill") != 3 {
		t.Errorf("got %d %s after %d prefills, want 504 unknown after one more prefill", got.status, got.body, e.count("/v1/prefill"))
	}
	if got := f.claims.state("workshop/late"); got != fleetpb.ClaimState_CLAIM_STATE_UNKNOWN {
		t.Errorf("got claim state %v, want unknown", got)
	}
}
