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

func TestAnAlarmThatIsMovedComesAtTheTimeThatWasSetLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		defer g.Stop()
		var came []time.Duration
		began := time.Now()
		a := NewAlarm(NewActor(g, 4, 0, nil), func() { came = append(came, time.Since(began)) })
		time.Sleep(2 * time.Hour) // one that was never set does not come
		began = time.Now()
		a.Move(time.Second)
		a.Move(100 * time.Millisecond)
		time.Sleep(5 * time.Second)
		a.Move(100 * time.Millisecond)
		a.Move(time.Second)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if len(came) != 2 || came[0] != 100*time.Millisecond || came[1] != 6*time.Second {
			t.Errorf("came after %v", came)
		}
	})
}

func TestAnAlarmComesOnceForAnActorThatHadNoPlaceLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		defer g.Stop()
		a := NewActor(g, 1, 0, nil)
		came := 0
		w := NewAlarm(a, func() { came++ })
		for range 2 { // one is worked on, one waits
			_ = a.Tell(func() { time.Sleep(time.Second) })
			time.Sleep(time.Millisecond)
		}
		w.Move(0)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if came != 1 {
			t.Errorf("came %d times", came)
		}
	})
}

func TestAnAlarmThatIsMovedAfterItsActorStoppedDoesNotCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGroup(t.Context())
		w := NewAlarm(NewActor(g, 4, 0, nil), func() { t.Error("a stopped actor has worked") })
		g.Stop()
		w.Move(0)
		time.Sleep(time.Second)
	})
}
