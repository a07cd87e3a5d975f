package main

import (
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"drumstall.example/internal/sim/capacity"
)

// slope is one figure that grows, or does not, with the fleet.
type slope struct {
	name string // of the figure, with its unit
	file string
	of   func(f figures) float64
}

func processorOf(r role) func(figures) float64 {
	return func(f figures) float64 { return 100 * f.roles[r].processor }
}

func privateOf(r role) func(figures) float64 {
	return func(f figures) float64 { return f.roles[r].private }
}

func networkOf(r role) func(figures) float64 {
	return func(f figures) float64 { return f.roles[r].network.both() / kilo }
}

func connectionsOf(r role) func(figures) float64 {
	return func(f figures) float64 { return f.roles[r].connections }
}

// drawn is the slopes of the page.
var drawn = []slope{
	{"node, hollow: KB/s of network, both ways", "node-network", networkOf(roleNodes)},
	{"node, hollow: connections", "node-connections", connectionsOf(roleNodes)},
	{"agent: % of a processor", "agent-processor", processorOf(roleAgent)},
	{"agent: MB private", "agent-memory", privateOf(roleAgent)},
	{"proxy: % of a processor", "proxy-processor", processorOf(roleProxy)},
	{"proxy: MB private", "proxy-memory", privateOf(roleProxy)},
	{"core: % of a processor", "core-processor", processorOf(roleCore)},
	{"core: MB private", "core-memory", privateOf(roleCore)},
	{"core: KB/s of network, both ways", "core-network", networkOf(roleCore)},
	{"core: connections", "core-connections", connectionsOf(roleCore)},
	{"a change at all nodes: s", "change", func(f figures) float64 { return f.change.all.Seconds() }},
}

// slopes lays a line through each figure of several sizes, prints it and draws it.
func slopes(all []figures, folder string, out io.Writer) error {
	var nodes []float64
	for _, f := range all {
		nodes = append(nodes, float64(f.size.nodes))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "== slopes by nodes (replicas grow with them)\tfor 100 nodes more\tat 0\tby the line at %d\tmeasured\n", maxNodes)
	for _, s := range drawn {
		var values []float64
		line := ""
		for _, f := range all {
			v := s.of(f)
			values = append(values, v)
			line += fmt.Sprintf(" %d:%.4g", f.size.nodes, v)
		}
		each, atZero := capacity.Fit(nodes, values)
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.4g\t%s\n", s.name, 100*each, atZero, atZero+each*maxNodes, line)
		if folder == "" {
			continue
		}
		if err := s.draw(nodes, values, each, atZero, folder); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	return w.Flush()
}

// Size of a plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// draw draws the points and the line into a file.
func (s slope) draw(nodes, values []float64, each, atZero float64, folder string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = s.name, "nodes"
	p.X.Min, p.X.Max, p.Y.Min = 0, maxNodes, 0
	var points plotter.XYs
	for i, x := range nodes {
		points = append(points, plotter.XY{X: x, Y: values[i]})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: atZero}, {X: maxNodes, Y: atZero + each*maxNodes}})
	if err != nil {
		return err
	}
	line.Color = color.Gray{Y: 120}
	p.Add(plotter.NewGrid(), line, scatter)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(folder, s.file+".svg"))
}
