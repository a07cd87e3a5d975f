package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/stand"
)

// The classes of two tenants: ours with officers, counters and night jobs, and
// another that calls its heavy run urgent.
const (
	tenantClasses = `"roadside":{"urgent":true,"holding":200%s},"lookup":{"urgent":true%s},"counter":{"weight":4%s},
		"night":{"weight":1,"rank":5,"holding":64%s},"bulk":{"urgent":true,"weight":1000,"holding":400%s}`
	tenantRoutes = `"plates":{"kind":"service","selector":"service=plates","class":"roadside","deadlineMs":2000,"repeatable":true},
		"lookups":{"kind":"model","class":"lookup","deadlineMs":4000},"captions":{"kind":"model","class":"counter","deadlineMs":15000},
		"renewals":{"kind":"model","class":"night","deadlineMs":30000},"mass":{"kind":"model","class":"bulk","deadlineMs":6000}`
)

// tenantDay is one way to run the same day.
type tenantDay struct {
	name    string
	tenants bool // there are tenants with shares; else all is as without them
	byShare bool // replicas divide their caches
}

// tenantConfig makes a partial configuration of it.
func (d tenantDay) config(share int, cacheTokens int) []byte {
	ours, other, tenants := "", "", ""
	if d.tenants {
		ours, other = `,"tenant":"office"`, `,"tenant":"archive"`
		tenants = fmt.Sprintf(`"tenants":{"office":{"share":%d},"archive":{"share":1}},`, share)
	}
	return fmt.Appendf(nil, `{"replace":{%s"classes":{`+tenantClasses+`},"routes":{`+tenantRoutes+`},
		"services":{"gpu":{"selector":"pool=main","cacheTokens":%d,"cacheByShare":%v}},
		"models":{"model-01":{"sizeMib":1000,"service":"gpu"}},
		"claims":{"always":{"group":"fleet","models":["model-01"],"minCopies":4},"ready":{"group":"fleet"}}}}`,
		tenants, ours, ours, ours, ours, other, cacheTokens, d.byShare)
}

const (
	// keptBlocks of 128 bytes are what a replica keeps of prompts, and keptTokens how many tokens that is.
	keptBlocks = 800
	keptTokens = keptBlocks * 128 / 4
)

// tenantFleet is a fleet with one model on four replicas that keep few prompts.
func tenantFleet(t *testing.T, seed uint64, day tenantDay) *Fleet {
	d := stand.Cascadia()
	d.Replica.Prefixes, d.Replica.ByShare = keptBlocks, day.byShare
	f := New(t, seed, d.Sized(3, 3, 4, 2, 4, 1))
	f.Until(5*time.Second, "tenants", func() bool {
		_, ok := f.Patch(0, day.config(1, keptTokens), "")
		return ok
	})
	f.untilCopies("model-01", 4)
	return f
}

// asks is a steady stream of requests.
type asks struct {
	class, route string
	perSecond    float64
	papers       int // distinct long prefixes; 0: each prompt is long and its own
}

var (
	officeDay = []asks{{"roadside", "plates", 10, 1}, {"lookup", "lookups", 6, 12}, {"counter", "captions", 6, 12}, {"night", "renewals", 1, 20}}
	massRun   = asks{"bulk", "mass", 100, 0}
	nightRun  = asks{"night", "renewals", 20, 0}
)

// play sends the streams for a while and says between which instants that was.
func (f *Fleet) play(d time.Duration, streams ...asks) (from, to time.Duration) {
	return f.playAt(f.Spots(), d, streams...)
}

// playAt is play at some of the edges only.
func (f *Fleet) playAt(spots []stand.Edge, d time.Duration, streams ...asks) (from, to time.Duration) {
	from = time.Since(f.zero)
	due := make([]float64, len(streams))
	const step = 10 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for i, s := range streams {
			for due[i] += s.perSecond * step.Seconds(); due[i] >= 1; due[i]-- {
				f.ask(s, spots[f.Rnd.IntN(len(spots))])
			}
		}
	}
	return from, time.Since(f.zero)
}

func (f *Fleet) ask(s asks, to stand.Edge) {
	q := stand.Request{Class: s.class, Route: s.route, Prompt: "a plate", Pieces: 1, Repeatable: s.route == "plates"}
	if s.route != "plates" {
		q.Item, q.Pieces = conf.Item{Model: "model-01"}, 4
		paper := f.Rnd.IntN(1 << 30)
		if s.papers > 0 {
			paper = 2 + f.Rnd.IntN(s.papers)
		}
		q.Prompt = stand.Prompt(s.route, paper, f.Rnd.IntN(1<<30))
	}
	f.Group.Go(func(ctx context.Context) { f.Clients.Ask(ctx, to, q) })
}

