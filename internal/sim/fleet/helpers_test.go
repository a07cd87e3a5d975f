package fleet

import (
	"context"
	"fmt"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/conf"
)

func (f *Fleet) back() { f.Rec.Put(check.Event{Kind: check.Back}) }

// patchNow changes one weight; every submission differs from all others.
func (f *Fleet) patchNow(at int) (uint64, bool) {
	return f.Patch(at, []byte(fmt.Sprintf(`{"replace": {"weights": {"zone": {"weight": %d.%09d}}}}`, f.Rnd.IntN(9), f.Rnd.IntN(1e9))), "")
}

func (f *Fleet) count(kind string, ok func(e check.Event) bool) int {
	n := 0
	for _, e := range f.Rec.Events() {
		if e.Kind == kind && (ok == nil || ok(e)) {
			n++
		}
	}
	return n
}

// untilCopies waits until so many replicas hold a model.
func (f *Fleet) untilCopies(model string, copies int) {
	f.Until(30*time.Second, fmt.Sprintf("%d copies of %s", copies, model), func() bool {
		n := 0
		for _, r := range f.Replicas {
			if r.Holds(conf.Item{Model: model}) {
				n++
			}
		}
		return n == copies
	})
}

// newestWithin asks a core for the newest configuration and waits so long for it.
func newestWithin(ctx context.Context, n *Node, within time.Duration) (conf.Stored, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return n.Core.Newest(ctx)
}
