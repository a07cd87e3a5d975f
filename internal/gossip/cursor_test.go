package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// allAfter looks at every entry of a table for what came since a cursor.
func scanSince(t *Table, cursor uint64) []Entry {
	var found []*record
	for _, h := range t.records {
		if h.seq > cursor {
			found = append(found, h)
		}
	}
	slices.SortFunc(found, func(a, b *record) int { return int(a.seq) - int(b.seq) })
	out := make([]Entry, 0, len(found))
	for _, h := range found {
		out = append(out, h.entry)
	}
	return out
}

func TestSinceMatchesFullScan(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		table := NewTable()
		var cursor uint64
		for step := range 300 {
			e := entry(fmt.Sprint("k", rnd.IntN(20)), 1, uint64(rnd.IntN(step+1)))
			if e.Deleted = rnd.IntN(4) == 0; e.Deleted {
				e.Value = nil
			}
			table.Put(e)
			if rnd.IntN(30) == 0 {
				table.Purge(-time.Second)
			}
			from := uint64(rnd.IntN(int(table.seq) + 1))
			if rnd.IntN(2) == 0 {
				from = cursor
			}
			got, next, _ := table.Since(from)
			if want := scanSince(table, from); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("seed %d step %d: after %d came %v, want %v", seed, step, from, got, want)
			}
			cursor = next
		}
		if n := table.changes.ordered.Len(); n != len(table.records) {
			t.Fatalf("seed %d: %d changes kept of %d entries", seed, n, len(table.records))
		}
	}
}

func TestSinceAtEndIsEmptyAndSignalsNextChange(t *testing.T) {
	table := NewTable()
	table.Put(entry("a", 1, 1))
	_, cursor, _ := table.Since(0)
	got, same, changed := table.Since(cursor)
	if len(got) != 0 || same != cursor {
		t.Errorf("got %v and %d after %d", got, same, cursor)
	}
	table.Put(entry("b", 1, 1))
	select {
	case <-changed:
	default:
		t.Error("nobody was woken")
	}
	if got, _, _ := table.Since(cursor); len(got) != 1 || got[0].Key != "b" {
		t.Errorf("got %v", got)
	}
}
