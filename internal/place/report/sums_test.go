package report

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"drumstall.example/internal/conf"
)

// summed adds up anew what the reports heard within a span count by item.
func recomputedTotals(all map[string]Received, now, span time.Duration, counts func(Report) map[string]int) map[conf.Item]int {
	out := map[conf.Item]int{}
	for _, r := range all {
		if now-r.At < span {
			for item, n := range counts(r.Report) {
				add(out, conf.ParseItem(item), n)
			}
		}
	}
	return out
}

// drawn is a report of the moment.
func randomReport(rnd *rand.Rand, agent string, version uint64) Report {
	r := Report{Agent: agent, Boot: "b", Version: version, Waiting: map[string]int{}, Contended: map[string]int{}, Inflight: map[string]map[string]int{}}
	for range rnd.IntN(4) {
		r.Waiting[fmt.Sprint("m", rnd.IntN(5))] = rnd.IntN(3)
		r.Contended[fmt.Sprint("m", rnd.IntN(5))] = 1 + rnd.IntN(3)
		r.Inflight[fmt.Sprint("r", rnd.IntN(3))] = map[string]int{fmt.Sprint("m", rnd.IntN(5)): 1 + rnd.IntN(3), "m9": 1}
	}
	return r
}

// Sums that are kept are those of the newest reports, as they come, are replaced, and
// get too old.
func TestTotalsMatchTheLatestReports(t *testing.T) {
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		table, now := NewTable(), time.Duration(0)
		for version := range uint64(200) {
			now += time.Duration(rnd.IntN(500)) * time.Millisecond
			table.Put(randomReport(rnd, fmt.Sprint("edge-", rnd.IntN(6)), version+1), now)
			if rnd.IntN(20) == 0 {
				now += time.Duration(rnd.IntN(12)) * time.Second
			}
			all := table.All()
			if got, want := table.Waiting(now), recomputedTotals(all, now, FreshFor, func(r Report) map[string]int { return r.Waiting }); !maps.Equal(got, want) {
				t.Fatalf("seed %d, report %d: waiting %v, want %v", seed, version, got, want)
			}
			if got, want := table.Contended(now), recomputedTotals(all, now, FreshFor, func(r Report) map[string]int { return r.Contended }); !maps.Equal(got, want) {
				t.Fatalf("seed %d, report %d: pressed %v, want %v", seed, version, got, want)
			}
			for m := range 6 {
				item := conf.Item{Model: fmt.Sprint("m", m)}
				if w, p := table.WaitingAndContended(item, now); w != table.Waiting(now)[item] || p != table.Contended(now)[item] {
					t.Fatalf("seed %d, report %d: %v: %d waiting, %d pressed", seed, version, item, w, p)
				}
			}
			for r := range 3 {
				replica := fmt.Sprint("r", r)
				on := func(r Report) map[string]int { return r.Inflight[replica] }
				sum, present := 0, recomputedTotals(all, now, FreshFor, on)
				for _, n := range present {
					sum += n
				}
				if got := table.InflightOn(replica, now); got != sum {
					t.Fatalf("seed %d, report %d: on %s %d, want %d", seed, version, replica, got, sum)
				}
				for item, want := range recomputedTotals(all, now, 5*FreshFor, on) {
					if got := table.Inflight(replica, item.String(), now); got != want {
						t.Fatalf("seed %d, report %d: %s on %s %d, want %d", seed, version, item, replica, got, want)
					}
				}
			}
		}
		if now += 5 * FreshFor; table.Inflight("r1", "m9", now) != 0 || len(table.Waiting(now)) != 0 {
			t.Errorf("seed %d: something counts after all are too old", seed)
		}
	}
}

// What a reader was given is its own.
func TestReturnedTotalsAreCopies(t *testing.T) {
	table := NewTable()
	table.Put(Report{Agent: "e", Boot: "b", Version: 1, Waiting: map[string]int{"m": 2}}, 0)
	table.Waiting(0)[conf.Item{Model: "m"}] = 7
	if n := table.Waiting(0)[conf.Item{Model: "m"}]; n != 2 {
		t.Errorf("%d wait, want 2", n)
	}
}

// A report of one of 64 edges, and what one decision asks of the table.
func BenchmarkTable(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 1))
	table, version := NewTable(), uint64(0)
	put := func() {
		version++
		table.Put(randomReport(rnd, fmt.Sprint("edge-", version%64), version), 0)
	}
	for range 64 {
		put()
	}
	b.Run("put", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			put()
		}
	})
	b.Run("decision", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.Waiting(0)
			table.Contended(0)
			for i := range 140 {
				table.InflightOn(fmt.Sprint("r", i%3), 0)
			}
		}
	})
}

// What a controller asks about the items of its replica while many items wait.
func BenchmarkWaitingAndContended(b *testing.B) {
	table := NewTable()
	r := Report{Agent: "edge", Boot: "b", Version: 1, Waiting: map[string]int{}}
	for i := range 300 {
		r.Waiting[fmt.Sprint("m", i)] = 1
	}
	table.Put(r, 0)
	items := make([]conf.Item, 11)
	for i := range items {
		items[i] = conf.Item{Model: fmt.Sprint("m", i)}
	}
	b.Run("copies", func(b *testing.B) {
		for b.Loop() {
			waiting, pressed := table.Waiting(0), table.Contended(0)
			for _, item := range items {
				_, _ = waiting[item], pressed[item]
			}
		}
	})
	b.Run("looked up", func(b *testing.B) {
		for b.Loop() {
			for _, item := range items {
				table.WaitingAndContended(item, 0)
			}
		}
	})
}
