// Package penalty is the paper's test: a load is worth it only if the idle
// items that must go are together worth less than the item that comes.
package penalty

import "time"

// Of is the cost of not holding an item: requests to come times the time to
// serve one from the cheapest replica that has it (definition 6.1).
func Of(requests float64, cheapest time.Duration) float64 {
	return requests * cheapest.Seconds()
}

// Victim is an idle item that may go.
type Victim struct {
	Item    string
	Size    int
	Penalty float64
}

// Verdict is the outcome of the test.
type Result struct {
	Load    bool
	Victims []Victim
	Sum     float64 // the victims' penalties together
	Freed   int
	Reason  string
}

// Test walks the victims in the order given, greedily, until need is freed,
// leaves out those that turned out not to be needed, and compares. Without a
// holder anywhere (alone) there is nothing to fall back on, so room is enough.
func Evaluate(need int, wanted float64, csf float64, alone bool, order []Victim) Result {
	v := Result{}
	if need > 0 {
		for _, c := range order {
			v.Victims = append(v.Victims, c)
			if v.Freed += c.Size; v.Freed >= need {
				break
			}
		}
		if v.Freed < need {
			return Result{Reason: "idle items are too few to make room"}
		}
		// Why: a greedy walk may have picked small ones before a large one that suffices.
		kept := v.Victims[:0:0]
		for _, c := range v.Victims {
			if v.Freed-c.Size >= need {
				v.Freed -= c.Size
				continue
			}
			kept = append(kept, c)
			v.Sum += c.Penalty
		}
		v.Victims = kept
	}
	switch {
	case alone:
		v.Load, v.Reason = true, "no holder and the victims make room"
	case csf*v.Sum < wanted:
		v.Load, v.Reason = true, "victims' penalty is below the wanted item's"
	default:
		v.Reason = "victims' penalty is not below the wanted item's"
	}
	return v
}