// served is what one class got between two instants.
type served struct {
	warm     float64 // share of prompts' blocks
	p50, p95 int64   // ms to the first piece
	whole, n int
}

func (f *Fleet) served(class string, from, to time.Duration) served {
	warm, all := 0, 0
	var first []int64
	mine := map[string]bool{}
	var out served
	for _, e := range f.Rec.Events() {
		switch {
		case e.Kind == check.Sent && e.Class == class && e.At >= from && e.At < to:
			mine[e.Ticket] = true
		case e.Kind == check.RunStart && mine[e.Ticket]:
			warm, all = warm+e.Warm, all+e.Used
		case e.Kind == check.Answer && mine[e.Ticket]:
			out.n++
			if e.Outcome == check.Whole {
				first = append(first, e.FirstMs)
			}
		}
	}
	out.whole = len(first)
	if len(first) == 0 {
		return out
	}
	slices.Sort(first)
	out.p50, out.p95 = first[len(first)/2], first[len(first)*95/100]
	if all > 0 {
		out.warm = float64(warm) / float64(all)
	}
	return out
}

func (s served) String() string {
	return fmt.Sprintf("%.0f %% warm, %d / %d ms, %d of %d", 100*s.warm, s.p50, s.p95, s.whole, s.n)
}

const (
	// slowerBy is by how much answers may come later in another tenant's run, and warmLeft how much of the
	// warm share must be left.
	slowerBy, warmLeft = 1.3, 0.9
	// slack is a difference that no caller notices, in ms.
	slack = 15
)

// holds says what of the users' wish does not hold for a class.
func holds(class string, quiet, run served) (faults []string) {
	add := func(format string, args ...any) {
		faults = append(faults, class+": "+fmt.Sprintf(format, args...))
	}
	if run.whole < run.n {
		add("%d of %d requests were not served", run.n-run.whole, run.n)
	}
	if float64(run.p50) > slowerBy*float64(quiet.p50)+slack {
		add("half the answers begin after %d ms, in quiet after %d", run.p50, quiet.p50)
	}
	if run.warm < warmLeft*quiet.warm {
		add("%.2f of the prompts is warm, in quiet %.2f", run.warm, quiet.warm)
	}
	return faults
}

// phase is a part of a day, and what may not hold in it for a class whose figures are
// compared with the quiet phase's.
type phase struct {
	name    string
	streams []asks
	yields  []string // classes that only may not be starved
}

// measured is how long the streams run that are compared. Why: lookups and captions come six times
// a second, and their warm part of 8 s alone varies by a sixth from run to run.
const measured = 24 * time.Second

// starvedBelow is the part of requests that a class must be served of that yields.
const starvedBelow = 0.25

// compare logs the figures of a phase beside the quiet one's and tells what does not hold.
func (f *Fleet) compare(day string, p phase, quietFrom, quietTo, from, to time.Duration) (faults []string) {
	for _, s := range p.streams {
		quiet, now := f.served(s.class, quietFrom, quietTo), f.served(s.class, from, to)
		f.T.Logf("| %s | %s | %s | %v | %v |", day, p.name, s.class, quiet, now)
		if !slices.Contains(p.yields, s.class) {
			faults = append(faults, holds(s.class, quiet, now)...)
		} else if float64(now.whole) < starvedBelow*float64(now.n) {
			faults = append(faults, fmt.Sprintf("%s is starved: %d of %d", s.class, now.whole, now.n))
		}
	}
	return faults
}

// Another tenant's heavy run of long prompts beside our officers, counters and
// renewals, then a heavy run of our own night jobs; and the same without tenants, where what is asked for must
// not hold in the first.
func TestHeavyRunsOfATenant(t *testing.T) {
	t.Parallel()
	for _, day := range []tenantDay{
		{"replicas that divide their caches", true, true},
		{"replicas that evict by last use", true, false},
		{"no tenants", false, false},
	} {
		t.Run(day.name, func(t *testing.T) {
			if testing.Short() && day.byShare {
				t.Skip("the race detector sees the same code in the other runs")
			}
			synctest.Test(t, func(t *testing.T) {
				f := tenantFleet(t, 1, day)
				defer f.Stop()
				f.play(8*time.Second, officeDay...) // until prompts are warm
				quietFrom, quietTo := f.play(measured, officeDay...)
				others := phase{"another tenant's heavy run", append(slices.Clone(officeDay), massRun), []string{"night", "bulk"}}
				night := phase{"our own night jobs", append(slices.Clone(officeDay[:3]), nightRun), []string{"night"}}
				for _, p := range []phase{others, night} {
					if p.name == night.name && (!day.tenants || testing.Short()) {
						continue
					}
					f.play(8*time.Second, p.streams...) // until it is seen, and prompts are warm where they go then
					from, to := f.play(measured, p.streams...)
					f.Until(40*time.Second, "an answer to every request", func() bool { return f.unanswered() == 0 })
					faults := f.compare(day.name, p, quietFrom, quietTo, from, to)
					if day.tenants == (len(faults) > 0) {
						t.Errorf("tenants %v, %s: %q", day.tenants, p.name, faults)
					}
				}
				f.End()
			})
		})
	}
}

