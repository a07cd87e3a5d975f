package route

import (
	"testing"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
)

// keeperOf is a keeper that learns of its replicas by their controllers' word.
func newControllerRouter() *Router {
	k := &Router{clock: &manualClock{now: time.Hour}, prefixes: newPrefixMemory(), bulk: newBulkDetector(nil), pressure: map[string]pressureCount{}, work: map[string]time.Duration{}}
	k.current.Store(&Snapshot{Conf: conf.Empty()})
	return k
}

// What waits for a model that nobody holds yet tells how much work it will make.
func TestWorkIsCountedOnceWhileRequestWaits(t *testing.T) {
	k := newControllerRouter()
	target := Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "m"}, Prompt: PromptFromParts("m", []Part{{ID: "p", Tokens: 3000}})}
	want := uint64((3000 * defaultPrefillPace).Milliseconds())
	k.CountWaitingWork(&target)
	if got := k.PrefillWorkMs()["m"]; got != want {
		t.Errorf("while it waits: got %d ms, want %d", got, want)
	}
	k.CountWaitingWork(&target)
	replica := &Replica{Listed: inventory.Listed{ID: "r"}, Slots: 8, Told: true, Live: &Live{itemInflight: map[string]int{}}}
	k.StartAttempt(target, replica)
	if got := k.PrefillWorkMs()["m"]; got != want {
		t.Errorf("once it is sent: got %d ms, want %d", got, want)
	}
}

func TestWorkIsCountedWhenRequestIsSentWithoutWaiting(t *testing.T) {
	k := newControllerRouter()
	target := Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "m"}, Prompt: PromptFromParts("m", []Part{{ID: "p", Tokens: 3000}})}
	k.StartAttempt(target, &Replica{Listed: inventory.Listed{ID: "r"}, Slots: 8, Told: true, Live: &Live{itemInflight: map[string]int{}}})
	if got, want := k.PrefillWorkMs()["m"], uint64((3000 * defaultPrefillPace).Milliseconds()); got != want {
		t.Errorf("got %d ms, want %d", got, want)
	}
}

// Where replicas are asked by each proxy, and for services, no work is counted.
func TestWorkIsCountedOnlyForModelsReportedByControllers(t *testing.T) {
	for _, c := range []struct {
		kind string
		ask  bool
	}{{"model", true}, {"service", false}} {
		k := newControllerRouter()
		k.deps.PollReplicas = c.ask
		target := Target{Route: conf.Route{Kind: c.kind}, Item: conf.Item{Model: "m"}, Prompt: PromptFromParts("m", []Part{{ID: "p", Tokens: 3000}})}
		k.CountWaitingWork(&target)
		if len(k.PrefillWorkMs()) != 0 || target.Counted {
			t.Errorf("%+v: %v", c, k.PrefillWorkMs())
		}
	}
}
