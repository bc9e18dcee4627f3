package policy

import (
	"time"

	"azuredoor.example/entry/admit"
	"azuredoor.example/entry/relay"
)

const (
	// prefillWaitDivisor limits the wait of prefills at their engines to 1/4 of the first-token target. Further
	// requests wait in the admission queue, which starts them in order and refuses early those that would miss their
	// target.
	prefillWaitDivisor = 4
	// minPrefills lets an entry start requests even if its share of the prefill engines is small.
	minPrefills = 2
	// costRiseSamples is the number of prefills over which costPerToken rises again after a low sample.
	costRiseSamples = 512
	// averageSamples is the number of prefills over which meanTokens is averaged.
	averageSamples = 16
)

// prefillLimiter counts and bounds the started requests of a pool whose prefill has not ended. Without the bound, a
// burst starts requests in all free slots at once, and their prefills wait longer than the first-token target.
type prefillLimiter struct {
	// items maps each request that waits or runs to its item in the admission queue.
	items map[*relay.Request]*admit.Item
	// prefilling holds the started items whose prefill has not ended.
	prefilling map[*admit.Item]struct{}
	// costPerToken is the shortest recent prefill time per uncached token, in seconds; longer times include waiting at
	// the engine. meanTokens is the average number of uncached tokens of a prefill.
	costPerToken, meanTokens float64
	// firstTokenTarget is the target of the latest request that has one.
	firstTokenTarget time.Duration
}

func (l *prefillLimiter) init() {
	l.items, l.prefilling = map[*relay.Request]*admit.Item{}, map[*admit.Item]struct{}{}
}

func (l *prefillLimiter) add(r *relay.Request, item *admit.Item) {
	l.items[r] = item
	if r.Profile != nil && r.Profile.FirstTokenTarget > 0 {
		l.firstTokenTarget = time.Duration(r.Profile.FirstTokenTarget)
	}
}

func (l *prefillLimiter) remove(r *relay.Request, item *admit.Item) {
	delete(l.items, r)
	delete(l.prefilling, item)
}

// prefillEnded records the end, the duration and the number of uncached tokens of a prefill.
func (l *prefillLimiter) prefillEnded(r *relay.Request, elapsed time.Duration, uncached int) {
	delete(l.prefilling, l.items[r])
	if uncached <= 0 {
		return
	}
	cost := elapsed.Seconds() / float64(uncached)
	if l.costPerToken == 0 {
		l.costPerToken, l.meanTokens = cost, float64(uncached)
	}
	l.costPerToken = min(cost, l.costPerToken+(cost-l.costPerToken)/costRiseSamples)
	l.meanTokens += (float64(uncached) - l.meanTokens) / averageSamples
}

// full reports whether the prefill of another request would wait too long, given the number of prefill engines and the
// number of entries that share these engines.
func (l *prefillLimiter) full(engines, entries int) bool {
	if engines == 0 || l.costPerToken == 0 || l.firstTokenTarget == 0 {
		return false
	}
	perEngine := l.firstTokenTarget.Seconds() / prefillWaitDivisor / (l.costPerToken * l.meanTokens)
	return len(l.prefilling) >= max(minPrefills, int(perEngine*float64(engines)/float64(max(1, entries))))
}
