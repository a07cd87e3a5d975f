// Package fanout computes the targets to which a node of a large fleet forwards gossip updates, from its
// view of the membership. Cores and agents use it in each gossip round; it keeps no state.
package fanout

import (
	"time"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/share"
	"drumstall.example/internal/member"
)

// AckedWithin is the maximum time since another core's last acknowledgement for that core to stay responsible
// for its agents. A core that is partitioned only from the other cores appears alive to the agents but has no
// updates for them.
const AckedWithin = 2500 * time.Millisecond

// View is a node's view of the fleet.
type View struct {
	Self  member.Node
	Nodes []member.Node
	// SinceLastAck returns the time since another core acknowledged a probe of this core; nil on an agent.
	SinceLastAck func(core string) time.Duration
}

// Tree returns the forwarding targets of this node. Each agent is assigned to one core by rendezvous hashing,
// among the cores of its zone if there are any.
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

// assignedAgents returns the addresses of the agents assigned to this core.
func (v View) assignedAgents() []string {
	cores := v.distributingCores()
	var out []string
	for _, n := range v.Nodes {
		if n.Role == member.RoleAgent && n.PresumedAlive() && AssignedCore(n, cores) == v.Self.Name {
			out = append(out, n.Addr)
		}
	}
	return out
}

// distributingCores returns the cores that can forward updates to agents, including this one.
func (v View) distributingCores() []member.Node {
	out := []member.Node{v.Self}
	for _, n := range v.Nodes {
		if n.Role == member.RoleCore && n.State == member.Alive && n.Name != v.Self.Name && v.SinceLastAck(n.Name) < AckedWithin {
			out = append(out, n)
		}
	}
	return out
}

// AssignedCore returns the name of the core to which an agent is assigned.
func AssignedCore(agent member.Node, cores []member.Node) string {
	key := []byte(agent.Name)
	best, bestInZone, bestDraw := "", false, uint64(0)
	for _, core := range cores {
		inZone, draw := core.Zone == agent.Zone, share.Score(key, core.Name)
		if best == "" || inZone && !bestInZone || inZone == bestInZone && draw > bestDraw {
			best, bestInZone, bestDraw = core.Name, inZone, draw
		}
	}
	return best
}

// neighbours returns the addresses of the other live agents in this node's zone.
func (v View) neighbours() []string {
	var out []string
	for _, n := range v.Nodes {
		if n.Role == member.RoleAgent && n.State == member.Alive && n.Zone == v.Self.Zone && n.Name != v.Self.Name {
			out = append(out, n.Addr)
		}
	}
	return out
}
