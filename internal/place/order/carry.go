package order

import (
	"context"
	"fmt"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/pace"
	"drumstall.example/internal/state"
)

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
	o := backend.Order{ID: fmt.Sprintf("%s.%d.%d", w.d.Self, epoch, w.orders), Verb: verb, Item: item, SizeMib: size, Epoch: epoch, Controller: w.d.Self + "/" + w.d.Boot, Holder: w.d.Self}
	err := w.d.Replicas.Order(ctx, w.listed.Target(), o)
	w.d.Log.Info("order", "replica", w.listed.ID, "verb", verb, "item", item.String(), "epoch", epoch, "error", err)
	return err
}

// advance takes the task in front as far as it goes now.
func (w *Ward) advance() {
	for range steps {
		if w.tasks.Len() == 0 {
			return
		}
		w.dearestFirst(w.d.Clock.Since())
		t := w.tasks.Front()
		before := t.phase
		w.step(t)
		if w.tasks.Len() == 0 || w.tasks.Front() != t || t.phase == before {
			return
		}
	}
}

func (t *task) next(p phase, now time.Duration) { t.phase, t.since = p, now }

// step carries a task on by at most one phase.
func (w *Ward) step(t *task) {
	now := w.d.Clock.Since()
	if w.leaving() && t.phase < gone {
		w.fail("replica is leaving")
		return
	}
	if !w.fresh() {
		if now-t.begun > paceLimit {
			w.fail("no report")
		}
		return
	}
	switch t.phase {
	case withdraw:
		w.publish()
		t.stamp = w.stampNow()
		switch {
		case len(t.victims) == 0:
			t.next(grant, now)
		case w.traits.WaitsForRuns:
			// Why: the replica itself lets what runs end first and turns away what comes, so nobody need have heard.
			w.unload(t, now)
		default:
			t.next(acks, now)
		}
	case acks:
		if w.acked(t.stamp) || now-t.since > ackLimit {
			t.next(idle, now)
		}
	case idle:
		if w.vitalsAt <= t.since {
			return
		}
		if now-t.since > idleLimit {
			w.fail("victims stay in use")
			return
		}
		if !w.inUse(t, now) {
			w.unload(t, now)
		}
	case gone:
		w.seeGone(t, now)
	case grant:
		w.load(t, now)
	case loaded:
		w.seeLoaded(t, now)
	}
}

// inUse says whether anybody still uses what is to go.
func (w *Ward) inUse(t *task, now time.Duration) bool {
	for _, v := range t.victims {
		for item, l := range w.book {
			if v.Covers(item) && (l.inflight > 0 || w.d.Reports.Inflight(w.listed.ID, item.String(), now) > 0) {
				return true
			}
		}
	}
	return false
}

// unload orders the victims away, one at a time where a replica takes no more.
func (w *Ward) unload(t *task, now time.Duration) {
	for t.asked < len(t.victims) {
		v := t.victims[t.asked]
		l := w.book[v]
		if l == nil {
			t.asked++
			continue
		}
		verb := backend.Unload
		if v.Adapter != "" {
			verb = backend.UnloadAdapter
		}
		// Why: only a load may show later than it was ordered. What is reported gone is gone, and the load that
		// waits for its room need not wait out a doubt.
		if err := w.order(verb, v, l.SizeMib, orderLimit); err != nil {
			if !backend.IsBusy(err) {
				w.fail("unload: " + err.Error())
			}
			return
		}
		t.asked++
		if w.traits.OneOrder {
			break
		}
	}
	t.next(gone, now)
}

// seeGone waits until a report no longer shows the victims.
func (w *Ward) seeGone(t *task, now time.Duration) {
	left := 0
	for _, v := range t.victims[:t.asked] {
		if w.book[v] != nil {
			left++
		}
	}
	switch {
	case left > 0 && now-t.since > goneLimit:
		w.fail("victims do not go")
	case left > 0:
	case t.asked < len(t.victims):
		w.unload(t, now)
	default:
		t.next(grant, now)
	}
}

// seeLoaded waits until a report shows what was ordered.
func (w *Ward) seeLoaded(t *task, now time.Duration) {
	l := w.book[t.item]
	base := w.book[conf.Item{Model: t.item.Model}]
	m := w.d.Conf().Models[t.item.Model]
	switch {
	case l != nil && l.State == backend.Loaded:
		w.learn(t, now)
		w.tasks.PopFront()
	case t.item.Adapter != "" && base != nil && base.State == backend.Loaded && l != nil && l.State == Reserved:
		t.next(grant, now)
	case now-t.since > 5*m.LoadFor+30*time.Second:
		w.fail("load takes too long")
	case l == nil || l.State == Reserved && now-t.since > doubt && base == nil:
		w.fail("load did not start")
	}
}

// load asks for the store's leave and orders the model, then the adapter.
func (w *Ward) load(t *task, now time.Duration) {
	if now-t.since > paceLimit {
		w.fail("the store had no room")
		return
	}
	verb, what := backend.Load, conf.Item{Model: t.item.Model}
	if base := w.book[what]; t.item.Adapter != "" && base != nil && base.State != Reserved {
		if base.State != backend.Loaded {
			t.next(loaded, now)
			return
		}
		verb, what = backend.LoadAdapter, t.item
	}
	l := w.book[what]
	if l == nil {
		w.fail("its room was given up")
		return
	}
	if now-w.vitalsAt > justNow {
		return
	}
	// Why: what is being carried out may have been ordered by an owner before us, for room that looks free.
	if w.vitals.Busy && w.traits.OneOrder {
		return
	}
	mib, places := w.there()
	// Why: tasks that come later have their victims still there; what counts now is what is there now.
	if mib+l.SizeMib > w.vitals.CapacityMib || verb == backend.LoadAdapter && places+1 > w.vitals.AdapterPlaces {
		if now-t.since > goneLimit {
			w.fail("it does not fit any more")
		}
		return
	}
	by := orderLimit
	if verb == backend.Load || !w.traits.AdaptersUnpaced {
		asked := w.d.Clock.Since()
		ctx, cancel := context.WithTimeout(w.d.Group.Context(), orderLimit)
		defer cancel()
		wait, ok := w.d.Grant(ctx, w.who(what), t.worth)
		t.wait = wait
		if !ok {
			return
		}
		// Why: a grant dies unused, and it began to live at the earliest when it was asked for.
		by = pace.GrantLife - (w.d.Clock.Since() - asked) - 20*time.Millisecond
	}
	l.ordered = w.d.Clock.Since()
	switch err := w.order(verb, what, l.SizeMib, by); {
	case err == nil, backend.IsUnsure(err):
		l.State, l.unsure = backend.Loading, err != nil
		t.next(loaded, now)
	case backend.IsBusy(err):
	default:
		w.fail("load: " + err.Error())
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

// acked says whether every live proxy has this replica's news in force.
func (w *Ward) acked(s state.Stamp) bool {
	for agent := range w.d.Agents() {
		if got := w.d.Reports.Of(agent).Acked[w.listed.ID]; s.Newer(got) {
			return false
		}
	}
	return true
}
