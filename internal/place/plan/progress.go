package plan

import (
	"context"
	"sync"
	"time"
)

// progressInterval is the time between two log lines about decisions.
const progressInterval = 5 * time.Second

// Progress summarizes the decisions of one interval about items that requests wait for.
type Progress struct {
	Slots             int   `json:"slots"`         // control-state slots that this core holds
	Waiting           int   `json:"waiting"`       // items of this core that requests wait for now
	LongestWaitMs     int64 `json:"longestWaitMs"` // longest time that requests have waited for one of them
	InProgress        int   `json:"underWay"`      // decisions in progress now
	Decisions         int   `json:"decisions"`
	Accepted          int   `json:"taken"`     // decisions that led to a load
	LongestDecisionMs int64 `json:"longestMs"` // duration of the longest decision
}

// progressCounter counts decisions. Its methods are safe for concurrent use.
type progressCounter struct {
	mu      sync.Mutex
	current Progress // since the last log line
	last    Progress // as logged last
}

// recordDecision counts a decision and its duration.
func (c *progressCounter) recordDecision(accepted bool, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.Decisions++
	c.current.LongestDecisionMs = max(c.current.LongestDecisionMs, took.Milliseconds())
	if accepted {
		c.current.Accepted++
	}
}

// rotate starts a new interval and returns the finished one with the given values at its end.
func (c *progressCounter) rotate(slots, inProgress, waiting int, longest time.Duration) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := c.current
	ended.Slots, ended.InProgress, ended.Waiting, ended.LongestWaitMs = slots, inProgress, waiting, longest.Milliseconds()
	c.current, c.last = Progress{}, ended
	return ended
}

// Progress returns the summary of the last complete interval.
func (p *Planner) Progress() Progress {
	p.progress.mu.Lock()
	defer p.progress.mu.Unlock()
	return p.progress.last
}

// logProgress logs the summary of the interval if requests waited or decisions were made.
func (p *Planner) logProgress(ctx context.Context) {
	inProgress, waiting, longest := 0, 0, time.Duration(0)
	err := p.actor.Do(ctx, func() {
		now := p.d.Clock.Since()
		inProgress = len(p.inProgress)
		for it, entry := range p.items {
			if entry.waitingSince >= 0 && p.ownsItem(it) {
				waiting++
				longest = max(longest, now-entry.waitingSince)
			}
		}
	})
	if err != nil {
		return
	}
	summary := p.progress.rotate(len(p.d.Owner.Held()), inProgress, waiting, longest)
	if summary.Waiting == 0 && summary.Decisions == 0 {
		return
	}
	p.d.Log.Info("decisions made", "forMs", progressInterval.Milliseconds(), "slots", summary.Slots, "waiting", summary.Waiting, "longestWaitMs", summary.LongestWaitMs,
		"underWay", summary.InProgress, "decisions", summary.Decisions, "taken", summary.Accepted, "longestMs", summary.LongestDecisionMs)
}
