package gossip

import "container/list"

// changeLog holds the records of a table in the order of their last change, so that
// the changes since a cursor are found without a scan of all records.
type changeLog struct{ ordered list.List }

// append moves a record that has just changed to the end. old is the record that the table held
// under the same key, or nil.
func (c *changeLog) append(old, h *record) {
	c.remove(old)
	h.element = c.ordered.PushBack(h)
}

// remove deletes a record that the table no longer holds.
func (c *changeLog) remove(h *record) {
	if h != nil {
		c.ordered.Remove(h.element)
	}
}

// since returns the entries that changed since a cursor, oldest change first.
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

// Since returns the entries that changed since a cursor in the order of their changes, the new
// cursor, and a channel that is closed at the next change.
func (t *Table) Since(cursor uint64) ([]Entry, uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes.since(cursor), t.seq, t.changed
}
