package gossip

import (
	"bytes"
	"context"
	"crypto/sha256"
	"hash/fnv"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/state"
)

const digestPath = "/news/digest"

// Heads asks for what is newer than these.
type BucketStamps struct {
	Buckets []int                  `cbor:"1,keyasint"`
	Stamps  map[string]state.Stamp `cbor:"2,keyasint"`
}

// Gap is what one side lacks and what it would like.
type Delta struct {
	Entries []Entry  `cbor:"1,keyasint"`
	Wanted  []string `cbor:"2,keyasint"`
}

// Digest sums up the table: as a whole, or by buckets, as earlier versions do.
type Digest struct {
	Sums  [][]byte `cbor:"1,keyasint"`
	Total []byte   `cbor:"2,keyasint,omitempty"`
}

// Diff says how two tables differ: in nothing, or what the sums of the buckets of who
// answers are. It names the buckets that differ to who has sent its own.
type DigestReply struct {
	Buckets []int     `cbor:"1,keyasint"`
	Touch   touch.Age `cbor:"2,keyasint,omitempty"` // how long who answers has been out of touch
	Sums    [][]byte  `cbor:"3,keyasint,omitempty"`
	// ReadsTotal says that who answers compares totals; one of an earlier version does not.
	ComparesTotal bool `cbor:"4,keyasint,omitempty"`
}

// bucketOf is the part of the table that a key lies in.
func bucketOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % numBuckets)
}

// sumOf is what an entry adds to the sum of its bucket.
func hashOf(e Entry) [sha256.Size]byte {
	return sha256.Sum256(wire.Marshal([]any{e.Key, e.Stamp.Epoch, e.Stamp.Version}))
}

// xor adds b to a sum, or takes it out again.
func xorInto(a *[sha256.Size]byte, b [sha256.Size]byte) {
	for i := range a {
		a[i] ^= b[i]
	}
}

// sumBytes of a sum are compared.
const sumBytes = 16

// total sums up the whole table.
func (t *Table) total() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all [sha256.Size]byte
	for i := range t.sums {
		xorInto(&all, t.sums[i])
	}
	return all[:sumBytes]
}

// digest sums up the buckets of the table.
func (t *Table) digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Digest{Sums: make([][]byte, numBuckets)}
	for i := range t.sums {
		d.Sums[i] = append([]byte(nil), t.sums[i][:sumBytes]...)
	}
	return d
}

// differing is the buckets whose sums are not those of another table.
func (d Digest) differingBuckets(sums [][]byte) []int {
	var out []int
	for i := range d.Sums {
		if i >= len(sums) || !bytes.Equal(sums[i], d.Sums[i]) {
			out = append(out, i)
		}
	}
	return out
}

// compare says how this table differs from the one that a digest sums up.
func (t *Table) compareDigest(d Digest) DigestReply {
	switch {
	case len(d.Total) == 0:
		return DigestReply{Buckets: t.digest().differingBuckets(d.Sums)}
	case bytes.Equal(d.Total, t.total()):
		return DigestReply{ComparesTotal: true}
	}
	return DigestReply{ComparesTotal: true, Sums: t.digest().Sums}
}

// heads lists the newest stamps in some buckets.
func (t *Table) stampsIn(bucket []int) BucketStamps {
	in := map[int]bool{}
	for _, b := range bucket {
		in[b] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := BucketStamps{Buckets: bucket, Stamps: map[string]state.Stamp{}}
	for k, e := range t.records {
		if in[bucketOf(k)] {
			h.Stamps[k] = e.entry.Stamp
		}
	}
	return h
}

// gap compares what another has with what is here, both ways.
func (t *Table) delta(q BucketStamps) Delta {
	mine := t.stampsIn(q.Buckets)
	var g Delta
	t.mu.Lock()
	for k, s := range mine.Stamps {
		if s.Newer(q.Stamps[k]) && len(g.Entries) < maxReplyEntries {
			g.Entries = append(g.Entries, t.records[k].entry)
		}
	}
	t.mu.Unlock()
	for k, s := range q.Stamps {
		if s.Newer(mine.Stamps[k]) && len(g.Wanted) < maxReplyEntries {
			g.Wanted = append(g.Wanted, k)
		}
	}
	return g
}

// pick gives the entries of some keys, up to pullAt.
func (t *Table) entriesOf(keys []string) bundle {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b bundle
	for _, k := range keys[:min(len(keys), maxReplyEntries)] {
		if h := t.records[k]; h != nil {
			b.Entries = append(b.Entries, h.entry)
		}
	}
	return b
}

// Mend makes a table and a peer's know what either knows. It gives the peer's word
// on how long it has been out of touch, or 0 where that could not be done.
func Reconcile(ctx context.Context, caller *wire.Client, t *Table, addr, self string) touch.Age {
	d, err := wire.Call[Digest, DigestReply](ctx, caller, addr, digestPath, Digest{Total: t.total()})
	if err == nil && !d.ComparesTotal {
		d, err = wire.Call[Digest, DigestReply](ctx, caller, addr, digestPath, t.digest())
	}
	if err != nil {
		return 0
	}
	if len(d.Sums) > 0 {
		d.Buckets = t.digest().differingBuckets(d.Sums)
	}
	if len(d.Buckets) == 0 {
		return d.Touch
	}
	g, err := wire.Call[BucketStamps, Delta](ctx, caller, addr, "/news/gap", t.stampsIn(d.Buckets))
	if err != nil {
		return 0
	}
	for _, e := range g.Entries {
		t.PutRemote(e)
	}
	if len(g.Wanted) > 0 {
		b := t.entriesOf(g.Wanted)
		b.From = self
		// Why: what it lacks is its own loss; what we lacked is here.
		_, _ = wire.CallEncoded[PushReply](ctx, caller, addr, "/news/push", wire.EncodeMessage(b))
	}
	return d.Touch
}
