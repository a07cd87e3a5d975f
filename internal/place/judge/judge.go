// Package judge ranks candidate replicas and eviction victims by the weighted sum
// of several scoring criteria.
package judge

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"
)

// CriterionScore is the score of one criterion, between 0 and 1, with its reason.
type CriterionScore struct {
	Criterion string  `json:"judge" cbor:"1,keyasint"`
	Value     float64 `json:"value" cbor:"2,keyasint"`
	Weight    float64 `json:"weight" cbor:"3,keyasint"`
	Reason    string  `json:"reason" cbor:"4,keyasint"`
	Veto      bool    `json:"veto,omitempty" cbor:"5,keyasint,omitempty"`
}

// Ranked is a ranked replica or item with its score.
type Ranked struct {
	Name          string           `json:"name" cbor:"1,keyasint"`
	Score         float64          `json:"score" cbor:"2,keyasint"`
	Vetoed        bool             `json:"vetoed,omitempty" cbor:"3,keyasint,omitempty"`
	Breakdown     []CriterionScore `json:"verdicts" cbor:"4,keyasint"` // only set where requested
	loadCandidate *Candidate       // input of the load criteria, for WithBreakdown
}

// Candidate holds the properties of a replica that the criteria score.
type Candidate struct {
	Name              string
	WarmShare         float64 // known share of the prompt that is warm on the replica
	RendezvousShare   float64 // rendezvous hash of the prompt and the replica, between 0 and 1
	Inflight          int
	Slots             int
	ServeTime         time.Duration
	SameZone          bool
	Leaving           bool
	Loaded            bool // model and adapter are loaded
	Fits              bool // false if the replica can never hold the item
	FreeMib           int
	NeedMib           int
	FreeAdapterPlaces int
	Copies            int // copies of the item in the replica's zone
	// TenantShare is 1 where the request evicts nothing that another tenant, or a more urgent class, keeps warm; 0 without
	// tenants.
	TenantShare float64
	// PredictedWait is the predicted time to the first event of the answer, including the delay that the request causes to
	// others on the replica.
	PredictedWait time.Duration
}

// IdleItem holds the properties of an idle item that the victim criteria score.
type IdleItem struct {
	Name     string        `cbor:"1,keyasint"`
	SizeMib  int           `cbor:"2,keyasint"`
	Penalty  float64       `cbor:"3,keyasint"`
	IdleFor  time.Duration `cbor:"4,keyasint"`
	Copies   int           `cbor:"5,keyasint"` // copies on other replicas
	Adapters int           `cbor:"6,keyasint"` // adapters that would be evicted with it
}

// replicaCriterion scores one property of a candidate replica. reason is called only where a breakdown is requested.
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

// observedWarmthWeight is the weight of the known warm share relative to the rendezvous share.
const observedWarmthWeight = 0.5

// halfScoreWait is the predicted wait at which the score is 0.5.
const halfScoreWait = 100 * time.Millisecond

// routeCriteria rank the replicas that may serve a request now.
var routeCriteria = []replicaCriterion{
	{name: "warmth", score: func(r Candidate) (float64, bool) {
		// For a prompt that is warm nowhere the rendezvous share decides, so that all proxies warm the same replica. A
		// prefix shared by many prompts is warm on many replicas and must not outweigh it.
		return (1-observedWarmthWeight)*clamp(r.RendezvousShare) + observedWarmthWeight*clamp(r.WarmShare), false
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

// loadCriteria rank the replicas that may load an item.
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
			return "unable to hold the item"
		case r.NeedMib <= 0:
			return "already holds the model"
		}
		return fmt.Sprintf("%d MiB free of %d needed", r.FreeMib, r.NeedMib)
	}},
	{"adapters", func(r Candidate) (float64, bool) { return clamp(float64(r.FreeAdapterPlaces) / 4), false },
		func(r Candidate) string { return fmt.Sprintf("%d adapter places free", r.FreeAdapterPlaces) }},
	{"load", func(r Candidate) (float64, bool) { return freeShare(r), false },
		func(r Candidate) string { return fmt.Sprintf("%d of %d slots in use", r.Inflight, r.Slots) }},
	{"serve", serveTimeScore, func(r Candidate) string { return "serve time " + r.ServeTime.String() }},
	{"copies", func(r Candidate) (float64, bool) { return 1 / (1 + float64(r.Copies)), false },
		func(r Candidate) string { return fmt.Sprintf("%d copies in its zone", r.Copies) }},
	{"drain", drainScore, func(r Candidate) string {
		if r.Leaving {
			return "is leaving"
		}
		return "stays"
	}},
}

// BestForRequest returns the index of the replica to send a request to, or -1 if
// all are vetoed. It is on the request path, so it builds no breakdown.
func BestForRequest(weights map[string]float64, rs []Candidate) int {
	best, bestScore := -1, 0.0
	for i, r := range rs {
		score, vetoed := 0.0, false
		for _, c := range routeCriteria {
			value, veto := c.score(r)
			score += value * weights[c.name]
			vetoed = vetoed || veto
		}
		if !vetoed && (best < 0 || score > bestScore || score == bestScore && r.Name < rs[best].Name) {
			best, bestScore = i, score
		}
	}
	return best
}

