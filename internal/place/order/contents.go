package order

import (
	"context"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// plannedUse returns what will be used once all tasks are done: everything but the
// items that are being withdrawn or unloaded.
func (c *Controller) plannedUse() (mib, places int) {
	return c.sumUse(func(e *entry) bool { return e.State != Withdrawn && e.State != backend.Unloading })
}

// currentUse returns what may be on the replica at this moment. Room that is reserved for later loads
// does not count, unless a previous lease holder may have ordered the load.
func (c *Controller) currentUse() (mib, places int) {
	return c.sumUse(func(e *entry) bool { return e.State != Reserved || e.inherited })
}

// sumUse adds up the memory and the adapter places of the entries that counts selects.
func (c *Controller) sumUse(counts func(*entry) bool) (mib, places int) {
	for item, e := range c.entries {
		switch {
		case !counts(e):
		case item.Adapter == "":
			mib += e.SizeMib
		default:
			mib += e.SizeMib
			places++
		}
	}
	return mib, places
}

// reserve adds an entry that keeps room for an item, unless the item has one.
func (c *Controller) reserve(item conf.Item, size int) {
	if c.entries[item] == nil {
		c.entries[item] = &entry{Entry: Entry{State: Reserved, SizeMib: size}, lastUsed: c.d.Clock.Since()}
	}
}

// withdrawItem marks a loaded item, and the loaded adapters on it, as withdrawn.
func (c *Controller) withdrawItem(item conf.Item) {
	for other, e := range c.entries {
		if item.Covers(other) {
			if e.State == backend.Loaded {
				e.State = Withdrawn
			}
		}
	}
}

// rollBack releases the room that a cancelled task reserved and takes the withdrawal of its victims back.
func (c *Controller) rollBack(t *task) {
	for _, item := range []conf.Item{{Model: t.item.Model}, t.item} {
		if e := c.entries[item]; e != nil && e.State == Reserved {
			delete(c.entries, item)
		}
	}
	for _, v := range t.victims {
		for other, e := range c.entries {
			if v.Covers(other) && e.State == Withdrawn {
				e.State = backend.Loaded
			}
		}
	}
}

// persist writes the contents to the control state. Orders are sent only for stored contents.
func (c *Controller) persist() bool {
	b := Contents{Incarnation: c.report.Incarnation, Entries: map[string]Entry{}}
	for item, e := range c.entries {
		b.Entries[item.String()] = e.Entry
	}
	ctx, cancel := context.WithTimeout(c.d.Group.Context(), 2*time.Second)
	defer cancel()
	_, err := c.d.Owner.Update(ctx, Key(c.listed.ID), func(state.Record, bool) ([]byte, error) { return wire.Marshal(b), nil })
	if err != nil {
		c.d.Log.Info("replica contents not stored", "replica", c.listed.ID, "error", err)
		return false
	}
	return true
}

// isVictim reports whether a task is going to unload the item.
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

// hasTaskFor reports whether a task loads the item or an adapter on it.
func (c *Controller) hasTaskFor(item conf.Item) bool {
	for i := range c.tasks.Len() {
		t := c.tasks.At(i)
		if item.Covers(t.item) {
			return true
		}
	}
	return false
}
