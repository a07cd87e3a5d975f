package share

import (
	"cmp"
	"slices"
)

// Assign returns a name for each key, such that the numbers of keys per name differ by at most one. A key is assigned to
// the name with the highest score that has capacity left. With few keys, scores alone would give one name several times
// as many keys as another, and some names none.
func Assign(keys [][]byte, names []string) []string {
	out := make([]string, len(keys))
	if len(names) == 0 {
		return out
	}
	least, larger := len(keys)/len(names), len(keys)%len(names) // larger is the number of names that get least+1 keys
	assigned := make(map[string]int, len(names))
	for i, key := range keys {
		for _, name := range RankNames(key, names) {
			if assigned[name] > least || assigned[name] == least && larger == 0 {
				continue
			}
			if assigned[name] == least {
				larger--
			}
			assigned[name]++
			out[i] = name
			break
		}
	}
	return out
}

// RankNames returns the names sorted by descending score for a key, ties by name.
func RankNames(key []byte, names []string) []string {
	scores := make(map[string]uint64, len(names))
	for _, name := range names {
		scores[name] = Score(key, name)
	}
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b)) })
	return out
}
