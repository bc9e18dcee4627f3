// Package answer derives the output of a simulated engine from the model and the prompt, so that a caller can verify a
// complete response without knowing which engine produced it.
package answer

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minLength = 8
	maxLength = 200
	// BlockTokens is the number of prompt tokens in one cache block.
	BlockTokens = 1024
)

var words = [...]string{"felt", "sole", "seam", "mesh", "knot", "cord", "spool", "lining", "pattern", "order", "panel", "float", "twine", "hem", "stitch", "crate"}

// Token returns the output token at an offset. Tokens after the first begin with a space, so that the concatenation of
// all tokens equals Text.
func Token(model, prompt string, offset int) string {
	return NewStream(model, prompt).Token(offset)
}

// Stream generates the output tokens of one prompt. It hashes the prompt only once.
type Stream struct{ seed uint64 }

// NewStream returns the output stream of a model for a prompt.
func NewStream(model, prompt string) Stream {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return Stream{seed: digest.Sum64()}
}

// Token returns the output token at an offset, as the function Token does.
func (s Stream) Token(offset int) string {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], s.seed)
	binary.LittleEndian.PutUint64(buffer[8:], uint64(offset))
	hash := xxhash.Sum64(buffer[:])
	space := " "
	if offset == 0 {
		space = ""
	}
	return fmt.Sprintf("%s%s%05x", space, words[hash%uint64(len(words))], hash>>44)
}

// Length returns the number of output tokens: N if the prompt contains "len=N" with a positive N, else a number from 8
// to 200 derived from the prompt. A positive maxTokens limits the result.
func Length(prompt string, maxTokens int) int {
	length := minLength + int(xxhash.Sum64String(prompt)%(maxLength-minLength+1))
	for rest := prompt; ; {
		_, after, found := strings.Cut(rest, "len=")
		if !found {
			break
		}
		digits := len(after) - len(strings.TrimLeft(after, "0123456789"))
		if n, err := strconv.Atoi(after[:digits]); err == nil && n > 0 {
			length = n
			break
		}
		rest = after
	}
	if maxTokens > 0 {
		length = min(length, maxTokens)
	}
	return length
}

// Text returns the complete output of a model for a prompt.
func Text(model, prompt string, maxTokens int) string {
	stream := NewStream(model, prompt)
	var b strings.Builder
	for offset := range Length(prompt, maxTokens) {
		b.WriteString(stream.Token(offset))
	}
	return b.String()
}

// BlockHashes returns the hashes of the full cache blocks of a prompt; a partial last block has none. The hash of a block
// is the xxhash64 of the hash of the previous block in little-endian order (0 for the first block), followed by the
// tokens of the block joined by single spaces.
func BlockHashes(tokens []string) []uint64 {
	var hashes []uint64
	previous := uint64(0)
	for len(tokens) >= BlockTokens {
		var buffer [8]byte
		binary.LittleEndian.PutUint64(buffer[:], previous)
		digest := xxhash.New()
		_, _ = digest.Write(buffer[:])
		for i, token := range tokens[:BlockTokens] {
			if i > 0 {
				_, _ = digest.WriteString(" ")
			}
			_, _ = digest.WriteString(token)
		}
		previous = digest.Sum64()
		hashes = append(hashes, previous)
		tokens = tokens[BlockTokens:]
	}
	return hashes
}
