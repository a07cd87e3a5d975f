package order

import (
	"context"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

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
			mib += l.SizeMib
			places++
		}
	}
	return mib, places
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
