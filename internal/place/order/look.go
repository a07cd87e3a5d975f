package order

import (
	"context"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
)

func (w *Ward) fresh() bool { return w.known && w.d.Clock.Since()-w.vitalsAt < 2*time.Second }

// reports says whether the replica can be asked for reports.
func (w *Ward) reports() bool { return w.listed.Model || w.traits.ServicesReport }

// complete adds what the report leaves to the configuration.
func (w *Ward) complete(v *backend.Vitals) {
	cfg := w.d.Conf()
	if s, found := cfg.ServiceOf(w.listed.Labels); found {
		if v.CapacityMib == 0 {
			v.CapacityMib = s.CapacityMib
		}
		if v.AdapterPlaces == 0 {
			v.AdapterPlaces = s.AdapterPlaces
		}
		if v.Slots == 0 {
			v.Slots = s.Slots
		}
	}
	for item, seen := range v.Items {
		m := cfg.Models[item.Model]
		switch {
		case seen.SizeMib > 0:
		case item.Adapter == "":
			seen.SizeMib = m.SizeMib
		default:
			seen.SizeMib = m.AdapterMib
		}
		v.Items[item] = seen
	}
}

// doubtFor is for how long after its order a load that no report shows counts
// as carried out.
func (w *Ward) doubtFor(l *line) time.Duration {
	if w.traits.TellsBusy && !l.unsure && !l.inherited {
		return w.traits.ReportLag + doubtMargin
	}
	return doubt
}

// look asks the replica how it is and brings the book in line.
func (w *Ward) look() {
	ctx, cancel := context.WithTimeout(w.d.Group.Context(), askLimit)
	defer cancel()
	asked := w.d.Clock.Since()
	if !w.reports() {
		w.vitals, w.vitalsAt, w.known = backend.Vitals{ID: w.listed.ID, Incarnation: w.listed.ID, Slots: w.listed.Slots}, asked, true
		return
	}
	v, err := w.d.Replicas.Vitals(ctx, w.listed.Target())
	if err != nil {
		if w.wrong++; w.wrong == 1 {
			w.d.Log.Info("no report", "replica", w.listed.ID, "problem", err)
		}
		return
	}
	w.wrong = 0
	w.complete(&v)
	if w.known && v.Incarnation != w.vitals.Incarnation {
		w.d.Log.Info("replica started anew", "replica", w.listed.ID)
		w.tasks.Clear()
		w.book = map[conf.Item]*line{}
	}
	if v.Leaving {
		inventory.Mark(w.d.News, w.listed.ID)
	}
	w.vitals, w.vitalsAt, w.known = v, asked, true
	for item, seen := range v.Items {
		l := w.book[item]
		if l == nil {
			l = &line{lastUsed: asked}
			w.book[item] = l
		}
		l.SizeMib = seen.SizeMib
		l.unsure = false
		if seen.Inflight > 0 {
			l.lastUsed = asked
		}
		l.inflight = seen.Inflight
		switch {
		case seen.State != backend.Loaded:
			l.State = seen.State
		case l.State != Leaving || !w.taken(item):
			if l.State == backend.Loading {
				l.loadedAt = asked
			}
			l.State = backend.Loaded
		}
	}
	for item, l := range w.book {
		if _, there := v.Items[item]; there || w.reservedBy(item) {
			continue
		}
		// Why: an order whose outcome is not known counts as carried out until a later report denies it.
		// Why: what an owner before us may have ordered stands in the book as room kept, and may be loading just now.
		if asked-l.ordered < w.doubtFor(l) || v.Busy && (l.State == backend.Loading || l.inherited) {
			continue
		}
		if item.Adapter == "" && (l.State == Leaving || l.State == backend.Loaded) {
			w.held[item.Model] = true
		}
		delete(w.book, item)
	}
}

// unmark takes a leaving mark back after the replica has been listed as
// staying, by a platform heard just now, for a while.
func (w *Ward) unmark() {
	now := w.d.Clock.Since()
	// Why: a platform not heard is not one that says the replica stays.
	if w.d.Platform() > 2*time.Second || w.listed.Leaving || !w.known || w.vitals.Leaving || !inventory.Marked(w.d.News, w.listed.ID) {
		w.staying = -1
		return
	}
	if w.staying < 0 {
		w.staying = now
	}
	if now-w.staying > 5*time.Second {
		inventory.Unmark(w.d.News, w.listed.ID)
	}
}
