package review

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelSpec is a model that the configuration knows.
type modelSpec struct {
	name      string
	sizeMb    float64
	adapterMb float64
	adapters  int
	loadFor   time.Duration
}

// replica stands in for one life of a replica.
type replica struct {
	d        *deployment
	id       string
	service  string
	addr     string // where it listens
	listedAt string // the address that the list shows; "" is addr
	slots    int
	lag      time.Duration // of reports
	specs    map[string]modelSpec
	sizeMb   float64
	places   int
	answer   func(r *replica, w http.ResponseWriter, q *http.Request) // answers requests
	silent   func() bool                                              // while it is true nothing is answered; nil is never
	server   *http.Server

	mu       sync.Mutex
	models   map[string]map[string]bool
	occupied bool
	calls    int
	fence    uint64
	active   int
	fallen   bool
	isDrain  bool
	states   []reported
}

// reported is a report and since when it holds.
type reported struct {
	at   time.Time
	body []byte
}

type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (r *replica) start() {
	if r.models == nil && r.specs != nil {
		r.models = map[string]map[string]bool{}
	}
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		cannotRun("replica: %v", err)
	}
	r.changed()
	mux := http.NewServeMux()
	if r.specs != nil {
		mux.HandleFunc("GET /-/report", r.serveReport)
		mux.HandleFunc("POST /-/order", r.serveOrder)
	}
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Replica-Id", r.id) })
	mux.HandleFunc("/", func(w http.ResponseWriter, q *http.Request) { r.answer(r, w, q) })
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		for r.silent != nil && r.silent() {
			time.Sleep(50 * time.Millisecond)
		}
		if want := q.Header.Get("Target-Replica"); want != "" && want != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, q)
	})}
	go func() { _ = r.server.Serve(ln) }()
}

