package load

import (
	"testing"
	"time"

	"drumstall.example/internal/kernel/wire"
)

func TestLogLineListsLargestGrowthFirst(t *testing.T) {
	before := map[string]wire.Stats{"/a": {Calls: 7, In: 9000, Out: 9000}, "/still": {Calls: 1, In: 1 << 20}}
	now := map[string]wire.Stats{
		"/a":     {Calls: 9, In: 9100, Out: 9020, Took: 4 * time.Millisecond},
		"/still": {Calls: 1, In: 1 << 20},
		"ping":   {Calls: 30, In: 6000, Took: time.Millisecond},
	}
	const want = "ping calls=30 in=6000 out=0 tookMs=1; /a calls=2 in=100 out=20 tookMs=4"
	if got := formatLargest(now, before); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
