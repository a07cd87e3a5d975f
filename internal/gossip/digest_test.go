package gossip

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"drumstall.example/internal/kernel/wire"
)

// digestPeer serves a table for Mend, as this build does or as an earlier one, which
// reads the sums of buckets alone; it counts what is asked.
func digestPeer(t *testing.T, table *Table, earlier bool) (addr string, digests *[]Digest) {
	mux, asked := wire.NewMux(), &[]Digest{}
	wire.Handle(mux, digestPath, func(_ context.Context, d Digest) (DigestReply, error) {
		*asked = append(*asked, d)
		if earlier {
			return DigestReply{Buckets: table.digest().differingBuckets(d.Sums)}, nil
		}
		return table.compareDigest(d), nil
	})
	wire.HandleCompressed(mux, "/news/gap", func(_ context.Context, h BucketStamps) (Delta, error) { return table.delta(h), nil })
	wire.Handle(mux, "/news/push", func(_ context.Context, b bundle) (PushReply, error) {
		for _, e := range b.Entries {
			table.PutRemote(e)
		}
		return PushReply{}, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), asked
}

// Two tables know what either knew after one exchange, also with an earlier version;
// those that are alike exchange one sum.
func TestReconcileComparesTotalFirst(t *testing.T) {
	for _, earlier := range []bool{false, true} {
		a, b := NewTable(), NewTable()
		for i := range 50 {
			e := entry(fmt.Sprint("k", i), 1, 1)
			if i != 7 {
				a.Put(e)
			}
			if i != 9 {
				b.Put(e)
			}
		}
		addr, asked := digestPeer(t, b, earlier)
		caller := wire.NewClient(wire.HostNetwork())
		t.Cleanup(caller.Close)
		Reconcile(t.Context(), caller, a, addr, "a")
		if !bytes.Equal(a.total(), b.total()) || fmt.Sprint(a.digest()) != fmt.Sprint(b.digest()) {
			t.Errorf("earlier version %t: still apart", earlier)
		}
		calls, _ := caller.Sent()
		*asked = nil
		Reconcile(t.Context(), caller, a, addr, "a")
		after, _ := caller.Sent()
		switch {
		case earlier && len(*asked) != 2:
			t.Errorf("an earlier version was asked %d times", len(*asked))
		case !earlier && (after-calls != 1 || len((*asked)[0].Sums) != 0):
			t.Errorf("tables that are alike took %d calls, %d sums", after-calls, len((*asked)[0].Sums))
		}
	}
}

// A peer of an earlier version sends the sums of its buckets, and is told which differ.
func TestCompareDigestAnswersEarlierVersionWithBuckets(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Put(entry("k", 1, 1))
	got := b.compareDigest(a.digest())
	if len(got.Buckets) != 1 || got.Buckets[0] != bucketOf("k") || len(got.Sums) != 0 {
		t.Errorf("%+v", got)
	}
	b.Put(entry("k", 1, 1))
	if got := b.compareDigest(a.digest()); len(got.Buckets) != 0 {
		t.Errorf("alike, but %+v", got)
	}
}

// Tables with the same entries have the same total in whatever order they came, and another entry makes another.
func TestTotalDependsOnlyOnEntries(t *testing.T) {
	a, b := NewTable(), NewTable()
	for i := range 100 {
		a.Put(entry(fmt.Sprint("k", i), 1, 1))
		b.Put(entry(fmt.Sprint("k", 99-i), 1, 1))
	}
	if !bytes.Equal(a.total(), b.total()) {
		t.Error("the same entries, another total")
	}
	b.Put(entry("k3", 1, 2))
	if bytes.Equal(a.total(), b.total()) {
		t.Error("a newer entry, the same total")
	}
}
