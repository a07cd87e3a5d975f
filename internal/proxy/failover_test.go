package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/admission"
	"drumstall.example/internal/attempt"
	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/route"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/sim/simnet"
	"drumstall.example/internal/state"
)

// script is what a replica does with a request: it writes to the connection, which ends when it returns.
type script func(out *replicaConn)

// replicaOut writes an answer as a replica does.
type replicaConn struct{ conn net.Conn }

func (o *replicaConn) writeHead() {
	_, _ = io.WriteString(o.conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func (o *replicaConn) writeEvents(numbers ...int) {
	for _, n := range numbers {
		event := fmt.Sprintf("id: %d\ndata: x\n\n", n)
		_, _ = fmt.Fprintf(o.conn, "%x\r\n%s\r\n", len(event), event)
	}
}

func (o *replicaConn) end() { _, _ = io.WriteString(o.conn, "0\r\n\r\n") }

func (o *replicaConn) refuse() {
	_, _ = fmt.Fprintf(o.conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", backend.HeaderOutcome, backend.NotRun)
}

// twoReplicas is a proxy before two replicas that hold a model.
type replicaPair struct {
	t        *testing.T
	group    *run.Group
	fabric   *simnet.Fabric
	proxy    *Proxy
	table    *gossip.Table
	requests [2]int
}

// stallAfter is the pause that should not occur; twice that makes a replica doubted.
const gapTarget = 300 * time.Millisecond

func runWithReplicas(t *testing.T, first, second script, f func(w *replicaPair)) {
	synctest.Test(t, func(t *testing.T) {
		w := &replicaPair{t: t, group: run.NewGroup(t.Context()), table: gossip.NewTable(),
			fabric: simnet.New(1, func(string, string) time.Duration { return time.Millisecond })}
		routes := route.NewKeeper(route.Deps{Group: w.group, Gossip: w.table, Clock: simhost.NewClock(), Zone: func() string { return "a" },
			HeardFor: func() time.Duration { return 0 }, Edges: func() int { return 1 }})
		w.proxy = &Proxy{routes: routes, budget: attempt.NewBudget(1), log: ring.New(io.Discard, 10).Logger(), demand: map[string]uint64{},
			sender: attempt.NewSender(w.fabric.Host("10.0.0.9"), attempt.Native{}, time.Minute)}
		w.proxy.edgeCount.Store(1)
		w.proxy.admission = admission.New(w.group, routes, time.Second, func() {})
		kept := conf.Kept{Serial: 1, Objects: map[string][]byte{"classes/c": []byte(`{}`)}}
		w.table.Put(gossip.Entry{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Version: 1}, Value: kept.Pack()})
		listeners := []net.Listener{w.serve(0, first), w.serve(1, second)}
		w.announce(0)
		time.Sleep(time.Second)
		f(w)
		w.proxy.sender.Close()
		for _, l := range listeners {
			_ = l.Close()
		}
		time.Sleep(10 * time.Second)
		w.group.Stop()
	})
}

func addrOf(i int) string { return fmt.Sprintf("10.0.0.%d:90", i+1) }

// replica serves one request a connection as a script says.
func (w *replicaPair) serve(i int, s script) net.Listener {
	ln, err := w.fabric.Host(fmt.Sprintf("10.0.0.%d", i+1)).Listen(addrOf(i))
	if err != nil {
		w.t.Fatal(err)
	}
	w.group.Go(func(context.Context) {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			w.group.Go(func(context.Context) {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				w.requests[i]++
				s(&replicaConn{conn})
			})
		}
	})
	return ln
}

// tell makes a replica known as one that holds the model.
func (w *replicaPair) announce(i int) {
	id := fmt.Sprintf("r%d", i+1)
	n := order.Status{Listed: inventory.Listed{ID: id, Addr: addrOf(i), Model: true, Slots: 12}, Slots: 12, Items: map[string]string{"m": backend.Loaded}}
	w.table.Put(gossip.Entry{Key: order.Key(id), Stamp: state.Stamp{Epoch: 1, Version: 1}, Value: wire.Pack(n)})
}

// ask asks for a stream, and gives it with how it ended.
func (w *replicaPair) requestStream() (got string, err error) {
	r := conf.Route{Kind: "model", Class: "c", Repeatable: true, Streaming: true, Resumable: true, Attempts: 2, GapTarget: gapTarget, Target: time.Second}
	ctx, cancel := context.WithTimeout(w.t.Context(), 8*time.Second)
	defer cancel()
	call := Call{Target: route.Target{Route: r, Item: conf.Item{Model: "m"}}, Deadline: time.Now().Add(8 * time.Second), Body: []byte("{}")}
	a, refusal := w.proxy.Serve(ctx, call)
	if refusal != nil {
		return "", fmt.Errorf("refused: %+v", refusal)
	}
	w.announce(1)
	// Why: what the budget allows is counted over the requests so far.
	w.proxy.budget.RecordFirst("models", 10)
	body, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	return string(body), err
}

func eventText(numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", n)
	}
	return b.String()
}

