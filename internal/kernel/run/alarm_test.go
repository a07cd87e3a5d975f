package run

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestAnAlarmGivesItsCommandOnceEachTimeItIsSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(context.Background())
		defer g.Stop()
		began, times := time.Now(), []time.Duration{}
		var a *Alarm
		a = NewAlarm(NewActor(g, 4, 0, nil), func() {
			times = append(times, time.Since(began))
			if len(times) < 3 {
				a.In(time.Second)
			}
		})
		a.In(2 * time.Second)
		a.In(time.Second) // it is set already
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(times) != 3 || times[0] != 2*time.Second || times[1] != 3*time.Second || times[2] != 4*time.Second {
			t.Errorf("it came at %v", times)
		}
	})
}

func TestAnAlarmWaitsForAnActorThatIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(context.Background())
		defer g.Stop()
		d := NewActor(g, 1, 0, nil)
		g.Freeze()
		for d.Tell(func() {}) == nil {
			synctest.Wait()
		}
		came := false
		NewAlarm(d, func() { came = true }).In(time.Second)
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

func TestAnAlarmOfAStoppedActorEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(context.Background())
		d := NewActor(g, 1, 0, nil)
		NewAlarm(d, func() { t.Error("a stopped actor has worked") }).In(time.Second)
		g.Stop()
		_ = d.Tell(func() {})
		time.Sleep(time.Minute)
	})
}
