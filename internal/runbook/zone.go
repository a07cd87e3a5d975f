package runbook

import (
	"context"
	"fmt"
)

// DrainZone takes a zone's replicas out of use, so that its machines may be stopped.
func DrainZone(c Control, zone string) Procedure {
	inZone := func(s Status) (ids []string) {
		for _, r := range s.Replicas {
			if r.Listed.Zone == zone {
				ids = append(ids, r.Listed.ID)
			}
		}
		return ids
	}
	return Procedure{Name: "drain zone " + zone,
		Check: func(s Status) []string { return drainBlockers(s, zone) },
		Steps: []Step{
			{Name: "the drain is in force", Do: func(ctx context.Context) error {
				return c.Patch(ctx, []byte(fmt.Sprintf(`{"replace":{"drains":{"zone-%s":{"selector":"zone=%s"}}}}`, zone, zone)))
			}, Done: func(_ context.Context, s Status) (bool, string) {
				for _, r := range s.Replicas {
					if r.Listed.Zone == zone && !r.Listed.Leaving {
						return false, r.Listed.ID + " is still in use"
					}
				}
				return isSettled(s)
			}},
			{Name: "no request is on its replicas", Done: func(_ context.Context, s Status) (bool, string) {
				for _, id := range inZone(s) {
					if n := s.Inflight[id]; n > 0 {
						return false, fmt.Sprintf("%d requests on %s", n, id)
					}
				}
				return true, ""
			}},
			{Name: "claims are met elsewhere", Done: func(_ context.Context, s Status) (bool, string) { return claimsMet(s) }},
		}}
}

// neededIn says why a zone cannot be done without just now.
func drainBlockers(s Status, zone string) (missing []string) {
	rest, cores := 0, 0
	for _, r := range s.Replicas {
		if r.Listed.Zone != zone && !r.Listed.Leaving && !r.Dark && r.Listed.Model {
			rest++
		}
	}
	if rest == 0 {
		missing = append(missing, "no model replica outside "+zone+" is in use; take some over first")
	}
	for _, m := range s.Members {
		if m.Role == "core" && m.Zone != zone && m.Phase == "voter" && s.isAlive(m) {
			cores++
		}
	}
	if need := s.quorum(); cores < need {
		missing = append(missing, fmt.Sprintf("only %d voters are alive outside %s and %d are needed; bring the others back first", cores, zone, need))
	}
	return missing
}

// UndrainZone brings a zone back into use.
func UndrainZone(c Control, zone string) Procedure {
	return Procedure{Name: "bring back zone " + zone,
		Check: requireAllSlots,
		Steps: []Step{{Name: "the drain is lifted", Do: func(ctx context.Context) error {
			return c.Patch(ctx, []byte(fmt.Sprintf(`{"remove":{"drains":["zone-%s"]}}`, zone)))
		}, Done: func(_ context.Context, s Status) (bool, string) {
			for _, r := range s.Replicas {
				if r.Listed.Zone == zone && r.Listed.Leaving {
					return false, r.Listed.ID + " is not in use yet"
				}
			}
			return isSettled(s)
		}}}}
}
