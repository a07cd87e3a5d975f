package relay

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/sim/simhost"
)

// testPeers simulates the cores that a relay sends to. They have no relays themselves; maps are keyed by address.
type testPeers struct {
	mu             sync.Mutex
	relay          *Relay
	group          *run.Group
	clock          simhost.Clock
	own            *report.Table
	tables         map[string]*report.Table
	silent         map[string]bool
	responseDelay  time.Duration              // delay of each response
	busy           atomic.Bool                // the relay's own core has no spare processor time
	received       map[string][]report.Report // reports as they were sent
	lastReceivedAt map[string]time.Duration
	batches        map[string]int
	largestBatch   int // bytes of the largest batch
	version        uint64
}

// runWithPeers runs a test with a relay on core a and the peers b and c.
func runWithPeers(t *testing.T, do func(t *testing.T, p *testPeers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &testPeers{group: run.NewGroup(t.Context()), clock: simhost.NewClock(), own: report.NewTable(), tables: map[string]*report.Table{},
			silent: map[string]bool{}, received: map[string][]report.Report{}, lastReceivedAt: map[string]time.Duration{}, batches: map[string]int{}}
		for _, name := range []string{"b", "c"} {
			p.tables[name] = report.NewTable()
		}
		p.relay = New(Deps{Group: p.group, Clock: p.clock, Cores: p.cores, Self: "a", LatestReport: p.own.Get, Send: p.send, Busy: p.busy.Load})
		do(t, p)
		p.group.Stop()
	})
}

func (p *testPeers) cores() []member.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []member.Node{{Name: "a", Addr: "a"}}
	for name := range p.tables {
		out = append(out, member.Node{Name: name, Addr: name})
	}
	return out
}

func (p *testPeers) isSilent(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[addr]
}

func (p *testPeers) setSilent(addr string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[addr] = silent
}

// batchesTo returns the number of batches a core has received.
func (p *testPeers) batchesTo(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.batches[addr]
}

// restart restarts a core with an empty table.
func (p *testPeers) restart(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tables[name] = report.NewTable()
}

