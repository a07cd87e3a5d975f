// Package coreset forms the first set of voters, and changes it one member at
// a time: agreed by a majority of the old set, then filled, then voting.
package coreset

import (
	"context"
	"log/slog"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
	"drumstall.example/internal/state/owner"
)

// Key is where a change of the core set is decided.
const Key = "coreset"

const (
	limit = 2 * time.Second // of one look at the set
	// callLimit is how long one message to another core may take.
	callLimit = 900 * time.Millisecond
)

// Deps is what the slice needs from the rest of the core.
type Deps struct {
	Self     func() state.Core
	Want     int      // how many cores the first formation waits for; 0 goes by Founders, and the set changes unattended
	Founders []string // addresses of the cores that form the first set
	MayFound bool     // this start may be the first of all
	Target   int      // size that an unattended set is brought back to
	Replaces string   // name of the member whose place this core takes
	Group    *run.Group
	Log      *slog.Logger
	Caller   *wire.Caller
	Acceptor *acceptor.Acceptor
	Owner    *owner.Owner
	// Live are the cores thought alive, with the phase each reports.
	Live func() map[state.Core]acceptor.Phase
	Addr func(state.Core) (string, bool)
	// Gone says whether a voter has left on purpose, and how long it has been away.
	Gone func(state.Core) (left bool, away time.Duration)
	// Heard is how long ago a voter answered this core; an hour or more is never.
	Heard func(state.Core) time.Duration
}

// Keeper keeps the core set.
type Keeper struct {
	d     Deps
	desk  *run.Desk
	beats int

	stopped atomic.Bool
}

const (
	// goneAfter is how long a voter must have been away before an unattended set goes on without it.
	goneAfter = 2500 * time.Millisecond
	// doubtAfter is how long a voter must not have been heard for nobody to be taken in beside it.
	doubtAfter = 700 * time.Millisecond
	// settleBeats is how long a core looks around before it thinks of anybody as gone.
	settleBeats = 12
	// lookBeats is how often a voter asks another whether it knows a newer set.
	lookBeats = 4
)

// unattended says that the set changes without an operator.
func (k *Keeper) unattended() bool { return k.d.Want == 0 }

// Adoption hands over a newer set.
type Adoption struct {
	Set   state.CoreSet  `cbor:"1,keyasint"`
	Old   state.CoreSet  `cbor:"2,keyasint"`
	Phase acceptor.Phase `cbor:"3,keyasint,omitempty"` // of whoever answers for itself
}

// Joining asks for a place in the set.
type Joining struct {
	Core     state.Core `cbor:"1,keyasint"`
	Replaces string     `cbor:"2,keyasint"`
}

// Formation is the first set, offered and then made firm.
type Formation struct {
	Set  state.CoreSet `cbor:"1,keyasint"`
	Firm bool          `cbor:"2,keyasint"`
}

// None is an empty answer.
type None struct{}

// New starts to keep the core set.
func New(d Deps, mux *wire.Mux) *Keeper {
	k := &Keeper{d: d}
	wire.Handle(mux, "/state/form", k.form)
	wire.Handle(mux, "/state/adopt", k.adopt)
	wire.Handle(mux, "/state/join", k.join)
	wire.Handle(mux, "/state/set", func(context.Context, None) (Adoption, error) {
		st := d.Acceptor.Standing()
		return Adoption{Set: st.Set, Old: st.Old, Phase: st.Phase}, nil
	})
	k.desk = run.NewDesk(d.Group, 32, 500*time.Millisecond, k.onBeat)
	return k
}

// Stop leaves the set as it is from now on. Why: a core that is going away must not
// come back as a new member when the others go on without it.
func (k *Keeper) Stop() { k.stopped.Store(true) }

