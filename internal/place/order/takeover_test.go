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

// fakeReplica is a replica with a fixed report.
type fakeReplica struct {
	backend.Client
	busy  bool
	items map[conf.Item]backend.ItemStatus
}

func (r *fakeReplica) Report(_ context.Context, t backend.Target) (backend.Report, error) {
	return backend.Report{ID: t.ID, Incarnation: t.ID, Model: true, CapacityMib: 100, Slots: 4, Busy: r.busy, Items: maps.Clone(r.items)}, nil
}

func (r *fakeReplica) Traits() backend.Traits {
	return backend.Traits{DrainsBeforeUnload: true, ReportsBusy: true, RejectsConcurrentOrders: true, ReportLag: 100 * time.Millisecond}
}

// The lease changes hands while the replica carries out a load that the previous holder ordered.
// The room for the load is not free until a report shows that no order is in progress.
func TestTakeoverKeepsMemoryOfPredecessorsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := &fakeReplica{busy: true, items: map[conf.Item]backend.ItemStatus{}}
		cfg := conf.Empty()
		ctl := newPollingController(t, replica, &cfg)
		pending := conf.Item{Model: "m"}
		ctl.entries[pending] = &entry{Entry: Entry{State: Reserved, SizeMib: 80}, orderedAt: ctl.d.Clock.Since(), inherited: true}
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			ctl.poll()
			if mib, _ := ctl.currentUse(); mib != 80 {
				t.Fatalf("%d MiB are in use while an order is in progress, want 80", mib)
			}
		}
		replica.busy = false
		time.Sleep(100 * time.Millisecond)
		ctl.poll()
		if mib, _ := ctl.currentUse(); mib != 0 {
			t.Errorf("%d MiB are in use after the order has ended, want 0", mib)
		}
	})
}
