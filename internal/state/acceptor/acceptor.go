// Package acceptor is a core's vote: per slot the highest epoch promised and
// the hold granted, per key the newest record, synced to disk before it answers.
package acceptor

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// ErrFolder is given when the data folder cannot be trusted.
var ErrFolder = errors.New("acceptor: data folder cannot be used")

// Phase is how far a core has come towards voting.
type Phase string

// Phases: nothing known; agreed to a first formation; being filled; a voter.
const (
	Empty   Phase = "empty"
	Pending Phase = "pending"
	Filling Phase = "filling"
	Voter   Phase = "voter"
)

// Standing is the part of an acceptor that is not about slots.
type Standing struct {
	Phase Phase         `cbor:"1,keyasint"`
	Set   state.CoreSet `cbor:"2,keyasint"`
	Old   state.CoreSet `cbor:"3,keyasint"` // while filling: whom to be filled from
}

type promise struct {
	Epoch  uint64     `cbor:"1,keyasint"`
	Holder state.Core `cbor:"2,keyasint"`
	Full   uint64     `cbor:"3,keyasint"`           // newest epoch whose whole table is here
	Serial uint64     `cbor:"4,keyasint"`           // newest serial seen in the slot
	FullBy state.Core `cbor:"5,keyasint,omitempty"` // who wrote the whole table under Full
}

type table struct {
	desk  *run.Desk
	pr    promise
	until atomic.Int64               // hold granted until, on our clock
	anew  bool                       // since start nobody has been granted: wait a whole hold
	freed bid                        // let go of last
	last  atomic.Pointer[state.Core] // pr.Holder, for readers outside the desk
}

func (t *table) keep(pr promise) {
	t.pr = pr
	holder := pr.Holder
	t.last.Store(&holder)
}

// bid is one try of one core to hold a slot.
type bid struct {
	epoch uint64
	by    state.Core
}

// over says whether a message belongs to a bid that was let go of. Why: messages
// overtake each other, and a renewal read after its own release would keep
// everybody out for a whole hold.
func (t *table) over(from state.Core, epoch uint64) bool {
	return epoch <= t.freed.epoch && t.freed.by.Is(from)
}

// Acceptor owns the data folder.
type Acceptor struct {
	db       *pebble.DB
	fs       vfs.FS
	folder   string
	clock    tick.Clock
	log      *slog.Logger
	disk     atomic.Pointer[string]
	sick     atomic.Bool
	standing atomic.Pointer[Standing]
	setDesk  *run.Desk
	slots    [state.Slots]*table
	door     chan struct{} // held by who hands a batch to pebble
}

type pebbleLog struct{ a *Acceptor }

func (l pebbleLog) Infof(string, ...any) {}
func (l pebbleLog) Errorf(format string, args ...any) {
	l.a.log.Warn("pebble: " + fmt.Sprintf(format, args...))
}
func (l pebbleLog) Fatalf(format string, args ...any) {
	// Why: a disk that failed must cost this vote, not the process; what it did not sync is never answered for.
	if !l.a.sick.Swap(true) {
		l.a.log.Error("disk failed: " + fmt.Sprintf(format, args...))
	}
	runtime.Goexit()
}

var (
	keyDisk     = []byte("m/disk")
	keyStanding = []byte("m/standing")
)

func keyPromise(slot int) []byte          { return fmt.Appendf(nil, "p/%02d", slot) }
func keyRecord(slot int, k string) []byte { return fmt.Appendf(nil, "r/%02d/%s", slot, k) }
func bounds(slot int) *pebble.IterOptions {
	return &pebble.IterOptions{LowerBound: fmt.Appendf(nil, "r/%02d/", slot), UpperBound: fmt.Appendf(nil, "r/%02d0", slot)}
}

