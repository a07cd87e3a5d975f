package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/stand"
)

// papers many callers ask about; together they are more than one replica keeps
// warm, and less than all of them do.
const papers = 40

// warmth is the share of prompts' blocks that were warm between two instants,
// and how long first pieces took.
func (f *Fleet) warmth(class string, from, to time.Duration) (share float64, p50, p99 int64, n int) {
	warm, all := 0, 0
	var first []int64
	mine := map[string]bool{}
	for _, e := range f.Rec.Events() {
		switch {
		case e.Kind == check.Sent && e.Class == class && e.At >= from && e.At < to:
			mine[e.Ticket] = true
		case e.Kind == check.RunStart && mine[e.Ticket]:
			warm, all = warm+e.Warm, all+e.Used
		case e.Kind == check.Answer && mine[e.Ticket] && e.Outcome == check.Whole:
			first = append(first, e.FirstMs)
		}
	}
	if all == 0 || len(first) == 0 {
		return 0, 0, 0, 0
	}
	slices.Sort(first)
	return float64(warm) / float64(all), first[len(first)/2], first[len(first)*99/100], len(first)
}

// One model on four replicas, prompts that share parts of several lengths, caches that
// evict: quiet, in a crowd for one paper, and after a replica is lost. Sending to warm replicas must pay against
// even spreading and against the least loaded in the same run.
func TestWarmPrefixesAreKeptTogether(t *testing.T) {
	if testing.Short() {
		t.Skip("a crowd of callers; the race detector sees the same code in shorter runs")
	}
	t.Parallel()
	type figures struct {
		share    float64
		p50, p99 int64
	}
	seeds := uint64(2)
	if testing.Short() {
		seeds = 1
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		got := map[string][3]figures{}
		policies := []struct{ name, weights string }{
			{"warm", `{}`},
			{"even", `{"warmth":{"weight":0},"load":{"weight":0},"zone":{"weight":0},"serve":{"weight":0}}`},
			{"least loaded", `{"warmth":{"weight":0},"zone":{"weight":0},"serve":{"weight":0}}`},
		}
		for _, p := range policies {
			synctest.Test(t, func(t *testing.T) {
				d := stand.Cascadia()
				d.Replica.Prefixes = 500
				f := New(t, seed, d.Sized(3, 3, 4, 2, 4, 1))
				defer f.Stop()
				f.Until(5*time.Second, "the policy", func() bool {
					_, ok := f.Patch(0, fmt.Appendf(nil, `{"replace":{"weights":%s,"claims":{"always":{"group":"fleet","models":["model-01"],"minCopies":4}}},"remove":{"claims":["ready"]}}`, p.weights), "")
					return ok
				})
				f.untilCopies("model-01", 4)
				spots, fl := f.Spots(), f.D.Flows[1]
				ask := func(paper int) {
					prompt, to := stand.Prompt(fl.Route, paper, f.Rnd.IntN(1<<30)), spots[f.Rnd.IntN(len(spots))]
					f.Group.Go(func(ctx context.Context) {
						f.Clients.Ask(ctx, to, stand.Request{Class: "reader", Route: fl.Route, Item: conf.Item{Model: "model-01"}, Prompt: prompt})
					})
				}
				read := func(d time.Duration, crowd bool) (from, to time.Duration) {
					from = time.Since(f.zero)
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(80 * time.Millisecond) {
						ask(f.Rnd.IntN(papers))
						if crowd {
							ask(7)
							ask(7)
							ask(7)
						}
					}
					to = time.Since(f.zero)
					time.Sleep(2 * time.Second)
					return from, to
				}
				read(20*time.Second, false) // until caches are full
				var out [3]figures
				for i, phase := range []struct {
					name  string
					crowd bool
				}{{"quiet", false}, {"crowd for one", true}, {"a holder lost", false}} {
					if i == 2 {
						f.CrashReplica("m-01")
						time.Sleep(time.Second)
					}
					from, to := read(15*time.Second, phase.crowd)
					share, p50, p99, n := f.warmth("reader", from, to)
					out[i] = figures{share, p50, p99}
					t.Logf("| %d | %s | %s | %.0f %% | %d / %d | %d |", seed, phase.name, p.name, 100*share, p50, p99, n)
				}
				got[p.name] = out
				f.StartReplica("m-01")
				time.Sleep(3 * time.Second)
				f.End()
			})
		}
		for i := range 3 {
			for _, other := range []string{"even", "least loaded"} {
				if w, o := got["warm"][i], got[other][i]; w.share <= o.share || w.p50 > o.p50 {
					t.Errorf("seed %d, phase %d: %.2f warm and %d ms at p50, %s: %.2f and %d ms", seed, i, w.share, w.p50, other, o.share, o.p50)
				}
			}
		}
	}
}
