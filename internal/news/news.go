// Package news spreads small facts: a table of key to newest value, passed on
// to a few partners each beat, its gaps mended by comparing digests.
package news

import (
	"context"
	"crypto/sha256"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/state"
)

const (
	beat       = 100 * time.Millisecond
	digestBeat = time.Second
	fanout     = 3
	retell     = 5
	smallBytes = 900
	// allTold is up to how many partners one who has something new tells all of them at once; others pass it
	// on once more. In a larger fleet it goes from few to few.
	allTold      = 24
	retellDirect = 2
	retellTold   = 1
	buckets      = 64
	maxEntries   = 200_000
	purgeAfter   = 10 * time.Minute
	pullAt       = 256 // entries in one answer
)

// Entry is one fact; the newest stamp wins.
type Entry struct {
	Key   string      `cbor:"1,keyasint"`
	Stamp state.Stamp `cbor:"2,keyasint"`
	Value []byte      `cbor:"3,keyasint,omitempty"`
	Gone  bool        `cbor:"4,keyasint,omitempty"`
	Head  bool        `cbor:"5,keyasint,omitempty"` // only a headline: the value has to be pulled
}

type bundle struct {
	From    string  `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint"`
}

// Heads asks for what is newer than these.
type Heads struct {
	Bucket []int                  `cbor:"1,keyasint"`
	Have   map[string]state.Stamp `cbor:"2,keyasint"`
}

// Gap is what one side lacks and what it would like.
type Gap struct {
	Entries []Entry  `cbor:"1,keyasint"`
	Want    []string `cbor:"2,keyasint"`
}

// Digest sums up the table by buckets.
type Digest struct {
	Sums [][]byte `cbor:"1,keyasint"`
}

// Diff names the buckets that differ.
type Diff struct {
	Bucket []int      `cbor:"1,keyasint"`
	Touch  touch.Word `cbor:"2,keyasint,omitempty"` // how long who answers has been out of touch
}

// Pushed is the answer to a push.
type Pushed struct {
	Taken int `cbor:"1,keyasint"`
}

type held struct {
	e    Entry
	seq  uint64
	tell int  // times it is still to be passed on
	told bool // a partner told us
	at   time.Time
}

// lasting says whether a removed key must be remembered for good: a leaving
// mark counts up from the last one, so forgetting it would make the next look old.
func lasting(key string) bool { return strings.HasPrefix(key, "mark/") }

// Table holds the news of one node. It is read on the path of requests, so it
// is a locked map whose changes wake the feeds.
type Table struct {
	mu      sync.Mutex
	m       map[string]*held
	hot     map[string]*held
	seq     uint64
	sums    [buckets][sha256.Size]byte
	changed chan struct{}
	dropped atomic.Int64
	onNew   []func(Entry)
	small   atomic.Bool // the fleet is so small that who has something new tells everybody
	onOwn   atomic.Pointer[func()]
}

// NewTable knows nothing.
func NewTable() *Table {
	return &Table{m: map[string]*held{}, hot: map[string]*held{}, changed: make(chan struct{})}
}

// OnNew calls f with every entry that is newer than what was known. Name all
// of them before the table is in use.
func (t *Table) OnNew(f func(Entry)) { t.onNew = append(t.onNew, f) }

func bucketOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % buckets)
}

func sumOf(e Entry) [sha256.Size]byte {
	return sha256.Sum256(wire.Pack([]any{e.Key, e.Stamp.Epoch, e.Stamp.Serial}))
}

// Put takes an entry of this node's own making if it is newer than what is known.
func (t *Table) Put(e Entry) bool {
	if !t.put(e, false) {
		return false
	}
	if f := t.onOwn.Load(); f != nil {
		(*f)()
	}
	return true
}

// Learn takes an entry that a partner told.
func (t *Table) Learn(e Entry) bool { return t.put(e, true) }

func (t *Table) tells(told bool) int {
	switch {
	case !t.small.Load():
		return retell
	case told:
		return retellTold
	}
	return retellDirect
}

func (t *Table) put(e Entry, told bool) bool {
	t.mu.Lock()
	old := t.m[e.Key]
	// Why: news never runs backwards, whoever tells it.
	// A removed key that is not known needs no remembering, or purged ones would come back for ever.
	if e.Key == "" || e.Head || old == nil && e.Gone && !lasting(e.Key) || old != nil && !e.Stamp.Newer(old.e.Stamp) {
		t.mu.Unlock()
		return false
	}
	if old == nil && len(t.m) >= maxEntries {
		t.mu.Unlock()
		t.dropped.Add(1)
		return false
	}
	b := bucketOf(e.Key)
	if old != nil {
		xor(&t.sums[b], sumOf(old.e))
	}
	xor(&t.sums[b], sumOf(e))
	t.seq++
	h := &held{e: e, seq: t.seq, tell: t.tells(told), told: told, at: time.Now()}
	t.m[e.Key], t.hot[e.Key] = h, h
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	for _, f := range t.onNew {
		f(e)
	}
	return true
}