// Open reads the data folder, or starts an empty one with an identity of its own.
func Open(g *run.Group, folder string, whose Whose, fs vfs.FS, clock tick.Clock, log *slog.Logger) (*Acceptor, error) {
	a := &Acceptor{clock: clock, log: log, fs: fs, folder: folder, door: make(chan struct{}, 1)}
	if err := looksRight(fs, folder); err != nil {
		return nil, err
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
	a.setDesk = run.NewDesk(g, 64, 0, nil)
	for i := range a.slots {
		a.slots[i].desk = run.NewDesk(g, 256, 0, nil)
	}
	return a, nil
}

func (a *Acceptor) read(key []byte, v any) (bool, error) {
	raw, closer, err := a.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer closer.Close()
	return true, wire.Unpack(raw, v)
}

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
		// Why: a restarted grantor forgot its grants, so it waits a whole hold before the next.
		a.slots[i] = &table{anew: true}
		a.slots[i].grant(a.clock.Since() + state.HoldFor)
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

// newDisk is a fresh identity of a data folder.
func newDisk() (string, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(id[:]), nil
}

// Close lets go of the data folder; the group must have stopped.
func (a *Acceptor) Close() error {
	// Why: a failed pebble may never finish closing.
	if a.sick.Load() {
		return state.ErrSick
	}
	return a.db.Close()
}

// Disk is the identity of the data folder.
func (a *Acceptor) Disk() string { return *a.disk.Load() }

// Sick says whether the disk has failed for good.
func (a *Acceptor) Sick() bool { return a.sick.Load() }

// Keeps says whether the disk keeps what it is given, as far as is known.
func (a *Acceptor) Keeps() bool { return !a.sick.Load() && !a.full() }

// Standing is a copy of the phase and the core set.
func (a *Acceptor) Standing() Standing { return *a.standing.Load() }

// SetStanding changes phase and core set through f, synced before it returns.
func (a *Acceptor) SetStanding(ctx context.Context, f func(Standing) (Standing, bool)) (Standing, error) {
	type answer struct {
		st  Standing
		err error
	}
	out, err := run.AskFor(ctx, a.setDesk, func() answer {
		now, change := f(*a.standing.Load())
		if change {
			if err := a.commit(func(b *pebble.Batch) error { return b.Set(keyStanding, wire.Pack(now), nil) }); err != nil {
				return answer{err: err}
			}
			a.standing.Store(&now)
		}
		return answer{st: now}
	})
	if err == nil {
		err = out.err
	}
	return out.st, err
}

// Reset forgets everything and goes on as an empty core with an identity of its
// own. Why: a voter that the core set has gone on without may only come back as a
// new member, filled by the others.
func (a *Acceptor) Reset(ctx context.Context) error {
	disk, err := newDisk()
	if err != nil {
		return err
	}
	problem, err := run.AskFor(ctx, a.setDesk, func() error {
		st := Standing{Phase: Empty}
		a.standing.Store(&st)
		return a.commit(func(b *pebble.Batch) error {
			for _, family := range []string{"p", "r"} {
				if err := b.DeleteRange([]byte(family+"/"), []byte(family+"0"), nil); err != nil {
					return err
				}
			}
			if err := b.Set(keyDisk, wire.Pack(disk), nil); err != nil {
				return err
			}
			return b.Set(keyStanding, wire.Pack(st), nil)
		})
	})
	if err == nil {
		err = problem
	}
	if err != nil {
		return err
	}
	for _, t := range a.slots {
		if _, err := run.AskFor(ctx, t.desk, func() bool { t.keep(promise{}); t.anew, t.freed = true, bid{}; return true }); err != nil {
			return err
		}
	}
	a.disk.Store(&disk)
	return nil
}

// spare is what must be free on the disk; pebble itself needs room to tidy up.
const spare = 64 << 20

// full says whether the disk is too full to write to; it votes again when there is room.
func (a *Acceptor) full() bool {
	u, err := a.fs.GetDiskUsage(a.folder)
	return err == nil && u.AvailBytes < spare
}

func (a *Acceptor) commit(fill func(*pebble.Batch) error) error {
	if a.sick.Load() {
		return state.ErrSick
	}
	if a.full() {
		return errors.Wrap(state.ErrSick, "disk is full")
	}
	b := a.db.NewBatch()
	defer b.Close()
	if err := fill(b); err != nil {
		return errors.Wrap(state.ErrSick, err.Error())
	}
	if err := a.synced(b); err != nil {
		a.sick.Store(true)
		return errors.Wrap(state.ErrSick, err.Error())
	}
	return nil
}

// synced hands a batch to pebble and waits until it is on the disk. Why: pebble
// takes batches in one at a time under a mutex, also while a slow disk gives it a new file; whoever waits for that
// waits at our door, where a simulation sees it wait. Syncing is shared by all that are in.
func (a *Acceptor) synced(b *pebble.Batch) error {
	err := func() error {
		a.door <- struct{}{}
		defer func() { <-a.door }()
		return a.db.ApplyNoSyncWait(b, pebble.Sync)
	}()
	if err != nil {
		return err
	}
	return b.SyncWait()
}

func (a *Acceptor) records(slot int) ([]state.Record, error) {
	it, err := a.db.NewIter(bounds(slot))
	if err != nil {
		return nil, err
	}
	var out []state.Record
	for ok := it.First(); ok; ok = it.Next() {
		var r state.Record
		if err := wire.Unpack(it.Value(), &r); err != nil {
			_ = it.Close()
			return nil, errors.Wrapf(err, "record %q", it.Key())
		}
		out = append(out, r)
	}
	return out, it.Close()
}

// vote checks what every vote needs: to be a voter, under the same core set.
func (a *Acceptor) vote(set uint64) (state.Reply, bool) {
	st := a.standing.Load()
	switch {
	case a.sick.Load():
		return state.Reply{Why: state.WhySick, Set: st.Set.Serial}, false
	case st.Phase != Voter:
		return state.Reply{Why: state.WhyVoter, Set: st.Set.Serial}, false
	case set < st.Set.Serial:
		return state.Reply{Why: state.WhySet, Set: st.Set.Serial}, false
	case set > st.Set.Serial:
		return state.Reply{Why: state.WhyBehind, Set: st.Set.Serial}, false
	}
	return state.Reply{Set: st.Set.Serial}, true
}

func (a *Acceptor) onSlot(ctx context.Context, q state.Ask, f func(t *table, r *state.Reply)) (state.Reply, error) {
	if q.Slot < 0 || q.Slot >= state.Slots {
		return state.Reply{}, wire.Drop("bad", fmt.Sprintf("slot %d", q.Slot))
	}
	t := a.slots[q.Slot]
	// Why: a stalled disk must not hold up who asked; what it syncs later counts all the same.
	return run.AskFor(ctx, t.desk, func() state.Reply {
		r, ok := a.vote(q.Set)
		if ok {
			f(t, &r)
		}
		r.Epoch, r.Holder = t.pr.Epoch, t.pr.Holder
		return r
	})
}

// heldAgainst says that a hold may be in use that is not the asker's. Why: while
// one may be, no other holder is promised anything. Every grant was to the holder that is on the disk, so
// after a restart too only that one may have a hold, and may ask for it again.
func (t *table) heldAgainst(from state.Core, now time.Duration) bool {
	return now < time.Duration(t.until.Load()) && !t.pr.Holder.Is(from) && t.pr.Epoch > 0
}

// Peek says whether a promise would be given, and changes nothing. Why: a promise
// given in vain outbids the holder, whose renewals are refused here from then on.
func (a *Acceptor) Peek(ctx context.Context, q state.Ask) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *table, r *state.Reply) {
		if r.OK = !t.heldAgainst(q.From, a.clock.Since()); !r.OK {
			r.Why = state.WhyHeld
		}
	})
}

