// Package order is the controller of one replica: it keeps the book of what
// the replica holds, decides with the paper's test which idle items may go,
// and alone sends it orders, under the hold of the replica's key.
package order

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"time"

	"github.com/gammazero/deque"
	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/news"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/pace"
	"drumstall.example/internal/place/penalty"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/platform"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/owner"
)

const (
	beat       = 200 * time.Millisecond
	askLimit   = 400 * time.Millisecond
	orderLimit = 900 * time.Millisecond
	ackLimit   = 3 * time.Second  // fence for proxies that do not acknowledge
	idleLimit  = 10 * time.Second // victims that do not get idle are let be
	goneLimit  = 20 * time.Second
	paceLimit  = 60 * time.Second
	maxTasks   = 8
	floatBeat  = time.Second
	// justNow is how old a report may be when a load is ordered. Why: a replica that has just stopped answering
	// may read the order when it wakes, much later.
	justNow    = 2 * beat
	aboutRight = 500 * time.Millisecond // by how much an estimate may be off before another is told
	// doubt is how long an order with no known outcome counts as carried out.
	doubt = 3 * time.Second
)

// Key of a replica in the control state and in the news.
func Key(id string) string { return "replica/" + id }

// Line states in the book, besides those a replica reports.
const (
	Reserved = "reserved" // room is kept for it
	Leaving  = "withdrawn"
)

// Line is what the book says of one item.
type Line struct {
	State   string `cbor:"1,keyasint"`
	SizeMib int    `cbor:"2,keyasint"`
}

// Book is kept in the control state before orders follow from it.
type Book struct {
	Incarnation string          `cbor:"1,keyasint"`
	Lines       map[string]Line `cbor:"2,keyasint"`
}

// News is what the data plane and the planners learn of a replica.
type News struct {
	Listed        platform.Listed   `cbor:"1,keyasint" json:"listed"`
	Controller    string            `cbor:"2,keyasint" json:"controller"`
	Items         map[string]string `cbor:"3,keyasint" json:"items"` // item: loaded, loading, withdrawn ...
	CapacityMib   int               `cbor:"4,keyasint" json:"capacityMib"`
	FreeMib       int               `cbor:"5,keyasint" json:"freeMib"`
	AdapterPlaces int               `cbor:"6,keyasint" json:"adapterPlaces"`
	AdapterFree   int               `cbor:"7,keyasint" json:"adapterFree"`
	Slots         int               `cbor:"8,keyasint" json:"slots"`
	ServeMs       int               `cbor:"9,keyasint" json:"serveMs"`
	Dark          bool              `cbor:"10,keyasint" json:"dark"`
	ReadyMs       map[string]int    `cbor:"11,keyasint" json:"readyMs"` // item on its way: expected from now until it is there
}

// Consider asks a replica's controller whether a load is worth it there.
type Consider struct {
	Replica string  `cbor:"1,keyasint"`
	Item    string  `cbor:"2,keyasint"`
	Penalty float64 `cbor:"3,keyasint"`
	Alone   bool    `cbor:"4,keyasint"`           // no replica holds it, and it may go in without the test
	Claim   bool    `cbor:"5,keyasint"`           // a claim wants it: no test, but only idle victims
	Dry     bool    `cbor:"6,keyasint"`           // only say what would go; take nothing on
	CostMs  int     `cbor:"7,keyasint,omitempty"` // of one request, from which the penalty is made
}

// Considered is the answer.
type Considered struct {
	Taken   bool           `cbor:"1,keyasint" json:"taken"`
	Why     string         `cbor:"2,keyasint" json:"why"`
	ReadyMs int            `cbor:"3,keyasint" json:"readyMs"`
	Sum     float64        `cbor:"4,keyasint" json:"sum"`
	Need    int            `cbor:"5,keyasint" json:"need"`
	Victims []string       `cbor:"6,keyasint" json:"victims"`
	Idle    []judge.Ranked `cbor:"7,keyasint" json:"idle"`
	Silent  bool           `cbor:"8,keyasint" json:"silent"`            // set by who asked: there was no answer
	Soon    bool           `cbor:"9,keyasint,omitempty" json:"soon"`    // what stands in the way will pass by itself
	Starts  int            `cbor:"10,keyasint,omitempty" json:"starts"` // loads it takes, a model's and an adapter's
}

