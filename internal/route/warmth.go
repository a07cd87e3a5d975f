package route

import "hash/fnv"

const (
	// remembered is how many prefixes one generation of the memory holds.
	generationSize = 50_000
	// step is the shortest part of a prompt that is told apart, and where more than that is shared, parts
	// grow by half.
	minPartBytes = 256
	// maxParts bounds what one request adds to the memory.
	maxParts = 24
	// holders is how many replicas are remembered for one prefix.
	maxWarmReplicas = 3
)

// Prompt is what decides where a request's cache is warm: digests of its first
// parts, the shortest first, and the size of each.
type Prompt struct {
	digests      []uint64
	sizes        []int
	size         int
	sizesInBytes bool // sizes are of bytes, as its parts have no names
}

// ReadPrompt digests a body for an item.
func PromptFromBody(item string, body []byte) Prompt {
	h := fnv.New64a()
	_, _ = h.Write([]byte(item))
	p := Prompt{size: len(body), sizesInBytes: true}
	for at, end := 0, minPartBytes; at < len(body) && len(p.sizes) < maxParts; {
		// Why: the last part ends where the body does; it is the request's own, and tells one that is sent again.
		end = min(end, len(body))
		_, _ = h.Write(body[at:end])
		p.digests, p.sizes = append(p.digests, h.Sum64()), append(p.sizes, end)
		at, end = end, end+max(minPartBytes, end/2/minPartBytes*minPartBytes)
	}
	return p
}

// Part is one part of a prompt that its caller has named.
type Part struct {
	ID     string
	Tokens int
}

// PromptOf digests the named parts of a prompt for an item; a part is only
// warm where every part before it is.
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

// bytesPerToken is what a token of a prompt is taken for whose tokens nobody has counted.
const bytesPerToken = 4

// Tokens is how many tokens a prompt has.
func (p Prompt) Tokens() int {
	if p.sizesInBytes {
		return (p.size + bytesPerToken - 1) / bytesPerToken
	}
	return p.size
}

// uncached is how many tokens of a prompt are to be read where part of it is warm.
func (p Prompt) uncachedTokens(warm float64) int { return int(float64(p.size) * (1 - warm)) }

// home is the digest that decides where a prompt goes that is warm nowhere. Why:
// the end of a prompt is the caller's own and its beginning is everybody's; those that share the greater
// part should meet, and those that share only the beginning should not.
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

// spots are the replicas where a prefix is warm, the latest first.
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
