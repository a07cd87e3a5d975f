// Package owner holds slots of the control state: it takes them under a rising
// epoch, renews its holds, writes through a majority of synced disks and
// repairs partners that missed a write.
package owner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

const (
	beat      = 250 * time.Millisecond
	shotLimit = 900 * time.Millisecond // one message to a partner
	// lapse is how long, times its rank, a core lets a slot go unheld before it takes it out of turn.
	lapse       = time.Second
	repairEvery = 8 // beats between two looks at one slot
)

// Deps is what an owner needs from the rest of the core.
type Deps struct {
	Self     func() state.Core
	Group    *run.Group
	Clock    tick.Clock
	Log      *slog.Logger
	Caller   *wire.Caller
	Acceptor *acceptor.Acceptor
	// Addr is where a voter is reached now; false when it is thought gone.
	Addr func(state.Core) (string, bool)
	// Rank lists the live voters, the one who should hold the slot first.
	Rank func(slot int) []state.Core
	// Behind is told that a voter knows an older core set.
	Behind func(state.Core)
	// Quarantine is how long a new owner gives no orders: what the old one sent
	// may still be on its way.
	Quarantine time.Duration
	// OwnQuarantine is how long after its start a core gives no orders for slots that
	// its earlier life held; 0 where replicas know a controller by its name alone.
	OwnQuarantine time.Duration
	// Handback is how long a slot is kept that another core is preferred for.
	Handback time.Duration
	// OnTake is called in the slot's desk when a slot has been taken.
	OnTake func(slot int, records []state.Record)
}

// Owner is the slots this core holds.
type Owner struct {
	d     Deps
	slots [state.Slots]*slot
	stop  atomic.Bool
	owed  atomic.Int64
	mu    sync.Mutex
	heard map[string]time.Duration // voter: when it last granted us something
	began time.Duration
}

type slot struct {
	o         *Owner
	n         int
	desk      *run.Desk
	epoch     atomic.Uint64
	until     atomic.Int64 // hold good until, on our clock; 0 when not held
	orderFrom atomic.Int64
	freeFor   atomic.Int64 // how long nobody had held the slot for sure when it was taken
	serial    uint64
	table     map[string]state.Record
	seen      uint64 // highest epoch heard of
	waitUntil time.Duration
	strayed   time.Duration // since when another core is preferred
	beats     int
	owes      map[string]bool // partners known to have missed a write
}

// New starts to look for slots to hold.
func New(d Deps) *Owner {
	o := &Owner{d: d, heard: map[string]time.Duration{}, began: d.Clock.Since()}
	for i := range o.slots {
		s := &slot{o: o, n: i, owes: map[string]bool{}, beats: i}
		s.desk = run.NewDesk(d.Group, 256, beat, s.onBeat)
		o.slots[i] = s
	}
	d.Group.Every(beat, o.renew)
	return o
}

// Stop gives up all slots, so that others may have them at once.
func (o *Owner) Stop(ctx context.Context) {
	o.stop.Store(true)
	for _, s := range o.slots {
		_ = s.desk.Ask(ctx, func() { s.giveUp("stopping", true) })
	}
}

// Owed counts writes that partners missed and were handed later.
func (o *Owner) Owed() int64 { return o.owed.Load() }

// Held lists the slots held now with their epochs.
func (o *Owner) Held() map[int]uint64 {
	out := map[int]uint64{}
	for _, s := range o.slots {
		if s.held() {
			out[s.n] = s.epoch.Load()
		}
	}
	return out
}

// Holds says whether this core holds the key now.
func (o *Owner) Holds(key string) bool { return o.slots[state.SlotOf(key)].held() }

// MayOrder says whether this core may send an order for the key now, under
// which epoch, and for how long.
func (o *Owner) MayOrder(key string) (epoch uint64, left time.Duration, ok bool) {
	s := o.slots[state.SlotOf(key)]
	epoch = s.epoch.Load()
	now := o.d.Clock.Since()
	left = time.Duration(s.until.Load()) - now
	return epoch, left, left > 0 && now >= time.Duration(s.orderFrom.Load()) && s.epoch.Load() == epoch
}

