package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"azuredoor.example/core/prompt"
	"azuredoor.example/standin/answer"
)

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	// Completion is a streamed POST /v1/completions.
	Completion Kind = "completion"
	// Chat is a streamed POST /v1/chat/completions with one user message.
	Chat Kind = "chat"
	// LookUp is an idempotent GET on a plain route.
	LookUp Kind = "lookUp"
	// Booking is a non-idempotent POST with an idempotency key on a plain route.
	Booking Kind = "booking"
)

// Call is one request.
type Call struct {
	Kind     Kind
	Customer string
	// Key is the customer's access key. The call carries no key if Key is empty.
	Key string
	// URL is the base URL of an entry.
	URL string
	// Model, Prompt and MaxTokens are set for engine requests.
	Model, Prompt string
	MaxTokens     int
	// Path and Body are set for plain requests.
	Path, Body string
	// IdempotencyKey is set for Booking.
	IdempotencyKey string
	Timeout        time.Duration
}

// Verdict classifies the response that a caller received.
type Verdict string

// Verdicts.
const (
	// Complete is the complete and correct response.
	Complete Verdict = "whole"
	// Truncated is a truncated response: a correct prefix without the end.
	Truncated Verdict = "cut"
	// Foreign is a response with content that belongs to another request or to no request.
	Foreign Verdict = "crossed"
	// Duplicated is a response that repeats a part of the output.
	Duplicated Verdict = "doubled"
	// Refused is a response with status 429 or 503 before any output.
	Refused Verdict = "refused"
	// Failed is any other error before any output.
	Failed Verdict = "failed"
)

// Result is the response to a call.
type Result struct {
	Verdict Verdict
	Status  int
	// ErrorCode and Outcome are fields of the error body; Outcome defaults to the response header.
	ErrorCode, Outcome string
	// Upstream and Replayed are values of response headers.
	Upstream string
	Replayed bool
	// Text is the whole output of an engine request, or the body of a plain response.
	Text   string
	Tokens int
	// FirstToken, LastToken and End are measured from the start of the call. FirstToken is the time until the
	// whole response has been read for a plain request.
	FirstToken, LastToken, End time.Duration
	Gaps                       []time.Duration
	Err                        error
}

// MeanGap returns the mean time between tokens, or 0 for fewer than two tokens.
func (r *Result) MeanGap() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return (r.LastToken - r.FirstToken) / time.Duration(r.Tokens-1)
}

// NewClient returns an HTTP client for many concurrent calls.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 1024, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}
}

// Do sends a call and verifies the response.
func Do(ctx context.Context, client *http.Client, c Call) Result {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	start := time.Now()
	r := send(ctx, client, c, start)
	r.End = time.Since(start)
	return r
}

func send(ctx context.Context, client *http.Client, c Call, start time.Time) Result {
	request, err := newRequest(ctx, c)
	if err != nil {
		return Result{Verdict: Failed, Err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return Result{Verdict: Failed, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	r := Result{
		Status: response.StatusCode, Upstream: response.Header.Get("Azuredoor-Upstream"),
		Replayed: response.Header.Get("Azuredoor-Replayed") == "true", Outcome: response.Header.Get("Azuredoor-Outcome"),
	}
	switch {
	case response.StatusCode != http.StatusOK:
		r.readError(response.Body)
	case c.Kind == LookUp || c.Kind == Booking:
		r.readPlain(response.Body, c, start)
	default:
		r.readStream(response.Body, start)
		r.Verdict = Classify(r.Text, answer.Text(c.Model, c.enginePrompt(), c.MaxTokens), r.Err == nil)
	}
	return r
}

// enginePrompt returns the prompt that the entry sends to engines.
func (c *Call) enginePrompt() string {
	if c.Kind != Chat {
		return c.Prompt
	}
	return prompt.FromChat([]prompt.Message{{Role: "user", Content: c.Prompt}})
}

func newRequest(ctx context.Context, c Call) (*http.Request, error) {
	method, path, body := http.MethodPost, c.Path, []byte(c.Body)
	var err error
	switch c.Kind {
	case Completion:
		path = "/v1/completions"
		body, err = json.Marshal(map[string]any{"model": c.Model, "prompt": c.Prompt, "max_tokens": c.MaxTokens, "stream": true})
	case Chat:
		path = "/v1/chat/completions"
		message := map[string]string{"role": "user", "content": c.Prompt}
		body, err = json.Marshal(map[string]any{"model": c.Model, "messages": []any{message}, "max_tokens": c.MaxTokens, "stream": true})
	case LookUp:
		method, body = http.MethodGet, nil
	case Booking:
	}
	if err != nil {
		return nil, err //nolint:wrapcheck // plain values always encode
	}
	request, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err //nolint:wrapcheck // names the URL
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	return request, nil
}

func (r *Result) readError(body io.Reader) {
	r.Verdict = Failed
	if r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable {
		r.Verdict = Refused
	}
	data, err := io.ReadAll(body)
	r.Text, r.Err = string(data), err
	var answer struct {
		Error struct{ Code, Outcome string }
	}
	if json.Unmarshal(data, &answer) == nil {
		r.ErrorCode = answer.Error.Code
		if answer.Error.Outcome != "" {
			r.Outcome = answer.Error.Outcome
		}
	}
}

// readPlain reads the response of a plain service and verifies that it belongs to the request.
func (r *Result) readPlain(body io.Reader, c Call, start time.Time) {
	data, err := io.ReadAll(body)
	r.Text, r.Err, r.FirstToken = string(data), err, time.Since(start)
	r.LastToken = r.FirstToken
	var got struct{ Path, BodyHash string }
	switch {
	case err != nil || json.Unmarshal(data, &got) != nil:
		r.Verdict = Truncated
	case got.Path != c.Path || got.BodyHash != bodyHash(c.Body):
		r.Verdict = Foreign
	default:
		r.Verdict = Complete
	}
}

var errNoEnd = errors.New("the stream ended without [DONE]")

const maxLineBytes = 1 << 20

// readStream reads server-sent events in OpenAI's format up to [DONE].
func (r *Result) readStream(body io.Reader, start time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Err = nil
			return
		}
		content, err := eventContent(data)
		if err != nil {
			r.Err = err
			return
		}
		if content == "" {
			continue
		}
		text.WriteString(content)
		now := time.Since(start)
		if r.Tokens == 0 {
			r.FirstToken = now
		} else {
			r.Gaps = append(r.Gaps, now-r.LastToken)
		}
		r.LastToken = now
		r.Tokens++
	}
	if r.Err = lines.Err(); r.Err == nil {
		r.Err = errNoEnd
	}
}

// eventContent returns the text of one event, or the error that the event reports.
func eventContent(data string) (string, error) {
	var event struct {
		Choices []struct {
			Text  string
			Delta struct{ Content string }
		}
		Error *struct{ Message string }
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return "", err //nolint:wrapcheck // names the fault
	}
	if event.Error != nil {
		return "", errors.New(event.Error.Message)
	}
	if len(event.Choices) == 0 {
		return "", nil
	}
	return event.Choices[0].Text + event.Choices[0].Delta.Content, nil
}
