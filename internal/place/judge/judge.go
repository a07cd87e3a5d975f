// Package judge weighs the verdicts of many small judges to rank candidate
// replicas and idle victims.
package judge

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"
)

// Verdict is one judge's opinion between 0 and 1, with its reason.
type CriterionScore struct {
	Criterion string  `json:"judge" cbor:"1,keyasint"`
	Value     float64 `json:"value" cbor:"2,keyasint"`
	Weight    float64 `json:"weight" cbor:"3,keyasint"`
	Reason    string  `json:"reason" cbor:"4,keyasint"`
	Veto      bool    `json:"veto,omitempty" cbor:"5,keyasint,omitempty"`
}

// Ranked is a name with what the judges said of it.
type Ranked struct {
	Name          string           `json:"name" cbor:"1,keyasint"`
	Score         float64          `json:"score" cbor:"2,keyasint"`
	Vetoed        bool             `json:"vetoed,omitempty" cbor:"3,keyasint,omitempty"`
	Breakdown     []CriterionScore `json:"verdicts" cbor:"4,keyasint"` // where they were asked for
	loadCandidate *Candidate       // what was looked at in a candidate for a load
}

// Replica is what judges look at in a candidate replica.
type Candidate struct {
	Name      string
	WarmShare float64 // share of the prompt that is warm there, as far as is known
	Home      float64 // rendezvous share of the prompt
	Inflight  int
	Slots     int
	ServeTime time.Duration
	SameZone  bool
	Leaving   bool
	Holds     bool // model and adapter are loaded
	Fits      bool // could ever hold it
	FreeMib   int
	NeedMib   int
	AdFree    int
	Copies    int // copies of the item in the replica's zone
	// Share is 1 where the request pushes out nothing that another tenant, or a more urgent class, keeps warm; 0 without tenants.
	TenantShare float64
	// Wait is how long the first event is predicted to take there, with what it holds up there.
	PredictedWait time.Duration
}

// Idle is what judges look at in an idle item that may go.
type IdleItem struct {
	Name     string        `cbor:"1,keyasint"`
	SizeMib  int           `cbor:"2,keyasint"`
	Penalty  float64       `cbor:"3,keyasint"`
	IdleFor  time.Duration `cbor:"4,keyasint"`
	Copies   int           `cbor:"5,keyasint"` // copies of it elsewhere
	Adapters int           `cbor:"6,keyasint"` // adapters that would go with it
}

// A replicaJudge looks; why is asked only where the verdict is kept.
type replicaCriterion struct {
	name   string
	score  func(Candidate) (value float64, veto bool)
	reason func(Candidate) string
}

func clamp(x float64) float64 { return math.Max(0, math.Min(1, x)) }

func freeShare(r Candidate) float64 { return clamp(1 - float64(r.Inflight)/float64(max(r.Slots, 1))) }

func serveTimeScore(r Candidate) (float64, bool) { return 1 / (1 + r.ServeTime.Seconds()), false }

func drainScore(r Candidate) (float64, bool) {
	if r.Leaving {
		return 0, true
	}
	return 1, false
}

// known is how much what is known to be warm counts against where it should be.
const observedWarmthWeight = 0.5

// waitScale is the predicted wait that halves the verdict on it.
const halfScoreWait = 100 * time.Millisecond

// forRoute rank the replicas that may serve a request now.
var routeCriteria = []replicaCriterion{
	{name: "warmth", score: func(r Candidate) (float64, bool) {
		// Why: of what is warm nowhere the rendezvous share decides, so that all proxies warm the same replica; a
		// beginning that everybody shares is warm in many places and must not outweigh it.
		return (1-observedWarmthWeight)*clamp(r.Home) + observedWarmthWeight*clamp(r.WarmShare), false
	}},
	{name: "wait", score: func(r Candidate) (float64, bool) {
		return 1 / (1 + float64(r.PredictedWait)/float64(halfScoreWait)), false
	}},
	{name: "load", score: func(r Candidate) (float64, bool) { return freeShare(r), r.Inflight >= max(r.Slots, 1) }},
	{name: "zone", score: func(r Candidate) (float64, bool) {
		if r.SameZone {
			return 1, false
		}
		return 0, false
	}},
	{name: "serve", score: serveTimeScore},
	{name: "drain", score: drainScore},
	{name: "share", score: func(r Candidate) (float64, bool) { return clamp(r.TenantShare), false }},
}

