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
type Heads struct {
	Bucket []int                  `cbor:"1,keyasint"`
	Have   map[string]state.Stamp `cbor:"2,keyasint"`
}

// Gap is what one side lacks and what it would like.
type Gap struct {
	Entries []Entry  `cbor:"1,keyasint"`
	Want    []string `cbor:"2,keyasint"`
}

// Digest sums up the table: as a whole, or by buckets, as earlier versions do.
type Digest struct {
	Sums  [][]byte `cbor:"1,keyasint"`
	Total []byte   `cbor:"2,keyasint,omitempty"`
}

// Diff says how two tables differ: in nothing, or what the sums of the buckets of who
// answers are. It names the buckets that differ to who has sent its own.
type Diff struct {
	Bucket []int      `cbor:"1,keyasint"`
	Touch  touch.Word `cbor:"2,keyasint,omitempty"` // how long who answers has been out of touch
	Sums   [][]byte   `cbor:"3,keyasint,omitempty"`
	// ReadsTotal says that who answers compares totals; one of an earlier version does not.
	ReadsTotal bool `cbor:"4,keyasint,omitempty"`
}

// bucketOf is the part of the table that a key lies in.
func bucketOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % buckets)
}

// sumOf is what an entry adds to the sum of its bucket.
func sumOf(e Entry) [sha256.Size]byte {
	return sha256.Sum256(wire.Marshal([]any{e.Key, e.Stamp.Epoch, e.Stamp.Version}))
}

// xor adds b to a sum, or takes it out again.
func xor(a *[sha256.Size]byte, b [sha256.Size]byte) {
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
		xor(&all, t.sums[i])
	}
	return all[:sumBytes]
}

// digest sums up the buckets of the table.
func (t *Table) digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Digest{Sums: make([][]byte, buckets)}
	for i := range t.sums {
		d.Sums[i] = append([]byte(nil), t.sums[i][:sumBytes]...)
	}
	return d
}

// differing is the buckets whose sums are not those of another table.
func (d Digest) differing(sums [][]byte) []int {
	var out []int
	for i := range d.Sums {
		if i >= len(sums) || !bytes.Equal(sums[i], d.Sums[i]) {
			out = append(out, i)
		}
	}
	return out
}

// compare says how this table differs from the one that a digest sums up.
func (t *Table) compare(d Digest) Diff {
	switch {
	case len(d.Total) == 0:
		return Diff{Bucket: t.digest().differing(d.Sums)}
	case bytes.Equal(d.Total, t.total()):
		return Diff{ReadsTotal: true}
	}
	return Diff{ReadsTotal: true, Sums: t.digest().Sums}
}

// heads lists the newest stamps in some buckets.
func (t *Table) heads(bucket []int) Heads {
	in := map[int]bool{}
	for _, b := range bucket {
		in[b] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := Heads{Bucket: bucket, Have: map[string]state.Stamp{}}
	for k, e := range t.m {
		if in[bucketOf(k)] {
			h.Have[k] = e.e.Stamp
		}
	}
	return h
}

// gap compares what another has with what is here, both ways.
func (t *Table) gap(q Heads) Gap {
	mine := t.heads(q.Bucket)
	var g Gap
	t.mu.Lock()
	for k, s := range mine.Have {
		if s.Newer(q.Have[k]) && len(g.Entries) < pullAt {
			g.Entries = append(g.Entries, t.m[k].e)
		}
	}
	t.mu.Unlock()
	for k, s := range q.Have {
		if s.Newer(mine.Have[k]) && len(g.Want) < pullAt {
			g.Want = append(g.Want, k)
		}
	}
	return g
}

// pick gives the entries of some keys, up to pullAt.
func (t *Table) pick(keys []string) bundle {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b bundle
	for _, k := range keys[:min(len(keys), pullAt)] {
		if h := t.m[k]; h != nil {
			b.Entries = append(b.Entries, h.e)
		}
	}
	return b
}

// Mend makes a table and a peer's know what either knows. It gives the peer's word
// on how long it has been out of touch, or 0 where that could not be done.
func Mend(ctx context.Context, caller *wire.Client, t *Table, addr, self string) touch.Word {
	d, err := wire.Call[Digest, Diff](ctx, caller, addr, digestPath, Digest{Total: t.total()})
	if err == nil && !d.ReadsTotal {
		d, err = wire.Call[Digest, Diff](ctx, caller, addr, digestPath, t.digest())
	}
	if err != nil {
		return 0
	}
	if len(d.Sums) > 0 {
		d.Bucket = t.digest().differing(d.Sums)
	}
	if len(d.Bucket) == 0 {
		return d.Touch
	}
	g, err := wire.Call[Heads, Gap](ctx, caller, addr, "/news/gap", t.heads(d.Bucket))
	if err != nil {
		return 0
	}
	for _, e := range g.Entries {
		t.Learn(e)
	}
	if len(g.Want) > 0 {
		b := t.pick(g.Want)
		b.From = self
		// Why: what it lacks is its own loss; what we lacked is here.
		_, _ = wire.CallEncoded[Pushed](ctx, caller, addr, "/news/push", wire.EncodeMessage(b))
	}
	return d.Touch
}
