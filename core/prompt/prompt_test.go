package prompt

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// TestBlocks guards against a hash chain that differs from the hash chain that engines publish.
func TestBlocks(t *testing.T) {
	var words []string
	for i := range 2*BlockTokens + 10 {
		words = append(words, fmt.Sprintf("w%d", i))
	}
	var want []uint64
	previous := make([]byte, 8)
	for i := range 2 {
		block := strings.Join(words[i*BlockTokens:(i+1)*BlockTokens], " ")
		hash := xxhash.Sum64(append(slices.Clone(previous), block...))
		binary.LittleEndian.PutUint64(previous, hash)
		want = append(want, hash)
	}
	tokens, got := Blocks("\n " + strings.Join(words, " \t"))
	if tokens != len(words) || !slices.Equal(got, want) {
		t.Errorf("Blocks() = %d, %x, want %d, %x", tokens, got, len(words), want)
	}
	if tokens, got := Blocks(strings.Join(words[:BlockTokens-1], " ")); tokens != BlockTokens-1 || got != nil {
		t.Errorf("Blocks(partial) = %d, %x, want %d and no hash", tokens, got, BlockTokens-1)
	}
}
