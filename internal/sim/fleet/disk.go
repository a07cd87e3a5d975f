package fleet

import (
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
)

// How a disk behaves.
const (
	DiskGood int32 = iota
	DiskSlow
	DiskStalled
	DiskFull
)

// diskFault makes a node's disk slow, stalled or full.
type diskFault struct{ n *Node }

func (diskFault) String() string { return "disk" }

// MaybeError is asked before each operation on the disk.
func (d diskFault) MaybeError(op errorfs.Op) error {
	for op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
		switch d.n.disk.Load() {
		case DiskSlow:
			time.Sleep(30 * time.Millisecond)
			return nil
		case DiskStalled:
			time.Sleep(100 * time.Millisecond)
			continue
		}
		return nil
	}
	return nil
}

// fillable is a disk that can be full.
type fillable struct {
	vfs.FS
	n *Node
}

// GetDiskUsage tells of a disk with room, or with next to none.
func (d fillable) GetDiskUsage(string) (vfs.DiskUsage, error) {
	u := vfs.DiskUsage{AvailBytes: 10 << 30, TotalBytes: 20 << 30, UsedBytes: 10 << 30}
	if d.n.disk.Load() == DiskFull {
		u.AvailBytes = 1 << 20
	}
	return u, nil
}

// Disk makes a node's disk behave in some way from now on.
func (f *Fleet) Disk(n *Node, how int32) { n.disk.Store(how) }
