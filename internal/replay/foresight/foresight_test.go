package foresight

import (
	"testing"
	"time"

	"drumstall.example/internal/conf"
)

func TestServedWithinMemoryPlacesAndPace(t *testing.T) {
	it := func(m string) conf.Item { return conf.Item{Model: m} }
	fleet := func(held ...string) Fleet {
		f := Fleet{Replicas: 1, CapacityMib: 2000, AdapterPlaces: 1, Slots: 1, PaceLoads: 1, Window: 5 * time.Second, MibPerS: 1000,
			Size: func(string) int { return 1000 }, Held: []map[conf.Item]bool{{}}}
		for _, m := range held {
			f.Held[0][it(m)] = true
		}
		return f
	}
	q := func(m string, at, by, takes int) Request {
		return Request{At: time.Duration(at) * time.Second, By: time.Duration(by) * time.Second, Item: it(m), For: time.Duration(takes) * time.Second}
	}
	for _, c := range []struct {
		name string
		f    Fleet
		qs   []Request
		want int
	}{
		{"held", fleet("a"), []Request{q("a", 0, 1, 1)}, 1},
		{"loaded in time", fleet(), []Request{q("a", 0, 2, 1)}, 1},
		{"loaded too late", fleet(), []Request{q("a", 0, 0, 1)}, 0},
		{"two at once and one place", fleet("a"), []Request{q("a", 0, 1, 3), q("a", 0, 1, 3)}, 1},
		{"two wanted and one start", fleet(), []Request{q("a", 0, 4, 1), q("b", 0, 4, 1)}, 1},
		{"two wanted in time", fleet(), []Request{q("a", 0, 9, 1), q("b", 0, 9, 1)}, 2},
		{"what is wanted more stays", fleet("a", "b"), []Request{q("c", 0, 4, 1), q("a", 9, 9, 1), q("a", 11, 11, 1), q("b", 13, 13, 1), q("b", 15, 15, 1)}, 4},
		{"an adapter brings its model", fleet(), []Request{{By: 9 * time.Second, Item: conf.Item{Model: "a", Adapter: "x"}}}, 1},
	} {
		n := 0
		for _, ok := range Served(c.f, c.qs) {
			if ok {
				n++
			}
		}
		if n != c.want {
			t.Errorf("%s: %d served, want %d", c.name, n, c.want)
		}
	}
}
