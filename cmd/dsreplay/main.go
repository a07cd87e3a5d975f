// dsreplay replays simulated days of a deployment through the placement code
// and prints how policies and settings compare.
package main

import (
	"fmt"
	"os"
	"strings"

	"drumstall.example/internal/kernel/setup"
	"drumstall.example/internal/replay"
	"drumstall.example/internal/stand"
)

var settings = []setup.Setting{
	{Name: "deployment", Default: "cascadia", Check: setup.OneOf("cascadia", "fotofamilia"), Doc: "cascadia or fotofamilia"},
	{Name: "days", Default: "10", Check: setup.IntRange(8, 60), Doc: "days; the first seven only make history"},
	{Name: "scale", Default: "100", Check: setup.IntRange(1, 2000), Doc: "traffic in percent of the deployment's"},
	{Name: "memory", Default: "100", Check: setup.IntRange(10, 400), Doc: "replicas' memory in percent of the deployment's"},
	{Name: "only", Check: func(string) string { return "" }, Doc: "only cases whose name holds this"},
	{Name: "seed", Default: "1", Check: setup.IntRange(0, 1<<30), Doc: "seed of the traffic"},
}

func main() {
	s, code, done := setup.Read("dsreplay", "simulated days through the placement code, policies compared", settings, os.Args[1:], os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	d := stand.Deployments()[s["deployment"]]()
	d.Replica.CapacityMib = d.Replica.CapacityMib * s.Int("memory") / 100
	w := replay.NewWorld(d, s.Int("days"), uint64(s.Int("seed")), float64(s.Int("scale"))/100)
	fmt.Printf("| %s, %d days, seed %s, memory %s %% | hit rate | loads | GiB from the store | turned away |", s["deployment"], s.Int("days"), s["seed"], s["memory"])
	for _, f := range d.Flows {
		if len(f.Items) > 0 {
			fmt.Printf(" %s p50/p99 ms |", f.Class)
		}
	}
	fmt.Print("\n|---|---|---|---|---|---|---|---|\n")
	for _, c := range replay.Cases() {
		if !strings.Contains(c.Name, s["only"]) {
			continue
		}
		r := w.Run(c)
		fmt.Printf("| %s | %.2f %% | %d | %d | %.2f %% |", c.Name, 100*float64(r.Hits)/float64(r.Requests), r.Loads, r.Mib/1024, 100*float64(r.Late)/float64(r.Requests))
		for _, cl := range r.Classes {
			if cl.Requests > 0 {
				fmt.Printf(" %d/%d |", cl.FirstP50Ms, cl.FirstP99)
			}
		}
		fmt.Println()
	}
}
