package stand

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"drumstall.example/gen/http/replica/server"
	gen "drumstall.example/gen/replica"
	"drumstall.example/internal/backend"
	"drumstall.example/internal/check"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/httpapi"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
)

// ReplicaSettings of one stand-in back end.
type ReplicaSettings struct {
	ID            string
	Addr          string
	Model         bool
	Service       string // name under which its traffic is counted
	CapacityMib   int
	AdapterPlaces int
	Slots         int
	Pieces        int
	PieceFor      time.Duration // time per piece of a warm model request, or for a service request
	ColdFor       time.Duration // more before the first piece for each KiB of a prompt that is cold
	Prefixes      int           // blocks of prompts it keeps warm
	ByShare       bool          // it divides those between tenants; else what was used longest ago goes
	LoadMibPerS   int
	// Unkind replicas check no epoch and let go of what is in use when told to. Why: no rule may rest on a
	// replica's own caution.
	Unkind bool
}

// Replica is a running stand-in back end.
type Replica struct {
	s           ReplicaSettings
	rec         *Record
	group       *run.Group
	server      *wire.Server
	incarnation string
	mu          sync.Mutex
	items       map[conf.Item]*loaded
	inflight    int
	places      chan struct{} // one for each request that is worked on at a time
	epoch       uint64
	leaving     bool
	leftTold    bool // it has told somebody that it is leaving
	warm        prefixCache
	served      time.Duration
	refuse, cut atomic.Int64
	slow        atomic.Int64 // more time before the first piece
}

// Misbehave makes the replica refuse a share of requests as not run, and cut
// the connection of another share without an answer.
func (r *Replica) Misbehave(refusePct, cutPct int) {
	r.refuse.Store(int64(refusePct))
	r.cut.Store(int64(cutPct))
}

// Slow makes every answer begin later by that much.
func (r *Replica) Slow(by time.Duration) { r.slow.Store(int64(by)) }

type loaded struct {
	state    string
	size     int
	inflight int
}

// StartReplica begins to answer.
func StartReplica(s ReplicaSettings, n wire.Network, rec *Record) (*Replica, error) {
	var id [6]byte
	_, _ = rand.Read(id[:])
	r := &Replica{s: s, rec: rec, group: run.NewGroup(context.Background()), incarnation: hex.EncodeToString(id[:]),
		places: make(chan struct{}, max(s.Slots, 1)), items: map[conf.Item]*loaded{}, warm: newPrefixCache(s), served: s.PieceFor * time.Duration(max(s.Pieces, 1))}
	ln, err := n.Listen(s.Addr)
	if err != nil {
		return nil, err
	}
	// Why: whatever an earlier run of it held is gone.
	rec.Put(check.Event{Kind: check.UnloadDone, Replica: s.ID})
	rec.Put(check.Event{Kind: check.Unlearned, Replica: s.ID, Why: s.ID})
	mux := httpapi.NewMuxer()
	server.New(gen.NewEndpoints(r), mux, httpapi.Decoder, httpapi.Encoder, httpapi.IgnoreEncodeError, httpapi.Formatter).Mount(mux)
	mux.Handle(http.MethodPost, backend.RunPath, r.run)
	r.server = wire.NewServer(ln, backend.EchoExchange(mux))
	r.group.Go(r.server.Run)
	return r, nil
}

// Crash ends at once, cutting every stream.
func (r *Replica) Crash() {
	r.server.Close()
	r.group.Stop()
}

// Freeze and Thaw are for simulations.
func (r *Replica) Freeze() { r.group.Freeze() }

// Thaw ends a freeze.
func (r *Replica) Thaw() { r.group.Thaw() }

// Leave makes the replica report that it is leaving.
func (r *Replica) Leave(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = on
	if !on && r.leftTold {
		r.leftTold = false
		r.rec.Put(check.Event{Kind: check.Unlearned, Replica: r.s.ID, Why: r.s.ID})
	}
}

// Preload puts a model there without an order, as one that was there before
// the take-over.
func (r *Replica) Preload(it conf.Item, sizeMib int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items[it] = &loaded{state: backend.Loaded, size: sizeMib}
	r.rec.Put(check.Event{Kind: check.LoadDone, Replica: r.s.ID, Item: it.String(), Used: sizeMib})
}

// Shrink leaves the replica with less memory, and lets go of what it holds.
func (r *Replica) Shrink(mib int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.s.CapacityMib = mib
	r.items = map[conf.Item]*loaded{}
	r.rec.Put(check.Event{Kind: check.UnloadDone, Replica: r.s.ID})
}

// Holds says whether an item is loaded.
func (r *Replica) Holds(it conf.Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.items[it]
	return l != nil && l.state == backend.Loaded
}

// Vitals is the replica's report.
func (r *Replica) Vitals(context.Context) (*gen.ReplicaReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving && !r.leftTold {
		// Why: from this answer on, whoever asked knows.
		r.leftTold = true
		r.rec.Put(check.Event{Kind: check.Learned, Replica: r.s.ID, Why: r.s.ID})
	}
	kind := "service"
	if r.s.Model {
		kind = "model"
	}
	// Why: the report is written out after the lock is gone, so it must hold nothing of ours.
	capacity, places, serve := r.s.CapacityMib, r.s.AdapterPlaces, int(r.served.Milliseconds())
	v := &gen.ReplicaReport{ID: r.s.ID, Incarnation: r.incarnation, Kind: kind, CapacityMib: &capacity, AdapterPlaces: &places,
		Slots: r.s.Slots, Inflight: r.inflight, Leaving: r.leaving, ServeMs: &serve}
	by := map[string]*gen.ModelReport{}
	for it, l := range r.items {
		if it.Adapter == "" {
			by[it.Model] = &gen.ModelReport{Name: it.Model, State: l.state, SizeMib: l.size, Inflight: l.inflight}
			v.Models = append(v.Models, by[it.Model])
		}
	}
	for it, l := range r.items {
		if it.Adapter != "" && by[it.Model] != nil {
			by[it.Model].Adapters = append(by[it.Model].Adapters, &gen.AdapterReport{Name: it.Adapter, State: l.state, Inflight: l.inflight})
		}
	}
	sort.Slice(v.Models, func(i, j int) bool { return v.Models[i].Name < v.Models[j].Name })
	return v, nil
}
