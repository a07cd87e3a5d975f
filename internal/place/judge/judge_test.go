package judge

import (
	"strings"
	"testing"
	"time"
)

var evenWeights = map[string]float64{"warmth": 1, "load": 1, "zone": 1, "serve": 1, "drain": 1, "demand": 1, "recency": 1, "copies": 1, "adapters": 1, "room": 1, "share": 1}

func names(rs []Ranked) string {
	var out []string
	for _, r := range rs {
		n := r.Name
		if r.Vetoed {
			n = "!" + n
		}
		out = append(out, n)
	}
	return strings.Join(out, " ")
}

// Each criterion alone breaks a tie, unless its weight is 0.
func TestEachCriterionBreaksATie(t *testing.T) {
	base := Candidate{Slots: 4, Inflight: 1, ServeTime: time.Second, Fits: true, FreeMib: 5, NeedMib: 10, FreeAdapterPlaces: 1, Copies: 1}
	with := func(name string, f func(*Candidate)) Candidate {
		r := base
		r.Name = name
		f(&r)
		return r
	}
	for criterion, f := range map[string]func(*Candidate){
		"warmth": func(r *Candidate) { r.WarmShare = 1 }, "load": func(r *Candidate) { r.Inflight = 0 }, "zone": func(r *Candidate) { r.SameZone = true },
		"serve": func(r *Candidate) { r.ServeTime = 0 }, "share": func(r *Candidate) { r.TenantShare = 1 },
	} {
		rs := []Candidate{with("a", func(*Candidate) {}), with("b", f)}
		if got := BestForRequest(evenWeights, rs); got != 1 {
			t.Errorf("route, %s: got index %d, want 1", criterion, got)
		}
		if got := BestForRequest(map[string]float64{criterion: 0}, rs); got != 0 {
			t.Errorf("route, %s with weight 0: got index %d, want 0", criterion, got)
		}
	}
	for criterion, f := range map[string]func(*Candidate){
		"room": func(r *Candidate) { r.FreeMib = 10 }, "adapters": func(r *Candidate) { r.FreeAdapterPlaces = 4 }, "load": func(r *Candidate) { r.Inflight = 0 },
		"serve": func(r *Candidate) { r.ServeTime = 0 }, "copies": func(r *Candidate) { r.Copies = 0 },
	} {
		if got := names(RankForLoadWithBreakdown(evenWeights, []Candidate{with("a", func(*Candidate) {}), with("b", f)})); got != "b a" {
			t.Errorf("load, %s: got order %s, want b a", criterion, got)
		}
	}
	vetoes := []Candidate{with("leaves", func(r *Candidate) { r.Leaving = true; r.WarmShare = 1; r.SameZone = true }), with("small", func(r *Candidate) { r.Fits = false }), with("ok", func(*Candidate) {})}
	if got := names(RankForLoadWithBreakdown(evenWeights, vetoes)); !strings.HasPrefix(got, "ok !") {
		t.Errorf("vetoed candidates are not last: %s", got)
	}
	full := with("full", func(r *Candidate) { r.Inflight = 4; r.WarmShare = 1 })
	if got := BestForRequest(evenWeights, []Candidate{full, with("free", func(*Candidate) {})}); got != 1 {
		t.Errorf("full replica vetoed: got index %d, want 1", got)
	}
	if got := BestForRequest(evenWeights, []Candidate{full, vetoes[0]}); got != -1 {
		t.Errorf("all candidates vetoed: got index %d, want -1", got)
	}
}

func TestVictimRankingOrder(t *testing.T) {
	idle := []IdleItem{
		{Name: "wanted", SizeMib: 10, Penalty: 100, IdleFor: time.Minute},
		{Name: "cheap", SizeMib: 10, Penalty: 1, IdleFor: time.Minute},
		{Name: "old", SizeMib: 10, Penalty: 1, IdleFor: time.Hour},
		{Name: "copied", SizeMib: 10, Penalty: 1, IdleFor: time.Minute, Copies: 2},
		{Name: "laden", SizeMib: 10, Penalty: 1, IdleFor: time.Minute, Adapters: 3},
	}
	got := names(RankVictimsWithBreakdown(evenWeights, idle))
	if !strings.HasSuffix(got, "cheap laden wanted") || !strings.HasPrefix(got, "copied old") {
		t.Errorf("order of victims: %s", got)
	}
	for _, r := range RankVictimsWithBreakdown(evenWeights, idle) {
		for _, v := range r.Breakdown {
			if v.Value < 0 || v.Value > 1 || v.Reason == "" {
				t.Errorf("criterion score out of bounds or without a reason: %+v", v)
			}
		}
	}
}
