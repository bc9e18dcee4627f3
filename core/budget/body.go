package budget

import (
	"errors"
	"io"
)

// ErrTooLarge means that a body is longer than its limit.
var ErrTooLarge = errors.New("the body is too large")

// firstBytes is the size of the first buffer of a body.
const firstBytes = 4 << 10

// ReadBody reads a body of the stated length, negative if it states none, and of at most limit bytes, 0 for any number. Its buffer grows
// with what has arrived, and the lease with the buffer. Errors are ErrTooLarge, those of Grow and those of the source; a body that ends
// before its stated length is io.ErrUnexpectedEOF.
func ReadBody(source io.Reader, length, limit int, lease *Lease) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, ErrTooLarge
	}
	most := limit
	if length >= 0 {
		most = length
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(firstBytes, 2*cap(body))
			if length >= 0 || limit > 0 {
				// The byte beyond the limit shows that a body is too large, or lets the last read return its end.
				size = min(size, most+1)
			}
			if size <= len(body) {
				return nil, ErrTooLarge
			}
			if err := lease.Grow(int64(size)); err != nil {
				return nil, err
			}
			old := int64(cap(body))
			body = append(make([]byte, 0, size), body...)
			lease.Shrink(old)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		lease.Moved()
		switch {
		case limit > 0 && len(body) > limit:
			return nil, ErrTooLarge
		case err == io.EOF && len(body) < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err //nolint:wrapcheck // callers compare it
		}
	}
}
