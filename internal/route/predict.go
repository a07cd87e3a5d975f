package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readPace is how long one token of a prompt takes to be read, until it has been seen.
	readPace = time.Millisecond / 30
	// quietLoad is up to how many requests on a replica a first event tells how fast prompts are read.
	quietLoad = 2
	// longPrompt is from how many tokens on it does.
	longPrompt = 300
	// heldUp is how much a prompt that is read counts for each request that waits for its next event meanwhile.
	heldUp = 0.3
	// perRequest is what each running request adds to the wait.
	perRequest = 2 * time.Millisecond
)

// Predictor learns how fast the replicas read prompts.
type Predictor struct {
	mu    sync.Mutex
	pace  time.Duration // per token
	mean  float64       // tokens of a prompt, on average
	known bool
}

// Pace is how long one token of a prompt takes to be read.
func (p *Predictor) Pace() (perToken time.Duration, meanTokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		return readPace, p.mean
	}
	return p.pace, p.mean
}

// Learn takes the time to a first event, and the tokens that were read for it,
// on a replica that had load requests.
func (p *Predictor) Learn(tokens, load int, first time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mean += (float64(tokens) - p.mean) / 16
	if tokens < longPrompt || load > quietLoad {
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
const backlogPart = 0.45

// wordFresh is how long what an answer said of prompts that wait is taken as the present.
const wordFresh = 150 * time.Millisecond

// swamped says that one more prompt would make the running answers of a replica
// pause for too long. Why: a replica reads prompts between the tokens of other
// answers, and what is read together stops those.
func (k *Keeper) swamped(r *Replica, uncached int, gap time.Duration, now time.Duration) bool {
	ahead := float64(r.Live.unread.tokens.Load())
	if w := r.Live.load.Load(); w != nil && now-w.at < wordFresh {
		_, mean := k.predictor.Pace()
		ahead += float64(w.waiting) * mean
	}
	if gap <= 0 || ahead == 0 {
		return false
	}
	pace, _ := k.predictor.Pace()
	return (ahead+float64(uncached))*float64(pace) > backlogPart*float64(gap)
}

// unread counts the prompt tokens that a replica has been sent and has not answered.
type unread struct{ tokens atomic.Int64 }

// wait predicts how long the first event of a prompt takes on a replica, and
// adds what its reading holds up there.
func (k *Keeper) wait(r *Replica, uncached int, now time.Duration) time.Duration {
	pace, mean := k.predictor.Pace()
	ahead := float64(r.Live.unread.tokens.Load()) + float64(r.Live.othersWaiting(now))*mean
	own := float64(uncached) * (1 + heldUp*float64(r.Load()))
	return time.Duration(math.Round((ahead+own)*float64(pace))) + time.Duration(r.Load())*perRequest
}

// othersWaiting is how many requests of others wait to be read, as an answer has told lately.
func (l *Live) othersWaiting(now time.Duration) int {
	w := l.load.Load()
	if w == nil || now-w.at > wordLasts {
		return 0
	}
	return w.waiting
}

// Size is the number of tokens of a prompt whose parts were named.
func (p Prompt) Size() int { return p.size }