func (r *replica) held() []heldModel {
	out := []heldModel{}
	for name, adapters := range r.models {
		one := heldModel{Name: name, Version: 1, Adapters: []string{}}
		for a := range adapters {
			one.Adapters = append(one.Adapters, a)
		}
		sort.Strings(one.Adapters)
		out = append(out, one)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// changed notes what reports tell after their lag; the caller holds the lock, or nobody knows r yet.
func (r *replica) changed() {
	b, _ := json.Marshal(map[string]any{"phase": "mixed", "models": r.held(), "occupied": r.occupied, "callCount": r.calls,
		"queued": 0, "active": r.active, "cacheUsed": 0, "cacheTotal": 100000, "handled": 0})
	r.states = append(r.states, reported{time.Now(), b})
}

func (r *replica) serveReport(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	body := r.states[0].body
	for _, s := range r.states {
		if time.Since(s.at) >= r.lag {
			body = s.body
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

type orderBody struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Expected  *int    `json:"expected"`
	Holder    string  `json:"holder"`
	Fence     *uint64 `json:"fence"`
}

func (r *replica) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o orderBody
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, why := r.take(o)
	r.d.rec.put("replica %s: order %s %s/%s by %s fence %d: %d %s", r.id, o.Operation, o.Model, o.Adapter, o.Holder, *o.Fence, status, why)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// take begins to carry an order out; status 0 is that the replica falls over it.
func (r *replica) take(o orderBody) (status int, why string) {
	m, known := r.specs[o.Model]
	r.mu.Lock()
	defer r.mu.Unlock()
	if !known || o.Operation != "load" && o.Operation != "unload" {
		return http.StatusBadRequest, "no such order"
	}
	if *o.Fence < r.fence {
		return http.StatusPreconditionFailed, "lower fence"
	}
	r.fence = *o.Fence
	if r.occupied || o.Expected != nil && *o.Expected != r.calls {
		return http.StatusConflict, "another order is under way"
	}
	adapters, there := r.models[o.Model]
	if o.Adapter != "" {
		if !there {
			return http.StatusBadRequest, "no such model here"
		}
		there = adapters[o.Adapter]
	}
	if there == (o.Operation == "load") {
		return http.StatusOK, "holds already"
	}
	if o.Operation == "load" {
		size, places := m.sizeMb, 0
		if o.Adapter != "" {
			size, places = m.adapterMb, 1
		}
		for name, as := range r.models {
			size += r.specs[name].sizeMb + float64(len(as))*r.specs[name].adapterMb
			places += len(as)
		}
		if size > r.sizeMb || places > r.places {
			r.fallen = true
			return 0, fmt.Sprintf("BEYOND WHAT IT CAN HOLD: %.0f of %.0f MB, %d of %d adapters", size, r.sizeMb, places, r.places)
		}
	}
	r.calls++
	r.occupied = true
	r.changed()
	takes := m.loadFor
	if o.Adapter != "" || o.Operation == "unload" {
		takes = 7 * time.Millisecond
	}
	time.AfterFunc(takes, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		switch {
		case o.Operation == "load" && o.Adapter == "":
			r.models[o.Model] = map[string]bool{}
		case o.Operation == "load":
			r.models[o.Model][o.Adapter] = true
		case o.Adapter == "":
			delete(r.models, o.Model)
		default:
			delete(r.models[o.Model], o.Adapter)
		}
		r.occupied = false
		r.changed()
	})
	return http.StatusAccepted, ""
}

// isFallen says whether it was ordered beyond what it can hold.
func (r *replica) isFallen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fallen
}

// holding is what it holds now.
func (r *replica) holding() []heldModel {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held()
}

// holds says whether an item, MODEL or MODEL/ADAPTER, is there.
func (r *replica) holds(item string) bool {
	model, adapter, _ := strings.Cut(item, "/")
	r.mu.Lock()
	defer r.mu.Unlock()
	as, there := r.models[model]
	return there && (adapter == "" || as[adapter])
}

// enter and leave count running requests.
func (r *replica) enter(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active += by
	r.changed()
}

func (r *replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", r.active, r.slots)
}

// turnAway says that a request was not run.
func (r *replica) turnAway(w http.ResponseWriter, q *http.Request, status int) {
	w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(status)
}

// platform serves the list of replicas.
type platform struct {
	mu       sync.Mutex
	replicas []*replica
}

// set makes these the replicas that are listed.
func (p *platform) set(replicas ...*replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas = replicas
}

func (p *platform) start(d *deployment) {
	ln, err := net.Listen("tcp", d.listAddr())
	if err != nil {
		cannotRun("list: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /replicas", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		out := []map[string]any{}
		for _, r := range p.replicas {
			state, addr := "ready", r.addr
			if r.isDrain {
				state = "draining"
			}
			if r.listedAt != "" {
				addr = r.listedAt
			}
			one := map[string]any{"id": r.id, "service": r.service, "address": addr, "zone": "tumwater-a", "version": "v1", "slots": r.slots, "state": state, "coldLeftMs": 0}
			if r.specs != nil {
				r.mu.Lock()
				one["phase"], one["models"] = "mixed", r.held()
				r.mu.Unlock()
			}
			out = append(out, one)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"replicas": out, "nextToken": nil})
	})
	go func() { _ = http.Serve(ln, mux) }()
}

// wholeAnswer runs a request that is no stream: a body of 800 bytes after some ms.
func wholeAnswer(takes time.Duration) func(r *replica, w http.ResponseWriter, q *http.Request) {
	return func(r *replica, w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		r.enter(1)
		defer r.enter(-1)
		time.Sleep(takes)
		body := strings.Repeat("x", 800)
		h := w.Header()
		h.Set("Attempt-Id", q.Header.Get("Attempt-Id"))
		h.Set("Server-Seal", r.id+".seal")
		h.Set("Replica-Load", r.load())
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
}

// streamAnswer runs a stream of events; before each event it calls hold, if given.
func streamAnswer(events int, gap time.Duration, hold func()) func(r *replica, w http.ResponseWriter, q *http.Request) {
	return func(r *replica, w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		if !r.holds(q.Header.Get("Model")) {
			r.turnAway(w, q, http.StatusMisdirectedRequest)
			return
		}
		r.enter(1)
		defer r.enter(-1)
		w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", r.id+".seal")
		w.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(w)
		for n := 1; n <= events; n++ {
			time.Sleep(gap)
			if hold != nil {
				hold()
			}
			fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
			if rc.Flush() != nil {
				return
			}
		}
	}
}
