package share

import (
	"cmp"
	"slices"
)

// Spread gives each key one of some names, so that no name has more than one key more than another. A key goes to the
// name with the highest draw that has room left. Why: with few keys, draws alone leave one name with several times as
// many as another, and some with none.
func Assign(keys [][]byte, names []string) []string {
	out := make([]string, len(keys))
	if len(names) == 0 {
		return out
	}
	least, larger := len(keys)/len(names), len(keys)%len(names) // so many names have one more than the least
	has := make(map[string]int, len(names))
	for i, key := range keys {
		for _, name := range RankNames(key, names) {
			if has[name] > least || has[name] == least && larger == 0 {
				continue
			}
			if has[name] == least {
				larger--
			}
			has[name]++
			out[i] = name
			break
		}
	}
	return out
}

// Ranked is the names by their draws for a key, the highest first.
func RankNames(key []byte, names []string) []string {
	draws := make(map[string]uint64, len(names))
	for _, name := range names {
		draws[name] = Score(key, name)
	}
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(draws[b], draws[a]), cmp.Compare(a, b)) })
	return out
}
