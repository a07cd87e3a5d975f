package wire

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// MaxDatagram is the maximum size of a datagram in bytes, chosen to avoid IP fragmentation.
const MaxDatagram = 1400

// datagram is the encoded form of a message: protocol version, kind and body.
type datagram struct {
	Version string `cbor:"1,keyasint"`
	Kind    string `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
}

// DatagramSocket sends datagrams and dispatches received ones by kind.
type DatagramSocket struct {
	conn      net.PacketConn
	handlers  map[string]datagramHandler
	malformed atomic.Int64
	sent      atomic.Int64
	stats     counters
}

// datagramHandler handles the datagrams of one kind and counts their cost.
type datagramHandler struct {
	handle func(body []byte)
	stats  *counter
}

// Sent returns the number of datagrams sent.
func (p *DatagramSocket) Sent() int64 { return p.sent.Load() }

// Stats returns the cost of the received datagrams so far, by kind.
func (p *DatagramSocket) Stats() map[string]Stats { return p.stats.snapshot() }

// NewDatagramSocket returns a socket on an open connection. Handlers must be registered before Run.
func NewDatagramSocket(pc net.PacketConn) *DatagramSocket {
	return &DatagramSocket{conn: pc, handlers: map[string]datagramHandler{}}
}

// Handle registers the handler of a kind of datagrams.
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

// Malformed returns the number of datagrams that could not be decoded, or have another protocol version or an unknown kind.
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

// Dispatch decodes a datagram and calls the handler of its kind, or counts it as malformed.
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

// CountMalformed counts a datagram whose body its handler could not decode.
func (p *DatagramSocket) CountMalformed() { p.malformed.Add(1) }

// Close closes the connection, which ends Run.
func (p *DatagramSocket) Close() { _ = p.conn.Close() }
