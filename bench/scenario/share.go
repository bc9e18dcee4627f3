package scenario

import (
	"slices"

	"azuredoor.example/bench/load"
)

// customersBelowShare returns the customers whose engine requests per second are at most their weighted max-min fair
// share of the capacity.
func customersBelowShare(flows []load.Flow, weight func(customer string) float64, capacity float64) []string {
	rates := map[string]float64{}
	for i := range flows {
		if f := &flows[i]; f.Kind == load.Completion || f.Kind == load.Chat {
			rates[f.Customer] += f.Rate
		}
	}
	var below []string
	for {
		remaining, weights := capacity, 0.0
		for name, rate := range rates {
			if slices.Contains(below, name) {
				remaining -= rate
			} else {
				weights += weight(name)
			}
		}
		found := false
		for name, rate := range rates {
			if !slices.Contains(below, name) && rate <= remaining/weights*weight(name) {
				below, found = append(below, name), true
			}
		}
		if !found {
			return below
		}
	}
}
