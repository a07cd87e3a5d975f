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
	// avoidedFor is how long a core that did not answer is not asked to pass reports on.
	avoidDuration = 5 * time.Second
	// relayGrace is how long a core that has just been chosen need not vouch for the others.
	relayGrace = 800 * time.Millisecond
	// directGap is the time between two reports to a core that nobody vouches for.
	directInterval = time.Second
	// busyFor is how long a core counts as busy that has said so.
	busyDuration = 2 * time.Second
	// The core that passes reports on may take relayLimit to answer, or relayTimes as long as it took of late, but
	// no more than limit, before another is asked. Why: cores that are slow for want of processor time are
	// slower still when every agent tells all of them itself.
	relayMinTimeout    = 300 * time.Millisecond
	relayLatencyFactor = 4
)

// relays is which core passes this agent's reports on, and how well.
type relayState struct {
	covered      []uint32                 // keys of the cores that have the last report but one, by its word
	core         string                   // that passed it on
	since        time.Duration            // when it was chosen
	latency      time.Duration            // how long its answers took of late
	avoidedUntil map[string]time.Duration // by name: until when
	lastDirect   map[string]time.Duration // by name: when a core was last told though another passes reports on
	busyUntil    map[string]time.Duration // by name: until when
}

// choose is the name of the core that is to pass reports on; none in a small fleet,
// where every core is told at once.
func (r *relayState) choose(self member.Node, nodes []member.Node, now time.Duration) string {
	for _, past := range []map[string]time.Duration{r.avoidedUntil, r.busyUntil} {
		maps.DeleteFunc(past, func(_ string, until time.Duration) bool { return now >= until })
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

// isLarge says that there are more nodes than one could tell all of.
func isLarge(nodes []member.Node) bool {
	live := 0
	for _, n := range nodes {
		if n.PresumedAlive() {
			live++
		}
	}
	return live > gossip.MaxDirectPeers
}

// able is the cores that may be asked to pass reports on.
func (r *relayState) eligible(nodes []member.Node) []member.Node {
	var out []member.Node
	for _, n := range nodes {
		if _, avoided := r.avoidedUntil[n.Name]; n.Role == member.RoleCore && n.State == member.Alive && !avoided {
			out = append(out, n)
		}
	}
	return out
}

// is says whether a core is the one that passes reports on.
func (r *relayState) isRelay(core member.Node) bool { return core.Name == r.core }

// avoid has another core chosen for a while, which is given longer to answer, and takes nothing for told.
func (r *relayState) avoid(core string, now time.Duration) {
	r.latency = 2 * r.timeout() / relayLatencyFactor
	if r.avoidedUntil == nil {
		r.avoidedUntil = map[string]time.Duration{}
	}
	r.avoidedUntil[core] = now + avoidDuration
	r.covered = nil
}

// split gives the cores that are told first: in a small fleet all, and else the one that passes
// reports on; and the others.
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

// unvouched is those of some cores that are to be told from here, since the core that passes reports
// on does not vouch for them; they count as told now.
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

// due is those of some cores that may be told from here again; they count as told now.
func (r *relayState) due(cores []member.Node, now time.Duration) []member.Node {
	if r.lastDirect == nil {
		r.lastDirect = map[string]time.Duration{}
	}
	var out []member.Node
	for _, c := range cores {
		last, told := r.lastDirect[c.Name]
		if _, busy := r.busyUntil[c.Name]; busy || told && now-last < directInterval {
			continue
		}
		r.lastDirect[c.Name] = now
		out = append(out, c)
	}
	return out
}

// within is how long the core that passes reports on may take to answer.
func (r *relayState) timeout() time.Duration {
	return min(max(relayMinTimeout, relayLatencyFactor*r.latency), callTimeout)
}

// answeredIn notes how long the core that passes reports on took to answer.
func (r *relayState) recordLatency(took time.Duration) {
	if r.latency == 0 {
		r.latency = took
		return
	}
	r.latency += (took - r.latency) / 4
}

// saidBusy notes that a core has no time to spare.
func (r *relayState) markBusy(core string, now time.Duration) {
	if r.busyUntil == nil {
		r.busyUntil = map[string]time.Duration{}
	}
	r.busyUntil[core] = now + busyDuration
}

// isBusy says that the core which passes reports on has no time to spare.
func (r *relayState) isBusy() bool {
	_, busy := r.busyUntil[r.core]
	return busy
}
