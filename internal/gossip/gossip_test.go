package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"drumstall.example/internal/state"
)

func entry(key string, epoch, version uint64) Entry {
	return Entry{Key: key, Stamp: state.Stamp{Epoch: epoch, Version: version}, Value: []byte(fmt.Sprint(epoch, version))}
}

func TestOlderStampNeverReplacesNewer(t *testing.T) {
	table := NewTable()
	var seen []state.Stamp
	table.OnUpdate(func(e Entry) { seen = append(seen, e.Stamp) })
	for _, s := range [][2]uint64{{1, 5}, {1, 4}, {1, 5}, {2, 1}, {1, 9}, {2, 2}} {
		table.Put(entry("k", s[0], s[1]))
	}
	if got := table.StampOf("k"); got != (state.Stamp{Epoch: 2, Version: 2}) {
		t.Errorf("newest is %v", got)
	}
	for i := 1; i < len(seen); i++ {
		if !seen[i].Newer(seen[i-1]) {
			t.Errorf("told %v after %v", seen[i], seen[i-1])
		}
	}
	if e := entry("k", 3, 1); table.Put(Entry{Key: e.Key, Stamp: e.Stamp, ValueOmitted: true}) {
		t.Error("a headline was taken for a value")
	}
	gone := entry("k", 3, 1)
	gone.Deleted = true
	table.Put(gone)
	if _, found := table.Get("k"); found || table.Put(entry("k", 2, 9)) {
		t.Error("a removed entry came back")
	}
	mark := entry("mark/r", 0, 2)
	mark.Deleted = true
	table.Put(mark)
	table.Purge(0)
	if n, _ := table.Len(); n != 1 || table.Put(gone) || fmt.Sprint(table.digest()) == fmt.Sprint(NewTable().digest()) {
		t.Errorf("after a purge %d entries are left", n)
	}
}

// Two tables that drifted apart are the same after one exchange of digests.
func TestDigestExchangeReconcilesTables(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		a, b := NewTable(), NewTable()
		for i := range 300 {
			e := entry(fmt.Sprintf("k%d", rnd.IntN(100)), 1, uint64(i+1))
			if rnd.IntN(3) > 0 {
				a.Put(e)
			}
			if rnd.IntN(3) > 0 {
				b.Put(e)
			}
		}
		var diff []int
		da, db := a.digest(), b.digest()
		for i := range da.Sums {
			if string(da.Sums[i]) != string(db.Sums[i]) {
				diff = append(diff, i)
			}
		}
		if len(diff) == 0 {
			t.Fatal("nothing to mend")
		}
		g := b.delta(a.stampsIn(diff))
		for _, e := range g.Entries {
			a.Put(e)
		}
		for _, e := range a.entriesOf(g.Wanted).Entries {
			b.Put(e)
		}
		if fmt.Sprint(a.digest()) != fmt.Sprint(b.digest()) {
			t.Errorf("seed %d: still apart", seed)
		}
	}
}
