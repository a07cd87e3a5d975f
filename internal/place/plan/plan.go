// Package plan counts demand, predicts it, and turns misses and claims into
// loads by asking the replicas' controllers, best candidate first.
package plan

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gammazero/deque"
	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/news"
	"drumstall.example/internal/place/demand"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/pace"
	"drumstall.example/internal/place/penalty"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/owner"
)

const (
	beat       = 250 * time.Millisecond
	shareBeat  = 2 * time.Second
	keepBeat   = 20 * time.Second
	again      = time.Second     // between two decisions about one item
	patience   = 5 * time.Second // for what stands in the way of a load and will pass
	claimAgain = 5 * time.Second // between two looks at a claim that could not be met
	useLife    = 3 * shareBeat   // what the store's keeper told holds so long
	tries      = 4               // candidates asked for one decision
	decisions  = 200             // kept for explaining
	maxItems   = 20_000
)

// PaceKey is where the store's pace is owned.
const PaceKey = "pace/store"

// DemandKey names an hour of an item's history in a ring of hours.
func DemandKey(item conf.Item, hour int64) string {
	return fmt.Sprintf("demand/%s/%d/%s", item.Model, hour%demand.KeptHours, item.Adapter)
}

// ExpectKey names what proxies are told about an item they hold requests for.
func ExpectKey(item string) string { return "expect/" + item }

// Expect says when a replica should have the item, or that none will.
type Expect struct {
	Refused bool   `cbor:"1,keyasint"`
	ReadyMs int    `cbor:"2,keyasint"`
	RetryS  int    `cbor:"3,keyasint"`
	Why     string `cbor:"4,keyasint"`
	// Trying says that nothing could be loaded yet, and that it is tried again.
	Trying bool `cbor:"5,keyasint,omitempty"`
}

// Tried is one candidate that was asked, and what it said.
type Tried struct {
	Replica string           `json:"replica"`
	Answer  order.Considered `json:"answer"`
}

// Decision is kept so that it can be explained.
type Decision struct {
	At         time.Time      `json:"at"`
	Core       string         `json:"core"`
	Item       string         `json:"item"`
	Cause      string         `json:"cause"`
	Requests   float64        `json:"requests"`
	Accuracy   float64        `json:"accuracy"`
	CheapestMs int64          `json:"cheapestMs"`
	Penalty    float64        `json:"penalty"`
	Csf        float64        `json:"csf"`
	Alone      bool           `json:"alone"` // nobody holds it
	Pass       bool           `json:"pass"`  // so it may go in without the test this time
	Candidates []judge.Ranked `json:"candidates"`
	Tried      []Tried        `json:"tried"`
	Taken      string         `json:"taken"`
	claim      bool           // it is about a claim's copy
}

// Shared is a core's predictions, told to the others.
type Shared struct {
	From string             `cbor:"1,keyasint"`
	Next map[string]float64 `cbor:"2,keyasint"`
	// Keeps says that the sender grants the store's loads, and Use how much of the pace is used.
	Keeps bool    `cbor:"3,keyasint,omitempty"`
	Use   float64 `cbor:"4,keyasint,omitempty"`
}

// Granting asks for a load start.
type Granting struct {
	Who   string  `cbor:"1,keyasint"` // the replica and item it is for
	Worth float64 `cbor:"2,keyasint"` // penalty of the miss
	// Afloat asks for nothing: the load was ordered, and may start at any time or never.
	Afloat bool `cbor:"3,keyasint,omitempty"`
}

// Granted is the answer.
type Granted struct {
	OK     bool `cbor:"1,keyasint"`
	WaitMs int  `cbor:"2,keyasint"`
}

// Deps is what the planner needs from the core.
type Deps struct {
	Group   *run.Group
	Clock   tick.Clock
	Log     *slog.Logger
	Self    string
	Owner   *owner.Owner
	News    *news.Table
	Reports *report.Table
	Conf    func() conf.Effective
	// Ask reaches the controller of a replica, on whichever core it is.
	Ask func(ctx context.Context, controller string, q order.Consider) (order.Considered, error)
	// Tell shares predictions with the other cores.
	Tell func(ctx context.Context, s Shared)
}

type item struct {
	series *demand.Series
	seen   map[string]uint64
	last   time.Duration // last decision
	vain   time.Duration // since when nothing could be loaded for what will pass; 0 is not
	passed time.Duration // when it was last loaded without the test
	said   state.Stamp
	expect Expect
	dirty  map[int64]bool
}

