package review2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for one life of a model replica, or of an application server where it holds no models.
type replica struct {
	id, service, addr string
	slots             int
	isModel           bool
	quiet             bool          // the record does not tell of each run
	events            int           // of a stream
	gap               time.Duration // between two events
	rec               *record
	log               *runLog
	// busy reports whether a request is turned away as full, and extra whether an answer is sent a second time, late.
	busy, extra func() bool
	mu          sync.Mutex
	models      []string
	draining    bool
	occupied    bool
	orders      int
	active      atomic.Int64
	extras      atomic.Int64
	runs        atomic.Int64
	answers     atomic.Int64
	listener    net.Listener
}

// runLog is which requests ran, by Attempt-Id.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]string
}

func newRunLog() *runLog { return &runLog{runs: map[string][]string{}} }

func (l *runLog) add(id, replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], replica)
}

func (l *runLog) of(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[id])
}

func (r *replica) listen() error {
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.listener = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return nil
}

// serve serves one request at a time on a connection.
func (r *replica) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var late []byte // an extra answer that comes where the next one is due
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			r.rec.add("replica %s: extra answer sent where that of %s is due", r.id, req.Header.Get("Attempt-Id"))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		switch {
		case req.URL.Path == "/-/report":
			_, err = c.Write(response(200, "application/json", nil, r.report()))
		case req.URL.Path == "/-/order":
			_, err = c.Write(response(r.order(body), "application/json", nil, nil))
		case req.URL.Path == "/health":
			_, err = c.Write(response(200, "text/plain", map[string]string{"Replica-Id": r.id}, nil))
		default:
			late, err = r.handle(c, req, body)
		}
		if err != nil {
			return
		}
	}
}

func response(status int, kind string, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if len(body) > 0 {
		fmt.Fprintf(&b, "Content-Type: %s\r\n", kind)
	}
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// handle answers one request of a client. It returns an extra answer that is to come later.
func (r *replica) handle(c net.Conn, req *http.Request, body []byte) (late []byte, err error) {
	id := req.Header.Get("Attempt-Id")
	header := map[string]string{"Attempt-Id": id, "Replica-Load": fmt.Sprintf("%d,0,%d", r.active.Load(), r.slots)}
	refuse := func(status int, why string) ([]byte, error) {
		header["Not-Run"] = why
		answer := response(status, "", header, nil)
		r.rec.add("replica %s: %s not run, %d %s", r.id, id, status, why)
		_, err := c.Write(answer)
		if r.takesExtra() {
			return answer, err
		}
		return nil, err
	}
	if target := req.Header.Get("Target-Replica"); target != "" && target != r.id {
		return refuse(421, "other replica")
	}
	if r.isModel && !r.holds(req.Header.Get("Model")) {
		return refuse(421, "not held")
	}
	if r.busy != nil && r.busy() || r.active.Load() >= int64(r.slots) {
		return refuse(503, "full")
	}
	r.active.Add(1)
	defer r.active.Add(-1)
	r.log.add(id, r.id)
	r.runs.Add(1)
	r.tell("replica %s: %s runs", r.id, id)
	header["Server-Seal"] = "seal-" + r.id + "-" + id
	if !r.isModel {
		time.Sleep(r.gap)
		answer := response(200, "text/plain", header, []byte(strings.Repeat("x", 200)))
		_, err := c.Write(answer)
		if err == nil && r.takesExtra() {
			late = answer
		}
		return late, err
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	for name, value := range header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	head.WriteString("\r\n")
	whole := bytes.Clone(head.Bytes())
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= r.events; n++ {
		time.Sleep(r.gap)
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
		piece := fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event)
		whole = append(whole, piece...)
		if n == first+1 {
			piece = append(head.Bytes(), piece...)
		}
		if _, err := c.Write(piece); err != nil {
			r.rec.add("replica %s: %s dropped at event %d, its connection is closed", r.id, id, n)
			return nil, err
		}
	}
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		return nil, err
	}
	r.tell("replica %s: %s done", r.id, id)
	if r.takesExtra() {
		late = append(whole, "0\r\n\r\n"...)
	}
	return late, nil
}

func (r *replica) tell(format string, args ...any) {
	if !r.quiet {
		r.rec.add(format, args...)
	}
}

// takesExtra counts an answer and reports whether it is sent a second time.
func (r *replica) takesExtra() bool {
	r.answers.Add(1)
	if r.extra == nil || !r.extra() {
		return false
	}
	r.extras.Add(1)
	return true
}

func (r *replica) holds(item string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.models, item)
}

type reportedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (r *replica) listed() []reportedModel {
	out := []reportedModel{}
	for _, m := range r.models {
		out = append(out, reportedModel{m, 1, []string{}})
	}
	return out
}

func (r *replica) report() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, _ := json.Marshal(map[string]any{"phase": "mixed", "models": r.listed(), "occupied": r.occupied, "callCount": r.orders, "queued": 0, "active": r.active.Load(),
		"cacheUsed": 0, "cacheTotal": 90000, "handled": 0})
	return b
}

// order carries out an order after the time that a load takes.
func (r *replica) order(body []byte) int {
	var o struct{ Operation, Model, Adapter, Holder string }
	r.mu.Lock()
	defer r.mu.Unlock()
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Adapter != "" {
		return 400
	}
	held := slices.Contains(r.models, o.Model)
	switch {
	case r.occupied:
		return 409
	case held == (o.Operation == "load"):
		return 200
	}
	r.orders++
	r.occupied = true
	r.rec.add("replica %s: order %s %s by %s", r.id, o.Operation, o.Model, o.Holder)
	time.AfterFunc(1500*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.occupied = false
		if o.Operation == "load" {
			r.models = append(r.models, o.Model)
		} else {
			r.models = slices.DeleteFunc(r.models, func(m string) bool { return m == o.Model })
		}
	})
	return 202
}

// platformList serves the list of replicas.
type platformList struct {
	mu       sync.Mutex
	replicas []*replica
}

func (p *platformList) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /replicas", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		out := []map[string]any{}
		for _, r := range p.replicas {
			state := "ready"
			if r.draining {
				state = "draining"
			}
			one := map[string]any{"id": r.id, "service": r.service, "address": r.addr, "zone": "zone-a", "version": "v1", "slots": r.slots, "state": state, "coldLeftMs": 0}
			if r.isModel {
				r.mu.Lock()
				one["phase"], one["models"] = "mixed", r.listed()
				r.mu.Unlock()
			}
			out = append(out, one)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"replicas": out, "nextToken": nil})
	})
	go func() { _ = http.Serve(ln, mux) }()
	return nil
}
