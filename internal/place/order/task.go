package order

import (
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/penalty"
	"drumstall.example/internal/state"
)

// maxSteps bounds the phases that tasks pass in one call of advance.
const maxSteps = 8

// phase is the stage that a task has reached.
type phase int

const (
	phaseWithdraw      phase = iota // publish the withdrawal of the victims
	phaseAwaitAcks                  // wait until the proxies acknowledge the withdrawal
	phaseAwaitIdle                  // wait until no request uses the victims
	phaseAwaitUnloaded              // wait until a report shows the victims as unloaded
	phaseAwaitGrant                 // wait for room and a grant of the weight store
	phaseAwaitLoaded                // wait until a report shows the item as loaded
)

// task is an accepted load with the victims that it unloads first.
type task struct {
	item           conf.Item
	victims        []conf.Item
	phase          phase
	phaseSince     time.Duration
	acceptedAt     time.Duration
	stamp          state.Stamp
	penalty        float64
	requestCost    time.Duration // cost of one request while the item is not loaded
	storeWait      time.Duration // estimated wait for a grant, by the last answer of the rate limiter
	startID        string        // ID of the load start for which a grant is requested; empty once the load was ordered
	unloadsOrdered int           // number of victims whose unload has been ordered
	polls          int           // number of reports since the last order
	blocked        bool          // there was no room for the task when it was last in front
}

// canYield reports whether a task has no order in progress, so that another one may run first.
func (t *task) canYield() bool { return t.phase == phaseWithdraw || t.phase == phaseAwaitGrant }

// overtakeRatio is how much higher the penalty rate of a task must be to run before one that has waited
// longer. Without it, two tasks with similar penalties would alternate in requesting grants.
const overtakeRatio = 1.25

// prioritize moves the task with the highest penalty rate to the front, unless the front task
// has orders in progress. The rate limiter of the store grants the load with the highest penalty, but a controller
// requests one grant at a time, so a task behind a cheaper one would not even be considered there.
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

// updatePenalties recomputes the penalty of each task, which changes while the task waits
// because requests for its item arrive or end.
func (c *Controller) updatePenalties() {
	for i := range c.tasks.Len() {
		t := c.tasks.At(i)
		if n := c.d.PredictedRequests(t.item.String()); n > 0 && t.requestCost > 0 {
			t.penalty = penalty.Of(n, t.requestCost)
		}
	}
}

// dropExpired drops the tasks behind the front that have waited too long, and
// reports whether there were any.
func (c *Controller) dropExpired(now time.Duration) (dropped bool) {
	// Dropping one task may drop others too, even the front one, so the remaining tasks are counted again each time.
	for i := c.tasks.Len() - 1; i > 0; i = min(i, c.tasks.Len()) - 1 {
		if t := c.tasks.At(i); t.canYield() && now-t.acceptedAt > waitTimeout {
			c.drop(i, "timed out waiting for a grant of the weight store")
			dropped = true
		}
	}
	return dropped
}

// bestTask returns the index of the task that should be in front, when the front task can yield.
// The front task may not fit: a task that overtook it took the room that it counted on, and the task that frees room
// again is behind it. It then yields to any task that fits; otherwise the two would wait for each other.
func (c *Controller) bestTask() int {
	front := c.tasks.Front()
	front.blocked = !c.fits(front)
	best := 0
	for i := 1; i < c.tasks.Len(); i++ {
		t := c.tasks.At(i)
		firstFit := front.blocked && best == 0
		if t.canYield() && (firstFit || c.penaltyRate(t) > c.penaltyRate(c.tasks.At(best))) && c.fits(t) {
			best = i
		}
	}
	if !front.blocked && c.penaltyRate(c.tasks.At(best)) <= overtakeRatio*c.penaltyRate(front) {
		return 0
	}
	return best
}

// penaltyRate returns the penalty of a task per millisecond of its loads. An adapter loads in a
// twentieth of the time of a model, and delays the other tasks by no more than that.
func (c *Controller) penaltyRate(t *task) float64 {
	return t.penalty / float64(max(1, c.taskMs(c.d.Conf().Models[t.item.Model], t.item)))
}

// fits reports whether there is room for a task now, given the current use without its own
// victims. A task may have been accepted for room that the victims of another task will free, and must wait for that task.
func (c *Controller) fits(t *task) bool {
	mib, places := c.currentUse()
	for item, e := range c.entries {
		for _, v := range t.victims {
			switch {
			case !v.Covers(item):
			case item.Adapter == "":
				mib -= e.SizeMib
			default:
				mib -= e.SizeMib
				places--
			}
		}
	}
	for i := range c.tasks.Len() {
		// A task that only waits for a grant has its room freed already, and no other task may use it.
		other := c.tasks.At(i)
		if other != t && (other.phase != phaseAwaitGrant || other.blocked) {
			continue
		}
		if e := c.entries[conf.Item{Model: other.item.Model}]; e != nil && e.State == Reserved {
			mib += e.SizeMib
		}
		if other.item.Adapter != "" {
			if e := c.entries[other.item]; e != nil && e.State == Reserved {
				mib += e.SizeMib
			}
			places++
		}
	}
	return mib <= c.report.CapacityMib && (t.item.Adapter == "" || places <= c.report.AdapterPlaces)
}

// failFront drops the front task and stores the contents.
func (c *Controller) failFront(why string) { c.abandon(0, why) }

// abandon drops a task and stores the contents.
func (c *Controller) abandon(i int, why string) {
	c.drop(i, why)
	c.persist()
}

// drop removes a task, and the tasks that counted on the room that it would have freed.
func (c *Controller) drop(i int, why string) {
	c.remove(i, why)
	// The victims stay loaded, so a task that counted on their room has none and would delay the others until
	// its timeout.
	for j := c.tasks.Len() - 1; j >= 0 && c.overcommitted(); j-- {
		if c.tasks.At(j).canYield() {
			c.remove(j, "the room it depends on is no longer freed")
		}
	}
}

// remove removes a task and rolls its reservations and withdrawals back.
func (c *Controller) remove(i int, why string) {
	t := c.tasks.Remove(i)
	c.d.Log.Info("load given up", "replica", c.listed.ID, "item", t.item.String(), "why", why)
	c.rollBack(t)
}

// overcommitted reports whether all tasks together need more room than there will be.
func (c *Controller) overcommitted() bool {
	mib, places := c.plannedUse()
	return c.hasReport && (mib > c.report.CapacityMib || places > c.report.AdapterPlaces)
}
