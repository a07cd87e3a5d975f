package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/state"
)

// change is one submission of a storm. Each sets two weights to the same number, or takes both away,
// so that one kept by half can be told.
func (f *Fleet) change(i int) (method, kind string, body []byte) {
	w := fmt.Sprintf("%d.%09d", 1+f.Rnd.IntN(8), f.Rnd.IntN(1e9))
	switch i % 4 {
	case 0:
		return http.MethodPatch, "application/json", fmt.Appendf(nil, `{"replace":{"weights":{"zone":{"weight":%s},"load":{"weight":%s}}}}`, w, w)
	case 1:
		return http.MethodPatch, "application/yaml", fmt.Appendf(nil, "apiVersion: drumstall.example/v1\nkind: JudgeWeight\nmetadata: {name: zone}\nspec: {weight: %s}\n---\napiVersion: drumstall.example/v1\nkind: JudgeWeight\nmetadata: {name: load}\nspec: {weight: %s}\n", w, w)
	case 2:
		// Why: the spaces make every removal's bytes its own.
		return http.MethodPatch, "application/json", fmt.Appendf(nil, `{"remove":{"weights":["zone","load"]}%*s}`, 1+f.Rnd.IntN(5000), "")
	default:
		var whole map[string]any
		_ = json.Unmarshal(f.D.Config, &whole)
		whole["weights"] = json.RawMessage(fmt.Sprintf(`{"zone":{"weight":%s},"load":{"weight":%s}}`, w, w))
		body, _ = json.Marshal(whole)
		return http.MethodPut, "application/json", body
	}
}

// halves says whether the weights that are always changed together differ.
func (f *Fleet) halves(at int) string {
	var got struct {
		Models  map[string]any
		Weights map[string]struct{ Weight float64 }
	}
	f.Until(15*time.Second, "the effective configuration", func() bool {
		return json.Unmarshal([]byte(f.Get(at, "/v1/config?what=effective")), &got) == nil && len(got.Models) > 0
	})
	if z, l := got.Weights["zone"], got.Weights["load"]; z != l {
		return fmt.Sprintf("zone is %v and load is %v", z, l)
	}
	return ""
}

// holder is the core that holds the configuration, or else the first alive.
func (f *Fleet) holder(slot int) *Node {
	for _, n := range f.Cores {
		if n.Core != nil {
			if _, held := n.Core.Held()[slot]; held {
				return n
			}
		}
	}
	return f.Cores[0]
}

// The day closes with a fault in the very moment of an acknowledgement, amid a
// storm of whole and partial changes, removals and Kubernetes-style objects by two operators.
func TestClosingFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		// all lose power; the core that answered, or the one that held the key, loses its disk.
		power, answering, holding bool
	}{
		{"power of everything", true, false, false},
		{"the answering core's disk", false, true, false},
		{"the holding core's disk", false, false, true},
		{"power, and the answering core's disk", true, true, false},
		{"power, and the holding core's disk", true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			Seeds(t, 4, either, func(f *Fleet) {
				time.Sleep(2 * time.Second)
				// Every third or so of the storm's answers is followed by the fault.
				strike := int64(3 + f.Rnd.IntN(12))
				var acks atomic.Int64
				at := make(chan int, 1)
				for i := range 24 {
					f.Group.Go(func(context.Context) {
						time.Sleep(time.Duration(f.Rnd.IntN(1500)) * time.Millisecond)
						to := f.Rnd.IntN(len(f.Cores))
						method, kind, body := f.change(i)
						if _, ok := f.submit(method, to, kind, body, ""); ok && acks.Add(1) == strike {
							at <- to
						}
					})
				}
				to := <-at
				lost := f.Cores[to]
				if c.holding {
					lost = f.holder(state.SlotOf(conf.Key))
				}
				// Why: in the moment of the answer, not a step of the network later.
				for _, n := range f.Cores {
					if c.power || n == lost {
						f.KillCore(n, true)
					}
				}
				if c.answering || c.holding {
					f.LoseDisk(lost)
				}
				time.Sleep(3 * time.Second)
				for _, n := range f.Cores {
					if n.Core == nil {
						f.StartCore(n)
					}
				}
				time.Sleep(12 * time.Second)
				for i := range f.Cores {
					f.Until(15*time.Second, "read-back", func() bool { _, ok := f.ReadBack(i); return ok })
					if bad := f.halves(i); bad != "" {
						f.T.Errorf("a change was kept by half: %s", bad)
					}
				}
				f.T.Logf("struck after %d acknowledgements, of %d in all", strike, acks.Load())
			})
		})
	}
}

// An operator's answer is lost while the change is under way: afterwards it is
// there wholly or not at all, and stays so.
func TestALostAnswerIsWholeOrNothing(t *testing.T) {
	kept, lost := 0, 0
	Seeds(t, 8, either, func(f *Fleet) {
		time.Sleep(2 * time.Second)
		method, kind, body := f.change(0)
		if _, ok := f.submit(method, 0, kind, body, ""); !ok {
			f.T.Fatal("no first change")
		}
		before, _ := f.ReadBack(0)
		to := f.Rnd.IntN(len(f.Cores))
		f.Group.Go(func(context.Context) {
			method, kind, body := f.change(f.Rnd.IntN(4))
			f.submit(method, to, kind, body, "")
		})
		// The core that was asked, or the one that holds the key, dies at some step of it.
		time.Sleep(time.Duration(f.Rnd.IntN(40_000)) * time.Microsecond)
		n := f.Cores[to]
		if f.Rnd.IntN(2) == 0 {
			n = f.holder(state.SlotOf(conf.Key))
		}
		f.KillCore(n, true)
		synctest.Wait()
		time.Sleep(8 * time.Second)
		f.StartCore(n)
		time.Sleep(5 * time.Second)
		var first []byte
		for round := range 2 {
			for i := range f.Cores {
				var now []byte
				f.Until(15*time.Second, "read-back", func() bool { b, ok := f.ReadBack(i); now = b; return ok })
				if first == nil {
					first = now
				}
				if string(now) != string(first) {
					f.T.Errorf("round %d: %s reads back other bytes than the first", round, f.Cores[i].Name)
				}
				if bad := f.halves(i); bad != "" {
					f.T.Errorf("kept by half: %s", bad)
				}
			}
		}
		if string(first) == string(before) {
			lost++
		} else {
			kept++
		}
	})
	t.Cleanup(func() { t.Logf("%d kept, %d not", kept, lost) })
}
