package route

import (
	"sync"
	"sync/atomic"
	"time"

	"drumstall.example/internal/conf"
)

// Live counts what this proxy has on a replica; it outlives the snapshots.
type Live struct {
	Inflight    atomic.Int64
	wantsReport atomic.Bool // its report is wanted out of turn
	// elsewhere is how many requests of others it has by its answers, as of the latest renewal of the table.
	othersInflight      atomic.Int64
	lastHint            atomic.Pointer[loadHint]
	pendingPrefill      pendingPrefill
	lastChunkAt         atomic.Int64 // when a piece of an answer came from it last, on our clock
	firstChunkMean      atomic.Int64 // how long a first piece takes, on average of late
	firstChunkDeviation atomic.Int64 // how far that is off, on average of late
	refusedAt           atomic.Int64 // when a connection was refused last, on our clock
	overloadedAt        atomic.Int64 // when it last would not run what it was sent, on our clock
	silentAt            atomic.Int64 // when it last kept us waiting for longer than it does, on our clock
	mu                  sync.Mutex
	itemInflight        map[string]int
	tenantInflight      map[string]int           // requests of each tenant; none without tenants
	missingAt           map[string]time.Duration // items that it has said it does not hold, and when
}

// loadWord is what an answer said of a replica's load.
type loadHint struct {
	others  int // requests there that are not ours
	waiting int // requests there whose prompt has not been read
	at      time.Duration
}

// ofTenant is how many requests of a tenant this proxy has there.
func (l *Live) inflightOfTenant(tenant string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tenantInflight[tenant]
}

// count adds to a count that is forgotten at 0; the caller holds mu.
func addCount(counts map[string]int, name string, by int) {
	if counts[name] += by; counts[name] == 0 {
		delete(counts, name)
	}
}

// wordLasts is how long what an answer said of a replica's load is gone by.
const loadHintTTL = time.Second

// First notes how long a request waited for its first piece. Why: two notes at
// once may lose one of them, which changes next to nothing.
func (l *Live) ObserveFirstChunk(took time.Duration) {
	old, new := l.firstChunkMean.Load(), int64(took)
	if old == 0 {
		l.firstChunkMean.Store(new)
		return
	}
	off := max(new-old, old-new)
	l.firstChunkMean.Store(old + (new-old)/5)
	l.firstChunkDeviation.Store(l.firstChunkDeviation.Load()*4/5 + off/5)
}

// FirstFor is how long a first piece may well take, as seen of late; 0 is not known.
func (l *Live) ExpectedFirstChunk() time.Duration {
	return time.Duration(l.firstChunkMean.Load() + 2*l.firstChunkDeviation.Load())
}

// Patience is how long a first piece is waited for before the silence itself says
// something; 0 is not known.
func (l *Live) FirstChunkTimeout() time.Duration {
	may := l.ExpectedFirstChunk()
	if may == 0 {
		return 0
	}
	return max(firstChunkTimeoutFactor*may, minFirstChunkTimeout)
}

// others is how many requests of others an answer has told of lately.
func (l *Live) hintedOthers(now time.Duration) int {
	w := l.lastHint.Load()
	if w == nil || now-w.at > loadHintTTL {
		return 0
	}
	return w.others
}

// Heard notes what an answer said of a replica's load.
func (k *Router) RecordLoad(r *Replica, running, waiting int) {
	r.Live.lastHint.Store(&loadHint{others: max(0, running+waiting-int(r.Live.Inflight.Load())), waiting: waiting, at: k.clock.Since()})
}

// Silent notes that a replica kept a request waiting for longer than it does; it is
// asked how it is at once.
func (k *Router) RecordSilence(r *Replica) {
	r.Live.silentAt.Store(int64(k.clock.Since()))
	r.Live.wantsReport.Store(true)
}

// quietFor is how long a silence or a refusal counts against a replica that is
// not asked for reports.
const failurePenalty = 400 * time.Millisecond

// answers says that a report asked for later than its last silence has come.
func (r *Replica) isResponsive(now time.Duration) bool {
	if r.Told {
		return now-time.Duration(r.Live.silentAt.Load()) > failurePenalty
	}
	return time.Duration(r.Live.silentAt.Load()) < r.reportedAt
}

// over says that it would not run what it was sent last, and has not been heard since.
func (r *Replica) isOverloaded(now time.Duration) bool {
	if r.Told {
		return now-time.Duration(r.Live.overloadedAt.Load()) < failurePenalty/4
	}
	return time.Duration(r.Live.overloadedAt.Load()) >= r.reportedAt
}

// Full notes that a replica would not run what it was sent; it gets nothing until
// it has been asked how it is.
func (k *Router) RecordOverload(r *Replica) {
	r.Live.overloadedAt.Store(int64(k.clock.Since()))
	r.Live.wantsReport.Store(true)
}

// HeardFrom notes that a piece of an answer came from a replica.
func (k *Router) RecordChunk(r *Replica) { r.Live.lastChunkAt.Store(int64(k.clock.Since())) }

// aliveFor is how long a replica counts as alive after a piece of any answer.
const aliveWindow = 400 * time.Millisecond

// Alive says that a piece of an answer came from a replica just now.
func (k *Router) Alive(r *Replica) bool {
	return k.clock.Since()-time.Duration(r.Live.lastChunkAt.Load()) < aliveWindow
}

// missingFor is how long a replica's word that it does not hold an item counts.
const missingTTL = 300 * time.Millisecond

// Missing notes that a replica said it does not hold an item; it gets no request
// for it until its controller's word changes.
func (k *Router) RecordMissing(r *Replica, item conf.Item) {
	now := k.clock.Since()
	r.Live.mu.Lock()
	defer r.Live.mu.Unlock()
	if r.Live.missingAt == nil {
		r.Live.missingAt = map[string]time.Duration{}
	}
	r.Live.missingAt[item.String()] = now
}

// lacks says that a replica has just said that it does not hold an item.
func (l *Live) reportedMissing(item string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, found := l.missingAt[item]
	return found && now-at < missingTTL
}

// refusedFor is how long a replica that took no connection is left out.
const refusedBackoff = time.Second

// Refused notes that a replica took no connection; it is left out for a moment.
func (k *Router) RecordConnectionRefused(r *Replica) { r.Live.refusedAt.Store(int64(k.clock.Since())) }
