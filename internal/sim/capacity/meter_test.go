package capacity

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
)

type text struct {
	Text string `cbor:"1,keyasint"`
}

// Calls are counted by path, at both ends alike, and datagrams by kind.
func TestTrafficIsCountedByKind(t *testing.T) {
	caller, server := NewMeter(wire.HostNetwork()), NewMeter(wire.HostNetwork())
	ln, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pc, err := server.ListenPacket("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux, g := wire.NewMux(), run.NewGroup(t.Context())
	wire.Handle(mux, "/one", func(_ context.Context, q text) (text, error) { return q, nil })
	wire.Handle(mux, "/two", func(_ context.Context, q text) (text, error) { return text{}, nil })
	srv := wire.NewServer(ln, mux)
	post := wire.NewDatagramSocket(pc)
	came := make(chan struct{})
	post.Handle("hello", func([]byte) { close(came) })
	g.Go(srv.Run)
	g.Go(post.Run)
	c := wire.NewClient(caller)
	for _, path := range []string{"/one", "/two", "/two"} {
		if _, err := wire.Call[text, text](t.Context(), c, ln.Addr().String(), path, text{"0123456789"}); err != nil {
			t.Fatal(err)
		}
	}
	from, err := caller.ListenPacket("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out := wire.NewDatagramSocket(from)
	if !out.Send(pc.LocalAddr().String(), "hello", wire.Marshal(text{"x"})) {
		t.Fatal("the datagram was not sent")
	}
	if !run.WaitOn(t.Context(), came, 5*time.Second) {
		t.Fatal("the datagram did not come")
	}
	// Why: what is written is counted once the write is over, and the caller may have read the answer by then.
	for end := time.Now().Add(5 * time.Second); server.Counts()[Answered+"/two"].Out < caller.Counts()[Asked+"/two"].In && time.Now().Before(end); {
		run.Sleep(t.Context(), time.Millisecond)
	}
	asked, answered := caller.Counts(), server.Counts()
	for path, n := range map[string]int64{"/one": 1, "/two": 2} {
		a, b := asked[Asked+path], answered[Answered+path]
		if a.Messages != n || b.Messages != n || a.Out != b.In || a.In != b.Out || a.Out < 10 || a.In < 10 {
			t.Errorf("%s: asked %+v, answered %+v", path, a, b)
		}
	}
	a, b := asked[Datagram+"hello"], answered[Datagram+"hello"]
	if a.Messages != 1 || a.Out != b.In || a.Out == 0 {
		t.Errorf("datagrams: sent %+v, came %+v", a, b)
	}
	if caller.Open() != 1 || server.Open() != 1 {
		t.Errorf("%d and %d connections are open", caller.Open(), server.Open())
	}
	c.Close()
	out.Close()
	srv.Close()
	post.Close()
	g.Stop()
}

// A machine that is cut off hears nothing until the cut ends, and then what was sent.
func TestACutHoldsCallsBack(t *testing.T) {
	var cut atomic.Bool
	caller := NewMeter(wire.HostNetwork()).As(wire.HostNetwork(), func(net.Addr) bool { return cut.Load() })
	ln, err := wire.HostNetwork().Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux, g := wire.NewMux(), run.NewGroup(t.Context())
	var calls atomic.Int64
	wire.Handle(mux, "/one", func(_ context.Context, q text) (text, error) { calls.Add(1); return q, nil })
	srv := wire.NewServer(ln, mux)
	g.Go(srv.Run)
	c := wire.NewClient(caller)
	call := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := wire.Call[text, text](ctx, c, ln.Addr().String(), "/one", text{"a"})
		return err
	}
	if err := call(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	cut.Store(true)
	if err := call(100 * time.Millisecond); err == nil || calls.Load() != 1 {
		t.Errorf("a call over the cut: %v, %d calls came", err, calls.Load())
	}
	cut.Store(false)
	if err := call(5 * time.Second); err != nil {
		t.Errorf("after the cut: %v", err)
	}
	c.Close()
	srv.Close()
	g.Stop()
}
