package client

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// startMember starts a stand-in for a control member that sends the text as the response to each call.
func startMember(t *testing.T, text string) (address string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, text)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestMalformedResponse guards against a change that counts as made, or a result that is shown, because of bytes that are no response.
func TestMalformedResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 X\r\nContent-Length: 12\r\n\r\n{\"from\":\"b\"}"
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 X\r\nContent-Length: 12\r\n\r\n{\"from\":\"a\"}",
		"status 042":             "HTTP/1.1 042 X\r\nContent-Length: 12\r\n\r\n{\"from\":\"a\"}",
		"blank before a colon":   "HTTP/1.1 200 X\r\nContent-Length : 12\r\n\r\n{\"from\":\"a\"}",
		"blank in a name":        "HTTP/1.1 200 X\r\nX Note: 1\r\nContent-Length: 12\r\n\r\n{\"from\":\"a\"}",
		"control byte in a name": "HTTP/1.1 200 X\r\nX-\x01Note: 1\r\nContent-Length: 12\r\n\r\n{\"from\":\"a\"}",
		"no protocol":            "SMTP/1.1 200 X\r\nContent-Length: 12\r\n\r\n{\"from\":\"a\"}",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := New(Config{Members: []string{startMember(t, text), startMember(t, sound)}, Timeout: 5 * time.Second})
			var got struct{ From string }
			if err := c.Read(t.Context(), "/v1/objects", &got); err != nil || got.From != "b" {
				t.Errorf("read: got a result from %q, %v, want that of the sound member", got.From, err)
			}
			c = New(Config{Members: []string{startMember(t, text)}, Timeout: 300 * time.Millisecond})
			if err := c.Write(t.Context(), http.MethodPost, "/v1/apply", nil, nil); err == nil {
				t.Error("write: got no error")
			}
		})
	}
}
