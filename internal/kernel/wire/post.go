package wire

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// MaxGram bounds a datagram, so that none is cut up on the way.
const MaxGram = 1400

type gram struct {
	Speaks string `cbor:"1,keyasint"`
	Kind   string `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

// Post sends and takes datagrams by kind.
type Post struct {
	pc      net.PacketConn
	kinds   map[string]kind
	garbled atomic.Int64
	sent    atomic.Int64
	served  servedCounts
}

// kind is what is done with datagrams of one kind, and what that has cost.
type kind struct {
	take   func(body []byte)
	served *servedCount
}

// Sent counts datagrams let go.
func (p *Post) Sent() int64 { return p.sent.Load() }

// Served is what the datagrams of each kind have cost so far.
func (p *Post) Served() map[string]Served { return p.served.now() }

// NewPost works on an open packet conn. Kinds are named before Run.
func NewPost(pc net.PacketConn) *Post { return &Post{pc: pc, kinds: map[string]kind{}} }

// On names what is done with datagrams of a kind.
func (p *Post) On(name string, f func(body []byte)) { p.kinds[name] = kind{f, p.served.at(name)} }

// Send lets one datagram go; one too large, or to nowhere, is lost like any other.
func (p *Post) Send(addr, kind string, body []byte) bool {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return false
	}
	b := Pack(gram{Speaks: Speaks, Kind: kind, Body: body})
	if len(b) > MaxGram {
		return false
	}
	p.sent.Add(1)
	_, err = p.pc.WriteTo(b, to)
	return err == nil
}

// Garbled counts datagrams that could not be read or are of another version.
func (p *Post) Garbled() int64 { return p.garbled.Load() }

// Run takes datagrams until the connection is closed.
func (p *Post) Run(context.Context) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := p.pc.ReadFrom(buf)
		if err != nil {
			return
		}
		p.Take(buf[:n])
	}
}

// Take works on one datagram, whatever is in it.
func (p *Post) Take(b []byte) {
	var m gram
	if err := Unpack(b, &m); err != nil || m.Speaks != Speaks {
		p.garbled.Add(1)
		return
	}
	k, found := p.kinds[m.Kind]
	if !found {
		p.garbled.Add(1)
		return
	}
	began := time.Now()
	k.take(m.Body)
	k.served.add(len(b), 0, time.Since(began))
}

// Bad counts one body that its kind could not read.
func (p *Post) Bad() { p.garbled.Add(1) }

// Close ends Run.
func (p *Post) Close() { _ = p.pc.Close() }
