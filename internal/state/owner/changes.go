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
	maxBatchChanges = 64
	// mostBytes is the size from which a write takes no further change.
	maxBatchBytes = 256 << 10
)

// change is one caller's change of a key.
type change struct {
	ctx     context.Context
	key     string
	update  func(old state.Record, found bool) ([]byte, error)
	claimed atomic.Bool   // a write has taken it, or its caller has given up on it
	done    chan struct{} // closed when record and err are there
	record  state.Record
	err     error
}

// end tells the caller what became of its change.
func (c *change) finish(err error) {
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
type changeQueue struct {
	mu      sync.Mutex
	pending []*change
}

// add has a change wait for the next write.
func (cs *changeQueue) push(c *change) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.pending = append(cs.pending, c)
}

// take gives the changes that may share the next write: no two of one key.
func (cs *changeQueue) nextBatch() []*change {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	keys := map[string]bool{}
	n := 0
	for n < len(cs.pending) && n < maxBatchChanges && !keys[cs.pending[n].key] {
		keys[cs.pending[n].key] = true
		n++
	}
	taken := cs.pending[:n:n]
	cs.pending = cs.pending[n:]
	return taken
}

// putBack has changes that were taken wait again, before all others.
func (cs *changeQueue) putBack(back []*change) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.pending = append(back, cs.pending...)
}

// Update changes a key by f on a majority of disks; changes of one key are made one at a time, and those that wait share a
// write. f's own error is handed back and nothing is kept; state.ErrNotOwner and state.ErrNoQuorum say that
// nothing was kept, state.ErrUnknown that it may have been.
func (o *Owner) Update(ctx context.Context, key string, f func(old state.Record, found bool) ([]byte, error)) (state.Record, error) {
	s := o.slots[state.SlotOf(key)]
	c := &change{ctx: ctx, key: key, update: f, done: make(chan struct{})}
	s.changes.push(c)
	err := s.actor.Ask(ctx, func() {
		for !c.isDone() {
			s.writeBatch()
		}
	})
	// Why: a change that was given up on before a write took it is in none, so nothing was kept, and that can be said.
	if err != nil && c.claimed.CompareAndSwap(false, true) {
		return state.Record{}, errors.Wrap(state.ErrNoQuorum, err.Error())
	}
	<-c.done
	return c.record, c.err
}

// writeChanges makes one write of changes that wait.
func (s *slot) writeBatch() {
	taken := s.changes.nextBatch()
	var made []*change
	var records []state.Record
	size := 0
	for i, c := range taken {
		if size >= maxBatchBytes {
			s.changes.putBack(taken[i:])
			break
		}
		if !c.claimed.CompareAndSwap(false, true) {
			c.finish(state.ErrNoQuorum)
			continue
		}
		record, err := s.applyChange(c, s.version+uint64(len(records))+1)
		if err != nil {
			c.finish(err)
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
		c.finish(err)
	}
}

// changed is the record that a change makes of what the slot holds now.
func (s *slot) applyChange(c *change, version uint64) (state.Record, error) {
	// Why: a caller that has gone was told "nothing kept"; its change must not happen later.
	if c.ctx.Err() != nil {
		return state.Record{}, errors.Wrap(state.ErrNoQuorum, "caller gave up waiting")
	}
	if !s.held() {
		return state.Record{}, state.ErrNotOwner
	}
	old, found := s.records[c.key]
	value, err := c.update(old, found && !old.Deleted)
	if err != nil {
		return state.Record{}, err
	}
	return state.Record{Key: c.key, Stamp: state.Stamp{Epoch: s.epoch.Load(), Version: version}, Value: value}, nil
}
