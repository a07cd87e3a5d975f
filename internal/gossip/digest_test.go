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

// digestPeer serves a table for Reconcile, in the current version or in an earlier one, which
// compares only bucket sums. It records the digests it receives.
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

// After one exchange both tables hold the newest entries of either, also with a peer of an earlier version;
// equal tables exchange one sum.
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
			t.Errorf("earlier version %t: tables still differ", earlier)
		}
		calls, _ := caller.Sent()
		*asked = nil
		Reconcile(t.Context(), caller, a, addr, "a")
		after, _ := caller.Sent()
		switch {
		case earlier && len(*asked) != 2:
			t.Errorf("a peer of an earlier version received %d digests, want 2", len(*asked))
		case !earlier && (after-calls != 1 || len((*asked)[0].Sums) != 0):
			t.Errorf("equal tables took %d calls and %d bucket sums, want 1 and 0", after-calls, len((*asked)[0].Sums))
		}
	}
}

// A peer of an earlier version sends its bucket sums and gets the buckets that differ.
func TestCompareDigestAnswersEarlierVersionWithBuckets(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Put(entry("k", 1, 1))
	got := b.compareDigest(a.digest())
	if len(got.Buckets) != 1 || got.Buckets[0] != bucketOf("k") || len(got.Sums) != 0 {
		t.Errorf("%+v", got)
	}
	b.Put(entry("k", 1, 1))
	if got := b.compareDigest(a.digest()); len(got.Buckets) != 0 {
		t.Errorf("equal tables, but reply %+v", got)
	}
}

// Tables with the same entries have the same total in any order of insertion; a different entry changes it.
func TestTotalDependsOnlyOnEntries(t *testing.T) {
	a, b := NewTable(), NewTable()
	for i := range 100 {
		a.Put(entry(fmt.Sprint("k", i), 1, 1))
		b.Put(entry(fmt.Sprint("k", 99-i), 1, 1))
	}
	if !bytes.Equal(a.total(), b.total()) {
		t.Error("same entries, different totals")
	}
	b.Put(entry("k3", 1, 2))
	if bytes.Equal(a.total(), b.total()) {
		t.Error("newer entry, same total")
	}
}
