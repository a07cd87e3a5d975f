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

// Accept stores records sent by the holder of the highest epoch.
func (a *Acceptor) Accept(ctx context.Context, q state.Request) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *slotState, r *state.Reply) {
		if q.Epoch < t.promise.Epoch || q.Epoch == t.promise.Epoch && !t.promise.Holder.SameVoter(q.From) {
			r.Reason = state.ReasonLowerEpoch
			return
		}
		// A full table older than writes stored since must not remove them.
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
			return b.Set(keyPromise(q.Slot), wire.Marshal(next), nil)
		})
		if err != nil {
			r.Reason = state.ReasonDisk
			return
		}
		t.setPromise(next)
		r.OK = true
	})
}

// writeAccepted adds the records or the full table of an accept request to a batch.
func (a *Acceptor) writeAccepted(b *pebble.Batch, q state.Request, stored promise) error {
	switch {
	case !q.Full:
		return a.writeNewer(b, q.Slot, q.Records)
	case q.Epoch != stored.Epoch || q.Version >= stored.Version:
		return replaceRecords(b, q.Slot, q.Records)
	}
	later, err := a.recordsAfter(q)
	if err != nil {
		return err
	}
	return replaceRecords(b, q.Slot, append(slices.Clip(q.Records), later...))
}

// recordsAfter returns the stored records that the holder wrote after the full table that it now sends. Messages
// may be reordered, and a write confirmed here may be stored by a bare majority, so it must not be dropped.
func (a *Acceptor) recordsAfter(full state.Request) ([]state.Record, error) {
	stored, err := a.records(full.Slot)
	if err != nil {
		return nil, err
	}
	sent := make(map[string]state.Stamp, len(full.Records))
	for _, rec := range full.Records {
		sent[rec.Key] = rec.Stamp
	}
	var later []state.Record
	for _, rec := range stored {
		if rec.Stamp.Epoch == full.Epoch && rec.Stamp.Version > full.Version && rec.Stamp.Newer(sent[rec.Key]) {
			later = append(later, rec)
		}
	}
	return later, nil
}

// writeNewer writes the records that are newer than the stored ones.
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
		if err := b.Set(k, wire.Marshal(rec), nil); err != nil {
			return err
		}
	}
	return nil
}

// replaceRecords replaces all records of a slot.
func replaceRecords(b *pebble.Batch, slot int, recs []state.Record) error {
	o := recordBounds(slot)
	if err := b.DeleteRange(o.LowerBound, o.UpperBound, nil); err != nil {
		return err
	}
	for _, rec := range recs {
		if err := b.Set(keyRecord(slot, rec.Key), wire.Marshal(rec), nil); err != nil {
			return err
		}
	}
	return nil
}

// Digest returns a digest of the records of a slot.
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

// Dump returns all records of a slot to a core that is being filled.
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

// Fill stores a slot as read from a majority, before this core votes. It returns
// state.ErrDiskFailed if the records may not have been stored.
func (a *Acceptor) Fill(ctx context.Context, slot int, replies []state.Reply) error {
	t := a.slots[slot]
	return inActor(ctx, t.actor, func() error {
		recs, pr := Merge(replies)
		err := a.commit(func(b *pebble.Batch) error {
			if err := replaceRecords(b, slot, recs); err != nil {
				return err
			}
			return b.Set(keyPromise(slot), wire.Marshal(pr), nil)
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

// records reads all records of a slot from disk.
func (a *Acceptor) records(slot int) ([]state.Record, error) {
	it, err := a.db.NewIter(recordBounds(slot))
	if err != nil {
		return nil, err
	}
	var out []state.Record
	for ok := it.First(); ok; ok = it.Next() {
		var r state.Record
		if err := wire.Unmarshal(it.Value(), &r); err != nil {
			_ = it.Close()
			return nil, errors.Wrapf(err, "record %q", it.Key())
		}
		out = append(out, r)
	}
	return out, it.Close()
}

// Merge combines the replies of a majority into the state of a slot. Records with an
// epoch older than the newest full table belong to writes that were never acknowledged, and are dropped.
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

// Sum computes a digest of records that does not depend on their order.
func Sum(recs []state.Record) []byte {
	var total [sha256.Size]byte
	for _, r := range recs {
		sum := sha256.Sum256(wire.Marshal(r))
		for i := range total {
			total[i] ^= sum[i]
		}
	}
	return bytes.Clone(total[:])
}
