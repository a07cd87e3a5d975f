package sample

import (
	"slices"
	"testing"
)

func TestSampleHasNoDuplicatesAndKeepsInput(t *testing.T) {
	for size := range 6 {
		all := make([]int, size)
		for i := range all {
			all[i] = i
		}
		before := slices.Clone(all)
		for n := range 8 {
			got := Of(all, n)
			slices.Sort(got)
			if want := min(n, size); len(got) != want || len(slices.Compact(got)) != want {
				t.Errorf("%d of %d: got %v", n, size, got)
			}
			for _, x := range got {
				if !slices.Contains(all, x) {
					t.Errorf("%d of %d: got %v", n, size, got)
				}
			}
		}
		if !slices.Equal(all, before) {
			t.Errorf("what was picked from is %v now", all)
		}
	}
}

// Each is picked about as often as any other.
func TestSampleIsUniform(t *testing.T) {
	const (
		rounds = 6000
		size   = 6
		picked = 2
		want   = rounds * picked / size
	)
	counts := map[int]int{}
	for range rounds {
		for _, x := range Of([]int{0, 1, 2, 3, 4, 5}, picked) {
			counts[x]++
		}
	}
	for x := range size {
		if n := counts[x]; n < want*8/10 || n > want*12/10 {
			t.Errorf("%d was picked %d times, want about %d", x, n, want)
		}
	}
}

func TestReservoirIsBoundedAndUniform(t *testing.T) {
	const (
		rounds = 6000
		size   = 6
	)
	for most := range size + 2 {
		counts := map[int]int{}
		for range rounds {
			r := NewReservoir[int](most)
			for x := range size {
				r.Add(x)
			}
			got := slices.Clone(r.Picked())
			slices.Sort(got)
			if len(got) != min(most, size) || len(slices.Compact(got)) != len(got) {
				t.Fatalf("%d of %d: got %v", most, size, got)
			}
			for _, x := range got {
				counts[x]++
			}
		}
		want := rounds * min(most, size) / size
		for x := range size {
			if n := counts[x]; n < want*8/10 || n > want*12/10 {
				t.Errorf("%d of %d: %d was picked %d times, want about %d", most, size, x, n, want)
			}
		}
	}
}