// FreeFor is how long nobody had held the slot of a key for sure when it was taken.
func (o *Owner) FreeFor(key string) time.Duration {
	return time.Duration(o.slots[state.SlotOf(key)].freeFor.Load())
}

func (s *slot) held() bool {
	return s.o.d.Clock.Since() < time.Duration(s.until.Load())
}

// Get reads a key under the hold.
func (o *Owner) Get(ctx context.Context, key string) (state.Record, bool, error) {
	s := o.slots[state.SlotOf(key)]
	var rec state.Record
	var found, held bool
	err := s.desk.Ask(ctx, func() {
		rec, found = s.table[key]
		// Why: the hold is looked at after the read, so a late beat cannot give out a value of the past.
		held = s.held()
	})
	if err != nil {
		return rec, false, errors.Wrap(state.ErrNoQuorum, err.Error())
	}
	if !held {
		return state.Record{}, false, state.ErrNotOwner
	}
	return rec, found && !rec.Gone, nil
}

// Update changes a key by f, one change at a time, on a majority of disks.
// f's own error is handed back and nothing is kept.
func (o *Owner) Update(ctx context.Context, key string, f func(old state.Record, found bool) ([]byte, error)) (state.Record, error) {
	s := o.slots[state.SlotOf(key)]
	var rec state.Record
	var problem error
	err := s.desk.Ask(ctx, func() {
		// Why: a caller that has gone was told "nothing kept"; its change must not happen later.
		if ctx.Err() != nil {
			problem = errors.Wrap(state.ErrNoQuorum, "caller gave up waiting")
			return
		}
		if !s.held() {
			problem = state.ErrNotOwner
			return
		}
		old, found := s.table[key]
		value, err := f(old, found && !old.Gone)
		if err != nil {
			problem = err
			return
		}
		rec = state.Record{Key: key, Stamp: state.Stamp{Epoch: s.epoch.Load(), Serial: s.serial + 1}, Value: value}
		problem = s.write([]state.Record{rec}, false)
	})
	// Why: a command that was given up on has not run and will not, so nothing was kept, and that can be said.
	if err != nil {
		return rec, errors.Wrap(state.ErrNoQuorum, err.Error())
	}
	return rec, problem
}

// write sends records to every voter and returns when a majority synced them.
func (s *slot) write(recs []state.Record, full bool) error {
	o := s.o
	set := o.d.Acceptor.Standing().Set
	at := s.serial
	for _, r := range recs {
		at = max(at, r.Stamp.Serial)
	}
	q := state.Ask{Set: set.Serial, From: o.d.Self(), Slot: s.n, Epoch: s.epoch.Load(), At: at, Full: full, Records: recs}
	yes, noes, missed := o.poll(set, "/state/accept", q, o.d.Acceptor.Accept, true)
	for _, c := range missed {
		s.owes[c.Name] = true
	}
	if len(yes) < set.Quorum() {
		for _, n := range noes {
			s.seen = max(s.seen, n.Epoch)
		}
		// Why: a majority said no and the rest are too few to keep it: surely not kept. Else nobody can know.
		surely := len(yes) == 0 && len(noes) >= set.Quorum()
		s.giveUp("write found no majority", false)
		if surely {
			return state.ErrNoQuorum
		}
		return state.ErrUnknown
	}
	s.serial = at
	for _, r := range recs {
		s.table[r.Key] = r
	}
	if !s.held() {
		// Why: it is kept, but another may have taken over since; only a new look can tell.
		return state.ErrUnknown
	}
	return nil
}

