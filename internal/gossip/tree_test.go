package gossip

import (
	"testing"
)

// inTree is a node with a tree: peers 0 and 1 are cores, 2 is a neighbour of an agent or
// below a core, as are all that follow.
func (l *listeners) inTree(isCore bool) {
	tree := Tree{IsCore: isCore, Cores: l.addrs[:2]}
	if isCore {
		tree.Below = l.addrs[2:]
	} else {
		tree.Neighbours = l.addrs[2:]
	}
	l.s.tree = func() Tree { return tree }
	l.s.passOn(false)
}

const largeFleet = AllTold + 6

func TestACoreTellsCoresTwiceAndAgentsBelowOnce(t *testing.T) {
	among(t, largeFleet, func(l *listeners) {
		l.inTree(true)
		l.s.t.Put(entry("own", 1, 1))
		wantHeard(t, "at once", l.pass(true, "own"), 0)
		wantHeard(t, "in the first round", l.pass(false, "own"), largeFleet)
		wantHeard(t, "in the second round", l.pass(false, "own"), 2)
		wantHeard(t, "in the third round", l.pass(false, "own"), 0)
	})
}

func TestACorePassesAnotherCoresNewsDownOnly(t *testing.T) {
	among(t, largeFleet, func(l *listeners) {
		l.inTree(true)
		l.s.take(bundle{From: l.addrs[0], Entries: []Entry{entry("core's", 1, 1)}})
		wantHeard(t, "in the first round", l.pass(false, "core's"), largeFleet-2)
		wantHeard(t, "in the second round", l.pass(false, "core's"), 0)
	})
}

func TestACorePassesAnAgentsNewsToAll(t *testing.T) {
	among(t, largeFleet, func(l *listeners) {
		l.inTree(true)
		l.s.take(bundle{From: l.addrs[5], Entries: []Entry{entry("agent's", 1, 1)}})
		wantHeard(t, "in the first round", l.pass(false, "agent's"), largeFleet)
		wantHeard(t, "in the second round", l.pass(false, "agent's"), 2)
	})
}

func TestAnAgentTellsAllCoresItsOwnNews(t *testing.T) {
	among(t, largeFleet, func(l *listeners) {
		l.inTree(false)
		l.s.t.Put(entry("own", 1, 1))
		wantHeard(t, "in the first round", l.pass(false, "own"), 3)
		wantHeard(t, "in the second round", l.pass(false, "own"), 2)
		wantHeard(t, "in the third round", l.pass(false, "own"), 0)
	})
}

func TestAnAgentTellsOneNeighbourWhatItWasTold(t *testing.T) {
	for _, from := range []int{0, 7} {
		among(t, largeFleet, func(l *listeners) {
			l.inTree(false)
			l.s.take(bundle{From: l.addrs[from], Entries: []Entry{entry("told", 1, 1)}})
			wantHeard(t, "in the first round", l.pass(false, "told"), 1)
			wantHeard(t, "in the second round", l.pass(false, "told"), 0)
		})
	}
}

func TestAnAgentThatKnowsNoCoreTellsAFew(t *testing.T) {
	among(t, largeFleet, func(l *listeners) {
		l.s.tree = func() Tree { return Tree{Neighbours: l.addrs} }
		l.s.passOn(false)
		l.s.t.Put(entry("own", 1, 1))
		for range retell {
			wantHeard(t, "in a round", l.pass(false, "own"), fanout)
		}
	})
}

// What was to be told to few again and again is told down the tree as soon as there is one.
func TestAnEntryOutlivesAChangeToTheTree(t *testing.T) {
	among(t, largeFleet, func(l *listeners) {
		l.s.t.Put(entry("own", 1, 1))
		l.inTree(true)
		if len(l.s.t.hot) == 0 {
			t.Fatal("it was forgotten")
		}
		l.s.t.Put(entry("newer", 1, 1))
		wantHeard(t, "in the first round", l.pass(false, "newer"), largeFleet)
	})
}
