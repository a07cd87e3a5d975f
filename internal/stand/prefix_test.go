package stand

import (
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
		if warm, all := p.take(c.item, c.prompt); warm != c.warm || all != c.all || p.used.Len() > 8 || len(p.byKey) > 8 {
			t.Errorf("%d: %d of %d warm, %d kept; want %d of %d", i, warm, all, len(p.byKey), c.warm, c.all)
		}
	}
}
