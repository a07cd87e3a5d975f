package capacity

import (
	"time"

	"drumstall.example/internal/kernel/bounds"
)

// Cadence is how often the parts look at one another on the users' platform.
func Cadence() bounds.Cadence {
	return bounds.Cadence{ReplicaIdle: 700 * time.Millisecond, ReplicaBusy: 40 * time.Millisecond, List: 900 * time.Millisecond,
		ListSpare: 1200 * time.Millisecond, Plan: 50 * time.Millisecond, Again: 300 * time.Millisecond, Share: 500 * time.Millisecond,
		Report: 500 * time.Millisecond, Keep: 20 * time.Second, Hold: 8 * time.Second, Ask: 350 * time.Millisecond, Tasks: 3, Handback: time.Minute, Start: 6 * time.Second}
}
