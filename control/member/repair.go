package member

import "time"

// replaceAfter is how long a voter must be unreachable before a learner replaces the voter. Together with the time to
// detect that a voter is unreachable, replaceAfter stays below the 4 s that a new member has to catch up.
const replaceAfter = 1500 * time.Millisecond

// memberState is the state of one member as known to the leader.
type memberState struct {
	id                 uint64
	learner, reachable bool
	// unreachableFor is how long the leader has been unable to reach the member; 0 for a reachable member.
	unreachableFor time.Duration
}

// repair is a set of membership changes to propose. A repair removes at most one member and then promotes none.
type repair struct {
	remove  uint64
	promote []uint64
}

// planRepair plans changes that keep the group at targetVoters voters: learners are promoted while there are fewer voters,
// and a reachable learner replaces a voter that has been unreachable for replaceAfter. With targetVoters = 0, every
// learner is promoted and no voter is removed.
func planRepair(members []memberState, targetVoters int) repair {
	var plan repair
	voterCount := 0
	var longestUnreachable memberState
	for _, m := range members {
		switch {
		case m.learner && (m.reachable || targetVoters == 0):
			plan.promote = append(plan.promote, m.id)
		case m.learner:
		default:
			voterCount++
			if m.unreachableFor > longestUnreachable.unreachableFor {
				longestUnreachable = m
			}
		}
	}
	if targetVoters == 0 {
		return plan
	}
	if voterCount >= targetVoters {
		if len(plan.promote) > 0 && longestUnreachable.unreachableFor >= replaceAfter {
			return repair{remove: longestUnreachable.id}
		}
		plan.promote = nil
	}
	return plan
}