// Planner plans for the items whose slots this core holds.
type Planner struct {
	d       Deps
	desk    *run.Desk
	worker  *run.Desk
	items   map[conf.Item]*item
	minutes *demand.Minutes
	loaded  map[int]uint64 // slot: epoch whose history has been read
	next    atomic.Pointer[map[string]float64]
	shared  map[string]float64
	use     float64       // of the store's pace, as its keeper last told
	usedAt  time.Duration // when it did
	log     deque.Deque[Decision]
	unmet   map[string]string
	busy    atomic.Bool
	claimAt map[conf.Item]time.Duration
	pacer   struct {
		epoch  uint64
		keeper *pace.Keeper
	}
	paceDesk *run.Desk
	expSer   uint64
}

// New starts to plan.
func New(d Deps) *Planner {
	p := &Planner{d: d, items: map[conf.Item]*item{}, loaded: map[int]uint64{}, shared: map[string]float64{}, usedAt: -1 << 62, unmet: map[string]string{},
		claimAt: map[conf.Item]time.Duration{}, minutes: demand.NewMinutes(d.Clock.Wall(), d.Clock.Since())}
	p.next.Store(&map[string]float64{})
	p.paceDesk = run.NewDesk(d.Group, 64, 0, nil)
	p.desk = run.NewDesk(d.Group, 1024, beat, p.onBeat)
	d.Group.Every(shareBeat, p.share)
	d.Group.Every(keepBeat, p.keep)
	return p
}

// Requests is the predicted requests of an item over the horizon, by whichever
// core predicts it.
func (p *Planner) Requests(it string) float64 { return (*p.next.Load())[it] }

func (p *Planner) rule() demand.Rule {
	l := p.d.Conf().Limits
	return demand.Rule{DayWeights: l.DayWeights, WarmupMinutes: l.WarmupMinutes, HorizonMinutes: l.HorizonMinutes}
}

// OnTake lays in the history of a slot that this core now holds.
func (p *Planner) OnTake(slot int, epoch uint64, recs []state.Record) {
	if slot == state.SlotOf(PaceKey) {
		// Why: what the keeper before us granted is waited out from now on, not from the first question.
		now := p.d.Clock.Since()
		_ = p.paceDesk.Tell(func() { p.keeperFor(epoch, now) })
	}
	// Why: a full holding must not lose this; without its history the slot would never be planned for.
	p.d.Group.Go(func(ctx context.Context) { _ = p.desk.Ask(ctx, func() { p.layIn(slot, epoch, recs) }) })
}

func (p *Planner) layIn(slot int, epoch uint64, recs []state.Record) {
	if epoch <= p.loaded[slot] {
		return
	}
	for it := range p.items {
		if state.SlotOf(DemandKey(it, 0)) == slot {
			delete(p.items, it)
		}
	}
	newest := map[conf.Item]int64{}
	for _, r := range recs {
		it, ok := itemOf(r.Key)
		if !ok || r.Gone {
			continue
		}
		h, err := demand.UnpackHour(r.Value)
		if err != nil {
			p.d.Log.Warn("an hour of demand cannot be read", "key", r.Key)
			continue
		}
		i := p.item(it)
		if i == nil {
			continue
		}
		if h.Hour >= newest[it] {
			newest[it] = h.Hour
			i.seen = map[string]uint64{}
			maps.Copy(i.seen, h.Seen)
		}
		h.Seen = nil
		i.series.Lay(h)
	}
	p.loaded[slot] = epoch
}

func itemOf(key string) (conf.Item, bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 || parts[0] != "demand" {
		return conf.Item{}, false
	}
	return conf.Item{Model: parts[1], Adapter: parts[3]}, true
}

func (p *Planner) item(it conf.Item) *item {
	i := p.items[it]
	if i == nil {
		if len(p.items) >= maxItems {
			return nil
		}
		i = &item{series: demand.NewSeries(), seen: map[string]uint64{}, last: -1 << 62, passed: -1 << 62, dirty: map[int64]bool{}}
		p.items[it] = i
	}
	return i
}

// holds says whether this core plans for an item now, its history being read.
func (p *Planner) holds(it conf.Item) bool {
	key := DemandKey(it, 0)
	epoch, _, _ := p.d.Owner.MayOrder(key)
	return p.d.Owner.Holds(key) && p.loaded[state.SlotOf(key)] == epoch
}

