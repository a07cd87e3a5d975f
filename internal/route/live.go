package route

import (
	"sync"
	"sync/atomic"
	"time"

	"drumstall.example/internal/conf"
)

// Live counts what this proxy has on a replica; it outlives the snapshots.
type Live struct {
	Inflight atomic.Int64
	look     atomic.Bool // its report is wanted out of turn
	// elsewhere is how many requests of others it has by its answers, as of the latest renewal of the table.
	elsewhere atomic.Int64
	load      atomic.Pointer[loadWord]
	unread    unread
	heardAt   atomic.Int64 // when a piece of an answer came from it last, on our clock
	first     atomic.Int64 // how long a first piece takes, on average of late
	strays    atomic.Int64 // how far that is off, on average of late
	refused   atomic.Int64 // when a connection was refused last, on our clock
	over      atomic.Int64 // when it last would not run what it was sent, on our clock
	silent    atomic.Int64 // when it last kept us waiting for longer than it does, on our clock
	mu        sync.Mutex
	items     map[string]int
	tenants   map[string]int           // requests of each tenant; none without tenants
	missing   map[string]time.Duration // items that it has said it does not hold, and when
}

// loadWord is what an answer said of a replica's load.
type loadWord struct {
	others  int // requests there that are not ours
	waiting int // requests there whose prompt has not been read
	at      time.Duration
}

// ofTenant is how many requests of a tenant this proxy has there.
func (l *Live) ofTenant(tenant string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tenants[tenant]
}

// count adds to a count that is forgotten at 0; the caller holds mu.
func count(counts map[string]int, name string, by int) {
	if counts[name] += by; counts[name] == 0 {
		delete(counts, name)
	}
}

// wordLasts is how long what an answer said of a replica's load is gone by.
const wordLasts = time.Second

// First notes how long a request waited for its first piece. Why: two notes at
// once may lose one of them, which changes next to nothing.
func (l *Live) First(took time.Duration) {
	old, new := l.first.Load(), int64(took)
	if old == 0 {
		l.first.Store(new)
		return
	}
	off := max(new-old, old-new)
	l.first.Store(old + (new-old)/5)
	l.strays.Store(l.strays.Load()*4/5 + off/5)
}

// FirstFor is how long a first piece may well take, as seen of late; 0 is not known.
func (l *Live) FirstFor() time.Duration { return time.Duration(l.first.Load() + 2*l.strays.Load()) }

// Patience is how long a first piece is waited for before the silence itself says
// something; 0 is not known.
func (l *Live) Patience() time.Duration {
	may := l.FirstFor()
	if may == 0 {
		return 0
	}
	return max(patient*may, leastPatience)
}

// others is how many requests of others an answer has told of lately.
func (l *Live) others(now time.Duration) int {
	w := l.load.Load()
	if w == nil || now-w.at > wordLasts {
		return 0
	}
	return w.others
}

// Heard notes what an answer said of a replica's load.
func (k *Keeper) Heard(r *Replica, running, waiting int) {
	r.Live.load.Store(&loadWord{others: max(0, running+waiting-int(r.Live.Inflight.Load())), waiting: waiting, at: k.clock.Since()})
}

// Silent notes that a replica kept a request waiting for longer than it does; it is
// asked how it is at once.
func (k *Keeper) Silent(r *Replica) {
	r.Live.silent.Store(int64(k.clock.Since()))
	r.Live.look.Store(true)
}

// quietFor is how long a silence or a refusal counts against a replica that is
// not asked for reports.
const quietFor = 400 * time.Millisecond

// answers says that a report asked for later than its last silence has come.
func (r *Replica) answers(now time.Duration) bool {
	if r.Told {
		return now-time.Duration(r.Live.silent.Load()) > quietFor
	}
	return time.Duration(r.Live.silent.Load()) < r.heard
}

// over says that it would not run what it was sent last, and has not been heard since.
func (r *Replica) over(now time.Duration) bool {
	if r.Told {
		return now-time.Duration(r.Live.over.Load()) < quietFor/4
	}
	return time.Duration(r.Live.over.Load()) >= r.heard
}

// Full notes that a replica would not run what it was sent; it gets nothing until
// it has been asked how it is.
func (k *Keeper) Full(r *Replica) {
	r.Live.over.Store(int64(k.clock.Since()))
	r.Live.look.Store(true)
}

// HeardFrom notes that a piece of an answer came from a replica.
func (k *Keeper) HeardFrom(r *Replica) { r.Live.heardAt.Store(int64(k.clock.Since())) }

// aliveFor is how long a replica counts as alive after a piece of any answer.
const aliveFor = 400 * time.Millisecond

// Alive says that a piece of an answer came from a replica just now.
func (k *Keeper) Alive(r *Replica) bool {
	return k.clock.Since()-time.Duration(r.Live.heardAt.Load()) < aliveFor
}

// missingFor is how long a replica's word that it does not hold an item counts.
const missingFor = 300 * time.Millisecond

// Missing notes that a replica said it does not hold an item; it gets no request
// for it until its controller's word changes.
func (k *Keeper) Missing(r *Replica, item conf.Item) {
	now := k.clock.Since()
	r.Live.mu.Lock()
	defer r.Live.mu.Unlock()
	if r.Live.missing == nil {
		r.Live.missing = map[string]time.Duration{}
	}
	r.Live.missing[item.String()] = now
}

// lacks says that a replica has just said that it does not hold an item.
func (l *Live) lacks(item string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, found := l.missing[item]
	return found && now-at < missingFor
}

// refusedFor is how long a replica that took no connection is left out.
const refusedFor = time.Second

// Refused notes that a replica took no connection; it is left out for a moment.
func (k *Keeper) Refused(r *Replica) { r.Live.refused.Store(int64(k.clock.Since())) }
