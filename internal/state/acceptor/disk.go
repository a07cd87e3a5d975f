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

// pebbleLog tells the acceptor of pebble's troubles.
type pebbleLogger struct{ a *Acceptor }

func (l pebbleLogger) Infof(string, ...any) {}

func (l pebbleLogger) Errorf(format string, args ...any) {
	l.a.log.Warn("pebble: " + fmt.Sprintf(format, args...))
}

func (l pebbleLogger) Fatalf(format string, args ...any) {
	// Why: a disk that failed must cost this vote, not the process; what it did not sync is never answered for.
	if !l.a.diskFailed.Swap(true) {
		l.a.log.Error("disk failed: " + fmt.Sprintf(format, args...))
	}
	runtime.Goexit()
}

var (
	keyDiskID     = []byte("m/disk")
	keyMembership = []byte("m/standing")
)

// keyPromise and keyRecord are keys on the disk; two digits keep the slots in order.
func keyPromise(slot int) []byte { return fmt.Appendf(nil, "p/%02d", slot) }

func keyRecord(slot int, k string) []byte { return fmt.Appendf(nil, "r/%02d/%s", slot, k) }

// bounds holds exactly the records of one slot.
func recordBounds(slot int) *pebble.IterOptions {
	return &pebble.IterOptions{LowerBound: fmt.Appendf(nil, "r/%02d/", slot), UpperBound: fmt.Appendf(nil, "r/%02d0", slot)}
}

// newDisk is a fresh identity of a data folder.
func newDiskID() (string, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(id[:]), nil
}

// spare is what must be free on the disk; pebble itself needs room to tidy up.
const minFreeSpace = 64 << 20

// full says whether the disk is too full to write to; it votes again when there is room.
func (a *Acceptor) lacksSpace() bool {
	u, err := a.fs.GetDiskUsage(a.folder)
	return err == nil && u.AvailBytes < minFreeSpace
}

// read unpacks the value of a key into v, and says whether there is one.
func (a *Acceptor) read(key []byte, v any) (bool, error) {
	raw, closer, err := a.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer closer.Close()
	return true, wire.Unpack(raw, v)
}

// commit writes one batch and waits until it is synced; state.ErrSick says that it
// may not have been. A failed sync ends this core's voting until it is restarted.
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

// synced hands a batch to pebble and waits until it is on the disk. Why: pebble
// takes batches in one at a time under a mutex, also while a slow disk gives it a new file; whoever waits for that
// waits at our door, where a simulation sees it wait. Syncing is shared by all that are in.
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
