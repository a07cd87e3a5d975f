package fleet

import (
	"fmt"

	"drumstall.example/internal/check"
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
