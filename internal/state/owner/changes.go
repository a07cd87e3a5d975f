package owner

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"drumstall.example/internal/state"
)

const (
	// mostChanges is how many changes share a write.
	mostChanges = 64
	// mostBytes is the size from which a write takes no further change.
	mostBytes = 256 << 10
)

// change is one caller's change of a key.
type change struct {
	ctx    context.Context
	key    string
	f      func(old state.Record, found bool) ([]byte, error)
	begun  atomic.Bool   // a write has taken it, or its caller has given up on it
	done   chan struct{} // closed when record and err are there
	record state.Record
	err    error
}

// end tells the caller what became of its change.
func (c *change) end(err error) {
	c.err = err
	close(c.done)
}

// isDone says whether the caller has been told.
func (c *change) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// changes are those that wait for a slot's next write, the oldest first. Why: a write waits for a majority of disks; with one
// for each change, one after the other, the slot bore no more changes a second than it had round trips.
type changes struct {
	mu      sync.Mutex
	waiting []*change
}

// add has a change wait for the next write.
func (cs *changes) add(c *change) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.waiting = append(cs.waiting, c)
}

// take gives the changes that may share the next write: no two of one key.
func (cs *changes) take() []*change {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	keys := map[string]bool{}
	n := 0
	for n < len(cs.waiting) && n < mostChanges && !keys[cs.waiting[n].key] {
		keys[cs.waiting[n].key] = true
		n++
	}
	taken := cs.waiting[:n:n]
	cs.waiting = cs.waiting[n:]
	return taken
}

// putBack has changes that were taken wait again, before all others.
func (cs *changes) putBack(back []*change) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.waiting = append(back, cs.waiting...)
}

// Update changes a key by f on a majority of disks; changes of one key are made one at a time, and those that wait share a
// write. f's own error is handed back and nothing is kept; state.ErrNotOwner and state.ErrNoQuorum say that
// nothing was kept, state.ErrUnknown that it may have been.
func (o *Owner) Update(ctx context.Context, key string, f func(old state.Record, found bool) ([]byte, error)) (state.Record, error) {
	s := o.slots[state.SlotOf(key)]
	c := &change{ctx: ctx, key: key, f: f, done: make(chan struct{})}
	s.changes.add(c)
	err := s.actor.Ask(ctx, func() {
		for !c.isDone() {
			s.writeChanges()
		}
	})
	// Why: a change that was given up on before a write took it is in none, so nothing was kept, and that can be said.
	if err != nil && c.begun.CompareAndSwap(false, true) {
		return state.Record{}, errors.Wrap(state.ErrNoQuorum, err.Error())
	}
	<-c.done
	return c.record, c.err
}

// writeChanges makes one write of changes that wait.
func (s *slot) writeChanges() {
	taken := s.changes.take()
	var made []*change
	var records []state.Record
	size := 0
	for i, c := range taken {
		if size >= mostBytes {
			s.changes.putBack(taken[i:])
			break
		}
		if !c.begun.CompareAndSwap(false, true) {
			c.end(state.ErrNoQuorum)
			continue
		}
		record, err := s.changed(c, s.version+uint64(len(records))+1)
		if err != nil {
			c.end(err)
			continue
		}
		c.record = record
		size += len(record.Value)
		made, records = append(made, c), append(records, record)
	}
	if len(made) == 0 {
		return
	}
	err := s.write(records, false)
	for _, c := range made {
		c.end(err)
	}
}

// changed is the record that a change makes of what the slot holds now.
func (s *slot) changed(c *change, version uint64) (state.Record, error) {
	// Why: a caller that has gone was told "nothing kept"; its change must not happen later.
	if c.ctx.Err() != nil {
		return state.Record{}, errors.Wrap(state.ErrNoQuorum, "caller gave up waiting")
	}
	if !s.held() {
		return state.Record{}, state.ErrNotOwner
	}
	old, found := s.table[c.key]
	value, err := c.f(old, found && !old.Deleted)
	if err != nil {
		return state.Record{}, err
	}
	return state.Record{Key: c.key, Stamp: state.Stamp{Epoch: s.epoch.Load(), Version: version}, Value: value}, nil
}
