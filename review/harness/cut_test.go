package review

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cuttable stands between a replica and its callers, and cuts the replica off from
// the core but not from the edges. Reports and orders come from cores only, so a
// connection on which the first request is one of those is a core's.
//
// While it is cut, what is sent on connections that were open before is held up, and
// delivered once the cut heals unless the sender has reset the connection. Connections
// that are opened meanwhile never come up.
type cuttable struct {
	target string
	mu     sync.Mutex
	tell   func(order string) // is told of an order before it is delivered
	isCut  bool
	healed chan struct{}
}

func (c *cuttable) onOrder(f func(order string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tell = f
}

func (c *cuttable) told(order string) {
	c.mu.Lock()
	f := c.tell
	c.mu.Unlock()
	if f != nil {
		f(order)
	}
}

func (c *cuttable) start(addr string) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		cannotRun("proxy: %v", err)
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
}

func (c *cuttable) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCut {
		c.isCut, c.healed = true, make(chan struct{})
	}
}

func (c *cuttable) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCut {
		c.isCut = false
		close(c.healed)
	}
}

// passable waits until nothing is cut, and says whether it had to.
func (c *cuttable) passable() (waited bool) {
	c.mu.Lock()
	cut, healed := c.isCut, c.healed
	c.mu.Unlock()
	if cut {
		<-healed
	}
	return cut
}

func (c *cuttable) serve(from net.Conn) {
	defer from.Close()
	in := &sender{bufio.NewReader(from), from}
	head, err := in.Peek(12)
	if err != nil {
		return
	}
	isCore := bytes.HasPrefix(head, []byte("GET /-/repor")) || bytes.HasPrefix(head, []byte("POST /-/orde"))
	c.mu.Lock()
	late := isCore && c.isCut
	c.mu.Unlock()
	if late {
		// The connection never came up: nothing that is sent on it arrives.
		_, _ = io.Copy(io.Discard, in)
		return
	}
	to, err := net.Dial("tcp", c.target)
	if err != nil {
		return
	}
	defer to.Close()
	go func() {
		defer from.Close()
		c.pass(from, to, isCore, false)
	}()
	c.pass(to, in, isCore, true)
	_ = to.(*net.TCPConn).CloseWrite()
	time.Sleep(100 * time.Millisecond)
}

// pass copies one direction; what goes from or to a core is held up while it is cut off.
func (c *cuttable) pass(to io.Writer, from io.Reader, isCore, isRequest bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && isCore {
			if isRequest && bytes.Contains(buf[:n], []byte("POST /-/order")) {
				// The head of an order may come before its body.
				for err == nil && n < len(buf) && !bytes.HasSuffix(buf[:n], []byte("}")) {
					var more int
					more, err = from.Read(buf[n:])
					n += more
				}
				c.told(string(buf[:n]))
			}
			// Bytes that were held up are lost if their sender has reset the connection.
			if c.passable() && isRequest && wasReset(from) {
				return
			}
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wasReset says whether the sender has reset the connection, rather than closed it or kept it.
func wasReset(from io.Reader) bool {
	in, ok := from.(*sender)
	if !ok {
		return false
	}
	_ = in.conn.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
	_, err := in.Peek(1)
	_ = in.conn.SetReadDeadline(time.Time{})
	return errors.Is(err, syscall.ECONNRESET)
}

// sender is what a caller sends on its connection.
type sender struct {
	*bufio.Reader
	conn net.Conn
}

// field is the value of a text in a JSON body.
func field(body, name string) string {
	_, rest, _ := strings.Cut(body, `"`+name+`":"`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}
