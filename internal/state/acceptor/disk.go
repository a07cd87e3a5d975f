package acceptor

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"runtime"

	"github.com/cockroachdb/pebble/v2"
	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// pebbleLogger logs pebble's errors and marks the disk as failed after a fatal one.
type pebbleLogger struct{ a *Acceptor }

func (l pebbleLogger) Infof(string, ...any) {}

func (l pebbleLogger) Errorf(format string, args ...any) {
	l.a.log.Warn("pebble: " + fmt.Sprintf(format, args...))
}

func (l pebbleLogger) Fatalf(format string, args ...any) {
	// A disk failure ends this core's voting but not the process; writes that were not synced are never acknowledged.
	if !l.a.diskFailed.Swap(true) {
		l.a.log.Error("disk failed: " + fmt.Sprintf(format, args...))
	}
	runtime.Goexit()
}

var (
	keyDiskID     = []byte("m/disk")
	keyMembership = []byte("m/standing")
)

// keyPromise and keyRecord build storage keys; two-digit slot numbers keep the slots in order.
func keyPromise(slot int) []byte { return fmt.Appendf(nil, "p/%02d", slot) }

func keyRecord(slot int, k string) []byte { return fmt.Appendf(nil, "r/%02d/%s", slot, k) }

// recordBounds returns iterator bounds that contain exactly the records of one slot.
func recordBounds(slot int) *pebble.IterOptions {
	return &pebble.IterOptions{LowerBound: fmt.Appendf(nil, "r/%02d/", slot), UpperBound: fmt.Appendf(nil, "r/%02d0", slot)}
}

// newDiskID generates a random ID for a data folder.
func newDiskID() (string, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(id[:]), nil
}

// minFreeSpace is the free disk space below which writes are refused; pebble needs space for compactions.
const minFreeSpace = 64 << 20

// lacksSpace reports whether the disk has too little free space for writes. Writes resume once there is enough.
func (a *Acceptor) lacksSpace() bool {
	u, err := a.fs.GetDiskUsage(a.folder)
	return err == nil && u.AvailBytes < minFreeSpace
}

// read decodes the value of a key into v, and reports whether the key exists.
func (a *Acceptor) read(key []byte, v any) (bool, error) {
	raw, closer, err := a.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer closer.Close()
	return true, wire.Unmarshal(raw, v)
}

// commit writes one batch and waits until it is synced. It returns
// state.ErrDiskFailed if the batch may not have been stored. A failed sync ends this core's voting until it is restarted.
func (a *Acceptor) commit(fill func(*pebble.Batch) error) error {
	if a.diskFailed.Load() {
		return state.ErrDiskFailed
	}
	if a.lacksSpace() {
		return errors.Wrap(state.ErrDiskFailed, "disk is full")
	}
	b := a.db.NewBatch()
	defer b.Close()
	if err := fill(b); err != nil {
		return errors.Wrap(state.ErrDiskFailed, err.Error())
	}
	if err := a.applySynced(b); err != nil {
		a.diskFailed.Store(true)
		return errors.Wrap(state.ErrDiskFailed, err.Error())
	}
	return nil
}

// applySynced applies a batch to pebble and waits until it is synced. Pebble applies
// batches one at a time under a mutex, which it also holds while a slow disk creates a new file. Goroutines wait on
// applyLock, a channel, instead, because a simulation can detect that wait. Applied batches share a sync.
func (a *Acceptor) applySynced(b *pebble.Batch) error {
	err := func() error {
		a.applyLock <- struct{}{}
		defer func() { <-a.applyLock }()
		return a.db.ApplyNoSyncWait(b, pebble.Sync)
	}()
	if err != nil {
		return err
	}
	return b.SyncWait()
}
