// Package relay forwards reports of agents to the other cores. In a large fleet an agent sends its
// report to one core and asks for a relay. The relay of that core sends new reports to every other
// core, in one batch for all its agents, and confirms to each agent which cores have accepted its
// report. The agent itself reports to the cores that are not confirmed.
//
// The relay owns no authoritative state and takes no decisions: it reads the core's report table, and the
// agents make up for whatever it loses.
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
	// roundInterval is the time between two rounds of batches. A report with requests waiting for an item
	// that had none waiting in the previous report is sent in an early round.
	roundInterval = 100 * time.Millisecond
	// sendTimeout is the time limit for a core's response to a batch.
	sendTimeout = 900 * time.Millisecond
	// requestTTL is how long an agent's reports are relayed after its last request for it.
	requestTTL = 1500 * time.Millisecond
	// confirmationTTL is how long a core stays confirmed after an accepted report was sent to it.
	confirmationTTL = 1200 * time.Millisecond
	// batchSizeLimit is the size in bytes from which a batch takes no more reports; the rest goes into the next batch.
	batchSizeLimit = 256 << 10
)

// Deps holds the dependencies of a relay.
type Deps struct {
	Group *run.Group
	Clock tick.Clock
	// Cores returns the live cores, including this one.
	Cores func() []member.Node
	Self  string // this core's name
	// LatestReport returns the latest report of an agent.
	LatestReport func(agent string) report.Received
	// Send sends a batch to the core at an address.
	Send func(ctx context.Context, addr string, b Batch) (Response, error)
	// Busy reports whether this core has no spare processor time; nil means never.
	Busy func() bool
}

// Relay forwards the reports of the agents that ask this core for it.
type Relay struct {
	deps          Deps
	actor         *run.Actor
	earlyRound    *run.Trigger
	lastRequested map[string]time.Duration // by agent: time of its last request to relay
	waiting       map[string]waitCounts    // by relayed agent, from its latest report
	peers         map[string]*peer         // the other cores, by address
	agentCount    atomic.Int64             // len(lastRequested), readable outside the actor
}

// peer is the delivery state of another core.
type peer struct {
	name         string
	sending      bool                // a batch is in flight
	skippedRound bool                // a round skipped the peer because of that
	delivered    map[string]delivery // by agent: last accepted report
}

// waitCounts is the number of waiting requests at an edge by item.
type waitCounts map[string]int

// hasNewItem reports whether requests wait for an item that none waited for in the previous report.
func (w waitCounts) hasNewItem(before waitCounts) bool {
	for item := range w {
		if before[item] == 0 {
			return true
		}
	}
	return false
}

// delivery is the latest report of an agent that a peer has accepted.
type delivery struct {
	report report.Report
	sentAt time.Duration // when the report was sent
}

// New starts a relay. It sends nothing until an agent asks for it.
func New(d Deps) *Relay {
	r := &Relay{deps: d, lastRequested: map[string]time.Duration{}, waiting: map[string]waitCounts{}, peers: map[string]*peer{}}
	r.actor = run.NewActor(d.Group, 256, roundInterval, r.round)
	r.earlyRound = run.NewTrigger(r.actor, r.round)
	return r
}

// Agents returns the number of agents whose reports are relayed.
func (r *Relay) Agents() int64 { return r.agentCount.Load() }

// OnReport registers a report that this core has stored from its agent. It returns the keys of the
// confirmed cores, which hold a recent report of the agent.
func (r *Relay) OnReport(ctx context.Context, rep report.Report) ([]uint32, error) {
	// In a small fleet no agent asks for a relay and there is no state to remove.
	if !rep.RelayRequested && r.Agents() == 0 {
		return nil, nil
	}
	var confirmed []uint32
	hasNewItem := false
	err := r.actor.Do(ctx, func() {
		defer func() { r.agentCount.Store(int64(len(r.lastRequested))) }()
		if !rep.RelayRequested {
			delete(r.lastRequested, rep.Agent)
			delete(r.waiting, rep.Agent)
			return
		}
		now := r.deps.Clock.Since()
		r.lastRequested[rep.Agent] = now
		hasNewItem = waitCounts(rep.Waiting).hasNewItem(r.waiting[rep.Agent])
		r.waiting[rep.Agent] = rep.Waiting
		if rep.Base == 0 {
			// A full report from the agent resets every core, so that any inconsistency from deltas ends here.
			r.discardBase(rep.Agent)
		}
		confirmed = r.confirmedCores(rep.Agent, now)
	})
	if err == nil && hasNewItem {
		r.requestEarlyRound()
	}
	return confirmed, err
}

