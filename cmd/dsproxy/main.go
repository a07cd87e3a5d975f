// dsproxy takes callers' requests: admission, queueing, routing, streaming.
package main

import (
	"context"
	"os"

	"drumstall.example/internal/core"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/setup"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/proxy"
)

var settings = []setup.Setting{
	{Name: "name", Check: setup.Name, Doc: "name of this machine"},
	{Name: "zone", Check: setup.Name, Doc: "zone of this machine"},
	{Name: "callers", Check: setup.Address, Doc: "IP:PORT for callers, HTTP"},
	{Name: "agent", Check: setup.Address, Doc: "loopback IP:PORT of the agent's feed"},
	{Name: "platform", Check: setup.Address, Doc: "IP:PORT of the platform, asked only while the agent is away"},
}

func main() {
	os.Exit(setup.RunProgram("dsproxy", "traffic of drumstall", settings, func(s setup.Settings) (func(context.Context) error, func() bool, error) {
		p, err := proxy.Start(proxy.Settings{Name: s["name"], Zone: s["zone"], CallerAddr: s["callers"], Agent: s["agent"], Platform: s["platform"]},
			core.Env{Net: wire.HostNetwork(), Clock: tick.MachineClock(), Log: ring.New(os.Stderr, 2000)})
		if err != nil {
			return nil, nil, err
		}
		return p.Stop, nil, nil
	}))
}