// poll asks every voter side by side. It returns once a majority agreed or all
// have answered; missed are voters without a yes at that moment.
func (o *Owner) poll(set state.CoreSet, path string, q state.Ask, local func(context.Context, state.Ask) (state.Reply, error), early bool) (yes, noes []state.Reply, missed []state.Core) {
	type answer struct {
		i   int
		r   state.Reply
		err error
	}
	self := o.d.Self()
	ch := run.Fan(o.d.Group, len(set.Cores), func(ctx context.Context, i int) answer {
		ctx, cancel := context.WithTimeout(ctx, shotLimit)
		defer cancel()
		c := set.Cores[i]
		if c.Is(self) {
			r, err := local(ctx, q)
			return answer{i, r, err}
		}
		addr, ok := o.d.Addr(c)
		if !ok {
			return answer{i, state.Reply{}, wire.ErrUnreachable}
		}
		r, err := wire.Call[state.Ask, state.Reply](ctx, o.d.Caller, addr, path, q)
		return answer{i, r, err}
	})
	agreed := map[int]bool{}
	for range set.Cores {
		a := <-ch
		switch {
		case a.err != nil:
		case a.r.OK:
			yes = append(yes, a.r)
			agreed[a.i] = true
		default:
			noes = append(noes, a.r)
			if a.r.Why == state.WhyBehind {
				o.d.Behind(set.Cores[a.i])
			}
		}
		if early && len(yes) >= set.Quorum() {
			break
		}
	}
	for i, c := range set.Cores {
		if !agreed[i] {
			missed = append(missed, c)
		}
	}
	return yes, noes, missed
}

// giveUp stops holding the slot; release tells the grantors.
func (s *slot) giveUp(why string, release bool) {
	wasHeld := s.until.Swap(0) > 0
	if !wasHeld {
		return
	}
	o := s.o
	o.d.Log.Info("slot given up", "slot", s.n, "epoch", s.epoch.Load(), "why", why)
	s.table, s.waitUntil = nil, o.d.Clock.Since()+time.Duration(200+rand.IntN(400))*time.Millisecond
	if release {
		set := o.d.Acceptor.Standing().Set
		q := state.Ask{Set: set.Serial, From: o.d.Self(), Slot: s.n, Epoch: s.epoch.Load()}
		o.poll(set, "/state/release", q, o.d.Acceptor.Release, false)
	}
}

func (s *slot) onBeat() {
	o := s.o
	s.beats++
	now := o.d.Clock.Since()
	if s.table != nil && !s.held() {
		s.giveUp("hold ran out", false)
		s.table = nil
	}
	st := o.d.Acceptor.Standing()
	if st.Phase != acceptor.Voter || o.stop.Load() {
		return
	}
	if !o.d.Acceptor.Keeps() {
		s.giveUp("disk", true)
		return
	}
	rank := o.d.Rank(s.n)
	me := 0
	for me < len(rank) && !rank[me].Is(o.d.Self()) {
		me++
	}
	known := me < len(rank)
	switch {
	case s.table == nil && known && now >= s.waitUntil && (me == 0 || s.heldBeforeStart(now) || o.d.Acceptor.Lapsed(s.n) > lapse*time.Duration(me)):
		// Why: who should hold it may be alive for some and cut off from the other cores; a slot that nobody
		// holds goes to the next in rank.
		s.take(st.Set)
	case s.table != nil && known && me > 0 && o.HeardFor(rank[0]) < 2*time.Second:
		// Why: opinions of who is alive flap; a slot moves only when one holds for a while, and only to a
		// core that grants us our own holds.
		if s.strayed == 0 {
			s.strayed = now
		} else if now-s.strayed > o.d.Handback {
			s.giveUp("another core is preferred", true)
		}
	default:
		s.strayed = 0
	}
	if s.table != nil && (s.beats%repairEvery == 0 || len(s.owes) > 0 && s.beats%2 == 0) {
		s.repair(st.Set)
	}
}

// heldBeforeStart says that this core held the slot last, before it was started.
// Why: the others keep everybody else out until that hold has run out.
func (s *slot) heldBeforeStart(now time.Duration) bool {
	return now-s.o.began < state.HoldFor && s.o.d.Acceptor.Promised(s.n).Is(s.o.d.Self())
}

// free asks whether a majority would promise the slot, and learns the epochs that
// they have seen.
func (s *slot) free(set state.CoreSet) bool {
	q := state.Ask{Set: set.Serial, From: s.o.d.Self(), Slot: s.n}
	yes, noes, _ := s.o.poll(set, "/state/peek", q, s.o.d.Acceptor.Peek, true)
	for _, r := range append(noes, yes...) {
		s.seen = max(s.seen, r.Epoch)
	}
	return len(yes) >= set.Quorum()
}

