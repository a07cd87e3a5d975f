// Package penalty implements the paper's eviction test: a load is worthwhile only
// if the idle items to be evicted for it have a lower total penalty than the item
// to be loaded.
package penalty

import "time"

// Of returns the cost of not holding an item: the expected requests times the time
// to serve one of them from the cheapest replica that holds it (definition 6.1).
func Of(requests float64, cheapest time.Duration) float64 {
	return requests * cheapest.Seconds()
}

// Victim is an idle item that may be evicted.
type Victim struct {
	Item    string
	Size    int
	Penalty float64
}

// Result is the outcome of Evaluate.
type Result struct {
	Load          bool
	Victims       []Victim
	VictimPenalty float64 // total penalty of the victims
	Freed         int
	Reason        string
}

// Evaluate selects victims greedily in the order given until the needed size is
// freed, drops those that turned out to be unnecessary, and compares their total
// penalty, multiplied by the cache stability factor csf, with that of the wanted
// item. If no replica holds the item (noHolder), requests have no fallback, so it
// is enough that the victims free the needed size.
func Evaluate(needed int, wantedPenalty float64, csf float64, noHolder bool, candidates []Victim) Result {
	v := Result{}
	if needed > 0 {
		for _, c := range candidates {
			v.Victims = append(v.Victims, c)
			if v.Freed += c.Size; v.Freed >= needed {
				break
			}
		}
		if v.Freed < needed {
			return Result{Reason: "idle items are too few to make room"}
		}
		// The greedy selection may have picked small victims before a large one that suffices alone.
		kept := v.Victims[:0:0]
		for _, c := range v.Victims {
			if v.Freed-c.Size >= needed {
				v.Freed -= c.Size
				continue
			}
			kept = append(kept, c)
			v.VictimPenalty += c.Penalty
		}
		v.Victims = kept
	}
	switch {
	case noHolder:
		v.Load, v.Reason = true, "no holder and the victims make room"
	case csf*v.VictimPenalty < wantedPenalty:
		v.Load, v.Reason = true, "victims' penalty is below the wanted item's"
	default:
		v.Reason = "victims' penalty is not below the wanted item's"
	}
	return v
}
