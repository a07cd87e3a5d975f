package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/state"
)

// sameSlot is n keys of the slot of testKey.
func keysInTestSlot(n int) (keys []string) {
	for i := 0; len(keys) < n; i++ {
		if key := fmt.Sprintf("replica/r-%d", i); state.SlotOf(key) == state.SlotOf(testKey) {
			keys = append(keys, key)
		}
	}
	return keys
}

// one adds one to a counter of a single byte.
func increment(old state.Record, found bool) ([]byte, error) {
	if !found {
		return []byte{1}, nil
	}
	return []byte{old.Value[0] + 1}, nil
}

// Changes of one slot waited for each other's writes, however many there were.
func TestPendingChangesShareAWrite(t *testing.T) {
	const roundTrip, together = 100 * time.Millisecond, 40
	synctest.Test(t, func(t *testing.T) {
		v := newClusterWithDelays(t, roundTrip/2, roundTrip/2)
		defer v.stop()
		began := time.Now()
		var wg sync.WaitGroup
		for _, key := range keysInTestSlot(together) {
			wg.Go(func() {
				if _, err := v.owner.Update(t.Context(), key, increment); err != nil {
					t.Errorf("%s: %v", key, err)
				}
			})
		}
		wg.Wait()
		// The first goes alone, and a dial is a round trip of its own.
		if took := time.Since(began); took > 4*roundTrip {
			t.Errorf("%d changes took %v, a round trip takes %v", together, took, roundTrip)
		}
		stamps := map[state.Stamp]bool{}
		for _, key := range keysInTestSlot(together) {
			rec, found, err := v.owner.Get(t.Context(), key)
			if err != nil || !found || rec.Value[0] != 1 || stamps[rec.Stamp] {
				t.Errorf("%s: %v, found %v, %v", key, rec, found, err)
			}
			stamps[rec.Stamp] = true
		}
	})
}

// Each change of a key sees the one before, and no change that failed or was given up on is kept.
func TestChangesOfOneKeyAreSerialized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newClusterWithDelays(t, 20*time.Millisecond, 50*time.Millisecond)
		defer v.stop()
		refused := errors.New("refused")
		keys := keysInTestSlot(3)
		var wg sync.WaitGroup
		for i := range 10 {
			for _, key := range keys {
				wg.Go(func() {
					if _, err := v.owner.Update(t.Context(), key, increment); err != nil {
						t.Errorf("%s: %v", key, err)
					}
				})
			}
			wg.Go(func() {
				_, err := v.owner.Update(t.Context(), keys[0], func(state.Record, bool) ([]byte, error) { return nil, refused })
				if !errors.Is(err, refused) {
					t.Errorf("a change that was refused says %v", err)
				}
			})
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Millisecond)
				defer cancel()
				ran := false
				_, err := v.owner.Update(ctx, keys[1], func(old state.Record, found bool) ([]byte, error) {
					ran = true
					return increment(old, found)
				})
				if ran != (err == nil) || err != nil && !errors.Is(err, state.ErrNoQuorum) {
					t.Errorf("given up on: ran %v, %v", ran, err)
				}
				if err == nil {
					// It counts, so take it back.
					if _, err := v.owner.Update(t.Context(), keys[1], func(old state.Record, _ bool) ([]byte, error) { return []byte{old.Value[0] - 1}, nil }); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		for _, key := range keys {
			if rec, _, err := v.owner.Get(t.Context(), key); err != nil || rec.Value[0] != 10 {
				t.Errorf("%s: %v, %v, want 10 changes", key, rec.Value, err)
			}
		}
	})
}
