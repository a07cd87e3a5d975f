// dsagent runs beside each proxy and keeps its link to the control plane.
package main

import (
	"context"
	"os"

	"drumstall.example/internal/agent"
	"drumstall.example/internal/core"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/setup"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
)

var settings = []setup.Setting{
	{Name: "name", Check: setup.Name, Doc: "name of this machine"},
	{Name: "zone", Check: setup.Name, Doc: "zone of this machine"},
	{Name: "addr", Check: setup.Address, Doc: "IP:PORT for peers, TCP and UDP"},
	{Name: "feed", Check: setup.Address, Doc: "loopback IP:PORT for the proxy beside it"},
	{Name: "seeds", Check: setup.Addresses, Doc: "up to three IP:PORT of other processes, as first contacts"},
	{Name: "platform", Check: setup.Address, Doc: "IP:PORT of the platform"},
}

func main() {
	os.Exit(setup.RunProgram("dsagent", "link between a proxy and the control plane of drumstall", settings, func(s setup.Settings) (func(context.Context) error, func() bool, error) {
		a, err := agent.Start(agent.Settings{Name: s["name"], Zone: s["zone"], Addr: s["addr"], Feed: s["feed"], Seeds: s.List("seeds"), Platform: s["platform"]},
			core.Env{Net: wire.HostNetwork(), Clock: tick.MachineClock(), Log: ring.New(os.Stderr, 2000)})
		if err != nil {
			return nil, nil, err
		}
		return a.Stop, nil, nil
	}))
}
