package fleet

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/replay/foresight"
	"drumstall.example/internal/stand"
)

// foreseen is how many of a run's first attempts a placer that knew them all
// could have served with the same replicas, places and pace.
func (f *Fleet) foreseen(eff conf.Effective) (served, all int) {
	fl := foresight.Fleet{Replicas: f.D.Models, CapacityMib: f.D.Replica.CapacityMib, AdapterPlaces: f.D.Replica.AdapterPlaces, Slots: f.D.Replica.Slots,
		PaceLoads: f.D.PaceLoads, Window: 5 * time.Second, MibPerS: f.D.Replica.LoadMibPerS, Size: func(m string) int { return eff.Models[m].SizeMib }}
	for i := range f.D.Models {
		has := map[conf.Item]bool{}
		for _, h := range f.D.Brings(i) {
			has[conf.Item{Model: h.Model}] = true
		}
		fl.Held = append(fl.Held, has)
	}
	classes := map[string]conf.Route{}
	for _, r := range eff.Routes {
		classes[r.Class] = r
	}
	pieces := map[string]int{}
	for _, x := range f.D.Flows {
		pieces[x.Class] = max(x.Pieces, f.D.Replica.Pieces)
	}
	var qs []foresight.Request
	for _, e := range f.Rec.Events() {
		if e.Kind == check.Sent && e.Item != "" && e.Of == "" {
			r := classes[e.Class]
			qs = append(qs, foresight.Request{At: e.At, By: e.At + r.Deadline, Item: conf.ParseItem(e.Item),
				For: f.D.Replica.ColdFor + time.Duration(pieces[e.Class])*f.D.Replica.PieceFor})
		}
	}
	for _, ok := range foresight.Served(fl, qs) {
		if ok {
			served++
		}
	}
	return served, len(qs)
}

// tooLate is about the answers that say "it will be loaded too late": how soon
// they were given, how many of them wrongly, since the item was there before the deadline, and by how much later than
// told it was there.
func (f *Fleet) tooLate(eff conf.Effective) string {
	sent, done := map[string]check.Event{}, map[string][]time.Duration{}
	limits := deadlines(eff)
	for _, e := range f.Rec.Events() {
		switch e.Kind {
		case check.Sent:
			sent[e.Ticket] = e
		case check.LoadDone:
			done[e.Item] = append(done[e.Item], e.At)
		}
	}
	var took []int64
	var off []time.Duration
	atOnce, wrong, never := 0, 0, 0
	for _, e := range f.Rec.Events() {
		if e.Kind != check.Answer || !strings.Contains(e.Why, "loaded too late") {
			continue
		}
		q := sent[e.Ticket]
		if took = append(took, e.TookMs); e.TookMs < 100 {
			atOnce++
		}
		i := slices.IndexFunc(done[q.Item], func(at time.Duration) bool { return at > q.At })
		if i < 0 {
			never++
			continue
		}
		if at := done[q.Item][i]; at < q.At+limits[e.Class] {
			wrong++
		} else {
			off = append(off, at-e.At-time.Duration(e.AgainS)*time.Second)
		}
	}
	if len(took) == 0 || len(off) == 0 {
		return "none"
	}
	slices.Sort(took)
	slices.Sort(off)
	part := func(p int) string {
		return fmt.Sprintf("%.1f", off[len(off)*p/100].Seconds())
	}
	return fmt.Sprintf("%d told too late, half after %d ms, %d within 100 ms, %d wrongly, %d never loaded; there later than told by %s / %s / %s s (p10, p50, p90)",
		len(took), took[len(took)/2], atOnce, wrong, never, part(10), part(50), part(90))
}

// What callers get in the first minutes of a day, who come back when told to,
// and what one who knew the day could have served. The rows go to docs/measurements/callers.md.
func TestWhatCallersGet(t *testing.T) {
	if testing.Short() {
		t.Skip("figures for docs/measurements/callers.md")
	}
	t.Parallel()
	span := 60 * time.Second
	// DRUMSTALL_SPAN_S=N sends traffic for so long.
	if n, err := strconv.Atoi(os.Getenv("DRUMSTALL_SPAN_S")); err == nil && n > 0 {
		span = time.Duration(n) * time.Second
	}
	for _, d := range []stand.Deployment{stand.Cascadia(), stand.Fotofamilia()} {
		t.Run(d.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kept, err := conf.ReadWhole("application/json", d.Config)
				if err != nil {
					t.Fatal(err)
				}
				eff, err := conf.Compile(kept)
				if err != nil {
					t.Fatal(err)
				}
				f := New(t, 1, d)
				defer f.Stop()
				f.Clients.Heed = true
				f.Traffic(1)
				time.Sleep(span)
				f.Quiet()
				accounts := check.Accounts(f.Rec.Events())
				var b strings.Builder
				check.PrintAccounts(&b, accounts)
				known, all := f.foreseen(eff)
				t.Log(f.tooLate(eff))
				f.End()
				got, back, returned := 0, 0, 0
				for class, a := range accounts {
					if class != f.D.Flows[0].Class {
						got, back, returned = got+a.AtOnce, back+a.OnReturn, returned+a.Returned
					}
				}
				t.Logf("%s, %v: of %d model requests %d served at once, %d of %d that came back; with foresight %d\n%s", d.Name, span, all, got, back, returned, known, b.String())
				if got+back > all || known < got/2 {
					t.Errorf("%d and %d served of %d, %d with foresight", got, back, all, known)
				}
			})
		})
	}
}
