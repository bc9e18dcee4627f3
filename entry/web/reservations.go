package web

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// reservationMemory is how long the ID of a reservation is remembered: longer than a connection stays idle.
const reservationMemory = 10 * time.Second

// reservationIDs holds the IDs of the latest reservations. It is safe for concurrent use.
type reservationIDs struct {
	mu        sync.Mutex
	seen      map[string]time.Time
	lastSweep time.Time
}

func newReservationIDs() *reservationIDs { return &reservationIDs{seen: map[string]time.Time{}} }

// add records a reservation and reports whether it is new.
func (r *reservationIDs) add(now time.Time, address, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastSweep) > reservationMemory {
		r.lastSweep = now
		for key, at := range r.seen {
			if now.Sub(at) > reservationMemory {
				delete(r.seen, key)
			}
		}
	}
	key := address + "/" + id
	at, known := r.seen[key]
	if known && now.Sub(at) <= reservationMemory {
		return false
	}
	r.seen[key] = now
	return true
}

// ownsReservation reports whether a response may be the one to a reservation call. Responses to requests have an ID, and an
// engine gives no reservation twice on a connection. A second copy of a refusal can't be told from a refusal.
func (r *Router) ownsReservation(address string, response *fasthttp.Response, reused bool) bool {
	if r.config.Codec.ReadResponse(&response.Header).RequestID != "" {
		return false
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return true
	}
	id, err := r.config.Codec.ReadReservation(response.Body())
	return err != nil || r.reservations.add(time.Now(), address, id) || !reused
}
