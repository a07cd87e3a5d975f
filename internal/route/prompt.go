package route

import "hash/fnv"

const (
	// generationSize is the number of prefixes in one generation of the prefix memory.
	generationSize = 50_000
	// minPartBytes is the size of the shortest part of a body that is digested separately. A later part is half as
	// long as everything before it, rounded down to a multiple of minPartBytes.
	minPartBytes = 256
	// maxParts bounds the digests that one request adds to the prefix memory.
	maxParts = 24
	// maxWarmReplicas is the number of replicas recorded for one prefix.
	maxWarmReplicas = 3
)

// Prompt holds the digests of the prefixes of a prompt, the shortest first, and the size of each
// prefix. They decide where the prompt is warm.
type Prompt struct {
	digests      []uint64
	sizes        []int
	size         int
	sizesInBytes bool // sizes are in bytes, because the prompt has no named parts
}

// PromptFromBody digests a request body for an item.
func PromptFromBody(item string, body []byte) Prompt {
	h := fnv.New64a()
	_, _ = h.Write([]byte(item))
	p := Prompt{size: len(body), sizesInBytes: true}
	for at, end := 0, minPartBytes; at < len(body) && len(p.sizes) < maxParts; {
		// The last part ends with the body. It is specific to the request, and identifies one that is sent again.
		end = min(end, len(body))
		_, _ = h.Write(body[at:end])
		p.digests, p.sizes = append(p.digests, h.Sum64()), append(p.sizes, end)
		at, end = end, end+max(minPartBytes, end/2/minPartBytes*minPartBytes)
	}
	return p
}

// Part is a part of a prompt that the caller has named, with its size.
type Part struct {
	ID     string
	Tokens int
}

// PromptFromParts digests the named parts of a prompt for an item. A part is warm only
// where every part before it is.
func PromptFromParts(item string, parts []Part) Prompt {
	h := fnv.New64a()
	_, _ = h.Write([]byte(item))
	var p Prompt
	for _, part := range parts[:min(len(parts), maxParts)] {
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(part.ID))
		p.size += part.Tokens
		p.digests, p.sizes = append(p.digests, h.Sum64()), append(p.sizes, p.size)
	}
	return p
}

// bytesPerToken is the assumed size of a token in a prompt whose tokens were not counted.
const bytesPerToken = 4

// Tokens returns the number of tokens of a prompt, estimated if only its bytes are known.
func (p Prompt) Tokens() int {
	if p.sizesInBytes {
		return (p.size + bytesPerToken - 1) / bytesPerToken
	}
	return p.size
}

// uncachedTokens returns the size of the part to be read where the given fraction of the prompt is warm.
func (p Prompt) uncachedTokens(warm float64) int { return int(float64(p.size) * (1 - warm)) }

// homeDigest is the digest that selects the replica for a prompt that is warm nowhere: that of the longest
// prefix of at most three quarters of the prompt, or of the first part if that is longer. The end of a prompt is
// specific to its caller and the beginning is common to all; prompts that share most of their text should go to the same replica, and prompts that
// share only the beginning should not.
func (p Prompt) homeDigest() uint64 {
	if len(p.sizes) == 0 {
		return 0
	}
	i := 0
	for i+1 < len(p.sizes) && 4*p.sizes[i+1] <= 3*p.size {
		i++
	}
	return p.digests[i]
}

// warmReplicas are the replicas where a prefix is warm, the most recent first.
type warmReplicas [maxWarmReplicas]string

func (s warmReplicas) with(id string) warmReplicas {
	out := warmReplicas{id}
	n := 1
	for _, old := range s {
		if old != id && old != "" && n < maxWarmReplicas {
			out[n] = old
			n++
		}
	}
	return out
}