// RankForLoadWithBreakdown ranks replicas for a load, best first and vetoed ones
// last, and includes the score of each criterion.
func RankForLoadWithBreakdown(weights map[string]float64, rs []Candidate) []Ranked {
	out := RankForLoad(weights, rs)
	for i := range out {
		out[i] = out[i].WithBreakdown(weights)
	}
	return out
}

// RankForLoad is RankForLoadWithBreakdown without the breakdown, which WithBreakdown
// adds later; until then rs must not be modified. Nearly all rankings are never
// read, and the breakdown for 140 replicas takes 90 KB.
func RankForLoad(weights map[string]float64, rs []Candidate) []Ranked {
	out := make([]Ranked, 0, len(rs))
	for i, r := range rs {
		entry := Ranked{Name: r.Name, loadCandidate: &rs[i]}
		for _, c := range loadCriteria {
			value, veto := c.score(r)
			entry.addScore(value, weights[c.name], veto)
		}
		out = append(out, entry)
	}
	return sortRanked(out)
}

// WithBreakdown returns r with the score of each load criterion; weights must be those it was ranked with. A value that
// RankForLoad did not return is returned unchanged.
func (r Ranked) WithBreakdown(weights map[string]float64) Ranked {
	if r.loadCandidate == nil {
		return r
	}
	r.Breakdown = make([]CriterionScore, 0, len(loadCriteria))
	for _, c := range loadCriteria {
		value, veto := c.score(*r.loadCandidate)
		r.Breakdown = append(r.Breakdown, CriterionScore{Criterion: c.name, Value: value, Weight: weights[c.name], Reason: c.reason(*r.loadCandidate), Veto: veto})
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

// victimCriterion scores one property of an idle item; maxPerMib is the highest penalty per MiB of all items ranked.
type victimCriterion struct {
	name   string
	score  func(i IdleItem, maxPerMib float64) float64
	reason func(IdleItem) string
}

// victimCriteria rank the idle items that may be evicted.
var victimCriteria = []victimCriterion{
	{"demand", func(i IdleItem, maxPerMib float64) float64 {
		if maxPerMib <= 0 {
			return 1
		}
		return clamp(1 - i.penaltyPerMib()/maxPerMib)
	}, func(i IdleItem) string { return fmt.Sprintf("penalty %.1f for %d MiB", i.Penalty, i.SizeMib) }},
	{"recency", func(i IdleItem, _ float64) float64 { return clamp(i.IdleFor.Minutes() / 60) },
		func(i IdleItem) string { return "idle for " + i.IdleFor.Round(time.Second).String() }},
	{"copies", func(i IdleItem, _ float64) float64 { return clamp(float64(i.Copies) / 2) },
		func(i IdleItem) string { return fmt.Sprintf("%d copies on other replicas", i.Copies) }},
	{"adapters", func(i IdleItem, _ float64) float64 { return 1 / (1 + float64(i.Adapters)) },
		func(i IdleItem) string { return fmt.Sprintf("%d adapters evicted with it", i.Adapters) }},
}

func (i IdleItem) penaltyPerMib() float64 { return i.Penalty / float64(max(i.SizeMib, 1)) }

// maxPenaltyPerMib returns the highest penalty per MiB of the items. Penalties have
// no upper bound, so scores are relative to the highest.
func maxPenaltyPerMib(idle []IdleItem) float64 {
	maxPerMib := 0.0
	for _, i := range idle {
		maxPerMib = math.Max(maxPerMib, i.penaltyPerMib())
	}
	return maxPerMib
}

// RankVictimsWithBreakdown ranks idle items, the best eviction victim first, and
// includes the score of each criterion.
func RankVictimsWithBreakdown(weights map[string]float64, idle []IdleItem) []Ranked {
	maxPerMib := maxPenaltyPerMib(idle)
	out := make([]Ranked, 0, len(idle))
	for _, i := range idle {
		entry := rankVictim(weights, i, maxPerMib)
		for _, c := range victimCriteria {
			entry.Breakdown = append(entry.Breakdown, CriterionScore{Criterion: c.name, Value: c.score(i, maxPerMib), Weight: weights[c.name], Reason: c.reason(i)})
		}
		out = append(out, entry)
	}
	return sortRanked(out)
}

// RankVictims is RankVictimsWithBreakdown without the breakdown.
func RankVictims(weights map[string]float64, idle []IdleItem) []Ranked {
	maxPerMib := maxPenaltyPerMib(idle)
	out := make([]Ranked, 0, len(idle))
	for _, i := range idle {
		out = append(out, rankVictim(weights, i, maxPerMib))
	}
	return sortRanked(out)
}

func rankVictim(weights map[string]float64, i IdleItem, maxPerMib float64) Ranked {
	entry := Ranked{Name: i.Name}
	for _, c := range victimCriteria {
		entry.addScore(c.score(i, maxPerMib), weights[c.name], false)
	}
	return entry
}

// String formats the entry on one line for logs.
func (r Ranked) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %.2f", r.Name, r.Score)
	for _, v := range r.Breakdown {
		fmt.Fprintf(&b, " %s=%.2fx%g", v.Criterion, v.Value, v.Weight)
	}
	return b.String()
}
