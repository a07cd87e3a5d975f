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

// avoidedFor is how long a core that did not answer is not asked to pass reports on.
const avoidedFor = 5 * time.Second

// relays is which core passes this agent's reports on, and how well.
type relays struct {
	vouched []uint32                 // keys of the cores that have the last report but one, by its word
	core    string                   // that passed it on
	avoided map[string]time.Duration // by name: until when
}

// choose is the name of the core that is to pass reports on; none in a small fleet,
// where every core is told at once.
func (r *relays) choose(self member.Node, nodes []member.Node, now time.Duration) string {
	maps.DeleteFunc(r.avoided, func(_ string, until time.Duration) bool { return now >= until })
	core := ""
	if isLarge(nodes) {
		core = fanout.CoreOf(self, r.able(nodes))
	}
	if core != r.core {
		r.core, r.vouched = core, nil
	}
	return core
}

// isLarge says that there are more nodes than one could tell all of.
func isLarge(nodes []member.Node) bool {
	live := 0
	for _, n := range nodes {
		if n.Thought() {
			live++
		}
	}
	return live > gossip.AllTold
}

// able is the cores that may be asked to pass reports on.
func (r *relays) able(nodes []member.Node) []member.Node {
	var out []member.Node
	for _, n := range nodes {
		if _, avoided := r.avoided[n.Name]; n.Role == member.RoleCore && n.State == member.Alive && !avoided {
			out = append(out, n)
		}
	}
	return out
}

// is says whether a core is the one that passes reports on.
func (r *relays) is(core member.Node) bool { return core.Name == r.core }

// avoid has another core chosen for a while, and takes nothing for told.
func (r *relays) avoid(core string, now time.Duration) {
	if r.avoided == nil {
		r.avoided = map[string]time.Duration{}
	}
	r.avoided[core] = now + avoidedFor
	r.vouched = nil
}

// split gives the cores that are told first: the one that passes reports on and those
// that it did not vouch for last time; and the others.
func (r *relays) split(cores []member.Node, core string) (first, others []member.Node) {
	if core == "" {
		return cores, nil
	}
	for _, c := range cores {
		if c.Name != core && slices.Contains(r.vouched, relay.Key(c.Name)) {
			others = append(others, c)
		} else {
			first = append(first, c)
		}
	}
	return first, others
}

// unvouched is those of some cores that nobody vouches for.
func (r *relays) unvouched(cores []member.Node) []member.Node {
	var out []member.Node
	for _, c := range cores {
		if !slices.Contains(r.vouched, relay.Key(c.Name)) {
			out = append(out, c)
		}
	}
	return out
}
