package core

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/sim/simnet"
)

// fakeCore answers consider calls by replica name, in a batch or singly, and counts the calls.
type fakeCore struct {
	calls  atomic.Int64
	batch  bool // it serves the batch call
	garble bool // its batch answer lacks one replica
}

func (a *fakeCore) mux() *wire.Mux {
	mux := wire.NewMux()
	answer := func(q order.ConsiderRequest) order.ConsiderResponse {
		return order.ConsiderResponse{Accepted: q.Replica != "full" && q.DryRun && q.Item == "m", Why: q.Replica}
	}
	wire.Handle(mux, considerPath, func(_ context.Context, q order.ConsiderRequest) (order.ConsiderResponse, error) {
		a.calls.Add(1)
		if q.Replica == "elsewhere" {
			return order.ConsiderResponse{}, wire.Refuse("not-owner", "not here")
		}
		return answer(q), nil
	})
	if !a.batch {
		return mux
	}
	wire.Handle(mux, considerAllPath, func(_ context.Context, q order.ConsiderBatchRequest) (order.ConsiderBatchResponse, error) {
		a.calls.Add(1)
		var out order.ConsiderBatchResponse
		for _, r := range q.Replicas {
			one := q.Request
			one.Replica, one.DryRun = r, true
			out.Answers = append(out.Answers, answer(one))
		}
		if a.garble {
			out.Answers = out.Answers[1:]
		}
		return out, nil
	})
	return mux
}

// considerVia returns the answers that a core gets from a fake peer.
func considerVia(t *testing.T, a *fakeCore, replicas ...string) (answers []order.ConsiderResponse) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fabric := simnet.New(1, func(string, string) time.Duration { return time.Millisecond })
		ln, err := fabric.Host("10.0.0.2").Listen("10.0.0.2:7000")
		if err != nil {
			t.Fatal(err)
		}
		g := run.NewGroup(t.Context())
		server := wire.NewServer(ln, a.mux())
		g.Go(server.Run)
		c := &Core{group: g, caller: wire.NewClient(fabric.Host("10.0.0.1"))}
		answers = c.considerAllRemote(t.Context(), "10.0.0.2:7000", order.ConsiderBatchRequest{Request: order.ConsiderRequest{Item: "m"}, Replicas: replicas})
		c.caller.Close()
		server.Close()
		g.Stop()
	})
	return answers
}

// All replicas of one core are queried with one message.
func TestReplicasOfOneCoreAreQueriedInOneCall(t *testing.T) {
	a := &fakeCore{batch: true}
	got := considerVia(t, a, "r1", "full", "r2")
	if a.calls.Load() != 1 || len(got) != 3 || !got[0].Accepted || got[1].Accepted || !got[2].Accepted || got[2].Why != "r2" {
		t.Errorf("unexpected result after %d calls: %+v", a.calls.Load(), got)
	}
}

// A core of an earlier version does not serve the batch call and is queried once per replica.
func TestCoreWithoutBatchCallIsQueriedPerReplica(t *testing.T) {
	a := &fakeCore{}
	got := considerVia(t, a, "r1", "elsewhere", "full")
	if a.calls.Load() != 3 || len(got) != 3 || !got[0].Accepted || !got[1].Unanswered || got[1].Accepted || got[2].Accepted || got[2].Unanswered {
		t.Errorf("unexpected result after %d calls: %+v", a.calls.Load(), got)
	}
}

// A batch answer that does not have one entry per replica is rejected whole.
func TestIncompleteBatchAnswerIsRejected(t *testing.T) {
	for _, x := range considerVia(t, &fakeCore{batch: true, garble: true}, "r1", "r2") {
		if !x.Unanswered || x.Accepted {
			t.Errorf("%+v", x)
		}
	}
}
