package plan

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/state"
)

// replicaEntry returns a gossip entry with the status of a replica at a version.
func replicaEntry(id string, version uint64, items int) gossip.Entry {
	n := order.Status{Listed: inventory.Listed{ID: id, Labels: map[string]string{"service": "s"}}, Controller: "c", Items: map[string]string{}, FreeMib: int(version)}
	for i := range items {
		n.Items[fmt.Sprint("m", i)] = "loaded"
	}
	return gossip.Entry{Key: order.Key(id), Stamp: state.Stamp{Epoch: 1, Version: version}, Value: wire.Marshal(n)}
}

// The cache matches the table through changes, removals and entries that cannot be
// decoded, and a list that was returned is never modified.
func TestStatusCacheMatchesTheTable(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		table := gossip.NewTable()
		cache := NewStatusCache(table)
		for version := range uint64(100) {
			id := fmt.Sprint("r", rnd.IntN(8))
			e := replicaEntry(id, version+1, rnd.IntN(4))
			switch rnd.IntN(6) {
			case 0:
				e.Deleted, e.Value = true, nil
			case 1:
				e.Value = []byte{0xff}
			case 2:
				e.Key = "expect/" + id
			}
			before := cache.Statuses().All
			kept := append([]order.Status(nil), before...)
			table.Put(e)
			if got, want := cache.Statuses().All, DecodeStatuses(table).All; len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d, entry %d: got %+v, want %+v", seed, version, got, want)
			}
			if !reflect.DeepEqual(kept, append([]order.Status(nil), before...)) {
				t.Fatalf("seed %d, entry %d: a list that was returned has changed", seed, version)
			}
		}
	}
}

// Repeated calls without changes do not allocate.
func TestStatusCacheDoesNotAllocateWithoutChanges(t *testing.T) {
	table := gossip.NewTable()
	cache := NewStatusCache(table)
	for i := range 140 {
		table.Put(replicaEntry(fmt.Sprint("r", i), 1, 8))
	}
	cache.Statuses()
	if n := testing.AllocsPerRun(100, func() { cache.Statuses() }); n > 0 {
		t.Errorf("%v allocations per call, want 0", n)
	}
}

// Each iteration changes the status of one of 140 replicas.
func BenchmarkStatuses(b *testing.B) {
	for name, cached := range map[string]bool{"anew": false, "cached": true} {
		b.Run(name, func(b *testing.B) {
			table := gossip.NewTable()
			views := func() order.Statuses { return DecodeStatuses(table) }
			if cached {
				views = NewStatusCache(table).Statuses
			}
			for i := range 140 {
				table.Put(replicaEntry(fmt.Sprint("r", i), 1, 8))
			}
			version := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				version++
				table.Put(replicaEntry("r7", version, 8))
				views()
			}
		})
	}
}
