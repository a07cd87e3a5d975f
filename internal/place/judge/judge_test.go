package judge

import (
	"strings"
	"testing"
	"time"
)

var even = map[string]float64{"warmth": 1, "load": 1, "zone": 1, "serve": 1, "drain": 1, "demand": 1, "recency": 1, "copies": 1, "adapters": 1, "room": 1, "share": 1}

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

// Each judge alone turns a tie, and its weight decides how far.
func TestEachJudgeMatters(t *testing.T) {
	base := Replica{Slots: 4, Inflight: 1, ServeFor: time.Second, Fits: true, FreeMib: 5, NeedMib: 10, AdFree: 1, Copies: 1}
	with := func(name string, f func(*Replica)) Replica {
		r := base
		r.Name = name
		f(&r)
		return r
	}
	for judge, f := range map[string]func(*Replica){
		"warmth": func(r *Replica) { r.Warm = 1 }, "load": func(r *Replica) { r.Inflight = 0 }, "zone": func(r *Replica) { r.SameZone = true },
		"serve": func(r *Replica) { r.ServeFor = 0 }, "share": func(r *Replica) { r.Share = 1 },
	} {
		rs := []Replica{with("a", func(*Replica) {}), with("b", f)}
		if got := Best(even, rs); got != 1 {
			t.Errorf("route, %s: %d", judge, got)
		}
		if got := Best(map[string]float64{judge: 0}, rs); got != 0 {
			t.Errorf("route, %s without weight: %d", judge, got)
		}
	}
	for judge, f := range map[string]func(*Replica){
		"room": func(r *Replica) { r.FreeMib = 10 }, "adapters": func(r *Replica) { r.AdFree = 4 }, "load": func(r *Replica) { r.Inflight = 0 },
		"serve": func(r *Replica) { r.ServeFor = 0 }, "copies": func(r *Replica) { r.Copies = 0 },
	} {
		if got := names(Load(even, []Replica{with("a", func(*Replica) {}), with("b", f)})); got != "b a" {
			t.Errorf("load, %s: %s", judge, got)
		}
	}
	vetoes := []Replica{with("leaves", func(r *Replica) { r.Leaving = true; r.Warm = 1; r.SameZone = true }), with("small", func(r *Replica) { r.Fits = false }), with("ok", func(*Replica) {})}
	if got := names(Load(even, vetoes)); !strings.HasPrefix(got, "ok !") {
		t.Errorf("vetoed candidates: %s", got)
	}
	full := with("full", func(r *Replica) { r.Inflight = 4; r.Warm = 1 })
	if got := Best(even, []Replica{full, with("free", func(*Replica) {})}); got != 1 {
		t.Errorf("a full replica: %d", got)
	}
	if got := Best(even, []Replica{full, vetoes[0]}); got != -1 {
		t.Errorf("only vetoed ones: %d", got)
	}
}

func TestVictimsInOrder(t *testing.T) {
	idle := []Idle{
		{Name: "wanted", SizeMib: 10, Penalty: 100, IdleFor: time.Minute},
		{Name: "cheap", SizeMib: 10, Penalty: 1, IdleFor: time.Minute},
		{Name: "old", SizeMib: 10, Penalty: 1, IdleFor: time.Hour},
		{Name: "copied", SizeMib: 10, Penalty: 1, IdleFor: time.Minute, Copies: 2},
		{Name: "laden", SizeMib: 10, Penalty: 1, IdleFor: time.Minute, Adapters: 3},
	}
	got := names(Victims(even, idle))
	if !strings.HasSuffix(got, "cheap laden wanted") || !strings.HasPrefix(got, "copied old") {
		t.Errorf("order of victims: %s", got)
	}
	for _, r := range Victims(even, idle) {
		for _, v := range r.Verdicts {
			if v.Value < 0 || v.Value > 1 || v.Reason == "" {
				t.Errorf("verdict out of bounds or without a reason: %+v", v)
			}
		}
	}
}
