package core

import (
	"time"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/member"
	"drumstall.example/internal/member/fanout"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

func (c *Core) self() state.Core {
	return state.Core{Name: c.s.Name, DiskID: c.acceptor.DiskID(), Addr: c.s.Addr}
}

// addrOf is where a voter is reached; the roll knows better than the set.
func (c *Core) addrOf(v state.Core) (string, bool) {
	for _, n := range c.members.Nodes() {
		if n.Role == member.RoleCore && n.Name == v.Name {
			if n.Disk != v.DiskID {
				return "", false
			}
			return n.Addr, n.PresumedAlive()
		}
	}
	return v.Addr, v.Addr != ""
}

func (c *Core) liveCores() map[state.Core]acceptor.Phase {
	out := map[state.Core]acceptor.Phase{}
	for _, n := range c.members.Live(member.RoleCore) {
		out[state.Core{Name: n.Name, DiskID: n.Disk, Addr: n.Addr}] = acceptor.Phase(n.Phase)
	}
	return out
}

// unheardAfter is for how long a voter must not have answered this core to be passed over for slots.
const unresponsiveAfter = 1500 * time.Millisecond

// unheard says that a voter does not answer this core. Why: one that others still
// reach may be cut off from the cores, and a slot that waits for it is held by nobody.
func (c *Core) isUnresponsive(v state.Core) bool {
	if v.SameVoter(c.self()) || c.env.Clock.Since()-c.startedAt < unresponsiveAfter {
		return false
	}
	return c.sinceContact(v) > unresponsiveAfter
}

// goneFor says whether a voter has left on purpose, and for how long it has not
// answered; 0 while it is thought to be there.
func (c *Core) absence(v state.Core) (left bool, away time.Duration) {
	for _, n := range c.members.Nodes() {
		if n.Role != member.RoleCore || n.Name != v.Name || n.Disk != v.DiskID {
			continue
		}
		if n.PresumedAlive() {
			return false, 0
		}
		return n.State == member.Left, c.sinceContact(v)
	}
	return false, c.sinceContact(v)
}

// heardFor is how long ago a voter answered this core.
func (c *Core) sinceContact(v state.Core) time.Duration {
	return min(c.members.SinceLastAck(v.Name), c.owner.SinceLastGrant(v))
}

// gossipTree is whom this core tells its news in a large fleet.
func (c *Core) gossipTree() gossip.Tree {
	return fanout.View{Self: c.members.Self(), Nodes: c.members.Nodes(), SinceLastAck: c.members.SinceLastAck}.Tree()
}

// others are the live cores but this one.
func (c *Core) otherCores() []member.Node {
	var out []member.Node
	for _, n := range c.members.Live(member.RoleCore) {
		if n.Name != c.s.Name {
			out = append(out, n)
		}
	}
	return out
}

// heardMost is how long ago most of the core membership was heard, this core among them.
func (c *Core) sinceQuorumContact() time.Duration {
	st := c.acceptor.Membership()
	if st.Phase != acceptor.Voter {
		return touch.Never
	}
	var ago []time.Duration
	for _, v := range st.Set.Cores {
		if !v.SameVoter(c.self()) {
			ago = append(ago, min(c.members.SinceLastAck(v.Name), c.owner.SinceLastGrant(v)))
		}
	}
	return touch.QuorumAge(st.Set.Quorum(), ago)
}

func (c *Core) liveAgents() map[string]bool {
	out := map[string]bool{}
	for _, n := range c.members.Live(member.RoleAgent) {
		out[n.Name] = true
	}
	return out
}
