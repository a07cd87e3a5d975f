package order

import (
	"math/rand/v2"
	"time"
)

// minLoadFraction is the fraction of the expected load time before which a load is assumed not to complete.
const minLoadFraction = 0.9

// pollBackoffDivisor bounds the interval between polls to this part of the time since the order. A task that has taken
// long may be seen to complete a little later: that costs a small part of its time and saves half of the polls during a load.
const pollBackoffDivisor = 32

// nextProgressAt returns when a report may next show progress of the front task. A report describes
// the replica of a moment ago, so polling before that time is useless.
func (c *Controller) nextProgressAt() time.Duration {
	if c.tasks.Len() == 0 || !c.traits.ReportsBusy {
		return 0
	}
	t := c.tasks.Front()
	earliest := time.Duration(0)
	switch {
	case t.phase == phaseAwaitUnloaded, t.phase == phaseAwaitLoaded && c.adapterOnly(t.item):
		earliest = t.phaseSince + c.delay.shortest
	case t.phase == phaseAwaitLoaded:
		load := time.Duration(c.loadMs(c.d.Conf().Models[t.item.Model], t.item.Model)) * time.Millisecond
		earliest = t.phaseSince + time.Duration(minLoadFraction*float64(load))
	default:
		return 0
	}
	if c.polledAt <= t.phaseSince {
		return earliest
	}
	return max(earliest, c.polledAt+(c.polledAt-t.phaseSince)/pollBackoffDivisor)
}

// idleJitterDivisor is the part of the interval between polls of an idle replica by which the interval varies. Without
// jitter, controllers that start together would keep polling all their replicas at the same moment.
const idleJitterDivisor = 8

// minPollGap is the minimum time from the end of one poll to the next.
const minPollGap = 10 * time.Millisecond

// untilNextPoll returns the time from now until the next poll. A core of a large fleet controls many replicas, most of
// them without tasks; waking every controller at the short interval took more processor time than the polls themselves.
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

// countPoll counts a report that was requested after the task's last order.
func (c *Controller) countPoll(t *task) {
	if (t.phase == phaseAwaitUnloaded || t.phase == phaseAwaitLoaded) && c.reportAt > t.phaseSince {
		t.polls++
	}
}

// observeReportDelay learns from an adapter load, which takes almost no time, how late reports are.
func (c *Controller) observeReportDelay(t *task) {
	c.delay.observe(t.polls, c.reportAt-t.phaseSince, c.d.Cadence.ReplicaBusy)
}

// reportDelay is the shortest recent delay until a replica's reports show a change that takes effect
// at once; 0 if unknown.
type reportDelay struct{ shortest time.Duration }

// maxReportDelay bounds the time without polls. One slow load must not delay the detection of
// the next one.
const maxReportDelay = 250 * time.Millisecond

// observe records that the first report to show a change was requested the time after its order, and was the result
// of that many polls, one in each step. A change that the first poll shows may have been visible earlier, so the delay
// is reduced; a change that a later poll shows was not visible one step before.
func (r *reportDelay) observe(polls int, after, step time.Duration) {
	if polls <= 1 {
		r.shortest = r.shortest * 3 / 4
		return
	}
	r.shortest = min(r.shortest+step, max(r.shortest, after-step), maxReportDelay)
}