// Deps is what a ward needs from the core.
type Deps struct {
	Group    *run.Group
	Clock    tick.Clock
	Log      *slog.Logger
	Self     string
	Boot     string
	Conn     *backend.Conn
	Owner    *owner.Owner
	News     *news.Table
	Reports  *report.Table
	Conf     func() conf.Effective
	Requests func(item string) float64 // predicted over the horizon
	Others   func() []News             // all replicas' news
	Agents   func() map[string]bool    // agents thought alive
	Platform func() time.Duration      // how long ago the platform was heard
	Grant    func(ctx context.Context, who string, worth float64) (wait time.Duration, ok bool)
	Afloat   func(ctx context.Context, who string) // tells the store's keeper of a load that may still start
}

type phase int

const (
	withdraw phase = iota
	acks
	idle
	gone
	grant
	loaded
)

type task struct {
	item    conf.Item
	victims []conf.Item
	phase   phase
	since   time.Duration
	begun   time.Duration
	stamp   state.Stamp
	worth   float64
	cost    time.Duration // of one request without it
	wait    time.Duration // until the store has room, as last told
}

// waits says that a task holds nothing up yet and may let another go first.
func (t *task) waits() bool { return t.phase == withdraw || t.phase == grant }

type line struct {
	Line
	ordered  time.Duration // when a load of it was last ordered
	lastUsed time.Duration
	inflight int
	// inherited: an owner before us may have ordered it.
	inherited bool
}

// Ward controls one replica.
type Ward struct {
	d        Deps
	listed   platform.Listed
	desk     *run.Desk
	vitals   backend.Vitals
	vitalsAt time.Duration // when the report we have was asked for
	known    bool          // a report came since we took over
	book     map[conf.Item]*line
	tasks    deque.Deque[*task]
	epoch    uint64
	packed   []byte                   // what was published, with etas for what is on its way
	toldAt   time.Duration            // when the store\'s keeper was last told of a load that may still start
	etas     map[string]time.Duration // what is on its way: when it will probably be there, as published
	serial   uint64
	orders   uint64
	staying  time.Duration
	closed   bool
	perMib   float64 // observed ms per MiB loaded; 0 unknown
	wrong    int
}

// NewWard starts to control a replica.
func NewWard(g *run.Group, d Deps, l platform.Listed) *Ward {
	d.Group = g
	w := &Ward{d: d, listed: l, book: map[conf.Item]*line{}, vitalsAt: -1 << 62, staying: -1}
	w.desk = run.NewDesk(g, 64, beat, w.onBeat)
	return w
}

// Listed tells the ward what the platform says now.
func (w *Ward) Listed(l platform.Listed) { _ = w.desk.Tell(func() { w.listed = l }) }

// Consider runs the paper's test for an item on this replica, and takes the
// load on if it passes.
func (w *Ward) Consider(ctx context.Context, q Consider) (Considered, error) {
	var a Considered
	err := w.desk.Ask(ctx, func() {
		// Why: who asked has gone on without the answer, and may have asked another.
		if ctx.Err() != nil {
			return
		}
		a = w.consider(q)
	})
	return a, err
}

func (w *Ward) leaving() bool {
	return w.listed.Leaving || w.vitals.Leaving || platform.Marked(w.d.News, w.listed.ID) || w.d.Conf().Drained(w.listed.Labels, w.listed.Zone)
}

// planned is what will be used once all tasks are done: everything but what
// is about to go.
func (w *Ward) planned() (mib, places int) {
	return w.sum(func(l *line) bool { return l.State != Leaving && l.State != backend.Unloading })
}

// there is what may be on the replica at this moment, known or suspected; room
// kept for later loads is not, unless an owner before us may have ordered it.
func (w *Ward) there() (mib, places int) {
	return w.sum(func(l *line) bool { return l.State != Reserved || l.inherited })
}

func (w *Ward) sum(counts func(*line) bool) (mib, places int) {
	for item, l := range w.book {
		switch {
		case !counts(l):
		case item.Adapter == "":
			mib += l.SizeMib
		default:
			places++
		}
	}
	return mib, places
}

