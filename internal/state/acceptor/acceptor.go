// Package acceptor is a core's vote: per slot the highest epoch promised and
// the lease granted, per key the newest record, synced to disk before it answers.
//
// Each core opens one Acceptor over its data folder, which belongs to it alone.
// The owners of slots, in this core and over the wire in the others, ask it for
// promises, leases and writes; the core membership changes its standing. It never
// asks another core for anything, never answers before its disk has synced what
// the answer rests on, and never grants a lease that may overlap another core's.
package acceptor

import (
	"log/slog"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// ErrFolder is given by Open when the data folder cannot be trusted.
var ErrFolder = errors.New("acceptor: data folder cannot be used")

// Acceptor owns the data folder. Its methods may be called from anywhere.
type Acceptor struct {
	db              *pebble.DB
	fs              vfs.FS
	folder          string
	clock           tick.Clock
	log             *slog.Logger
	diskID          atomic.Pointer[string]
	diskFailed      atomic.Bool
	membership      atomic.Pointer[Membership]
	membershipActor *run.Actor
	slots           [state.SlotCount]*slotState
	applyLock       chan struct{} // held by who hands a batch to pebble
}

// Open reads the data folder, or starts an empty one with an identity of its own.
// ErrFolder says that it is damaged or another node's.
func Open(g *run.Group, folder string, whose FolderOwner, fs vfs.FS, clock tick.Clock, log *slog.Logger) (*Acceptor, error) {
	a := &Acceptor{clock: clock, log: log, fs: fs, folder: folder, applyLock: make(chan struct{}, 1)}
	making, err := beginInit(fs, folder)
	if err != nil {
		return nil, errors.Wrapf(ErrFolder, "%s: %v", folder, err)
	}
	if !making {
		if err := checkFolder(fs, folder); err != nil {
			return nil, err
		}
	}
	db, err := pebble.Open(folder, &pebble.Options{
		FS: fs, Logger: pebbleLogger{a}, MemTableSize: 4 << 20,
		FormatMajorVersion: pebble.FormatNewest,
	})
	if err != nil {
		return nil, errors.Wrapf(ErrFolder, "%s: %v", folder, err)
	}
	a.db = db
	if err := a.claimFolder(whose); err != nil {
		_ = db.Close()
		return nil, err
	}
	if err := a.load(); err != nil {
		_ = db.Close()
		return nil, errors.Wrapf(ErrFolder, "%s: %v", folder, err)
	}
	if making {
		if err := finishInit(fs, folder); err != nil {
			_ = db.Close()
			return nil, errors.Wrapf(ErrFolder, "%s: %v", folder, err)
		}
	}
	a.membershipActor = run.NewActor(g, 64, 0, nil)
	for i := range a.slots {
		a.slots[i].actor = run.NewActor(g, 256, 0, nil)
	}
	return a, nil
}

// load reads what the folder holds, and gives an empty one its identity.
func (a *Acceptor) load() error {
	var disk string
	found, err := a.read(keyDiskID, &disk)
	if err != nil {
		return err
	}
	if !found {
		if disk, err = newDiskID(); err != nil {
			return err
		}
		if err := a.db.Set(keyDiskID, wire.Pack(disk), pebble.Sync); err != nil {
			return err
		}
	}
	a.diskID.Store(&disk)
	st := Membership{Phase: Empty}
	if _, err := a.read(keyMembership, &st); err != nil {
		return err
	}
	a.membership.Store(&st)
	for i := range a.slots {
		// Why: a restarted grantor forgot its grants, so it waits a whole lease before the next.
		a.slots[i] = &slotState{noGrantYet: true}
		a.slots[i].setLeaseEnd(a.clock.Since() + state.LeaseDuration)
		var pr promise
		if _, err := a.read(keyPromise(i), &pr); err != nil {
			return err
		}
		a.slots[i].setPromise(pr)
		// Why: a record that cannot be read is found now, not when it is needed.
		if _, err := a.records(i); err != nil {
			return err
		}
	}
	return nil
}

// Close lets go of the data folder; the group must have stopped. It gives
// state.ErrSick for a disk that has failed.
func (a *Acceptor) Close() error {
	// Why: a failed pebble may never finish closing.
	if a.diskFailed.Load() {
		return state.ErrDiskFailed
	}
	return a.db.Close()
}

// Disk is the identity of the data folder.
func (a *Acceptor) DiskID() string { return *a.diskID.Load() }

// Sick says whether the disk has failed for good.
func (a *Acceptor) DiskFailed() bool { return a.diskFailed.Load() }

// Keeps says whether the disk keeps what it is given, as far as is known.
func (a *Acceptor) DiskUsable() bool { return !a.diskFailed.Load() && !a.lacksSpace() }

// Serve answers the other cores on mux.
func (a *Acceptor) Serve(mux *wire.Mux) {
	wire.Handle(mux, "/state/peek", a.Peek)
	wire.Handle(mux, "/state/prepare", a.Prepare)
	wire.Handle(mux, "/state/accept", a.Accept)
	wire.Handle(mux, "/state/renew", a.Renew)
	wire.Handle(mux, "/state/release", a.Release)
	wire.Handle(mux, "/state/digest", a.Digest)
	wire.Handle(mux, "/state/dump", a.Dump)
}
