package caller

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"

	"azuredoor.example/entry/relay"
)

// requestIDs is a filter that gives each request a unique ID.
type requestIDs struct {
	control Control
	counter atomic.Uint64
	// processID replaces the session ID while the entry has no session. The top bit is set, so that processID cannot
	// equal a session ID; session IDs are log indexes.
	processID uint64
}

func newRequestIDs(c Control) *requestIDs {
	return &requestIDs{control: c, processID: rand.Uint64() | 1<<63}
}

// Serve implements Filter.
func (f *requestIDs) Serve(x *Exchange, next Handler) *relay.Error {
	x.ID = f.next()
	x.HTTP.Response.Header.Set(headerRequestID, x.ID)
	return next(x)
}

func (f *requestIDs) next() string {
	session, ok := f.control.SessionID()
	if !ok {
		session = f.processID
	}
	return strconv.FormatUint(session, 10) + "-" + strconv.FormatUint(f.counter.Add(1), 10)
}

// renew returns id if it belongs to the current session or the entry has no session, and a new ID otherwise.
func (f *requestIDs) renew(id string) string {
	session, ok := f.control.SessionID()
	if !ok || strings.HasPrefix(id, strconv.FormatUint(session, 10)+"-") {
		return id
	}
	return f.next()
}