// unanswered is how many requests have not had their final answer.
func (f *Fleet) unanswered() int {
	return f.count(check.Sent, nil) - f.count(check.Answer, nil)
}

// Shares change in the middle of a run, a proxy is killed and comes back, the other
// tenant stops and is taken out of the configuration: no rule is breached, and our officers and counters are
// served after each as they should be.
func TestTenantsChangeInARun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		day := tenantDay{"changes", true, false}
		f := tenantFleet(t, 1, day)
		defer f.Stop()
		run := append(slices.Clone(officeDay), asks{"bulk", "mass", 40, 0})
		configure := func(what string, body []byte) {
			f.Until(5*time.Second, what, func() bool {
				_, ok := f.Patch(0, body, "")
				return ok
			})
		}
		for _, step := range []struct {
			name    string
			do      func()
			streams []asks
		}{
			{"a run", func() {}, run},
			{"shares of 3 to 1", func() { configure("shares", day.config(3, keptTokens)) }, run},
			{"a proxy killed and back", func() {
				f.KillProxy(f.Edges[0])
				f.StartProxy(f.Edges[0])
				f.Until(10*time.Second, "the proxy", func() bool { _, ok := f.Edges[0].Proxy.ActiveConfig(); return ok })
			}, run},
			{"the other tenant stops", func() {}, officeDay},
			{"and is taken out", func() {
				configure("without tenants", tenantDay{}.config(1, keptTokens))
				configure("without tenants", []byte(`{"remove":{"tenants":["office","archive"]}}`))
			}, officeDay},
		} {
			step.do()
			f.play(2*time.Second, step.streams...)
			from, to := f.play(3*time.Second, step.streams...)
			f.Until(40*time.Second, "an answer to every request", func() bool { return f.unanswered() == 0 })
			for _, class := range []string{"roadside", "lookup", "counter"} {
				got := f.served(class, from, to)
				t.Logf("| %s | %s | %v |", step.name, class, got)
				if got.whole < got.n || got.p50 > 400 {
					t.Errorf("%s, %s: %v", step.name, class, got)
				}
			}
		}
		f.End()
	})
}

// The other tenant's run comes through one edge, where none of our officers ask: that
// they do elsewhere is known there all the same, and status tells the figures of both.
func TestTenantsAreKnownAtEveryEdge(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := tenantFleet(t, 1, tenantDay{"presence", true, false})
		defer f.Stop()
		spots := f.Spots()
		f.playAt(spots[1:], 3*time.Second, officeDay...)
		f.playAt(spots[:1], 6*time.Second, asks{"bulk", "mass", 30, 0})
		from, to := f.playAt(spots[:1], 4*time.Second, asks{"bulk", "mass", 30, 0})
		time.Sleep(10 * time.Second)
		mine, at := map[string]bool{}, map[string]int{}
		for _, e := range f.Rec.Events() {
			switch {
			case e.Kind == check.Sent && e.Class == "bulk" && e.At >= from && e.At < to:
				mine[e.Ticket] = true
			case e.Kind == check.RunStart && mine[e.Ticket]:
				at[e.Replica]++
			}
		}
		if len(at) != 2 {
			t.Errorf("the run went to %v, want two replicas", at)
		}
		var status struct {
			Tenants map[string]struct {
				Share, BulkAtEdges int
				Tokens             uint64
				WarmPart           float64
			}
		}
		if err := json.Unmarshal([]byte(f.Get(0, "/v1/status")), &status); err != nil {
			t.Fatal(err)
		}
		ours, other := status.Tenants["office"], status.Tenants["archive"]
		if ours.Share != 1 || ours.Tokens == 0 || ours.WarmPart <= other.WarmPart || other.Tokens < ours.Tokens || other.BulkAtEdges != 1 {
			t.Errorf("status: %+v", status.Tenants)
		}
		f.End()
	})
}
