package capacity

import (
	"time"

	"drumstall.example/internal/kernel/bounds"
)

// Cadence is how often the parts look at one another on the users' platform.
func Cadence() bounds.Cadence {
	return bounds.Cadence{ReplicaIdle: 700 * time.Millisecond, ReplicaBusy: 40 * time.Millisecond, List: 900 * time.Millisecond,
		ListFallback: 1200 * time.Millisecond, Plan: 50 * time.Millisecond, DecisionInterval: 300 * time.Millisecond, SharePredictions: 500 * time.Millisecond,
		Report: 500 * time.Millisecond, PersistDemand: 20 * time.Second, NoHolderTimeout: 8 * time.Second, AskTimeout: 350 * time.Millisecond, MaxLoads: 3, HandbackDelay: time.Minute, StartupHold: 6 * time.Second}
}
