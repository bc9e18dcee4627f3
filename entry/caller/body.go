package caller

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/prompt"
	"azuredoor.example/entry/relay"
)

// CompletionRequest is the parsed body of a chat or plain completion request.
type CompletionRequest struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	// IncludeUsage adds a last chunk with the token usage to a streamed response.
	IncludeUsage bool
}

// bodyParser parses bodies in OpenAI's format and sets the route of the model.
type bodyParser struct {
	defaultMaxTokens, maxTokens int
}

// Serve implements Filter.
func (f *bodyParser) Serve(x *Exchange, next Handler) *relay.Error {
	if x.Kind != KindChat && x.Kind != KindCompletion {
		return next(x)
	}
	body, e := f.parse(x.HTTP.Request.Body(), x.Kind)
	if e != nil {
		return e
	}
	name, ok := x.View.Config.RouteForModel(body.Model)
	if !ok && x.Customer == "" {
		return errInvalidKey
	}
	if !ok {
		return rejection(fasthttp.StatusNotFound, "model_not_found", "The model does not exist.")
	}
	x.Body, x.RouteName, x.Route = body, name, x.View.Config.Routes[name]
	return next(x)
}

type openAIBody struct {
	Model               *string         `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N *int `json:"n"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message, which the JSON gives as a string or as a list of text parts.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	switch {
	case bytes.Equal(data, []byte("null")):
		return nil
	case len(data) > 0 && data[0] == '"':
		return json.Unmarshal(data, (*string)(c)) //nolint:wrapcheck // replaced by the caller of the parser
	}
	var parts []struct {
		Type string  `json:"type"`
		Text *string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err //nolint:wrapcheck // replaced by the caller of the parser
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" || part.Text == nil {
			return errUnsupportedPart
		}
		b.WriteString(*part.Text)
	}
	*c = content(b.String())
	return nil
}

func badRequest(text string) *relay.Error {
	return rejection(fasthttp.StatusBadRequest, "invalid_request", text)
}

var errUnsupportedPart = badRequest("Only text parts are supported in messages.")

// parse decodes the body of a request of the given kind. The errors never quote the body.
func (f *bodyParser) parse(data []byte, kind Kind) (*CompletionRequest, *relay.Error) {
	var body openAIBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, badRequest("The body is not a valid JSON object of the expected form.")
	}
	if body.Model == nil || *body.Model == "" {
		return nil, badRequest("The field model is missing.")
	}
	if body.N != nil && *body.N != 1 {
		return nil, badRequest("The field n must be 1.")
	}
	completion := &CompletionRequest{Model: *body.Model, Stream: body.Stream, IncludeUsage: body.StreamOptions.IncludeUsage}
	var e *relay.Error
	if kind == KindChat {
		completion.Prompt, e = chatPrompt(body.Messages)
	} else {
		completion.Prompt, e = plainPrompt(body.Prompt)
	}
	if e != nil {
		return nil, e
	}
	completion.MaxTokens = f.defaultMaxTokens
	for _, n := range []*int{body.MaxTokens, body.MaxCompletionTokens} {
		if n != nil {
			completion.MaxTokens = *n
		}
	}
	if completion.MaxTokens < 1 || completion.MaxTokens > f.maxTokens {
		return nil, badRequest("The maximum number of tokens is out of range.")
	}
	return completion, nil
}

func chatPrompt(messages []message) (string, *relay.Error) {
	if len(messages) == 0 {
		return "", badRequest("The field messages is missing or empty.")
	}
	list := make([]prompt.Message, 0, len(messages))
	for _, m := range messages {
		if m.Role == "" {
			return "", badRequest("A message has no role.")
		}
		list = append(list, prompt.Message{Role: m.Role, Content: string(m.Content)})
	}
	return prompt.FromChat(list), nil
}

// plainPrompt decodes the prompt of a plain completion: a string or a list of one string.
func plainPrompt(data json.RawMessage) (string, *relay.Error) {
	var text *string
	if json.Unmarshal(data, &text) == nil && text != nil {
		return *text, nil
	}
	var list []string
	if json.Unmarshal(data, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", badRequest("The field prompt must be a string or a list of one string.")
}
