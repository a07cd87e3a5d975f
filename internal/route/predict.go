package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultPrefillPace is the assumed prefill time per prompt token until one has been observed.
	defaultPrefillPace = time.Millisecond / 30
	// maxLearnLoad is the highest number of requests on a replica at which a first chunk is used to learn the pace.
	maxLearnLoad = 2
	// minLearnTokens is the shortest prompt that is used to learn the pace.
	minLearnTokens = 300
	// prefillInterference is the cost of a prefill for each running request whose next chunk it delays, as a fraction of
	// the prefill time.
	prefillInterference = 0.3
	// waitPerRequest is what each running request adds to the predicted wait.
	waitPerRequest = 2 * time.Millisecond
)

// Predictor learns the prefill pace of the replicas: the time per prompt token.
type Predictor struct {
	mu            sync.Mutex
	pace          time.Duration // per token
	averageTokens float64       // moving average of the uncached tokens of a prompt
	known         bool
}

// Pace returns the prefill time per token and the average number of tokens of a prompt.
func (p *Predictor) Pace() (perToken time.Duration, meanTokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		return defaultPrefillPace, p.averageTokens
	}
	return p.pace, p.averageTokens
}

// Learn updates the predictor with the time to a first chunk, on a replica with load
// requests that had to read the given number of tokens for it.
func (p *Predictor) Learn(tokens, load int, first time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.averageTokens += (float64(tokens) - p.averageTokens) / 16
	if tokens < minLearnTokens || load > maxLearnLoad {
		return
	}
	observed := first / time.Duration(tokens)
	switch {
	case !p.known:
		p.pace, p.known = observed, true
	case observed < p.pace:
		// Interference only ever delays a first chunk, so fast observations are closer to the true pace.
		p.pace += (observed - p.pace) / 4
	default:
		p.pace += (observed - p.pace) / 64
	}
}

// maxBacklogFraction of the route's gap target is how long the pending prefill of a replica
// may take before this proxy sends it no further prompt.
const maxBacklogFraction = 0.45

// loadHintFresh is how long the number of waiting prompts in a load hint is taken as current.
const loadHintFresh = 150 * time.Millisecond

// prefillBacklogged reports whether one more prompt would make the running answers of a replica
// pause for too long. A replica interleaves prefill with the token generation of other
// answers, and prompts that are read together stall those.
func (rt *Router) prefillBacklogged(r *Replica, uncached int, gap time.Duration, now time.Duration) bool {
	ahead := float64(r.Live.pendingPrefill.tokens.Load())
	if hint := r.Live.lastHint.Load(); hint != nil && now-hint.at < loadHintFresh {
		_, mean := rt.predictor.Pace()
		ahead += float64(hint.waiting) * mean
	}
	if gap <= 0 || ahead == 0 {
		return false
	}
	pace, _ := rt.predictor.Pace()
	return (ahead+float64(uncached))*float64(pace) > maxBacklogFraction*float64(gap)
}

// pendingPrefill counts the uncached prompt tokens sent to a replica in requests whose answers have not begun.
type pendingPrefill struct{ tokens atomic.Int64 }

// predictWait predicts the time to the first chunk on a replica, and adds the delay
// that the prefill causes to the requests running there.
func (rt *Router) predictWait(r *Replica, uncached int, now time.Duration) time.Duration {
	pace, mean := rt.predictor.Pace()
	ahead := float64(r.Live.pendingPrefill.tokens.Load()) + float64(r.Live.hintedWaiting(now))*mean
	own := float64(uncached) * (1 + prefillInterference*float64(r.Load()))
	return time.Duration(math.Round((ahead+own)*float64(pace))) + time.Duration(r.Load())*waitPerRequest
}

// hintedWaiting returns the number of requests that wait for prefill by the last load hint; 0 if there is no recent one.
func (l *Live) hintedWaiting(now time.Duration) int {
	hint := l.lastHint.Load()
	if hint == nil || now-hint.at > loadHintTTL {
		return 0
	}
	return hint.waiting
}

// Size returns the number of tokens of a prompt made of named parts, or the number of bytes of one made of a body.
func (p Prompt) Size() int { return p.size }