// take asks a majority for the slot, carries their newest records forward
// under the new epoch, and only then serves.
func (s *slot) take(set state.CoreSet) {
	o := s.o
	if !s.free(set) {
		s.waitUntil = o.d.Clock.Since() + time.Duration(100+rand.IntN(200))*time.Millisecond
		return
	}
	s.seen++
	firstTime := s.epoch.Load() == 0
	before := o.d.Clock.Since()
	q := state.Ask{Set: set.Serial, From: o.d.Self(), Slot: s.n, Epoch: s.seen}
	// Why: a majority's promises are enough; a core that is cut off must not hold them up.
	yes, noes, _ := o.poll(set, "/state/prepare", q, o.d.Acceptor.Prepare, true)
	held := false
	for _, n := range noes {
		s.seen = max(s.seen, n.Epoch)
		held = held || n.Why == state.WhyHeld
	}
	if len(yes) < set.Quorum() {
		if len(yes) > 0 {
			// Why: what was granted in vain is in the next candidate's way; nobody need wait for it to be told.
			o.d.Group.Go(func(context.Context) { o.poll(set, "/state/release", q, o.d.Acceptor.Release, false) })
		}
		wait := 100 + rand.IntN(300)
		if held {
			wait = 200 + rand.IntN(200)
		}
		s.waitUntil = o.d.Clock.Since() + time.Duration(wait)*time.Millisecond
		return
	}
	recs, pr := acceptor.Merge(yes)
	s.table = map[string]state.Record{}
	s.serial = pr.Serial
	s.epoch.Store(q.Epoch)
	s.strayed = 0
	s.owes = map[string]bool{}
	s.serial++
	for i := range recs {
		recs[i].Stamp = state.Stamp{Epoch: q.Epoch, Serial: recs[i].Stamp.Serial}
	}
	s.until.Store(int64(before + state.HoldFor - state.HoldMargin))
	// Why: whoever held the slot before may have orders on the way; a first owner has none to wait out.
	wonAt := o.d.Clock.Since()
	s.orderFrom.Store(int64(wonAt + o.d.Quarantine - freeFor(yes)))
	s.freeFor.Store(int64(freeFor(yes)))
	if q.Epoch == 1 || s.ownBefore(yes) {
		s.orderFrom.Store(int64(wonAt))
		if q.Epoch > 1 {
			s.orderFrom.Store(int64(max(wonAt, o.began+o.d.OwnQuarantine)))
		}
		// Why: what an earlier life of this process did was over when this one began; what it did itself was not.
		if firstTime {
			s.freeFor.Store(int64(max(freeFor(yes), min(wonAt-o.began, state.HoldFor))))
		}
	}
	if err := s.write(recs, true); err != nil {
		o.d.Log.Info("slot not taken", "slot", s.n, "epoch", q.Epoch, "problem", err)
		s.giveUp("table not kept", true)
		s.table = nil
		return
	}
	o.d.Log.Info("slot taken", "slot", s.n, "epoch", q.Epoch, "records", len(recs))
	if o.d.OnTake != nil {
		o.d.OnTake(s.n, recs)
	}
}

// freeFor is how long nobody has held the slot for sure. Why: who held it last
// needed grants from a majority, one of which is among those that answered; its hold ended before
// the last of theirs, and with the hold its orders.
func freeFor(yes []state.Reply) time.Duration {
	free := time.Duration(-1)
	for _, r := range yes {
		if d := time.Duration(r.FreeMs) * time.Millisecond; free < 0 || d < free {
			free = d
		}
	}
	return max(0, free)
}

// ownBefore says that this core was the last to hold the slot. Why: whoever holds
// one has first written the whole table to a majority, one of which has answered; a
// promise alone may have been given in vain. What this life ordered need not be waited out, and what an
// earlier one ordered for OwnQuarantine only.
func (s *slot) ownBefore(yes []state.Reply) bool {
	var last state.Reply
	for _, r := range yes {
		if r.Full > last.Full {
			last = r
		}
	}
	return last.Full > 0 && last.FullBy.Name == s.o.d.Self().Name
}

