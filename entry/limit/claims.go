package limit

import "time"

// claim is a refused request for which the level is collected.
type claim struct {
	session uint64
	tokens  int64
	// until is when the claim ends unless its session asks again.
	until time.Time
}

// claims holds the refused requests of a bucket, the longest waiting first. It answers a bucket that is short while
// several entries have requests waiting: a small request does not starve a large one, and a session that was granted
// something gets its next turn behind the others, however much it still asks for.
type claims []claim

// ahead forgets ended claims and returns the tokens of the claims before that of a session.
func (c *claims) ahead(now time.Time, session uint64) int64 {
	kept := (*c)[:0]
	for _, one := range *c {
		if now.Before(one.until) {
			kept = append(kept, one)
		}
	}
	*c = kept
	tokens := int64(0)
	for _, one := range kept {
		if one.session == session {
			break
		}
		tokens += one.tokens
	}
	return tokens
}

// put notes a refused request. A session keeps its place while it asks again.
func (c *claims) put(one claim) {
	for i := range *c {
		if (*c)[i].session == one.session {
			(*c)[i] = one
			return
		}
	}
	*c = append(*c, one)
}

// drop removes the claim of a session.
func (c *claims) drop(session uint64) {
	for i := range *c {
		if (*c)[i].session == session {
			*c = append((*c)[:i], (*c)[i+1:]...)
			return
		}
	}
}
