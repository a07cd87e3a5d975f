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

// A report triggers planning before the next interval only if requests begin to wait
// for an item of this core; items waited for already and items of other cores do not.
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
			t.Error("planning was triggered without a miss of this core's items")
		}
		if !p.hasNewMiss(waits("others", "ours")) {
			t.Error("planning was not triggered for an item that was never requested")
		}
		p.stateOf(ours)
		p.updateWaiting(map[conf.Item]int{ours: 1}, time.Second)
		if p.hasNewMiss(waits("ours")) {
			t.Error("planning was triggered for an item that was waited for already")
		}
		p.updateWaiting(map[conf.Item]int{}, 2*time.Second)
		if !p.hasNewMiss(waits("ours")) {
			t.Error("planning was not triggered for an item that is waited for again")
		}
	})
}

// The wait for an item is measured from the current miss, also if no requests waited for any item in between.
func TestWaitingSinceIsResetWhenNoRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		it := conf.Item{Model: "m"}
		p := &Planner{d: Deps{Clock: simhost.NewClock(), Reports: report.NewTable(), Conf: conf.Empty}, items: map[conf.Item]*itemState{}}
		p.stateOf(it)
		p.updateWaiting(map[conf.Item]int{it: 1}, time.Second)
		p.onTick()
		if since := p.items[it].waitingSince; since >= 0 {
			t.Errorf("waitingSince is %v although no requests wait", since)
		}
	})
}