func (k *Keeper) onBeat() {
	if k.stopped.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(k.d.Group.Context(), limit)
	defer cancel()
	st := k.d.Acceptor.Standing()
	self := k.d.Self()
	k.beats++
	switch st.Phase {
	case acceptor.Empty, acceptor.Pending:
		live := k.d.Live()
		for c, phase := range live {
			// Why: where a fleet is formed already, an empty disk is a new member, never a founder.
			if phase == acceptor.Voter || phase == acceptor.Filling {
				if k.lookForUs(ctx, c) {
					return
				}
				if st.Phase == acceptor.Empty {
					k.askToJoin(ctx, c)
				}
				return
			}
		}
		k.found(ctx, st, live)
	case acceptor.Filling:
		k.fill(ctx, st)
		if k.unattended() {
			k.catchUp(ctx, st)
		}
	case acceptor.Voter:
		k.follow(ctx, st)
		switch {
		case !st.Set.Has(self) && k.unattended():
			k.d.Log.Warn("this core was replaced in the core set; it comes back as a new member", "set", st.Set.Serial)
			if err := k.d.Acceptor.Reset(ctx); err != nil {
				k.d.Log.Warn("reset", "error", err)
			}
		case !st.Set.Has(self):
			k.d.Log.Warn("this core was replaced in the core set", "set", st.Set.Serial)
		case k.unattended():
			k.catchUp(ctx, st)
			k.trim(ctx, st)
		}
	}
}

// catchUp asks another core for its set now and then. Why: one that was away
// while the set went on without it is told by nobody.
func (k *Keeper) catchUp(ctx context.Context, st acceptor.Standing) {
	if k.beats%lookBeats != 0 {
		return
	}
	for c := range k.d.Live() {
		if _, ok := k.d.Addr(c); !ok || c.Is(k.d.Self()) {
			continue
		}
		a, err := ask[None, Adoption](ctx, k, c, "/state/set", None{})
		if err != nil || a.Phase != acceptor.Voter || !a.Set.Has(c) || a.Set.Serial <= st.Set.Serial {
			return
		}
		// Why: a core that was let go of while it was being filled is no member, and asks for a place again.
		if st.Phase == acceptor.Filling && !a.Set.Has(k.d.Self()) {
			_ = k.d.Acceptor.Reset(ctx)
			return
		}
		_, _ = k.adopt(ctx, a)
		return
	}
}

// trim takes a voter that is gone out of a set that is larger than it need be.
// Why: each voter that does not answer makes a majority harder to find.
func (k *Keeper) trim(ctx context.Context, st acceptor.Standing) {
	if !k.d.Owner.Holds(Key) || k.beats < settleBeats || len(st.Set.Cores) <= k.d.Target {
		return
	}
	lost, found := k.lost(st.Set)
	if !found {
		return
	}
	next := state.CoreSet{Serial: st.Set.Serial + 1}
	for _, c := range st.Set.Cores {
		if !c.Is(lost) {
			next.Cores = append(next.Cores, c)
		}
	}
	if err := k.decide(ctx, func(set state.CoreSet) (state.CoreSet, error) {
		if set.Serial != st.Set.Serial {
			return set, wire.Drop("busy", "the set has changed")
		}
		return next, nil
	}); err == nil {
		k.d.Log.Info("core set shrinks", "serial", next.Serial, "without", lost.Name)
	}
}

// lost is the voter that has been away longest, if one is gone.
func (k *Keeper) lost(set state.CoreSet) (state.Core, bool) {
	var lost state.Core
	longest := time.Duration(0)
	for _, c := range set.Cores {
		if c.Is(k.d.Self()) {
			continue
		}
		if left, away := k.d.Gone(c); (left || away > goneAfter) && away > longest {
			lost, longest = c, away
		}
	}
	return lost, longest > 0
}

// decide changes the set through a majority of the old one and spreads it.
func (k *Keeper) decide(ctx context.Context, change func(set state.CoreSet) (state.CoreSet, error)) error {
	var next state.CoreSet
	_, err := k.d.Owner.Update(ctx, Key, func(old state.Record, found bool) ([]byte, error) {
		set := k.d.Acceptor.Standing().Set
		if found {
			var kept state.CoreSet
			if err := wire.Unpack(old.Value, &kept); err == nil && kept.Serial > set.Serial {
				return nil, wire.Drop("busy", "a change is under way")
			}
		}
		var err error
		if next, err = change(set); err != nil {
			return nil, err
		}
		return wire.Pack(next), nil
	})
	if err != nil {
		return err
	}
	k.spread(ctx, next)
	return nil
}

