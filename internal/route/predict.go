package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readPace is how long one token of a prompt takes to be read, until it has been seen.
	defaultPrefillPace = time.Millisecond / 30
	// quietLoad is up to how many requests on a replica a first event tells how fast prompts are read.
	maxLearnLoad = 2
	// longPrompt is from how many tokens on it does.
	minLearnTokens = 300
	// heldUp is how much a prompt that is read counts for each request that waits for its next event meanwhile.
	prefillInterference = 0.3
	// perRequest is what each running request adds to the wait.
	waitPerRequest = 2 * time.Millisecond
)

// Predictor learns how fast the replicas read prompts.
type Predictor struct {
	mu            sync.Mutex
	pace          time.Duration // per token
	averageTokens float64       // tokens of a prompt, on average
	known         bool
}

// Pace is how long one token of a prompt takes to be read.
func (p *Predictor) Pace() (perToken time.Duration, meanTokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		return defaultPrefillPace, p.averageTokens
	}
	return p.pace, p.averageTokens
}

// Learn takes the time to a first event, and the tokens that were read for it,
// on a replica that had load requests.
func (p *Predictor) Learn(tokens, load int, first time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.averageTokens += (float64(tokens) - p.averageTokens) / 16
	if tokens < minLearnTokens || load > maxLearnLoad {
		return
	}
	seen := first / time.Duration(tokens)
	switch {
	case !p.known:
		p.pace, p.known = seen, true
	case seen < p.pace:
		// Why: what holds a first event up only ever makes it later, so the quick ones tell the pace.
		p.pace += (seen - p.pace) / 4
	default:
		p.pace += (seen - p.pace) / 64
	}
}

// backlogPart of the pause that should not occur is how long the prompts that a
// replica still has to read may take before it gets another from here.
const maxBacklogFraction = 0.45

// wordFresh is how long what an answer said of prompts that wait is taken as the present.
const loadHintFresh = 150 * time.Millisecond

// swamped says that one more prompt would make the running answers of a replica
// pause for too long. Why: a replica reads prompts between the tokens of other
// answers, and what is read together stops those.
func (k *Router) prefillBacklogged(r *Replica, uncached int, gap time.Duration, now time.Duration) bool {
	ahead := float64(r.Live.pendingPrefill.tokens.Load())
	if w := r.Live.lastHint.Load(); w != nil && now-w.at < loadHintFresh {
		_, mean := k.predictor.Pace()
		ahead += float64(w.waiting) * mean
	}
	if gap <= 0 || ahead == 0 {
		return false
	}
	pace, _ := k.predictor.Pace()
	return (ahead+float64(uncached))*float64(pace) > maxBacklogFraction*float64(gap)
}

// unread counts the prompt tokens that a replica has been sent and has not answered.
type pendingPrefill struct{ tokens atomic.Int64 }

// wait predicts how long the first event of a prompt takes on a replica, and
// adds what its reading holds up there.
func (k *Router) predictWait(r *Replica, uncached int, now time.Duration) time.Duration {
	pace, mean := k.predictor.Pace()
	ahead := float64(r.Live.pendingPrefill.tokens.Load()) + float64(r.Live.hintedWaiting(now))*mean
	own := float64(uncached) * (1 + prefillInterference*float64(r.Load()))
	return time.Duration(math.Round((ahead+own)*float64(pace))) + time.Duration(r.Load())*waitPerRequest
}

// othersWaiting is how many requests of others wait to be read, as an answer has told lately.
func (l *Live) hintedWaiting(now time.Duration) int {
	w := l.lastHint.Load()
	if w == nil || now-w.at > loadHintTTL {
		return 0
	}
	return w.waiting
}

// Size is the number of tokens of a prompt whose parts were named.
func (p Prompt) Size() int { return p.size }
