// Package link simulates a network link of limited rate that several transfers share.
package link

import (
	"context"
	"sync"
	"time"
)

// Link is a rate limiter without burst. Concurrent transfers that take small portions share the rate evenly.
type Link struct {
	rate     int64
	scale    func(time.Duration) time.Duration
	mu       sync.Mutex
	nextFree time.Time
}

// New returns a link with a rate in bytes per second; 0 means no limit. The scale function maps the transfer time of
// each portion to the time that the link takes.
func New(rate int64, scale func(time.Duration) time.Duration) *Link {
	return &Link{rate: rate, scale: scale}
}

// Take waits until the link has transferred n more bytes, or returns the context's error.
func (l *Link) Take(ctx context.Context, n int64) error {
	if l.rate <= 0 {
		return ctx.Err()
	}
	l.mu.Lock()
	now := time.Now()
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	l.nextFree = l.nextFree.Add(l.scale(time.Duration(float64(n) / float64(l.rate) * float64(time.Second))))
	wait := l.nextFree.Sub(now)
	l.mu.Unlock()
	return Sleep(ctx, wait)
}

// Portion returns the number of bytes that the link transfers in about 5 ms, at most total.
func (l *Link) Portion(total int64) int64 {
	if l.rate <= 0 {
		return total
	}
	return max(1, min(total, l.rate/200))
}

// Sleep waits for d or returns the context's error.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
