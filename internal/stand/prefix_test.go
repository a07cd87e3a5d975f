package stand

import (
	"fmt"
	"strings"
	"testing"
)

func TestPrefixesAreWarmFromTheFrontAndBounded(t *testing.T) {
	p := newPrefixes(8)
	a, b := strings.Repeat("a", 4*block), strings.Repeat("b", 4*block)
	for i, c := range []struct {
		item, prompt string
		warm, all    int
	}{
		{"m", a, 0, 4}, {"m", a, 4, 4}, {"n", a, 0, 4}, // another model shares nothing
		{"m", a[:2*block] + b, 2, 6}, // 4 of n's or m's have gone
		{"m", a[:2*block] + b, 6, 6}, {"n", a, 0, 4}, {"m", "b" + a, 0, 5},
	} {
		if warm, all := p.take(c.item, c.prompt, owner{}); warm != c.warm || all != c.all || p.used.Len() > 8 || len(p.byKey) > 8 {
			t.Errorf("%d: %d of %d warm, %d kept; want %d of %d", i, warm, all, len(p.byKey), c.warm, c.all)
		}
	}
}

// A replica that divides its cache keeps what a tenant has within its share through
// another's bulk run, and in a tenant what is urgent; one that does not keeps nothing.
func TestAReplicaMayDivideItsCache(t *testing.T) {
	ours := strings.Repeat("o", 10*block)
	for _, c := range []struct {
		byShare bool
		want    int
	}{{true, 10}, {false, 0}} {
		p := newPrefixCache(ReplicaSettings{Prefixes: 100, ByShare: c.byShare})
		urgent, night, other := owner{tenant: "t", share: 1}, owner{tenant: "t", share: 1, urgency: 6}, owner{tenant: "bulk", share: 3}
		p.take("m", ours, urgent)
		for i := range 200 {
			p.take("m", strings.Repeat(fmt.Sprint("n", i), block), night)
			p.take("m", strings.Repeat(fmt.Sprint("b", i), 2*block), other)
		}
		if warm, all := p.take("m", ours, urgent); warm != c.want || all != 10 {
			t.Errorf("divided %v: %d of %d blocks are warm, want %d", c.byShare, warm, all, c.want)
		}
	}
}