// Report takes an edge's word.
func (p *Planner) Report(ctx context.Context, r report.Report) error {
	return p.desk.Ask(ctx, func() {
		now := p.d.Clock.Since()
		if !p.d.Reports.Put(r, now) {
			return
		}
		minute, fresh := p.minutes.Now(p.d.Clock.Wall(), now)
		cfg := p.d.Conf()
		for name, count := range r.Demand {
			it := conf.ParseItem(name)
			if _, known := cfg.Models[it.Model]; !known || !p.holds(it) {
				continue
			}
			i := p.item(it)
			if i == nil {
				continue
			}
			// Why: reports carry running totals, so one lost or come twice changes nothing.
			from := r.Agent + "/" + r.Boot
			was, counted := i.seen[from]
			if count <= was && counted {
				continue
			}
			i.seen[from] = count
			if fresh {
				i.series.Add(minute, uint32(min(count-was, 1<<31)))
				i.dirty[minute/60] = true
			}
		}
	})
}

// Views are all replicas' newest news, by name.
func Views(t *news.Table) []order.News {
	var out []order.News
	for _, e := range t.List("replica/") {
		var n order.News
		if wire.Unpack(e.Value, &n) == nil {
			out = append(out, n)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Listed.ID < out[j].Listed.ID })
	return out
}

func (p *Planner) onBeat() {
	// Why: asking controllers takes time; the desk must go on taking reports, so one round runs beside it.
	if p.busy.Swap(true) {
		return
	}
	now := p.d.Clock.Since()
	cfg := p.d.Conf()
	views := Views(p.d.News)
	var work []Decision
	for it, n := range p.d.Reports.Waiting(now) {
		if d, ok := p.miss(cfg, it, n, views, now); ok {
			work = append(work, d)
		}
	}
	work = append(work, p.claims(cfg, views, now)...)
	sort.Slice(work, func(i, j int) bool { return work[i].Penalty > work[j].Penalty })
	if !p.d.Group.Go(func(ctx context.Context) {
		defer p.busy.Store(false)
		for _, d := range work {
			p.decide(ctx, cfg, d, views)
		}
	}) {
		p.busy.Store(false)
	}
}

// miss prepares a decision about an item that requests wait for.
func (p *Planner) miss(cfg conf.Effective, it conf.Item, waiting int, views []order.News, now time.Duration) (Decision, bool) {
	m, known := cfg.Models[it.Model]
	if !known || !p.holds(it) {
		return Decision{}, false
	}
	i := p.item(it)
	if i == nil || now-i.last < again {
		return Decision{}, false
	}
	coming := false
	for _, v := range views {
		if s := v.Items[it.String()]; !v.Dark && !v.Listed.Leaving && (s == order.Reserved || s == backend.Loading) {
			coming = true
		}
	}
	// Why: many misses for one item make one load; the next is thought of when it is there.
	if coming {
		return Decision{}, false
	}
	if now-i.last > 3*again {
		i.vain = 0
	}
	i.last = now
	minute, _ := p.minutes.Now(p.d.Clock.Wall(), now)
	rule := p.rule()
	requests := i.series.Next(rule, minute, waiting)
	acc, _ := i.series.Accuracy(rule, minute)
	cheapest := order.Cheapest(views, "", it, p.d.Reports, now, cfg)
	alone := cheapest == 0
	if alone {
		cheapest = m.LoadFor + m.ServeFor
	}
	d := Decision{At: p.d.Clock.Wall(), Core: p.d.Self, Item: it.String(), Cause: fmt.Sprintf("%d requests wait", waiting), Requests: requests, Accuracy: acc,
		CheapestMs: cheapest.Milliseconds(), Penalty: penalty.Of(requests, cheapest), Csf: cfg.Limits.Csf, Alone: alone}
	// Why: if every miss of an item nobody holds went in without the test, rare items would drive each other
	// and the wanted ones out, faster than the store can bring them back (docs/measurements/replay.md).
	// While the store has time to spare they cannot, and whoever asks would be turned away for nothing. A keeper
	// that has not been heard of counts as busy.
	spare := now-p.usedAt < useLife && p.use < cfg.Limits.PassSlack
	d.Pass = alone && (spare || now-i.passed >= cfg.Limits.PassEvery)
	d.Candidates = p.candidates(cfg, it, m, views, now, labels.Everything())
	return d, true
}

