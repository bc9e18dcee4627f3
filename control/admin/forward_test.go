package admin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"azuredoor.example/control/member"
	"azuredoor.example/core/fleetpb"
)

// startLeader starts a stand-in for the leader that sends first as the response to its first call and then as that to all others.
func startLeader(t *testing.T, first, then string) (address string) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		text := first
		if calls.Add(1) > 1 {
			text = then
		}
		_, _ = io.WriteString(c, text)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestMalformedResponseOfLeader guards against an operator who gets, as the answer of the leader, bytes that are no response.
func TestMalformedResponseOfLeader(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	for name, first := range map[string]string{
		"sound":                    sound,
		"interim response":         "HTTP/1.1 103 X\r\nX-Note: 1\r\n\r\n" + sound,
		"status 000":               "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nelse",
		"blank before a colon":     "HTTP/1.1 200 X\r\nContent-Length : 4\r\n\r\nelse and more",
		"blank in a name":          "HTTP/1.1 200 X\r\nX Note: 1\r\nContent-Length: 4\r\n\r\nelse",
		"blank before a name":      "HTTP/1.1 200 X\r\nId: 1\r\n X-Note: 1\r\nContent-Length: 4\r\n\r\nelse",
		"control byte in a name":   "HTTP/1.1 200 X\r\nX-\x01Note: 1\r\nContent-Length: 4\r\n\r\nelse",
		"blank in an interim head": "HTTP/1.1 103 X\r\nX Note: 1\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nelse",
		"blank in a trailer":       "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nelse\r\n0\r\nX Sum: 1\r\n\r\n",
		"chunks of HTTP/1.0":       "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nelse\r\n0\r\n\r\n",
		"no protocol":              "SMTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nelse",
		"shorter than its length":  "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nelse",
		"refusal":                  "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nelse",
		"nothing":                  "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			group, base := startServer(t)
			group.readErr = &member.NotLeaderError{Leader: &fleetpb.Member{Id: 2, AdminAddress: startLeader(t, first, sound)}}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, base+"/v1/objects", nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer read-token-01234567")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if got, err := io.ReadAll(response.Body); err != nil || response.StatusCode != 200 || string(got) != "whole" {
				t.Errorf("got %d, %q, %v, want the leader's sound response", response.StatusCode, got, err)
			}
		})
	}
}
