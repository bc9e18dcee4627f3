package place

import "time"

const (
	// demandGain is the weight of one generation in the averages, small enough that the sizes of single ones do not decide;
	// demandKnown is how many make them known.
	demandGain  = 0.02
	demandKnown = 40
	// paceFade lets the best pace fade, so that engines that have become slower for good are noticed.
	paceFade = 1.01
)

// Demand averages what generations ask of engines, those of this entry and those that other entries report.
type Demand struct {
	// Prompt is the average number of prompt tokens.
	Prompt float64
	// Room is the average of the tokens held in memory times how long they are held, in nanoseconds.
	Room float64
	// pace is the average time for one output token of this entry's generations, in nanoseconds; 0 while there were none.
	// best is that of the fastest of late.
	pace, best float64
	count      int

	own   DemandTotal
	peers map[uint64]DemandTotal
}

// DemandTotal sums up the generations of one entry since its start.
type DemandTotal struct {
	Generations, PromptTokens uint64
	// RoomMillis is in tokens held in memory times the milliseconds that they were held.
	RoomMillis uint64
}

// Add takes a whole generation of this entry into account, which held prompt and output tokens for a time. Its room counts
// as if it had been made at the best pace: an engine that is slow because it reads prompts, or stops answers, needs fewer
// requests and not more engines of its kind.
func (d *Demand) Add(prompt, output int, held time.Duration) {
	pace := float64(held) / float64(max(1, output))
	if d.pace == 0 {
		d.pace, d.best = pace, pace
	}
	d.pace += demandGain * (pace - d.pace)
	d.best = min(pace, d.best*paceFade)
	// The output grows while it is made, so that half of it is held on average.
	room := (float64(prompt) + float64(output)/2) * d.best * float64(max(1, output))
	d.own.Generations++
	d.own.PromptTokens += uint64(max(0, prompt))
	d.own.RoomMillis += uint64(max(0, room) / float64(time.Millisecond))
	d.learn(1, float64(prompt), room)
}

// Lasts returns how long an answer of that many output tokens lasts, or 0 while that is not known.
func (d *Demand) Lasts(output int) time.Duration { return time.Duration(d.pace * float64(output)) }

// Own returns the totals of this entry, for the others.
func (d *Demand) Own() DemandTotal { return d.own }

// Observe takes the totals of another entry into account.
func (d *Demand) Observe(session uint64, total DemandTotal) {
	if d.peers == nil {
		d.peers = map[uint64]DemandTotal{}
	}
	last := d.peers[session]
	d.peers[session] = total
	if total.Generations <= last.Generations {
		return
	}
	n := total.Generations - last.Generations
	prompt := float64(total.PromptTokens-last.PromptTokens) / float64(n)
	room := float64(total.RoomMillis-last.RoomMillis) / float64(n) * float64(time.Millisecond)
	d.learn(int(n), prompt, room)
}

// Keep forgets all other entries but those given.
func (d *Demand) Keep(sessions map[uint64]bool) {
	for session := range d.peers {
		if !sessions[session] {
			delete(d.peers, session)
		}
	}
}

// learn adds the average of a number of generations.
func (d *Demand) learn(generations int, prompt, room float64) {
	for range min(generations, demandKnown) {
		gain := max(demandGain, 1/float64(d.count+1))
		d.count++
		d.Prompt += gain * (prompt - d.Prompt)
		d.Room += gain * (room - d.Room)
	}
}

// Known says whether enough generations were seen.
func (d *Demand) Known() bool { return d.count >= demandKnown }

// Reading returns how long a prefill engine takes for a prompt of that many tokens.
func (t *Table) Reading(tokens float64) time.Duration { return reading(int(tokens), t.speed) }
