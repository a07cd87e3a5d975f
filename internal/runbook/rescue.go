package runbook

import (
	"context"
	"fmt"
	"slices"
)

// Rescue makes one surviving core the only voter, after the disks of a
// majority are lost for good. What only they had synced is lost.
func Rescue(c Control, addr string, lost []string) Procedure {
	return Procedure{Name: "rescue after quorum loss",
		Check: func(s Status) []string { return rescueBlockers(s, lost) },
		Steps: []Step{
			{Name: "the survivor is the only voter", Do: func(ctx context.Context) error {
				s, err := c.StatusOf(ctx, addr)
				if err != nil {
					return err
				}
				return c.Rescue(ctx, addr, lost, s.CoreMembers.Serial)
			}, Done: func(ctx context.Context, _ Status) (bool, string) {
				s, err := c.StatusOf(ctx, addr)
				return err == nil && s.isVoter(s.Core) && (len(s.CoreMembers.Cores) == 1 || s.CoreMembers.Serial > 1000), "not yet"
			}},
			{Name: "every slot is held again", Done: func(_ context.Context, s Status) (bool, string) {
				return s.held() >= slotCount, fmt.Sprintf("%d of %d slots are held", s.held(), slotCount)
			}},
			{Name: "the set is whole again", Hint: "start empty cores under the lost names", Done: func(_ context.Context, s Status) (bool, string) {
				n := len(s.healthyCores())
				return n >= len(lost)+1, fmt.Sprintf("%d of %d cores vote", n, len(lost)+1)
			}},
		}}
}

// notLost says why the core that made the status should not go on alone.
func rescueBlockers(s Status, lost []string) (missing []string) {
	if len(s.CoreMembers.Cores) == 1 && s.CoreMembers.Cores[0].Name == s.Core {
		return nil
	}
	if s.Phase != "voter" {
		missing = append(missing, "the core asked is "+s.Phase+"; give the operator address of one that holds the data")
	}
	if len(lost) < len(s.CoreMembers.Cores)/2 {
		missing = append(missing, "a quorum is left; start the lost machines, or see the runbook replace-core")
	}
	for _, o := range s.CoreMembers.Cores {
		named := slices.Contains(lost, o.Name)
		switch m, _ := s.Member(o.Name); {
		case o.Name == s.Core:
		case !named:
			missing = append(missing, o.Name+" is not named as lost; if its disk is whole start it instead, else add it to --lost")
		case m.State == "alive" && m.Phase == "voter":
			missing = append(missing, o.Name+" is alive; it is not lost")
		}
	}
	if s.held() > 0 {
		missing = append(missing, "slots are held, so there is a quorum; nothing needs to be rescued")
	}
	return missing
}
