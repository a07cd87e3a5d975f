package stand

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	mrand "math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"drumstall.example/gen/http/replica/server"
	gen "drumstall.example/gen/replica"
	"drumstall.example/internal/backend"
	"drumstall.example/internal/check"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/face"
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
	warm        *prefixes
	served      time.Duration
	refuse, cut atomic.Int64
	slow        atomic.Int64 // more time before the first piece
}

// Misbehave makes the replica refuse a share of requests as not run, and cut
// the conn of another share without an answer.
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
func StartReplica(s ReplicaSettings, n wire.Net, rec *Record) (*Replica, error) {
	var id [6]byte
	_, _ = rand.Read(id[:])
	r := &Replica{s: s, rec: rec, group: run.NewGroup(context.Background()), incarnation: hex.EncodeToString(id[:]),
		places: make(chan struct{}, max(s.Slots, 1)), items: map[conf.Item]*loaded{}, warm: newPrefixes(s.Prefixes), served: s.PieceFor * time.Duration(max(s.Pieces, 1))}
	ln, err := n.Listen(s.Addr)
	if err != nil {
		return nil, err
	}
	// Why: whatever an earlier run of it held is gone.
	rec.Put(check.Event{Kind: check.UnloadDone, Replica: s.ID})
	rec.Put(check.Event{Kind: check.Unlearned, Replica: s.ID, Why: s.ID})
	mux := face.NewMuxer()
	server.New(gen.NewEndpoints(r), mux, face.Decoder, face.Encoder, face.Quiet, face.Formatter).Mount(mux)
	mux.Handle(http.MethodPost, backend.RunPath, r.run)
	r.server = wire.NewServer(ln, mux)
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
func (r *Replica) Vitals(context.Context) (*gen.ReplicaVitals, error) {
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
	v := &gen.ReplicaVitals{ID: r.s.ID, Incarnation: r.incarnation, Kind: kind, CapacityMib: &capacity, AdapterPlaces: &places,
		Slots: r.s.Slots, Inflight: r.inflight, Leaving: r.leaving, ServeMs: &serve}
	by := map[string]*gen.ModelVitals{}
	for it, l := range r.items {
		if it.Adapter == "" {
			by[it.Model] = &gen.ModelVitals{Name: it.Model, State: l.state, SizeMib: l.size, Inflight: l.inflight}
			v.Models = append(v.Models, by[it.Model])
		}
	}
	for it, l := range r.items {
		if it.Adapter != "" && by[it.Model] != nil {
			by[it.Model].Adapters = append(by[it.Model].Adapters, &gen.AdapterVitals{Name: it.Adapter, State: l.state, Inflight: l.inflight})
		}
	}
	sort.Slice(v.Models, func(i, j int) bool { return v.Models[i].Name < v.Models[j].Name })
	return v, nil
}

func no(name, detail string) error {
	return &gen.Drop{Name: name, Detail: detail, Outcome: backend.NotRun}
}

// Order takes a load or unload order.
func (r *Replica) Order(_ context.Context, o *gen.LoadOrder) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	it := conf.Item{Model: o.Model}
	if o.Adapter != nil {
		it.Adapter = *o.Adapter
	}
	mib, places := 0, 0
	for x, l := range r.items {
		if x.Adapter == "" {
			mib += l.size
		} else {
			places++
		}
	}
	e := check.Event{Kind: check.OrderCame, Replica: r.s.ID, Verb: o.Verb, Item: it.String(), Controller: o.Controller, Epoch: o.Epoch}
	switch o.Verb {
	case backend.Load:
		e.Used, e.Capacity = mib, r.s.CapacityMib
		if r.items[it] == nil && o.SizeMib != nil {
			e.Used += *o.SizeMib
		}
	case backend.LoadAdapter:
		e.Used, e.Capacity = places, r.s.AdapterPlaces
		if r.items[it] == nil {
			e.Used++
		}
	}
	if l := r.items[it]; l != nil && o.Verb != backend.Load && o.Verb != backend.LoadAdapter {
		e.Inflight = l.inflight
	}
	r.rec.Put(e)
	if o.Epoch < r.epoch && !r.s.Unkind {
		return no("stale", "a higher epoch has ordered here")
	}
	r.epoch = o.Epoch
	l := r.items[it]
	switch o.Verb {
	case backend.Load, backend.LoadAdapter:
		if l != nil {
			return nil
		}
		if e.Used > e.Capacity {
			return no("busy", "it does not fit")
		}
		size := 0
		if o.Verb == backend.Load && o.SizeMib != nil {
			size = *o.SizeMib
		} else if base := r.items[conf.Item{Model: it.Model}]; base == nil || base.state != backend.Loaded {
			return no("busy", "its model is not loaded")
		}
		l = &loaded{state: backend.Loading, size: size}
		r.items[it] = l
		r.rec.Put(check.Event{Kind: check.LoadStart, Replica: r.s.ID, Item: it.String()})
		took := time.Duration(max(size, 100)) * time.Second / time.Duration(max(r.s.LoadMibPerS, 1))
		r.later(took, func() {
			if l.state == backend.Loading {
				l.state = backend.Loaded
				r.rec.Put(check.Event{Kind: check.LoadDone, Replica: r.s.ID, Item: it.String(), Used: size})
			}
		})
	default:
		if l == nil {
			return nil
		}
		if l.inflight > 0 && !r.s.Unkind {
			return no("busy", "it is in use")
		}
		l.state = backend.Unloading
		r.later(100*time.Millisecond, func() {
			for x := range r.items {
				if it.Covers(x) {
					delete(r.items, x)
					r.rec.Put(check.Event{Kind: check.UnloadDone, Replica: r.s.ID, Item: x.String()})
				}
			}
		})
	}
	return nil
}

