package plan

import (
	"slices"
	"sync/atomic"

	"drumstall.example/internal/place/order"
)

// breadth is how many candidates are asked for one decision, between the fewest and the most: fewer after controllers have
// not answered in time, and more again, one by one, while they do. Why: each question weighs all that might go at a
// replica, so cores that come late to their work are later still if they are asked about as many as before.
// Decisions that are made side by side share it.
type candidateLimit struct{ reduction atomic.Int32 }

// now is how many candidates are asked.
func (b *candidateLimit) current() int {
	return max(maxCandidates-int(b.reduction.Load()), minCandidates)
}

// heard notes the answers of one decision.
func (b *candidateLimit) update(answers []order.ConsiderResponse) {
	if len(answers) == 0 {
		return
	}
	now := b.current()
	if slices.ContainsFunc(answers, func(a order.ConsiderResponse) bool { return a.Unanswered }) {
		now = max(now/2, minCandidates)
	} else {
		now = min(now+1, maxCandidates)
	}
	b.reduction.Store(int32(maxCandidates - now))
}
