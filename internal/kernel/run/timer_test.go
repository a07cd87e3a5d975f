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
		var timer *Timer
		timer = NewTimer(NewActor(g, 4, 0, nil), func() {
			times = append(times, time.Since(began))
			if len(times) < 3 {
				timer.Start(time.Second)
			}
		})
		timer.Start(2 * time.Second)
		timer.Start(time.Second) // no effect: already pending
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(times) != 3 || times[0] != 2*time.Second || times[1] != 3*time.Second || times[2] != 4*time.Second {
			t.Errorf("the command ran after %v", times)
		}
	})
}

func TestTimerRetriesWhileActorQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(context.Background())
		defer g.Stop()
		actor := NewActor(g, 1, 0, nil)
		g.Freeze()
		for actor.TryEnqueue(func() {}) == nil {
			synctest.Wait()
		}
		ran := false
		NewTimer(actor, func() { ran = true }).Start(time.Second)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if ran {
			t.Error("a frozen actor ran the command")
		}
		g.Thaw()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if !ran {
			t.Error("the command did not run after the group was thawed")
		}
	})
}

func TestTimerEndsWhenActorIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(context.Background())
		actor := NewActor(g, 1, 0, nil)
		NewTimer(actor, func() { t.Error("a stopped actor ran the command") }).Start(time.Second)
		g.Stop()
		_ = actor.TryEnqueue(func() {})
		time.Sleep(time.Minute)
	})
}

func TestResetTimerFiresAtLastSetTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		defer g.Stop()
		var fired []time.Duration
		began := time.Now()
		timer := NewTimer(NewActor(g, 4, 0, nil), func() { fired = append(fired, time.Since(began)) })
		time.Sleep(2 * time.Hour) // a timer that was never started does not fire
		began = time.Now()
		timer.Reset(time.Second)
		timer.Reset(100 * time.Millisecond)
		time.Sleep(5 * time.Second)
		timer.Reset(100 * time.Millisecond)
		timer.Reset(time.Second)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if len(fired) != 2 || fired[0] != 100*time.Millisecond || fired[1] != 6*time.Second {
			t.Errorf("fired after %v", fired)
		}
	})
}

func TestTimerFiresOnceAfterActorQueueWasFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		defer g.Stop()
		actor := NewActor(g, 1, 0, nil)
		runs := 0
		timer := NewTimer(actor, func() { runs++ })
		for range 2 { // one command runs, the other fills the queue
			_ = actor.TryEnqueue(func() { time.Sleep(time.Second) })
			time.Sleep(time.Millisecond)
		}
		timer.Reset(0)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if runs != 1 {
			t.Errorf("the command ran %d times", runs)
		}
	})
}

func TestResetAfterActorStoppedDoesNotFire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		timer := NewTimer(NewActor(g, 4, 0, nil), func() { t.Error("a stopped actor ran the command") })
		g.Stop()
		timer.Reset(0)
		time.Sleep(time.Second)
	})
}