func (p *testPeers) send(ctx context.Context, addr string, b Batch) (Response, error) {
	if p.isSilent(addr) {
		<-ctx.Done()
		return Response{}, errors.Wrap(wire.ErrUnreachable, addr)
	}
	time.Sleep(p.responseDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 0
	for _, packed := range b.Reports {
		size += len(packed)
	}
	p.largestBatch = max(p.largestBatch, size)
	p.batches[addr]++
	return Apply(ctx, b, func(_ context.Context, all []report.Report) (out []report.Outcome, err error) {
		for _, r := range all {
			p.received[addr] = append(p.received[addr], r)
			p.lastReceivedAt[addr] = p.clock.Since()
			out = append(out, p.tables[addr].Put(r, p.clock.Since()))
		}
		return out, nil
	})
}

// putAndRelay stores a report in the table of the relay's core, passes it to the relay and returns the keys of the
// confirmed cores.
func (p *testPeers) putAndRelay(t *testing.T, r report.Report) []uint32 {
	t.Helper()
	if p.own.Put(r, p.clock.Since()) != report.Stored {
		t.Fatalf("report %d of %s was not stored", r.Version, r.Agent)
	}
	confirmed, err := p.relay.OnReport(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return confirmed
}

// reportDifference sends a delta report of an agent with a request count of n.
func (p *testPeers) reportDifference(t *testing.T, agent string, n uint64) {
	t.Helper()
	p.version++
	before := p.own.Get(agent).Report
	next := before
	next.Version, next.Demand = p.version, map[string]uint64{"m": n, "other": 1}
	p.putAndRelay(t, next.DeltaFrom(before))
}

// report sends a report of an agent to the relay's core and returns the names of the confirmed cores.
func (p *testPeers) report(t *testing.T, r report.Report) string {
	t.Helper()
	p.version++
	r.Boot, r.Version = "x", p.version
	confirmed := p.putAndRelay(t, r)
	var names []string
	for _, name := range []string{"b", "c"} {
		if slices.Contains(confirmed, CoreKey(name)) {
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}

// demandReport returns a report with a request count of n that is to be relayed.
func demandReport(agent string, n uint64) report.Report {
	return report.Report{Agent: agent, RelayRequested: true, Demand: map[string]uint64{"m": n, "other": 1}}
}

// checkDemand checks the request count of an agent at each core.
func (p *testPeers) checkDemand(t *testing.T, agent string, want map[string]uint64) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, n := range want {
		if got := p.tables[name].Get(agent).Demand["m"]; got != n {
			t.Errorf("core %s has %d requests of %s, want %d", name, got, agent, n)
		}
	}
}

func TestReportsAreRelayedAsDeltas(t *testing.T) {
	runWithPeers(t, func(t *testing.T, p *testPeers) {
		if got := p.report(t, demandReport("e", 1)); got != "" {
			t.Errorf("cores %s confirmed before any report was relayed", got)
		}
		// Between two rounds: a simultaneous round may find the report in the table before OnReport is called.
		time.Sleep(500*time.Millisecond + roundInterval/2)
		if got := p.report(t, demandReport("e", 2)); got != "b c" {
			t.Errorf("confirmed cores: %q", got)
		}
		time.Sleep(500 * time.Millisecond)
		p.checkDemand(t, "e", map[string]uint64{"b": 2, "c": 2})
		for name, got := range p.received {
			if len(got) != 2 || got[0].Base != 0 || got[0].RelayRequested || got[1].RelayRequested {
				t.Fatalf("%s was sent %+v", name, got)
			}
		}
		// The second report arrived at this core in full, so it was relayed in full.
		p.reportDifference(t, "e", 3)
		time.Sleep(200 * time.Millisecond)
		p.checkDemand(t, "e", map[string]uint64{"b": 3, "c": 3})
		if last := p.received["b"][2]; last.Base != 2 || len(last.Demand) != 1 {
			t.Errorf("b was sent %+v", last)
		}
	})
}

// A report with newly waiting requests is relayed immediately.
func TestNewlyWaitingRequestsAreRelayedImmediately(t *testing.T) {
	runWithPeers(t, func(t *testing.T, p *testPeers) {
		time.Sleep(10 * time.Millisecond)
		r := demandReport("e", 1)
		r.Waiting = map[string]int{"m": 1}
		now := p.clock.Since()
		p.report(t, r)
		synctest.Wait()
		p.checkDemand(t, "e", map[string]uint64{"b": 1, "c": 1})
		if took := p.lastReceivedAt["b"] - now; took != 0 {
			t.Errorf("relaying took %v", took)
		}
	})
}

// Guards against a core without spare processor time sending a batch to each other core for every report with a miss.
func TestBusyCoreRelaysMissesInRegularRounds(t *testing.T) {
	runWithPeers(t, func(t *testing.T, p *testPeers) {
		p.busy.Store(true)
		p.responseDelay = 5 * time.Millisecond
		const misses = 20
		for i := range misses {
			r := demandReport(fmt.Sprint("e", i), 1)
			r.Waiting = map[string]int{"m": 1}
			p.report(t, r)
			time.Sleep(roundInterval / misses)
		}
		time.Sleep(2 * roundInterval)
		if batches := p.batchesTo("b"); batches > 3 {
			t.Errorf("%d batches for the misses of one round, want at most 3", batches)
		}
		p.checkDemand(t, fmt.Sprint("e", misses-1), map[string]uint64{"b": 1, "c": 1})
	})
}

// Requests that wait for the same items as in the previous report are relayed in the next regular round. Guards
// against a batch for each report of each edge while requests wait all the time.
func TestOnlyNewlyWaitingItemsTriggerAnEarlyRound(t *testing.T) {
	for name, c := range map[string]struct {
		waiting map[string]int
		early   bool
	}{
		"the same":         {map[string]int{"m": 1}, false},
		"more for it":      {map[string]int{"m": 9}, false},
		"nothing any more": {nil, false},
		"another too":      {map[string]int{"m": 1, "n": 1}, true},
		"another":          {map[string]int{"n": 1}, true},
	} {
		runWithPeers(t, func(t *testing.T, p *testPeers) {
			r := demandReport("e", 1)
			r.Waiting = map[string]int{"m": 1}
			p.report(t, r)
			time.Sleep(roundInterval + roundInterval/10)
			r = demandReport("e", 2)
			r.Waiting = c.waiting
			now := p.clock.Since()
			p.report(t, r)
			time.Sleep(roundInterval)
			p.checkDemand(t, "e", map[string]uint64{"b": 2, "c": 2})
			if took := p.lastReceivedAt["b"] - now; (took == 0) != c.early {
				t.Errorf("%s: relaying took %v", name, took)
			}
		})
	}
}

// A report with newly waiting requests is also relayed early when a batch to the peer is in flight: an early
// round follows as soon as the peer responds.
func TestEarlyRoundFollowsABatchInFlight(t *testing.T) {
	runWithPeers(t, func(t *testing.T, p *testPeers) {
		p.responseDelay = 20 * time.Millisecond
		r := demandReport("e", 1)
		r.Waiting = map[string]int{"m": 1}
		p.report(t, r)
		time.Sleep(5 * time.Millisecond)
		r = demandReport("f", 1)
		r.Waiting = map[string]int{"m": 1}
		now := p.clock.Since()
		p.report(t, r)
		time.Sleep(3 * p.responseDelay)
		p.checkDemand(t, "f", map[string]uint64{"b": 1, "c": 1})
		if took := p.lastReceivedAt["b"] - now; took > 2*p.responseDelay {
			t.Errorf("relaying took %v", took)
		}
	})
}

// A core that does not respond is not confirmed. When it responds again it receives the reports it lacks, in full
// if it lost its table.
func TestUnresponsiveCoreIsNotConfirmed(t *testing.T) {
	for _, lost := range []bool{false, true} {
		runWithPeers(t, func(t *testing.T, p *testPeers) {
			n, confirmed := uint64(0), ""
			reportFor := func(seconds int) {
				for range 2 * seconds {
					n++
					confirmed = p.report(t, demandReport("e", n))
					time.Sleep(500 * time.Millisecond)
				}
			}
			reportFor(2)
			if confirmed != "b c" {
				t.Fatalf("confirmed cores: %q", confirmed)
			}
			p.setSilent("b", true)
			reportFor(3)
			if confirmed != "c" {
				t.Errorf("confirmed cores while b does not respond: %q", confirmed)
			}
			p.checkDemand(t, "e", map[string]uint64{"c": n})
			if p.setSilent("b", false); lost {
				p.restart("b")
			}
			reportFor(3)
			if confirmed != "b c" {
				t.Errorf("confirmed cores after b responds again: %q", confirmed)
			}
			p.checkDemand(t, "e", map[string]uint64{"b": n, "c": n})
		})
	}
}

// A core that restarted in between rejects deltas, since it has no base for them, and receives full reports.
func TestRestartedCoreReceivesFullReports(t *testing.T) {
	runWithPeers(t, func(t *testing.T, p *testPeers) {
		first := demandReport("e", 1)
		p.report(t, first)
		time.Sleep(200 * time.Millisecond)
		p.restart("b")
		for n := uint64(2); n <= 4; n++ {
			p.reportDifference(t, "e", n)
			time.Sleep(300 * time.Millisecond)
		}
		p.checkDemand(t, "e", map[string]uint64{"b": 4, "c": 4})
		if got := p.tables["b"].Get("e").Demand["other"]; got != 1 {
			t.Errorf("b has %d requests for the unchanged item, want 1", got)
		}
	})
}

// Reports are not relayed after the agent stops asking for it, nor reports from before a pause of this core.
func TestOutdatedReportsAreNotRelayed(t *testing.T) {
	runWithPeers(t, func(t *testing.T, p *testPeers) {
		p.report(t, demandReport("e", 1))
		time.Sleep(250 * time.Millisecond) // between two rounds
		direct := demandReport("e", 2)
		direct.RelayRequested = false
		if got := p.report(t, direct); got != "" {
			t.Errorf("confirmed cores: %q", got)
		}
		time.Sleep(300 * time.Millisecond)
		p.checkDemand(t, "e", map[string]uint64{"b": 1, "c": 1})

		p.report(t, demandReport("f", 1))
		p.group.Freeze()
		time.Sleep(3 * time.Second)
		p.group.Thaw()
		time.Sleep(time.Second)
		p.checkDemand(t, "f", map[string]uint64{"b": 0, "c": 0})
	})
}

// Many large reports are split into several batches.
func TestBatchSizeIsBounded(t *testing.T) {
	runWithPeers(t, func(t *testing.T, p *testPeers) {
		const agents, items = 40, 2000
		for a := range agents {
			r := demandReport(fmt.Sprint("e", a), 1)
			for i := range items {
				r.Demand[fmt.Sprint("item-of-some-length-", i)] = uint64(i)
			}
			p.report(t, r)
		}
		time.Sleep(time.Second)
		for a := range agents {
			p.checkDemand(t, fmt.Sprint("e", a), map[string]uint64{"b": 1, "c": 1})
		}
		one := len(wire.Marshal(p.own.Get("e1").Report))
		if p.largestBatch > batchSizeLimit+one {
			t.Errorf("the largest batch has %d bytes, above the limit", p.largestBatch)
		}
		if p.largestBatch < batchSizeLimit/2 {
			t.Errorf("the largest batch has %d bytes: the test does not reach the bound", p.largestBatch)
		}
	})
}

// The readable reports of a batch are stored when others cannot be decoded or lack their base.
func TestUnreadableReportsAreRejected(t *testing.T) {
	table := report.NewTable()
	good := wire.Marshal(report.Report{Agent: "e", Boot: "x", Version: 1})
	b := Batch{}
	b.Reports = append(b.Reports, []byte{0x01}, good, wire.Marshal(report.Report{Agent: "f", Boot: "x", Version: 2, Base: 1}))
	got, err := Apply(t.Context(), b, putInto(table))
	if err != nil || !slices.Equal(got.Rejected, []int{0, 2}) || table.Get("e").Version != 1 {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := Apply(t.Context(), b, func(context.Context, []report.Report) ([]report.Outcome, error) { return nil, io.EOF }); err == nil {
		t.Error("Apply returned no error although put failed")
	}
}

func putInto(table *report.Table) func(context.Context, []report.Report) ([]report.Outcome, error) {
	return func(_ context.Context, all []report.Report) (out []report.Outcome, err error) {
		for _, r := range all {
			out = append(out, table.Put(r, 0))
		}
		return out, nil
	}
}
