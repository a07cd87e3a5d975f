package plan

import (
	"slices"
	"strings"
	"sync"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
)

// replicaPrefix begins the key of every replica in the gossip.
var replicaPrefix = order.Key("")

// Views are all replicas' newest status, by name, decoded anew.
func Views(t *gossip.Table) order.Statuses {
	var out []order.Status
	for _, e := range t.List(replicaPrefix) {
		if n, ok := decodeView(e); ok {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, byID)
	return order.NewStatuses(out)
}

func decodeView(e gossip.Entry) (order.Status, bool) {
	var n order.Status
	return n, wire.Unpack(e.Value, &n) == nil
}

func byID(a, b order.Status) int { return strings.Compare(a.Listed.ID, b.Listed.ID) }

// ViewCache keeps the replicas' status decoded: an entry is decoded when it has
// changed, and the list is made anew when one has. Its methods may be called from anywhere.
type ViewCache struct {
	table   *gossip.Table
	mu      sync.Mutex
	changed map[string]bool // keys of the entries that are newer than what is decoded
	keys    []string        // of the list, sorted
	list    []order.Status  // what is decoded, in the order of keys; never changed once it was handed out
	views   order.Statuses  // the list, as it is handed out
}

// NewViewCache follows a table; it must be made before the table is in use.
func NewViewCache(t *gossip.Table) *ViewCache {
	c := &ViewCache{table: t, changed: map[string]bool{}}
	t.OnNew(c.note)
	return c
}

func (c *ViewCache) note(e gossip.Entry) {
	if !strings.HasPrefix(e.Key, replicaPrefix) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed[e.Key] = true
}

// Views are all replicas' newest status. They are shared: nobody may change them.
func (c *ViewCache) Views() order.Statuses {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.changed) == 0 {
		return c.views
	}
	c.list = slices.Clone(c.list)
	for key := range c.changed {
		c.refresh(key)
	}
	clear(c.changed)
	c.views = order.NewStatuses(c.list)
	return c.views
}

// refresh takes in the entry of a key as the table has it now. Why: entries of one
// key may be told of in another order than the table took them.
func (c *ViewCache) refresh(key string) {
	var n order.Status
	e, there := c.table.Get(key)
	if there {
		n, there = decodeView(e)
	}
	at, known := slices.BinarySearch(c.keys, key)
	switch {
	case there && known:
		c.list[at] = n
	case there:
		c.keys = slices.Insert(c.keys, at, key)
		c.list = slices.Insert(c.list, at, n)
	case known:
		c.keys = slices.Delete(c.keys, at, at+1)
		c.list = slices.Delete(c.list, at, at+1)
	}
}
