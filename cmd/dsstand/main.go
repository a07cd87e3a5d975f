// dsstand is one stand-in for the outside: a model replica, an application
// service, or the platform. It is for proofs only.
package main

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/setup"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/stand"
)

var settings = []setup.Setting{
	{Name: "role", Check: setup.OneOf("model", "service", "platform"), Doc: "model, service or platform"},
	{Name: "id", Default: "stand-in", Check: setup.Name, Doc: "name of the replica"},
	{Name: "addr", Check: setup.Address, Doc: "IP:PORT to answer at"},
	{Name: "record", Check: setup.NonEmpty, Doc: "file that takes the record of events"},
	{Name: "zero", Check: setup.NonEmpty, Doc: "instant from which the record counts, as RFC 3339 with fractions"},
	{Name: "service", Default: "models", Check: setup.Name, Doc: "name under which its traffic is counted"},
	{Name: "capacity", Default: "16000", Check: setup.IntRange(0, 1<<30), Doc: "memory in MiB"},
	{Name: "adapters", Default: "6", Check: setup.IntRange(0, 1000), Doc: "places for adapters"},
	{Name: "slots", Default: "12", Check: setup.IntRange(1, 10000), Doc: "requests it runs side by side"},
	{Name: "pieces", Default: "8", Check: setup.IntRange(1, 100000), Doc: "pieces of an answer"},
	{Name: "piece", Default: "40ms", Check: setup.DurationRange(0, time.Minute), Doc: "time for one piece"},
	{Name: "cold", Default: "100ms", Check: setup.DurationRange(0, time.Minute), Doc: "more time for each KiB of a prompt that is not warm"},
	{Name: "prefixes", Default: "2000", Check: setup.IntRange(0, 1<<20), Doc: "blocks of 128 bytes of prompts it keeps warm"},
	{Name: "holds", Check: checkHolds, Doc: "models it brings along, as NAME:MIB, separated by commas"},
	{Name: "rate", Default: "2500", Check: setup.IntRange(1, 1<<20), Doc: "MiB a second read from the weight store"},
}

func checkHolds(v string) string {
	for _, h := range (setup.Settings{"holds": v}).List("holds") {
		name, size, _ := strings.Cut(h, ":")
		if n, err := strconv.Atoi(size); err != nil || n < 1 || setup.Name(name) != "" {
			return "must be NAME:MIB, separated by commas"
		}
	}
	return ""
}

func main() {
	os.Exit(setup.RunProgram("dsstand", "stand-in for what drumstall meets outside", settings, func(s setup.Settings) (func(context.Context) error, func() bool, error) {
		zero, err := time.Parse(time.RFC3339Nano, s["zero"])
		if err != nil {
			return nil, nil, err
		}
		out, err := os.OpenFile(s["record"], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, err
		}
		rec := stand.NewRecord(zero, out)
		if s["role"] == "platform" {
			p, err := stand.StartPlatform(s["addr"], wire.HostNetwork(), rec)
			if err != nil {
				return nil, nil, err
			}
			return func(context.Context) error { p.Stop(); return out.Close() }, nil, nil
		}
		r, err := stand.StartReplica(stand.ReplicaSettings{ID: s["id"], Addr: s["addr"], Model: s["role"] == "model", Service: s["service"],
			CapacityMib: s.Int("capacity"), AdapterPlaces: s.Int("adapters"), Slots: s.Int("slots"), Pieces: s.Int("pieces"),
			PieceFor: s.Duration("piece"), ColdFor: s.Duration("cold"), Prefixes: s.Int("prefixes"), LoadMibPerS: s.Int("rate")}, wire.HostNetwork(), rec)
		if err != nil {
			return nil, nil, err
		}
		for _, h := range s.List("holds") {
			name, size, _ := strings.Cut(h, ":")
			n, _ := strconv.Atoi(size)
			r.Preload(conf.Item{Model: name}, n)
		}
		return func(context.Context) error { r.Crash(); return out.Close() }, nil, nil
	}))
}
