package attempt

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/sim/simnet"
)

// The first byte arrives while the deadline check is still deciding whether to wait longer. The response has started by
// then, and the result of the check must not cancel it.
func TestResponseStartingDuringDeadlineCheckIsKept(t *testing.T) {
	const chunk = "5\r\npiece\r\n"
	synctest.Test(t, func(t *testing.T) {
		g := run.NewGroup(t.Context())
		fabric := simnet.New(1, func(string, string) time.Duration { return time.Millisecond })
		b := newTestReplica(t, g, fabric, func(c net.Conn, _ int64) {
			time.Sleep(105 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk)
			time.Sleep(time.Second)
			_, _ = io.WriteString(c, chunk+"0\r\n\r\n")
		})
		for _, alive := range []bool{true, false} {
			s := NewSender(fabric.Host("10.0.0.2"), Native{}, 5*time.Second)
			slowAlive := func() bool {
				time.Sleep(20 * time.Millisecond)
				return alive
			}
			reply, failure := s.Send(context.Background(), Request{Addr: "10.0.0.1:90", Body: []byte("{}"), Number: 1, Sendable: func() bool { return true },
				FirstByteDeadline: time.Now().Add(100 * time.Millisecond), AliveDeadline: time.Now().Add(500 * time.Millisecond), Alive: slowAlive})
			if failure != nil {
				t.Fatalf("alive %v: %v", alive, failure)
			}
			if got, err := io.ReadAll(reply); string(got) != "piecepiece" || err != nil {
				t.Errorf("alive %v: %q, %v", alive, got, err)
			}
			_ = reply.Close()
			s.Close()
		}
		_ = b.ln.Close()
		g.Stop()
	})
}