// lookForUs adopts a formed set that counts us as a member: our formation
// became firm elsewhere, or our joining was agreed.
func (k *Keeper) lookForUs(ctx context.Context, c state.Core) bool {
	a, err := ask[None, Adoption](ctx, k, c, "/state/set", None{})
	if err != nil || !a.Set.Has(k.d.Self()) {
		return false
	}
	if st := k.d.Acceptor.Standing(); st.Phase == acceptor.Pending && alike(st.Set, a.Set) {
		_, err = k.form(ctx, Formation{Set: a.Set, Firm: true})
	} else {
		_, err = k.adopt(ctx, a)
	}
	return err == nil
}

func (k *Keeper) found(ctx context.Context, st acceptor.Standing, live map[state.Core]acceptor.Phase) {
	cores, ready := k.founders(st, live)
	if !ready {
		return
	}
	sort.Slice(cores, func(i, j int) bool { return cores[i].Name < cores[j].Name })
	for i := 1; i < len(cores); i++ {
		if cores[i].Name == cores[i-1].Name {
			return
		}
	}
	// Why: one founder at a time; the others only agree.
	if !cores[0].Is(k.d.Self()) {
		return
	}
	set, ok := k.offer(ctx, cores)
	if !ok {
		return
	}
	// Why: all founders agree on disk before any votes, so two sets can never both be formed.
	for _, firm := range []bool{false, true} {
		for _, c := range set.Cores {
			f := Formation{Set: set, Firm: firm}
			var err error
			if c.Is(k.d.Self()) {
				_, err = k.form(ctx, f)
			} else if addr, ok := k.d.Addr(c); ok {
				_, err = wire.Call[Formation, None](ctx, k.d.Caller, addr, "/state/form", f)
			} else {
				err = wire.ErrUnreachable
			}
			if err != nil {
				k.d.Log.Info("formation waits", "for", c.Name, "firm", firm, "problem", err)
				if !firm {
					return
				}
			}
		}
	}
}

// founders are the cores that form the first set, once all of them are there.
func (k *Keeper) founders(st acceptor.Standing, live map[state.Core]acceptor.Phase) ([]state.Core, bool) {
	var cores []state.Core
	if !k.unattended() {
		for c := range live {
			cores = append(cores, c)
		}
		return cores, len(live) == k.d.Want
	}
	// Why: a core that starts empty later must never found a second fleet; one that had agreed to found goes on.
	if !k.d.MayFound && st.Phase != acceptor.Pending {
		return nil, false
	}
	for c := range live {
		if slices.Contains(k.d.Founders, c.Addr) {
			cores = append(cores, c)
		}
	}
	return cores, len(cores) > 0 && len(cores) == len(k.d.Founders)
}

// offer is the set to be formed from these cores: the one that all have agreed
// to, or else one under a higher serial than any of them has.
func (k *Keeper) offer(ctx context.Context, cores []state.Core) (state.CoreSet, bool) {
	set := state.CoreSet{Cores: cores}
	agreed := false
	for _, c := range cores {
		st := k.d.Acceptor.Standing()
		theirs := Adoption{Set: st.Set, Phase: st.Phase}
		if !c.Is(k.d.Self()) {
			addr, ok := k.d.Addr(c)
			if !ok {
				return set, false
			}
			var err error
			if theirs, err = wire.Call[None, Adoption](ctx, k.d.Caller, addr, "/state/set", None{}); err != nil {
				return set, false
			}
		}
		// Why: what the others tell of each other may be old; one that votes by now ends all founding.
		if theirs.Phase != acceptor.Empty && theirs.Phase != acceptor.Pending {
			return set, false
		}
		if n := theirs.Set.Serial; n > set.Serial {
			set.Serial, agreed = n, alike(theirs.Set, state.CoreSet{Serial: n, Cores: cores})
		}
	}
	if !agreed {
		set.Serial++
	}
	return set, true
}

// alike says whether two sets are the same.
func alike(a, b state.CoreSet) bool {
	if a.Serial != b.Serial || len(a.Cores) != len(b.Cores) {
		return false
	}
	for _, c := range a.Cores {
		if !b.Has(c) {
			return false
		}
	}
	return true
}

