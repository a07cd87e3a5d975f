package route

import (
	"time"

	"drumstall.example/internal/conf"
)

// pressedShare of its places, and at most pressedMost requests, is how many a
// replica may have before one more answer comes noticeably later there.
const (
	pressedShare = 2
	pressedMost  = 16
	// pressedLasts is how long an item counts as pressed after a request of it went to such a replica.
	pressedLasts = time.Second
)

// pressing counts the requests of an item that had to go where many are.
type pressing struct {
	since time.Duration
	count int
}

func (r *Replica) pressed() bool {
	return r.Load() >= max(2, min(pressedMost, r.Slots/pressedShare))
}

// Press notes that an answer of an item came later, or with longer pauses, than it should.
func (k *Keeper) Press(item conf.Item) { k.press(item.Model, k.clock.Since()) }

// press notes that a request had to go where many are.
func (k *Keeper) press(item string, now time.Duration) {
	k.pressMu.Lock()
	defer k.pressMu.Unlock()
	p := k.pressing[item]
	if now-p.since > pressedLasts {
		p = pressing{since: now}
	}
	p.count++
	k.pressing[item] = p
}

// CountWaiting counts the work of a request that has to wait, and says in the
// target that it did. Why: what waits for a model's first copy tells how many copies its
// work needs, and would otherwise only be counted once that copy is there and has too much to do.
func (k *Keeper) CountWaiting(t *Target) {
	if k.d.Ask || t.Route.Kind != "model" || t.Counted {
		return
	}
	pace, _ := k.predictor.Pace()
	k.addWork(t.Item.Model, time.Duration(t.Prompt.Size())*pace)
	t.Counted = true
}

func (k *Keeper) addWork(model string, d time.Duration) {
	k.pressMu.Lock()
	defer k.pressMu.Unlock()
	k.work[model] += d
}

// Work is the time that replicas have taken to read each model's prompts, as predicted, so far, in ms.
func (k *Keeper) Work() map[string]uint64 {
	k.pressMu.Lock()
	defer k.pressMu.Unlock()
	out := make(map[string]uint64, len(k.work))
	for model, d := range k.work {
		out[model] = uint64(d.Milliseconds())
	}
	return out
}

// Pressed is the items whose holders all have many requests, with how many came lately.
func (k *Keeper) Pressed() map[string]int {
	k.pressMu.Lock()
	defer k.pressMu.Unlock()
	now := k.clock.Since()
	out := map[string]int{}
	for item, p := range k.pressing {
		if now-p.since > 2*pressedLasts {
			delete(k.pressing, item)
			continue
		}
		out[item] = p.count
	}
	return out
}
