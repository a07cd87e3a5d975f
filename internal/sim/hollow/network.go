package hollow

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/sim/capacity"
)

// network is the network of one process: counted by kind, and cut between regions when told to.
type network struct {
	layout Layout
	cut    atomic.Pointer[map[int]bool] // regions that are cut off from all others
	meter  *capacity.Meter              // of all that the process stands for
}

func newNetwork(l Layout) *network {
	n := &network{layout: l, meter: capacity.NewMeter(nil)}
	n.setCut(nil)
	return n
}

// setCut cuts regions off from all others, or with none ends the cut.
func (n *network) setCut(regions []int) {
	cut := map[int]bool{}
	for _, r := range regions {
		cut[r] = true
	}
	n.cut.Store(&cut)
}

// machine is the network as a machine of the fleet has it.
func (n *network) machine(ip string) wire.Network {
	own, inZone := n.layout.regionOf(&net.TCPAddr{IP: net.ParseIP(ip)})
	blocked := func(addr net.Addr) bool {
		cut := *n.cut.Load()
		if len(cut) == 0 || !inZone {
			return false
		}
		other, found := n.layout.regionOf(addr)
		return found && other != own && (cut[own] || cut[other])
	}
	return n.meter.As(sourced{wire.HostNetwork(), ip}, blocked)
}

// sourced dials from a machine's own address, so that others know who calls.
type sourced struct {
	wire.Network
	ip string
}

func (s sourced) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: 2 * time.Second, KeepAlive: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(s.ip)}}
	return d.DialContext(ctx, network, addr)
}