// forLoad rank the replicas that might load an item.
var loadCriteria = []replicaCriterion{
	{"room", func(r Candidate) (float64, bool) {
		switch {
		case !r.Fits:
			return 0, true
		case r.NeedMib <= 0:
			return 1, false
		}
		return clamp(float64(r.FreeMib) / float64(r.NeedMib)), false
	}, func(r Candidate) string {
		switch {
		case !r.Fits:
			return "can never hold it"
		case r.NeedMib <= 0:
			return "has the model already"
		}
		return fmt.Sprintf("%d MiB free of %d needed", r.FreeMib, r.NeedMib)
	}},
	{"adapters", func(r Candidate) (float64, bool) { return clamp(float64(r.AdFree) / 4), false },
		func(r Candidate) string { return fmt.Sprintf("%d adapter places free", r.AdFree) }},
	{"load", func(r Candidate) (float64, bool) { return freeShare(r), false },
		func(r Candidate) string { return fmt.Sprintf("%d of %d places taken", r.Inflight, r.Slots) }},
	{"serve", serveTimeScore, func(r Candidate) string { return "serves in " + r.ServeTime.String() }},
	{"copies", func(r Candidate) (float64, bool) { return 1 / (1 + float64(r.Copies)), false },
		func(r Candidate) string { return fmt.Sprintf("%d copies in its zone", r.Copies) }},
	{"drain", drainScore, func(r Candidate) string {
		if r.Leaving {
			return "is leaving"
		}
		return "stays"
	}},
}

// Best is the replica to send a request to, by its place in the list; -1 when
// each is vetoed. Requests wait on it, so no reasons are made.
func BestForRequest(weights map[string]float64, rs []Candidate) int {
	best, top := -1, 0.0
	for i, r := range rs {
		score, out := 0.0, false
		for _, j := range routeCriteria {
			value, veto := j.score(r)
			score += value * weights[j.name]
			out = out || veto
		}
		if !out && (best < 0 || score > top || score == top && r.Name < rs[best].Name) {
			best, top = i, score
		}
	}
	return best
}

// Load ranks replicas for a load, best first; vetoed ones come last.
func RankForLoadWithBreakdown(weights map[string]float64, rs []Candidate) []Ranked {
	out := RankForLoad(weights, rs)
	for i := range out {
		out[i] = out[i].WithBreakdown(weights)
	}
	return out
}

// RankLoad is Load without the verdicts, which Explained gives later; until then
// nobody may change rs. Why: nearly all rankings are never read, and the verdicts on 140 replicas are 90 KB.
func RankForLoad(weights map[string]float64, rs []Candidate) []Ranked {
	out := make([]Ranked, 0, len(rs))
	for i, r := range rs {
		one := Ranked{Name: r.Name, loadCandidate: &rs[i]}
		for _, j := range loadCriteria {
			value, veto := j.score(r)
			one.addScore(value, weights[j.name], veto)
		}
		out = append(out, one)
	}
	return sortRanked(out)
}

// Explained adds the verdicts of the judges for a load, under the weights that it was ranked with.
func (r Ranked) WithBreakdown(weights map[string]float64) Ranked {
	if r.loadCandidate == nil {
		return r
	}
	r.Breakdown = make([]CriterionScore, 0, len(loadCriteria))
	for _, j := range loadCriteria {
		value, veto := j.score(*r.loadCandidate)
		r.Breakdown = append(r.Breakdown, CriterionScore{Criterion: j.name, Value: value, Weight: weights[j.name], Reason: j.reason(*r.loadCandidate), Veto: veto})
	}
	return r
}

