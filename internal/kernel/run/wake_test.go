package run

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestAWakeComesAtTheTimeThatWasSetLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		defer g.Stop()
		var came []time.Duration
		began := time.Now()
		w := NewWake(NewActor(g, 4, 0, nil), func() { came = append(came, time.Since(began)) })
		time.Sleep(2 * time.Hour) // one that was never set does not come
		began = time.Now()
		w.In(time.Second)
		w.In(100 * time.Millisecond)
		time.Sleep(5 * time.Second)
		w.In(100 * time.Millisecond)
		w.In(time.Second)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if len(came) != 2 || came[0] != 100*time.Millisecond || came[1] != 6*time.Second {
			t.Errorf("came after %v", came)
		}
	})
}

func TestAWakeWaitsForAnActorThatHasNoPlaceLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		defer g.Stop()
		a := NewActor(g, 1, 0, nil)
		came := 0
		w := NewWake(a, func() { came++ })
		for range 2 { // one is worked on, one waits
			_ = a.Tell(func() { time.Sleep(time.Second) })
			time.Sleep(time.Millisecond)
		}
		w.In(0)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if came != 1 {
			t.Errorf("came %d times", came)
		}
	})
}

func TestAWakeOfAStoppedActorDoesNotCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		w := NewWake(NewActor(g, 4, 0, nil), func() { t.Error("a stopped actor has worked") })
		g.Stop()
		w.In(0)
		time.Sleep(time.Second)
	})
}
