package load

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Classify compares the text that a caller received with the expected text. The flag ended reports whether the
// stream reached its regular end.
func Classify(got, want string, ended bool) Verdict {
	if got == want && ended {
		return Complete
	}
	if strings.HasPrefix(want, got) {
		if got == "" && !ended {
			return Failed
		}
		return Truncated
	}
	receivedWords, expectedWords := strings.Fields(got), strings.Fields(want)
	for i, word := range receivedWords {
		if i < len(expectedWords) && word == expectedWords[i] {
			continue
		}
		if slices.Contains(expectedWords[:min(i, len(expectedWords))], word) {
			return Duplicated
		}
		return Foreign
	}
	return Foreign
}

func bodyHash(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:])
}
