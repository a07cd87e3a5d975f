package order

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
)

// reporting is a replica that says what it is told to say.
type fakeReplica struct {
	backend.Client
	busy  bool
	items map[conf.Item]backend.ItemStatus
}

func (r *fakeReplica) Report(_ context.Context, t backend.Target) (backend.Report, error) {
	return backend.Report{ID: t.ID, Incarnation: t.ID, Model: true, CapacityMib: 100, Slots: 4, Busy: r.busy, Items: maps.Clone(r.items)}, nil
}

func (r *fakeReplica) Traits() backend.Traits {
	return backend.Traits{WaitsForRuns: true, TellsBusy: true, OneOrder: true, ReportLag: 100 * time.Millisecond}
}

// An owner is followed by another while the replica loads what the first one ordered:
// the room for it is not free until a report says that nothing is being carried out.
func TestTakeoverKeepsMemoryOfPredecessorsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := &fakeReplica{busy: true, items: map[conf.Item]backend.ItemStatus{}}
		cfg := conf.Empty()
		ctl := newPollingController(t, replica, &cfg)
		coming := conf.Item{Model: "m"}
		ctl.entries[coming] = &entry{Entry: Entry{State: Reserved, SizeMib: 80}, orderedAt: ctl.d.Clock.Since(), inherited: true}
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			ctl.poll()
			if mib, _ := ctl.currentUse(); mib != 80 {
				t.Fatalf("the replica carries an order out, and %d MiB count as taken", mib)
			}
		}
		replica.busy = false
		time.Sleep(100 * time.Millisecond)
		ctl.poll()
		if mib, _ := ctl.currentUse(); mib != 0 {
			t.Errorf("nothing is carried out any more, and %d MiB count as taken", mib)
		}
	})
}
