package attempt

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/sim/simnet"
)

// testReplica handles each request with a given function and counts the requests it has read.
type testReplica struct {
	requests atomic.Int64
	ln       net.Listener
}

func newTestReplica(t *testing.T, g *run.Group, f *simnet.Fabric, respond func(c net.Conn, n int64)) *testReplica {
	ln, err := f.Host("10.0.0.1").Listen("10.0.0.1:90")
	if err != nil {
		t.Fatal(err)
	}
	b := &testReplica{ln: ln}
	g.Go(func(context.Context) {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			g.Go(func(context.Context) {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					count := b.requests.Add(1)
					respond(&exchangeConn{Conn: c, exchange: req.Header.Get(backend.HeaderExchange)}, count)
					if count < 0 {
						return
					}
				}
			})
		}
	})
	return b
}

// exchangeConn is a connection with the ID of the request that has arrived on it.
type exchangeConn struct {
	net.Conn
	exchange string
}

// okWith is okResponse as the response to the request with the given ID.
func okWith(exchange string) string {
	return strings.Replace(okResponse, "\r\n", "\r\n"+backend.HeaderExchange+": "+exchange+"\r\n", 1)
}

// respondOK responds to the request that has arrived on c.
func respondOK(c net.Conn) { _, _ = io.WriteString(c, okWith(c.(*exchangeConn).exchange)) }

const okResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"

func runWithSender(t *testing.T, respond func(c net.Conn, n int64), f func(b *testReplica, send func(sendable bool, within time.Duration) (*Reply, *Failure))) {
	withSender(t, respond, func(t *testing.T, b *testReplica, s *Sender) {
		f(b, func(sendable bool, within time.Duration) (*Reply, *Failure) {
			return s.Send(t.Context(), Request{Addr: "10.0.0.1:90", Body: []byte("{}"), Number: 1, FirstByteDeadline: time.Now().Add(within), Sendable: func() bool { return sendable }})
		})
	})
}

// withSender runs f with a sender and a replica that responds as given.
func withSender(t *testing.T, respond func(c net.Conn, n int64), f func(t *testing.T, b *testReplica, s *Sender)) {
	synctest.Test(t, func(t *testing.T) {
		g := run.NewGroup(t.Context())
		fab := simnet.New(1, func(string, string) time.Duration { return time.Millisecond })
		b := newTestReplica(t, g, fab, respond)
		s := NewSender(fab.Host("10.0.0.2"), Native{}, time.Second)
		f(t, b, s)
		s.Close()
		_ = b.ln.Close()
		g.Stop()
	})
}

func expectOutcome(t *testing.T, failure *Failure, o Outcome) {
	t.Helper()
	if failure == nil || failure.Outcome != o {
		t.Errorf("got %v, want outcome %s", failure, o)
	}
}

// net/http replays some requests by itself when a kept-alive connection breaks under them.
func TestTransportNeverReplays(t *testing.T) {
	var first net.Conn
	runWithSender(t, func(c net.Conn, n int64) {
		if n == 1 {
			first = c.(*exchangeConn).Conn
			respondOK(c)
			return
		}
		if c.(*exchangeConn).Conn != first {
			t.Error("the second request did not come on the connection that was kept")
		}
		_ = c.Close() // read, and perhaps run, but without a response
	}, func(b *testReplica, send func(bool, time.Duration) (*Reply, *Failure)) {
		r, failure := send(true, time.Second)
		if failure != nil {
			t.Fatal(failure)
		}
		_, _ = io.ReadAll(r)
		_ = r.Close()
		_, failure = send(true, time.Second)
		expectOutcome(t, failure, Unknown)
		if n := b.requests.Load(); n != 2 {
			t.Errorf("two requests were received %d times", n)
		}
	})
}

// A late copy of the response to one attempt must not be taken for the response to the next one, so an attempt is never
// sent on the connection of an earlier attempt of the same request; other requests still use that connection.
func TestAnAttemptIsNotSentOnTheConnectionOfAnEarlierOne(t *testing.T) {
	for name, body := range map[string][]byte{"with a body": []byte("{}"), "without a body": nil} {
		t.Run(name, func(t *testing.T) {
			seen := &connectionLog{}
			withSender(t, seen.respond, func(t *testing.T, _ *testReplica, s *Sender) {
				first, second := &Connections{}, &Connections{}
				for _, c := range []*Connections{first, first, second, first, second} {
					q := Request{Addr: "10.0.0.1:90", Body: body, FirstByteDeadline: time.Now().Add(time.Second), Sendable: func() bool { return true }, Connections: c}
					r, failure := s.Send(t.Context(), q)
					if failure != nil {
						t.Fatal(failure)
					}
					_, _ = io.ReadAll(r)
					_ = r.Close()
				}
			})
			if got := seen.numbers(); !slices.Equal(got, []int{1, 2, 2, 3, 3}) {
				t.Errorf("the requests came on connections %v", got)
			}
		})
	}
}

