package plan

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/sim/simstate"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/owner"
)

// A report calls for a look out of turn where an item begins to be waited for that
// this core plans for; what waited before, and what others plan for, does not.
func TestOnlyANewMissTriggersPlanning(t *testing.T) {
	simstate.Play(t, vfs.NewMem(), func(t *testing.T, _ *run.Group, own *owner.Owner) {
		p := &Planner{d: Deps{Owner: own}, items: map[conf.Item]*itemState{}, historyEpochs: own.Held()}
		others := conf.Item{Model: "others"}
		delete(p.historyEpochs, state.SlotOf(DemandKey(others, 0)))
		ours := conf.Item{Model: "ours"}
		waits := func(names ...string) report.Report {
			r := report.Report{Waiting: map[string]int{}}
			for _, name := range names {
				r.Waiting[name] = 1
			}
			return r
		}
		if p.hasNewMiss(waits()) || p.hasNewMiss(waits("others")) {
			t.Error("a look for nothing that is ours")
		}
		if !p.hasNewMiss(waits("others", "ours")) {
			t.Error("no look for an item that was never asked for")
		}
		p.stateOf(ours)
		p.updateWaiting(map[conf.Item]int{ours: 1}, time.Second)
		if p.hasNewMiss(waits("ours")) {
			t.Error("a look for what waited already")
		}
		p.updateWaiting(map[conf.Item]int{}, 2*time.Second)
		if !p.hasNewMiss(waits("ours")) {
			t.Error("no look for an item that is waited for again")
		}
	})
}

// A miss counts from its own beginning, also where nobody waited for anything in between.
func TestWaitingSinceIsResetWhenNoRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		it := conf.Item{Model: "m"}
		p := &Planner{d: Deps{Clock: simhost.NewClock(), Reports: report.NewTable(), Conf: conf.Empty}, items: map[conf.Item]*itemState{}}
		p.stateOf(it)
		p.updateWaiting(map[conf.Item]int{it: 1}, time.Second)
		p.onTick()
		if since := p.items[it].waitingSince; since >= 0 {
			t.Errorf("waited for since %v, though nobody waits", since)
		}
	})
}
