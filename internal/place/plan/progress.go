package plan

import (
	"context"
	"sync"
	"time"
)

// progressEvery is the time between two log lines about decisions.
const progressEvery = 5 * time.Second

// Progress is what became of the items that requests wait for, in a span of time.
type Progress struct {
	Slots         int   `json:"slots"`         // of the control state that this core holds
	Waiting       int   `json:"waiting"`       // items that requests wait for now and that this core decides about
	LongestWaitMs int64 `json:"longestWaitMs"` // for how long requests have waited for one of them
	UnderWay      int   `json:"underWay"`      // decisions that are being made now
	Decisions     int   `json:"decisions"`
	Taken         int   `json:"taken"`     // decisions that led to a load
	LongestMs     int64 `json:"longestMs"` // what one of them took at most
}

// progress counts decisions; its methods may be called from anywhere.
type progress struct {
	mu   sync.Mutex
	now  Progress // since the last line
	last Progress // as the last line told
}

// decided notes a decision, and what it took.
func (c *progress) decided(taken bool, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now.Decisions++
	c.now.LongestMs = max(c.now.LongestMs, took.Milliseconds())
	if taken {
		c.now.Taken++
	}
}

// turn ends a span and begins the next; the ended one is given, with what holds at its end.
func (c *progress) turn(slots, underWay, waiting int, longest time.Duration) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := c.now
	ended.Slots, ended.UnderWay, ended.Waiting, ended.LongestWaitMs = slots, underWay, waiting, longest.Milliseconds()
	c.now, c.last = Progress{}, ended
	return ended
}

// Progress is what became of the items that requests waited for in the latest few seconds.
func (p *Planner) Progress() Progress {
	p.progress.mu.Lock()
	defer p.progress.mu.Unlock()
	return p.progress.last
}

// tellProgress logs what became of the items that requests wait for, if there were any.
func (p *Planner) tellProgress(ctx context.Context) {
	underWay, waiting, longest := 0, 0, time.Duration(0)
	err := p.actor.Ask(ctx, func() {
		now := p.d.Clock.Since()
		underWay = len(p.underWay)
		for it, i := range p.items {
			if i.since >= 0 && p.holds(it) {
				waiting++
				longest = max(longest, now-i.since)
			}
		}
	})
	if err != nil {
		return
	}
	t := p.progress.turn(len(p.d.Owner.Held()), underWay, waiting, longest)
	if t.Waiting == 0 && t.Decisions == 0 {
		return
	}
	p.d.Log.Info("decisions made", "forMs", progressEvery.Milliseconds(), "slots", t.Slots, "waiting", t.Waiting, "longestWaitMs", t.LongestWaitMs,
		"underWay", t.UnderWay, "decisions", t.Decisions, "taken", t.Taken, "longestMs", t.LongestMs)
}
