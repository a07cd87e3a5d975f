package simnet

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

type listener struct {
	f      *Fabric
	owner  *Host
	addr   string
	accept chan *conn
	done   chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		l.f.pass(l.owner.ip)
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.f.mu.Lock()
		if l.f.ports[l.addr] == l {
			delete(l.f.ports, l.addr)
		}
		l.f.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.accept:
				c.reset()
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", l.addr)
	return a
}

type chunk struct {
	at   time.Time
	data []byte
	eof  bool
}

// flow is one direction of a connection, with a bounded window.
type flow struct {
	mu     sync.Mutex
	chunks []chunk
	size   int
	broken error
	last   time.Time
	change chan struct{}
}

func newFlow() *flow { return &flow{change: make(chan struct{})} }

func (w *flow) poke() {
	w.mu.Lock()
	w.wakeLocked()
	w.mu.Unlock()
}

func (w *flow) wakeLocked() {
	close(w.change)
	w.change = make(chan struct{})
}

func (w *flow) fail(err error) {
	w.mu.Lock()
	if w.broken == nil {
		w.broken = err
	}
	w.wakeLocked()
	w.mu.Unlock()
}

const window = 64 << 10

type conn struct {
	f             *Fabric
	owner         *Host
	from, to      string
	in, out       *flow
	peer          *conn
	local, remote net.Addr
	mu            sync.Mutex
	readBy        time.Time
	writeBy       time.Time
	closed        bool
}

func pair(f *Fabric, oa, ob *Host, from, to string, la, ra net.Addr) (*conn, *conn) {
	x, y := newFlow(), newFlow()
	a := &conn{f: f, owner: oa, from: from, to: to, in: y, out: x, local: la, remote: ra}
	b := &conn{f: f, owner: ob, from: to, to: from, in: x, out: y, local: ra, remote: la}
	a.peer, b.peer = b, a
	return a, b
}

func (c *conn) reset() {
	c.f.mu.Lock()
	delete(c.f.conns, c)
	c.f.mu.Unlock()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.in.fail(errors.New("connection reset by peer"))
	c.out.fail(errors.New("connection reset by peer"))
}

// wait sleeps until change, the deadline or d.
func wait(change <-chan struct{}, by time.Time, d time.Duration) error {
	if !by.IsZero() {
		left := time.Until(by)
		if left <= 0 {
			return os.ErrDeadlineExceeded
		}
		if d == 0 || left < d {
			d = left
		}
	}
	if d == 0 {
		<-change
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-change:
	case <-t.C:
	}
	return nil
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		c.f.pass(c.from)
		c.f.mu.Lock()
		cut := c.f.blocked(c.to, c.from)
		c.f.mu.Unlock()
		c.mu.Lock()
		by, closed := c.readBy, c.closed
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		w := c.in
		w.mu.Lock()
		if w.broken != nil {
			err := w.broken
			w.mu.Unlock()
			return 0, err
		}
		change := w.change
		var lag time.Duration
		if len(w.chunks) > 0 && !cut {
			head := &w.chunks[0]
			if lag = time.Until(head.at); lag <= 0 {
				if head.eof {
					w.mu.Unlock()
					return 0, io.EOF
				}
				n := copy(p, head.data)
				head.data = head.data[n:]
				w.size -= n
				if len(head.data) == 0 {
					w.chunks = w.chunks[1:]
				}
				w.wakeLocked()
				w.mu.Unlock()
				return n, nil
			}
		}
		w.mu.Unlock()
		if err := wait(change, by, lag); err != nil {
			return 0, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	total := 0
	for len(p) > 0 {
		c.f.pass(c.from)
		c.mu.Lock()
		by, closed := c.writeBy, c.closed
		c.mu.Unlock()
		if closed {
			return total, net.ErrClosed
		}
		w := c.out
		w.mu.Lock()
		if w.broken != nil {
			err := w.broken
			w.mu.Unlock()
			return total, err
		}
		if room := window - w.size; room > 0 {
			n := min(room, len(p))
			at := c.f.arrival(c.from, c.to, n)
			if at.Before(w.last) {
				at = w.last
			}
			w.last = at
			w.chunks = append(w.chunks, chunk{at: at, data: append([]byte(nil), p[:n]...)})
			w.size += n
			p = p[n:]
			total += n
			w.wakeLocked()
			w.mu.Unlock()
			continue
		}
		change := w.change
		w.mu.Unlock()
		if err := wait(change, by, 0); err != nil {
			return total, err
		}
	}
	return total, nil
}

func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.f.mu.Lock()
	delete(c.f.conns, c)
	c.f.mu.Unlock()
	c.in.fail(errors.New("broken pipe"))
	w := c.out
	w.mu.Lock()
	at := time.Now().Add(c.f.latency(c.from, c.to))
	if at.Before(w.last) {
		at = w.last
	}
	w.chunks = append(w.chunks, chunk{at: at, eof: true})
	w.wakeLocked()
	w.mu.Unlock()
	return nil
}

func (c *conn) LocalAddr() net.Addr { return c.local }

func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readBy = t
	c.mu.Unlock()
	c.in.poke()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeBy = t
	c.mu.Unlock()
	c.out.poke()
	return nil
}
