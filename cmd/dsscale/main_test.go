package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"drumstall.example/internal/sim/capacity"
	"drumstall.example/internal/sim/hollow"
)

// TestMain lets this test's program be a process of the fleet, as the command's own is.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == childWord {
		os.Exit(hollow.Serve(os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func scale(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = scaleMain(args, &o, &e)
	return code, o.String(), e.String()
}

// What cannot be run is refused with the reason, and nothing is started.
func TestBadInputIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		args   []string
		reason string
	}{
		"unknown setting":      {[]string{"--nodes", "7"}, "no setting --nodes"},
		"unknown event":        {[]string{"--events", "flood"}, "must be of cut, zone"},
		"no size":              {[]string{"--sizes", "many"}, "must be NODESxREPLICAS"},
		"no nodes":             {[]string{"--sizes", "0x10"}, "must be NODESxREPLICAS"},
		"too many nodes":       {[]string{"--sizes", "10x10,411x600"}, "must be at most 410x600"},
		"more real than nodes": {[]string{"--sizes", "1x1", "--real", "2"}, "more than the nodes of size 1x1"},
		"something else":       {[]string{"41x60"}, "unexpected argument"},
		"too slow":             {[]string{"--slower", "4"}, "must be a whole number from 1 to 3"},
		"no time":              {[]string{"--for", "0s"}, "must be a duration"},
	} {
		dir := filepath.Join(t.TempDir(), "data")
		code, out, errs := scale(append([]string{"--dir", dir}, c.args...)...)
		if code != exitUsage || out != "" || !strings.Contains(errs, c.reason) {
			t.Errorf("%s: code %d, %q, %q", name, code, out, errs)
		}
		if _, err := os.Stat(dir); err == nil {
			t.Errorf("%s: something was begun", name)
		}
	}
}

func TestHelp(t *testing.T) {
	code, out, errs := scale("--help")
	if code != exitGood || errs != "" || !strings.Contains(out, "--sizes") || !strings.Contains(out, "--events") {
		t.Errorf("code %d, %q, %q", code, out, errs)
	}
}

// A size over the machine's means is named with what it needs.
func TestSizeOverTheMeans(t *testing.T) {
	p := plan{sizes: []size{{14, 21}, {410, 600}}, shape: hollow.Layout{Cores: 7, Zones: 7}, real: 2}
	for _, c := range []struct {
		m      means
		reason string
	}{
		{means{memory: 64 << 30, files: 20_000}, ""},
		{means{memory: 6 << 30, files: 20_000}, "size 410x600 needs"},
		{means{memory: 64 << 30, files: 1_024}, "open files"},
	} {
		err := p.fits(c.m)
		if (err == nil) != (c.reason == "") || err != nil && !strings.Contains(err.Error(), c.reason) {
			t.Errorf("%+v: %v, want %q", c.m, err, c.reason)
		}
	}
}

// A tiny fleet is measured, has a region cut off and loses a zone.
func TestTinyFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for some seconds")
	}
	code, out, errs := scale("--sizes", "4x3", "--cores", "3", "--zones", "3", "--real", "1", "--models", "8", "--adapters", "16", "--routes", "2",
		"--warm", "0s", "--for", "1s", "--apart", "1s", "--events", "cut,zone", "--block", "180", "--dir", filepath.Join(t.TempDir(), "data"))
	if code != exitGood || errs != "" {
		t.Fatalf("code %d, %s\n%s", code, errs, out)
	}
	for _, want := range []string{
		"== 4x3: 3 cores, 3 zones, 3 regions, 4 nodes (1 real), 3 replicas", "asks /place/report", "answers /place/report",
		"datagram ping", "answers /vitals", "KB/s for control",
		"-- region 2 is cut off: 1 nodes and 1 of 3 cores are in it", "a change is not acknowledged", "-- the cut ends",
		"-- zone 2 is lost: 1 nodes, 1 replicas, 1 cores", "the change is at all of them",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not in what was printed", want)
		}
	}
	if strings.Contains(out, "NOT whole") || t.Failed() {
		t.Errorf("the fleet did not become whole again, or not all was told:\n%s", out)
	}
}

// Several sizes make a line, a row and a plot of each slope.
func TestSlopes(t *testing.T) {
	var all []figures
	for _, n := range []int{100, 200, 300, 400} {
		f := figures{size: size{nodes: n, replicas: n}, roles: map[role]roleFigures{}}
		f.roles[roleCore] = roleFigures{units: 7, connections: float64(3*n + 20)}
		all = append(all, f)
	}
	var out bytes.Buffer
	plots := filepath.Join(t.TempDir(), "plots")
	if err := slopes(all, plots, &out); err != nil {
		t.Fatal(err)
	}
	row := ""
	for _, line := range strings.Split(out.String(), "\n") {
		if strings.HasPrefix(line, "core: connections") {
			row = strings.Join(strings.Fields(line), " ")
		}
	}
	if row != "core: connections 300 20 1250 100:320 200:620 300:920 400:1220" {
		t.Errorf("the row is %q", row)
	}
	for _, s := range drawn {
		if b, err := os.ReadFile(filepath.Join(plots, s.file+".svg")); err != nil || !bytes.Contains(b, []byte("<svg")) {
			t.Errorf("%s: no plot: %v", s.name, err)
		}
	}
}

// Figures are averages for each unit of a role; what passes between an agent and its proxy is not network.
func TestFiguresOfAWindow(t *testing.T) {
	began := time.Now()
	nodes := &part{role: roleNodes, spec: hollow.Spec{Nodes: []int{1, 2}}}
	sample := func(after time.Duration, processor time.Duration, calls, bytes int64) hollow.Sample {
		return hollow.Sample{At: began.Add(after), Processor: processor, Private: 20 << 20, Traffic: map[string]capacity.Traffic{
			"asks /place/report": {Messages: calls, Out: bytes, In: bytes}, "answers /feed": {Messages: calls, Out: bytes}}}
	}
	before := map[*part]hollow.Sample{nodes: sample(0, time.Second, 10, 100)}
	after := map[*part]hollow.Sample{nodes: sample(2*time.Second, 2*time.Second, 50, 900)}
	got := compare(size{2, 1}, before, after).roles[roleNodes]
	if got.units != 2 || got.processor != 0.25 || got.private != 10 || got.network != (rate{10, 200, 200}) || got.loopback != (rate{10, 200, 0}) {
		t.Errorf("%+v", got)
	}
}