// refounds says whether next may take the place of a formation that was agreed
// to and never became firm: the same machines, of which a minority came back with other disks.
// Why: a majority of the old set stands here or there as agreed and not voting, so nobody can have been
// acknowledged anything under it; and under the lower serial nobody ever will be.
func refounds(old, next state.CoreSet) bool {
	lost := 0
	for _, c := range old.Cores {
		if next.Has(c) {
			continue
		}
		anew := false
		for _, n := range next.Cores {
			anew = anew || n.Name == c.Name
		}
		if !anew {
			return false
		}
		lost++
	}
	return next.Serial > old.Serial && len(next.Cores) == len(old.Cores) && lost < old.Quorum()
}

func (k *Keeper) form(ctx context.Context, f Formation) (None, error) {
	why := ""
	_, err := k.d.Acceptor.SetStanding(ctx, func(st acceptor.Standing) (acceptor.Standing, bool) {
		same := alike(st.Set, f.Set)
		switch {
		case !f.Set.Has(k.d.Self()) || f.Set.Serial < 1:
			why = "not a member"
		case st.Phase == acceptor.Empty && !f.Firm:
			return acceptor.Standing{Phase: acceptor.Pending, Set: f.Set}, true
		case st.Phase == acceptor.Pending && same && f.Firm:
			return acceptor.Standing{Phase: acceptor.Voter, Set: f.Set}, true
		case st.Phase == acceptor.Pending && !f.Firm && refounds(st.Set, f.Set):
			return acceptor.Standing{Phase: acceptor.Pending, Set: f.Set}, true
		case same:
		default:
			why = "agreed to another set"
		}
		return st, false
	})
	if err == nil && why != "" {
		err = wire.Drop("formation", why)
	}
	return None{}, err
}

// askToJoin asks any core of a formed fleet for a place.
func (k *Keeper) askToJoin(ctx context.Context, c state.Core) {
	addr, ok := k.d.Addr(c)
	if !ok {
		return
	}
	q := Joining{Core: k.d.Self(), Replaces: k.d.Replaces}
	if _, err := wire.Call[Joining, None](ctx, k.d.Caller, addr, "/state/join", q); err != nil {
		k.d.Log.Info("asked to join", "at", c.Name, "problem", err)
	}
}

// join is answered by the owner of the core set; others pass it on.
func (k *Keeper) join(ctx context.Context, q Joining) (None, error) {
	if !k.d.Owner.Holds(Key) {
		for c := range k.d.Live() {
			if addr, ok := k.d.Addr(c); ok && !c.Is(k.d.Self()) {
				a, err := ask[None, map[int]uint64](ctx, k, c, "/state/held", None{})
				if _, holds := a[state.SlotOf(Key)]; err == nil && holds {
					return wire.Call[Joining, None](ctx, k.d.Caller, addr, "/state/join", q)
				}
			}
		}
		return None{}, wire.Drop("not-owner", "nobody holds the core set")
	}
	err := k.decide(ctx, func(set state.CoreSet) (state.CoreSet, error) {
		if set.Has(q.Core) {
			return set, nil
		}
		if k.unattended() {
			return k.admit(set, q.Core)
		}
		return k.replace(set, q)
	})
	if err != nil {
		return None{}, err
	}
	k.d.Log.Info("core set changes", "for", q.Core.Name)
	return None{}, nil
}

// replace gives a core the place of the member that it names, or of its own past.
func (k *Keeper) replace(set state.CoreSet, q Joining) (state.CoreSet, error) {
	name := q.Replaces
	if name == "" {
		name = q.Core.Name
	}
	next := state.CoreSet{Serial: set.Serial + 1}
	replaced := false
	for _, c := range set.Cores {
		if c.Name != name {
			next.Cores = append(next.Cores, c)
			continue
		}
		if _, alive := k.d.Live()[c]; alive {
			return next, wire.Drop("alive", "member "+name+" is alive; it is not replaced")
		}
		next.Cores = append(next.Cores, q.Core)
		replaced = true
	}
	// Why: after a rescue the set is smaller than it should be, and takes in whoever comes.
	if !replaced && k.d.Replaces == "" && len(set.Cores) < k.d.Want {
		next.Cores = append(next.Cores, q.Core)
		replaced = true
	}
	if !replaced {
		return next, wire.Drop("unknown", "no member "+name+"; start the core with --replaces")
	}
	return next, nil
}

