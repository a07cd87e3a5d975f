package simnet

import (
	"errors"
	"net"
	"sync"
	"time"
)

// ListenPacket opens a datagram port.
func (h *Host) ListenPacket(addr string) (net.PacketConn, error) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.f.packs[addr] != nil {
		return nil, errors.New("address already in use: " + addr)
	}
	p := &packet{f: h.f, owner: h, addr: addr, in: make(chan gram, 512), done: make(chan struct{})}
	h.f.packs[addr] = p
	return p, nil
}

type gram struct {
	from string
	at   time.Time
	data []byte
}

type packet struct {
	f     *Fabric
	owner *Host
	addr  string
	in    chan gram
	done  chan struct{}
	once  sync.Once
}

func (p *packet) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case <-p.done:
		return 0, nil, net.ErrClosed
	case g := <-p.in:
		if lag := time.Until(g.at); lag > 0 {
			time.Sleep(lag)
		}
		p.f.pass(p.owner.ip)
		a, _ := net.ResolveUDPAddr("udp", g.from)
		return copy(b, g.data), a, nil
	}
}

func (p *packet) WriteTo(b []byte, to net.Addr) (int, error) {
	p.f.pass(p.owner.ip)
	target := to.String()
	f := p.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.owner.dead {
		return 0, net.ErrClosed
	}
	dst := f.packs[target]
	if dst == nil || f.blocked(p.owner.ip, ip(target)) || f.rnd.IntN(100) < f.lossPct {
		return len(b), nil
	}
	g := gram{from: p.addr, at: f.arrival(p.owner.ip, ip(target), len(b)), data: append([]byte(nil), b...)}
	select {
	case dst.in <- g:
	default: // Why: a full socket buffer loses datagrams, as the real one does.
	}
	return len(b), nil
}

func (p *packet) Close() error {
	p.once.Do(func() {
		p.f.mu.Lock()
		if p.f.packs[p.addr] == p {
			delete(p.f.packs, p.addr)
		}
		p.f.mu.Unlock()
		close(p.done)
	})
	return nil
}

func (p *packet) LocalAddr() net.Addr {
	a, _ := net.ResolveUDPAddr("udp", p.addr)
	return a
}

func (p *packet) SetDeadline(time.Time) error { return nil }

func (p *packet) SetReadDeadline(time.Time) error { return nil }

func (p *packet) SetWriteDeadline(time.Time) error { return nil }
