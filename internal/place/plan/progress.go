package plan

import (
	"context"
	"sync"
	"time"
)

// progressEvery is the time between two log lines about decisions.
const progressInterval = 5 * time.Second

// Progress is what became of the items that requests wait for, in a span of time.
type Progress struct {
	Slots             int   `json:"slots"`         // of the control state that this core holds
	Waiting           int   `json:"waiting"`       // items that requests wait for now and that this core decides about
	LongestWaitMs     int64 `json:"longestWaitMs"` // for how long requests have waited for one of them
	InProgress        int   `json:"underWay"`      // decisions that are being made now
	Decisions         int   `json:"decisions"`
	Accepted          int   `json:"taken"`     // decisions that led to a load
	LongestDecisionMs int64 `json:"longestMs"` // what one of them took at most
}

// progress counts decisions; its methods may be called from anywhere.
type progressCounter struct {
	mu      sync.Mutex
	current Progress // since the last line
	last    Progress // as the last line told
}

// decided notes a decision, and what it took.
func (c *progressCounter) recordDecision(taken bool, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.Decisions++
	c.current.LongestDecisionMs = max(c.current.LongestDecisionMs, took.Milliseconds())
	if taken {
		c.current.Accepted++
	}
}

// turn ends a span and begins the next; the ended one is given, with what holds at its end.
func (c *progressCounter) rotate(slots, underWay, waiting int, longest time.Duration) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := c.current
	ended.Slots, ended.InProgress, ended.Waiting, ended.LongestWaitMs = slots, underWay, waiting, longest.Milliseconds()
	c.current, c.last = Progress{}, ended
	return ended
}

// Progress is what became of the items that requests waited for in the latest few seconds.
func (p *Planner) Progress() Progress {
	p.progress.mu.Lock()
	defer p.progress.mu.Unlock()
	return p.progress.last
}

// tellProgress logs what became of the items that requests wait for, if there were any.
func (p *Planner) logProgress(ctx context.Context) {
	underWay, waiting, longest := 0, 0, time.Duration(0)
	err := p.actor.Ask(ctx, func() {
		now := p.d.Clock.Since()
		underWay = len(p.inProgress)
		for it, i := range p.items {
			if i.waitingSince >= 0 && p.ownsItem(it) {
				waiting++
				longest = max(longest, now-i.waitingSince)
			}
		}
	})
	if err != nil {
		return
	}
	t := p.progress.rotate(len(p.d.Owner.Held()), underWay, waiting, longest)
	if t.Waiting == 0 && t.Decisions == 0 {
		return
	}
	p.d.Log.Info("decisions made", "forMs", progressInterval.Milliseconds(), "slots", t.Slots, "waiting", t.Waiting, "longestWaitMs", t.LongestWaitMs,
		"underWay", t.InProgress, "decisions", t.Decisions, "taken", t.Accepted, "longestMs", t.LongestDecisionMs)
}
