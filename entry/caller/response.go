package caller

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/relay"
)

// tokenStream is the token stream of a running generation.
type tokenStream interface {
	Next() (string, error)
	Buffered() bool
	FinishReason() string
	Usage() (prompt, output int)
	Store(status int, contentType string, body []byte)
	Close()
}

func toRelayError(err error) *relay.Error {
	var e *relay.Error
	if errors.As(err, &e) {
		return e
	}
	return &relay.Error{Status: fasthttp.StatusInternalServerError, Code: "internal", Text: "Internal error.", Result: relay.Unknown, Err: err}
}

// responseFormat encodes responses in OpenAI's format for chat or plain completions.
type responseFormat struct {
	chat    bool
	id      string
	model   string
	created int64
}

func newResponseFormat(x *Exchange) responseFormat {
	f := responseFormat{chat: x.Kind == KindChat, id: "cmpl-" + x.ID, model: x.Body.Model, created: x.Arrived.Unix()}
	if f.chat {
		f.id = "chat" + f.id
	}
	return f
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(t tokenStream) *usage {
	prompt, output := t.Usage()
	return &usage{PromptTokens: prompt, CompletionTokens: output, TotalTokens: prompt + output}
}

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	Logprobs     *struct{}    `json:"logprobs"`
	FinishReason string       `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// encode reads t to its end and returns the complete response of a request that is not streamed.
func (f responseFormat) encode(t tokenStream) ([]byte, error) {
	var text strings.Builder
	for {
		token, err := t.Next()
		if err == io.EOF { //nolint:errorlint // Next returns io.EOF bare
			break
		}
		if err != nil {
			return nil, err
		}
		text.WriteString(token)
	}
	content := text.String()
	c, object := choice{FinishReason: t.FinishReason()}, "text_completion"
	if f.chat {
		c.Message, object = &chatMessage{Role: "assistant", Content: content}, "chat.completion"
	} else {
		c.Text = &content
	}
	response := completionResponse{ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: []choice{c}, Usage: usageOf(t)}
	return json.Marshal(response) //nolint:wrapcheck // plain structs always encode
}

// chunkFormat encodes the events of one streamed response. The prefix is the same in each event.
type chunkFormat struct {
	prefix string
	chat   bool
}

func (f responseFormat) chunks() chunkFormat {
	object := "text_completion"
	if f.chat {
		object = "chat.completion.chunk"
	}
	prefix := `data: {"id":` + quote(f.id) + `,"object":"` + object + `","created":` + strconv.FormatInt(f.created, 10) +
		`,"model":` + quote(f.model) + `,"choices":[`
	return chunkFormat{prefix: prefix, chat: f.chat}
}

// Constant parts of the JSON of an event, after the prefix.
const (
	chatStart        = `{"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}]}` + "\n\n"
	chatTokenStart   = `{"index":0,"delta":{"content":`
	chatTokenEnd     = `},"logprobs":null,"finish_reason":null}]}` + "\n\n"
	chatFinishStart  = `{"index":0,"delta":{},"logprobs":null,"finish_reason":`
	plainTokenStart  = `{"index":0,"text":`
	plainTokenEnd    = `,"logprobs":null,"finish_reason":null}]}` + "\n\n"
	plainFinishStart = `{"index":0,"text":"","logprobs":null,"finish_reason":`
	finishEnd        = "}]}\n\n"
	doneEvent        = "data: [DONE]\n\n"
)

func (c chunkFormat) appendStart(out []byte) []byte {
	if !c.chat {
		return out
	}
	return append(append(out, c.prefix...), chatStart...)
}

func (c chunkFormat) appendToken(out []byte, text string) []byte {
	out = append(out, c.prefix...)
	if c.chat {
		return append(appendQuoted(append(out, chatTokenStart...), text), chatTokenEnd...)
	}
	return append(appendQuoted(append(out, plainTokenStart...), text), plainTokenEnd...)
}

func (c chunkFormat) appendEnd(out []byte, reason string, u *usage) []byte {
	out = append(out, c.prefix...)
	if c.chat {
		out = append(out, chatFinishStart...)
	} else {
		out = append(out, plainFinishStart...)
	}
	out = append(appendQuoted(out, reason), finishEnd...)
	if u != nil {
		out = append(append(out, c.prefix...), `],"usage":`...)
		// Marshal cannot fail: the struct holds only numbers.
		data, _ := json.Marshal(u)
		out = append(append(out, data...), "}\n\n"...)
	}
	return append(out, doneEvent...)
}

func quote(text string) string { return string(appendQuoted(nil, text)) }

// appendQuoted appends text to out as a JSON string.
func appendQuoted(out []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			// Marshal cannot fail on a string.
			data, _ := json.Marshal(text)
			return append(out, data...)
		}
	}
	return append(append(append(out, '"'), text...), '"')
}
