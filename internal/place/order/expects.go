package order

import (
	"math/rand/v2"
	"time"
)

// surely is the part of the time that a load takes as a rule before which it is never done.
const minLoadFraction = 0.9

// lookPart is which part of the time since an order may pass from one look to the next. Why: what has taken long
// already may be seen a little later; that costs it a small part of its time, and spares half of the looks at a load.
const pollBackoffDivisor = 32

// expects is when a report may next show that the task in front has got on. Why: a
// report tells how things stood a while ago, and what it cannot show yet need not be asked for.
func (c *Controller) nextProgressAt() time.Duration {
	if c.tasks.Len() == 0 || !c.traits.TellsBusy {
		return 0
	}
	t := c.tasks.Front()
	first := time.Duration(0)
	switch {
	case t.phase == phaseAwaitUnloaded, t.phase == phaseAwaitLoaded && c.adapterOnly(t.item):
		first = t.phaseSince + c.delay.shortest
	case t.phase == phaseAwaitLoaded:
		load := time.Duration(c.loadMs(c.d.Conf().Models[t.item.Model], t.item.Model)) * time.Millisecond
		first = t.phaseSince + time.Duration(minLoadFraction*float64(load))
	default:
		return 0
	}
	if c.polledAt <= t.phaseSince {
		return first
	}
	return max(first, c.polledAt+(c.polledAt-t.phaseSince)/pollBackoffDivisor)
}

// idleSpread is the part of the time between two looks at an idle replica by which it varies. Why: controllers that
// begin together would go on asking all their replicas at the same moment.
const idleJitterDivisor = 8

// leastGap is the least time between two looks, however long each takes.
const minPollGap = 10 * time.Millisecond

// untilNextLook is when the replica is to be looked at next, from now. Why: a core of a large fleet controls many replicas
// and most have nothing to do; a controller that woke up in each short interval took more time than its looks.
func (c *Controller) untilNextPoll() time.Duration {
	now := c.d.Clock.Since()
	soonest := c.polledAt + c.d.Cadence.ReplicaBusy
	if c.epoch == 0 || !c.d.Owner.Holds(Key(c.listed.ID)) {
		return max(soonest-now, c.d.Cadence.ReplicaBusy)
	}
	idle := c.d.Cadence.ReplicaIdle
	latest := c.polledAt + idle + rand.N(2*idle/idleJitterDivisor) - idle/idleJitterDivisor
	if c.tasks.Len() == 0 {
		return max(minPollGap, latest-now)
	}
	return max(minPollGap, min(latest, max(soonest, c.nextProgressAt()))-now)
}

// looked notes that a report which was asked for after the task's last order has come.
func (c *Controller) countPoll(t *task) {
	if (t.phase == phaseAwaitUnloaded || t.phase == phaseAwaitLoaded) && c.reportAt > t.phaseSince {
		t.polls++
	}
}

// learnDelay learns from a load of next to no time how late reports are.
func (c *Controller) observeReportDelay(t *task) {
	c.delay.observe(t.polls, c.reportAt-t.phaseSince, c.d.Cadence.ReplicaBusy)
}

// reportDelay is after how long a replica's reports show what was done there at once,
// at the earliest, as seen of late; 0 is not known.
type reportDelay struct{ shortest time.Duration }

// mostDelay bounds what is waited for without asking. Why: a load that took long once must not keep
// the next one waiting.
const maxReportDelay = 250 * time.Millisecond

// learn takes that a report asked for after a time was the first to show it, by so many looks, one a step.
// Why: what the first look showed may have been there earlier; what came at a later one was not there a step before.
func (r *reportDelay) observe(looks int, after, step time.Duration) {
	if looks <= 1 {
		r.shortest = r.shortest * 3 / 4
		return
	}
	r.shortest = min(r.shortest+step, max(r.shortest, after-step), maxReportDelay)
}
