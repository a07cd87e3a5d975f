package stand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/check"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
)

// Edge is where clients find a proxy.
type Edge struct {
	Name string
	Addr string
	Zone string
}

// Clients send the traffic of a deployment and check every answer.
type Clients struct {
	http   *http.Client
	rec    *Record
	name   string
	ticket atomic.Int64
	out    atomic.Int64
	// Heed makes the callers of flows come back once, when a Retry-After told them to.
	Heed bool
}

// maxOut bounds the requests under way from one group of clients.
const maxOut = 2000

// NewClients dial through n; name keeps their tickets apart from others'.
func NewClients(name string, n wire.Network, rec *Record) *Clients {
	return &Clients{rec: rec, name: name, http: &http.Client{Transport: &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 2 * time.Second, DisableCompression: true}}}
}

// Close lets go of idle connections.
func (v *Clients) Close() { v.http.CloseIdleConnections() }

// Out is how many requests of flows are under way.
func (v *Clients) Out() int { return int(v.out.Load()) }

// Request is one question of a client.
type Request struct {
	Class      string
	Route      string
	Item       conf.Item
	Prompt     string
	Repeatable bool
	Pieces     int
	of         string // the caller's ticket before
}

// Ask sends one request and reports how it ended.
func (v *Clients) Ask(ctx context.Context, e Edge, q Request) check.Event {
	ticket := fmt.Sprintf("%s-%d", v.name, v.ticket.Add(1))
	v.rec.Put(check.Event{Kind: check.Sent, Ticket: ticket, Node: e.Name, Class: q.Class, Repeatable: q.Repeatable, Item: q.Item.String(), Of: q.of})
	began := time.Now()
	a := v.ask(ctx, e, q, ticket, began)
	a.Kind, a.Ticket, a.Class, a.Node, a.TookMs = check.Answer, ticket, q.Class, e.Name, time.Since(began).Milliseconds()
	v.rec.Put(a)
	return a
}

func (v *Clients) ask(ctx context.Context, e Edge, q Request, ticket string, began time.Time) check.Event {
	body, _ := json.Marshal(Asked{Prompt: q.Prompt, Repeatable: q.Repeatable, Pieces: q.Pieces})
	url := "http://" + e.Addr + "/v1/routes/" + q.Route
	if q.Item.Model != "" {
		url += "?model=" + q.Item.Model
		if q.Item.Adapter != "" {
			url += "&adapter=" + q.Item.Adapter
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return check.Event{Outcome: check.NoConn, Why: err.Error()}
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(backend.HeaderRequestID, ticket)
	res, err := v.http.Do(req)
	if err != nil {
		if connRefused(err) {
			return check.Event{Outcome: check.NoConn, Why: err.Error()}
		}
		return check.Event{Outcome: check.LeftOut, Why: err.Error()}
	}
	defer res.Body.Close()
	a := check.Event{Status: res.StatusCode, Replica: res.Header.Get("Drumstall-Replica"), Retry: res.Header.Get("Retry-After") != ""}
	a.AgainS, _ = strconv.Atoi(res.Header.Get("Retry-After"))
	a.Serial, _ = strconv.ParseUint(res.Header.Get("Drumstall-Conf"), 10, 64)
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(res.Body, 4096))
		a.Why = string(bytes.TrimSpace(b))
		switch res.Header.Get(backend.HeaderOutcome) {
		case "not-run":
			a.Outcome = check.TurnedNo
		case "unknown":
			a.Outcome = check.Unknown
		default:
			a.Outcome = check.Failed
		}
		return a
	}
	in := bufio.NewScanner(res.Body)
	next, ended := 0, false
	wrong := func(format string, args ...any) check.Event {
		a.Outcome, a.Why = check.Spliced, fmt.Sprintf(format, args...)
		return a
	}
	for in.Scan() {
		if a.FirstMs == 0 {
			a.FirstMs = max(1, time.Since(began).Milliseconds())
		}
		var p Piece
		if err := json.Unmarshal(in.Bytes(), &p); err != nil {
			// Why: the last line of a broken stream may be cut; only if the stream then ends well is it wrong.
			if !in.Scan() && in.Err() != nil {
				break
			}
			return wrong("piece %d cannot be read", next)
		}
		switch {
		case ended:
			return wrong("a piece after the end")
		case p.Ticket != ticket:
			return wrong("a piece of ticket %s", p.Ticket)
		case p.N != next:
			return wrong("piece %d where %d should be", p.N, next)
		case p.End > 0 || p.Text == "":
			if p.End != next {
				return wrong("the end says %d pieces after %d", p.End, next)
			}
			ended = true
		case p.Text != PieceText(ticket, p.N):
			return wrong("piece %d has another text", p.N)
		default:
			next++
		}
	}
	switch {
	case in.Err() != nil:
		a.Outcome, a.Why = check.Broken, in.Err().Error()
	case !ended:
		return wrong("it ended well after %d pieces without its end", next)
	default:
		a.Outcome = check.Whole
	}
	return a
}

