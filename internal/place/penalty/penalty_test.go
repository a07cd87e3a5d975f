package penalty

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestEvaluate(t *testing.T) {
	datadriven.RunTest(t, "testdata/csf", func(t *testing.T, d *datadriven.TestData) string {
		need, csf, wanted := 0, 1.0, 0.0
		d.ScanArgs(t, "need", &need)
		if d.HasArg("csf") {
			var s string
			d.ScanArgs(t, "csf", &s)
			fmt.Sscan(s, &csf)
		}
		var w string
		d.ScanArgs(t, "wanted", &w)
		fmt.Sscan(w, &wanted)
		var candidates []Victim
		for _, l := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			var v Victim
			if n, _ := fmt.Sscan(l, &v.Item, &v.Size, &v.Penalty); n == 3 {
				candidates = append(candidates, v)
			}
		}
		v := Evaluate(need, wanted, csf, d.HasArg("alone"), candidates)
		out := fmt.Sprintf("load=%v sum=%g freed=%d: %s\n", v.Load, v.VictimPenalty, v.Freed, v.Reason)
		for _, x := range v.Victims {
			out += x.Item + " goes\n"
		}
		return out
	})
}
