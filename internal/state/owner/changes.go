package owner

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"drumstall.example/internal/state"
)

const (
	// maxBatchChanges is the maximum number of changes in one write.
	maxBatchChanges = 64
	// maxBatchBytes is the size of values from which a write takes no further change.
	maxBatchBytes = 256 << 10
)

// change is one caller's change of a key.
type change struct {
	ctx     context.Context
	key     string
	update  func(old state.Record, found bool) ([]byte, error)
	claimed atomic.Bool   // a write has taken the change, or its caller has given up
	done    chan struct{} // closed when record and err are set
	record  state.Record
	err     error
}

// finish sets the result of the change and wakes its caller.
func (c *change) finish(err error) {
	c.err = err
	close(c.done)
}

// isDone reports whether the change is finished.
func (c *change) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// changeQueue holds the changes that wait for a slot's next write, oldest first. A write waits for a majority of disks. One
// sequential write for each change would limit a slot to as many changes per second as there are round trips.
type changeQueue struct {
	mu      sync.Mutex
	pending []*change
}

// push adds a change to the end of the queue.
func (cs *changeQueue) push(c *change) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.pending = append(cs.pending, c)
}

// nextBatch removes and returns the changes that may share the next write: no two of the same key.
func (cs *changeQueue) nextBatch() []*change {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	keys := map[string]bool{}
	n := 0
	for n < len(cs.pending) && n < maxBatchChanges && !keys[cs.pending[n].key] {
		keys[cs.pending[n].key] = true
		n++
	}
	batch := cs.pending[:n:n]
	cs.pending = cs.pending[n:]
	return batch
}

// putBack returns changes of a batch to the front of the queue.
func (cs *changeQueue) putBack(batch []*change) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.pending = append(batch, cs.pending...)
}

// Update changes a key through f on a majority of disks. Changes of one key are serialized; pending changes of different keys
// share a write. An error of f is returned and nothing is written. After state.ErrNotOwner and state.ErrNoQuorum
// nothing was written; after state.ErrOutcomeUnknown the change may have been written.
func (o *Owner) Update(ctx context.Context, key string, f func(old state.Record, found bool) ([]byte, error)) (state.Record, error) {
	s := o.slots[state.SlotOf(key)]
	c := &change{ctx: ctx, key: key, update: f, done: make(chan struct{})}
	s.changes.push(c)
	err := s.actor.Do(ctx, func() {
		for !c.isDone() {
			s.writeBatch()
		}
	})
	// A change that its caller cancels before a write has claimed it is never written.
	if err != nil && c.claimed.CompareAndSwap(false, true) {
		return state.Record{}, errors.Wrap(state.ErrNoQuorum, err.Error())
	}
	<-c.done
	return c.record, c.err
}

// writeBatch writes one batch of pending changes.
func (s *slot) writeBatch() {
	batch := s.changes.nextBatch()
	var applied []*change
	var records []state.Record
	size := 0
	for i, c := range batch {
		if size >= maxBatchBytes {
			s.changes.putBack(batch[i:])
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
		applied, records = append(applied, c), append(records, record)
	}
	if len(applied) == 0 {
		return
	}
	err := s.write(records, false)
	for _, c := range applied {
		c.finish(err)
	}
}

// applyChange computes the new record of a change from the current records of the slot.
func (s *slot) applyChange(c *change, version uint64) (state.Record, error) {
	// A caller whose context has ended may have received the error that nothing was written, so its change must not be made now.
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
