package fleet

import (
	"testing"
	"time"

	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/stand"
	"drumstall.example/internal/state"
)

// sevenCores is a fleet whose set of cores forms from three and takes in the others, and whose slots stay for
// long where they are.
func sevenCores(uint64) stand.Deployment {
	d := Small(3).Sized(7, 3, 4, 2, 10, 6)
	d.Unattended = true
	d.Cadence = bounds.DefaultCadence()
	d.Cadence.HandbackDelay = time.Minute
	return d
}

// slotsHeld counts the slots that each core holds, and all of them.
func (f *Fleet) slotsHeld() (most, all int, who string) {
	for _, n := range f.Cores {
		if n.Core == nil {
			continue
		}
		has := len(n.Core.Held())
		all += has
		if has > most {
			most, who = has, n.Name
		}
	}
	return most, all, who
}

func TestNoCoreHoldsMoreThanItsPartOfTheSlots(t *testing.T) {
	Seeds(t, 4, sevenCores, func(f *Fleet) {
		f.voting("the set of all cores")
		part := (state.SlotCount + len(f.Cores) - 1) / len(f.Cores)
		f.Until(10*time.Second, "every core holds its part", func() bool {
			most, all, _ := f.slotsHeld()
			return all == state.SlotCount && most <= part
		})
		time.Sleep(10 * time.Second)
		if most, all, who := f.slotsHeld(); most > part || all != state.SlotCount {
			f.T.Errorf("%s holds %d slots of %d that are held, %d is its part", who, most, all, part)
		}
	})
}
