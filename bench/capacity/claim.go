package capacity

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"azuredoor.example/core/fleetpb"
)

// sweepClaims varies the rate of at-most-once requests. Each request consists of a claim and a completion that stores
// a response of 1 kB.
func (b *testbed) sweepClaims(ctx context.Context) error {
	number := 0
	for _, rate := range claimPoints {
		claims := b.count(rate)
		s, err := b.measure(ctx, func(ctx context.Context) error { return b.claimAtRate(ctx, rate, number, claims) })
		if err != nil {
			return err
		}
		number += claims
		b.record("claims per second", s.rate(claims), s)
	}
	return b.sweepRecords(ctx, number)
}

// sweepRecords varies the number of stored at-most-once records, in addition to the records that already exist. The
// records are created as fast as the control group accepts them.
func (b *testbed) sweepRecords(ctx context.Context, number int) error {
	first := number
	for _, n := range recordPoints {
		began, previous := time.Now(), number
		var group errgroup.Group
		group.SetLimit(claimParallel)
		for ; number < first+n; number++ {
			claimNumber := number
			group.Go(func() error { return b.claim(ctx, claimNumber) })
		}
		if err := group.Wait(); err != nil {
			return err
		}
		if number > previous {
			b.result.addFigure(fmt.Sprintf("claims and completions per second, %d at a time", claimParallel), "/s", float64(number-previous)/time.Since(began).Seconds())
		}
		s, err := b.measure(ctx, nil)
		if err != nil {
			return err
		}
		b.record("stored records of 1 kB", float64(n), s)
	}
	return nil
}

const (
	responseBytes = 1000
	claimParallel = 256
)

// claimAtRate sends count claims, numbered from first, at a rate per second.
func (b *testbed) claimAtRate(ctx context.Context, rate, first, count int) error {
	if rate == 0 {
		return nil
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var group errgroup.Group
	group.SetLimit(claimParallel)
	for i := range count {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		group.Go(func() error { return b.claim(ctx, first+i) })
	}
	return group.Wait()
}

// claim claims one request and completes it.
func (b *testbed) claim(ctx context.Context, number int) error {
	session := b.sessions.list[number%len(b.sessions.list)]
	key := fmt.Sprintf("claim-%d", number)
	hash := sha256.Sum256([]byte(key))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	name := fmt.Sprintf("customer-%05d", number%b.customers)
	granted, err := session.call.Claim(ctx, &fleetpb.ClaimRequest{
		SessionId: session.id, Customer: name, IdempotencyKey: key, BodyHash: hash[:], RetentionSeconds: 3600, RequestId: key,
	})
	if err != nil {
		return eris.Wrap(err, "claim a request")
	}
	if granted.Outcome != fleetpb.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
		return eris.Errorf("claim %s got outcome %v, want CLAIM_OUTCOME_GRANTED", key, granted.Outcome)
	}
	_, err = session.call.Complete(ctx, &fleetpb.CompleteRequest{
		Customer: name, IdempotencyKey: key, Attempt: granted.Attempt, State: fleetpb.ClaimState_CLAIM_STATE_DONE,
		Answer: &fleetpb.StoredAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, responseBytes)},
	})
	return eris.Wrap(err, "complete a request")
}
