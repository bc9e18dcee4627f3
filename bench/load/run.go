package load

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// Record is one request and its result.
type Record struct {
	Arrival
	Result
	// Late is the delay between the planned and the actual time of sending.
	Late time.Duration
}

// Run sends the requests of a plan at their times, whether or not earlier requests have been answered, and
// returns when all requests have been answered or have timed out.
func Run(ctx context.Context, p *Plan) ([]Record, error) {
	arrivals := p.Arrivals()
	records := make([]Record, len(arrivals))
	client := NewClient()
	defer client.CloseIdleConnections()
	var group errgroup.Group
	start := time.Now()
	for i, a := range arrivals {
		if err := sleepUntil(ctx, start.Add(a.At)); err != nil {
			break
		}
		group.Go(func() error {
			late := time.Since(start) - a.At
			a.Call.URL = p.entryURL(a.Entry)
			result := Do(ctx, client, a.Call)
			records[i] = Record{Arrival: a, Result: result, Late: late}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return records, ctx.Err()
}

func sleepUntil(ctx context.Context, at time.Time) error {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
