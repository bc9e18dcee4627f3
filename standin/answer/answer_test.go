package answer

import (
	"strings"
	"testing"
)

// TestTextMatchesTokens guards against a complete output that differs from the streamed tokens, and against equal outputs
// for different prompts or models.
func TestTextMatchesTokens(t *testing.T) {
	var b strings.Builder
	for offset := range 30 {
		b.WriteString(Token("m", "cut felt len=30", offset))
	}
	if got, want := Text("m", "cut felt len=30", 0), b.String(); got != want {
		t.Errorf("Text got %q, want %q", got, want)
	}
	for _, other := range []string{Text("m", "cut wool len=30", 0), Text("n", "cut felt len=30", 0)} {
		if other == b.String() {
			t.Errorf("a different prompt or model got the same text %q", other)
		}
	}
}

// TestLength guards against a length that ignores the len=N of the prompt, maxTokens or the limits of 8 and 200.
func TestLength(t *testing.T) {
	tests := []struct {
		prompt    string
		maxTokens int
		low, high int
	}{
		{"x len=500", 0, 500, 500},
		{"x len=500\ny", 7, 7, 7},
		{"len= len=12.", 100, 12, 12},
		{"plain", 0, 8, 200},
		{"plain", 3, 3, 3},
	}
	for _, test := range tests {
		if got := Length(test.prompt, test.maxTokens); got < test.low || got > test.high {
			t.Errorf("Length(%q, %d) got %d, want %d to %d", test.prompt, test.maxTokens, got, test.low, test.high)
		}
	}
}

// TestBlockHashesArePrefixes guards against block hashes that depend on later tokens.
func TestBlockHashesArePrefixes(t *testing.T) {
	long := strings.Fields(strings.Repeat("a b c d ", BlockTokens))
	got := BlockHashes(long)
	if len(got) != 4 || got[0] == got[1] {
		t.Fatalf("got %d hashes %v, want 4 that differ", len(got), got)
	}
	if short := BlockHashes(long[:2*BlockTokens+5]); len(short) != 2 || short[1] != got[1] {
		t.Errorf("got %v for a prefix, want %v", short, got[:2])
	}
}
