package fleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/stand"
	"drumstall.example/internal/state/acceptor"
)

// unattended is a small fleet whose core membership nobody looks after.
func unattended(seed uint64) stand.Deployment {
	d := Small(3 + int(seed%2))
	d.Unattended = true
	return d
}

// voting waits until every core that runs votes.
func (f *Fleet) voting(what string) {
	f.T.Helper()
	f.Until(20*time.Second, what, func() bool {
		for _, n := range f.Cores {
			if n.Core != nil && n.Core.Phase() != acceptor.Voter {
				return false
			}
		}
		return true
	})
}

// acknowledged waits until a change of the configuration is acknowledged by a core.
func (f *Fleet) acknowledged(at int, round int) {
	f.T.Helper()
	f.Until(20*time.Second, fmt.Sprintf("an acknowledgement in round %d", round), func() bool {
		body := fmt.Appendf(nil, `{"replace":{"weights":{"zone":{"weight":%d.%03d}}}}`, 1+round%8, f.Rnd.IntN(1000))
		_, ok := f.Patch(at, body, "")
		return ok
	})
}

// A core that comes back empty, at another address or under another name, takes
// the place of the one that is gone, again and again; nothing acknowledged is lost.
func TestAnUnattendedSetReplacesWhoIsGone(t *testing.T) {
	Seeds(t, 4, unattended, func(f *Fleet) {
		f.voting("the first set")
		f.Formed()
		f.Traffic(0.5)
		for round := range 4 {
			i := f.Rnd.IntN(len(f.Cores))
			n := f.Cores[i]
			f.acknowledged((i+1)%len(f.Cores), round)
			f.KillCore(n, true)
			f.LoseDisk(n)
			time.Sleep(time.Duration(500+f.Rnd.IntN(3000)) * time.Millisecond)
			f.MoveCore(n, fmt.Sprintf("10.1.%d.%d", 20+round, i+1))
			if round%2 == 1 {
				n.Name = fmt.Sprintf("core-new-%d", round)
			}
			f.StartCore(n)
			f.voting("the replacement")
			f.acknowledged(i, round+10)
		}
	})
}

// A core that was away while the set went on without it comes back as a new member.
func TestAnUnattendedSetTakesALateOneBack(t *testing.T) {
	Seeds(t, 3, unattended, func(f *Fleet) {
		f.voting("the first set")
		f.Formed()
		f.Traffic(0.5)
		i := f.Rnd.IntN(len(f.Cores))
		n := f.Cores[i]
		f.KillCore(n, false)
		other := f.AddCore("core-extra", "10.1.30.1", n.Zone)
		time.Sleep(4 * time.Second)
		f.StartCore(other)
		f.voting("the extra core")
		f.acknowledged((i+1)%len(f.Cores), 1)
		f.StartCore(n)
		f.voting("the late one")
		f.acknowledged(i, 2)
	})
}

// A core that is stopped for good lets go of its slots and stays away while it stops.
func TestAStoppedCoreStaysAway(t *testing.T) {
	Seeds(t, 3, unattended, func(f *Fleet) {
		f.voting("the first set")
		f.Formed()
		extra := f.AddCore("core-extra", "10.1.30.1", f.Cores[0].Zone)
		f.StartCore(extra)
		f.voting("the extra core")
		i := f.Rnd.IntN(len(f.Cores) - 1)
		n := f.Cores[i]
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		began := time.Now()
		_ = n.Core.Stop(ctx)
		n.Core = nil
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("a planned stop took %v", took)
		}
		time.Sleep(3 * time.Second)
		f.acknowledged((i+1)%len(f.Cores), 1)
		f.StartCore(n)
		f.voting("the one that was stopped")
	})
}

// A core that joins while the one it replaces is silent is filled from the others
// at once: nothing answers at the old address, not even a refusal.
func TestANewMemberIsFilledBesideASilentOne(t *testing.T) {
	Seeds(t, 4, unattended, func(f *Fleet) {
		f.voting("the first set")
		f.Formed()
		f.Traffic(0.5)
		gone := f.Cores[f.Rnd.IntN(len(f.Cores))]
		f.KillCore(gone, false)
		extra := f.AddCore("core-extra", "10.1.30.1", gone.Zone)
		f.Between([]string{gone.IP}, append(IPs(f.Cores), IPs(f.Edges)...), true)
		time.Sleep(5 * time.Second)
		f.StartCore(extra)
		f.Until(5*time.Second, "the new member votes", func() bool { return extra.Core.Phase() == acceptor.Voter })
	})
}

// Founders are started anew before there is a set: one of them, with its disk or without, or all at once with theirs.
func TestTheFirstSetFormsThoughFoundersAreStartedAnew(t *testing.T) {
	t.Parallel()
	moments := []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond}
	if testing.Short() {
		moments = moments[2:3]
	}
	cases := []struct {
		name     string
		again    []int // which cores
		loseDisk bool
	}{{"first", []int{0}, false}, {"first without its disk", []int{0}, true}, {"second without its disk", []int{1}, true},
		{"third without its disk", []int{2}, true}, {"all", []int{0, 1, 2}, false}}
	for _, c := range cases {
		for i, moment := range moments {
			t.Run(fmt.Sprintf("%s after %v", c.name, moment), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := Small(3)
					d.Unattended = true
					f := NewAmid(t, uint64(i+1), d, func(f *Fleet) {
						time.Sleep(moment)
						f.Formed()
						for _, n := range c.again {
							f.KillCore(f.Cores[n], !c.loseDisk)
							if c.loseDisk {
								f.LoseDisk(f.Cores[n])
							}
						}
						time.Sleep(500 * time.Millisecond)
						for _, n := range c.again {
							f.StartCore(f.Cores[n])
						}
					})
					defer f.Stop()
					f.Until(5*time.Second, "a change is taken", func() bool { _, taken := f.patchNow(1); return taken })
					f.End()
				})
			})
		}
	}
}
