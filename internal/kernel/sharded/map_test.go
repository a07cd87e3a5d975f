package sharded

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

// Each version equals a plain map with the same changes, regardless of the changes made by later versions.
func TestVersionIsImmutable(t *testing.T) {
	type version struct {
		m    Map[int]
		want map[string]int
	}
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var versions []version
		now := version{want: map[string]int{}}
		for step := range 60 {
			d := NewBuilder(now.m)
			want := maps.Clone(now.want)
			changed := false
			for range rnd.IntN(5) {
				key := fmt.Sprint("k", rnd.IntN(200))
				if rnd.IntN(3) == 0 {
					_, found := want[key]
					changed = changed || found
					delete(want, key)
					d.Delete(key)
				} else {
					changed = true
					want[key] = step
					d.Set(key, step)
				}
				if got, found := d.Get(key); got != want[key] || found != has(want, key) {
					t.Fatalf("seed %d step %d: the builder returns %d, %v for %s", seed, step, got, found, key)
				}
			}
			if d.Changed() != changed {
				t.Fatalf("seed %d step %d: changed %v, want %v", seed, step, d.Changed(), changed)
			}
			now = version{d.Map(), want}
			versions = append(versions, now)
		}
		for i, v := range versions {
			if got := maps.Collect(v.m.All()); !maps.Equal(got, v.want) || v.m.Len() != len(v.want) {
				t.Fatalf("seed %d: version %d is %v, %d long; want %v", seed, i, got, v.m.Len(), v.want)
			}
			for key := range 200 {
				name := fmt.Sprint("k", key)
				if got, found := v.m.Get(name); got != v.want[name] || found != has(v.want, name) {
					t.Fatalf("seed %d: version %d returns %d, %v for %s", seed, i, got, found, name)
				}
			}
		}
	}
}

func has(m map[string]int, key string) bool {
	_, found := m[key]
	return found
}

func TestIterationCanStopEarly(t *testing.T) {
	var d Builder[int]
	for i := range 300 {
		d.Set(fmt.Sprint(i), i)
	}
	seen := 0
	for range d.Map().All() {
		if seen++; seen == 10 {
			break
		}
	}
	if seen != 10 {
		t.Errorf("the iteration yielded %d pairs, want 10", seen)
	}
}

// A change of one key allocates a small fraction of what a copy of the whole map would.
func TestChangeCopiesOnlyOneShard(t *testing.T) {
	const keys = 10_000
	var d Builder[int]
	for i := range keys {
		d.Set(fmt.Sprint("key-", i), i)
	}
	m := d.Map()
	plain := maps.Collect(m.All())
	bytes := func(f func()) int64 {
		return testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
		}).AllocedBytesPerOp()
	}
	whole := bytes(func() { maps.Clone(plain)["key-7"] = 1 })
	change := bytes(func() {
		next := NewBuilder(m)
		next.Set("key-7", 1)
	})
	if change*20 > whole {
		t.Errorf("a change allocates %d bytes, a copy of the whole map %d", change, whole)
	}
}