// silentFor answers one event, is silent for a while, and goes on to the end.
func silentFor(d time.Duration) script {
	return func(out *replicaConn) {
		out.writeHead()
		out.writeEvents(1)
		time.Sleep(d)
		out.writeEvents(2, 3)
		out.end()
	}
}

func TestSilentReplicaIsKeptWhenFailoverIsRefused(t *testing.T) {
	runWithReplicas(t, silentFor(3*time.Second), func(out *replicaConn) { out.refuse() }, func(w *replicaPair) {
		got, err := w.requestStream()
		if err != nil || got != eventText(1, 2, 3) {
			t.Errorf("got %q, %v", got, err)
		}
		if w.requests != [2]int{1, 1} {
			t.Errorf("asked %v times", w.requests)
		}
	})
}

func TestStreamFailsOverFromASilentReplica(t *testing.T) {
	second := func(out *replicaConn) {
		out.writeHead()
		out.writeEvents(1, 2, 3)
		out.end()
	}
	runWithReplicas(t, silentFor(time.Hour), second, func(w *replicaPair) {
		began := time.Now()
		got, err := w.requestStream()
		if err != nil || got != eventText(1, 2, 3) {
			t.Errorf("got %q, %v", got, err)
		}
		if took := time.Since(began); took > 2*gapTarget+200*time.Millisecond {
			t.Errorf("took %v", took)
		}
	})
}

func TestFirstDataWinsDuringFailover(t *testing.T) {
	second := func(out *replicaConn) {
		time.Sleep(2 * time.Second)
		out.writeHead()
		out.writeEvents(2, 3)
		out.end()
	}
	runWithReplicas(t, silentFor(time.Second), second, func(w *replicaPair) {
		began := time.Now()
		got, err := w.requestStream()
		if err != nil || got != eventText(1, 2, 3) {
			t.Errorf("got %q, %v", got, err)
		}
		if took := time.Since(began); took > 1200*time.Millisecond {
			t.Errorf("took %v", took)
		}
	})
}

func TestStreamBreakDuringFailoverUsesPendingReplica(t *testing.T) {
	first := func(out *replicaConn) {
		out.writeHead()
		out.writeEvents(1)
		time.Sleep(time.Second)
	}
	second := func(out *replicaConn) {
		time.Sleep(time.Second)
		out.writeHead()
		out.writeEvents(2, 3)
		out.end()
	}
	runWithReplicas(t, first, second, func(w *replicaPair) {
		got, err := w.requestStream()
		if err != nil || got != eventText(1, 2, 3) {
			t.Errorf("got %q, %v", got, err)
		}
		if w.requests != [2]int{1, 1} {
			t.Errorf("asked %v times", w.requests)
		}
	})
}

func TestClientDisconnectCancelsFailover(t *testing.T) {
	runWithReplicas(t, silentFor(time.Hour), func(*replicaConn) { time.Sleep(time.Hour) }, func(w *replicaPair) {
		if got, err := w.requestStream(); err == nil || got != eventText(1) {
			t.Errorf("got %q, %v", got, err)
		}
		synctest.Wait()
		if n := w.proxy.admission.Attempts(); n != 0 {
			t.Errorf("%d attempts are under way", n)
		}
	})
}