// repair hands partners what they missed: those with a hint, and those whose
// digest differs.
func (s *slot) repair(set state.CoreSet) {
	o := s.o
	all := make([]state.Record, 0, len(s.table))
	for _, r := range s.table {
		all = append(all, r)
	}
	sum := acceptor.Sum(all)
	self := o.d.Self()
	type finding struct {
		c      state.Core
		differ bool
		ok     bool
	}
	ch := run.Fan(o.d.Group, len(set.Cores), func(ctx context.Context, i int) finding {
		c := set.Cores[i]
		if c.Is(self) {
			return finding{c: c, ok: true}
		}
		addr, ok := o.d.Addr(c)
		if !ok {
			return finding{c: c}
		}
		ctx, cancel := context.WithTimeout(ctx, shotLimit)
		defer cancel()
		q := state.Ask{Set: set.Serial, From: self, Slot: s.n, Epoch: s.epoch.Load()}
		r, err := wire.Call[state.Ask, state.Reply](ctx, o.d.Caller, addr, "/state/digest", q)
		if err != nil || !r.OK {
			if err == nil && r.Why == state.WhyBehind {
				o.d.Behind(c)
			}
			return finding{c: c}
		}
		if string(r.Sum) == string(sum) {
			return finding{c: c, ok: true}
		}
		q.Full, q.At, q.Records = true, s.serial, all
		r, err = wire.Call[state.Ask, state.Reply](ctx, o.d.Caller, addr, "/state/accept", q)
		return finding{c: c, differ: true, ok: err == nil && r.OK}
	})
	for range set.Cores {
		f := <-ch
		if f.ok {
			delete(s.owes, f.c.Name)
			if f.differ {
				o.owed.Add(1)
			}
		}
	}
}

// HeardFor is how long ago a voter granted us something.
func (o *Owner) HeardFor(c state.Core) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found := o.heard[c.Name]
	if !found {
		return time.Hour
	}
	return o.d.Clock.Since() - at
}

// renew prolongs all holds with one message to each voter.
func (o *Owner) renew(ctx context.Context) {
	set := o.d.Acceptor.Standing().Set
	self := o.d.Self()
	// Why: the hold is measured from before the renewal was sent, so it ends here before it ends there.
	before := o.d.Clock.Since()
	epochs := map[int]uint64{}
	for _, s := range o.slots {
		if s.held() {
			epochs[s.n] = s.epoch.Load()
		}
	}
	if len(epochs) == 0 || o.stop.Load() {
		return
	}
	ch := run.Fan(o.d.Group, len(set.Cores), func(ctx context.Context, i int) state.Renewed {
		ctx, cancel := context.WithTimeout(ctx, shotLimit)
		defer cancel()
		q := state.Renewal{Set: set.Serial, From: self, Epochs: epochs}
		c := set.Cores[i]
		var r state.Renewed
		var err error
		if c.Is(self) {
			r, err = o.d.Acceptor.Renew(ctx, q)
		} else if addr, ok := o.d.Addr(c); ok {
			r, err = wire.Call[state.Renewal, state.Renewed](ctx, o.d.Caller, addr, "/state/renew", q)
			if wire.Code(err) == state.WhyBehind {
				o.d.Behind(c)
			}
		} else {
			return state.Renewed{}
		}
		if err != nil {
			return state.Renewed{}
		}
		o.mu.Lock()
		o.heard[c.Name] = before
		o.mu.Unlock()
		return r
	})
	granted := map[int]int{}
	for range set.Cores {
		r := <-ch
		for _, n := range r.Slots {
			granted[n]++
			if granted[n] == set.Quorum() {
				s := o.slots[n]
				old := s.until.Load()
				// Why: a hold given up meanwhile must not come back to life.
				if old > 0 && s.epoch.Load() == epochs[n] && int64(before+state.HoldFor-state.HoldMargin) > old {
					s.until.CompareAndSwap(old, int64(before+state.HoldFor-state.HoldMargin))
				}
			}
		}
	}
}
