package plan

import (
	"slices"
	"sync/atomic"

	"drumstall.example/internal/place/order"
)

// candidateLimit adapts the number of candidates asked for one decision, between minCandidates and maxCandidates. It is
// halved when controllers did not answer in time and grows by one for each decision whose answers all arrived. For each
// question a controller scores all possible victims of a replica, so asking overloaded cores about as many
// candidates would delay them further. Concurrent decisions share one limit.
type candidateLimit struct{ reduction atomic.Int32 }

// current returns the number of candidates to ask.
func (l *candidateLimit) current() int {
	return max(maxCandidates-int(l.reduction.Load()), minCandidates)
}

// update adapts the limit to the answers of one decision.
func (l *candidateLimit) update(answers []order.ConsiderResponse) {
	if len(answers) == 0 {
		return
	}
	limit := l.current()
	if slices.ContainsFunc(answers, func(a order.ConsiderResponse) bool { return a.Unanswered }) {
		limit = max(limit/2, minCandidates)
	} else {
		limit = min(limit+1, maxCandidates)
	}
	l.reduction.Store(int32(maxCandidates - limit))
}
