package share

import (
	"fmt"
	"slices"
	"testing"
)

func keys(n int) (out [][]byte) {
	for i := range n {
		out = append(out, []byte{byte(i)})
	}
	return out
}

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("core-%d", i+1))
	}
	return out
}

func TestNoNameHasMoreThanOneKeyMoreThanAnother(t *testing.T) {
	for n := 1; n <= 20; n++ {
		has := map[string]int{}
		for _, name := range Spread(keys(16), names(n)) {
			has[name]++
		}
		for _, name := range names(n) {
			if count := has[name]; count < 16/n || count > 16/n+1 {
				t.Errorf("%d names: %q has %d keys of 16", n, name, count)
			}
		}
		if has[""] > 0 {
			t.Errorf("%d names: %d keys have none", n, has[""])
		}
	}
}

func TestEverybodySpreadsAlikeWhateverTheOrderOfNames(t *testing.T) {
	forward := names(7)
	backward := slices.Clone(forward)
	slices.Reverse(backward)
	if a, b := Spread(keys(16), forward), Spread(keys(16), backward); !slices.Equal(a, b) {
		t.Errorf("%v and %v", a, b)
	}
}

func TestMostKeysStayWhenANameGoes(t *testing.T) {
	before := Spread(keys(16), names(7))
	after := Spread(keys(16), names(7)[:6])
	moved := 0
	for i := range before {
		if before[i] != "core-7" && before[i] != after[i] {
			moved++
		}
	}
	if moved > 4 {
		t.Errorf("%d keys of names that stay have moved", moved)
	}
}

func TestWithoutNamesNoKeyHasOne(t *testing.T) {
	if got := Spread(keys(2), nil); !slices.Equal(got, []string{"", ""}) {
		t.Errorf("%q", got)
	}
}