func (r *Ranked) addScore(value, weight float64, veto bool) {
	r.Score += value * weight
	r.Vetoed = r.Vetoed || veto
}

func sortRanked(out []Ranked) []Ranked {
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Vetoed != out[j].Vetoed {
			return !out[i].Vetoed
		}
		if out[i].Score != out[j].Score {
			return out[i].Score > out[j].Score
		}
		return out[i].Name < out[j].Name
	})
	return out
}

// An idleJudge looks at an idle item, whose penalty for each MiB is compared with the dearest.
type victimCriterion struct {
	name   string
	score  func(i IdleItem, dearest float64) float64
	reason func(IdleItem) string
}

// forVictims rank the idle items that may go.
var victimCriteria = []victimCriterion{
	{"demand", func(i IdleItem, dearest float64) float64 {
		if dearest <= 0 {
			return 1
		}
		return clamp(1 - i.penaltyPerMib()/dearest)
	}, func(i IdleItem) string { return fmt.Sprintf("penalty %.1f for %d MiB", i.Penalty, i.SizeMib) }},
	{"recency", func(i IdleItem, _ float64) float64 { return clamp(i.IdleFor.Minutes() / 60) },
		func(i IdleItem) string { return "idle for " + i.IdleFor.Round(time.Second).String() }},
	{"copies", func(i IdleItem, _ float64) float64 { return clamp(float64(i.Copies) / 2) },
		func(i IdleItem) string { return fmt.Sprintf("%d copies elsewhere", i.Copies) }},
	{"adapters", func(i IdleItem, _ float64) float64 { return 1 / (1 + float64(i.Adapters)) },
		func(i IdleItem) string { return fmt.Sprintf("%d adapters go with it", i.Adapters) }},
}

func (i IdleItem) penaltyPerMib() float64 { return i.Penalty / float64(max(i.SizeMib, 1)) }

// dearestOf is the highest penalty for a MiB. Why: penalties have no upper end, so
// they are compared with the dearest.
func maxPenaltyPerMib(idle []IdleItem) float64 {
	dearest := 0.0
	for _, i := range idle {
		dearest = math.Max(dearest, i.penaltyPerMib())
	}
	return dearest
}

// Victims ranks idle items, the one best let go first.
func RankVictimsWithBreakdown(weights map[string]float64, idle []IdleItem) []Ranked {
	dearest := maxPenaltyPerMib(idle)
	out := make([]Ranked, 0, len(idle))
	for _, i := range idle {
		one := rankVictim(weights, i, dearest)
		for _, j := range victimCriteria {
			one.Breakdown = append(one.Breakdown, CriterionScore{Criterion: j.name, Value: j.score(i, dearest), Weight: weights[j.name], Reason: j.reason(i)})
		}
		out = append(out, one)
	}
	return sortRanked(out)
}

// RankVictims is Victims without the verdicts.
func RankVictims(weights map[string]float64, idle []IdleItem) []Ranked {
	dearest := maxPenaltyPerMib(idle)
	out := make([]Ranked, 0, len(idle))
	for _, i := range idle {
		out = append(out, rankVictim(weights, i, dearest))
	}
	return sortRanked(out)
}

func rankVictim(weights map[string]float64, i IdleItem, dearest float64) Ranked {
	one := Ranked{Name: i.Name}
	for _, j := range victimCriteria {
		one.addScore(j.score(i, dearest), weights[j.name], false)
	}
	return one
}

// String puts a ranking on one line for logs.
func (r Ranked) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %.2f", r.Name, r.Score)
	for _, v := range r.Breakdown {
		fmt.Fprintf(&b, " %s=%.2fx%g", v.Criterion, v.Value, v.Weight)
	}
	return b.String()
}
