package share

import (
	"encoding/binary"
	"fmt"
	"testing"
)

// A few names get about the same number of keys each, and the removal of a name does not
// move keys of the others.
func TestKeysAreEvenAndStable(t *testing.T) {
	names := []string{"core-1", "core-2", "core-3", "core-4"}
	best := func(key []byte, names []string) string {
		winner := names[0]
		for _, n := range names[1:] {
			if Score(key, n) > Score(key, winner) {
				winner = n
			}
		}
		return winner
	}
	const keys = 4000
	wins := map[string]int{}
	for i := range uint64(keys) {
		key := binary.LittleEndian.AppendUint64(nil, i)
		all := best(key, names)
		wins[all]++
		if all != "core-4" && best(key, names[:3]) != all {
			t.Fatalf("key %x moved from %s when another name was removed", key, all)
		}
	}
	for _, n := range names {
		if wins[n] < keys/len(names)*8/10 || wins[n] > keys/len(names)*12/10 {
			t.Errorf("keys are distributed unevenly: %s", fmt.Sprint(wins))
		}
	}
}

// The scores are those of the first version.
func TestScoresNeverChange(t *testing.T) {
	for _, c := range []struct {
		key  []byte
		name string
		want uint64
	}{
		{[]byte{0}, "core-1", 10247325157770294544}, {[]byte{63}, "core-2", 12497834671986180680}, {binary.LittleEndian.AppendUint64(nil, 1<<40), "m-01", 2323318010438709861},
	} {
		if got := Score(c.key, c.name); got != c.want {
			t.Errorf("score of key %x and name %s: %d, want %d", c.key, c.name, got, c.want)
		}
	}
}