// admit takes a core in: in the place of its own past, of a voter that is gone,
// or beside the others.
func (k *Keeper) admit(set state.CoreSet, joiner state.Core) (state.CoreSet, error) {
	out, found := k.lost(set)
	for _, c := range set.Cores {
		if c.Name == joiner.Name {
			out, found = c, true
		}
	}
	if !found && k.doubts(set) {
		return set, wire.Drop("doubt", "a member may be gone; its place is given when that is sure")
	}
	next := state.CoreSet{Serial: set.Serial + 1}
	for _, c := range set.Cores {
		if !found || !c.Is(out) {
			next.Cores = append(next.Cores, c)
		}
	}
	next.Cores = append(next.Cores, joiner)
	return next, nil
}

// doubts says that a voter is silent and may be gone. Why: a set that grew beside
// one that is gone would need more of the others for a majority, until it is let go of.
func (k *Keeper) doubts(set state.CoreSet) bool {
	for _, c := range set.Cores {
		if c.Is(k.d.Self()) {
			continue
		}
		// Why: one that was never heard has only just come.
		if heard := k.d.Heard(c); heard > doubtAfter && heard < time.Hour {
			return true
		}
	}
	return false
}

// follow spreads a decided change that its author could not finish.
func (k *Keeper) follow(ctx context.Context, st acceptor.Standing) {
	if !k.d.Owner.Holds(Key) {
		return
	}
	rec, found, err := k.d.Owner.Get(ctx, Key)
	if err != nil || !found {
		return
	}
	var set state.CoreSet
	if wire.Unpack(rec.Value, &set) == nil && set.Serial > st.Set.Serial {
		k.spread(ctx, set)
	}
}

func (k *Keeper) spread(ctx context.Context, next state.CoreSet) {
	old := k.d.Acceptor.Standing().Set
	if old.Serial >= next.Serial {
		old = k.d.Acceptor.Standing().Old
	}
	a := Adoption{Set: next, Old: old}
	to := append(append([]state.Core{}, old.Cores...), next.Cores...)
	// Why: a voter that is gone without a word must not keep the others from being told.
	told := run.Fan(k.d.Group, len(to), func(ctx context.Context, i int) bool {
		if to[i].Is(k.d.Self()) {
			_, _ = k.adopt(ctx, a)
		} else {
			k.tell(ctx, to[i], a)
		}
		return true
	})
	for range to {
		<-told
	}
}

func (k *Keeper) tell(ctx context.Context, c state.Core, a Adoption) {
	_, _ = ask[Adoption, None](ctx, k, c, "/state/adopt", a)
}

// Rescue makes this core the only voter, after an operator has said that the
// others' disks are lost for good. What only they had synced is lost with them.
func (k *Keeper) Rescue(ctx context.Context, lost []string, serial uint64) (state.CoreSet, error) {
	named := map[string]bool{}
	for _, n := range lost {
		named[n] = true
	}
	for c := range k.d.Live() {
		if !c.Is(k.d.Self()) && named[c.Name] && k.d.Acceptor.Standing().Set.Has(c) {
			return state.CoreSet{}, wire.Drop("alive", c.Name+" is alive")
		}
	}
	why := ""
	st, err := k.d.Acceptor.SetStanding(ctx, func(st acceptor.Standing) (acceptor.Standing, bool) {
		// Why: safe to run again: the set it made is the set it finds.
		if len(st.Set.Cores) == 1 && st.Set.Has(k.d.Self()) {
			return st, false
		}
		if st.Phase != acceptor.Voter || st.Set.Serial != serial || !st.Set.Has(k.d.Self()) {
			why = "the core set is not the one named"
			return st, false
		}
		for _, c := range st.Set.Cores {
			if !c.Is(k.d.Self()) && !named[c.Name] {
				why = c.Name + " is not named as lost"
				return st, false
			}
		}
		// Why: a gap in the serials keeps a change that was under way from meeting it.
		return acceptor.Standing{Phase: acceptor.Voter, Old: st.Set, Set: state.CoreSet{Serial: st.Set.Serial + 1000, Cores: []state.Core{k.d.Self()}}}, true
	})
	if err == nil && why != "" {
		err = wire.Drop("refused", why)
	}
	return st.Set, err
}

