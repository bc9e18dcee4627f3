// Package prompt counts the tokens of prompts and computes the hashes of their cache blocks.
package prompt

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in a cache block.
const BlockTokens = 1024

// Count returns the number of tokens of text. Tokens are words separated by white space.
func Count(text string) int {
	n := 0
	for range strings.FieldsSeq(text) {
		n++
	}
	return n
}

// Blocks returns the number of tokens of text and the hashes of its complete cache blocks in their order, so that the
// last hash identifies the longest prefix. The hash of a block is xxhash64 (XXH64 with seed 0, see https://xxhash.com) of
// the little-endian hash of the previous block (0 for the first block) and the tokens of the block joined by one space.
func Blocks(text string) (tokens int, hashes []uint64) {
	var (
		digest   xxhash.Digest
		previous [8]byte
	)
	start := func(hash uint64) {
		binary.LittleEndian.PutUint64(previous[:], hash)
		digest.Reset()
		// The write methods of a Digest never return an error.
		_, _ = digest.Write(previous[:])
	}
	start(0)
	for token := range strings.FieldsSeq(text) {
		if tokens%BlockTokens != 0 {
			_, _ = digest.WriteString(" ")
		}
		_, _ = digest.WriteString(token)
		tokens++
		if tokens%BlockTokens == 0 {
			hash := digest.Sum64()
			hashes = append(hashes, hash)
			start(hash)
		}
	}
	return tokens, hashes
}

// Message is one message of a chat.
type Message struct {
	Role, Content string
}

// FromChat returns the prompt of a chat, with one line "<role>: <content>" for each message.
func FromChat(messages []Message) string {
	var b strings.Builder
	for i, m := range messages {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
	}
	return b.String()
}
