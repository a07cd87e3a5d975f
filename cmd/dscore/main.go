// dscore runs on core machines: control state, operator API, placement.
package main

import (
	"context"
	"os"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/core"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/setup"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
)

var settings = []setup.Setting{
	{Name: "fleet", Default: "drumstall", Check: setup.Name, Doc: "name of the fleet, to which the data folder belongs from then on"},
	{Name: "name", Check: setup.Name, Doc: "name of this machine; it keeps its place in the core set under this name"},
	{Name: "zone", Check: setup.Name, Doc: "zone of this machine"},
	{Name: "addr", Check: setup.Address, Doc: "IP:PORT for peers, TCP and UDP"},
	{Name: "operator", Check: setup.Address, Doc: "IP:PORT for operators, HTTP"},
	{Name: "seeds", Check: setup.Addresses, Doc: "up to three IP:PORT of other processes, as first contacts"},
	{Name: "folder", Check: setup.NonEmpty, Doc: "data folder"},
	{Name: "cores", Default: "3", Check: setup.IntRange(1, 15), Doc: "how many cores the first formation waits for"},
	{Name: "replaces", Check: setup.OptionalName, Doc: "name of the lost member whose place this empty core takes"},
	{Name: "platform", Check: setup.Address, Doc: "IP:PORT of the platform"},
}

func main() {
	os.Exit(setup.RunProgram("dscore", "control state, operator API and placement of drumstall", settings, func(s setup.Settings) (func(context.Context) error, func() bool, error) {
		c, err := core.Start(core.Settings{Fleet: s["fleet"], Name: s["name"], Zone: s["zone"], Addr: s["addr"], Operator: s["operator"], Seeds: s.List("seeds"),
			Folder: s["folder"], Cores: s.Int("cores"), Replaces: s["replaces"], Platform: s["platform"]},
			core.Env{Net: wire.HostNetwork(), Clock: tick.MachineClock(), FS: vfs.Default, Log: ring.New(os.Stderr, 2000)})
		if err != nil {
			return nil, nil, err
		}
		return c.Stop, c.Sick, nil
	}))
}