func xor(a *[sha256.Size]byte, b [sha256.Size]byte) {
	for i := range a {
		a[i] ^= b[i]
	}
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

// After gives what came since a cursor, the new cursor, and a channel that
// closes at the next change.
func (t *Table) After(cursor uint64) ([]Entry, uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	if cursor < t.seq {
		for _, h := range t.m {
			if h.seq > cursor {
				out = append(out, h.e)
			}
		}
	}
	return out, t.seq, t.changed
}

// Len is the number of entries and of those dropped because the table is full.
func (t *Table) Len() (int, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.m), t.dropped.Load()
}

// Purge forgets keys that were removed longer ago than age.
func (t *Table) Purge(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, h := range t.m {
		if h.e.Gone && !lasting(k) && time.Since(h.at) > age {
			xor(&t.sums[bucketOf(k)], sumOf(h.e))
			delete(t.m, k)
			delete(t.hot, k)
		}
	}
}

func (t *Table) digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Digest{Sums: make([][]byte, buckets)}
	for i := range t.sums {
		d.Sums[i] = append([]byte(nil), t.sums[i][:16]...)
	}
	return d
}

func (t *Table) heads(bucket []int) Heads {
	in := map[int]bool{}
	for _, b := range bucket {
		in[b] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := Heads{Bucket: bucket, Have: map[string]state.Stamp{}}
	for k, e := range t.m {
		if in[bucketOf(k)] {
			h.Have[k] = e.e.Stamp
		}
	}
	return h
}

func (t *Table) gap(q Heads) Gap {
	mine := t.heads(q.Bucket)
	var g Gap
	t.mu.Lock()
	for k, s := range mine.Have {
		if s.Newer(q.Have[k]) && len(g.Entries) < pullAt {
			g.Entries = append(g.Entries, t.m[k].e)
		}
	}
	t.mu.Unlock()
	for k, s := range q.Have {
		if s.Newer(mine.Have[k]) && len(g.Want) < pullAt {
			g.Want = append(g.Want, k)
		}
	}
	return g
}

func (t *Table) pick(keys []string) bundle {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b bundle
	for _, k := range keys[:min(len(keys), pullAt)] {
		if h := t.m[k]; h != nil {
			b.Entries = append(b.Entries, h.e)
		}
	}
	return b
}

// Spreader passes a table's news on.
type Spreader struct {
	t        *Table
	g        *run.Group
	log      *slog.Logger
	post     *wire.Post
	caller   *wire.Caller
	self     func() string
	partners func() []string
	pulling  atomic.Int64
}

// NewSpreader starts to pass news on and to take it.
func NewSpreader(g *run.Group, t *Table, log *slog.Logger, post *wire.Post, caller *wire.Caller, mux *wire.Mux, self func() string, partners func() []string, in *touch.Keeper) *Spreader {
	s := &Spreader{t: t, g: g, log: log, post: post, caller: caller, self: self, partners: partners}
	post.On("news", func(body []byte) {
		var b bundle
		if wire.Unpack(body, &b) != nil {
			post.Bad()
			return
		}
		s.take(b)
	})
	wire.Handle(mux, "/news/push", func(_ context.Context, b bundle) (Pushed, error) {
		p := Pushed{}
		for _, e := range b.Entries {
			if t.Learn(e) {
				p.Taken++
			}
		}
		return p, nil
	})
	wire.Handle(mux, "/news/pull", func(_ context.Context, g Gap) (bundle, error) { return t.pick(g.Want), nil })
	wire.Handle(mux, "/news/digest", func(_ context.Context, d Digest) (Diff, error) {
		mine := t.digest()
		out := Diff{Touch: in.Word()}
		for i := range mine.Sums {
			if i >= len(d.Sums) || string(d.Sums[i]) != string(mine.Sums[i]) {
				out.Bucket = append(out.Bucket, i)
			}
		}
		return out, nil
	})
	wire.Handle(mux, "/news/gap", func(_ context.Context, h Heads) (Gap, error) { return t.gap(h), nil })
	desk := run.NewDesk(g, 16, beat, func() { s.passOn(false) })
	now := run.NewNudge(desk, func() { s.passOn(true) })
	own := now.Now
	t.onOwn.Store(&own)
	g.Every(digestBeat, s.compare)
	g.Every(time.Minute, func(context.Context) { t.Purge(purgeAfter) })
	return s
}

func (s *Spreader) some(n int) []string {
	p := slices.Clone(s.partners())
	rand.Shuffle(len(p), func(i, j int) { p[i], p[j] = p[j], p[i] })
	return p[:min(n, len(p))]
}

// passOn sends what is new to a few partners, or in a small fleet what is new
// here to all of them. At once means that only what was never told goes out.
func (s *Spreader) passOn(atOnce bool) {
	all := s.partners()
	s.t.small.Store(len(all) <= allTold)
	if len(all) == 0 {
		return
	}
	if len(all) <= allTold {
		s.send(all, s.due(func(h *held) bool { return !h.told && (!atOnce || h.tell == retellDirect) }))
	}
	if atOnce {
		return
	}
	s.send(s.some(fanout), s.due(func(h *held) bool { return h.told || len(all) > allTold }))
}

// due takes the entries that are to be passed on now.
func (s *Spreader) due(which func(*held) bool) []Entry {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	var out []Entry
	for k, h := range s.t.hot {
		if !which(h) {
			continue
		}
		e := h.e
		if len(e.Value) > smallBytes {
			e.Value, e.Head = nil, true
		}
		out = append(out, e)
		if h.tell--; h.tell <= 0 {
			delete(s.t.hot, k)
		}
	}
	return out
}

func (s *Spreader) send(to []string, out []Entry) {
	for len(out) > 0 {
		n, size := 0, 64
		for n < len(out) && (n == 0 || size+len(out[n].Key)+len(out[n].Value)+40 < wire.MaxGram) {
			size += len(out[n].Key) + len(out[n].Value) + 40
			n++
		}
		body := wire.Pack(bundle{From: s.self(), Entries: out[:n]})
		for _, p := range to {
			s.post.Send(p, "news", body)
		}
		out = out[n:]
	}
}

func (s *Spreader) take(b bundle) {
	var want []string
	for _, e := range b.Entries {
		if !e.Head {
			s.t.Learn(e)
		} else if e.Stamp.Newer(s.t.StampOf(e.Key)) {
			want = append(want, e.Key)
		}
	}
	// Why: a few pulls at a time; the digests mend what is left out.
	if len(want) == 0 || s.pulling.Add(1) > 8 {
		if len(want) > 0 {
			s.pulling.Add(-1)
		}
		return
	}
	if !s.g.Go(func(ctx context.Context) {
		defer s.pulling.Add(-1)
		s.pull(ctx, b.From, want)
	}) {
		s.pulling.Add(-1)
	}
}

func (s *Spreader) pull(ctx context.Context, addr string, want []string) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	b, err := wire.Call[Gap, bundle](ctx, s.caller, addr, "/news/pull", Gap{Want: want})
	if err != nil {
		return
	}
	for _, e := range b.Entries {
		s.t.Learn(e)
	}
}

