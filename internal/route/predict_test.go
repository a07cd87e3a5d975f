package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"drumstall.example/internal/kernel/sharedcache"
)

func TestDefaultPaceUntilObserved(t *testing.T) {
	var p Predictor
	if pace, mean := p.Pace(); pace != defaultPrefillPace || mean != 0 {
		t.Errorf("got %v, %v", pace, mean)
	}
	p.Learn(minLearnTokens-1, 0, time.Hour)
	p.Learn(minLearnTokens, maxLearnLoad+1, time.Hour)
	if pace, mean := p.Pace(); pace != defaultPrefillPace || mean <= 0 {
		t.Errorf("after a short prompt and a busy replica: %v, %v", pace, mean)
	}
}

func TestFirstLongPromptSetsPace(t *testing.T) {
	var p Predictor
	p.Learn(1000, maxLearnLoad, 50*time.Millisecond)
	if pace, _ := p.Pace(); pace != 50*time.Microsecond {
		t.Errorf("got %v", pace)
	}
}

func TestFastSamplesMovePaceMost(t *testing.T) {
	var quick, slow Predictor
	for _, p := range []*Predictor{&quick, &slow} {
		p.Learn(1000, 0, 64*time.Millisecond)
	}
	quick.Learn(1000, 0, 32*time.Millisecond)
	slow.Learn(1000, 0, 128*time.Millisecond)
	if pace, _ := quick.Pace(); pace != 56*time.Microsecond {
		t.Errorf("after a quick one: %v", pace)
	}
	if pace, _ := slow.Pace(); pace != 65*time.Microsecond {
		t.Errorf("after a slow one: %v", pace)
	}
}

func TestPaceConvergesUnderNoise(t *testing.T) {
	var p Predictor
	rnd := rand.New(rand.NewPCG(1, 1))
	const truth = 40 * time.Microsecond
	for range 2000 {
		tokens := minLearnTokens + rnd.IntN(2000)
		held := time.Duration(rnd.ExpFloat64() * 0.2 * float64(tokens) * float64(truth))
		p.Learn(tokens, rnd.IntN(maxLearnLoad+1), time.Duration(tokens)*truth+held)
	}
	if pace, mean := p.Pace(); pace < truth || pace > truth*5/4 || mean < 900 || mean > 1700 {
		t.Errorf("got %v, mean %v", pace, mean)
	}
}

func TestMeanTokensFollowsEveryPrompt(t *testing.T) {
	var p Predictor
	for range 200 {
		p.Learn(80, 9, time.Second)
	}
	if _, mean := p.Pace(); math.Abs(mean-80) > 0.1 {
		t.Errorf("got %v", mean)
	}
}

// randomParts draws parts from few names, so that prompts share beginnings by chance too.
func randomParts(rnd *rand.Rand, n int) []Part {
	var out []Part
	for range n {
		id := rnd.IntN(4)
		out = append(out, Part{ID: fmt.Sprint("p", id), Tokens: 10 * (id + 1)})
	}
	return out
}

// shared is how many tokens of b come before the first part that differs from a's.
func sharedTokens(a, b []Part) int {
	n := 0
	for i := range min(len(a), len(b), maxParts) {
		if a[i] != b[i] {
			break
		}
		n += b[i].Tokens
	}
	return n
}

func TestPartIsWarmOnlyAfterWarmParts(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		was, is := randomParts(rnd, 1+rnd.IntN(8)), randomParts(rnd, 1+rnd.IntN(8))
		is = append(append([]Part{}, was[:rnd.IntN(len(was)+1)]...), is...)
		m := newPrefixMemory()
		m.add(PromptFromParts("m", was), "r", sharedcache.Owner{})
		p := PromptFromParts("m", is)
		want := float64(sharedTokens(was, is)) / float64(p.Size())
		if got := m.warmFractions(p)["r"]; math.Abs(got-want) > 1e-9 {
			t.Fatalf("seed %d: %v after %v is warm by %v, want %v", seed, is, was, got, want)
		}
		if got := m.warmFractions(PromptFromParts("other", is)); len(got) > 0 {
			t.Fatalf("seed %d: warm for another model: %v", seed, got)
		}
	}
}

func TestPartBoundariesAreDigested(t *testing.T) {
	m := newPrefixMemory()
	m.add(PromptFromParts("m", []Part{{"ab", 1}, {"c", 1}}), "r", sharedcache.Owner{})
	for _, parts := range [][]Part{{{"a", 1}, {"bc", 1}}, {{"abc", 2}}, {{"a", 1}, {"b", 1}, {"c", 1}}, {{"c", 1}, {"ab", 1}}} {
		if got := m.warmFractions(PromptFromParts("m", parts)); len(got) > 0 {
			t.Errorf("%v is warm: %v", parts, got)
		}
	}
}

func TestPromptSize(t *testing.T) {
	if p := PromptFromParts("m", nil); p.Size() != 0 || len(p.digests) != 0 || p.homeDigest() != 0 {
		t.Errorf("without parts: %+v", p)
	}
	p := PromptFromParts("m", []Part{{"a", 300}, {"b", 40}})
	if p.Size() != 340 || fmt.Sprint(p.sizes) != "[300 340]" {
		t.Errorf("got %+v", p)
	}
}

// Parts may be named with no tokens in them.
func TestWarmFractionOfPromptWithoutTokens(t *testing.T) {
	m := newPrefixMemory()
	p := PromptFromParts("m", []Part{{"a", 0}})
	m.add(p, "r", sharedcache.Owner{})
	if got := m.warmFractions(p)["r"]; math.IsNaN(got) || got < 0 || got > 1 {
		t.Errorf("it is warm by %v", got)
	}
}