func (w *Ward) consider(q Consider) Considered {
	item := conf.ParseItem(q.Item)
	cfg := w.d.Conf()
	model, known := cfg.Models[item.Model]
	_, _, may := w.d.Owner.MayOrder(Key(w.listed.ID))
	switch {
	case !known || item.Adapter != "" && !model.Adapters[item.Adapter]:
		return Considered{Why: "not in the configuration"}
	case !may:
		return Considered{Why: "the hold does not allow orders yet", Soon: true}
	case !w.fresh():
		return Considered{Why: "no fresh report from the replica"}
	case w.leaving():
		return Considered{Why: "the replica is leaving"}
	case w.tasks.Len() >= maxTasks:
		return Considered{Why: "enough orders wait already", Soon: true}
	}
	if l := w.book[item]; l != nil && l.State != Leaving && l.State != backend.Unloading {
		return Considered{Taken: true, Why: "on its way or there already", ReadyMs: w.readyMs(model)}
	}
	for i := range w.tasks.Len() {
		if w.tasks.At(i).item == item {
			return Considered{Taken: true, Why: "on its way already", ReadyMs: w.readyMs(model)}
		}
		if w.tasks.At(i).item.Model == item.Model {
			return Considered{Why: "another order about the model waits", Soon: true}
		}
	}
	base := w.book[conf.Item{Model: item.Model}]
	if base != nil && (base.State == Leaving || base.State == backend.Unloading) {
		return Considered{Why: "the model is being unloaded", Soon: true}
	}
	mib, places := w.planned()
	needMib, needPlaces := 0, 0
	if base == nil {
		needMib = mib + model.SizeMib - w.vitals.CapacityMib
		if model.SizeMib > w.vitals.CapacityMib {
			return Considered{Why: "can never hold it"}
		}
	}
	if item.Adapter != "" {
		if w.vitals.AdapterPlaces == 0 {
			return Considered{Why: "no places for adapters"}
		}
		needPlaces = places + 1 - w.vitals.AdapterPlaces
	}
	alone := q.Alone || q.Claim
	out := Considered{Need: needMib, Starts: 1}
	if base == nil && item.Adapter != "" {
		out.Starts = 2
	}
	var victims []conf.Item
	wanted := q.Penalty
	if needMib > 0 {
		order, ranked, used := w.idle(cfg, item, false)
		out.Idle = ranked
		v := penalty.Test(needMib, wanted, cfg.Limits.Csf, alone, order)
		out.Why, out.Sum = v.Why, v.Sum
		if !v.Load {
			out.Soon = soon(needMib, used, order)
			return out
		}
		for _, x := range v.Victims {
			it := conf.ParseItem(x.Item)
			victims = append(victims, it)
			// Why: adapters go with their model, so their places get free too.
			for other := range w.book {
				if other.Model == it.Model && other.Adapter != "" {
					needPlaces--
				}
			}
		}
	}
	if needPlaces > 0 {
		order, ranked, used := w.idle(cfg, item, true)
		out.Idle = append(out.Idle, ranked...)
		rest := order[:0:0]
		for _, x := range order {
			if !slices.Contains(victims, conf.Item{Model: conf.ParseItem(x.Item).Model}) {
				rest = append(rest, x)
			}
		}
		v := penalty.Test(needPlaces, wanted-out.Sum*cfg.Limits.Csf, cfg.Limits.Csf, alone, rest)
		out.Why = v.Why
		if !v.Load {
			out.Soon = soon(needPlaces, used, rest)
			return out
		}
		out.Sum += v.Sum
		for _, x := range v.Victims {
			victims = append(victims, conf.ParseItem(x.Item))
		}
	}
	if needMib <= 0 && needPlaces <= 0 {
		// Why: nothing has to go, so the sum of penalties is 0 and any demand is above it.
		if !alone && wanted <= 0 {
			out.Why = "no demand is expected"
			return out
		}
		out.Why = "there is room"
	}
	for _, v := range victims {
		out.Victims = append(out.Victims, v.String())
	}
	if q.Dry {
		out.Taken = true
		return out
	}
	t := &task{item: item, victims: victims, since: w.d.Clock.Since(), begun: w.d.Clock.Since(), worth: q.Penalty, cost: time.Duration(q.CostMs) * time.Millisecond}
	// Why: room is kept from this moment, so two loads can never count on the same place.
	if base == nil {
		w.reserve(conf.Item{Model: item.Model}, model.SizeMib)
	}
	if item.Adapter != "" {
		w.reserve(item, 0)
	}
	for _, v := range victims {
		w.withdrawItem(v)
	}
	if !w.keep() {
		w.undo(t)
		out.Why = "the control state did not keep it"
		return out
	}
	w.tasks.PushBack(t)
	w.publish()
	out.Taken, out.ReadyMs = true, w.readyMs(model)
	return out
}

func (w *Ward) reserve(item conf.Item, size int) {
	if w.book[item] == nil {
		w.book[item] = &line{Line: Line{State: Reserved, SizeMib: size}, lastUsed: w.d.Clock.Since()}
	}
}

func (w *Ward) withdrawItem(item conf.Item) {
	for other, l := range w.book {
		if item.Covers(other) {
			if l.State == backend.Loaded {
				l.State = Leaving
			}
		}
	}
}

