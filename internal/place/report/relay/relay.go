// Package relay passes reports of agents on to the other cores. In a large fleet
// an agent reports to one core, which asks for a relay; the relay of that core sends what
// is new to every other core, in one batch for all its agents, and vouches to each agent
// for the cores that have taken its report. An agent tells those itself that nobody vouches for.
//
// The relay keeps no reports of its own and decides nothing: it reads the core's
// table, and whatever it loses the agents make good.
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/place/report"
)

const (
	// roundEvery is the time between two rounds of batches. A report by which requests wait for
	// an item that they did not wait for in the one before does not wait for the next.
	roundInterval = 100 * time.Millisecond
	// answerWithin is how long a core may take to answer a batch.
	sendTimeout = 900 * time.Millisecond
	// askedFor is how long an agent's report is passed on after the agent last asked for it.
	requestTTL = 1500 * time.Millisecond
	// vouchedFor is how long after a core has taken an agent's report it is vouched for.
	confirmationTTL = 1200 * time.Millisecond
	// batchBytes is the size from which a batch takes no more reports; the rest goes with the next.
	batchSizeLimit = 256 << 10
)

// Deps is what a relay needs from its core.
type Deps struct {
	Group *run.Group
	Clock tick.Clock
	// Cores are the live cores, this one among them.
	Cores func() []member.Node
	Self  string // this core's name
	// Newest is the newest report of an agent.
	LatestReport func(agent string) report.Received
	Send         func(ctx context.Context, addr string, b Batch) (Response, error)
	// Busy says that this core has no processor time to spare; nil is never.
	Busy func() bool
}

// Relay passes on the reports of the agents that ask this core for it.
type Relay struct {
	deps          Deps
	actor         *run.Actor
	earlyRound    *run.Trigger
	lastRequested map[string]time.Duration // by agent: when it last asked
	waiting       map[string]waitCounts    // by agent that asks
	peers         map[string]*peer         // the other cores, by address
	agentCount    atomic.Int64             // of the agents that ask
}

// peer is another core as the relay knows it.
type peer struct {
	name         string
	sending      bool                // a batch is under way
	skippedRound bool                // a round has passed it over for that
	delivered    map[string]delivery // by agent
}

// waiting is how many requests wait for each item at an edge.
type waitCounts map[string]int

// isNew says that an item is waited for that was not in the report before.
func (w waitCounts) hasNewItem(before waitCounts) bool {
	for item := range w {
		if before[item] == 0 {
			return true
		}
	}
	return false
}

// taken is the newest report of an agent that a peer has taken.
type delivery struct {
	report report.Report
	sentAt time.Duration // when it was sent
}

// New passes nothing on until an agent asks.
func New(d Deps) *Relay {
	r := &Relay{deps: d, lastRequested: map[string]time.Duration{}, waiting: map[string]waitCounts{}, peers: map[string]*peer{}}
	r.actor = run.NewActor(d.Group, 256, roundInterval, r.round)
	r.earlyRound = run.NewTrigger(r.actor, r.round)
	return r
}

// Agents is how many agents' reports are passed on.
func (r *Relay) Agents() int64 { return r.agentCount.Load() }

// Reported is told of a report that this core has taken from its agent, and gives the
// keys of the cores that it vouches for: they have the agent's report of a moment before.
func (r *Relay) OnReport(ctx context.Context, rep report.Report) ([]uint32, error) {
	// Why: in a small fleet nobody asks, and there is nothing to forget.
	if !rep.RelayRequested && r.Agents() == 0 {
		return nil, nil
	}
	var vouched []uint32
	urgent := false
	err := r.actor.Do(ctx, func() {
		defer func() { r.agentCount.Store(int64(len(r.lastRequested))) }()
		if !rep.RelayRequested {
			delete(r.lastRequested, rep.Agent)
			delete(r.waiting, rep.Agent)
			return
		}
		now := r.deps.Clock.Since()
		r.lastRequested[rep.Agent] = now
		urgent = waitCounts(rep.Waiting).hasNewItem(r.waiting[rep.Agent])
		r.waiting[rep.Agent] = rep.Waiting
		if rep.Base == 0 {
			// Why: whatever went wrong with differences ends with a whole report, at every core.
			r.discardBase(rep.Agent)
		}
		vouched = r.confirmedCores(rep.Agent, now)
	})
	if err == nil && urgent {
		r.requestEarlyRound()
	}
	return vouched, err
}

// outOfTurn has a round at once. Why: where most reports tell of a miss, a batch for each is more work than all of them
// in the next round; a core without time to spare sends no more than its rounds.
func (r *Relay) requestEarlyRound() {
	if r.deps.Busy == nil || !r.deps.Busy() {
		r.earlyRound.Fire()
	}
}