// A response that comes a second time, late, is not the response to the request that it is read for, and the connection it
// came on is out of step: what is due on it belongs to that request.
func TestALateResponseIsNotThatOfAnotherRequest(t *testing.T) {
	late := ""
	runWithSender(t, func(c net.Conn, n int64) {
		switch n {
		case 1:
			refusal := "HTTP/1.1 503 Service Unavailable\r\n" + backend.HeaderExchange + ": " + c.(*exchangeConn).exchange + "\r\n" + backend.HeaderOutcome + ": " + backend.NotRun + "\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(c, refusal)
			late = refusal
		case 2:
			_, _ = io.WriteString(c, late)
			time.Sleep(10 * time.Millisecond)
			respondOK(c)
		default:
			respondOK(c)
		}
	}, func(_ *testReplica, send func(bool, time.Duration) (*Reply, *Failure)) {
		_, failure := send(true, time.Second)
		expectOutcome(t, failure, NotRun)
		_, failure = send(true, time.Second)
		expectOutcome(t, failure, Unknown)
		r, failure := send(true, time.Second)
		if failure != nil {
			t.Errorf("the request after that: %v", failure)
			return
		}
		_ = r.Close()
	})
}

// A response that does not tell which request it belongs to is taken, but its connection is not used again.
func TestAConnectionIsKeptOnlyAfterAResponseThatTellsItsRequest(t *testing.T) {
	var conns []net.Conn
	runWithSender(t, func(c net.Conn, n int64) {
		conns = append(conns, c.(*exchangeConn).Conn)
		_, _ = io.WriteString(c, okResponse)
	}, func(_ *testReplica, send func(bool, time.Duration) (*Reply, *Failure)) {
		for range 2 {
			r, failure := send(true, time.Second)
			if failure != nil {
				t.Fatal(failure)
			}
			_, _ = io.ReadAll(r)
			_ = r.Close()
		}
		if len(conns) != 2 || conns[0] == conns[1] {
			t.Error("both requests came on one connection")
		}
	})
}

// A closed connection keeps no request in memory, and sends nothing.
func TestAClosedConnectionLetsGoOfItsRequests(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c, g := &gatedConn{Conn: ours}, newSendGate(Request{})
	c.gate.Store(g)
	c.previous.Store(g)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if c.gate.Load() != nil || c.previous.Load() != nil {
		t.Error("it still refers to a request")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errWithdrawn) {
		t.Errorf("a write: %v", err)
	}
}

// connectionLog records which connection each request arrived on.
type connectionLog struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (l *connectionLog) respond(c net.Conn, _ int64) {
	l.mu.Lock()
	l.conns = append(l.conns, c.(*exchangeConn).Conn)
	l.mu.Unlock()
	respondOK(c)
}

// numbers gives the connections of the requests, numbered in the order of their first request.
func (l *connectionLog) numbers() []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var distinct []net.Conn
	var out []int
	for _, c := range l.conns {
		if !slices.Contains(distinct, c) {
			distinct = append(distinct, c)
		}
		out = append(out, slices.Index(distinct, c)+1)
	}
	return out
}

func TestNothingIsSentToADrainingReplica(t *testing.T) {
	runWithSender(t, func(c net.Conn, n int64) { _, _ = io.WriteString(c, okResponse) }, func(b *testReplica, send func(bool, time.Duration) (*Reply, *Failure)) {
		_, failure := send(false, time.Second)
		expectOutcome(t, failure, NotRun)
		time.Sleep(time.Second)
		if n := b.requests.Load(); n != 0 {
			t.Errorf("the request was received %d times", n)
		}
	})
}

func TestConnectionRefusedIsNotRun(t *testing.T) {
	runWithSender(t, nil, func(b *testReplica, send func(bool, time.Duration) (*Reply, *Failure)) {
		_ = b.ln.Close()
		_, failure := send(true, time.Second)
		expectOutcome(t, failure, NotRun)
		if !failure.NotConnected {
			t.Error("the failure does not report a refused connection")
		}
	})
}

func TestMissedFirstByteDeadlineIsUnknown(t *testing.T) {
	runWithSender(t, func(c net.Conn, n int64) { time.Sleep(5 * time.Second) }, func(b *testReplica, send func(bool, time.Duration) (*Reply, *Failure)) {
		began := time.Now()
		_, failure := send(true, 300*time.Millisecond)
		expectOutcome(t, failure, Unknown)
		if d := time.Since(began); d > 310*time.Millisecond {
			t.Errorf("the failure was reported after %v", d)
		}
	})
}

