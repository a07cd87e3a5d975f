package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// request is one try of a client.
type request struct {
	method, host, path string
	header             map[string]string
	body               string
	left               time.Duration
}

// outcome is what came of it.
type outcome struct {
	attempt string
	status  int // 0 is no answer
	body    []byte
	whole   bool // the answer ended as its framing says
	err     error
	head    time.Duration // from the sending to the head of the answer
	took    time.Duration // from the sending to the end
	heard   time.Duration // from the sending to the last piece
	sealed  bool
}

// send sends a request on a connection of its own and reads the answer; onPiece, if
// given, is told of each piece. A client that hears nothing for silence gives up.
func send(addr string, q request, silence time.Duration) outcome {
	o := outcome{attempt: fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1))}
	began := time.Now()
	defer func() { o.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(q.left))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left-Ms: %d\r\nContent-Length: %d\r\n", q.method, q.path, q.host, o.attempt, q.left.Milliseconds(), len(q.body))
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		o.err = err
		return o
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		o.err = err
		o.took = time.Since(began)
		return o
	}
	defer res.Body.Close()
	o.status, o.head, o.sealed = res.StatusCode, time.Since(began), res.Header.Get("Server-Seal") != ""
	o.heard = o.head
	buf := make([]byte, 4<<10)
	for {
		until := began.Add(q.left)
		if silence > 0 && time.Now().Add(silence).Before(until) {
			until = time.Now().Add(silence)
		}
		_ = conn.SetDeadline(until)
		n, err := res.Body.Read(buf)
		o.body = append(o.body, buf[:n]...)
		if n > 0 {
			o.heard = time.Since(began)
		}
		if err == io.EOF {
			o.whole = true
			break
		}
		if err != nil {
			o.err = err
			break
		}
	}
	o.took = time.Since(began)
	return o
}

func (o outcome) String() string {
	return fmt.Sprintf("attempt %s: status %d after %d ms, ended after %d ms, whole %v, %v", o.attempt, o.status, o.head.Milliseconds(), o.took.Milliseconds(), o.whole, o.err)
}
