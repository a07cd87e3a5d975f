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

// BucketStamps lists the stamps of the sender's entries in some buckets; it requests the newer ones.
type BucketStamps struct {
	Buckets []int                  `cbor:"1,keyasint"`
	Stamps  map[string]state.Stamp `cbor:"2,keyasint"`
}

// Delta holds entries that the other side lacks, and the keys of entries that the sender lacks.
type Delta struct {
	Entries []Entry  `cbor:"1,keyasint"`
	Wanted  []string `cbor:"2,keyasint"`
}

// Digest summarizes a table: by one total, or by the sums of its buckets, as earlier versions send it.
type Digest struct {
	Sums  [][]byte `cbor:"1,keyasint"`
	Total []byte   `cbor:"2,keyasint,omitempty"`
}

// DigestReply states how two tables differ; Buckets and Sums are empty if they are equal. To a Digest with a total it holds the
// sums of the responder's buckets; to one with bucket sums, the buckets that differ.
type DigestReply struct {
	Buckets []int     `cbor:"1,keyasint"`
	Touch   touch.Age `cbor:"2,keyasint,omitempty"` // how long the responder has been out of touch
	Sums    [][]byte  `cbor:"3,keyasint,omitempty"`
	// ComparesTotal is set if the responder compares totals; earlier versions do not.
	ComparesTotal bool `cbor:"4,keyasint,omitempty"`
}

// bucketOf returns the bucket of a key.
func bucketOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % numBuckets)
}

// hashOf returns the hash that an entry contributes to the sum of its bucket.
func hashOf(e Entry) [sha256.Size]byte {
	return sha256.Sum256(wire.Marshal([]any{e.Key, e.Stamp.Epoch, e.Stamp.Version}))
}

// xorInto adds b to a sum, or removes it again.
func xorInto(a *[sha256.Size]byte, b [sha256.Size]byte) {
	for i := range a {
		a[i] ^= b[i]
	}
}

// sumBytes is the length to which sums are truncated for comparison.
const sumBytes = 16

// total returns the sum of the whole table.
func (t *Table) total() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all [sha256.Size]byte
	for i := range t.sums {
		xorInto(&all, t.sums[i])
	}
	return all[:sumBytes]
}

// digest returns the sums of all buckets.
func (t *Table) digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Digest{Sums: make([][]byte, numBuckets)}
	for i := range t.sums {
		d.Sums[i] = append([]byte(nil), t.sums[i][:sumBytes]...)
	}
	return d
}

// differingBuckets returns the buckets whose sums differ from those of another table.
func (d Digest) differingBuckets(sums [][]byte) []int {
	var out []int
	for i := range d.Sums {
		if i >= len(sums) || !bytes.Equal(sums[i], d.Sums[i]) {
			out = append(out, i)
		}
	}
	return out
}

// compareDigest compares this table with the one that d summarizes.
func (t *Table) compareDigest(d Digest) DigestReply {
	switch {
	case len(d.Total) == 0:
		return DigestReply{Buckets: t.digest().differingBuckets(d.Sums)}
	case bytes.Equal(d.Total, t.total()):
		return DigestReply{ComparesTotal: true}
	}
	return DigestReply{ComparesTotal: true, Sums: t.digest().Sums}
}

// stampsIn returns the stamps of all entries in some buckets.
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

// delta compares a peer's stamps with this table in both directions.
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

// entriesOf returns the entries of some keys, at most maxReplyEntries.
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

// Reconcile exchanges missing entries between a table and a peer's in both directions. It returns the
// peer's statement of how long it has been out of touch, or 0 if the exchange failed.
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
		// A failure is ignored: this table is up to date already, and the peer gets the entries later.
		_, _ = wire.CallEncoded[PushReply](ctx, caller, addr, "/news/push", wire.EncodeMessage(b))
	}
	return d.Touch
}
