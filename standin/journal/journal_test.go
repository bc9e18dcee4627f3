package journal

import (
	"net/http"
	"testing"
)

// TestFindSecrets guards against keys that reach an upstream without being detected, and against ordinary words that
// are reported as keys.
func TestFindSecrets(t *testing.T) {
	tests := []struct {
		header http.Header
		body   string
		want   int
	}{
		{http.Header{"Authorization": {"Bearer x"}}, "", 1},
		{http.Header{"X-Api-Key": {"x"}, "Cookie": {"y"}}, "", 2},
		{http.Header{"X-Note": {"sk-abc"}}, `{"prompt":"use sk-123 and ad-0123456789abcdefgh"}`, 3},
		{http.Header{"Azuredoor-Customer": {"cantel-mill"}}, "order desk-1, task-2, an ad-hoc order", 0},
	}
	for _, test := range tests {
		if got := FindSecrets(test.header, []byte(test.body)); len(got) != test.want {
			t.Errorf("headers %v, body %q: got %v, want %d", test.header, test.body, got, test.want)
		}
	}
}
