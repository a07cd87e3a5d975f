package review

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["adapter-limit"] = adapterLimit }

const (
	adapterRounds = 7
	otherReplicas = 4 // so that the one that is cut off is a fifth of them
	adaptersHeld  = 7
	adapterPlaces = 8
	cutFor        = 5 * time.Second        // the pages' usual length of a cut
	reportLag     = 500 * time.Millisecond // "some hundred ms"
	restartDelay  = 300 * time.Millisecond
)

// adapterLimit cuts a replica off from the core just as the load of an adapter is
// ordered, kills the core that gave the order, and lets the cut heal after 5 s. Each
// round has a replica of its own.
func adapterLimit(rec *record, trouble bool) int {
	d := newDeployment(rec)
	defer d.stop()
	p := &platform{}
	p.start(d)
	d.startAll()
	models := map[string]modelSpec{}
	var listed []modelSpec
	for n := 1; n <= 1+otherReplicas; n++ {
		m := modelSpec{fmt.Sprintf("m%d", n), 150000, 12, 40, 1400 * time.Millisecond}
		models[m.name], listed = m, append(listed, m)
	}
	config := engineConfig(1, listed, map[string]any{"timeoutMs": 115000, "targetMs": 3000}, 230000, adapterPlaces)
	if !d.submit("PUT", "0", config, 20*time.Second) || !waitFor(20*time.Second, d.isReady) {
		cannotRun("the deployment did not come up")
	}
	// The other replicas have no room: the model that each holds is in use all the time.
	var others []*replica
	for n := 2; n <= 1+otherReplicas; n++ {
		r := &replica{d: d, id: fmt.Sprintf("i-other-%d", n), service: "titlegen", addr: d.replicaIP(100+n) + ":18306", slots: 64, lag: reportLag, specs: models,
			sizeMb: 230000, places: adapterPlaces, models: map[string]map[string]bool{fmt.Sprintf("m%d", n): {}}}
		r.answer = streamAnswer(1<<20, 100*time.Millisecond, nil)
		r.start()
		others = append(others, r)
		go func() {
			for {
				askDraft(d, "/draft/long", fmt.Sprintf("m%d", n), 110*time.Second)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	p.set(others...)
	time.Sleep(4 * time.Second)
	for i := 1; i <= adapterRounds; i++ {
		if adapterRound(d, p, others, models, i, trouble) {
			rec.put("broken: a replica was ordered to load more adapters than it can hold")
			return exitBroken
		}
	}
	return exitHeld
}

var prompts atomic.Int64

// askDraft sends one request for a model.
func askDraft(d *deployment, path, item string, left time.Duration) outcome {
	return send(d.front(), request{method: "POST", host: "plates.example", path: path, left: left, body: "draft",
		header: map[string]string{"Model": item, "Token-Count": "400,150", "Prompt-Start": fmt.Sprintf("5c1e07a2:198,%x:202", prompts.Add(1))}}, 0)
}

// startEngine starts a replica that holds the model with seven adapters, behind a link that can be cut.
func startEngine(d *deployment, specs map[string]modelSpec, round int, ended *atomic.Bool) (*replica, *cuttable) {
	adapters := map[string]bool{}
	for n := 1; n <= adaptersHeld; n++ {
		adapters[fmt.Sprintf("a%d", n)] = true
	}
	r := &replica{d: d, id: fmt.Sprintf("i-%d", round), service: "titlegen", addr: d.replicaIP(round) + ":18306", listedAt: d.replicaIP(round) + ":18307",
		slots: 64, lag: reportLag, specs: specs, sizeMb: 230000, places: adapterPlaces,
		models: map[string]map[string]bool{"m1": adapters}}
	short := streamAnswer(10, 100*time.Millisecond, nil)
	long := streamAnswer(1<<20, 100*time.Millisecond, func() {
		if ended.Load() {
			panic(http.ErrAbortHandler)
		}
	})
	r.answer = func(r *replica, w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/draft/long" {
			long(r, w, q)
			return
		}
		short(r, w, q)
	}
	r.start()
	c := &cuttable{target: r.addr}
	c.start(r.listedAt)
	return r, c
}

// adapterRound says whether the replica fell.
func adapterRound(d *deployment, p *platform, others []*replica, models map[string]modelSpec, round int, trouble bool) bool {
	rec := d.rec
	rec.put("round %d", round)
	var ended atomic.Bool
	r, link := startEngine(d, models, round, &ended)
	p.set(append([]*replica{r}, others...)...)
	ask := func(path, item string, left time.Duration) outcome { return askDraft(d, path, item, left) }
	if !waitFor(12*time.Second, func() bool { return ask("/draft/short", "m1", 2*time.Second).status == http.StatusOK }) {
		cannotRun("the model was not served")
	}
	// All adapters that are there are in use.
	var clients sync.WaitGroup
	run := func(f func()) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			f()
		}()
	}
	for n := 1; n <= adaptersHeld; n++ {
		run(func() { ask("/draft/long", fmt.Sprintf("m1/a%d", n), 100*time.Second) })
	}
	time.Sleep(1500 * time.Millisecond)
	giver := make(chan string, 1)
	link.onOrder(func(order string) {
		if field(order, "adapter") != "a8" || !strings.Contains(order, `"load"`) {
			return
		}
		select {
		case giver <- field(order, "holder"):
			if trouble {
				rec.put("replica %s is cut off from the core; an order to load m1/a8 is on its way", r.id)
				link.cut()
			}
		default:
		}
	})
	run(func() { rec.put("request for m1/a8: %v", ask("/draft/short", "m1/a8", 3*time.Second)) })
	var core string
	select {
	case core = <-giver:
	case <-time.After(5 * time.Second):
		cannotRun("no order for a8 came")
	}
	from := time.Now()
	if trouble {
		time.Sleep(100 * time.Millisecond)
		d.kill(core)
		time.Sleep(restartDelay)
		var n int
		if _, err := fmt.Sscanf(core, "core-%d", &n); err != nil {
			cannotRun("holder %q", core)
		}
		d.startCore(n, false)
	}
	time.Sleep(time.Until(from.Add(3500 * time.Millisecond)))
	var stop atomic.Bool
	run(func() {
		for !stop.Load() {
			time.Sleep(100 * time.Millisecond)
			run(func() {
				if o := ask("/draft/short", "m1/a9", 2*time.Second); o.status != http.StatusServiceUnavailable {
					rec.put("request for m1/a9: %v", o)
				}
			})
		}
	})
	time.Sleep(time.Until(from.Add(cutFor)))
	if trouble {
		rec.put("the cut heals")
		link.heal()
	}
	waitFor(2*time.Second, r.isFallen)
	stop.Store(true)
	rec.put("replica %s holds %v, fallen %v", r.id, r.holding(), r.isFallen())
	ended.Store(true)
	p.set(others...)
	clients.Wait()
	_ = r.server.Close()
	return r.isFallen()
}
