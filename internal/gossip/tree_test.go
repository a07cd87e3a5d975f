package gossip

import (
	"testing"
)

// inTree is a node with a tree: peers 0 and 1 are cores, 2 is a neighbour of an agent or
// below a core, as are all that follow.
func (l *testPeers) setTree(isCore bool) {
	tree := Tree{IsCore: isCore, Cores: l.addrs[:2]}
	if isCore {
		tree.Agents = l.addrs[2:]
	} else {
		tree.Neighbours = l.addrs[2:]
	}
	l.sender.tree = func() Tree { return tree }
	l.sender.propagate(false)
}

const largeFleet = MaxDirectPeers + 6

func TestCoreSendsToCoresTwiceAndToAgentsOnce(t *testing.T) {
	runWithPeers(t, largeFleet, func(l *testPeers) {
		l.setTree(true)
		l.sender.table.Put(entry("own", 1, 1))
		wantReceived(t, "at once", l.propagate(true, "own"), 0)
		wantReceived(t, "in the first round", l.propagate(false, "own"), largeFleet)
		wantReceived(t, "in the second round", l.propagate(false, "own"), 2)
		wantReceived(t, "in the third round", l.propagate(false, "own"), 0)
	})
}

func TestCoreForwardsCoreEntryToAgentsOnly(t *testing.T) {
	runWithPeers(t, largeFleet, func(l *testPeers) {
		l.setTree(true)
		l.sender.receive(bundle{From: l.addrs[0], Entries: []Entry{entry("core's", 1, 1)}})
		wantReceived(t, "in the first round", l.propagate(false, "core's"), largeFleet-2)
		wantReceived(t, "in the second round", l.propagate(false, "core's"), 0)
	})
}

func TestCoreForwardsAgentEntryToAll(t *testing.T) {
	runWithPeers(t, largeFleet, func(l *testPeers) {
		l.setTree(true)
		l.sender.receive(bundle{From: l.addrs[5], Entries: []Entry{entry("agent's", 1, 1)}})
		wantReceived(t, "in the first round", l.propagate(false, "agent's"), largeFleet)
		wantReceived(t, "in the second round", l.propagate(false, "agent's"), 2)
	})
}

func TestAgentSendsLocalEntryToAllCores(t *testing.T) {
	runWithPeers(t, largeFleet, func(l *testPeers) {
		l.setTree(false)
		l.sender.table.Put(entry("own", 1, 1))
		wantReceived(t, "in the first round", l.propagate(false, "own"), 3)
		wantReceived(t, "in the second round", l.propagate(false, "own"), 2)
		wantReceived(t, "in the third round", l.propagate(false, "own"), 0)
	})
}

func TestAgentForwardsToOneNeighbour(t *testing.T) {
	for _, from := range []int{0, 7} {
		runWithPeers(t, largeFleet, func(l *testPeers) {
			l.setTree(false)
			l.sender.receive(bundle{From: l.addrs[from], Entries: []Entry{entry("told", 1, 1)}})
			wantReceived(t, "in the first round", l.propagate(false, "told"), 1)
			wantReceived(t, "in the second round", l.propagate(false, "told"), 0)
		})
	}
}

func TestAgentWithoutCoresGossipsToFanout(t *testing.T) {
	runWithPeers(t, largeFleet, func(l *testPeers) {
		l.sender.tree = func() Tree { return Tree{Neighbours: l.addrs} }
		l.sender.propagate(false)
		l.sender.table.Put(entry("own", 1, 1))
		for range gossipRepeats {
			wantReceived(t, "in a round", l.propagate(false, "own"), fanout)
		}
	})
}

// What was to be told to few again and again is told down the tree as soon as there is one.
func TestEntryStaysPendingAcrossTreeChange(t *testing.T) {
	runWithPeers(t, largeFleet, func(l *testPeers) {
		l.sender.table.Put(entry("own", 1, 1))
		l.setTree(true)
		if len(l.sender.table.pending) == 0 {
			t.Fatal("it was forgotten")
		}
		l.sender.table.Put(entry("newer", 1, 1))
		wantReceived(t, "in the first round", l.propagate(false, "newer"), largeFleet)
	})
}
