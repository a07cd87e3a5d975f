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
func (c *Controller) plannedUse() (mib, places int) {
	return c.sumUse(func(l *entry) bool { return l.State != Withdrawn && l.State != backend.Unloading })
}

// there is what may be on the replica at this moment, known or suspected; room
// kept for later loads is not, unless an owner before us may have ordered it.
func (c *Controller) currentUse() (mib, places int) {
	return c.sumUse(func(l *entry) bool { return l.State != Reserved || l.inherited })
}

func (c *Controller) sumUse(counts func(*entry) bool) (mib, places int) {
	for item, l := range c.entries {
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

func (c *Controller) reserve(item conf.Item, size int) {
	if c.entries[item] == nil {
		c.entries[item] = &entry{Entry: Entry{State: Reserved, SizeMib: size}, lastUsed: c.d.Clock.Since()}
	}
}

func (c *Controller) withdrawItem(item conf.Item) {
	for other, l := range c.entries {
		if item.Covers(other) {
			if l.State == backend.Loaded {
				l.State = Withdrawn
			}
		}
	}
}

// undo puts back what a task that will not be carried out had claimed.
func (c *Controller) rollBack(t *task) {
	for _, item := range []conf.Item{{Model: t.item.Model}, t.item} {
		if l := c.entries[item]; l != nil && l.State == Reserved {
			delete(c.entries, item)
		}
	}
	for _, v := range t.victims {
		for other, l := range c.entries {
			if v.Covers(other) && l.State == Withdrawn {
				l.State = backend.Loaded
			}
		}
	}
}

// keep writes the book to the control state; orders only follow from what is kept.
func (c *Controller) persist() bool {
	b := Contents{Incarnation: c.report.Incarnation, Entries: map[string]Entry{}}
	for item, l := range c.entries {
		b.Entries[item.String()] = l.Entry
	}
	ctx, cancel := context.WithTimeout(c.d.Group.Context(), 2*time.Second)
	defer cancel()
	_, err := c.d.Owner.Update(ctx, Key(c.listed.ID), func(state.Record, bool) ([]byte, error) { return wire.Pack(b), nil })
	if err != nil {
		c.d.Log.Info("book not kept", "replica", c.listed.ID, "error", err)
		return false
	}
	return true
}

// taken says whether a task wants the item gone.
func (c *Controller) isVictim(item conf.Item) bool {
	for i := range c.tasks.Len() {
		for _, v := range c.tasks.At(i).victims {
			if v.Covers(item) {
				return true
			}
		}
	}
	return false
}

func (c *Controller) hasTaskFor(item conf.Item) bool {
	for i := range c.tasks.Len() {
		t := c.tasks.At(i)
		if item.Covers(t.item) {
			return true
		}
	}
	return false
}
