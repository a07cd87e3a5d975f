package run

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestTimerRunsCommandOncePerStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(context.Background())
		defer g.Stop()
		began, times := time.Now(), []time.Duration{}
		var a *Timer
		a = NewTimer(NewActor(g, 4, 0, nil), func() {
			times = append(times, time.Since(began))
			if len(times) < 3 {
				a.Start(time.Second)
			}
		})
		a.Start(2 * time.Second)
		a.Start(time.Second) // it is set already
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(times) != 3 || times[0] != 2*time.Second || times[1] != 3*time.Second || times[2] != 4*time.Second {
			t.Errorf("it came at %v", times)
		}
	})
}

func TestTimerRetriesWhileActorQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(context.Background())
		defer g.Stop()
		d := NewActor(g, 1, 0, nil)
		g.Freeze()
		for d.TryEnqueue(func() {}) == nil {
			synctest.Wait()
		}
		came := false
		NewTimer(d, func() { came = true }).Start(time.Second)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if came {
			t.Error("a frozen actor has worked")
		}
		g.Thaw()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if !came {
			t.Error("the command was lost")
		}
	})
}

func TestTimerEndsWhenActorIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(context.Background())
		d := NewActor(g, 1, 0, nil)
		NewTimer(d, func() { t.Error("a stopped actor has worked") }).Start(time.Second)
		g.Stop()
		_ = d.TryEnqueue(func() {})
		time.Sleep(time.Minute)
	})
}

func TestResetTimerFiresAtLastSetTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		defer g.Stop()
		var came []time.Duration
		began := time.Now()
		a := NewTimer(NewActor(g, 4, 0, nil), func() { came = append(came, time.Since(began)) })
		time.Sleep(2 * time.Hour) // one that was never set does not come
		began = time.Now()
		a.Reset(time.Second)
		a.Reset(100 * time.Millisecond)
		time.Sleep(5 * time.Second)
		a.Reset(100 * time.Millisecond)
		a.Reset(time.Second)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if len(came) != 2 || came[0] != 100*time.Millisecond || came[1] != 6*time.Second {
			t.Errorf("came after %v", came)
		}
	})
}

func TestTimerFiresOnceAfterActorQueueWasFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		defer g.Stop()
		a := NewActor(g, 1, 0, nil)
		came := 0
		w := NewTimer(a, func() { came++ })
		for range 2 { // one is worked on, one waits
			_ = a.TryEnqueue(func() { time.Sleep(time.Second) })
			time.Sleep(time.Millisecond)
		}
		w.Reset(0)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if came != 1 {
			t.Errorf("came %d times", came)
		}
	})
}

func TestResetAfterActorStoppedDoesNotFire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		w := NewTimer(NewActor(g, 4, 0, nil), func() { t.Error("a stopped actor has worked") })
		g.Stop()
		w.Reset(0)
		time.Sleep(time.Second)
	})
}
