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
	// speedGrowth bounds by how much one prompt raises the observed speed: one of which the engine had read most before
	// seems to be read in no time.
	speedGrowth = 1.05
	// HandOver is the time that moving a prefill's result to a decode engine takes beside the reading.
	HandOver = 10 * time.Millisecond
)

func reading(tokens int, speed float64) time.Duration {
	return time.Duration(float64(tokens) / speed * float64(time.Millisecond))
}

// ObserveRead takes into account how long a prefill engine took for a prompt, the wait behind others included.
func (t *Table) ObserveRead(tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	speed := float64(tokens) / (float64(took) / float64(time.Millisecond))
	t.speed = min(max(speed, t.speed*speedFade), t.speed*speedGrowth)
}

// Forecast is the expected time to the first token of a request that was placed on a decode engine.
type Forecast struct {
	// Direct is by way of the decode engine alone, Split by way of a prefill engine first.
	Direct, Split time.Duration
	// HasSplit is false when no prefill engine can take the request.
	HasSplit bool
	// Alone is set when nothing else runs on the decode engine, as far as that can be known.
	Alone bool
}

// Forecast estimates the time to the first token of a prompt that the decode engine was picked for. Its own work counts
// as running there already.
func (t *Table) Forecast(now time.Time, decode Upstream, need Need, prompt int) Forecast {
	f := Forecast{Direct: reading(prompt, t.speed*decodeShare), Alone: true}
	if s := t.states[decode.ID]; s != nil {
		_, requests := s.total()
		f.Alone = requests <= 1 && t.entries <= manyEntries
	}
	need.Role, need.Work, need.Exclude = RolePrefill, prompt, nil
	if prefill, err := t.best(now, need); err == nil {
		f.HasSplit = true
		work, _ := prefill.total()
		f.Split = reading(work+prompt, t.speed) + HandOver
	}
	return f
}

// Separate says whether a prefill engine should read the prompt. A decode engine that reads a prompt delays all streams
// that run there, which then hold its memory for longer, so it only reads when nothing else runs there or when all prefill
// engines have a longer line.
func (f Forecast) Separate(target time.Duration) bool {
	if !f.HasSplit || f.Alone && f.Direct < target/2 {
		return false
	}
	return f.Split < max(f.Direct, target*3/4)
}

// Best is the expected time to the first token by the chosen way.
func (f Forecast) Best(target time.Duration) time.Duration {
	if f.Separate(target) {
		return f.Split
	}
	return f.Direct
}
