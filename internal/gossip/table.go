package gossip

import (
	"container/list"
	"crypto/sha256"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"drumstall.example/internal/state"
)

// held is one fact as this node knows it.
type held struct {
	e     Entry
	seq   uint64 // grows with each change of the table
	tell  int    // times it is still to be passed on
	from  origin
	at    time.Time
	place *list.Element // in the order of changes
}

// Table holds the news of one node. It is read on the path of requests, so it
// is a locked map whose changes wake those who follow it. Its methods may be called
// from anywhere.
type Table struct {
	mu      sync.Mutex
	m       map[string]*held
	hot     map[string]*held
	changes changes
	seq     uint64
	sums    [buckets][sha256.Size]byte
	changed chan struct{}
	dropped atomic.Int64
	onNew   []func(Entry)
	rounds  atomic.Pointer[rounds]
	onOwn   atomic.Pointer[func()]
}

// NewTable makes a table that knows nothing.
func NewTable() *Table {
	t := &Table{m: map[string]*held{}, hot: map[string]*held{}, changed: make(chan struct{})}
	t.rounds.Store(&gossipRounds)
	return t
}

// OnNew calls f with every entry that is newer than what was known. Name all
// of them before the table is in use.
func (t *Table) OnNew(f func(Entry)) { t.onNew = append(t.onNew, f) }

// Put takes an entry of this node's own making if it is newer than what is known,
// and says whether it was; it is passed on at once.
func (t *Table) Put(e Entry) bool {
	if !t.put(e, own) {
		return false
	}
	if f := t.onOwn.Load(); f != nil {
		(*f)()
	}
	return true
}

// Learn takes an entry that a peer told, and says whether it was newer.
func (t *Table) Learn(e Entry) bool { return t.put(e, fromPeer) }

// put takes an entry if it is newer than what is known, and tells who asked for that.
func (t *Table) put(e Entry, from origin) bool {
	if !t.enter(e, from) {
		return false
	}
	for _, f := range t.onNew {
		f(e)
	}
	return true
}

// enter changes the table alone.
func (t *Table) enter(e Entry, from origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.m[e.Key]
	// Why: news never runs backwards, whoever tells it.
	// A removed key that is not known needs no remembering, or purged ones would come back for ever.
	if e.Key == "" || e.Head || old == nil && e.Gone && !lasting(e.Key) || old != nil && !e.Stamp.Newer(old.e.Stamp) {
		return false
	}
	if old == nil && len(t.m) >= maxEntries {
		t.dropped.Add(1)
		return false
	}
	b := bucketOf(e.Key)
	if old != nil {
		xor(&t.sums[b], sumOf(old.e))
	}
	xor(&t.sums[b], sumOf(e))
	t.seq++
	h := &held{e: e, seq: t.seq, tell: t.rounds.Load()[from], from: from, at: time.Now()}
	t.m[e.Key], t.hot[e.Key] = h, h
	t.changes.moved(old, h)
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// Get gives the newest value of a key.
func (t *Table) Get(key string) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.m[key]
	if h == nil || h.e.Gone {
		return Entry{}, false
	}
	return h.e, true
}

// StampOf gives the newest stamp of a key, of removed ones too.
func (t *Table) StampOf(key string) state.Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.m[key]; h != nil {
		return h.e.Stamp
	}
	return state.Stamp{}
}

// List gives the entries whose keys start with prefix.
func (t *Table) List(prefix string) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for k, h := range t.m {
		if !h.e.Gone && strings.HasPrefix(k, prefix) {
			out = append(out, h.e)
		}
	}
	return out
}

// Len is the number of entries and of those refused because the table was full.
func (t *Table) Len() (int, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.m), t.dropped.Load()
}

// Purge forgets keys that were removed longer ago than age, but for those that
// must be remembered for good.
func (t *Table) Purge(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, h := range t.m {
		if h.e.Gone && !lasting(k) && time.Since(h.at) > age {
			xor(&t.sums[bucketOf(k)], sumOf(h.e))
			delete(t.m, k)
			t.changes.forget(h)
			delete(t.hot, k)
		}
	}
}
