package order

import (
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/penalty"
	"drumstall.example/internal/state"
)

// steps is how many phases a task may pass at once.
const maxSteps = 8

type phase int

const (
	phaseWithdraw phase = iota
	phaseAwaitAcks
	phaseAwaitIdle
	phaseAwaitUnloaded
	phaseAwaitGrant
	phaseAwaitLoaded
)

type task struct {
	item           conf.Item
	victims        []conf.Item
	phase          phase
	phaseSince     time.Duration
	acceptedAt     time.Duration
	stamp          state.Stamp
	penalty        float64
	requestCost    time.Duration // of one request without it
	storeWait      time.Duration // until the store has room, as last told
	startID        string        // names the load start that the store's leave is asked for; empty once it was ordered
	unloadsOrdered int           // victims whose unload has been ordered
	polls          int           // reports that have come since the last order
	blocked        bool          // when it was in front last, there was no room for it
}

// waits says that a task holds nothing up yet and may let another go first.
func (t *task) canYield() bool { return t.phase == phaseWithdraw || t.phase == phaseAwaitGrant }

// overtakes is how much dearer a task must be to go before one that has waited
// longer. Why: two that are worth the same must not take turns at the store's door.
const overtakeRatio = 1.25

// dearestFirst moves the task that is worth most now to the front, unless the one
// there has begun to move things. Why: the store's keeper lets the dearest start, but a replica's controller asks for
// one at a time; behind a cheap one the dearest would not even be heard of.
func (c *Controller) prioritize(now time.Duration) {
	c.updatePenalties()
	if c.dropExpired(now) {
		c.persist()
	}
	if c.tasks.Len() < 2 || !c.tasks.Front().canYield() {
		return
	}
	if best := c.bestTask(); best > 0 {
		c.tasks.PushFront(c.tasks.Remove(best))
	}
}

// revalue brings up to date what each task is worth. Why: that changes while it
// waits: others have begun to ask, or those that asked have gone.
func (c *Controller) updatePenalties() {
	for i := range c.tasks.Len() {
		t := c.tasks.At(i)
		if n := c.d.PredictedRequests(t.item.String()); n > 0 && t.requestCost > 0 {
			t.penalty = penalty.Of(n, t.requestCost)
		}
	}
}

// dropExpired gives up the tasks behind the front that have waited too long, and
// says whether there were any.
func (c *Controller) dropExpired(now time.Duration) (dropped bool) {
	// Why: others may go with one that is given up, also the front, so what is left is counted anew.
	for i := c.tasks.Len() - 1; i > 0; i = min(i, c.tasks.Len()) - 1 {
		if t := c.tasks.At(i); t.canYield() && now-t.acceptedAt > waitTimeout {
			c.drop(i, "the store had no room")
			dropped = true
		}
	}
	return dropped
}

// next is which of several tasks should be in front, when the one there waits.
// Why: the front may not fit yet: one that overtook it took the room that it counted on, and what makes room again
// is behind it. It then gives way to any that fits; else they would wait for each other.
func (c *Controller) bestTask() int {
	front := c.tasks.Front()
	front.blocked = !c.fits(front)
	best := 0
	for i := 1; i < c.tasks.Len(); i++ {
		t := c.tasks.At(i)
		isFirst := front.blocked && best == 0
		if t.canYield() && (isFirst || c.penaltyRate(t) > c.penaltyRate(c.tasks.At(best))) && c.fits(t) {
			best = i
		}
	}
	if !front.blocked && c.penaltyRate(c.tasks.At(best)) <= overtakeRatio*c.penaltyRate(front) {
		return 0
	}
	return best
}

// worthOfTime is what a task is worth by the time that its loads take. Why: an
// adapter is there in a twentieth of the time that a model takes, and holds the others up by no more.
func (c *Controller) penaltyRate(t *task) float64 {
	return t.penalty / float64(max(1, c.taskMs(c.d.Conf().Models[t.item.Model], t.item)))
}

// fits says whether a task finds room with what is there now but for its own
// victims. Why: one may have been taken on for room that another's victims leave over, and must wait for that one.
func (c *Controller) fits(t *task) bool {
	mib, places := c.currentUse()
	for item, l := range c.entries {
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
	for i := range c.tasks.Len() {
		// Why: one that only waits for the store has its room made already, and that is nobody else's.
		u := c.tasks.At(i)
		if u != t && (u.phase != phaseAwaitGrant || u.blocked) {
			continue
		}
		if l := c.entries[conf.Item{Model: u.item.Model}]; l != nil && l.State == Reserved {
			mib += l.SizeMib
		}
		if u.item.Adapter != "" {
			if l := c.entries[u.item]; l != nil && l.State == Reserved {
				mib += l.SizeMib
			}
			places++
		}
	}
	return mib <= c.report.CapacityMib && (t.item.Adapter == "" || places <= c.report.AdapterPlaces)
}

// fail gives up the task in front.
func (c *Controller) failFront(why string) { c.abandon(0, why) }

func (c *Controller) abandon(i int, why string) {
	c.drop(i, why)
	c.persist()
}

// drop takes a task out, and with it those that counted on room that it would have made.
func (c *Controller) drop(i int, why string) {
	c.remove(i, why)
	// Why: its victims stay after all, and whoever counted on the room they would have left over has none; it would
	// hold up the others until it noticed.
	for j := c.tasks.Len() - 1; j >= 0 && c.overcommitted(); j-- {
		if c.tasks.At(j).canYield() {
			c.remove(j, "the room it counted on is not given up")
		}
	}
}

// remove takes a task out and puts back what it had claimed.
func (c *Controller) remove(i int, why string) {
	t := c.tasks.Remove(i)
	c.d.Log.Info("load given up", "replica", c.listed.ID, "item", t.item.String(), "why", why)
	c.rollBack(t)
}

// overbooked says that all tasks together need more room than there will be.
func (c *Controller) overcommitted() bool {
	mib, places := c.plannedUse()
	return c.hasReport && (mib > c.report.CapacityMib || places > c.report.AdapterPlaces)
}
