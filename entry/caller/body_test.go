package caller

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

var testParser = &bodyParser{defaultMaxTokens: 16, maxTokens: 100}

// TestParse guards against different prompts for equal messages in the forms that OpenAI's format allows, and against
// accepting an invalid body.
func TestParse(t *testing.T) {
	tests := []struct {
		body   string
		kind   Kind
		prompt string
		max    int
	}{
		{`{"model":"m","messages":[{"role":"system","content":"be brief"},{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, KindChat, "system: be brief\nuser: ab", 16},
		{`{"model":"m","messages":[{"role":"assistant","content":null}],"max_tokens":5,"max_completion_tokens":7}`, KindChat, "assistant: ", 7},
		{`{"model":"m","prompt":"a b","max_tokens":100,"temperature":1}`, KindCompletion, "a b", 100},
		{`{"model":"m","prompt":["a b"]}`, KindCompletion, "a b", 16},
	}
	for _, test := range tests {
		got, e := testParser.parse([]byte(test.body), test.kind)
		if e != nil || got.Prompt != test.prompt || got.MaxTokens != test.max {
			t.Errorf("%s: got %+v, %v, want %q, %d", test.body, got, e, test.prompt, test.max)
		}
	}
	for _, body := range []string{
		``, `[]`, `{"model":""}`, `{"model":"m","prompt":["a","b"]}`, `{"model":"m","prompt":[1,2]}`, `{"model":"m","prompt":null}`,
		`{"model":"m","prompt":"a","max_tokens":0}`, `{"model":"m","prompt":"a","max_tokens":101}`, `{"model":"m","prompt":"a","n":2}`,
		`{"model":"m","prompt":"a"} x`,
	} {
		if got, e := testParser.parse([]byte(body), KindCompletion); e == nil || e.Status != 400 {
			t.Errorf("%s: got %+v, %v, want status 400", body, got, e)
		}
	}
}

// FuzzParse guards against panics of the parser and errors that quote the body.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hello"}],"stream":true}`), true)
	f.Add([]byte(`{"model":"m","prompt":["a b"],"max_tokens":3}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`), true)
	f.Add([]byte(`{"model":1e400}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		kind := KindCompletion
		if chat {
			kind = KindChat
		}
		got, e := testParser.parse(body, kind)
		if e != nil {
			if e.Status != 400 || e.Err != nil || !json.Valid(encodeError(e)) {
				t.Errorf("got %+v, want a plain status 400", e)
			}
			return
		}
		if got.Model == "" || got.MaxTokens < 1 || got.MaxTokens > testParser.maxTokens {
			t.Errorf("got %+v outside the limits", got)
		}
	})
}

// TestAppendQuoted guards against events that are not valid JSON or whose text differs from the token.
func TestAppendQuoted(t *testing.T) {
	for _, text := range []string{"", "plain", `"\`, "\x00\n\u2028é<&>", strings.Repeat("a", 300)} {
		var got string
		if err := json.Unmarshal(appendQuoted(nil, text), &got); err != nil || got != text {
			t.Errorf("got %q (%v), want %q", got, err, text)
		}
	}
	if got := appendQuoted(nil, "\xff"); !json.Valid(got) || bytes.Contains(got, []byte{0xff}) {
		t.Errorf("got %q, want valid JSON", got)
	}
}
