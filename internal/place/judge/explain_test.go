package judge

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func randomCandidates(rnd *rand.Rand, n int) []Candidate {
	var rs []Candidate
	for i := range n {
		rs = append(rs, Candidate{Name: fmt.Sprint("r", i), Inflight: rnd.IntN(5), Slots: 12, ServeTime: time.Duration(rnd.IntN(3)) * time.Second, Leaving: rnd.IntN(9) == 0,
			Fits: rnd.IntN(9) > 0, FreeMib: rnd.IntN(100), NeedMib: rnd.IntN(100), FreeAdapterPlaces: rnd.IntN(9), Copies: rnd.IntN(3)})
	}
	return rs
}

// Adding the breakdown later gives the same result as ranking with the breakdown.
func TestWithBreakdownMatchesImmediateRanking(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		rs := randomCandidates(rnd, 30)
		later := RankForLoad(evenWeights, rs)
		for i, at := range RankForLoadWithBreakdown(evenWeights, rs) {
			if len(later[i].Breakdown) > 0 {
				t.Fatalf("%s has a breakdown that was not requested", later[i].Name)
			}
			if got := later[i].WithBreakdown(evenWeights); !reflect.DeepEqual(got, at) || len(got.Breakdown) != len(loadCriteria) {
				t.Fatalf("seed %d, index %d: %+v, want %+v", seed, i, got, at)
			}
		}
		var idle []IdleItem
		for i := range 12 {
			idle = append(idle, IdleItem{Name: fmt.Sprint("m", i), SizeMib: rnd.IntN(3), Penalty: float64(rnd.IntN(4)), IdleFor: time.Duration(rnd.IntN(90)) * time.Minute, Copies: rnd.IntN(3), Adapters: rnd.IntN(2)})
		}
		ranked := RankVictims(evenWeights, idle)
		for i, r := range RankVictimsWithBreakdown(evenWeights, idle) {
			if ranked[i].Name != r.Name || ranked[i].Score != r.Score {
				t.Fatalf("seed %d, victim %d: %+v, want %+v", seed, i, ranked[i], r)
			}
		}
	}
}

// Ranks 140 candidates for a load, with and without the breakdown.
func BenchmarkRankForLoad(b *testing.B) {
	rs := randomCandidates(rand.New(rand.NewPCG(1, 1)), 140)
	for name, rank := range map[string]func(map[string]float64, []Candidate) []Ranked{"explained": RankForLoadWithBreakdown, "ranked": RankForLoad} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				rank(evenWeights, rs)
			}
		})
	}
}
