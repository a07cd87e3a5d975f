// Package fanout says whom a node of a large fleet passes news on to, from what it
// knows of the members. Cores and agents ask it in each round of passing on; it keeps no state.
package fanout

import (
	"time"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/share"
	"drumstall.example/internal/member"
)

// HeardWithin is how long ago a core must have answered this core to be left to tell
// the agents below it. Why: a core that is cut off from the other cores alone is alive to the agents and has
// nothing new for them.
const AckedWithin = 2500 * time.Millisecond

// View is what a node knows of the fleet.
type View struct {
	Self  member.Node
	Nodes []member.Node
	// HeardFor is how long ago another core answered this core's probe; nil on an agent.
	SinceLastAck func(core string) time.Duration
}

// Tree is whom this node tells its news. Each agent is below one core: by rendezvous,
// one of its zone if there is any.
func (v View) Tree() gossip.Tree {
	tree := gossip.Tree{IsCore: v.Self.Role == member.RoleCore}
	for _, n := range v.Nodes {
		if n.Role == member.RoleCore && n.PresumedAlive() && n.Name != v.Self.Name {
			tree.Cores = append(tree.Cores, n.Addr)
		}
	}
	if tree.IsCore {
		tree.Agents = v.assignedAgents()
	} else {
		tree.Neighbours = v.neighbours()
	}
	return tree
}

// below is the agents that this core tells.
func (v View) assignedAgents() []string {
	tellers := v.distributingCores()
	var out []string
	for _, n := range v.Nodes {
		if n.Role == member.RoleAgent && n.PresumedAlive() && AssignedCore(n, tellers) == v.Self.Name {
			out = append(out, n.Addr)
		}
	}
	return out
}

// tellers is the cores that have news for the agents below them, this one among them.
func (v View) distributingCores() []member.Node {
	out := []member.Node{v.Self}
	for _, n := range v.Nodes {
		if n.Role == member.RoleCore && n.State == member.Alive && n.Name != v.Self.Name && v.SinceLastAck(n.Name) < AckedWithin {
			out = append(out, n)
		}
	}
	return out
}

// CoreOf is the name of the one of some cores that an agent is below.
func AssignedCore(agent member.Node, tellers []member.Node) string {
	key := []byte(agent.Name)
	best, bestNear, bestDraw := "", false, uint64(0)
	for _, core := range tellers {
		near, draw := core.Zone == agent.Zone, share.Score(key, core.Name)
		if best == "" || near && !bestNear || near == bestNear && draw > bestDraw {
			best, bestNear, bestDraw = core.Name, near, draw
		}
	}
	return best
}

// neighbours is the other live agents of this node's zone.
func (v View) neighbours() []string {
	var out []string
	for _, n := range v.Nodes {
		if n.Role == member.RoleAgent && n.State == member.Alive && n.Zone == v.Self.Zone && n.Name != v.Self.Name {
			out = append(out, n.Addr)
		}
	}
	return out
}
