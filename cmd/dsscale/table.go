package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Limits of a node for control, by the users' plan.
const (
	limitProcessor = 0.042 // of a processor
	limitMemory    = 64.0  // MB
	limitNetwork   = 8.0   // KB a second, both ways
	limitInForce   = 6.0   // s until a configuration is in force everywhere
)

const kilo = 1000.0

// shown is the roles in the order of the table.
var shown = []struct {
	role role
	name string
}{
	{roleNodes, "node, hollow (each)"},
	{roleAgent, "agent, real"},
	{roleProxy, "proxy, real"},
	{roleCore, "core, real"},
	{roleReplicas, "replica, hollow (each)"},
	{rolePlatform, "platform"},
}

// print prints the table of one size.
func (f figures) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "role\tof them\t% of a processor\tmost\tMB resident\tMB private\tMB heap\tcalls and datagrams/s\tKB/s out\tKB/s in\tloopback KB/s\tconnections\tstate")
	for _, line := range shown {
		r, found := f.roles[line.role]
		if !found {
			continue
		}
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.0f\t%s\n", line.name, r.units, 100*r.processor, 100*r.most, r.resident, r.private, r.heap,
			r.network.messages, r.network.out/kilo, r.network.in/kilo, r.loopback.both()/kilo, r.connections, r.state())
	}
	_ = w.Flush()
	for _, line := range shown {
		f.printKinds(out, line.role, line.name)
	}
	if f.change.err != nil {
		fmt.Fprintf(out, "a change of the configuration: %v\n", f.change.err)
	} else {
		fmt.Fprintf(out, "a change of the configuration: acknowledged after %s, at half of the nodes after %s, at all after %s\n",
			seconds(f.change.acknowledged), seconds(f.change.half), seconds(f.change.all))
	}
	f.printLimits(out)
	fmt.Fprintf(out, "all %d processes: %.2f processors, %.0f MB; the machine's load averages: %s\n\n", f.processes, f.processor, f.resident, f.busy)
}

// state is what a unit of a role holds.
func (r roleFigures) state() string {
	switch {
	case r.news > 0:
		return fmt.Sprintf("%.0f news, %.1f MB on disk", r.news, r.disk)
	case r.items > 0:
		return fmt.Sprintf("%.0f items counted", r.items)
	}
	return ""
}

// leastShown is the least traffic of a kind that has a line of its own, in bytes a second.
const leastShown = 1

func (f figures) printKinds(out io.Writer, which role, name string) {
	r, found := f.roles[which]
	if !found || which == rolePlatform {
		return
	}
	kinds := slices.SortedFunc(maps.Keys(r.kinds), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.kinds[b].both(), r.kinds[a].both()), cmp.Compare(a, b))
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "  %s: kind\ta second\tB/s out\tB/s in\n", name)
	for _, kind := range kinds {
		if one := r.kinds[kind]; one.both() >= leastShown {
			fmt.Fprintf(w, "    %s\t%.2f\t%.0f\t%.0f\n", kind, one.messages, one.out, one.in)
		}
	}
	_ = w.Flush()
}

// node is what a whole node uses. Processor and memory are those of a real agent and a real proxy, which
// have no callers; the network is a hollow node's, whose reports tell of the callers' requests.
func (f figures) node() (processor, memory, network float64) {
	hollow := f.roles[roleNodes]
	agent, found := f.roles[roleAgent]
	if !found {
		return hollow.processor, hollow.heap, hollow.network.both() / kilo
	}
	proxy := f.roles[roleProxy]
	return agent.processor + proxy.processor, agent.private + proxy.private, hollow.network.both() / kilo
}

func (f figures) printLimits(out io.Writer) {
	processor, memory, network := f.node()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "limit of a node\tmeasured\tlimit\t")
	fmt.Fprintf(w, "%% of a processor\t%.2f\t%.1f\t%s\n", 100*processor, 100*limitProcessor, verdict(processor, limitProcessor))
	fmt.Fprintf(w, "MB private\t%.1f\t%.0f\t%s\n", memory, limitMemory, verdict(memory, limitMemory))
	fmt.Fprintf(w, "KB/s for control\t%.2f\t%.0f\t%s\n", network, limitNetwork, verdict(network, limitNetwork))
	if inForce := f.change.all.Seconds(); f.change.err == nil {
		fmt.Fprintf(w, "s until a change is at all nodes\t%.2f\t%.0f\t%s\n", inForce, limitInForce, verdict(inForce, limitInForce))
	} else {
		fmt.Fprintf(w, "s until a change is at all nodes\tnever\t%.0f\tBREAKS\n", limitInForce)
	}
	_ = w.Flush()
}

func verdict(measured, limit float64) string {
	if measured <= limit {
		return "holds"
	}
	return fmt.Sprintf("BREAKS, %.1f times", measured/limit)
}
