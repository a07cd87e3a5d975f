package pace

import (
	"fmt"
	"testing"
	"time"
)

func granted(k *Keeper, now time.Duration, loads, asked int) int {
	n := 0
	for i := range asked {
		if _, ok := k.Grant(now, loads, fmt.Sprint("r", i), 1); ok {
			n++
		}
	}
	return n
}

func TestOneThatResumesWaitsToBeTold(t *testing.T) {
	const now = time.Hour
	k := Resume(now, Window, nil)
	if wait, ok := k.Grant(now, 2, "r0", 1); ok || wait != settle {
		t.Errorf("at once: wait %v, ok %v", wait, ok)
	}
	if got := k.Use(now, 2); got != 1 {
		t.Errorf("its use is %v before it may grant", got)
	}
	if n := granted(k, now+settle, 2, 2); n != 2 {
		t.Errorf("%d of 2 granted after that", n)
	}
}

func TestGrantsWrittenDownCountFromTheChange(t *testing.T) {
	const now = time.Hour
	k := Resume(now, Window, []time.Duration{0, Window, Window + GrantLife, Window + GrantLife + 1, time.Minute})
	if got := k.Ages(now + time.Second); len(got) != 3 || got[0] != time.Second {
		t.Errorf("these count: %v", got)
	}
	if n := granted(k, now+settle, 4, 4); n != 1 {
		t.Errorf("%d granted of 4 places with three taken", n)
	}
	if n := granted(k, now+Window+GrantLife, 4, 4); n != 0 {
		t.Errorf("%d granted while the last of them may still start", n)
	}
	if n := granted(k, now+Window+GrantLife+1, 4, 4); n != 3 {
		t.Errorf("%d granted after they count no more", n)
	}
}

func TestAResumedKeeperIsWrittenDownInTurn(t *testing.T) {
	k := Resume(0, Window, []time.Duration{time.Second})
	if n := granted(k, settle, 2, 2); n != 1 {
		t.Fatalf("%d granted", n)
	}
	next := Resume(2*time.Second, Window, k.Ages(2*time.Second))
	if n := granted(next, 2*time.Second+settle, 2, 2); n != 0 {
		t.Errorf("%d granted by the next one", n)
	}
}
