package order

import "time"

// surely is the part of the time that a load takes as a rule before which it is never done.
const surely = 0.9

// expects is when a report may next show that the task in front has got on. Why: a
// report tells how things stood a while ago, and what it cannot show yet need not be asked for.
func (c *Controller) expects() time.Duration {
	if c.tasks.Len() == 0 || !c.traits.TellsBusy {
		return 0
	}
	switch t := c.tasks.Front(); {
	case t.phase == gone, t.phase == loaded && c.quick(t.item):
		return t.since + c.delay.least
	case t.phase == loaded:
		load := time.Duration(c.loadMs(c.d.Conf().Models[t.item.Model], t.item.Model)) * time.Millisecond
		return t.since + time.Duration(surely*float64(load))
	}
	return 0
}

// looked notes that a report which was asked for after the task's last order has come.
func (c *Controller) looked(t *task) {
	if (t.phase == gone || t.phase == loaded) && c.reportAt > t.since {
		t.looks++
	}
}

// learnDelay learns from a load of next to no time how late reports are.
func (c *Controller) learnDelay(t *task) {
	c.delay.learn(t.looks, c.reportAt-t.since, c.d.Cadence.ReplicaBusy)
}

// reportDelay is after how long a replica's reports show what was done there at once,
// at the earliest, as seen of late; 0 is not known.
type reportDelay struct{ least time.Duration }

// mostDelay bounds what is waited for without asking. Why: a load that took long once must not keep
// the next one waiting.
const mostDelay = 250 * time.Millisecond

// learn takes that a report asked for after a time was the first to show it, by so many looks, one a step.
// Why: what the first look showed may have been there earlier; what came at a later one was not there a step before.
func (r *reportDelay) learn(looks int, after, step time.Duration) {
	if looks <= 1 {
		r.least = r.least * 3 / 4
		return
	}
	r.least = min(r.least+step, max(r.least, after-step), mostDelay)
}
