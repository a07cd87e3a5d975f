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
	db       *pebble.DB
	fs       vfs.FS
	folder   string
	clock    tick.Clock
	log      *slog.Logger
	disk     atomic.Pointer[string]
	sick     atomic.Bool
	standing atomic.Pointer[Standing]
	setActor *run.Actor
	slots    [state.SlotCount]*table
	door     chan struct{} // held by who hands a batch to pebble
}

// Open reads the data folder, or starts an empty one with an identity of its own.
// ErrFolder says that it is damaged or another node's.
func Open(g *run.Group, folder string, whose Whose, fs vfs.FS, clock tick.Clock, log *slog.Logger) (*Acceptor, error) {
	a := &Acceptor{clock: clock, log: log, fs: fs, folder: folder, door: make(chan struct{}, 1)}
	making, err := beginMaking(fs, folder)
	if err != nil {
		return nil, errors.Wrapf(ErrFolder, "%s: %v", folder, err)
	}
	if !making {
		if err := looksRight(fs, folder); err != nil {
			return nil, err
		}
	}
	db, err := pebble.Open(folder, &pebble.Options{
		FS: fs, Logger: pebbleLog{a}, MemTableSize: 4 << 20,
		FormatMajorVersion: pebble.FormatNewest,
	})
	if err != nil {
		return nil, errors.Wrapf(ErrFolder, "%s: %v", folder, err)
	}
	a.db = db
	if err := a.claim(whose); err != nil {
		_ = db.Close()
		return nil, err
	}
	if err := a.load(); err != nil {
		_ = db.Close()
		return nil, errors.Wrapf(ErrFolder, "%s: %v", folder, err)
	}
	if making {
		if err := endMaking(fs, folder); err != nil {
			_ = db.Close()
			return nil, errors.Wrapf(ErrFolder, "%s: %v", folder, err)
		}
	}
	a.setActor = run.NewActor(g, 64, 0, nil)
	for i := range a.slots {
		a.slots[i].actor = run.NewActor(g, 256, 0, nil)
	}
	return a, nil
}

// load reads what the folder holds, and gives an empty one its identity.
func (a *Acceptor) load() error {
	var disk string
	found, err := a.read(keyDisk, &disk)
	if err != nil {
		return err
	}
	if !found {
		if disk, err = newDisk(); err != nil {
			return err
		}
		if err := a.db.Set(keyDisk, wire.Pack(disk), pebble.Sync); err != nil {
			return err
		}
	}
	a.disk.Store(&disk)
	st := Standing{Phase: Empty}
	if _, err := a.read(keyStanding, &st); err != nil {
		return err
	}
	a.standing.Store(&st)
	for i := range a.slots {
		// Why: a restarted grantor forgot its grants, so it waits a whole lease before the next.
		a.slots[i] = &table{anew: true}
		a.slots[i].grant(a.clock.Since() + state.LeaseDuration)
		var pr promise
		if _, err := a.read(keyPromise(i), &pr); err != nil {
			return err
		}
		a.slots[i].keep(pr)
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
	if a.sick.Load() {
		return state.ErrDiskFailed
	}
	return a.db.Close()
}

// Disk is the identity of the data folder.
func (a *Acceptor) Disk() string { return *a.disk.Load() }

// Sick says whether the disk has failed for good.
func (a *Acceptor) Sick() bool { return a.sick.Load() }

// Keeps says whether the disk keeps what it is given, as far as is known.
func (a *Acceptor) Keeps() bool { return !a.sick.Load() && !a.full() }

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
