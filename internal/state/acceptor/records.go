package acceptor

import (
	"bytes"
	"context"
	"crypto/sha256"
	"slices"

	"github.com/cockroachdb/pebble/v2"
	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// Accept keeps records from the holder of the highest epoch.
func (a *Acceptor) Accept(ctx context.Context, q state.Request) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *slotState, r *state.Reply) {
		if q.Epoch < t.promise.Epoch || q.Epoch == t.promise.Epoch && !t.promise.Holder.SameVoter(q.From) {
			r.Reason = state.ReasonLowerEpoch
			return
		}
		// Why: a whole table that is older than what came since must not take that away.
		if q.Full && q.Epoch == t.promise.FullEpoch && q.Version < t.promise.Version {
			r.OK = true
			return
		}
		next := t.promise
		if q.Epoch > next.Epoch {
			next.Epoch, next.Holder, next.Version = q.Epoch, q.From, 0
		}
		next.Version = max(next.Version, q.Version)
		if q.Full {
			next.FullEpoch, next.FullWriter = q.Epoch, q.From
		}
		err := a.commit(func(b *pebble.Batch) error {
			if err := a.writeAccepted(b, q, t.promise); err != nil {
				return err
			}
			return b.Set(keyPromise(q.Slot), wire.Pack(next), nil)
		})
		if err != nil {
			r.Reason = state.ReasonDisk
			return
		}
		t.setPromise(next)
		r.OK = true
	})
}

// write writes what the holder of a slot sends: single records, or the whole table.
func (a *Acceptor) writeAccepted(b *pebble.Batch, q state.Request, here promise) error {
	switch {
	case !q.Full:
		return a.writeNewer(b, q.Slot, q.Records)
	case q.Epoch != here.Epoch || q.Version >= here.Version:
		return replaceRecords(b, q.Slot, q.Records)
	}
	later, err := a.recordsAfter(q)
	if err != nil {
		return err
	}
	return replaceRecords(b, q.Slot, append(slices.Clip(q.Records), later...))
}

// writtenAfter is the records here that the holder wrote after the whole table that it sends. Why: messages
// overtake each other, and what was confirmed here may be on just a majority of disks.
func (a *Acceptor) recordsAfter(table state.Request) ([]state.Record, error) {
	here, err := a.records(table.Slot)
	if err != nil {
		return nil, err
	}
	sent := make(map[string]state.Stamp, len(table.Records))
	for _, rec := range table.Records {
		sent[rec.Key] = rec.Stamp
	}
	var later []state.Record
	for _, rec := range here {
		if rec.Stamp.Epoch == table.Epoch && rec.Stamp.Version > table.Version && rec.Stamp.Newer(sent[rec.Key]) {
			later = append(later, rec)
		}
	}
	return later, nil
}

// addRecords writes those records that are newer than what is there.
func (a *Acceptor) writeNewer(b *pebble.Batch, slot int, recs []state.Record) error {
	for _, rec := range recs {
		k := keyRecord(slot, rec.Key)
		var old state.Record
		found, err := a.read(k, &old)
		if err != nil {
			return err
		}
		if found && !rec.Stamp.Newer(old.Stamp) {
			continue
		}
		if err := b.Set(k, wire.Pack(rec), nil); err != nil {
			return err
		}
	}
	return nil
}

// replaceRecords writes a whole table in place of what is there.
func replaceRecords(b *pebble.Batch, slot int, recs []state.Record) error {
	o := recordBounds(slot)
	if err := b.DeleteRange(o.LowerBound, o.UpperBound, nil); err != nil {
		return err
	}
	for _, rec := range recs {
		if err := b.Set(keyRecord(slot, rec.Key), wire.Pack(rec), nil); err != nil {
			return err
		}
	}
	return nil
}

// Digest sums up the records of a slot.
func (a *Acceptor) Digest(ctx context.Context, q state.Request) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *slotState, r *state.Reply) {
		recs, err := a.records(q.Slot)
		if err != nil {
			r.Reason = state.ReasonDisk
			return
		}
		r.OK, r.Digest, r.FullEpoch = true, Sum(recs), t.promise.FullEpoch
	})
}

// Dump gives a whole slot to a core that is being filled.
func (a *Acceptor) Dump(ctx context.Context, q state.Request) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *slotState, r *state.Reply) {
		recs, err := a.records(q.Slot)
		if err != nil {
			r.Reason = state.ReasonDisk
			return
		}
		r.OK, r.Records, r.FullEpoch, r.Version, r.FullWriter = true, recs, t.promise.FullEpoch, t.promise.Version, t.promise.FullWriter
	})
}

// Fill takes a slot as read from a majority, before this core votes; state.ErrSick
// says that the disk did not keep it.
func (a *Acceptor) Fill(ctx context.Context, slot int, replies []state.Reply) error {
	t := a.slots[slot]
	return inActor(ctx, t.actor, func() error {
		recs, pr := Merge(replies)
		err := a.commit(func(b *pebble.Batch) error {
			if err := replaceRecords(b, slot, recs); err != nil {
				return err
			}
			return b.Set(keyPromise(slot), wire.Pack(pr), nil)
		})
		if err != nil {
			return err
		}
		t.setPromise(pr)
		t.noGrantYet = true
		t.setLeaseEnd(a.clock.Since() + state.LeaseDuration)
		return nil
	})
}

// records reads all records of a slot from the disk.
func (a *Acceptor) records(slot int) ([]state.Record, error) {
	it, err := a.db.NewIter(recordBounds(slot))
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

// Merge is what a majority's answers say of a slot. Records under an epoch
// older than the newest whole table are leftovers of writes nobody was told of.
func Merge(replies []state.Reply) ([]state.Record, promise) {
	var pr promise
	newest := map[string]state.Record{}
	for _, r := range replies {
		if r.Epoch > pr.Epoch {
			pr.Epoch, pr.Holder = r.Epoch, r.Holder
		}
		if r.FullEpoch > pr.FullEpoch {
			pr.FullEpoch, pr.FullWriter = r.FullEpoch, r.FullWriter
		}
		pr.Version = max(pr.Version, r.Version)
	}
	for _, r := range replies {
		for _, rec := range r.Records {
			if old, found := newest[rec.Key]; rec.Stamp.Epoch >= pr.FullEpoch && (!found || rec.Stamp.Newer(old.Stamp)) {
				newest[rec.Key] = rec
			}
		}
	}
	out := make([]state.Record, 0, len(newest))
	for _, rec := range newest {
		out = append(out, rec)
		pr.Version = max(pr.Version, rec.Stamp.Version)
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