// compare mends gaps with one partner.
func (s *Spreader) compare(ctx context.Context) {
	to := s.some(1)
	if len(to) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
	defer cancel()
	s.Mend(ctx, to[0])
}

// Mend makes both sides know what either knows.
func (s *Spreader) Mend(ctx context.Context, addr string) { Mend(ctx, s.caller, s.t, addr, s.self()) }

// Mend makes a table and a partner's know what either knows; the partner's
// word on how long it has been out of touch holds only if that was done.
func Mend(ctx context.Context, caller *wire.Caller, t *Table, addr, self string) touch.Word {
	d, err := wire.Call[Digest, Diff](ctx, caller, addr, "/news/digest", t.digest())
	if err != nil {
		return 0
	}
	if len(d.Bucket) == 0 {
		return d.Touch
	}
	g, err := wire.Call[Heads, Gap](ctx, caller, addr, "/news/gap", t.heads(d.Bucket))
	if err != nil {
		return 0
	}
	for _, e := range g.Entries {
		t.Learn(e)
	}
	if len(g.Want) > 0 {
		b := t.pick(g.Want)
		b.From = self
		// Why: what it lacks is its own loss; what we lacked is here.
		_, _ = wire.Call[bundle, Pushed](ctx, caller, addr, "/news/push", b)
	}
	return d.Touch
}

// Push hands entries to partners at once.
func (s *Spreader) Push(ctx context.Context, to []string, entries ...Entry) {
	b := bundle{From: s.self(), Entries: entries}
	ch := run.Fan(s.g, len(to), func(_ context.Context, i int) bool {
		one, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := wire.Call[bundle, Pushed](one, s.caller, to[i], "/news/push", b)
		return err == nil
	})
	for range to {
		<-ch
	}
}
