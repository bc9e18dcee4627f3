package place

import "time"

const (
	// firstSpeed is the assumed reading speed of a prefill engine until one was observed, in tokens per millisecond: an
	// engine of four accelerators reads about 55.
	firstSpeed = 50.0
	// decodeShare is the part of that speed at which a decode engine reads prompts between other requests' tokens.
	decodeShare = 0.5
	// speedFade lets an observed speed fade, so that a slower engine is noticed.
	speedFade = 0.98
	// handOver is the time that moving a prefill's result to a decode engine takes beside the reading.
	handOver = 10 * time.Millisecond
	// worthMoving is how much sooner the first token must come by way of a prefill engine. Moving a result takes link
	// capacity and can fail, so a decode engine that is nearly as fast reads the prompt itself.
	worthMoving = 120 * time.Millisecond
)

func reading(tokens int, speed float64) time.Duration {
	return time.Duration(float64(tokens) / speed * float64(time.Millisecond))
}

func (t *Table) speedOf(role string) float64 {
	switch speed := t.speed[RolePrefill]; {
	case role == RoleAny:
		return 0
	case speed == 0 && role == RoleDecode:
		return firstSpeed * decodeShare
	case speed == 0:
		return firstSpeed
	case role == RoleDecode:
		return speed * decodeShare
	default:
		return speed
	}
}

// ObserveRead takes into account how long an engine took for a prompt, the wait behind others included.
func (t *Table) ObserveRead(role string, tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	speed := float64(tokens) / (float64(took) / float64(time.Millisecond))
	if role == RoleDecode {
		speed /= decodeShare
	}
	t.speed[RolePrefill] = max(speed, t.speedOf(RolePrefill)*speedFade)
}

// Forecast is the expected time to the first token.
type Forecast struct {
	// Direct is by way of a decode engine alone, Split by way of a prefill engine first.
	Direct, Split time.Duration
	// HasSplit is false when no prefill engine can take the request.
	HasSplit bool
}

// Forecast estimates the time to the first token of a request to the engines of a service.
func (t *Table) Forecast(now time.Time, need Need) (Forecast, error) {
	need.Role = RoleDecode
	decode, err := t.best(now, need)
	if err != nil {
		return Forecast{}, err
	}
	wait := func(s *state) time.Duration { return max(0, s.busyUntil.Sub(now)) }
	f := Forecast{Direct: wait(decode) + reading(need.Work, t.speedOf(RoleDecode))}
	need.Role, need.Exclude = RolePrefill, nil
	if prefill, err := t.best(now, need); err == nil {
		f.HasSplit = true
		f.Split = wait(prefill) + reading(need.Work, t.speedOf(RolePrefill)) + handOver
	}
	return f, nil
}

// Separate says whether a prefill engine should read the prompt.
func (f Forecast) Separate() bool { return f.HasSplit && f.Direct > f.Split+worthMoving }

// Best is the expected time to the first token by the chosen way.
func (f Forecast) Best() time.Duration {
	if f.Separate() {
		return f.Split
	}
	return f.Direct
}
