// Package route turns news and the replicas' own reports into an immutable
// table of who may serve what, swapped atomically.
package route

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/share"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/news"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/state"
)

const (
	beat     = 100 * time.Millisecond
	lookBeat = 500 * time.Millisecond
	lookFor  = 450 * time.Millisecond
	// dark is how old a replica's own report may be while it is still routed to.
	dark = 2 * time.Second
	// deaf is how long this proxy may hear nothing that could tell of a leaving
	// replica before it sends nothing any more.
	deaf = 2500 * time.Millisecond
	// crowded is how long after a replica was full it is taken for granted that many want their places.
	crowded = 5 * time.Second
	// fewToo of its places is what a replica may be sent too many at once.
	fewToo = 4
	// patient times what a first piece may well take is longer than chance makes it.
	patient = 3
	// leastPatience is what a machine may well stand still for by itself.
	leastPatience = 40 * time.Millisecond
)

// Live counts what this proxy has on a replica; it outlives the snapshots.
type Live struct {
	Inflight atomic.Int64
	look     atomic.Bool // its report is wanted out of turn
	load     atomic.Pointer[loadWord]
	unread   unread
	heardAt  atomic.Int64 // when a piece of an answer came from it last, on our clock
	first    atomic.Int64 // how long a first piece takes, on average of late
	strays   atomic.Int64 // how far that is off, on average of late
	refused  atomic.Int64 // when a conn was refused last, on our clock
	over     atomic.Int64 // when it last would not run what it was sent, on our clock
	silent   atomic.Int64 // when it last kept us waiting for longer than it does, on our clock
	mu       sync.Mutex
	items    map[string]int
	missing  map[string]time.Duration // items that it has said it does not hold, and when
}

