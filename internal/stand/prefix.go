package stand

import (
	"container/list"
	"hash/fnv"
)

// block is how many bytes of a prompt a replica caches as one piece.
const block = 128

// prefixCache is what a replica keeps of prompts.
type prefixCache interface {
	// take says how many of a prompt's blocks are warm, of how many; afterwards those that are kept are.
	take(item, prompt string, by owner) (warm, all int)
}

func newPrefixCache(s ReplicaSettings) prefixCache {
	if s.ByShare {
		return newSharedPrefixes(s.Prefixes)
	}
	return newPrefixes(s.Prefixes)
}

// prefixes is a replica's bounded cache of prompts: a block is warm only behind
// the same blocks before it, and what was used longest ago goes first.
type prefixes struct {
	max   int
	byKey map[uint64]*list.Element
	used  *list.List // of keys, the latest in front
}

func newPrefixes(max int) *prefixes {
	return &prefixes{max: max, byKey: map[uint64]*list.Element{}, used: list.New()}
}

// take says how many of a prompt's blocks are warm, of how many; afterwards all are.
func (p *prefixes) take(item, prompt string, _ owner) (warm, all int) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(item))
	whole := true
	for at := 0; at < len(prompt); at += block {
		_, _ = h.Write([]byte(prompt[at:min(at+block, len(prompt))]))
		key := h.Sum64()
		all++
		if e, found := p.byKey[key]; found {
			p.used.MoveToFront(e)
			if whole {
				warm++
			}
			continue
		}
		whole = false
		p.byKey[key] = p.used.PushFront(key)
	}
	for p.used.Len() > p.max {
		last := p.used.Back()
		delete(p.byKey, p.used.Remove(last).(uint64))
	}
	return warm, all
}
