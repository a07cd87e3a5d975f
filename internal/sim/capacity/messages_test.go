package capacity

import (
	"fmt"
	"maps"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/member"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/state"
)

func zone(i int) string       { return fmt.Sprintf("r%d-z%d", i%3, i%7) }
func stamp(i int) state.Stamp { return state.Stamp{Epoch: 40, Version: uint64(1000 + i)} }

func listed(i int) inventory.Listed {
	return inventory.Listed{ID: ReplicaID(i), Addr: fmt.Sprintf("10.3.%d.%d:9000", i/200, i%200), Zone: zone(i), Model: true, Slots: 32,
		Labels: map[string]string{"service": fmt.Sprintf("service-%02d", i%12), "version": "2026-11-01"}}
}

func replicaStatus(i, items int) order.Status {
	n := order.Status{Listed: listed(i), Controller: "core-3", Items: map[string]string{}, CapacityMib: 600000, FreeMib: 20000, AdapterPlaces: 32, AdapterFree: 4, Slots: 32, ReadyMs: map[string]int{}}
	for j := range items {
		m := (i*2 + j%2) % 1200
		if j < 2 {
			n.Items[ModelName(m)] = "loaded"
		} else {
			n.Items[fmt.Sprintf("%s/a%d", ModelName(m), j)] = "loaded"
		}
	}
	return n
}

func aReport(node, replicas, demand, inflight int) report.Report {
	r := report.Report{Agent: NodeName(node), Boot: "0123456789abcdef", Version: 100000, ConfigSerial: 1000, Demand: map[string]uint64{}, Inflight: map[string]map[string]int{},
		Waiting: map[string]int{}, Acked: map[string]state.Stamp{}, Zone: zone(node), Serving: true}
	for i := range replicas {
		r.Acked[ReplicaID(i)] = stamp(i)
	}
	for i := range demand {
		r.Demand[ItemName(i)] = uint64(1000 + i)
	}
	for i := range inflight {
		r.Inflight[ReplicaID(i)] = map[string]int{ItemName(i): 3}
	}
	return r
}

// countedSince is a later report in which some items were counted.
func countedSince(base report.Report, items int) report.Report {
	r := base
	r.Version++
	r.Demand = maps.Clone(base.Demand)
	for i := range items {
		r.Demand[ItemName(i)]++
	}
	return r
}

// ackedSince is a later report in which the status of some replicas was taken in.
func ackedSince(base report.Report, replicas int) report.Report {
	r := base
	r.Version++
	r.Acked = maps.Clone(base.Acked)
	for i := range replicas {
		r.Acked[ReplicaID(i)] = stamp(i + 100000)
	}
	return r
}

func aNode(i int) member.Node {
	return member.Node{Name: NodeName(i), Role: member.RoleAgent, Zone: zone(i), Addr: fmt.Sprintf("10.2.%d.%d:7000", i/200, i%200), Inc: 1764650000000, Boot: "0123456789abcdef", Build: "5fe69a9"}
}

func roll(n int) member.SyncMessage {
	var r member.SyncMessage
	for i := range n {
		r.Nodes = append(r.Nodes, aNode(i))
	}
	return r
}

// The datagram of a probe and of gossip; the types are not exported, the keys are the same.
type note struct {
	Seq    uint64        `cbor:"1,keyasint"`
	From   string        `cbor:"2,keyasint"`
	Target string        `cbor:"3,keyasint,omitempty"`
	Name   string        `cbor:"4,keyasint,omitempty"`
	Boot   string        `cbor:"5,keyasint,omitempty"`
	Nodes  []member.Node `cbor:"6,keyasint,omitempty"`
	Touch  touch.Age     `cbor:"7,keyasint,omitempty"`
}
type bundle struct {
	From    string         `cbor:"1,keyasint"`
	Entries []gossip.Entry `cbor:"2,keyasint"`
}
