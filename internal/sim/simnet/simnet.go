// Package simnet is a network in memory: latency, loss, cuts one way or both,
// frozen and dead machines. It works on the bubble's virtual time.
package simnet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// Fabric joins machines; a machine is known by its IP.
type Fabric struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	latency func(from, to string) time.Duration
	cut     map[[2]string]bool
	lossPct int
	ports   map[string]*listener
	packs   map[string]*packet
	conns   map[*conn]struct{}
	frozen  map[string]chan struct{}
	halted  map[string]bool // frozen, but for the kernel
	next    int
	rates   rates
}

// New makes a fabric whose chances follow the seed.
func New(seed uint64, latency func(from, to string) time.Duration) *Fabric {
	return &Fabric{rnd: rand.New(rand.NewPCG(seed, 77)), latency: latency,
		cut: map[[2]string]bool{}, ports: map[string]*listener{}, packs: map[string]*packet{},
		conns: map[*conn]struct{}{}, frozen: map[string]chan struct{}{}, halted: map[string]bool{}}
}

func ip(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}

// Cut stops everything from one machine to another, one way.
func (f *Fabric) Cut(from, to string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = on
	f.wakeAll()
}

// Heal ends all cuts.
func (f *Fabric) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = map[[2]string]bool{}
	f.wakeAll()
}

// Loss drops this share of datagrams.
func (f *Fabric) Loss(pct int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossPct = pct
}

// Freeze makes a machine neither read nor write.
func (f *Fabric) Freeze(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen[machine] == nil {
		f.frozen[machine] = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (f *Fabric) Thaw(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ch := f.frozen[machine]; ch != nil {
		close(ch)
		delete(f.frozen, machine)
		delete(f.halted, machine)
	}
	f.wakeAll()
}

// Kill closes every connection and port of the process that listens or dials as owner.
func (f *Fabric) Kill(owner *Host) {
	f.mu.Lock()
	var gone []*conn
	for c := range f.conns {
		if c.owner == owner {
			gone = append(gone, c)
		}
	}
	var lns []*listener
	for _, l := range f.ports {
		if l.owner == owner {
			lns = append(lns, l)
		}
	}
	var pks []*packet
	for _, p := range f.packs {
		if p.owner == owner {
			pks = append(pks, p)
		}
	}
	owner.dead = true
	f.mu.Unlock()
	for _, c := range gone {
		c.reset()
	}
	for _, l := range lns {
		_ = l.Close()
	}
	for _, p := range pks {
		_ = p.Close()
	}
}

func (f *Fabric) wakeAll() {
	for c := range f.conns {
		c.in.poke()
	}
}

func (f *Fabric) blocked(from, to string) bool { return f.cut[[2]string{from, to}] }

// Halt stops a machine's processes but not the machine: connections to it are still
// taken up, and what is sent is there to be read when they go on. Thaw ends it.
func (f *Fabric) Halt(machine string) {
	f.Freeze(machine)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.halted[machine] = true
}

func (f *Fabric) pass(machine string) {
	f.mu.Lock()
	ch := f.frozen[machine]
	f.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

// Host is one process's view of the fabric.
type Host struct {
	f    *Fabric
	ip   string
	dead bool
}

// Host gives a process on the machine with that IP a view of its own.
func (f *Fabric) Host(ip string) *Host { return &Host{f: f, ip: ip} }

// Dial opens a stream conn.
func (h *Host) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	f := h.f
	f.pass(h.ip)
	to := ip(addr)
	lag := 2 * f.latency(h.ip, to)
	deadline := time.NewTimer(2 * time.Second)
	defer deadline.Stop()
	for {
		t := time.NewTimer(max(lag, time.Millisecond))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil, ctx.Err()
		case <-deadline.C:
			t.Stop()
			return nil, os.ErrDeadlineExceeded
		case <-t.C:
		}
		f.mu.Lock()
		if h.dead {
			f.mu.Unlock()
			return nil, net.ErrClosed
		}
		if f.blocked(h.ip, to) || f.blocked(to, h.ip) || f.frozen[to] != nil && !f.halted[to] {
			f.mu.Unlock()
			lag = 50 * time.Millisecond
			continue
		}
		l := f.ports[addr]
		if l == nil {
			f.mu.Unlock()
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
		}
		f.next++
		local := &net.TCPAddr{IP: net.ParseIP(h.ip), Port: 20000 + f.next%40000}
		remote, _ := net.ResolveTCPAddr("tcp", addr)
		a, b := pair(f, h, l.owner, h.ip, to, local, remote)
		f.conns[a], f.conns[b] = struct{}{}, struct{}{}
		f.mu.Unlock()
		select {
		case l.accept <- b:
			return a, nil
		case <-l.done:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Listen opens a port.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.f.ports[addr] != nil {
		return nil, errors.New("address already in use: " + addr)
	}
	l := &listener{f: h.f, owner: h, addr: addr, accept: make(chan *conn, 64), done: make(chan struct{})}
	h.f.ports[addr] = l
	return l, nil
}