// Prepare promises a slot to a holder under an epoch above any promised.
func (a *Acceptor) Prepare(ctx context.Context, q state.Ask) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *table, r *state.Reply) {
		now := a.clock.Since()
		if q.Epoch <= t.pr.Epoch || t.over(q.From, q.Epoch) {
			r.Why = state.WhyLower
			return
		}
		if t.heldAgainst(q.From, now) {
			r.Why = state.WhyHeld
			return
		}
		next := t.pr
		next.Epoch, next.Holder = q.Epoch, q.From
		if err := a.commit(func(b *pebble.Batch) error { return b.Set(keyPromise(q.Slot), wire.Pack(next), nil) }); err != nil {
			r.Why = state.WhySick
			return
		}
		recs, err := a.records(q.Slot)
		if err != nil {
			r.Why = state.WhySick
			return
		}
		r.FullBy = t.pr.FullBy
		r.FreeMs = max(0, (now - time.Duration(t.until.Load())).Milliseconds())
		t.keep(next)
		t.anew = false
		t.grant(a.clock.Since() + state.HoldFor)
		r.OK, r.Records, r.Full, r.Serial = true, recs, next.Full, next.Serial
	})
}

// Accept keeps records from the holder of the highest epoch.
func (a *Acceptor) Accept(ctx context.Context, q state.Ask) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *table, r *state.Reply) {
		if q.Epoch < t.pr.Epoch || q.Epoch == t.pr.Epoch && !t.pr.Holder.Is(q.From) {
			r.Why = state.WhyLower
			return
		}
		// Why: a whole table that is older than what came since must not take that away.
		if q.Full && q.Epoch == t.pr.Full && q.At < t.pr.Serial {
			r.OK = true
			return
		}
		next := t.pr
		if q.Epoch > next.Epoch {
			next.Epoch, next.Holder, next.Serial = q.Epoch, q.From, 0
		}
		next.Serial = max(next.Serial, q.At)
		if q.Full {
			next.Full, next.FullBy = q.Epoch, q.From
		}
		err := a.commit(func(b *pebble.Batch) error {
			if q.Full {
				o := bounds(q.Slot)
				if err := b.DeleteRange(o.LowerBound, o.UpperBound, nil); err != nil {
					return err
				}
			}
			for _, rec := range q.Records {
				k := keyRecord(q.Slot, rec.Key)
				if !q.Full {
					var old state.Record
					if found, err := a.read(k, &old); err != nil || found && !rec.Stamp.Newer(old.Stamp) {
						if err != nil {
							return err
						}
						continue
					}
				}
				if err := b.Set(k, wire.Pack(rec), nil); err != nil {
					return err
				}
			}
			return b.Set(keyPromise(q.Slot), wire.Pack(next), nil)
		})
		if err != nil {
			r.Why = state.WhySick
			return
		}
		t.keep(next)
		r.OK = true
	})
}