// connRefused says that nothing was sent: there was no connection to send on.
func connRefused(err error) bool {
	s := err.Error()
	for _, w := range []string{"connection refused", "dial"} {
		if len(s) >= len(w) && bytes.Contains([]byte(s), []byte(w)) {
			return true
		}
	}
	return false
}

// Flow is one class's stream of requests.
type Flow struct {
	Class      string
	Route      string
	PerSecond  float64
	Repeatable bool
	Items      []conf.Item // asked for by a Zipf share; none for services
	Prefixes   int         // distinct long prefixes
	Pieces     int
}

// Run sends flows to edges, wherever those are by then, until ctx ends.
func (v *Clients) Run(g *run.Group, ctx context.Context, seed uint64, edges func() []Edge, flows []Flow) {
	for i, f := range flows {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)+1))
		g.Go(func(gctx context.Context) {
			for {
				wait := time.Duration(rnd.ExpFloat64() / f.PerSecond * float64(time.Second))
				t := time.NewTimer(min(wait, time.Minute))
				select {
				case <-t.C:
				case <-ctx.Done():
					t.Stop()
					return
				case <-gctx.Done():
					t.Stop()
					return
				}
				e, q := f.draw(rnd, edges())
				if v.out.Add(1) > maxOut {
					v.out.Add(-1)
					continue
				}
				if !g.Go(func(gctx context.Context) {
					defer v.out.Add(-1)
					v.call(gctx, edges, e, q)
				}) {
					v.out.Add(-1)
				}
			}
		})
	}
}

// call asks once, and once more when told when to come back.
func (v *Clients) call(ctx context.Context, edges func() []Edge, e Edge, q Request) {
	a := v.Ask(ctx, e, q)
	if !v.Heed || a.Outcome != check.TurnedNo || a.AgainS == 0 || !run.Sleep(ctx, time.Duration(a.AgainS)*time.Second) {
		return
	}
	q.of = a.Ticket
	to := edges()
	v.Ask(ctx, to[int(v.ticket.Load())%len(to)], q)
}

// Draw makes one request of the flow.
func (f Flow) draw(rnd *rand.Rand, edges []Edge) (Edge, Request) {
	q := Request{Class: f.Class, Route: f.Route, Repeatable: f.Repeatable, Pieces: f.Pieces}
	if len(f.Items) > 0 {
		q.Item = f.Items[zipf(rnd, len(f.Items))]
	}
	q.Prompt = "a question of its own"
	if len(f.Items) > 0 {
		q.Prompt = Prompt(f.Route, rnd.IntN(max(f.Prefixes, 1)), rnd.IntN(1<<30))
	}
	return edges[rnd.IntN(len(edges))], q
}

// Prompt is what all requests on a route begin with, then one of several papers
// of 0.5 to 4 KiB, then a question of the request's own.
func Prompt(route string, paper, question int) string {
	var b strings.Builder
	for n := 0; b.Len() < 600; n++ {
		fmt.Fprintf(&b, "rule %d of %s; ", n, route)
	}
	for end := b.Len() + 512*(1+paper%8); b.Len() < end; {
		fmt.Fprintf(&b, "paper %d says so at %d; ", paper, b.Len())
	}
	fmt.Fprintf(&b, "and now question %d", question)
	return b.String()
}

// zipf draws 0..n-1, small numbers far more often.
func zipf(rnd *rand.Rand, n int) int {
	total := 0.0
	for i := 1; i <= n; i++ {
		total += 1 / math.Pow(float64(i), 1.1)
	}
	x := rnd.Float64() * total
	for i := 1; i <= n; i++ {
		if x -= 1 / math.Pow(float64(i), 1.1); x <= 0 {
			return i - 1
		}
	}
	return n - 1
}

// InForce asks a proxy which configuration it serves by.
func (v *Clients) InForce(ctx context.Context, e Edge) (uint64, bool) {
	n, ok, _ := v.asked(ctx, e)
	return n, ok
}

func (v *Clients) asked(ctx context.Context, e Edge) (serial uint64, serves, there bool) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr+"/v1/vitals", nil)
	if err != nil {
		return 0, false, false
	}
	res, err := v.http.Do(req)
	if err != nil {
		return 0, false, false
	}
	defer res.Body.Close()
	var m map[string]string
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&m) != nil {
		return 0, false, res.StatusCode == http.StatusServiceUnavailable
	}
	n, err := strconv.ParseUint(m["conf"], 10, 64)
	return n, err == nil, true
}

// WatchConf records what is in force at an edge, again and again; at tells
// where the edge is now.
func (v *Clients) WatchConf(g *run.Group, at func() Edge) {
	g.Every(250*time.Millisecond, func(ctx context.Context) {
		e := at()
		if n, ok, there := v.asked(ctx, e); ok {
			v.rec.Put(check.Event{Kind: check.ConfSeen, Node: e.Name, Serial: n})
		} else if there {
			v.rec.Put(check.Event{Kind: check.ConfNone, Node: e.Name})
		}
	})
}