func (r *Replica) later(d time.Duration, f func()) {
	r.group.Go(func(ctx context.Context) {
		if run.Wait(ctx, d) {
			r.group.Pass()
			r.mu.Lock()
			defer r.mu.Unlock()
			f()
		}
	})
}

// Asked is the body of a stand-in visitor's request.
type Asked struct {
	Prompt     string `json:"prompt"`
	Repeatable bool   `json:"repeatable"`
	Pieces     int    `json:"pieces,omitempty"`
}

// Piece is one line of an answer.
type Piece struct {
	Ticket string `json:"ticket"`
	N      int    `json:"n"`
	Text   string `json:"text,omitempty"`
	End    int    `json:"end,omitempty"` // on the last line: how many pieces there were
}

// PieceText is what a piece must say.
func PieceText(ticket string, n int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s/%d", ticket, n)
	return strconv.FormatUint(uint64(h.Sum32()), 36)
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(backend.HeaderOutcome, backend.NotRun)
	w.WriteHeader(status)
}

func (r *Replica) run(w http.ResponseWriter, q *http.Request) {
	var a Asked
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, 16<<20)).Decode(&a); err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	it := conf.Item{Model: q.URL.Query().Get("model"), Adapter: q.URL.Query().Get("adapter")}
	base := conf.Item{Model: it.Model}
	shotN, _ := strconv.Atoi(q.Header.Get(backend.HeaderShot))
	ticket := q.Header.Get(backend.HeaderTicket)
	r.rec.Put(check.Event{Kind: check.Arrived, Replica: r.s.ID, Ticket: ticket, Service: r.s.Service, Shot: shotN, Repeatable: a.Repeatable, Item: it.String()})
	if pct := int(r.refuse.Load()); pct > 0 && mrand.IntN(100) < pct {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	if pct := int(r.cut.Load()); pct > 0 && mrand.IntN(100) < pct {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	var used []*loaded
	if r.s.Model {
		for _, need := range []conf.Item{base, it} {
			l := r.items[need]
			if l == nil || l.state != backend.Loaded {
				r.mu.Unlock()
				refuse(w, http.StatusConflict)
				return
			}
			used = append(used, l)
		}
		if base == it {
			used = used[:1]
		}
	}
	if r.inflight >= 2*r.s.Slots {
		r.mu.Unlock()
		refuse(w, http.StatusTooManyRequests)
		return
	}
	r.inflight++
	for _, l := range used {
		l.inflight++
	}
	r.mu.Unlock()
	began := time.Now()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inflight--
		for _, l := range used {
			l.inflight--
		}
		r.served = (r.served*9 + time.Since(began)) / 10
	}()
	// As many again may wait for a place; who leaves meanwhile has not run.
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
	case <-q.Context().Done():
		panic(http.ErrAbortHandler)
	case <-r.group.Context().Done():
		panic(http.ErrAbortHandler)
	}
	// Why: a prompt is read in when its turn comes; what another has just read in is warm by then.
	r.mu.Lock()
	warm, all := 0, 0
	if r.s.Model {
		warm, all = r.warm.take(it.String(), a.Prompt)
	}
	r.mu.Unlock()
	r.rec.Put(check.Event{Kind: check.RunStart, Replica: r.s.ID, Ticket: ticket, Service: r.s.Service, Shot: shotN, Repeatable: a.Repeatable, Item: it.String(), Warm: warm, Used: all})
	pieces := r.s.Pieces
	if a.Pieces > 0 {
		pieces = a.Pieces
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	pause := func(d time.Duration) bool {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			r.group.Pass()
			return true
		case <-q.Context().Done():
			return false
		case <-r.group.Context().Done():
			return false
		}
	}
	if slow := time.Duration(r.slow.Load()); slow > 0 && !pause(slow) {
		panic(http.ErrAbortHandler)
	}
	if warm < all && !pause(r.s.ColdFor*time.Duration(all-warm)*block/1024) {
		panic(http.ErrAbortHandler)
	}
	for n := range pieces {
		if !pause(r.s.PieceFor) {
			panic(http.ErrAbortHandler)
		}
		if enc.Encode(Piece{Ticket: ticket, N: n, Text: PieceText(ticket, n)}) != nil {
			return
		}
		_ = rc.Flush()
	}
	_ = enc.Encode(Piece{Ticket: ticket, N: pieces, End: pieces})
}
