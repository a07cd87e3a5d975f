package wire

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// MaxGram bounds a datagram, so that none is cut up on the way.
const MaxDatagram = 1400

// datagram is the encoded form of a message: protocol version, kind and body.
type datagram struct {
	Version string `cbor:"1,keyasint"`
	Kind    string `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
}

// Post sends and takes datagrams by kind.
type DatagramSocket struct {
	conn      net.PacketConn
	handlers  map[string]datagramHandler
	malformed atomic.Int64
	sent      atomic.Int64
	stats     counters
}

// kind is what is done with datagrams of one kind, and what that has cost.
type datagramHandler struct {
	handle func(body []byte)
	stats  *counter
}

// Sent returns the number of datagrams sent.
func (p *DatagramSocket) Sent() int64 { return p.sent.Load() }

// Served is what the datagrams of each kind have cost so far.
func (p *DatagramSocket) Stats() map[string]Stats { return p.stats.snapshot() }

// NewPost works on an open packet conn. Kinds are named before Run.
func NewDatagramSocket(pc net.PacketConn) *DatagramSocket {
	return &DatagramSocket{conn: pc, handlers: map[string]datagramHandler{}}
}

// On names what is done with datagrams of a kind.
func (p *DatagramSocket) Handle(name string, f func(body []byte)) {
	p.handlers[name] = datagramHandler{f, p.stats.get(name)}
}

// Send sends a datagram and reports whether it was sent. A datagram that is too large or has an invalid
// address is dropped.
func (p *DatagramSocket) Send(addr, kind string, body []byte) bool {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return false
	}
	b := Marshal(datagram{Version: ProtocolVersion, Kind: kind, Body: body})
	if len(b) > MaxDatagram {
		return false
	}
	p.sent.Add(1)
	_, err = p.conn.WriteTo(b, to)
	return err == nil
}

// Garbled counts datagrams that could not be read or are of another version.
func (p *DatagramSocket) Malformed() int64 { return p.malformed.Load() }

// Run receives and dispatches datagrams until the connection is closed.
func (p *DatagramSocket) Run(context.Context) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := p.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		p.Dispatch(buf[:n])
	}
}

// Take works on one datagram, whatever is in it.
func (p *DatagramSocket) Dispatch(b []byte) {
	var m datagram
	if err := Unmarshal(b, &m); err != nil || m.Version != ProtocolVersion {
		p.malformed.Add(1)
		return
	}
	k, found := p.handlers[m.Kind]
	if !found {
		p.malformed.Add(1)
		return
	}
	began := time.Now()
	k.handle(m.Body)
	k.stats.add(len(b), 0, time.Since(began))
}

// Bad counts one body that its kind could not read.
func (p *DatagramSocket) CountMalformed() { p.malformed.Add(1) }

// Close closes the connection, which ends Run.
func (p *DatagramSocket) Close() { _ = p.conn.Close() }
