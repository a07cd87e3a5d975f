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
	// confirmInterval is the time between two looks whether the configuration is confirmed.
	confirmInterval = 100 * time.Millisecond
	// confirmPause is how long a question that brought nothing is rested from; it doubles with every
	// confirmTries of them, up to confirmPauseMost. Why: at a start cores are ready within some hundred ms, and
	// after a loss of power all agents ask for seconds while the cores return.
	confirmPause        = 100 * time.Millisecond
	confirmPauseMax     = 400 * time.Millisecond
	confirmTriesPerStep = 6
	// fetchGap is the time between two pulls of the document that was named.
	fetchGap = 500 * time.Millisecond
)

// confirmation is how far an agent that has just started has come towards knowing that
// its configuration is no older than any that was ever in force on this machine. It is used by
// one goroutine.
type confirmation struct {
	known    bool        // a core has said since the start which is the newest
	newest   state.Stamp // that one
	core     member.Node // the core that said so
	failures int         // questions that brought nothing
	next     time.Duration
}

// confirm makes sure that the configuration here is no older than any that
// was ever in force on this machine: the owner's word is the newest there is. Why: the word is
// a stamp, and the document comes by gossip, since the owner cannot send it to every agent.
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

// askNewest asks one core which configuration is the newest, another one each time.
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
	// Why: a core of an earlier version answers with the document.
	if got.Found && !got.Entry.ValueOmitted {
		a.gossip.Put(got.Entry)
	}
}

// pauseAfter is how long nobody is asked after so many questions that brought nothing.
func pauseAfter(tries int) time.Duration {
	pause := min(confirmPause<<min(tries/confirmTriesPerStep, 8), confirmPauseMax)
	return pause/2 + rand.N(pause)
}

// nearestFirst is some cores in a turn that begins with the one that tells this agent its news.
func nearestFirst(self member.Node, cores []member.Node) []member.Node {
	first := fanout.AssignedCore(self, cores)
	at := max(0, slices.IndexFunc(cores, func(n member.Node) bool { return n.Name == first }))
	return slices.Concat(cores[at:], cores[:at])
}
