package conn

import (
	"context"
	"errors"
	"fmt"
	"io"

	"golang.org/x/sync/semaphore"
)

const (
	// defaultMaxBody is the default of Call.MaxBody.
	defaultMaxBody = 1 << 20
	// defaultLargeBodies is the default of Options.LargeBodies.
	defaultLargeBodies = 64 << 20
	// smallBodyBytes is the size up to which a body needs no share of Options.LargeBodies.
	smallBodyBytes = 64 << 10
)

// ErrBodyTooLong means that a body is longer than its call accepts.
var ErrBodyTooLong = errors.New("body is too long")

// bodyBuffers reads whole bodies into memory. A body takes up memory for the bytes that have arrived, whatever length its header
// states. The large bodies that are being read at the same time have a common bound; a further one waits.
type bodyBuffers struct {
	large *semaphore.Weighted
	// bytes is the bound of large.
	bytes int64
}

func newBodyBuffers(largeBodies int64) *bodyBuffers {
	return &bodyBuffers{large: semaphore.NewWeighted(largeBodies), bytes: largeBodies}
}

// read reads a body of at most limit bytes. The stated length is negative if the header states none. Each large body takes up
// its whole size of the common bound at once, so that no two wait for each other.
func (b *bodyBuffers) read(ctx context.Context, r io.Reader, stated, limit int) ([]byte, error) {
	if stated > limit {
		return nil, fmt.Errorf("%w: its length is %d bytes, more than %d", ErrBodyTooLong, stated, limit)
	}
	body := make([]byte, 0, firstBufferBytes(stated))
	for reserved := false; ; {
		if len(body) > limit {
			return nil, fmt.Errorf("%w: more than %d bytes arrived", ErrBodyTooLong, limit)
		}
		if len(body) >= smallBodyBytes && !reserved {
			need := int64(limit)
			if stated >= 0 {
				need = int64(stated)
			}
			need = min(need, b.bytes)
			if err := b.large.Acquire(ctx, need); err != nil {
				return nil, fmt.Errorf("wait for memory for a large body: %w", err)
			}
			defer b.large.Release(need)
			reserved = true
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			if len(body) > limit {
				return nil, fmt.Errorf("%w: more than %d bytes arrived", ErrBodyTooLong, limit)
			}
			return body, nil
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // wrapped by the call
		}
	}
}

// firstBufferBytes returns the size of the first buffer for a body with the stated length.
func firstBufferBytes(stated int) int {
	const unknown = 1 << 10
	if stated < 0 {
		return unknown
	}
	// The byte beyond the body lets the last read return the end of the stream.
	return min(stated, smallBodyBytes) + 1
}
