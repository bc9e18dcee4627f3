package member

import "time"

// replaceAfter is how long a voter must have been unreachable before a learner replaces it. With the time in which
// reachability is noticed it stays below the time that a new member has to catch up, 4 s.
const replaceAfter = 1500 * time.Millisecond

// memberState is what the leader knows of one member.
type memberState struct {
	id                 uint64
	learner, reachable bool
	// silent is how long the leader has not reached the member; 0 while it does.
	silent time.Duration
}

// repair is what to change in a membership. At most one removal happens at a time, before any promotion.
type repair struct {
	remove  uint64
	promote []uint64
}

// planRepair keeps the number of voters at voters: learners get a vote while there are fewer, and a reachable learner
// takes the place of a voter that has been silent for replaceAfter. With voters of 0, every learner gets a vote and no
// voter is removed.
func planRepair(members []memberState, voters int) repair {
	var plan repair
	count := 0
	var gone memberState
	for _, m := range members {
		switch {
		case m.learner && (m.reachable || voters == 0):
			plan.promote = append(plan.promote, m.id)
		case m.learner:
		default:
			count++
			if m.silent > gone.silent {
				gone = m
			}
		}
	}
	if voters == 0 {
		return plan
	}
	if count >= voters {
		if len(plan.promote) > 0 && gone.silent >= replaceAfter {
			return repair{remove: gone.id}
		}
		plan.promote = nil
	}
	return plan
}
