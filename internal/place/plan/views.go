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
func DecodeStatuses(t *gossip.Table) order.Statuses {
	var out []order.Status
	for _, e := range t.List(replicaPrefix) {
		if n, ok := decodeStatus(e); ok {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, compareIDs)
	return order.NewStatuses(out)
}

func decodeStatus(e gossip.Entry) (order.Status, bool) {
	var n order.Status
	return n, wire.Unpack(e.Value, &n) == nil
}

func compareIDs(a, b order.Status) int { return strings.Compare(a.Listed.ID, b.Listed.ID) }

// ViewCache keeps the replicas' status decoded: an entry is decoded when it has
// changed, and the list is made anew when one has. Its methods may be called from anywhere.
type StatusCache struct {
	table    *gossip.Table
	mu       sync.Mutex
	changed  map[string]bool // keys of the entries that are newer than what is decoded
	keys     []string        // of the views, sorted
	statuses order.Statuses  // what is decoded, in the order of keys
}

// NewViewCache follows a table; it must be made before the table is in use.
func NewStatusCache(t *gossip.Table) *StatusCache {
	c := &StatusCache{table: t, changed: map[string]bool{}, statuses: order.NewStatuses(nil)}
	t.OnNew(c.markChanged)
	return c
}

func (c *StatusCache) markChanged(e gossip.Entry) {
	if !strings.HasPrefix(e.Key, replicaPrefix) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed[e.Key] = true
}

// Views are all replicas' newest status. They are shared: nobody may change them.
func (c *StatusCache) Statuses() order.Statuses {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.changed) == 0 {
		return c.statuses
	}
	list, same := slices.Clone(c.statuses.All), true
	var differ []int
	for key := range c.changed {
		at, known := slices.BinarySearch(c.keys, key)
		n, there := c.decodeCurrent(key)
		switch {
		case there && known:
			list[at] = n
			differ = append(differ, at)
		case there:
			c.keys = slices.Insert(c.keys, at, key)
			list = slices.Insert(list, at, n)
			same = false
		case known:
			c.keys = slices.Delete(c.keys, at, at+1)
			list = slices.Delete(list, at, at+1)
			same = false
		}
	}
	clear(c.changed)
	if same {
		c.statuses = c.statuses.Replaced(list, differ)
	} else {
		c.statuses = order.NewStatuses(list)
	}
	return c.statuses
}

// read decodes the entry of a key as the table has it now. Why: entries of one
// key may be told of in another order than the table took them.
func (c *StatusCache) decodeCurrent(key string) (n order.Status, there bool) {
	e, found := c.table.Get(key)
	if !found {
		return n, false
	}
	return decodeStatus(e)
}
