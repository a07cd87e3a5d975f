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

// record is an entry with this node's bookkeeping.
type record struct {
	entry      Entry
	seq        uint64 // sequence number of the table's change
	roundsLeft int    // rounds in which it is still to be sent
	origin     origin
	updatedAt  time.Time
	element    *list.Element // in the change log
}

// Table holds the entries known to one node. It is read on the request path, so it
// is a map under a lock whose changes wake followers. Its methods are safe for concurrent use.
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

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{records: map[string]*record{}, pending: map[string]*record{}, changed: make(chan struct{})}
	t.rounds.Store(&gossipRounds)
	return t
}

// OnUpdate registers f to be called with every entry that is newer than the known one. All callbacks
// must be registered before the table is in use.
func (t *Table) OnUpdate(f func(Entry)) { t.updateFuncs = append(t.updateFuncs, f) }

// Put stores a local entry if it is newer than the known one and reports whether it was.
// An accepted entry is sent at once.
func (t *Table) Put(e Entry) bool {
	if !t.put(e, originLocal) {
		return false
	}
	if f := t.localPutFunc.Load(); f != nil {
		(*f)()
	}
	return true
}

// PutRemote stores an entry received from a peer if it is newer and reports whether it was.
func (t *Table) PutRemote(e Entry) bool { return t.put(e, originPeer) }

// put stores an entry if it is newer than the known one and runs the callbacks.
func (t *Table) put(e Entry, from origin) bool {
	if !t.apply(e, from) {
		return false
	}
	for _, f := range t.updateFuncs {
		f(e)
	}
	return true
}

// apply changes the table without running callbacks.
func (t *Table) apply(e Entry, from origin) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.records[e.Key]
	// An older stamp never replaces a newer one, whatever its origin.
	// The tombstone of an unknown key is not stored, or purged ones would keep coming back.
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

// Get returns the newest entry of a key, unless it was removed.
func (t *Table) Get(key string) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.records[key]
	if h == nil || h.entry.Deleted {
		return Entry{}, false
	}
	return h.entry, true
}

// StampOf returns the newest stamp of a key, also of a removed one.
func (t *Table) StampOf(key string) state.Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.records[key]; h != nil {
		return h.entry.Stamp
	}
	return state.Stamp{}
}

// List returns the entries whose keys start with prefix.
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

// Len returns the number of entries, and of those rejected because the table was full.
func (t *Table) Len() (int, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records), t.dropped.Load()
}

// Purge deletes the tombstones of keys that were removed longer ago than age, except those
// that are kept for good.
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
