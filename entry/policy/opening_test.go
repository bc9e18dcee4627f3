package policy

import (
	"testing"
	"time"

	"azuredoor.example/core/config"
	"azuredoor.example/entry/admit"
	"azuredoor.example/entry/relay"
)

// TestPrefillLimiterBoundsBurst guards against a burst whose prefills wait at the engines longer than the first-token
// target allows, and against requests that still count after their prefill or after their end.
func TestPrefillLimiterBoundsBurst(t *testing.T) {
	const engines, entries = 3, 4
	var limiter prefillLimiter
	limiter.init()
	start := func() (*relay.Request, *admit.Item) {
		r, item := &relay.Request{Profile: &config.Profile{FirstTokenTarget: config.Duration(time.Second)}}, &admit.Item{}
		limiter.add(r, item)
		limiter.prefilling[item] = struct{}{}
		return r, item
	}
	r, item := start()
	if limiter.full(engines, entries) {
		t.Fatal("got a full limiter before any prefill was measured, want it not full")
	}
	// A prefill of 500 tokens takes 25 ms; the longer durations include waiting for other prefills.
	limiter.prefillEnded(r, 25*time.Millisecond, 500)
	for range 20 {
		limiter.prefillEnded(r, 300*time.Millisecond, 500)
	}
	limiter.remove(r, item)
	var items []*admit.Item
	var requests []*relay.Request
	for !limiter.full(engines, entries) && len(items) < 100 {
		r, item := start()
		requests, items = append(requests, r), append(items, item)
	}
	// The share of an entry is 10 prefills for each of 0.75 engines. The measured number is smaller because the cost
	// per token rises.
	if got := len(items); got < 5 || got > 7 {
		t.Errorf("got %d started prefills, want 5 to 7", got)
	}
	limiter.prefillEnded(requests[0], 25*time.Millisecond, 500)
	if limiter.full(engines, entries) {
		t.Error("got a full limiter after a prefill ended, want one more prefill allowed")
	}
	for i, r := range requests {
		limiter.remove(r, items[i])
	}
	if len(limiter.items)+len(limiter.prefilling) != 0 {
		t.Errorf("got %d requests and %d prefills after all requests ended, want none", len(limiter.items), len(limiter.prefilling))
	}
	if limiter.full(0, entries) {
		t.Error("got a full limiter in a pool without prefill engines, want no bound")
	}
}
