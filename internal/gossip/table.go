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
type record struct {
	entry      Entry
	seq        uint64 // grows with each change of the table
	roundsLeft int    // times it is still to be passed on
	origin     origin
	updatedAt  time.Time
	element    *list.Element // in the order of changes
}

// Table holds the news of one node. It is read on the path of requests, so it
// is a locked map whose changes wake those who follow it. Its methods may be called
// from anywhere.
type Table struct {
	mu           sync.Mutex
	records      map[string]*record
	pending      map[string]*record
	changes      changeLog
	seq          uint64
	sums         [numBuckets][sha256.Size]byte
	changed      chan struct{}
	dropped      atomic.Int64
	updateFuncs  []func(Entry)
	rounds       atomic.Pointer[roundsByOrigin]
	localPutFunc atomic.Pointer[func()]
}

// NewTable makes a table that knows nothing.
func NewTable() *Table {
	t := &Table{records: map[string]*record{}, pending: map[string]*record{}, changed: make(chan struct{})}
	t.rounds.Store(&gossipRounds)
	return t
}

// OnNew calls f with every entry that is newer than what was known. Name all
// of them before the table is in use.
func (t *Table) OnUpdate(f func(Entry)) { t.updateFuncs = append(t.updateFuncs, f) }

// Put takes an entry of this node's own making if it is newer than what is known,
// and says whether it was; it is passed on at once.
func (t *Table) Put(e Entry) bool {
	if !t.put(e, originLocal) {
		return false
	}
	if f := t.localPutFunc.Load(); f != nil {
		(*f)()
	}
	return true
}

// Learn takes an entry that a peer told, and says whether it was newer.
func (t *Table) PutRemote(e Entry) bool { return t.put(e, originPeer) }

// put takes an entry if it is newer than what is known, and tells who asked for that.
func (t *Table) put(e Entry, from origin) bool {
	if !t.apply(e, from) {
		return false
	}
	for _, f := range t.updateFuncs {
		f(e)
	}
	return true
}

// enter changes the table alone.
func (t *Table) apply(e Entry, from origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.records[e.Key]
	// Why: news never runs backwards, whoever tells it.
	// A removed key that is not known needs no remembering, or purged ones would come back for ever.
	if e.Key == "" || e.ValueOmitted || old == nil && e.Deleted && !keepsTombstone(e.Key) || old != nil && !e.Stamp.Newer(old.entry.Stamp) {
		return false
	}
	if old == nil && len(t.records) >= maxEntries {
		t.dropped.Add(1)
		return false
	}
	b := bucketOf(e.Key)
	if old != nil {
		xorInto(&t.sums[b], hashOf(old.entry))
	}
	xorInto(&t.sums[b], hashOf(e))
	t.seq++
	h := &record{entry: e, seq: t.seq, roundsLeft: t.rounds.Load()[from], origin: from, updatedAt: time.Now()}
	t.records[e.Key], t.pending[e.Key] = h, h
	t.changes.append(old, h)
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// Get gives the newest value of a key.
func (t *Table) Get(key string) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.records[key]
	if h == nil || h.entry.Deleted {
		return Entry{}, false
	}
	return h.entry, true
}

// StampOf gives the newest stamp of a key, of removed ones too.
func (t *Table) StampOf(key string) state.Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.records[key]; h != nil {
		return h.entry.Stamp
	}
	return state.Stamp{}
}

// List gives the entries whose keys start with prefix.
func (t *Table) List(prefix string) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for k, h := range t.records {
		if !h.entry.Deleted && strings.HasPrefix(k, prefix) {
			out = append(out, h.entry)
		}
	}
	return out
}

// Len is the number of entries and of those refused because the table was full.
func (t *Table) Len() (int, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records), t.dropped.Load()
}

// Purge forgets keys that were removed longer ago than age, but for those that
// must be remembered for good.
func (t *Table) Purge(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, h := range t.records {
		if h.entry.Deleted && !keepsTombstone(k) && time.Since(h.updatedAt) > age {
			xorInto(&t.sums[bucketOf(k)], hashOf(h.entry))
			delete(t.records, k)
			t.changes.remove(h)
			delete(t.pending, k)
		}
	}
}