// forget has a whole report of an agent sent next. The cores are vouched for all the same.
func (r *Relay) discardBase(agent string) {
	for _, p := range r.peers {
		if has, found := p.delivered[agent]; found {
			p.delivered[agent] = delivery{sentAt: has.sentAt}
		}
	}
}

func (r *Relay) confirmedCores(agent string, now time.Duration) []uint32 {
	var out []uint32
	for _, p := range r.peers {
		if has, found := p.delivered[agent]; found && now-has.sentAt < confirmationTTL {
			out = append(out, CoreKey(p.name))
		}
	}
	return out
}

// round sends every other core what it does not have.
func (r *Relay) round() {
	if len(r.lastRequested) == 0 {
		return
	}
	now := r.deps.Clock.Since()
	newest := r.reportsToRelay(now)
	r.updatePeers()
	packed := map[encodingKey]cbor.RawMessage{}
	for addr, p := range r.peers {
		if p.sending {
			p.skippedRound = true
			continue
		}
		if b, of := p.nextBatch(newest, packed); len(of) > 0 {
			r.send(addr, p, b, of, now)
		}
	}
}

// newest is the reports that are to be passed on.
func (r *Relay) reportsToRelay(now time.Duration) []report.Report {
	var out []report.Report
	for agent, at := range r.lastRequested {
		if now-at >= requestTTL {
			delete(r.lastRequested, agent)
			delete(r.waiting, agent)
			for _, p := range r.peers {
				delete(p.delivered, agent)
			}
			continue
		}
		// Why: a core that stood still must not pass on what was true before.
		if d := r.deps.LatestReport(agent); d.Version > 0 && now-d.At < requestTTL {
			out = append(out, d.Report)
		}
	}
	r.agentCount.Store(int64(len(r.lastRequested)))
	return out
}

// follow takes up the cores that are new and lets go of those that are gone.
func (r *Relay) updatePeers() {
	live := map[string]bool{}
	for _, n := range r.deps.Cores() {
		if n.Name == r.deps.Self {
			continue
		}
		live[n.Addr] = true
		if p := r.peers[n.Addr]; p == nil || p.name != n.Name {
			r.peers[n.Addr] = &peer{name: n.Name, delivered: map[string]delivery{}}
		}
	}
	for addr := range r.peers {
		if !live[addr] {
			delete(r.peers, addr)
		}
	}
}

// variant is a form of an agent's report: whole, or the difference from a version.
type encodingKey struct {
	agent string
	base  uint64 // 0 is the whole report
}

// batch is what a peer does not have, and the reports that are in it.
func (p *peer) nextBatch(newest []report.Report, packed map[encodingKey]cbor.RawMessage) (b Batch, of []report.Report) {
	size := 0
	for _, latest := range newest {
		base := p.delivered[latest.Agent].report
		if base.Boot != latest.Boot {
			base = report.Report{}
		}
		if base.Version == latest.Version || size >= batchSizeLimit {
			continue
		}
		form := encodingKey{latest.Agent, base.Version}
		if _, done := packed[form]; !done {
			packed[form] = encode(latest, base)
		}
		b.Reports, of = append(b.Reports, packed[form]), append(of, latest)
		size += len(packed[form])
	}
	return b, of
}

// pack packs a report for a core that has another, or none.
func encode(latest, base report.Report) cbor.RawMessage {
	latest.RelayRequested = false // it goes no further
	if base.Version == 0 {
		return wire.Marshal(latest)
	}
	return wire.Marshal(latest.DeltaWithInflight(base))
}

// send sends a batch with the reports of it.
func (r *Relay) send(addr string, p *peer, b Batch, of []report.Report, now time.Duration) {
	p.sending = true
	r.deps.Group.Go(func(ctx context.Context) {
		one, cancel := context.WithTimeout(ctx, sendTimeout)
		got, err := r.deps.Send(one, addr, b)
		cancel()
		_ = r.actor.Do(ctx, func() {
			p.sending = false
			if p.skippedRound {
				p.skippedRound = false
				r.requestEarlyRound()
			}
			// Why: whether it was taken is not known without an answer; the next batch shows it.
			if err == nil {
				p.recordDelivery(of, got, now)
			}
		})
	})
}

// settle notes what a peer has taken of a batch.
func (p *peer) recordDelivery(of []report.Report, got Response, at time.Duration) {
	not := map[int]bool{}
	for _, i := range got.Rejected {
		not[i] = true
	}
	for i, rep := range of {
		if not[i] {
			delete(p.delivered, rep.Agent)
			continue
		}
		p.delivered[rep.Agent] = delivery{rep, at}
	}
}
