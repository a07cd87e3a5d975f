package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/core"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/member/fanout"
	"drumstall.example/internal/state"
)

const (
	// confirmInterval is the time between two runs of confirm.
	confirmInterval = 100 * time.Millisecond
	// confirmPause is the back-off after a failed query; it doubles with every confirmTriesPerStep
	// failures, up to confirmPauseMax. At a normal start cores are ready within some hundred ms; after a
	// power loss all agents query for seconds while the cores restart.
	confirmPause        = 100 * time.Millisecond
	confirmPauseMax     = 400 * time.Millisecond
	confirmTriesPerStep = 6
	// fetchGap is the time between two pulls of the document whose stamp a core returned.
	fetchGap = 500 * time.Millisecond
)

// confirmation tracks, after a start, the check that the configuration here is no older than any
// that was ever applied on this machine. It is used by one goroutine.
type confirmation struct {
	known    bool          // a core has returned the newest stamp since the start
	newest   state.Stamp   // the stamp that it returned
	core     member.Node   // the core that returned it
	failures int           // failed queries
	next     time.Duration // earliest time of the next query or fetch
}

// confirm ensures that the configuration here is no older than any that was ever applied on this
// machine, by comparing it with the newest stamp at the owner. Only the stamp is queried, and the
// document is fetched by gossip, since the owner cannot send it to every agent.
func (a *Agent) confirm(ctx context.Context) {
	if a.confirmed.Load() {
		return
	}
	c := &a.confirmation
	if c.known && !c.newest.Newer(a.gossip.StampOf(conf.Key)) {
		a.confirmed.Store(true)
		a.log.Info("configuration confirmed", "by", c.core.Name)
		return
	}
	now := a.env.Clock.Since()
	switch {
	case now < c.next:
	case c.known:
		a.spread.Fetch(c.core.Addr, conf.Key, c.newest)
		c.next = now + fetchGap
	default:
		a.queryNewest(ctx)
	}
}

// queryNewest asks one core for the newest configuration stamp; after a failure the next core is asked.
func (a *Agent) queryNewest(ctx context.Context) {
	c := &a.confirmation
	cores := nearestFirst(a.members.Self(), a.members.Live(member.RoleCore))
	if len(cores) == 0 {
		return
	}
	asked := cores[c.failures%len(cores)]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got, err := wire.Call[core.NewestQuery, core.Newest](ctx, a.caller, asked.Addr, core.ConfirmPath, core.NewestQuery{StampOnly: true})
	if err != nil {
		a.log.Info("configuration not confirmed", "by", asked.Name, "error", err)
		c.next = a.env.Clock.Since() + pauseAfter(c.failures)
		c.failures++
		return
	}
	c.known, c.newest, c.core = true, got.Entry.Stamp, asked
	// A core of an earlier version answers with the document.
	if got.Found && !got.Entry.ValueOmitted {
		a.gossip.Put(got.Entry)
	}
}

// pauseAfter returns the randomized back-off after a number of failed queries.
func pauseAfter(failures int) time.Duration {
	pause := min(confirmPause<<min(failures/confirmTriesPerStep, 8), confirmPauseMax)
	return pause/2 + rand.N(pause)
}

// nearestFirst rotates cores so that this agent's core in the gossip tree comes first.
func nearestFirst(self member.Node, cores []member.Node) []member.Node {
	first := fanout.AssignedCore(self, cores)
	at := max(0, slices.IndexFunc(cores, func(n member.Node) bool { return n.Name == first }))
	return slices.Concat(cores[at:], cores[:at])
}
