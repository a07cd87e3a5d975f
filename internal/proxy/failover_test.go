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

// script is how a replica handles a request: it writes to the connection, which is closed when it returns.
type script func(out *replicaConn)

// replicaConn writes a response in the way of a replica.
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

// replicaPair is a proxy in front of two replicas that hold a model.
type replicaPair struct {
	t        *testing.T
	group    *run.Group
	fabric   *simnet.Fabric
	proxy    *Proxy
	table    *gossip.Table
	requests [2]int
}

// gapTarget is the route's gap target; a silence of twice this makes a replica suspect.
const gapTarget = 300 * time.Millisecond

// runWithReplicas runs f against a proxy and two replicas that follow the scripts; only the first is announced at the start.
func runWithReplicas(t *testing.T, first, second script, f func(p *replicaPair)) {
	synctest.Test(t, func(t *testing.T) {
		p := &replicaPair{t: t, group: run.NewGroup(t.Context()), table: gossip.NewTable(),
			fabric: simnet.New(1, func(string, string) time.Duration { return time.Millisecond })}
		routes := route.NewRouter(route.Deps{Group: p.group, Gossip: p.table, Clock: simhost.NewClock(), Zone: func() string { return "a" },
			SinceContact: func() time.Duration { return 0 }, Edges: func() int { return 1 }})
		p.proxy = &Proxy{routes: routes, budget: attempt.NewBudget(1), log: ring.New(io.Discard, 10).Logger(), demand: map[string]uint64{},
			sender: attempt.NewSender(p.fabric.Host("10.0.0.9"), attempt.Native{}, time.Minute)}
		p.proxy.edgeCount.Store(1)
		p.proxy.admission = admission.New(p.group, routes, time.Second, func() {})
		kept := conf.Stored{Serial: 1, Objects: map[string][]byte{"classes/c": []byte(`{}`)}}
		p.table.Put(gossip.Entry{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Version: 1}, Value: kept.Pack()})
		listeners := []net.Listener{p.serve(0, first), p.serve(1, second)}
		p.announce(0)
		time.Sleep(time.Second)
		f(p)
		p.proxy.sender.Close()
		for _, l := range listeners {
			_ = l.Close()
		}
		time.Sleep(10 * time.Second)
		p.group.Stop()
	})
}

func addrOf(i int) string { return fmt.Sprintf("10.0.0.%d:90", i+1) }

// serve runs a replica that handles one request per connection according to a script.
func (p *replicaPair) serve(i int, s script) net.Listener {
	ln, err := p.fabric.Host(fmt.Sprintf("10.0.0.%d", i+1)).Listen(addrOf(i))
	if err != nil {
		p.t.Fatal(err)
	}
	p.group.Go(func(context.Context) {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			p.group.Go(func(context.Context) {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				p.requests[i]++
				s(&replicaConn{conn})
			})
		}
	})
	return ln
}

// announce publishes a replica as one that holds the model.
func (p *replicaPair) announce(i int) {
	id := fmt.Sprintf("r%d", i+1)
	n := order.Status{Listed: inventory.Listed{ID: id, Addr: addrOf(i), Model: true, Slots: 12}, Slots: 12, Items: map[string]string{"m": backend.Loaded}}
	p.table.Put(gossip.Entry{Key: order.Key(id), Stamp: state.Stamp{Epoch: 1, Version: 1}, Value: wire.Marshal(n)})
}

// requestStream requests a stream and returns its body and the error that it ended with.
func (p *replicaPair) requestStream() (got string, err error) {
	r := conf.Route{Kind: "model", Class: "c", Repeatable: true, Streaming: true, Resumable: true, Attempts: 2, GapTarget: gapTarget, Target: time.Second}
	ctx, cancel := context.WithTimeout(p.t.Context(), 8*time.Second)
	defer cancel()
	call := Call{Target: route.Target{Route: r, Item: conf.Item{Model: "m"}}, Deadline: time.Now().Add(8 * time.Second), Body: []byte("{}")}
	a, refusal := p.proxy.Serve(ctx, call)
	if refusal != nil {
		return "", fmt.Errorf("refused: %+v", refusal)
	}
	p.announce(1)
	// The retry budget is a fraction of the requests so far.
	p.proxy.budget.RecordFirst("models", 10)
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

// silentFor sends one event, is silent for a while, and then sends the rest.
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
	runWithReplicas(t, silentFor(3*time.Second), func(out *replicaConn) { out.refuse() }, func(p *replicaPair) {
		got, err := p.requestStream()
		if err != nil || got != eventText(1, 2, 3) {
			t.Errorf("got %q, %v", got, err)
		}
		if p.requests != [2]int{1, 1} {
			t.Errorf("requests per replica: %v", p.requests)
		}
	})
}

func TestStreamFailsOverFromASilentReplica(t *testing.T) {
	second := func(out *replicaConn) {
		out.writeHead()
		out.writeEvents(1, 2, 3)
		out.end()
	}
	runWithReplicas(t, silentFor(time.Hour), second, func(p *replicaPair) {
		began := time.Now()
		got, err := p.requestStream()
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
	runWithReplicas(t, silentFor(time.Second), second, func(p *replicaPair) {
		began := time.Now()
		got, err := p.requestStream()
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
	runWithReplicas(t, first, second, func(p *replicaPair) {
		got, err := p.requestStream()
		if err != nil || got != eventText(1, 2, 3) {
			t.Errorf("got %q, %v", got, err)
		}
		if p.requests != [2]int{1, 1} {
			t.Errorf("requests per replica: %v", p.requests)
		}
	})
}

func TestClientDisconnectCancelsFailover(t *testing.T) {
	runWithReplicas(t, silentFor(time.Hour), func(*replicaConn) { time.Sleep(time.Hour) }, func(p *replicaPair) {
		if got, err := p.requestStream(); err == nil || got != eventText(1) {
			t.Errorf("got %q, %v", got, err)
		}
		synctest.Wait()
		if n := p.proxy.admission.Attempts(); n != 0 {
			t.Errorf("%d attempts are still in progress", n)
		}
	})
}
