package judge

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func candidates(rnd *rand.Rand, n int) []Replica {
	var rs []Replica
	for i := range n {
		rs = append(rs, Replica{Name: fmt.Sprint("r", i), Inflight: rnd.IntN(5), Slots: 12, ServeFor: time.Duration(rnd.IntN(3)) * time.Second, Leaving: rnd.IntN(9) == 0,
			Fits: rnd.IntN(9) > 0, FreeMib: rnd.IntN(100), NeedMib: rnd.IntN(100), AdFree: rnd.IntN(9), Copies: rnd.IntN(3)})
	}
	return rs
}

// A ranking that is explained later says what it would have said at once.
func TestARankingIsExplainedLater(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		rs := candidates(rnd, 30)
		later := RankLoad(even, rs)
		for i, at := range Load(even, rs) {
			if len(later[i].Verdicts) > 0 {
				t.Fatalf("%s has verdicts that nobody asked for", later[i].Name)
			}
			if got := later[i].Explained(even); !reflect.DeepEqual(got, at) || len(got.Verdicts) != len(forLoad) {
				t.Fatalf("seed %d, place %d: %+v, want %+v", seed, i, got, at)
			}
		}
		var idle []Idle
		for i := range 12 {
			idle = append(idle, Idle{Name: fmt.Sprint("m", i), SizeMib: rnd.IntN(3), Penalty: float64(rnd.IntN(4)), IdleFor: time.Duration(rnd.IntN(90)) * time.Minute, Copies: rnd.IntN(3), Adapters: rnd.IntN(2)})
		}
		ranked := RankVictims(even, idle)
		for i, r := range Victims(even, idle) {
			if ranked[i].Name != r.Name || ranked[i].Score != r.Score {
				t.Fatalf("seed %d, victim %d: %+v, want %+v", seed, i, ranked[i], r)
			}
		}
	}
}

// A ranking of 140 candidates for a load, with its verdicts and without.
func BenchmarkRankLoad(b *testing.B) {
	rs := candidates(rand.New(rand.NewPCG(1, 1)), 140)
	for name, rank := range map[string]func(map[string]float64, []Replica) []Ranked{"explained": Load, "ranked": RankLoad} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				rank(even, rs)
			}
		})
	}
}
