package order

import (
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/penalty"
	"drumstall.example/internal/state"
)

// steps is how many phases a task may pass at once.
const steps = 8

type phase int

const (
	withdraw phase = iota
	acks
	idle
	gone
	grant
	loaded
)

type task struct {
	item    conf.Item
	victims []conf.Item
	phase   phase
	since   time.Duration
	begun   time.Duration
	stamp   state.Stamp
	worth   float64
	cost    time.Duration // of one request without it
	wait    time.Duration // until the store has room, as last told
	asked   int           // victims whose unload has been ordered
}

// waits says that a task holds nothing up yet and may let another go first.
func (t *task) waits() bool { return t.phase == withdraw || t.phase == grant }

// overtakes is how much dearer a task must be to go before one that has waited
// longer. Why: two that are worth the same must not take turns at the store's door.
const overtakes = 1.25

// dearestFirst moves the task that is worth most now to the front, unless the one
// there has begun to move things. Why: the store's keeper lets the dearest start, but a replica's controller asks for
// one at a time; behind a cheap one the dearest would not even be heard of.
func (w *Ward) dearestFirst(now time.Duration) {
	for i := range w.tasks.Len() {
		t := w.tasks.At(i)
		// Why: what is worth how much changes while it waits: others have begun to ask, or those that asked have gone.
		if n := w.d.Requests(t.item.String()); n > 0 && t.cost > 0 {
			t.worth = penalty.Of(n, t.cost)
		}
	}
	for i := w.tasks.Len() - 1; i > 0; i-- {
		if t := w.tasks.At(i); t.waits() && now-t.begun > paceLimit {
			w.drop(i, "the store had no room")
		}
	}
	if w.tasks.Len() < 2 || !w.tasks.Front().waits() {
		return
	}
	best := 0
	for i := 1; i < w.tasks.Len(); i++ {
		if t := w.tasks.At(i); t.waits() && w.worthOfTime(t) > w.worthOfTime(w.tasks.At(best)) && w.fits(t) {
			best = i
		}
	}
	if w.worthOfTime(w.tasks.At(best)) > overtakes*w.worthOfTime(w.tasks.Front()) {
		w.tasks.PushFront(w.tasks.Remove(best))
	}
}

// worthOfTime is what a task is worth by the time that its loads take. Why: an
// adapter is there in a twentieth of the time that a model takes, and holds the others up by no more.
func (w *Ward) worthOfTime(t *task) float64 {
	return t.worth / float64(max(1, w.taskMs(w.d.Conf().Models[t.item.Model], t.item)))
}

// fits says whether a task finds room with what is there now but for its own
// victims. Why: one may have been taken on for room that another's victims leave over, and must wait for that one.
func (w *Ward) fits(t *task) bool {
	mib, places := w.there()
	for item, l := range w.book {
		for _, v := range t.victims {
			switch {
			case !v.Covers(item):
			case item.Adapter == "":
				mib -= l.SizeMib
			default:
				mib -= l.SizeMib
				places--
			}
		}
	}
	for i := range w.tasks.Len() {
		// Why: one that only waits for the store has its room made already, and that is nobody else's.
		u := w.tasks.At(i)
		if u != t && u.phase != grant {
			continue
		}
		if l := w.book[conf.Item{Model: u.item.Model}]; l != nil && l.State == Reserved {
			mib += l.SizeMib
		}
		if u.item.Adapter != "" {
			if l := w.book[u.item]; l != nil && l.State == Reserved {
				mib += l.SizeMib
			}
			places++
		}
	}
	return mib <= w.vitals.CapacityMib && (t.item.Adapter == "" || places <= w.vitals.AdapterPlaces)
}

// fail gives up the task in front.
func (w *Ward) fail(why string) { w.drop(0, why) }

func (w *Ward) drop(i int, why string) {
	w.let(i, why)
	// Why: its victims stay after all, and whoever counted on the room they would have left over has none; it would
	// hold up the others until it noticed.
	for j := w.tasks.Len() - 1; j >= 0 && w.overbooked(); j-- {
		if w.tasks.At(j).waits() {
			w.let(j, "the room it counted on is not given up")
		}
	}
	w.keep()
}

// let takes a task out and puts back what it had claimed.
func (w *Ward) let(i int, why string) {
	t := w.tasks.Remove(i)
	w.d.Log.Info("load given up", "replica", w.listed.ID, "item", t.item.String(), "why", why)
	w.undo(t)
}

// overbooked says that all tasks together need more room than there will be.
func (w *Ward) overbooked() bool {
	mib, places := w.planned()
	return w.known && (mib > w.vitals.CapacityMib || places > w.vitals.AdapterPlaces)
}