// Behind hands our set to a voter that knows an older one.
func (k *Keeper) Behind(c state.Core) {
	_ = k.desk.Tell(func() {
		ctx, cancel := context.WithTimeout(k.d.Group.Context(), limit)
		defer cancel()
		st := k.d.Acceptor.Standing()
		k.tell(ctx, c, Adoption{Set: st.Set, Old: st.Old})
	})
}

func (k *Keeper) adopt(ctx context.Context, a Adoption) (None, error) {
	_, err := k.d.Acceptor.SetStanding(ctx, func(st acceptor.Standing) (acceptor.Standing, bool) {
		if a.Set.Serial <= st.Set.Serial || len(a.Set.Cores) == 0 {
			return st, false
		}
		if st.Phase == acceptor.Empty || st.Phase == acceptor.Pending || st.Phase == acceptor.Filling {
			if !a.Set.Has(k.d.Self()) {
				return st, false
			}
			return acceptor.Standing{Phase: acceptor.Filling, Set: a.Set, Old: a.Old}, true
		}
		return acceptor.Standing{Phase: acceptor.Voter, Set: a.Set, Old: st.Set}, true
	})
	return None{}, err
}

// fill reads every slot from a majority of the old set, each of which already
// refuses the old serial, and only then votes.
func (k *Keeper) fill(ctx context.Context, st acceptor.Standing) {
	for slot := range state.Slots {
		replies, outdated := k.dumps(ctx, st, slot)
		if outdated {
			return
		}
		if len(replies) < st.Old.Quorum() {
			k.d.Log.Info("filling waits for a majority", "slot", slot, "have", len(replies))
			return
		}
		if err := k.d.Acceptor.Fill(ctx, slot, replies); err != nil {
			k.d.Log.Error("filling", "slot", slot, "problem", err)
			return
		}
	}
	_, _ = k.d.Acceptor.SetStanding(ctx, func(now acceptor.Standing) (acceptor.Standing, bool) {
		if now.Phase != acceptor.Filling || now.Set.Serial != st.Set.Serial {
			return now, false
		}
		now.Phase = acceptor.Voter
		return now, true
	})
	k.d.Log.Info("filled; votes from now on", "set", st.Set.Serial)
}

// dumps asks the voters of the old set side by side for a slot, until a majority has
// given it. Why: one of them may be gone without a word, and a call to it takes its whole time.
// outdated says that one of them knows a newer set, which has been asked for.
func (k *Keeper) dumps(ctx context.Context, st acceptor.Standing, slot int) (replies []state.Reply, outdated bool) {
	type answer struct {
		from  state.Core
		reply state.Reply
		err   error
	}
	q := state.Ask{Set: st.Set.Serial, From: k.d.Self(), Slot: slot}
	ch := run.Fan(k.d.Group, len(st.Old.Cores), func(ctx context.Context, i int) answer {
		r, err := ask[state.Ask, state.Reply](ctx, k, st.Old.Cores[i], "/state/dump", q)
		return answer{st.Old.Cores[i], r, err}
	})
	for range st.Old.Cores {
		a := <-ch
		switch {
		case a.err != nil:
		case a.reply.OK:
			replies = append(replies, a.reply)
		case a.reply.Why == state.WhyBehind:
			k.tell(ctx, a.from, Adoption{Set: st.Set, Old: st.Old})
		case a.reply.Why == state.WhySet:
			_ = k.lookForUs(ctx, a.from)
			return nil, true
		}
		if len(replies) >= st.Old.Quorum() {
			break
		}
	}
	return replies, false
}

// ask sends one message to another core and waits for its answer for callLimit at most.
func ask[Q, R any](ctx context.Context, k *Keeper, c state.Core, path string, q Q) (R, error) {
	addr, ok := k.d.Addr(c)
	if !ok || c.Is(k.d.Self()) {
		var none R
		return none, wire.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return wire.Call[Q, R](ctx, k.d.Caller, addr, path, q)
}
