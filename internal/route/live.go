package route

import (
	"sync"
	"sync/atomic"
	"time"

	"drumstall.example/internal/conf"
)

// Live is the state that this proxy keeps of a replica across snapshots: its
// in-flight requests and what was observed of the replica's answers.
type Live struct {
	Inflight    atomic.Int64
	wantsReport atomic.Bool // a report is wanted before the next regular poll
	// othersInflight is the number of requests of other edges, by the load hints, as of the last renewal of the table.
	othersInflight      atomic.Int64
	lastHint            atomic.Pointer[loadHint]
	pendingPrefill      pendingPrefill
	lastChunkAt         atomic.Int64 // when it last sent a chunk of an answer, on this proxy's clock
	firstChunkMean      atomic.Int64 // moving average of the time to the first chunk
	firstChunkDeviation atomic.Int64 // moving average of the deviation from that
	refusedAt           atomic.Int64 // when it last refused a connection, on this proxy's clock
	overloadedAt        atomic.Int64 // when it last refused to run a request, on this proxy's clock
	silentAt            atomic.Int64 // when it was last silent for longer than usual, on this proxy's clock
	mu                  sync.Mutex
	itemInflight        map[string]int
	tenantInflight      map[string]int           // in-flight requests of each tenant; empty without tenants
	missingAt           map[string]time.Duration // when it last reported that it does not hold an item
}

// loadHint is the load of a replica as stated in one of its answers.
type loadHint struct {
	others  int // requests on it that are not from this proxy
	waiting int // requests on it that wait for prefill
	at      time.Duration
}

// inflightOfTenant returns the number of in-flight requests of a tenant from this proxy.
func (l *Live) inflightOfTenant(tenant string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tenantInflight[tenant]
}

// addCount adds to a counter and deletes it when it reaches 0. The caller holds mu.
func addCount(counts map[string]int, name string, by int) {
	if counts[name] += by; counts[name] == 0 {
		delete(counts, name)
	}
}

// loadHintTTL is how long a load hint is used.
const loadHintTTL = time.Second

// ObserveFirstChunk records how long a request waited for its first chunk. One of two concurrent
// observations may be lost, which hardly changes the averages.
func (l *Live) ObserveFirstChunk(took time.Duration) {
	old, new := l.firstChunkMean.Load(), int64(took)
	if old == 0 {
		l.firstChunkMean.Store(new)
		return
	}
	deviation := max(new-old, old-new)
	l.firstChunkMean.Store(old + (new-old)/5)
	l.firstChunkDeviation.Store(l.firstChunkDeviation.Load()*4/5 + deviation/5)
}

// ExpectedFirstChunk is an upper estimate of the time to the first chunk, from recent requests; 0 means unknown.
func (l *Live) ExpectedFirstChunk() time.Duration {
	return time.Duration(l.firstChunkMean.Load() + 2*l.firstChunkDeviation.Load())
}

// TooSlowFor reports whether the first chunk of another request is expected only after a given time. Nothing but an answer
// renews the estimate, so a replica without requests in flight is never too slow: one late answer would keep all requests
// away from it for good.
func (l *Live) TooSlowFor(left time.Duration) bool {
	return l.Inflight.Load() > 0 && l.ExpectedFirstChunk() > left
}

// FirstChunkTimeout is how long to wait for a first chunk before the silence is taken as a
// symptom of a stalled replica; 0 means unknown.
func (l *Live) FirstChunkTimeout() time.Duration {
	expected := l.ExpectedFirstChunk()
	if expected == 0 {
		return 0
	}
	return max(firstChunkTimeoutFactor*expected, minFirstChunkTimeout)
}

// hintedOthers returns the number of requests of other edges by the last load hint; 0 if there is no recent one.
func (l *Live) hintedOthers(now time.Duration) int {
	hint := l.lastHint.Load()
	if hint == nil || now-hint.at > loadHintTTL {
		return 0
	}
	return hint.others
}

// RecordLoad stores the load that an answer of a replica stated.
func (rt *Router) RecordLoad(r *Replica, running, waiting int) {
	r.Live.lastHint.Store(&loadHint{others: max(0, running+waiting-int(r.Live.Inflight.Load())), waiting: waiting, at: rt.clock.Since()})
}

// RecordSilence records that a replica kept a request waiting for longer than usual, and requests
// a report from it at once.
func (rt *Router) RecordSilence(r *Replica) {
	r.Live.silentAt.Store(int64(rt.clock.Since()))
	r.Live.wantsReport.Store(true)
}

// failurePenalty is how long a silence counts against a replica that is not polled for reports;
// a refusal counts for a quarter of it.
const failurePenalty = 400 * time.Millisecond

// isResponsive reports whether a report that was requested after the last silence has arrived or,
// for a replica that is not polled, whether the penalty for the silence is over.
func (r *Replica) isResponsive(now time.Duration) bool {
	if r.ViaController {
		return now-time.Duration(r.Live.silentAt.Load()) > failurePenalty
	}
	return time.Duration(r.Live.silentAt.Load()) < r.reportedAt
}

// isOverloaded reports whether the replica refused to run a request and has not reported since or,
// if it is not polled, whether the penalty for that is still in force.
func (r *Replica) isOverloaded(now time.Duration) bool {
	if r.ViaController {
		return now-time.Duration(r.Live.overloadedAt.Load()) < failurePenalty/4
	}
	return time.Duration(r.Live.overloadedAt.Load()) >= r.reportedAt
}

// RecordOverload records that a replica refused to run a request. It is sent nothing
// until it has reported again.
func (rt *Router) RecordOverload(r *Replica) {
	r.Live.overloadedAt.Store(int64(rt.clock.Since()))
	r.Live.wantsReport.Store(true)
}

// RecordChunk records that a chunk of an answer arrived from a replica.
func (rt *Router) RecordChunk(r *Replica) { r.Live.lastChunkAt.Store(int64(rt.clock.Since())) }

// aliveWindow is how long a replica counts as alive after a chunk of any answer.
const aliveWindow = 400 * time.Millisecond

// Alive reports whether a chunk of any answer arrived from a replica within aliveWindow.
func (rt *Router) Alive(r *Replica) bool {
	return rt.clock.Since()-time.Duration(r.Live.lastChunkAt.Load()) < aliveWindow
}

// missingTTL is how long a replica's statement that it does not hold an item counts.
const missingTTL = 300 * time.Millisecond

// RecordMissing records that a replica reported that it does not hold an item. It gets no request
// for the item for missingTTL.
func (rt *Router) RecordMissing(r *Replica, item conf.Item) {
	now := rt.clock.Since()
	r.Live.mu.Lock()
	defer r.Live.mu.Unlock()
	if r.Live.missingAt == nil {
		r.Live.missingAt = map[string]time.Duration{}
	}
	r.Live.missingAt[item.String()] = now
}

// reportedMissing reports whether the replica reported within missingTTL that it does not hold an item.
func (l *Live) reportedMissing(item string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, found := l.missingAt[item]
	return found && now-at < missingTTL
}

// refusedBackoff is how long a replica that refused a connection is left out.
const refusedBackoff = time.Second

// RecordConnectionRefused records that a replica refused a connection. It is left out for refusedBackoff.
func (rt *Router) RecordConnectionRefused(r *Replica) {
	r.Live.refusedAt.Store(int64(rt.clock.Since()))
}
