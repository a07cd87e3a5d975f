package plan

import (
	"slices"
	"strings"
	"sync"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
)

// replicaPrefix is the key prefix of all replicas in the gossip table.
var replicaPrefix = order.Key("")

// DecodeStatuses decodes the newest status of all replicas, sorted by ID.
func DecodeStatuses(t *gossip.Table) order.Statuses {
	var out []order.Status
	for _, e := range t.List(replicaPrefix) {
		if status, ok := decodeStatus(e); ok {
			out = append(out, status)
		}
	}
	slices.SortFunc(out, compareIDs)
	return order.NewStatuses(out)
}

func decodeStatus(e gossip.Entry) (order.Status, bool) {
	var status order.Status
	return status, wire.Unmarshal(e.Value, &status) == nil
}

func compareIDs(a, b order.Status) int { return strings.Compare(a.Listed.ID, b.Listed.ID) }

// StatusCache caches the decoded status of all replicas. Only changed entries are
// decoded, and the list is rebuilt only after a change. Its methods are safe for
// concurrent use.
type StatusCache struct {
	table    *gossip.Table
	mu       sync.Mutex
	changed  map[string]bool // keys of the entries changed since they were decoded
	keys     []string        // of the statuses, sorted
	statuses order.Statuses  // decoded, in the order of keys
}

// NewStatusCache returns a cache that follows a table; it must be created before the table is in use.
func NewStatusCache(t *gossip.Table) *StatusCache {
	c := &StatusCache{table: t, changed: map[string]bool{}, statuses: order.NewStatuses(nil)}
	t.OnUpdate(c.markChanged)
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

// Statuses returns the newest status of all replicas. The result is shared and must not be modified.
func (c *StatusCache) Statuses() order.Statuses {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.changed) == 0 {
		return c.statuses
	}
	list, sameKeys := slices.Clone(c.statuses.All), true
	var changedAt []int
	for key := range c.changed {
		at, known := slices.BinarySearch(c.keys, key)
		status, present := c.decodeCurrent(key)
		switch {
		case present && known:
			list[at] = status
			changedAt = append(changedAt, at)
		case present:
			c.keys = slices.Insert(c.keys, at, key)
			list = slices.Insert(list, at, status)
			sameKeys = false
		case known:
			c.keys = slices.Delete(c.keys, at, at+1)
			list = slices.Delete(list, at, at+1)
			sameKeys = false
		}
	}
	clear(c.changed)
	if sameKeys {
		c.statuses = c.statuses.Replaced(list, changedAt)
	} else {
		c.statuses = order.NewStatuses(list)
	}
	return c.statuses
}

// decodeCurrent decodes the current entry of a key in the table. Notifications for
// one key may arrive in another order than the table applied the entries.
func (c *StatusCache) decodeCurrent(key string) (status order.Status, present bool) {
	e, found := c.table.Get(key)
	if !found {
		return status, false
	}
	return decodeStatus(e)
}
