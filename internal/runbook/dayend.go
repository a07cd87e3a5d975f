package runbook

import (
	"context"
	"fmt"
)

// DayEnd reads the newest acknowledged configuration back from every core and
// compares it, byte for byte, with what was sent last.
func DayEnd(c Control, sent []byte) Procedure {
	return Procedure{Name: "end-of-day read-back",
		Check: func(s Status) (missing []string) {
			if s.Conf == 0 {
				missing = append(missing, "there is no configuration to read back")
			}
			return missing
		},
		Steps: []Step{
			settledStep(),
			{Name: "every core reads back the same bytes", Done: func(ctx context.Context, s Status) (bool, string) {
				return sameReadBack(ctx, c, s, sent)
			}},
		}}
}

// readsBackAlike says whether every live core has the same submission, and sent
// where that is given.
func sameReadBack(ctx context.Context, c Control, s Status, sent []byte) (bool, string) {
	first := ""
	for _, m := range s.Members {
		if m.Role != "core" || m.State != "alive" || m.Operator == "" {
			continue
		}
		serial, _, body, err := c.ReadBack(ctx, m.Operator)
		if err != nil {
			return false, m.Name + ": " + err.Error()
		}
		if sent != nil && string(body) != string(sent) {
			return false, fmt.Sprintf("%s reads back serial %s with other bytes than the file", m.Name, serial)
		}
		if got := serial + string(body); first == "" {
			first = got
		} else if got != first {
			return false, m.Name + " reads back something else"
		}
	}
	return first != "", "no core answers"
}
