package runbook

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// moving is a control whose status shows every slot held from an instant on.
type delayedControl struct {
	Control
	heldFrom time.Time
}

func (c delayedControl) Status(context.Context) (Status, error) {
	held := map[string]uint64{}
	for i := range slotCount {
		held[string(rune('a'+i))] = 1
	}
	if time.Now().Before(c.heldFrom) {
		delete(held, "a")
	}
	return Status{Slots: map[string]map[string]uint64{"core-1": held}}, nil
}

func TestRunWaitsForSlotHandoverBeforeRefusing(t *testing.T) {
	for _, c := range []struct {
		heldAfter time.Duration
		refused   bool
	}{{0, false}, {time.Second, false}, {time.Minute, true}} {
		synctest.Test(t, func(t *testing.T) {
			err := Run(t.Context(), delayedControl{heldFrom: time.Now().Add(c.heldAfter)}, Procedure{Name: "test", Check: requireAllSlots}, time.Minute, io.Discard)
			if errors.Is(err, ErrPrecondition) != c.refused {
				t.Errorf("every slot is held after %v: %v", c.heldAfter, err)
			}
		})
	}
}
