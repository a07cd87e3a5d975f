// Package simhost is what a simulated machine is made of besides its network: a
// clock that has run for a while and a disk in memory. Simulations, the experiment
// tool and tests use it; nothing that serves does.
package simhost

import (
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// upFor is how long a machine has run when a simulation begins.
const upFor = time.Hour

// Clock is a machine's time, which goes as the bubble's or the real one does.
type Clock struct{ zero time.Time }

// NewClock is the clock of a machine that has run for an hour.
func NewClock() Clock { return Clock{time.Now().Add(-upFor)} }

// Since is how long the machine has run.
func (c Clock) Since() time.Duration { return time.Since(c.zero) }

// Wall is the time of day.
func (Clock) Wall() time.Time { return time.Now() }

// Disk is a disk in memory, with room.
type Disk struct{ *vfs.MemFS }

// GetDiskUsage says that there is room.
func (Disk) GetDiskUsage(string) (vfs.DiskUsage, error) {
	return vfs.DiskUsage{AvailBytes: 10 << 30, TotalBytes: 20 << 30, UsedBytes: 10 << 30}, nil
}
