package route

import (
	"testing"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
)

// keeperOf is a keeper that learns of its replicas by their controllers' word.
func keeperOf() *Keeper {
	k := &Keeper{clock: &handClock{now: time.Hour}, warmth: newMemory(), bulk: newBulk(nil), pressing: map[string]pressing{}, work: map[string]time.Duration{}}
	k.snap.Store(&Snapshot{Conf: conf.Empty()})
	return k
}

// What waits for a model that nobody holds yet tells how much work it will make.
func TestWorkIsCountedWhileARequestWaits(t *testing.T) {
	k := keeperOf()
	target := Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "m"}, Prompt: PromptOf("m", []Part{{ID: "p", Tokens: 3000}})}
	want := uint64((3000 * readPace).Milliseconds())
	k.CountWaiting(&target)
	if got := k.Work()["m"]; got != want {
		t.Errorf("while it waits: got %d ms, want %d", got, want)
	}
	k.CountWaiting(&target)
	replica := &Replica{Listed: inventory.Listed{ID: "r"}, Slots: 8, Told: true, Live: &Live{items: map[string]int{}}}
	k.Took(target, replica)
	if got := k.Work()["m"]; got != want {
		t.Errorf("once it is sent: got %d ms, want %d", got, want)
	}
}

func TestWorkOfARequestThatDoesNotWaitIsCountedWhenItIsSent(t *testing.T) {
	k := keeperOf()
	target := Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "m"}, Prompt: PromptOf("m", []Part{{ID: "p", Tokens: 3000}})}
	k.Took(target, &Replica{Listed: inventory.Listed{ID: "r"}, Slots: 8, Told: true, Live: &Live{items: map[string]int{}}})
	if got, want := k.Work()["m"], uint64((3000 * readPace).Milliseconds()); got != want {
		t.Errorf("got %d ms, want %d", got, want)
	}
}

// Where replicas are asked by each proxy, and for services, no work is counted.
func TestWorkIsOnlyCountedForModelsThatControllersTellOf(t *testing.T) {
	for _, c := range []struct {
		kind string
		ask  bool
	}{{"model", true}, {"service", false}} {
		k := keeperOf()
		k.d.Ask = c.ask
		target := Target{Route: conf.Route{Kind: c.kind}, Item: conf.Item{Model: "m"}, Prompt: PromptOf("m", []Part{{ID: "p", Tokens: 3000}})}
		k.CountWaiting(&target)
		if len(k.Work()) != 0 || target.Counted {
			t.Errorf("%+v: %v", c, k.Work())
		}
	}
}
