package place

import "time"

const (
	// demandGain is the weight of one generation in the averages, demandKnown how many make them known.
	demandGain  = 0.05
	demandKnown = 20
)

// Demand averages what generations ask of engines.
type Demand struct {
	// Prompt is the average number of prompt tokens.
	Prompt float64
	// Room is the average of the tokens held in memory times how long they are held, in nanoseconds.
	Room  float64
	count int
}

// Add takes a whole generation into account, which held prompt and output tokens for a time.
func (d *Demand) Add(prompt, output int, held time.Duration) {
	gain := max(demandGain, 1/float64(d.count+1))
	d.count++
	d.Prompt += gain * (float64(prompt) - d.Prompt)
	// The output grows while it is made, so that half of it is held on average.
	d.Room += gain * ((float64(prompt)+float64(output)/2)*float64(held) - d.Room)
}

// Known says whether enough generations were seen.
func (d *Demand) Known() bool { return d.count >= demandKnown }

// Reading returns how long a prefill engine takes for a prompt of that many tokens.
func (t *Table) Reading(tokens float64) time.Duration { return reading(int(tokens), t.speed) }
