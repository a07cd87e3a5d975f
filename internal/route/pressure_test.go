package route

import (
	"testing"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
)

// newControllerRouter returns a router that learns the state of its replicas from their controllers.
func newControllerRouter() *Router {
	router := &Router{clock: &manualClock{now: time.Hour}, prefixes: newPrefixMemory(), bulk: newBulkDetector(nil), pressure: map[string]pressureCount{}, work: map[string]time.Duration{}}
	router.current.Store(&Snapshot{Conf: conf.Empty()})
	return router
}

// The requests that wait for a model that no replica holds show how much work it will cause.
func TestWorkIsCountedOnceWhileRequestWaits(t *testing.T) {
	router := newControllerRouter()
	target := Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "m"}, Prompt: PromptFromParts("m", []Part{{ID: "p", Tokens: 3000}})}
	want := uint64((3000 * defaultPrefillPace).Milliseconds())
	router.CountWaitingWork(&target)
	if got := router.PrefillWorkMs()["m"]; got != want {
		t.Errorf("work while the request waits: got %d ms, want %d", got, want)
	}
	router.CountWaitingWork(&target)
	replica := &Replica{Listed: inventory.Listed{ID: "r"}, Slots: 8, ViaController: true, Live: &Live{itemInflight: map[string]int{}}}
	router.StartAttempt(target, replica)
	if got := router.PrefillWorkMs()["m"]; got != want {
		t.Errorf("work once the request is sent: got %d ms, want %d", got, want)
	}
}

func TestWorkIsCountedWhenRequestIsSentWithoutWaiting(t *testing.T) {
	router := newControllerRouter()
	target := Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "m"}, Prompt: PromptFromParts("m", []Part{{ID: "p", Tokens: 3000}})}
	router.StartAttempt(target, &Replica{Listed: inventory.Listed{ID: "r"}, Slots: 8, ViaController: true, Live: &Live{itemInflight: map[string]int{}}})
	if got, want := router.PrefillWorkMs()["m"], uint64((3000 * defaultPrefillPace).Milliseconds()); got != want {
		t.Errorf("got %d ms, want %d", got, want)
	}
}

// No work is counted for services, nor where each proxy polls the replicas.
func TestWorkIsCountedOnlyForModelsReportedByControllers(t *testing.T) {
	for _, c := range []struct {
		kind string
		ask  bool
	}{{"model", true}, {"service", false}} {
		router := newControllerRouter()
		router.deps.PollReplicas = c.ask
		target := Target{Route: conf.Route{Kind: c.kind}, Item: conf.Item{Model: "m"}, Prompt: PromptFromParts("m", []Part{{ID: "p", Tokens: 3000}})}
		router.CountWaitingWork(&target)
		if len(router.PrefillWorkMs()) != 0 || target.WorkCounted {
			t.Errorf("%+v: %v", c, router.PrefillWorkMs())
		}
	}
}
