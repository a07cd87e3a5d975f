package agent

import (
	"maps"
	"slices"
	"time"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/member"
	"drumstall.example/internal/member/fanout"
	"drumstall.example/internal/place/report/relay"
)

const (
	// avoidDuration is how long a core that did not answer is not used as relay.
	avoidDuration = 5 * time.Second
	// relayGrace is how long a newly chosen relay need not list the other cores as covered.
	relayGrace = 800 * time.Millisecond
	// directInterval is the minimum time between two direct reports to a core that the relay does not cover.
	directInterval = time.Second
	// busyDuration is how long a core counts as busy after it has reported so.
	busyDuration = 2 * time.Second
	// The relay may take relayMinTimeout to answer, or relayLatencyFactor times its recent latency, but no more than
	// callTimeout, before another core is chosen. Cores that are short of processor time slow down further
	// when every agent reports to all of them directly.
	relayMinTimeout    = 300 * time.Millisecond
	relayLatencyFactor = 4
)

// relayState tracks the core that relays this agent's reports to the other cores, and its performance.
type relayState struct {
	covered      []uint32                 // keys of the cores that have the previous report, as the relay states
	core         string                   // name of the relay; "" without one
	since        time.Duration            // time at which it was chosen
	latency      time.Duration            // moving average of its answer times
	avoidedUntil map[string]time.Duration // by core name: end of the period
	lastDirect   map[string]time.Duration // by core name: time of the last direct report
	busyUntil    map[string]time.Duration // by core name: end of the period
}

// choose selects the relay and returns its name; "" in a small fleet, where the agent
// reports to every core directly.
func (r *relayState) choose(self member.Node, nodes []member.Node, now time.Duration) string {
	for _, deadlines := range []map[string]time.Duration{r.avoidedUntil, r.busyUntil} {
		maps.DeleteFunc(deadlines, func(_ string, until time.Duration) bool { return now >= until })
	}
	core := ""
	if isLarge(nodes) {
		core = fanout.AssignedCore(self, r.eligible(nodes))
	}
	if core != r.core {
		r.core, r.covered, r.since = core, nil, now
	}
	return core
}

// isLarge reports whether there are too many live nodes for direct reports to all cores.
func isLarge(nodes []member.Node) bool {
	live := 0
	for _, n := range nodes {
		if n.PresumedAlive() {
			live++
		}
	}
	return live > gossip.MaxDirectPeers
}

// eligible returns the cores that may be used as relay.
func (r *relayState) eligible(nodes []member.Node) []member.Node {
	var out []member.Node
	for _, n := range nodes {
		if _, avoided := r.avoidedUntil[n.Name]; n.Role == member.RoleCore && n.State == member.Alive && !avoided {
			out = append(out, n)
		}
	}
	return out
}

// isRelay reports whether a core is the current relay.
func (r *relayState) isRelay(core member.Node) bool { return core.Name == r.core }

// avoid excludes a core as relay for avoidDuration. It raises the timeout for the next relay and
// clears the list of covered cores.
func (r *relayState) avoid(core string, now time.Duration) {
	r.latency = 2 * r.timeout() / relayLatencyFactor
	if r.avoidedUntil == nil {
		r.avoidedUntil = map[string]time.Duration{}
	}
	r.avoidedUntil[core] = now + avoidDuration
	r.covered = nil
}

// split returns the cores to send to first, which are all in a small fleet and else only the
// relay, and the other cores.
func (r *relayState) split(cores []member.Node, core string) (first, others []member.Node) {
	if core == "" {
		return cores, nil
	}
	for _, c := range cores {
		if c.Name == core {
			first = append(first, c)
		} else {
			others = append(others, c)
		}
	}
	return first, others
}

// uncovered returns those of some cores that need a direct report since the relay does not cover
// them, and records the report as sent now.
func (r *relayState) uncovered(cores []member.Node, now time.Duration) []member.Node {
	if now-r.since < relayGrace {
		return nil
	}
	var out []member.Node
	for _, c := range cores {
		if !slices.Contains(r.covered, relay.CoreKey(c.Name)) {
			out = append(out, c)
		}
	}
	return r.due(out, now)
}

// due returns those of some cores that may get a direct report again, and records it as sent now.
func (r *relayState) due(cores []member.Node, now time.Duration) []member.Node {
	if r.lastDirect == nil {
		r.lastDirect = map[string]time.Duration{}
	}
	var out []member.Node
	for _, c := range cores {
		last, sent := r.lastDirect[c.Name]
		if _, busy := r.busyUntil[c.Name]; busy || sent && now-last < directInterval {
			continue
		}
		r.lastDirect[c.Name] = now
		out = append(out, c)
	}
	return out
}

// timeout returns how long the relay may take to answer.
func (r *relayState) timeout() time.Duration {
	return min(max(relayMinTimeout, relayLatencyFactor*r.latency), callTimeout)
}

// recordLatency adds an answer time of the relay to the moving average.
func (r *relayState) recordLatency(took time.Duration) {
	if r.latency == 0 {
		r.latency = took
		return
	}
	r.latency += (took - r.latency) / 4
}

// markBusy records that a core is short of processor time.
func (r *relayState) markBusy(core string, now time.Duration) {
	if r.busyUntil == nil {
		r.busyUntil = map[string]time.Duration{}
	}
	r.busyUntil[core] = now + busyDuration
}

// isBusy reports whether the relay is short of processor time.
func (r *relayState) isBusy() bool {
	_, busy := r.busyUntil[r.core]
	return busy
}
