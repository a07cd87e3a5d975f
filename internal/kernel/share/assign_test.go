package share

import (
	"fmt"
	"slices"
	"testing"
)

func testKeys(n int) (out [][]byte) {
	for i := range n {
		out = append(out, []byte{byte(i)})
	}
	return out
}

func testNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("core-%d", i+1))
	}
	return out
}

func TestAssignIsBalanced(t *testing.T) {
	for n := 1; n <= 20; n++ {
		counts := map[string]int{}
		for _, name := range Assign(testKeys(16), testNames(n)) {
			counts[name]++
		}
		for _, name := range testNames(n) {
			if count := counts[name]; count < 16/n || count > 16/n+1 {
				t.Errorf("%d names: %q has %d keys of 16", n, name, count)
			}
		}
		if counts[""] > 0 {
			t.Errorf("%d names: %d keys are not assigned", n, counts[""])
		}
	}
}

func TestAssignIgnoresOrderOfNames(t *testing.T) {
	forward := testNames(7)
	backward := slices.Clone(forward)
	slices.Reverse(backward)
	if a, b := Assign(testKeys(16), forward), Assign(testKeys(16), backward); !slices.Equal(a, b) {
		t.Errorf("assignments differ: %v and %v", a, b)
	}
}

func TestMostKeysStayWhenNameIsRemoved(t *testing.T) {
	before := Assign(testKeys(16), testNames(7))
	after := Assign(testKeys(16), testNames(7)[:6])
	moved := 0
	for i := range before {
		if before[i] != "core-7" && before[i] != after[i] {
			moved++
		}
	}
	if moved > 4 {
		t.Errorf("%d keys of the remaining names have moved", moved)
	}
}

func TestAssignWithoutNames(t *testing.T) {
	if got := Assign(testKeys(2), nil); !slices.Equal(got, []string{"", ""}) {
		t.Errorf("%q", got)
	}
}
