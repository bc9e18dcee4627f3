package limit

import "time"

// claim is a refused request for which the bucket reserves tokens.
type claim struct {
	session uint64
	tokens  int64
	// expiresAt is when the claim expires unless its session repeats the request.
	expiresAt time.Time
}

// claims is the queue of refused requests of a bucket, longest waiting first. While the bucket is short of tokens and
// several entries wait, small requests cannot starve large ones, and a session that was granted tokens queues behind the
// others again, however many tokens it still requests.
type claims []claim

// tokensBefore removes expired claims and returns the total tokens of the claims before that of a session, or of all
// claims if the session has none.
func (c *claims) tokensBefore(now time.Time, session uint64) int64 {
	kept := (*c)[:0]
	for _, cl := range *c {
		if now.Before(cl.expiresAt) {
			kept = append(kept, cl)
		}
	}
	*c = kept
	tokens := int64(0)
	for _, cl := range kept {
		if cl.session == session {
			break
		}
		tokens += cl.tokens
	}
	return tokens
}

// add records a refused request. A session that repeats its request keeps its place in the queue.
func (c *claims) add(cl claim) {
	for i := range *c {
		if (*c)[i].session == cl.session {
			(*c)[i] = cl
			return
		}
	}
	*c = append(*c, cl)
}

// remove deletes the claim of a session.
func (c *claims) remove(session uint64) {
	for i := range *c {
		if (*c)[i].session == session {
			*c = append((*c)[:i], (*c)[i+1:]...)
			return
		}
	}
}