func (p *Planner) candidates(cfg conf.Effective, it conf.Item, m conf.Model, views []order.News, now time.Duration, in labels.Selector) []judge.Ranked {
	zones := map[string]int{}
	for _, v := range views {
		if v.Items[it.String()] == backend.Loaded {
			zones[v.Listed.Zone]++
		}
	}
	var facts []judge.Replica
	for _, v := range views {
		if !v.Listed.Model || v.Dark || v.Items[it.String()] != "" || !cfg.Allowed(it.Model, v.Listed.Labels) || !in.Matches(labels.Set(v.Listed.Labels)) {
			continue
		}
		need := m.SizeMib
		if v.Items[it.Model] != "" {
			need = 0
		}
		facts = append(facts, judge.Replica{Name: v.Listed.ID, Inflight: p.d.Reports.InflightOn(v.Listed.ID, now), Slots: v.Slots,
			ServeFor: time.Duration(v.ServeMs) * time.Millisecond, Leaving: v.Listed.Leaving, FreeMib: v.FreeMib, NeedMib: need,
			Fits: m.SizeMib <= v.CapacityMib && (it.Adapter == "" || v.AdapterPlaces > 0), AdFree: v.AdapterFree, Copies: zones[v.Listed.Zone]})
	}
	ranked := judge.Load(cfg.Weights, facts)
	if it.Adapter != "" {
		// Why: an adapter goes in with one start of the store where its model is, and with two elsewhere; the store is
		// what everybody waits for.
		has := map[string]bool{}
		for _, v := range views {
			has[v.Listed.ID] = v.Items[it.Model] == backend.Loaded
		}
		slices.SortStableFunc(ranked, func(a, b judge.Ranked) int { return starts(a, has) - starts(b, has) })
	}
	return ranked
}

// starts is how many loads an adapter takes on a replica; a vetoed one comes last.
func starts(r judge.Ranked, has map[string]bool) int {
	switch {
	case r.Vetoed:
		return 3
	case has[r.Name]:
		return 1
	}
	return 2
}

// claims prepares decisions about copies that claims want and that are missing.
func (p *Planner) claims(cfg conf.Effective, views []order.News, now time.Duration) []Decision {
	var out []Decision
	unmet := map[string]string{}
	for _, want := range cfg.Claimed() {
		if !p.holds(want.Item) {
			continue
		}
		have, ready := 0, 0
		for _, v := range views {
			s := v.Items[want.Item.String()]
			if v.Dark || v.Listed.Leaving || !want.Group.Matches(labels.Set(v.Listed.Labels)) {
				continue
			}
			if s == backend.Loaded || s == backend.Loading || s == order.Reserved {
				have++
			}
			if s == backend.Loaded {
				ready++
			}
		}
		at := want.Claim + ": " + want.Item.String()
		if ready < want.Copies {
			unmet[at] = fmt.Sprintf("%d of %d copies are ready, %d on the way", ready, want.Copies, have-ready)
		}
		if have >= want.Copies || now-p.claimAt[want.Item] < claimAgain && p.claimAt[want.Item] != 0 {
			continue
		}
		p.claimAt[want.Item] = now
		m := cfg.Models[want.Item.Model]
		d := Decision{At: p.d.Clock.Wall(), Core: p.d.Self, Item: want.Item.String(), Cause: "claim " + want.Claim, Requests: p.Requests(want.Item.String()), Accuracy: 1, claim: true,
			CheapestMs: (m.LoadFor + m.ServeFor).Milliseconds(), Csf: cfg.Limits.Csf}
		d.Penalty = penalty.Of(d.Requests, m.LoadFor+m.ServeFor)
		d.Candidates = p.candidates(cfg, want.Item, m, views, now, want.Group)
		out = append(out, d)
	}
	p.unmet = unmet
	return out
}