// requestEarlyRound starts a round immediately, unless this core is busy. When most reports contain a miss, a batch
// for each of them is more work than one batch for all in the next round, so a busy core sends only its regular rounds.
func (r *Relay) requestEarlyRound() {
	if r.deps.Busy == nil || !r.deps.Busy() {
		r.earlyRound.Fire()
	}
}

// discardBase makes the next relayed report of an agent a full one. The cores stay confirmed.
func (r *Relay) discardBase(agent string) {
	for _, p := range r.peers {
		if has, found := p.delivered[agent]; found {
			p.delivered[agent] = delivery{sentAt: has.sentAt}
		}
	}
}

// confirmedCores returns the keys of the cores that have accepted a report of the agent within confirmationTTL.
func (r *Relay) confirmedCores(agent string, now time.Duration) []uint32 {
	var out []uint32
	for _, p := range r.peers {
		if has, found := p.delivered[agent]; found && now-has.sentAt < confirmationTTL {
			out = append(out, CoreKey(p.name))
		}
	}
	return out
}

// round sends each other core the reports that it does not have.
func (r *Relay) round() {
	if len(r.lastRequested) == 0 {
		return
	}
	now := r.deps.Clock.Since()
	latest := r.reportsToRelay(now)
	r.updatePeers()
	encoded := map[encodingKey]cbor.RawMessage{}
	for addr, p := range r.peers {
		if p.sending {
			p.skippedRound = true
			continue
		}
		if b, reports := p.nextBatch(latest, encoded); len(reports) > 0 {
			r.send(addr, p, b, reports, now)
		}
	}
}

// reportsToRelay returns the latest reports to relay and removes agents whose request has expired.
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
		// A core that resumes after a pause must not relay outdated reports.
		if d := r.deps.LatestReport(agent); d.Version > 0 && now-d.At < requestTTL {
			out = append(out, d.Report)
		}
	}
	r.agentCount.Store(int64(len(r.lastRequested)))
	return out
}

// updatePeers adds new cores to the peers and removes those that are no longer live.
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

// encodingKey identifies an encoded form of an agent's latest report: full, or a delta from a version.
type encodingKey struct {
	agent string
	base  uint64 // 0 for the full report
}

// nextBatch returns a batch of the reports that the peer does not have, and the full reports it was made from.
// encoded caches encoded reports across peers.
func (p *peer) nextBatch(reports []report.Report, encoded map[encodingKey]cbor.RawMessage) (b Batch, included []report.Report) {
	size := 0
	for _, latest := range reports {
		base := p.delivered[latest.Agent].report
		if base.Boot != latest.Boot {
			base = report.Report{}
		}
		if base.Version == latest.Version || size >= batchSizeLimit {
			continue
		}
		key := encodingKey{latest.Agent, base.Version}
		if _, done := encoded[key]; !done {
			encoded[key] = encode(latest, base)
		}
		b.Reports, included = append(b.Reports, encoded[key]), append(included, latest)
		size += len(encoded[key])
	}
	return b, included
}

// encode encodes a report for a core that has base, as a full report if base is empty.
func encode(latest, base report.Report) cbor.RawMessage {
	latest.RelayRequested = false // the receiver does not relay it again
	if base.Version == 0 {
		return wire.Marshal(latest)
	}
	return wire.Marshal(latest.DeltaWithInflight(base))
}

// send sends a batch to a peer and records the delivery of its reports.
func (r *Relay) send(addr string, p *peer, b Batch, reports []report.Report, now time.Duration) {
	p.sending = true
	r.deps.Group.Go(func(ctx context.Context) {
		sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		response, err := r.deps.Send(sendCtx, addr, b)
		cancel()
		_ = r.actor.Do(ctx, func() {
			p.sending = false
			if p.skippedRound {
				p.skippedRound = false
				r.requestEarlyRound()
			}
			// Without a response it is unknown whether the peer accepted the batch; the response to the next batch
			// shows it.
			if err == nil {
				p.recordDelivery(reports, response, now)
			}
		})
	})
}

// recordDelivery records which reports of a batch the peer accepted. A rejected report is sent in full next.
func (p *peer) recordDelivery(reports []report.Report, response Response, sentAt time.Duration) {
	rejected := map[int]bool{}
	for _, i := range response.Rejected {
		rejected[i] = true
	}
	for i, rep := range reports {
		if rejected[i] {
			delete(p.delivered, rep.Agent)
			continue
		}
		p.delivered[rep.Agent] = delivery{rep, sentAt}
	}
}
