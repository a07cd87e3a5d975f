package plan

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/sim/simstate"
	"drumstall.example/internal/state/owner"
)

// slowFS is a file system whose syncs take syncTime.
type slowFS struct {
	vfs.FS
	syncTime time.Duration
}

func (d slowFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := d.FS.Create(name, category)
	return slowFile{f, d.syncTime}, err
}

type slowFile struct {
	vfs.File
	syncTime time.Duration
}

func (f slowFile) Sync() error {
	time.Sleep(f.syncTime)
	return f.File.Sync()
}

func (f slowFile) SyncData() error {
	time.Sleep(f.syncTime)
	return f.File.SyncData()
}

func TestConcurrentGrantsShareOneWrite(t *testing.T) {
	const loads, syncTime = 40, 50 * time.Millisecond
	simstate.Play(t, slowFS{vfs.NewMem(), syncTime}, func(t *testing.T, g *run.Group, own *owner.Owner) {
		cfg := conf.Empty()
		cfg.Limits.PaceLoads = 2 * loads
		p := New(Deps{Group: g, Clock: simhost.NewClock(), Log: ring.New(io.Discard, 10).Logger(), Self: "core-1", Cadence: bounds.DefaultCadence(), Owner: own,
			Gossip: gossip.NewTable(), Reports: report.NewTable(), Conf: func() conf.Effective { return cfg }, Statuses: func() order.Statuses { return order.Statuses{} },
			SharePredictions: func(context.Context, SharedPredictions) {}})
		time.Sleep(time.Second)
		start := time.Now()
		answers := run.FanOut(g, loads, func(ctx context.Context, i int) bool {
			got, err := p.Grant(ctx, GrantRequest{LoadID: fmt.Sprint("load ", i), Penalty: 1})
			return err == nil && got.Granted
		})
		granted := 0
		for range loads {
			if <-answers {
				granted++
			}
		}
		if took := time.Since(start); granted != loads || took > 5*syncTime {
			t.Errorf("%d of %d loads granted after %v, with a disk sync of %v", granted, loads, took, syncTime)
		}
		rec, found, err := own.Get(t.Context(), PaceKey)
		var kept GrantRecord
		if err != nil || !found || wire.Unmarshal(rec.Value, &kept) != nil || len(kept.AgesMs) != loads {
			t.Errorf("%d grants are recorded, want %d: %v", len(kept.AgesMs), loads, err)
		}
	})
}
