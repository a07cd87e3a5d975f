package gossip

import "container/list"

// changes are the entries of a table in the order of their last change, so that
// what came since a cursor is found without a look at the others.
type changeLog struct{ ordered list.List }

// moved puts an entry that has just changed last; old is what the table held
// under its key before, or nil.
func (c *changeLog) append(old, h *record) {
	c.remove(old)
	h.element = c.ordered.PushBack(h)
}

// forget takes out an entry that the table holds no more.
func (c *changeLog) remove(h *record) {
	if h != nil {
		c.ordered.Remove(h.element)
	}
}

// after gives the entries that changed since a cursor, the oldest change first.
func (c *changeLog) since(cursor uint64) []Entry {
	first, n := (*list.Element)(nil), 0
	for at := c.ordered.Back(); at != nil && at.Value.(*record).seq > cursor; at = at.Prev() {
		first = at
		n++
	}
	out := make([]Entry, 0, n)
	for at := first; at != nil; at = at.Next() {
		out = append(out, at.Value.(*record).entry)
	}
	return out
}

// After gives what came since a cursor in the order in which it came, the new
// cursor, and a channel that closes at the next change.
func (t *Table) Since(cursor uint64) ([]Entry, uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes.since(cursor), t.seq, t.changed
}
