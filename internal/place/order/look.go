package order

import (
	"context"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/platform"
)

func (w *Ward) fresh() bool { return w.known && w.d.Clock.Since()-w.vitalsAt < 2*time.Second }

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