// A silent replica is awaited while no other could respond; once another could, the attempt is given up.
func TestOnlyReplicaIsAwaited(t *testing.T) {
	for name, c := range map[string]struct {
		onlyFor   time.Duration
		endsAfter time.Duration
		responds  bool
	}{
		"no other replica":               {time.Hour, 500 * time.Millisecond, true},
		"another replica after a while":  {420 * time.Millisecond, 450 * time.Millisecond, false},
		"another replica from the start": {0, 300 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := run.NewGroup(t.Context())
			fab := simnet.New(1, func(string, string) time.Duration { return time.Millisecond })
			b := newTestReplica(t, g, fab, func(conn net.Conn, _ int64) {
				time.Sleep(500 * time.Millisecond)
				_, _ = io.WriteString(conn, okResponse)
			})
			s := NewSender(fab.Host("10.0.0.2"), Native{}, time.Second)
			began := time.Now()
			reply, failure := s.Send(t.Context(), Request{Addr: "10.0.0.1:90", Body: []byte("{}"), Number: 1, Sendable: func() bool { return true },
				FirstByteDeadline: began.Add(300 * time.Millisecond), OnlyReplicaDeadline: began.Add(time.Second),
				OnlyReplica: func() bool { return time.Since(began) < c.onlyFor }})
			if (failure == nil) != c.responds {
				t.Errorf("%s: got %v", name, failure)
			}
			if elapsed := time.Since(began); elapsed < c.endsAfter || elapsed > c.endsAfter+10*time.Millisecond {
				t.Errorf("%s: ended after %v", name, elapsed)
			}
			if reply != nil {
				_ = reply.Close()
			}
			s.Close()
			_ = b.ln.Close()
			time.Sleep(time.Second)
			g.Stop()
		})
	}
}

func TestIncompleteResponsesFail(t *testing.T) {
	for name, c := range map[string]struct {
		raw     string
		outcome Outcome
	}{
		"ends with the connection": {"HTTP/1.1 200 OK\r\n\r\nhalf", Ran},
		"breaks before any data":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Unknown},
		"says not-run":             {"HTTP/1.1 503 No\r\nDrumstall-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", NotRun},
		"fails":                    {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Ran},
		"redirects elsewhere":      {"HTTP/1.1 307 Go\r\nLocation: http://10.0.0.1:90/run\r\nContent-Length: 0\r\n\r\n", Ran},
		"says not-run but answers": {"HTTP/1.1 200 OK\r\nDrumstall-Outcome: not-run\r\n\r\nhalf", Ran},
		"is not HTTP":              {"nonsense\r\n\r\n", Unknown},
	} {
		runWithSender(t, func(conn net.Conn, n int64) { _, _ = io.WriteString(conn, c.raw); _ = conn.Close() }, func(b *testReplica, send func(bool, time.Duration) (*Reply, *Failure)) {
			_, failure := send(true, time.Second)
			if failure == nil || failure.Outcome != c.outcome {
				t.Errorf("a response that %s: got %v, want %s", name, failure, c.outcome)
			}
			if n := b.requests.Load(); n != 1 {
				t.Errorf("a response that %s: %d requests", name, n)
			}
		})
	}
}

func TestInterruptedStreamIsAnError(t *testing.T) {
	runWithSender(t, func(c net.Conn, n int64) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\npiece\r\n")
		time.Sleep(time.Duration(n-1) * 10 * time.Second) // the second one stalls
		_ = c.Close()
	}, func(b *testReplica, send func(bool, time.Duration) (*Reply, *Failure)) {
		for _, what := range []string{"cut", "stalled"} {
			r, failure := send(true, time.Second)
			if failure != nil {
				t.Fatal(failure)
			}
			got, err := io.ReadAll(r)
			if string(got) != "piece" || err == nil {
				t.Errorf("%s: got %q, %v", what, got, err)
			}
			_ = r.Close()
		}
	})
}

// For any sequence of operations, the retries in any period stay within a fifth of its first attempts
// plus the share.
func TestBudget(t *testing.T) {
	b := NewBudget(0.2)
	const share = 3.0
	var log strings.Builder
	reserved, spent := 0, 0
	for i := range 5000 {
		if i%7 != 0 && i%1000 < 700 {
			b.RecordFirst("s", share)
			log.WriteByte('f')
			// Some attempts reserve a retry, and spend or release it much later.
			if i%5 == 0 && b.Reserve("s") {
				reserved++
			}
		} else if reserved > 0 && i%3 == 0 {
			reserved--
			if i%2 == 0 {
				b.ReleaseReserved("s")
				continue
			}
			b.SpendReserved("s")
			spent++
			log.WriteByte('r')
		} else if b.TakeRetry("s") {
			log.WriteByte('r')
		}
	}
	s := log.String()
	if strings.Count(s, "r") == 0 || spent == 0 {
		t.Fatal("no retry was granted")
	}
	for i := range s {
		firsts, retries := 0, 0
		for _, c := range s[i:min(len(s), i+400)] {
			if c == 'f' {
				firsts++
			} else if retries++; float64(retries) > 0.2*float64(firsts)+share+1e-9 {
				t.Fatalf("at %d: %d retries after %d first attempts", i, retries, firsts)
			}
		}
	}
}

var _ wire.Network = (*simnet.Host)(nil)
