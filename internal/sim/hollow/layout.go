// Package hollow runs a large fleet on one machine's loopback addresses: real cores, agents and proxies
// in processes of their own beside nodes and replicas of which many share a process.
//
// A hollow node is a real agent with a loop in the place of its proxy, which speaks the proxy's side of the feed
// and serves nobody. A hollow replica is the stand-in of internal/stand. cmd/dsscale starts the
// processes and asks them what they measured; no program that serves anybody uses this package.
package hollow

import (
	"fmt"
	"net"
)

// Layout is how many of everything there are, and so where each is.
type Layout struct {
	Nodes    int
	Replicas int
	Cores    int
	Zones    int
	Regions  int
	Block    int // second number of the loopback addresses of the first zone
}

// Ports of a machine; each machine has an address of its own.
const (
	peerPort     = 7000
	operatorPort = 7001
	feedPort     = 7002
	callerPort   = 8080
	replicaPort  = 9000
)

// Machines of one kind within a zone's addresses.
const (
	coreRow     = 0
	nodeRow     = 1
	replicaRow  = 101
	perRow      = 200
	platformRow = 250
)

// Zone is the number of the zone of the i-th machine of a kind.
func (l Layout) Zone(i int) int { return i % l.Zones }

// Region is the number of a zone's region.
func (l Layout) Region(zone int) int { return zone % l.Regions }

// ZoneName is the name of the zone of the i-th machine of a kind.
func (l Layout) ZoneName(i int) string {
	zone := l.Zone(i)
	return fmt.Sprintf("r%d-z%d", l.Region(zone), zone)
}

func (l Layout) ip(row, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", l.Block+l.Zone(i), row+i/perRow, 1+i%perRow)
}

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// CoreIP, NodeIP and ReplicaIP are the addresses of machines.
func (l Layout) CoreIP(i int) string { return l.ip(coreRow, i) }

// NodeIP is the address of the i-th node.
func (l Layout) NodeIP(i int) string { return l.ip(nodeRow, i) }

// ReplicaIP is the address of the i-th replica.
func (l Layout) ReplicaIP(i int) string { return l.ip(replicaRow, i) }

// CoreAddr is where the i-th core is reached by its peers.
func (l Layout) CoreAddr(i int) string { return at(l.CoreIP(i), peerPort) }

// PlatformAddr is where the platform lists the replicas; it is in no zone, and so never cut off.
func (l Layout) PlatformAddr() string { return fmt.Sprintf("127.%d.0.1:8000", l.Block-1) }

func (l Layout) platformIP() string { return fmt.Sprintf("127.%d.0.1", l.Block-1) }

// Seeds are the first contacts of all.
func (l Layout) Seeds() []string {
	var out []string
	for i := range min(3, l.Cores) {
		out = append(out, l.CoreAddr(i))
	}
	return out
}

// regionOf is the region of an address; false for one outside all zones.
func (l Layout) regionOf(addr net.Addr) (int, bool) {
	var ip net.IP
	switch a := addr.(type) {
	case *net.TCPAddr:
		ip = a.IP
	case *net.UDPAddr:
		ip = a.IP
	}
	four := ip.To4()
	if four == nil {
		return 0, false
	}
	zone := int(four[1]) - l.Block
	if zone < 0 || zone >= l.Zones {
		return 0, false
	}
	return l.Region(zone), true
}

// OperatorAddr is where operators reach the i-th core.
func (l Layout) OperatorAddr(i int) string { return at(l.CoreIP(i), operatorPort) }
