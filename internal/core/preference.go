package core

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"drumstall.example/internal/kernel/share"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// preference caches the ranking of voters for each slot; it is recomputed when the voters change.
type preference struct {
	mu     sync.Mutex
	voters string // names of the ranked voters, joined
	ranked [state.SlotCount][]string
}

// ranking returns the voters in order of preference for a slot. The first is the intended holder, chosen so that no
// voter is to hold more than an equal part of the slots; the others follow by rendezvous hash. names must be
// sorted, and callers must not modify the result.
func (p *preference) ranking(slot int, names []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if joined := strings.Join(names, "\n"); joined != p.voters {
		p.voters = joined
		p.rank(names)
	}
	return p.ranked[slot]
}

// rank computes the ranking of the voters for every slot.
func (p *preference) rank(names []string) {
	keys := make([][]byte, state.SlotCount)
	for slot := range keys {
		keys[slot] = []byte{byte(slot)}
	}
	first := share.Assign(keys, names)
	for slot := range p.ranked {
		ranked := share.RankNames(keys[slot], names)
		at := slices.Index(ranked, first[slot])
		if at > 0 {
			ranked = slices.Insert(slices.Delete(ranked, at, at+1), 0, first[slot])
		}
		p.ranked[slot] = ranked
	}
}

// voters returns the live, responsive voters of the core set, most preferred for the slot first.
func (c *Core) voters(slot int) []state.Core {
	set := c.acceptor.Membership().Set
	byName := map[string]state.Core{}
	for v, phase := range c.liveCores() {
		if phase == acceptor.Voter && set.Has(v) && !c.isUnresponsive(v) {
			byName[v.Name] = v
		}
	}
	var out []state.Core
	for _, name := range c.preferred.ranking(slot, slices.Sorted(maps.Keys(byName))) {
		out = append(out, byName[name])
	}
	return out
}
