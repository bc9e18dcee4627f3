package admin

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"os"
	"strings"
)

// minTokenBytes is the minimum length of a token, so that tokens cannot be guessed.
const minTokenBytes = 16

// Operator is the owner of a token.
type Operator struct {
	Name string
	// Write permits calls that change state.
	Write bool
}

// Tokens maps operators' tokens to operators. Only the hashes of the tokens are kept.
type Tokens struct {
	operators []Operator
	hashes    [][sha256.Size]byte
}

// ReadTokens reads a file with lines of the form "name role token", where the role is read or write. Empty
// lines and lines that start with # are skipped. Errors never contain a token.
func ReadTokens(path string) (*Tokens, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open the operator tokens file: %w", err)
	}
	defer func() { _ = file.Close() }()
	tokens := &Tokens{}
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		fields := strings.Fields(text)
		if len(fields) != 3 || fields[1] != "read" && fields[1] != "write" || len(fields[2]) < minTokenBytes {
			return nil, fmt.Errorf("%s line %d: want \"name role token\" with role read or write and a token of at least %d bytes", path, number, minTokenBytes)
		}
		tokens.operators = append(tokens.operators, Operator{Name: fields[0], Write: fields[1] == "write"})
		tokens.hashes = append(tokens.hashes, sha256.Sum256([]byte(fields[2])))
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read the operator tokens file: %w", err)
	}
	if len(tokens.operators) == 0 {
		return nil, fmt.Errorf("%s: want at least one line of the form \"name role token\"", path)
	}
	return tokens, nil
}

// Find returns the operator who owns token. The time that Find takes depends neither on token nor on a match, so that
// timing reveals nothing about the stored tokens.
func (t *Tokens) Find(token string) (Operator, bool) {
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i := range t.hashes {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(hash[:], t.hashes[i][:]), i, found)
	}
	if found < 0 {
		return Operator{}, false
	}
	return t.operators[found], true
}