// undo puts back what a task that will not be carried out had claimed.
func (w *Ward) undo(t *task) {
	for _, item := range []conf.Item{{Model: t.item.Model}, t.item} {
		if l := w.book[item]; l != nil && l.State == Reserved {
			delete(w.book, item)
		}
	}
	for _, v := range t.victims {
		for other, l := range w.book {
			if v.Covers(other) && l.State == Leaving {
				l.State = backend.Loaded
			}
		}
	}
}

// loadMs is how long a load takes here, as seen before or else as configured.
func (w *Ward) loadMs(m conf.Model) int {
	if w.perMib > 0 {
		return int(w.perMib * float64(m.SizeMib))
	}
	return int(m.LoadFor.Milliseconds())
}

func (w *Ward) readyMs(m conf.Model) int {
	ms := w.loadMs(m)
	return ms + 1500 + w.tasks.Len()*ms
}

// soon says that the idle items do not make the room, and those in use will.
func soon(need, used int, idle []penalty.Victim) bool {
	for _, v := range idle {
		need -= v.Size
	}
	return need > 0 && need <= used
}

// idle ranks the items that may go: loaded, nobody using or waiting for them,
// not pinned by a claim; and sums up those that may but for being used.
func (w *Ward) idle(cfg conf.Effective, wanted conf.Item, adapters bool) (order []penalty.Victim, ranked []judge.Ranked, used int) {
	now := w.d.Clock.Since()
	waiting := w.d.Reports.Waiting(now)
	others := w.d.Others()
	facts := map[string]judge.Idle{}
	var list []judge.Idle
	for item, l := range w.book {
		if (item.Adapter != "") != adapters || l.State != backend.Loaded || item.Model == wanted.Model && !adapters || item == wanted {
			continue
		}
		if w.pinned(cfg, item, others) {
			continue
		}
		busy, kids := l.inflight > 0 || w.d.Reports.Inflight(w.listed.ID, item.String(), now) > 0 || waiting[item] > 0, 0
		pen, stays := w.penaltyOf(cfg, item, others, now), false
		if !adapters {
			for other, o := range w.book {
				if other.Model != item.Model || other.Adapter == "" {
					continue
				}
				kids++
				pen += w.penaltyOf(cfg, other, others, now)
				// Why: a model is in use as long as any adapter on it is, and moves only when it can go too.
				busy = busy || waiting[other] > 0 || o.State != backend.Loaded || o.inflight > 0
				stays = stays || w.pinned(cfg, other, others)
			}
		}
		size := l.SizeMib
		if adapters {
			size = 1
		}
		if stays {
			continue
		}
		if busy {
			used += size
			continue
		}
		f := judge.Idle{Name: item.String(), SizeMib: size, Penalty: pen, IdleFor: now - l.lastUsed, Copies: copies(others, w.listed.ID, item), Adapters: kids}
		list = append(list, f)
		facts[f.Name] = f
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	ranked = judge.Victims(cfg.Weights, list)
	for _, r := range ranked {
		order = append(order, penalty.Victim{Item: r.Name, Size: facts[r.Name].SizeMib, Penalty: facts[r.Name].Penalty})
	}
	return order, ranked, used
}

func copies(others []News, not string, item conf.Item) int {
	n := 0
	for _, o := range others {
		if o.Listed.ID != not && !o.Dark && !o.Listed.Leaving && o.Items[item.String()] == backend.Loaded {
			n++
		}
	}
	return n
}

// penaltyOf is what it would cost not to hold an item here: its predicted
// requests times the time to serve one from the cheapest other holder, or,
// where there is none, the time to load it again and serve it (ours).
func (w *Ward) penaltyOf(cfg conf.Effective, item conf.Item, others []News, now time.Duration) float64 {
	cheapest := Cheapest(others, w.listed.ID, item, w.d.Reports, now, cfg)
	if cheapest == 0 {
		m := cfg.Models[item.Model]
		cheapest = m.LoadFor + m.ServeFor
	}
	return penalty.Of(w.d.Requests(item.String()), cheapest)
}

// Cheapest is the predicted time to serve from the cheapest holder other than
// not, or 0 when there is none.
func Cheapest(others []News, not string, item conf.Item, reports *report.Table, now time.Duration, cfg conf.Effective) time.Duration {
	var best time.Duration
	for _, o := range others {
		if o.Listed.ID == not || o.Dark || o.Listed.Leaving || o.Items[item.String()] != backend.Loaded {
			continue
		}
		serve := time.Duration(o.ServeMs) * time.Millisecond
		if serve == 0 {
			serve = cfg.Models[item.Model].ServeFor
		}
		// Why: requests already there make the next one wait for a place.
		busy := float64(reports.InflightOn(o.Listed.ID, now)) / float64(max(o.Slots, 1))
		if t := time.Duration(float64(serve) * (1 + busy)); best == 0 || t < best {
			best = max(t, time.Millisecond)
		}
	}
	return best
}

func (w *Ward) pinned(cfg conf.Effective, item conf.Item, others []News) bool {
	for _, want := range cfg.Claimed() {
		if !item.Covers(want.Item) || !want.Group.Matches(labels.Set(w.listed.Labels)) {
			continue
		}
		n := 0
		for _, o := range others {
			if o.Listed.ID != w.listed.ID && !o.Dark && !o.Listed.Leaving && want.Group.Matches(labels.Set(o.Listed.Labels)) && o.Items[want.Item.String()] == backend.Loaded {
				n++
			}
		}
		if n < want.Copies {
			return true
		}
	}
	return false
}

func (w *Ward) fresh() bool { return w.known && w.d.Clock.Since()-w.vitalsAt < 2*time.Second }

// keep writes the book to the control state; orders only follow from what is kept.
func (w *Ward) keep() bool {
	b := Book{Incarnation: w.vitals.Incarnation, Lines: map[string]Line{}}
	for item, l := range w.book {
		b.Lines[item.String()] = l.Line
	}
	ctx, cancel := context.WithTimeout(w.d.Group.Context(), 2*time.Second)
	defer cancel()
	_, err := w.d.Owner.Update(ctx, Key(w.listed.ID), func(state.Record, bool) ([]byte, error) { return wire.Pack(b), nil })
	if err != nil {
		w.d.Log.Info("book not kept", "replica", w.listed.ID, "problem", err)
		return false
	}
	return true
}

func (w *Ward) onBeat() {
	key := Key(w.listed.ID)
	if w.closed || !w.d.Owner.Holds(key) {
		return
	}
	epoch, _, _ := w.d.Owner.MayOrder(key)
	if epoch != w.epoch {
		w.takeOver(epoch)
	}
	w.look()
	w.unmark()
	w.advance()
	w.afloat()
	w.publish()
}

// takeOver starts from the book the owner before us kept.
func (w *Ward) takeOver(epoch uint64) {
	ctx, cancel := context.WithTimeout(w.d.Group.Context(), time.Second)
	defer cancel()
	rec, found, err := w.d.Owner.Get(ctx, Key(w.listed.ID))
	if err != nil {
		return
	}
	w.epoch, w.serial, w.known = epoch, 0, false
	w.tasks.Clear()
	w.book = map[conf.Item]*line{}
	now := w.d.Clock.Since()
	var b Book
	if found && wire.Unpack(rec.Value, &b) == nil {
		for item, l := range b.Lines {
			// Why: what may have been ordered counts until the replica's own report says otherwise.
			w.book[conf.ParseItem(item)] = &line{Line: l, ordered: now, lastUsed: now, inherited: true}
		}
	}
}

// look asks the replica how it is and brings the book in line.
func (w *Ward) look() {
	ctx, cancel := context.WithTimeout(w.d.Group.Context(), askLimit)
	defer cancel()
	asked := w.d.Clock.Since()
	v, err := w.d.Conn.Vitals(ctx, w.listed.Addr, w.listed.ID)
	if err != nil {
		if w.wrong++; w.wrong == 1 {
			w.d.Log.Info("no report", "replica", w.listed.ID, "problem", err)
		}
		return
	}
	w.wrong = 0
	if w.known && v.Incarnation != w.vitals.Incarnation {
		w.d.Log.Info("replica started anew", "replica", w.listed.ID)
		w.tasks.Clear()
		w.book = map[conf.Item]*line{}
	}
	if v.Leaving {
		platform.Mark(w.d.News, w.listed.ID)
	}
	w.vitals, w.vitalsAt, w.known = v, asked, true
	for item, seen := range v.Items {
		l := w.book[item]
		if l == nil {
			l = &line{lastUsed: asked}
			w.book[item] = l
		}
		if item.Adapter == "" {
			l.SizeMib = seen.SizeMib
		}
		if seen.Inflight > 0 {
			l.lastUsed = asked
		}
		l.inflight = seen.Inflight
		switch {
		case seen.State != backend.Loaded:
			l.State = seen.State
		case l.State != Leaving || !w.taken(item):
			l.State = backend.Loaded
		}
	}
	for item, l := range w.book {
		if _, there := v.Items[item]; there || w.reservedBy(item) {
			continue
		}
		// Why: an order whose outcome is not known counts as carried out until a later report denies it.
		if asked-l.ordered < doubt {
			continue
		}
		delete(w.book, item)
	}
}

// taken says whether a task wants the item gone.
func (w *Ward) taken(item conf.Item) bool {
	for i := range w.tasks.Len() {
		for _, v := range w.tasks.At(i).victims {
			if v.Covers(item) {
				return true
			}
		}
	}
	return false
}

func (w *Ward) reservedBy(item conf.Item) bool {
	for i := range w.tasks.Len() {
		t := w.tasks.At(i)
		if item.Covers(t.item) {
			return true
		}
	}
	return false
}

// unmark takes a leaving mark back after the replica has been listed as
// staying, by a platform heard just now, for a while.
func (w *Ward) unmark() {
	now := w.d.Clock.Since()
	// Why: a platform not heard is not one that says the replica stays.
	if w.d.Platform() > 2*time.Second || w.listed.Leaving || !w.known || w.vitals.Leaving || !platform.Marked(w.d.News, w.listed.ID) {
		w.staying = -1
		return
	}
	if w.staying < 0 {
		w.staying = now
	}
	if now-w.staying > 5*time.Second {
		platform.Unmark(w.d.News, w.listed.ID)
	}
}

// order sends one order, if the hold allows it at this very moment.
func (w *Ward) order(verb string, item conf.Item, size int, by time.Duration) error {
	w.orders++
	epoch, left, ok := w.d.Owner.MayOrder(Key(w.listed.ID))
	// Why: an order must be dead before the hold is, so it gets no more time than that.
	left = min(left, by)
	if !ok || epoch != w.epoch || left < 20*time.Millisecond {
		return backend.ErrRefused
	}
	ctx, cancel := context.WithTimeout(w.d.Group.Context(), left)
	defer cancel()
	o := backend.Order{ID: fmt.Sprintf("%s.%d.%d", w.d.Self, epoch, w.orders), Verb: verb, Item: item, SizeMib: size, Epoch: epoch, Controller: w.d.Self + "/" + w.d.Boot}
	err := w.d.Conn.Order(ctx, w.listed.Addr, o)
	w.d.Log.Info("order", "replica", w.listed.ID, "verb", verb, "item", item.String(), "epoch", epoch, "problem", err)
	return err
}

// overtakes is how much dearer a task must be to go before one that has waited
// longer. Why: two that are worth the same must not take turns at the store's door.
const overtakes = 1.25

// dearestFirst moves the task that is worth most now to the front, unless the one
// there has begun to move things. Why: the store's keeper lets the dearest start, but a replica's controller asks for
// one at a time; behind a cheap one the dearest would not even be heard of.
func (w *Ward) dearestFirst(now time.Duration) {
	for i := range w.tasks.Len() {
		t := w.tasks.At(i)
		// Why: what is worth how much changes while it waits: others have begun to ask, or those that asked have gone.
		if n := w.d.Requests(t.item.String()); n > 0 && t.cost > 0 {
			t.worth = penalty.Of(n, t.cost)
		}
	}
	for i := w.tasks.Len() - 1; i > 0; i-- {
		if t := w.tasks.At(i); t.waits() && now-t.begun > paceLimit {
			w.drop(i, "the store had no room")
		}
	}
	if w.tasks.Len() < 2 || !w.tasks.Front().waits() {
		return
	}
	best := 0
	for i := 1; i < w.tasks.Len(); i++ {
		if t := w.tasks.At(i); t.waits() && t.worth > w.tasks.At(best).worth && w.fits(t) {
			best = i
		}
	}
	if w.tasks.At(best).worth > overtakes*w.tasks.Front().worth {
		w.tasks.PushFront(w.tasks.Remove(best))
	}
}

// fits says whether a task finds room with what is there now but for its own
// victims. Why: one may have been taken on for room that another's victims leave over, and must wait for that one.
func (w *Ward) fits(t *task) bool {
	mib, places := w.there()
	for item, l := range w.book {
		for _, v := range t.victims {
			switch {
			case !v.Covers(item):
			case item.Adapter == "":
				mib -= l.SizeMib
			default:
				places--
			}
		}
	}
	if l := w.book[conf.Item{Model: t.item.Model}]; l != nil && l.State == Reserved {
		mib += l.SizeMib
	}
	if t.item.Adapter != "" {
		places++
	}
	return mib <= w.vitals.CapacityMib && (t.item.Adapter == "" || places <= w.vitals.AdapterPlaces)
}

func (w *Ward) advance() {
	if w.tasks.Len() == 0 {
		return
	}
	now := w.d.Clock.Since()
	w.dearestFirst(now)
	t := w.tasks.Front()
	if w.leaving() && t.phase < gone {
		w.fail(t, "replica is leaving")
		return
	}
	if !w.fresh() {
		if now-t.begun > paceLimit {
			w.fail(t, "no report")
		}
		return
	}
	next := func(p phase) { t.phase, t.since = p, now }
	switch t.phase {
	case withdraw:
		w.publish()
		t.stamp = w.stampNow()
		next(acks)
		if len(t.victims) == 0 {
			next(grant)
		}
	case acks:
		if w.acked(t.stamp) || now-t.since > ackLimit {
			next(idle)
		}
	case idle:
		if w.vitalsAt <= t.since {
			return
		}
		if now-t.since > idleLimit {
			w.fail(t, "victims stay in use")
			return
		}
		for _, v := range t.victims {
			for item, l := range w.book {
				if v.Covers(item) && (l.inflight > 0 || w.d.Reports.Inflight(w.listed.ID, item.String(), now) > 0) {
					return
				}
			}
		}
		for _, v := range t.victims {
			verb := backend.Unload
			if v.Adapter != "" {
				verb = backend.UnloadAdapter
			}
			l := w.book[v]
			if l == nil {
				continue
			}
			// Why: only a load may show later than it was ordered. What is reported gone is gone, and the load that
			// waits for its room need not wait out a doubt.
			if err := w.order(verb, v, l.SizeMib, orderLimit); err != nil {
				w.fail(t, "unload: "+err.Error())
				return
			}
		}
		next(gone)
	case gone:
		left := 0
		for _, v := range t.victims {
			if w.book[v] != nil {
				left++
			}
		}
		if left == 0 {
			next(grant)
		} else if now-t.since > goneLimit {
			w.fail(t, "victims do not go")
		}
	case grant:
		w.load(t, now, next)
	case loaded:
		l := w.book[t.item]
		base := w.book[conf.Item{Model: t.item.Model}]
		m := w.d.Conf().Models[t.item.Model]
		switch {
		case l != nil && l.State == backend.Loaded:
			w.learn(t, now)
			w.tasks.PopFront()
		case t.item.Adapter != "" && base != nil && base.State == backend.Loaded && l != nil && l.State == Reserved:
			next(grant)
		case now-t.since > 5*m.LoadFor+30*time.Second:
			w.fail(t, "load takes too long")
		case l == nil || l.State == Reserved && now-t.since > doubt && base == nil:
			w.fail(t, "load did not start")
		}
	}
}

// load asks for the store's leave and orders the model, then the adapter.
func (w *Ward) load(t *task, now time.Duration, next func(phase)) {
	if now-t.since > paceLimit {
		w.fail(t, "the store had no room")
		return
	}
	verb, what := backend.Load, conf.Item{Model: t.item.Model}
	if base := w.book[what]; t.item.Adapter != "" && base != nil && base.State != Reserved {
		if base.State != backend.Loaded {
			next(loaded)
			return
		}
		verb, what = backend.LoadAdapter, t.item
	}
	l := w.book[what]
	if l == nil {
		w.fail(t, "its room was given up")
		return
	}
	if now-w.vitalsAt > justNow {
		return
	}
	mib, places := w.there()
	// Why: tasks that come later have their victims still there; what counts now is what is there now.
	if verb == backend.Load && mib+l.SizeMib > w.vitals.CapacityMib || verb == backend.LoadAdapter && places+1 > w.vitals.AdapterPlaces {
		if now-t.since > goneLimit {
			w.fail(t, "it does not fit any more")
		}
		return
	}
	asked := w.d.Clock.Since()
	ctx, cancel := context.WithTimeout(w.d.Group.Context(), orderLimit)
	defer cancel()
	wait, ok := w.d.Grant(ctx, w.who(what), t.worth)
	t.wait = wait
	if !ok {
		return
	}
	// Why: a grant dies unused, and it began to live at the earliest when it was asked for.
	by := pace.GrantLife - (w.d.Clock.Since() - asked) - 20*time.Millisecond
	l.ordered = w.d.Clock.Since()
	switch err := w.order(verb, what, l.SizeMib, by); {
	case err == nil, backend.IsUnsure(err):
		l.State = backend.Loading
		next(loaded)
	default:
		w.fail(t, "load: "+err.Error())
	}
}

// who names a load to the store's keeper.
func (w *Ward) who(item conf.Item) string { return w.listed.ID + " " + item.String() }

// afloat keeps the store's keeper in mind of loads that were ordered and that no
// report has told of since.
func (w *Ward) afloat() {
	now := w.d.Clock.Since()
	if now-w.toldAt < floatBeat {
		return
	}
	// Why: a report follows an order at the next beat; until then the grant itself counts.
	for item, l := range w.book {
		if l.State == backend.Loading && l.ordered >= w.vitalsAt && now-l.ordered > floatBeat {
			w.toldAt = now
			ctx, cancel := context.WithTimeout(w.d.Group.Context(), askLimit)
			w.d.Afloat(ctx, w.who(item))
			cancel()
		}
	}
}

func (w *Ward) learn(t *task, now time.Duration) {
	if m := w.d.Conf().Models[t.item.Model]; t.item.Adapter == "" && m.SizeMib > 0 {
		took := float64((now - t.since).Milliseconds()) / float64(m.SizeMib)
		if w.perMib == 0 {
			w.perMib = took
		}
		w.perMib = 0.7*w.perMib + 0.3*took
	}
}

// fail gives up the task in front.
func (w *Ward) fail(_ *task, why string) { w.drop(0, why) }

func (w *Ward) drop(i int, why string) {
	t := w.tasks.Remove(i)
	w.d.Log.Info("load given up", "replica", w.listed.ID, "item", t.item.String(), "why", why)
	w.undo(t)
	w.keep()
}

// acked says whether every live proxy has this replica's news in force.
func (w *Ward) acked(s state.Stamp) bool {
	reports := w.d.Reports.All()
	for agent := range w.d.Agents() {
		if got := reports[agent].Acked[w.listed.ID]; s.Newer(got) {
			return false
		}
	}
	return true
}

func (w *Ward) stampNow() state.Stamp { return state.Stamp{Epoch: w.epoch, Serial: w.serial} }

// publish tells the news what has changed.
func (w *Ward) publish() {
	if w.epoch == 0 {
		return
	}
	mib, places := w.planned()
	listed := w.listed
	listed.Leaving = w.leaving()
	n := News{Listed: listed, Controller: w.d.Self, Items: map[string]string{}, CapacityMib: w.vitals.CapacityMib,
		FreeMib: w.vitals.CapacityMib - mib, AdapterPlaces: w.vitals.AdapterPlaces, AdapterFree: w.vitals.AdapterPlaces - places,
		Slots: w.vitals.Slots, ServeMs: coarse(int(w.vitals.ServeFor.Milliseconds())), Dark: !w.fresh()}
	for item, l := range w.book {
		n.Items[item.String()] = l.State
	}
	w.etas = w.expect()
	packed := wire.Pack([]any{n, w.etas})
	if w.serial > 0 && bytes.Equal(packed, w.packed) {
		return
	}
	w.serial++
	w.packed = packed
	// Why: whoever reads it counts from when it came, so what is left is told anew with each piece of news.
	n.ReadyMs = map[string]int{}
	for item, at := range w.etas {
		n.ReadyMs[item] = int(max(0, at-w.d.Clock.Since()).Milliseconds())
	}
	w.d.News.Put(news.Entry{Key: Key(w.listed.ID), Stamp: w.stampNow(), Value: wire.Pack(n)})
}

// expect is when each item on its way will probably be there. What was said
// before stands while it is about right, so that it makes no news.
func (w *Ward) expect() map[string]time.Duration {
	out := map[string]time.Duration{}
	models := w.d.Conf().Models
	now, sofar := w.d.Clock.Since(), time.Duration(0)
	for i := range w.tasks.Len() {
		t := w.tasks.At(i)
		if i > 0 {
			sofar += 500 * time.Millisecond
		}
		load := time.Duration(w.loadMs(models[t.item.Model])) * time.Millisecond
		if t.phase == loaded {
			load = max(load-(now-t.since), 100*time.Millisecond)
		}
		sofar += t.wait + load
		at := now + sofar
		if was, said := w.etas[t.item.String()]; said && at-was < aboutRight && was-at < aboutRight {
			at = was
		}
		out[t.item.String()] = at
	}
	return out
}

// coarse rounds so that small changes make no news.
func coarse(ms int) int {
	for step := 10; ; step *= 2 {
		if ms < step*10 {
			return ms / step * step
		}
	}
}

// Close ends control; the platform no longer lists the replica, or another core holds it.
func (w *Ward) Close(ctx context.Context, gone bool) {
	_ = w.desk.Ask(ctx, func() {
		w.closed = true
		if gone && w.epoch > 0 {
			w.serial++
			w.d.News.Put(news.Entry{Key: Key(w.listed.ID), Stamp: w.stampNow(), Gone: true})
		}
	})
}