// loadWord is what an answer said of a replica's load.
type loadWord struct {
	others  int // requests there that are not ours
	waiting int // requests there whose prompt has not been read
	at      time.Duration
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

// Replica is one row of the table.
type Replica struct {
	Listed   inventory.Listed
	Slots    int
	Elsewher int // requests of other edges on it, as of its report
	Room     int // requests we may have on it until its next report
	ServeFor time.Duration
	Ready    map[string]bool
	Heard    time.Duration
	Told     bool // what is known of it comes from its controller and its answers, not from reports to us
	Live     *Live
}

// Snapshot is the table; it is never changed.
type Snapshot struct {
	Conf     conf.Effective
	Serial   uint64
	Stamp    state.Stamp
	Replicas map[string]*Replica
	Expect   map[string]plan.Expect
	Coming   map[string]time.Duration // items on their way: when they should be there, on our clock
	Acked    map[string]state.Stamp
}

// Keeper keeps the table.
type Keeper struct {
	d      Deps
	news   *news.Table
	clock  tick.Clock
	group  *run.Group
	desk   *run.Desk
	snap   atomic.Pointer[Snapshot]
	lives  map[string]*Live
	heard  map[string]report
	told   map[string]told
	full   map[bool]time.Duration // when a replica was last seen full: of models, of services
	conf   conf.Effective
	confAt state.Stamp
	serial uint64
	fresh  *run.Nudge
	onNew  atomic.Pointer[func()]
	warmth *memory

	predictor Predictor

	pressMu  sync.Mutex
	pressing map[string]pressing
	work     map[string]time.Duration // of each model: replicas' time to read its prompts, so far
}

// Deps is what a keeper needs from the rest of the proxy.
type Deps struct {
	Group    *run.Group
	News     *news.Table
	Clock    tick.Clock
	Replicas backend.Client
	Zone     func() string
	// HeardFor is how long ago anyone was heard who would know of leaving replicas.
	HeardFor func() time.Duration
	// Edges is how many share the replicas.
	Edges func() int
	// Ask says that this proxy asks replicas for their reports itself.
	Ask bool
	// Deaf is how long nobody may be heard before nothing is sent any more; 0 is the default.
	Deaf time.Duration
}

type report struct {
	v     backend.Vitals
	at    time.Duration
	mine  int64 // our requests on it when it was asked
	other int   // those of others then
	was   int   // those of others at the look before
	known bool
	luck  float64 // drawn for this report
}

// part is how many of a replica's free places one edge may take until the next
// report; fullFor is how long ago any replica of the kind was seen full.
func part(free, slots, edges int, fullFor time.Duration, luck float64) int {
	if free >= edges {
		return free / edges
	}
	// Why: a few too many are worth it, for a place that waits for a lot to fall on it is a place unused.
	if edges-free <= slots/fewToo {
		return 1
	}
	// Why: while no replica is full most edges have nothing to send, and one request need not wait for a lot to
	// fall on it. Otherwise there are more edges than places, and if each took one, the replica would have to refuse most;
	// so each takes one as often as makes the free places in all.
	if fullFor > crowded || luck < float64(free)/float64(edges) {
		return 1
	}
	return 0
}

type told struct {
	stamp state.Stamp
	at    time.Duration
}

// NewKeeper keeps a table fresh.
func NewKeeper(d Deps) *Keeper {
	if d.Deaf == 0 {
		d.Deaf = deaf
	}
	k := &Keeper{d: d, news: d.News, clock: d.Clock, group: d.Group, lives: map[string]*Live{}, heard: map[string]report{}, told: map[string]told{},
		full: map[bool]time.Duration{true: -1 << 61, false: -1 << 61},
		conf: conf.Empty(), warmth: newMemory(), pressing: map[string]pressing{}, work: map[string]time.Duration{}}
	k.snap.Store(&Snapshot{Conf: k.conf})
	k.desk = run.NewDesk(d.Group, 256, beat, k.rebuild)
	// Why: a configuration and a withdrawn item are in force at once, not at the next beat; news that comes
	// together makes one table.
	k.fresh = run.NewNudge(k.desk, k.rebuild)
	d.News.OnNew(func(news.Entry) { k.fresh.Now() })
	if !d.Ask {
		return k
	}
	d.Group.Every(lookBeat, func(ctx context.Context) { k.look(ctx, func(*Replica) bool { return true }) })
	// Why: a replica just learned of is of no use until it has been looked at, nor is one whose room we have used up.
	d.Group.Every(beat, func(ctx context.Context) { k.look(ctx, func(r *Replica) bool { return r.Live.look.Swap(false) }) })
	return k
}

// OnTable names what is called after each new table.
func (k *Keeper) OnTable(f func()) { k.onNew.Store(&f) }

// Now is the table as it is.
func (k *Keeper) Now() *Snapshot { return k.snap.Load() }

func (k *Keeper) rebuild() {
	now := k.clock.Since()
	if e, found := k.news.Get(conf.Key); found && e.Stamp.Newer(k.confAt) {
		if kept, err := conf.Unpack(e.Value); err == nil {
			if eff, err := conf.Effect(kept); err == nil {
				k.conf, k.confAt, k.serial = eff, e.Stamp, kept.Serial
			}
		}
	}
	before := k.told
	k.told = map[string]told{}
	s := &Snapshot{Conf: k.conf, Serial: k.serial, Stamp: k.confAt, Replicas: map[string]*Replica{}, Expect: map[string]plan.Expect{},
		Coming: map[string]time.Duration{}, Acked: map[string]state.Stamp{}}
	for _, e := range k.news.List("replica/") {
		var n order.News
		if wire.Unpack(e.Value, &n) != nil {
			continue
		}
		id := n.Listed.ID
		// Why: a drain is in force with the configuration, not only when the controller has heard of it.
		n.Listed.Leaving = n.Listed.Leaving || k.conf.Drained(n.Listed.Labels, n.Listed.Zone)
		live := k.lives[id]
		if live == nil {
			live = &Live{items: map[string]int{}}
			live.refused.Store(-1 << 62)
			live.silent.Store(-1 << 62)
			live.over.Store(-1 << 62)
			// Why: its report is not waited for until the next beat; a replica just learned of is of no use without it.
			live.look.Store(true)
			k.lives[id] = live
		}
		r := &Replica{Listed: n.Listed, Live: live, Slots: n.Slots, Heard: -1 << 62, Ready: map[string]bool{}, ServeFor: time.Duration(n.ServeMs) * time.Millisecond}
		h := k.heard[id]
		if h.known {
			r.Heard, r.Slots, r.ServeFor = h.at, h.v.Slots, h.v.ServeFor
			r.Elsewher = h.other
			// Why: all edges see the same free places. Each takes its part of them and then looks again; if each took
			// them all, a crowd would be sent to replicas that must refuse it.
			edges := max(1, k.d.Edges())
			r.Room = int(h.mine)
			// Others' places must be seen free twice: what has just ended there is replaced by them at once.
			if free := h.v.Slots - max(h.other, h.was) - int(h.mine); free > 0 {
				r.Room += part(free, h.v.Slots, edges, now-k.full[h.v.Model], h.luck)
			}
			r.Listed.Leaving = r.Listed.Leaving || h.v.Leaving
			for item, l := range h.v.Items {
				// Why: the replica knows best what it holds; its controller knows what it is about to let go.
				st := n.Items[item.String()]
				if l.State == backend.Loaded && st != order.Leaving && st != backend.Unloading {
					r.Ready[item.String()] = true
				}
			}
		}
		if !k.d.Ask {
			r.byWord(n, now)
		}
		t := k.toldAt(before, e, now)
		for item, st := range n.Items {
			if !n.Dark && !n.Listed.Leaving && (st == order.Reserved || st == backend.Loading) {
				at := t + time.Duration(n.ReadyMs[item])*time.Millisecond
				if old, found := s.Coming[item]; !found || at < old {
					s.Coming[item] = at
				}
			}
		}
		s.Replicas[id] = r
		s.Acked[id] = e.Stamp
	}
	for id := range k.lives {
		if s.Replicas[id] == nil && k.lives[id].Inflight.Load() == 0 {
			delete(k.lives, id)
			delete(k.heard, id)
		}
	}
	for _, e := range k.news.List("expect/") {
		t := k.toldAt(before, e, now)
		var x plan.Expect
		// Why: a refusal is news for a while only.
		if wire.Unpack(e.Value, &x) == nil && now-t < 3*time.Second {
			s.Expect[e.Key[len("expect/"):]] = x
		}
	}
	k.snap.Store(s)
	if f := k.onNew.Load(); f != nil {
		(*f)()
	}
}

// byWord fills a row from what the replica's controller tells.
func (r *Replica) byWord(n order.News, now time.Duration) {
	r.Told = true
	if n.Dark {
		return
	}
	r.Heard = now
	r.Slots = max(n.Slots, n.Listed.Slots)
	r.Elsewher = r.Live.others(now)
	r.Room = max(0, r.Slots-r.Elsewher)
	for item, st := range n.Items {
		if st == backend.Loaded {
			r.Ready[item] = true
		}
	}
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

// toldAt is when an entry in its present form was first seen here; what is
// news no more is forgotten.
func (k *Keeper) toldAt(before map[string]told, e news.Entry, now time.Duration) time.Duration {
	t := before[e.Key]
	if t.stamp != e.Stamp {
		t = told{e.Stamp, now}
	}
	k.told[e.Key] = t
	return t.at
}

// look asks replicas how they are; the table so goes on without controllers.
func (k *Keeper) look(ctx context.Context, which func(*Replica) bool) {
	s := k.Now()
	ids := make([]string, 0, len(s.Replicas))
	for id, r := range s.Replicas {
		if which(r) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	type answer struct {
		id string
		r  report
	}
	asked := k.clock.Since()
	ch := run.Fan(k.group, len(ids), func(ctx context.Context, i int) answer {
		ctx, cancel := context.WithTimeout(ctx, lookFor)
		defer cancel()
		r := s.Replicas[ids[i]]
		mine := r.Live.Inflight.Load()
		v, err := k.d.Replicas.Vitals(ctx, r.Listed.Target())
		return answer{ids[i], report{v: v, at: asked, mine: mine, known: err == nil}}
	})
	var got []answer
	for range ids {
		a := <-ch
		if !a.r.known {
			if a.id == "" { // this proxy is stopping
				continue
			}
			// Why: one that does not say how it is may be dark; whoever has a choice goes elsewhere until it does.
			s.Replicas[a.id].Live.silent.Store(int64(asked))
			continue
		}
		got = append(got, a)
		if a.r.v.Leaving {
			inventory.Mark(k.news, a.id)
		}
	}
	_ = k.desk.Tell(func() {
		for _, a := range got {
			a.r.other, a.r.was = max(0, a.r.v.Inflight-int(a.r.mine)), k.heard[a.id].other
			a.r.luck = rand.Float64()
			if a.r.v.Inflight >= a.r.v.Slots {
				k.full[a.r.v.Model] = a.r.at
			}
			k.heard[a.id] = a.r
		}
		k.rebuild()
	})
}

// Target is what a request needs.
type Target struct {
	Route  conf.Route
	Item   conf.Item
	Prompt Prompt
	Avoid  string // a replica that is taken only where no other can be
}

// Lane groups requests that need the same.
func (t Target) Lane() string {
	switch {
	case t.Route.Kind == "model":
	case t.Route.Service != "":
		return "service " + t.Route.Service
	default:
		return "service " + t.Route.Selector.String()
	}
	return t.Item.String()
}

// Sendable says whether a request may go to a replica at this very moment.
func (k *Keeper) Sendable(id string) bool {
	// Why: a mark may have come since the table was made, and a proxy that hears nobody cannot know of marks.
	return !inventory.Marked(k.news, id) && !k.Deaf()
}

// Since is the clock that Coming is told by.
func (k *Keeper) Since() time.Duration { return k.clock.Since() }

// Deaf says that nobody is heard who would tell of leaving replicas.
func (k *Keeper) Deaf() bool { return k.d.HeardFor() >= k.d.Deaf }

// Choose ranks the replicas that can serve now. held says whether any holds
// the item at all, with a free place or not.
func (k *Keeper) Choose(t Target) (best *Replica, held int, serve time.Duration) {
	if k.Deaf() {
		return nil, 0, 0
	}
	s := k.Now()
	now := k.clock.Since()
	item := t.Item.String()
	var facts, quiet []judge.Replica // those that answer, and those last heard of by their silence
	zone := k.d.Zone()
	places := 0
	for id, r := range s.Replicas {
		if !k.serves(t, item, id, r, now) {
			continue
		}
		held++
		places += r.Slots
		serve += r.ServeFor
		mine := int(r.Live.Inflight.Load())
		// Why: one that has just refused is fuller than its report says, and would refuse the next one too.
		if mine >= r.Room || r.over(now) {
			r.Live.look.Store(true)
			continue
		}
		f := judge.Replica{Name: id, Inflight: r.Elsewher + mine, Slots: r.Slots, ServeFor: r.ServeFor,
			SameZone: r.Listed.Zone == zone}
		// Why: silence is no proof. It only ranks a replica behind all that answer, until a report that was asked for
		// later comes.
		if !r.answers(now) || id == t.Avoid {
			quiet = append(quiet, f)
			continue
		}
		facts = append(facts, f)
	}
	if len(facts) == 0 {
		facts = quiet
	}
	// Why: most calls ask only who holds it, or have one replica to go to; the memory of prompts is not asked for those. A
	// service keeps nothing warm; a home there would send everybody to one replica, whatever its zone.
	if len(facts) > 0 && t.Route.Kind == "model" && s.Replicas[facts[0].Name].Told {
		facts = k.unswamped(t, s, facts, now)
	}
	if len(facts) > 1 && t.Route.Kind == "model" {
		warm, home := k.warmth.warm(t.Prompt), binary.LittleEndian.AppendUint64(nil, t.Prompt.home())
		for i := range facts {
			id := facts[i].Name
			facts[i].Warm, facts[i].Home = warm[id], float64(share.Draw(home, id)>>11)/(1<<53)
			if r := s.Replicas[id]; r.Told {
				facts[i].Wait = k.wait(r, int(float64(t.Prompt.size)*(1-warm[id])), now)
			}
		}
	}
	if held == 0 {
		return nil, 0, 0
	}
	serve /= time.Duration(max(places, 1))
	i := judge.Best(s.Conf.Weights, facts)
	if i < 0 {
		return nil, held, serve
	}
	return s.Replicas[facts[i].Name], held, serve
}

// unswamped leaves out the replicas that have enough prompts to read.
func (k *Keeper) unswamped(t Target, s *Snapshot, facts []judge.Replica, now time.Duration) []judge.Replica {
	warm := k.warmth.warm(t.Prompt)
	out := facts[:0]
	for _, f := range facts {
		if !k.swamped(s.Replicas[f.Name], int(float64(t.Prompt.size)*(1-warm[f.Name])), t.Route.GapTarget, now) {
			out = append(out, f)
		}
	}
	return out
}

// Place is what a request takes at a replica.
type Place struct {
	Begun func() // its first piece has come
	Done  func() // it has ended
}

// Took remembers where a prefix is warm now, counts the request there, and
// gives back how to uncount it.
func (k *Keeper) Took(t Target, r *Replica) Place {
	item := t.Item.String()
	tokens := 0
	if t.Route.Kind == "model" && r.Told {
		tokens = int(float64(t.Prompt.size) * (1 - k.warmth.warm(t.Prompt)[r.Listed.ID]))
		r.Live.unread.tokens.Add(int64(tokens))
		pace, _ := k.predictor.Pace()
		k.addWork(t.Item.Model, time.Duration(tokens)*pace)
	}
	if t.Route.Kind == "model" {
		k.warmth.sent(t.Prompt, r.Listed.ID)
		if r.Told && r.pressed() {
			k.press(t.Item.Model, k.clock.Since())
		}
	}
	r.Live.Inflight.Add(1)
	r.Live.mu.Lock()
	r.Live.items[item]++
	r.Live.mu.Unlock()
	load, sentAt := r.Load(), k.clock.Since()
	var first, once sync.Once
	begun := func(answered bool) {
		first.Do(func() {
			r.Live.unread.tokens.Add(int64(-tokens))
			if answered && tokens > 0 {
				k.predictor.Learn(tokens, load, k.clock.Since()-sentAt)
			}
		})
	}
	done := func() {
		begun(false)
		once.Do(func() {
			r.Live.Inflight.Add(-1)
			r.Live.mu.Lock()
			if r.Live.items[item]--; r.Live.items[item] == 0 {
				delete(r.Live.items, item)
			}
			r.Live.mu.Unlock()
		})
	}
	return Place{Begun: func() { begun(true) }, Done: done}
}

// Silent notes that a replica kept a request waiting for longer than it does; it is
// asked how it is at once.
func (k *Keeper) Silent(r *Replica) {
	r.Live.silent.Store(int64(k.clock.Since()))
	r.Live.look.Store(true)
}

// Others says whether another replica that answers holds what a request needs.
func (k *Keeper) Others(t Target, not string) bool {
	s, now, item := k.Now(), k.clock.Since(), t.Item.String()
	for id, r := range s.Replicas {
		if id != not && k.serves(t, item, id, r, now) && r.answers(now) && int(r.Live.Inflight.Load()) < r.Room {
			return true
		}
	}
	return false
}

// quietFor is how long a silence or a refusal counts against a replica that is
// not asked for reports.
const quietFor = 400 * time.Millisecond

// answers says that a report asked for later than its last silence has come.
func (r *Replica) answers(now time.Duration) bool {
	if r.Told {
		return now-time.Duration(r.Live.silent.Load()) > quietFor
	}
	return time.Duration(r.Live.silent.Load()) < r.Heard
}

// over says that it would not run what it was sent last, and has not been heard since.
func (r *Replica) over(now time.Duration) bool {
	if r.Told {
		return now-time.Duration(r.Live.over.Load()) < quietFor/4
	}
	return time.Duration(r.Live.over.Load()) >= r.Heard
}

// serves says whether a replica holds the item that a request needs and may be sent to.
func (k *Keeper) serves(t Target, item, id string, r *Replica, now time.Duration) bool {
	switch {
	case r.Listed.Model != (t.Route.Kind == "model"), r.Listed.Leaving, now-r.Heard > dark, inventory.Marked(k.news, id):
		return false
	case now-time.Duration(r.Live.refused.Load()) < time.Second:
		return false
	case t.Route.Service != "" && r.Listed.Labels[conf.ServiceLabel] != t.Route.Service && !t.Route.Selector.Matches(labels.Set(r.Listed.Labels)):
		return false
	case r.Listed.Model && r.Told && r.Live.lacks(item, now):
		return false
	case r.Listed.Model:
		return r.Ready[item] && (t.Item.Adapter == "" || r.Ready[t.Item.Model])
	case t.Route.Service != "":
		return true
	}
	return t.Route.Selector.Matches(labels.Set(r.Listed.Labels))
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

// pressedShare of its places, and at most pressedMost requests, is how many a
// replica may have before one more answer comes noticeably later there.
const (
	pressedShare = 2
	pressedMost  = 16
	// pressedLasts is how long an item counts as pressed after a request of it went to such a replica.
	pressedLasts = time.Second
)

// Load is how many requests a replica has, as far as is known here.
func (r *Replica) Load() int { return r.Elsewher + int(r.Live.Inflight.Load()) }

func (r *Replica) pressed() bool {
	return r.Load() >= max(2, min(pressedMost, r.Slots/pressedShare))
}

// Press notes that an answer of an item came later, or with longer pauses, than it should.
func (k *Keeper) Press(item conf.Item) { k.press(item.Model, k.clock.Since()) }

// press notes that a request had to go where many are.
func (k *Keeper) press(item string, now time.Duration) {
	k.pressMu.Lock()
	defer k.pressMu.Unlock()
	p := k.pressing[item]
	if now-p.since > pressedLasts {
		p = pressing{since: now}
	}
	p.count++
	k.pressing[item] = p
}

func (k *Keeper) addWork(model string, d time.Duration) {
	k.pressMu.Lock()
	defer k.pressMu.Unlock()
	k.work[model] += d
}

// Work is the time that replicas have taken to read each model's prompts, as predicted, so far, in ms.
func (k *Keeper) Work() map[string]uint64 {
	k.pressMu.Lock()
	defer k.pressMu.Unlock()
	out := make(map[string]uint64, len(k.work))
	for model, d := range k.work {
		out[model] = uint64(d.Milliseconds())
	}
	return out
}

// Pressed is the items whose holders all have many requests, with how many came lately.
func (k *Keeper) Pressed() map[string]int {
	k.pressMu.Lock()
	defer k.pressMu.Unlock()
	now := k.clock.Since()
	out := map[string]int{}
	for item, p := range k.pressing {
		if now-p.since > 2*pressedLasts {
			delete(k.pressing, item)
			continue
		}
		out[item] = p.count
	}
	return out
}

// pressing counts the requests of an item that had to go where many are.
type pressing struct {
	since time.Duration
	count int
}

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

// missingFor is how long a replica's word that it does not hold an item counts.
const missingFor = 300 * time.Millisecond

// Refused notes that a replica took no conn; it is left out for a moment.
func (k *Keeper) Refused(r *Replica) { r.Live.refused.Store(int64(k.clock.Since())) }

// Inflight is what this proxy has on each replica now.
func (k *Keeper) Inflight() map[string]map[string]int {
	out := map[string]map[string]int{}
	for id, r := range k.Now().Replicas {
		r.Live.mu.Lock()
		if len(r.Live.items) > 0 {
			m := make(map[string]int, len(r.Live.items))
			for item, n := range r.Live.items {
				m[item] = n
			}
			out[id] = m
		}
		r.Live.mu.Unlock()
	}
	return out
}