func (t *table) grant(until time.Duration) { t.until.Store(int64(until)) }

// Promised is whom the slot was promised last.
func (a *Acceptor) Promised(slot int) state.Core {
	if c := a.slots[slot].last.Load(); c != nil {
		return *c
	}
	return state.Core{}
}

// Lapsed is how long no hold of the slot has been granted here; 0 while one is.
func (a *Acceptor) Lapsed(slot int) time.Duration {
	return max(0, a.clock.Since()-time.Duration(a.slots[slot].until.Load()))
}

// Renew prolongs holds; slots promised to others are named as lost.
func (a *Acceptor) Renew(ctx context.Context, q state.Renewal) (state.Renewed, error) {
	out := state.Renewed{Lost: map[int]uint64{}}
	head, ok := a.vote(q.Set)
	out.Set = head.Set
	if !ok {
		return out, wire.Drop(head.Why, "renewal")
	}
	for slot, epoch := range q.Epochs {
		r, err := a.onSlot(ctx, state.Ask{Set: q.Set, From: q.From, Slot: slot, Epoch: epoch}, func(t *table, r *state.Reply) {
			if epoch < t.pr.Epoch || epoch == t.pr.Epoch && !t.pr.Holder.Is(q.From) || t.over(q.From, epoch) {
				return
			}
			if epoch > t.pr.Epoch {
				next := t.pr
				next.Epoch, next.Holder, next.Serial = epoch, q.From, 0
				if err := a.commit(func(b *pebble.Batch) error { return b.Set(keyPromise(slot), wire.Pack(next), nil) }); err != nil {
					return
				}
				t.keep(next)
			}
			t.anew = false
			t.grant(a.clock.Since() + state.HoldFor)
			r.OK = true
		})
		switch {
		case err != nil:
			return out, err
		case r.OK:
			out.Slots = append(out.Slots, slot)
		case r.Epoch > epoch:
			out.Lost[slot] = r.Epoch
		}
	}
	return out, nil
}

