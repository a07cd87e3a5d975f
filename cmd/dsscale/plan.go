package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/setup"
	"drumstall.example/internal/sim/hollow"
)

// The largest fleet: the size to design for.
const (
	maxNodes    = 410
	maxReplicas = 600
	maxCores    = 15
	maxZones    = 15
	// maxSlower keeps reports younger than what counts as the present.
	maxSlower = 3
)

// size is how many nodes stand before how many replicas.
type size struct{ nodes, replicas int }

func (z size) String() string { return fmt.Sprintf("%dx%d", z.nodes, z.replicas) }

// readSizes reads NODESxREPLICAS, several separated by commas.
func readSizes(text string) ([]size, error) {
	var out []size
	for _, one := range strings.Split(text, ",") {
		nodes, replicas, found := strings.Cut(strings.TrimSpace(one), "x")
		n, bad := strconv.Atoi(nodes)
		r, worse := strconv.Atoi(replicas)
		switch {
		case !found || bad != nil || worse != nil || n < 1 || r < 1:
			return nil, errors.New("must be NODESxREPLICAS, separated by commas")
		case n > maxNodes || r > maxReplicas:
			return nil, errors.Errorf("must be at most %dx%d", maxNodes, maxReplicas)
		}
		out = append(out, size{n, r})
	}
	return out, nil
}

func checkSizes(text string) string {
	if _, err := readSizes(text); err != nil {
		return err.Error()
	}
	return ""
}

// event is a failure of a whole part of the fleet.
type event string

// The events.
const (
	cutRegion event = "cut"
	loseZone  event = "zone"
)

func checkEvents(text string) string {
	for _, name := range (setup.Settings{"events": text}).List("events") {
		if event(name) != cutRegion && event(name) != loseZone {
			return fmt.Sprintf("must be of %s, %s, separated by commas", cutRegion, loseZone)
		}
	}
	return ""
}

// plan is what is to be run.
type plan struct {
	sizes     []size
	shape     hollow.Layout // but for nodes and replicas
	catalogue hollow.Catalogue
	real      int
	slower    int
	events    []event
	warm      time.Duration
	window    time.Duration
	apart     time.Duration
	plots     string
	dir       string
}

// newPlan is made of settings that were checked.
func newPlan(s setup.Settings) plan {
	sizes, _ := readSizes(s["sizes"])
	p := plan{sizes: sizes, real: s.Int("real"), slower: s.Int("slower"), warm: s.Duration("warm"), window: s.Duration("for"), apart: s.Duration("apart"), plots: s["plots"], dir: s["dir"],
		shape:     hollow.Layout{Cores: s.Int("cores"), Zones: s.Int("zones"), Regions: min(s.Int("regions"), s.Int("zones")), Block: s.Int("block")},
		catalogue: hollow.Catalogue{Models: s.Int("models"), Adapters: s.Int("adapters"), Routes: s.Int("routes")}}
	for _, name := range s.List("events") {
		p.events = append(p.events, event(name))
	}
	return p
}

// means is what this machine has.
type means struct {
	memory int64  // bytes
	files  uint64 // that a process may have open
}

// What a fleet needs: bounds that no run so far came up to.
const (
	needBase     = 600 << 20 // bytes of the command, the platform and the smallest parts
	needCore     = 250 << 20
	needNode     = 12 << 20
	needReplica  = 2 << 20
	needReal     = 120 << 20
	filesOfANode = 90
	filesSpare   = 200
	// shareOfMemory is the part of the machine's memory that a fleet may take.
	shareOfMemory = 2
)

// fits says why a plan is over the machine's means, if it is.
func (p plan) fits(m means) error {
	for _, z := range p.sizes {
		if p.real > z.nodes {
			return errors.Errorf("setting real = %d is more than the nodes of size %s", p.real, z)
		}
		need := int64(needBase + needCore*p.shape.Cores + needNode*z.nodes + needReplica*z.replicas + needReal*p.real)
		if need > m.memory/shareOfMemory {
			return errors.Errorf("size %s needs %d MB of memory, more than half of this machine's %d MB", z, need>>20, m.memory>>20)
		}
		if files := uint64(filesOfANode*(z.nodes/p.shape.Zones+1) + filesSpare); files > m.files {
			return errors.Errorf("size %s needs %d open files in a process; the limit here is %d", z, files, m.files)
		}
	}
	return nil
}

// machineMeans reads what this machine has.
func machineMeans() (means, error) {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return means{}, err
	}
	defer f.Close()
	var m means
	for in := bufio.NewScanner(f); in.Scan(); {
		fields := strings.Fields(in.Text())
		if len(fields) >= 2 && fields[0] == "MemTotal:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return means{}, errors.Wrap(err, "this machine's memory")
			}
			m.memory = kib << 10
		}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return means{}, err
	}
	m.files = limit.Cur
	return m, nil
}

// machineLoad is the machine's load averages, which tell how late answers may be on a shared machine.
func machineLoad() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(b))
	return strings.Join(fields[:min(3, len(fields))], " ")
}