// decide asks the best candidates in turn and keeps the decision.
func (p *Planner) decide(ctx context.Context, cfg conf.Effective, d Decision, views []order.News) {
	by := map[string]order.News{}
	for _, v := range views {
		by[v.Listed.ID] = v
	}
	ready, undecided := 0, false
	// Why: several candidates are asked at once, so asking writes nothing that is shared.
	ask := func(to string, dry bool) (a order.Considered, unsure bool) {
		one, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer cancel()
		var err error
		a, err = p.d.Ask(one, by[to].Controller, order.Consider{Replica: to, Item: d.Item, Penalty: d.Penalty, Alone: d.Pass, Claim: d.claim, Dry: dry, CostMs: int(d.CheapestMs)})
		if err != nil {
			a = order.Considered{Why: err.Error(), Silent: true}
			// Why: one that gave no answer may have taken it; its news will tell before the next decision.
			unsure = !dry && wire.Code(err) != "not-owner"
		}
		return a, unsure
	}
	var names []string
	for n, c := range d.Candidates {
		if n >= tries || c.Vetoed {
			break
		}
		names = append(names, c.Name)
	}
	answers := make([]order.Considered, len(names))
	type answer struct {
		i int
		a order.Considered
	}
	ch := run.Fan(p.d.Group, len(names), func(_ context.Context, i int) answer { a, _ := ask(names[i], true); return answer{i, a} })
	for range names {
		x := <-ch
		answers[x.i] = x.a
	}
	// Why: of those that agree, the one that takes the store's time the least, then the one whose victims are worth
	// least; the judges' order decides between equals.
	for len(names) > 0 && d.Taken == "" && !undecided {
		best := -1
		for i, a := range answers {
			if a.Taken && (best < 0 || a.Starts < answers[best].Starts || a.Starts == answers[best].Starts && a.Sum < answers[best].Sum) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		a, unsure := ask(names[best], false)
		undecided = undecided || unsure
		answers[best] = a
		if a.Taken {
			d.Taken, ready = names[best], a.ReadyMs
		}
	}
	soon := false
	for i, a := range answers {
		soon = soon || a.Soon
		d.Tried = append(d.Tried, Tried{names[i], a})
		undecided = undecided || a.Silent
	}
	p.d.Log.Info("decision", "item", d.Item, "cause", d.Cause, "penalty", d.Penalty, "alone", d.Alone, "taken", d.Taken)
	e := Expect{ReadyMs: ready}
	if d.Taken == "" {
		e = Expect{Refused: true, RetryS: 2, Why: "no replica can load it now"}
		if d.Alone && !d.Pass {
			e.RetryS, e.Why = int(cfg.Limits.PassEvery/time.Second)/4+1, "what it would drive out is wanted more now"
			// Why: the store may have time to spare again well before the next pass is due.
			if cfg.Limits.PassSlack > 0 {
				e.RetryS = min(e.RetryS, int(pace.UseSpan/time.Second)/3)
			}
		}
	}
	_ = p.desk.Tell(func() {
		now := p.d.Clock.Since()
		if i := p.items[conf.ParseItem(d.Item)]; i != nil && !d.claim {
			if d.Pass && d.Taken != "" {
				i.passed = now
			}
			// Why: what is in use now is idle in a moment, and requests that could be held for it would be turned away
			// for nothing; but not for ever, for they could go elsewhere.
			switch {
			case d.Taken != "" || !soon:
				i.vain = 0
			case i.vain == 0 || now-i.vain > 2*patience:
				i.vain = now
			}
			if i.vain > 0 && now-i.vain < patience {
				e = Expect{Trying: true, Why: "what could make room is in use"}
			}
		}
		p.log.PushBack(d)
		if p.log.Len() > decisions {
			p.log.PopFront()
		}
		// Why: a refusal only matters where nobody holds the item, and only if every candidate was heard.
		if d.claim || d.Taken == "" && (!d.Alone || undecided) {
			return
		}
		it := conf.ParseItem(d.Item)
		epoch, _, _ := p.d.Owner.MayOrder(DemandKey(it, 0))
		p.expSer++
		p.d.News.Put(news.Entry{Key: ExpectKey(d.Item), Stamp: state.Stamp{Epoch: epoch, Serial: p.expSer}, Value: wire.Pack(e)})
	})
}

// share predicts for our items and tells the other cores.
func (p *Planner) share(ctx context.Context) {
	s := Shared{From: p.d.Self, Next: map[string]float64{}}
	if use, err := run.AskFor(ctx, p.paceDesk, p.useNow); err == nil && use >= 0 {
		s.Keeps, s.Use = true, use
	}
	err := p.desk.Ask(ctx, func() {
		now := p.d.Clock.Since()
		minute, _ := p.minutes.Now(p.d.Clock.Wall(), now)
		rule := p.rule()
		waiting := p.d.Reports.Waiting(now)
		for it, i := range p.items {
			if p.holds(it) {
				s.Next[it.String()] = i.series.Next(rule, minute, waiting[it])
			}
		}
		p.lay(s)
	})
	if err == nil && (len(s.Next) > 0 || s.Keeps) {
		p.d.Tell(ctx, s)
	}
}

// Shared takes another core's predictions.
func (p *Planner) Shared(ctx context.Context, s Shared) error {
	return p.desk.Ask(ctx, func() { p.lay(s) })
}

func (p *Planner) lay(s Shared) {
	if s.Keeps {
		p.use, p.usedAt = s.Use, p.d.Clock.Since()
	}
	for it, n := range s.Next {
		if _, known := p.shared[it]; known || len(p.shared) < maxItems {
			p.shared[it] = n
		}
	}
	next := maps.Clone(p.shared)
	p.next.Store(&next)
}

// keep writes hours that changed to the control state.
func (p *Planner) keep(ctx context.Context) {
	type work struct {
		it conf.Item
		h  demand.Hour
	}
	var todo []work
	_ = p.desk.Ask(ctx, func() {
		now := p.d.Clock.Since()
		alive := map[string]bool{}
		for _, r := range p.d.Reports.All() {
			if now-r.At < 10*time.Minute {
				alive[r.Agent+"/"+r.Boot] = true
			}
		}
		for it, i := range p.items {
			if !p.holds(it) {
				continue
			}
			for k := range i.seen {
				if !alive[k] {
					delete(i.seen, k)
				}
			}
			for hour := range i.dirty {
				if h, found := i.series.Hour(hour); found {
					h.Seen = maps.Clone(i.seen)
					todo = append(todo, work{it, h})
				}
			}
			i.dirty = map[int64]bool{}
		}
	})
	for _, w := range todo {
		one, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err := p.d.Owner.Update(one, DemandKey(w.it, w.h.Hour), func(state.Record, bool) ([]byte, error) { return w.h.Pack(), nil })
		cancel()
		if err != nil {
			p.d.Log.Info("demand not kept", "item", w.it.String(), "problem", err)
			_ = p.desk.Tell(func() {
				if i := p.items[w.it]; i != nil {
					i.dirty[w.h.Hour] = true
				}
			})
		}
	}
}

// Grant allows a load start within the store's pace; only the owner of the
// pace may.
func (p *Planner) Grant(ctx context.Context, q Granting) (Granted, error) {
	var g Granted
	err := p.paceDesk.Ask(ctx, func() {
		epoch, _, _ := p.d.Owner.MayOrder(PaceKey)
		if !p.d.Owner.Holds(PaceKey) {
			return
		}
		now := p.d.Clock.Since()
		p.keeperFor(epoch, now)
		if q.Afloat {
			p.pacer.keeper.Afloat(now, q.Who)
			return
		}
		wait, ok := p.pacer.keeper.Grant(now, p.d.Conf().Limits.PaceLoads, q.Who, q.Worth)
		// Why: the hold may have run out meanwhile, and another keeper may be granting.
		g = Granted{OK: ok && p.d.Owner.Holds(PaceKey), WaitMs: int(wait.Milliseconds())}
	})
	return g, err
}

// Afloat tells which loads were ordered and may still start, and for how many
// seconds that has been so; each takes a place of the store's pace.
func (p *Planner) Afloat(ctx context.Context) map[string]int {
	out := map[string]int{}
	_ = p.paceDesk.Ask(ctx, func() {
		if p.pacer.keeper == nil || !p.d.Owner.Holds(PaceKey) {
			return
		}
		for who, since := range p.pacer.keeper.Floats(p.d.Clock.Since()) {
			out[who] = int(since.Seconds())
		}
	})
	return out
}

// useNow is how much of the store's pace is used; below 0 if another keeps it.
func (p *Planner) useNow() float64 {
	epoch, _, _ := p.d.Owner.MayOrder(PaceKey)
	if !p.d.Owner.Holds(PaceKey) {
		return -1
	}
	now := p.d.Clock.Since()
	p.keeperFor(epoch, now)
	return p.pacer.keeper.Use(now, p.d.Conf().Limits.PaceLoads)
}

func (p *Planner) keeperFor(epoch uint64, now time.Duration) {
	if p.pacer.keeper == nil || p.pacer.epoch != epoch {
		p.pacer.epoch, p.pacer.keeper = epoch, pace.NewKeeper(now, epoch == 1)
	}
}

// Explain gives the newest decisions first, about one item or all.
func (p *Planner) Explain(ctx context.Context, about string) []Decision {
	out := []Decision{}
	_ = p.desk.Ask(ctx, func() {
		for i := p.log.Len() - 1; i >= 0; i-- {
			d := p.log.At(i)
			if about == "" || d.Item == about || conf.ParseItem(d.Item).Model == about {
				out = append(out, d)
			}
		}
	})
	return out
}

// Unmet lists claims whose copies are not all ready.
func (p *Planner) Unmet(ctx context.Context) map[string]string {
	out := map[string]string{}
	_ = p.desk.Ask(ctx, func() {
		maps.Copy(out, p.unmet)
	})
	return out
}
