package acceptor

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/sim/simhost"
)

// After a disk failure no write is acknowledged. The test runs outside a synctest
// bubble, because pebble leaves goroutines running after a failure.
func TestFailedDiskRefusesWrites(t *testing.T) {
	var broken atomic.Bool
	fs := errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(func(op errorfs.Op) error {
		if broken.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			return errorfs.ErrInjected
		}
		return nil
	}))
	g := run.NewGroup(context.Background())
	a := open(t, g, fs)
	r, err := a.Prepare(t.Context(), request("a", 1, 0, false))
	mustAccept(t, r, err)
	broken.Store(true)
	for i := range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		if r, err := a.Accept(ctx, request("a", 1, uint64(i+1), false, record("x", "v", 1, uint64(i+1)))); err == nil && r.OK {
			t.Error("a write that cannot have been synced was acknowledged")
		}
		cancel()
	}
	if a.DiskUsable() {
		t.Error("DiskUsable is true after a disk failure")
	}
}

func TestUnreadableRecordIsFoundOnOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := run.NewGroup(t.Context())
		fs := vfs.NewMem()
		a := open(t, g, fs)
		r, err := a.Prepare(t.Context(), request("a", 1, 0, false))
		mustAccept(t, r, err)
		r, err = a.Accept(t.Context(), request("a", 1, 1, false, record("x", "v", 1, 1)))
		mustAccept(t, r, err)
		if err := a.db.Set(keyRecord(0, "y"), []byte("garbage"), nil); err != nil {
			t.Fatal(err)
		}
		g.Stop()
		_ = a.Close()
		g = run.NewGroup(t.Context())
		if _, err := Open(g, "d", FolderOwner{Fleet: "f", Node: "n"}, fs, simhost.NewClock(), ring.New(io.Discard, 9).Logger()); err == nil {
			t.Error("Open accepted a folder with an unreadable record")
		}
		g.Stop()
	})
}

// A folder of another node, of a newer format, damaged, or with foreign files is refused with an
// error that says what to do, and left unchanged.
func TestForeignOrDamagedFolderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := func(fs vfs.FS, w FolderOwner) error {
			g := run.NewGroup(t.Context())
			defer g.Stop()
			a, err := Open(g, "d", w, fs, simhost.NewClock(), ring.New(io.Discard, 9).Logger())
			if err == nil {
				err = a.Close()
			}
			return err
		}
		own := FolderOwner{Fleet: "f", Node: "n"}
		for _, c := range []struct {
			what  string
			spoil func(fs *vfs.MemFS)
			as    FolderOwner
			says  string
		}{
			{"nothing", func(*vfs.MemFS) {}, own, ""},
			{"another node", func(*vfs.MemFS) {}, FolderOwner{Fleet: "f", Node: "m"}, "belongs to the node n"},
			{"another fleet", func(*vfs.MemFS) {}, FolderOwner{Fleet: "g", Node: "n"}, "belongs to the fleet f"},
			{"a newer format", func(fs *vfs.MemFS) {
				db, err := pebble.Open("d", &pebble.Options{FS: fs, Logger: pebbleLogger{&Acceptor{log: ring.New(io.Discard, 9).Logger()}}})
				if err != nil {
					t.Fatal(err)
				}
				if err := db.Set(keyFolderOwner, wire.Marshal(FolderOwner{Fleet: "f", Node: "n", Format: folderFormat + 1}), pebble.Sync); err != nil {
					t.Fatal(err)
				}
				_ = db.Close()
			}, own, "start the newer version"},
			{"its index lost", func(fs *vfs.MemFS) {
				names, _ := fs.List("d")
				for _, n := range names {
					if strings.HasPrefix(n, "marker.") || strings.HasPrefix(n, "MANIFEST") {
						_ = fs.Remove("d/" + n)
					}
				}
			}, own, "index is lost"},
		} {
			fs := vfs.NewMem()
			if err := start(fs, own); err != nil {
				t.Fatal(err)
			}
			c.spoil(fs)
			before, _ := fs.List("d")
			err := start(fs, c.as)
			if (c.says == "") != (err == nil) || err != nil && (!errors.Is(err, ErrFolder) || !strings.Contains(err.Error(), c.says)) {
				t.Errorf("%s: %v", c.what, err)
			}
			after, _ := fs.List("d")
			slices.Sort(before)
			slices.Sort(after)
			if c.says == "index is lost" && !slices.Equal(before, after) {
				t.Errorf("%s: the folder was changed from %v to %v", c.what, before, after)
			}
			// After the refusal the folder's own node can still use it.
			if strings.HasPrefix(c.what, "another") {
				if err := start(fs, own); err != nil {
					t.Errorf("%s, then the owning node: %v", c.what, err)
				}
			}
		}
		fs := vfs.NewMem()
		_ = fs.MkdirAll("d", 0o755)
		f, err := fs.Create("d/letter.txt", vfs.WriteCategoryUnspecified)
		if err != nil {
			t.Fatal(err)
		}
		_ = f.Close()
		if err := start(fs, own); err == nil || !strings.Contains(err.Error(), "letter.txt") {
			t.Errorf("a folder with foreign files: %v", err)
		}
	})
}

// A core that is killed or loses power at any step of initializing its data folder can start again with what is left.
func TestCrashDuringFolderInitIsRecoverable(t *testing.T) {
	own := FolderOwner{Fleet: "f", Node: "n"}
	start := func(fs vfs.FS) error {
		g := run.NewGroup(t.Context())
		a, err := Open(g, "d", own, fs, simhost.NewClock(), ring.New(io.Discard, 9).Logger())
		g.Stop()
		if err == nil {
			err = a.Close()
		}
		return err
	}
	for _, kept := range []int{0, 50, 100} {
		mem := vfs.NewCrashableMem()
		var crashed []*vfs.MemFS // the disk as a crash before each write would leave it
		var mu sync.Mutex
		fs := errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
			if op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
				mu.Lock()
				defer mu.Unlock()
				crashed = append(crashed, mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: kept, RNG: rand.New(rand.NewPCG(uint64(len(crashed)), 1))}))
			}
			return nil
		}))
		if err := start(fs); err != nil {
			t.Fatal(err)
		}
		for step, disk := range crashed {
			if err := start(disk); err != nil {
				t.Errorf("crash before write %d of %d, %d percent of unsynced data kept: %v", step, len(crashed), kept, err)
			}
		}
	}
}