// Release ends a hold before its time; the promise stays.
func (a *Acceptor) Release(ctx context.Context, q state.Ask) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *table, r *state.Reply) {
		if !t.over(q.From, q.Epoch) {
			t.freed = bid{q.Epoch, q.From}
		}
		if q.Epoch == t.pr.Epoch && t.pr.Holder.Is(q.From) && !t.anew {
			t.grant(a.clock.Since())
		}
		r.OK = true
	})
}

// Digest sums up the records of a slot.
func (a *Acceptor) Digest(ctx context.Context, q state.Ask) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *table, r *state.Reply) {
		recs, err := a.records(q.Slot)
		if err != nil {
			r.Why = state.WhySick
			return
		}
		r.OK, r.Sum, r.Full = true, Sum(recs), t.pr.Full
	})
}

// Dump gives a whole slot to a core that is being filled.
func (a *Acceptor) Dump(ctx context.Context, q state.Ask) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *table, r *state.Reply) {
		recs, err := a.records(q.Slot)
		if err != nil {
			r.Why = state.WhySick
			return
		}
		r.OK, r.Records, r.Full, r.Serial, r.FullBy = true, recs, t.pr.Full, t.pr.Serial, t.pr.FullBy
	})
}

// Fill takes a slot as read from a majority, before this core votes.
func (a *Acceptor) Fill(ctx context.Context, slot int, replies []state.Reply) error {
	t := a.slots[slot]
	problem, err := run.AskFor(ctx, t.desk, func() error {
		recs, pr := Merge(replies)
		problem := a.commit(func(b *pebble.Batch) error {
			o := bounds(slot)
			if err := b.DeleteRange(o.LowerBound, o.UpperBound, nil); err != nil {
				return err
			}
			for _, rec := range recs {
				if err := b.Set(keyRecord(slot, rec.Key), wire.Pack(rec), nil); err != nil {
					return err
				}
			}
			return b.Set(keyPromise(slot), wire.Pack(pr), nil)
		})
		if problem == nil {
			t.keep(pr)
			t.anew = true
			t.grant(a.clock.Since() + state.HoldFor)
		}
		return problem
	})
	if err == nil {
		err = problem
	}
	return err
}

// Merge is what a majority's answers say of a slot. Records under an epoch
// older than the newest whole table are leftovers of writes nobody was told of.
func Merge(replies []state.Reply) ([]state.Record, promise) {
	var pr promise
	newest := map[string]state.Record{}
	for _, r := range replies {
		if r.Epoch > pr.Epoch {
			pr.Epoch, pr.Holder = r.Epoch, r.Holder
		}
		if r.Full > pr.Full {
			pr.Full, pr.FullBy = r.Full, r.FullBy
		}
		pr.Serial = max(pr.Serial, r.Serial)
	}
	for _, r := range replies {
		for _, rec := range r.Records {
			if old, found := newest[rec.Key]; rec.Stamp.Epoch >= pr.Full && (!found || rec.Stamp.Newer(old.Stamp)) {
				newest[rec.Key] = rec
			}
		}
	}
	out := make([]state.Record, 0, len(newest))
	for _, rec := range newest {
		out = append(out, rec)
		pr.Serial = max(pr.Serial, rec.Stamp.Serial)
	}
	return out, pr
}

// Sum is a digest over records in any order.
func Sum(recs []state.Record) []byte {
	var total [sha256.Size]byte
	for _, r := range recs {
		one := sha256.Sum256(wire.Pack(r))
		for i := range total {
			total[i] ^= one[i]
		}
	}
	return bytes.Clone(total[:])
}

// Serve answers partners on mux.
func (a *Acceptor) Serve(mux *wire.Mux) {
	wire.Handle(mux, "/state/peek", a.Peek)
	wire.Handle(mux, "/state/prepare", a.Prepare)
	wire.Handle(mux, "/state/accept", a.Accept)
	wire.Handle(mux, "/state/renew", a.Renew)
	wire.Handle(mux, "/state/release", a.Release)
	wire.Handle(mux, "/state/digest", a.Digest)
	wire.Handle(mux, "/state/dump", a.Dump)
}
