package core

import (
	"context"
	"encoding/json"
	"maps"
	"sort"
	"time"

	"drumstall.example/internal/kernel/load"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/plan"
)

// explainQuery requests the placement decisions about a model.
type explainQuery struct {
	Model string `cbor:"1,keyasint"`
}

// explainAnswer holds decisions as JSON, which only people read.
type explainAnswer struct {
	JSON []byte `cbor:"1,keyasint"`
}

// explainHere returns this core's decisions about a model.
func (c *Core) explainHere(ctx context.Context, q explainQuery) (explainAnswer, error) {
	b, err := json.Marshal(c.planner.Explain(ctx, q.Model))
	return explainAnswer{b}, err
}

// Explain returns the decisions of all cores about a model, newest first.
func (c *Core) Explain(ctx context.Context, model string) any {
	out := c.planner.Explain(ctx, model)
	for _, n := range c.otherCores() {
		one, cancel := context.WithTimeout(ctx, time.Second)
		t, err := wire.Call[explainQuery, explainAnswer](one, c.caller, n.Addr, "/place/explain", explainQuery{model})
		cancel()
		var theirs []plan.Decision
		if err == nil && json.Unmarshal(t.JSON, &theirs) == nil {
			out = append(out, theirs...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.After(out[j].At) })
	return out
}

// mergeFromCores merges this core's values with those that the other cores return at path.
func mergeFromCores[V any](ctx context.Context, c *Core, path string, mine func(context.Context) map[string]V) map[string]V {
	out := mine(ctx)
	for _, n := range c.otherCores() {
		one, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		if u, err := wire.Call[empty, map[string]V](one, c.caller, n.Addr, path, empty{}); err == nil {
			maps.Copy(out, u)
		}
		cancel()
	}
	return out
}

// ReportAges returns the age of each edge's newest report, by edge name.
func (c *Core) ReportAges() map[string]time.Duration {
	now, ages := c.env.Clock.Since(), map[string]time.Duration{}
	for name, r := range c.reports.All() {
		ages[name] = now - r.At
	}
	return ages
}

// servedCalls sums the cost of the calls at one path since this core started.
type servedCalls struct {
	Calls    int64 `json:"calls"`
	BytesIn  int64 `json:"bytesIn"`
	BytesOut int64 `json:"bytesOut"`
	TookMs   int64 `json:"tookMs"`
}

// served returns the cost of calls and datagrams on this core, by path and kind.
func (c *Core) served() map[string]servedCalls {
	out := map[string]servedCalls{}
	for name, s := range load.MergeStats(c.mux.Stats, c.post.Stats) {
		out[name] = servedCalls{Calls: s.Calls, BytesIn: s.In, BytesOut: s.Out, TookMs: s.Took.Milliseconds()}
	}
	return out
}

// Busy reports whether this core is short of processor time.
func (c *Core) Busy() bool { return c.lag.Busy() }

// Status returns this core's view of the system, to be rendered as JSON.
func (c *Core) Status(ctx context.Context) any {
	st := c.acceptor.Membership()
	now := c.env.Clock.Since()
	type edge struct {
		Conf    uint64 `json:"conf"`
		Lags    bool   `json:"lags"`
		HeardMs int64  `json:"heardMs"`
		Serving bool   `json:"serving"`
	}
	edges, laggards := map[string]edge{}, []string{}
	tenants := tenantSums{}
	serial, agents := c.serial.Load(), c.liveAgents()
	for name, r := range c.reports.All() {
		e := edge{Conf: r.ConfigSerial, Lags: r.ConfigSerial < serial, HeardMs: (now - r.At).Milliseconds(), Serving: r.Serving}
		if e.Lags && agents[name] {
			laggards = append(laggards, name)
		}
		edges[name] = e
		if now-r.At < tenantsMaxAge {
			tenants.add(r.Tenants)
		}
	}
	sort.Strings(laggards)
	var members []map[string]any
	for _, n := range c.members.Nodes() {
		members = append(members, map[string]any{"name": n.Name, "role": n.Role, "zone": n.Zone, "addr": n.Addr, "state": n.State.String(), "phase": n.Phase, "operator": n.API, "build": n.Build})
	}
	held := map[string]map[int]uint64{c.s.Name: c.owner.Held()}
	for _, n := range c.otherCores() {
		one, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		if h, err := wire.Call[empty, map[int]uint64](one, c.caller, n.Addr, "/state/held", empty{}); err == nil {
			held[n.Name] = h
		}
		cancel()
	}
	known, dropped := c.gossip.Len()
	calls, bytes := c.caller.Sent()
	inflight := map[string]int{}
	views := c.views.Statuses()
	for _, v := range views.All {
		if n := c.reports.InflightOn(v.Listed.ID, now); n > 0 {
			inflight[v.Listed.ID] = n
		}
	}
	return map[string]any{
		"core": c.s.Name, "phase": string(st.Phase), "coreSet": st.Set, "slots": held, "members": members,
		"busy": c.lag.Busy(), "served": c.served(), "decisions": c.planner.Progress(), "conf": serial, "laggards": laggards, "edges": edges, "tenants": tenants, "replicas": views.All,
		"claimsUnmet": mergeFromCores(ctx, c, "/place/unmet", c.planner.UnmetClaims), "afloatS": mergeFromCores(ctx, c, "/place/afloat", c.planner.OutstandingLoads), "inflight": inflight, "platformHeardMs": c.watch.SinceContact().Milliseconds(),
		"counts": map[string]int64{"garbledCalls": c.mux.Malformed(), "garbledAnswers": c.caller.Malformed(), "garbledGrams": c.post.Malformed(),
			"news": int64(known), "newsDropped": dropped, "handedOver": c.owner.Repaired(), "edgesRelayed": c.relay.Agents(),
			"callsMade": calls, "bytesCalled": bytes, "gramsSent": c.post.Sent()},
	}
}
