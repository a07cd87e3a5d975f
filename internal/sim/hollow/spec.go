package hollow

import (
	"time"

	"drumstall.example/internal/sim/capacity"
)

// Spec is what one process of the fleet runs.
type Spec struct {
	Name      string
	Layout    Layout
	Catalogue Catalogue
	Load      Load
	Slower    int   // times slower than on the users' platform: reports to cores, asking replicas, the list and predictions
	Platform  bool  // the list of all replicas
	Cores     []int // real cores; at most one, as each has a machine of its own
	Agents    []int // real agents, whose proxies run elsewhere
	Proxies   []int // real proxies, whose agents run elsewhere
	Nodes     []int // hollow nodes
	Replicas  []int // hollow replicas
	Folder    string
}

// Load is what callers ask of the fleet.
type Load struct {
	PerNode float64       // requests a second
	Lasts   time.Duration // of one request
	Misses  float64       // requests a second, of the whole fleet, for what nobody holds
}

// Commands that a process takes, one a line; each is answered with one line of JSON.
const (
	CommandSample = "sample" // answers a Sample
	CommandWhole  = "whole"  // the same, with what a core holds
	CommandCut    = "cut"    // with regions, separated by commas; without any the cut ends
)

// Started is the first line that a process writes.
type Started struct{ Error string }

// Sample is what a process measured of itself.
type Sample struct {
	At          time.Time
	Processor   time.Duration
	Resident    int64 // bytes
	Private     int64 // bytes: what is resident but not of a file, as the program itself is
	Heap        int64 // bytes
	Connections int64
	Traffic     map[string]capacity.Traffic
	Nodes       []NodeState
	Cores       []CoreState
}

// NodeState is how a hollow node sees the fleet.
type NodeState struct {
	Name   string
	Edges  int       // nodes thought alive
	Heard  int64     // ms since its agent heard the platform, a core or a peer
	ConfAt time.Time // when the configuration that it has came; zero for none
	Items  int       // items counted since the start
	Acked  int       // replicas whose news it has
}

// CoreState is what a core holds.
type CoreState struct {
	Name  string
	Slots int
	News  int64 // entries; only in a whole sample, as is Disk
	Disk  int64 // bytes
}
