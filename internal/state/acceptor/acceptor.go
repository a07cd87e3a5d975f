// Package acceptor implements a core's vote on the control state. It stores, for
// each slot, the highest promised epoch and, for each key, the newest record, and
// grants leases on slots.
//
// Each core opens one Acceptor over its data folder, which no other process uses.
// The owners of slots, in this core and over the network in the others, ask it for
// promises, leases and writes; package coremembers changes its membership. It sends
// no requests to other cores, syncs everything that an answer depends on to disk
// before it answers, and never grants a lease that may overlap another core's.
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

// ErrFolder is returned by Open when the data folder is damaged or belongs to another node.
var ErrFolder = errors.New("acceptor: data folder cannot be used")

// Acceptor owns the data folder. Its methods are safe for concurrent use.
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
	applyLock       chan struct{} // held while a batch is applied to pebble
}

// Open opens the data folder, or initializes an empty one and gives it a new ID.
// It returns ErrFolder if the folder is damaged or belongs to another node.
func Open(g *run.Group, folder string, folderOwner FolderOwner, fs vfs.FS, clock tick.Clock, log *slog.Logger) (*Acceptor, error) {
	a := &Acceptor{clock: clock, log: log, fs: fs, folder: folder, applyLock: make(chan struct{}, 1)}
	initializing, err := beginInit(fs, folder)
	if err != nil {
		return nil, errors.Wrapf(ErrFolder, "%s: %v", folder, err)
	}
	if !initializing {
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
	if err := a.claimFolder(folderOwner); err != nil {
		_ = db.Close()
		return nil, err
	}
	if err := a.load(); err != nil {
		_ = db.Close()
		return nil, errors.Wrapf(ErrFolder, "%s: %v", folder, err)
	}
	if initializing {
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

// load reads the content of the folder, and assigns an ID to an empty one.
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
		if err := a.db.Set(keyDiskID, wire.Marshal(disk), pebble.Sync); err != nil {
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
		// Granted leases are not stored, so a restarted voter waits a full lease duration before it grants one to another core.
		a.slots[i] = &slotState{noGrantYet: true}
		a.slots[i].setLeaseEnd(a.clock.Since() + state.LeaseDuration)
		var pr promise
		if _, err := a.read(keyPromise(i), &pr); err != nil {
			return err
		}
		a.slots[i].setPromise(pr)
		// Unreadable records are detected at start rather than when they are needed.
		if _, err := a.records(i); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the data folder; the group must have stopped before. It returns
// state.ErrDiskFailed after a disk failure.
func (a *Acceptor) Close() error {
	// Closing pebble may block for ever after a disk failure.
	if a.diskFailed.Load() {
		return state.ErrDiskFailed
	}
	return a.db.Close()
}

// DiskID returns the ID of the data folder.
func (a *Acceptor) DiskID() string { return *a.diskID.Load() }

// DiskFailed reports whether a disk write has failed, which ends voting until a restart.
func (a *Acceptor) DiskFailed() bool { return a.diskFailed.Load() }

// DiskUsable reports whether the disk is believed to accept writes: it has not failed and is not full.
func (a *Acceptor) DiskUsable() bool { return !a.diskFailed.Load() && !a.lacksSpace() }

// Serve registers the handlers for requests of other cores on mux.
func (a *Acceptor) Serve(mux *wire.Mux) {
	wire.Handle(mux, "/state/peek", a.Peek)
	wire.Handle(mux, "/state/prepare", a.Prepare)
	wire.Handle(mux, "/state/accept", a.Accept)
	wire.Handle(mux, "/state/renew", a.Renew)
	wire.Handle(mux, "/state/release", a.Release)
	wire.Handle(mux, "/state/digest", a.Digest)
	wire.Handle(mux, "/state/dump", a.Dump)
}
