package review

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["restarted-edge"] = restartedEdge }

// bigConfig is a configuration of a usual size: the route of the requests, 350 more
// routes, and a service with 34 models.
func bigConfig(version int) []byte {
	var models []modelSpec
	for n := 1; n <= 34; n++ {
		models = append(models, modelSpec{fmt.Sprintf("m%d", n), 72700, 66, 2, 1600 * time.Millisecond})
	}
	var whole, simple map[string]any
	_ = json.Unmarshal(engineConfig(version, models, nil, 230000, 8), &whole)
	_ = json.Unmarshal(simpleConfig(version), &simple)
	routes := append(whole["routes"].([]any), simple["routes"].([]any)...)
	for n := range 350 {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-big-%d", n), "host": fmt.Sprintf("h%d.example", n%40), "pathStart": fmt.Sprintf("/p%d/", n), "kind": "safe",
			"timeoutMs": 2500, "targetMs": 150, "priority": 1, "service": "platecheck", "tries": 1, "sticky": false, "resumable": false})
	}
	whole["routes"], whole["services"] = routes, append(whole["services"].([]any), simple["services"].([]any)...)
	b, _ := json.Marshal(whole)
	return b
}

// restartedEdge kills the processes of the edge machine, which start again after a short
// delay, while clients come with requests that the only configuration there ever was allows.
func restartedEdge(rec *record, trouble bool) int {
	const (
		rounds  = 6
		clients = 150
		every   = 10 * time.Millisecond // 106 a second come in a burst of 2.4 times the site's traffic
		left    = 2500 * time.Millisecond
	)
	d := newDeployment(rec)
	defer d.stop()
	p := &platform{}
	p.start(d)
	for n := 1; n <= 3; n++ {
		r := &replica{d: d, id: fmt.Sprintf("i-%d", n), service: "platecheck", addr: d.replicaIP(n) + ":18306", slots: 6, answer: wholeAnswer(5 * time.Millisecond)}
		r.start()
		p.replicas = append(p.replicas, r)
	}
	d.startAll()
	if !d.submit("PUT", "0", bigConfig(1), 20*time.Second) || !waitFor(20*time.Second, d.isReady) {
		cannotRun("the deployment did not come up")
	}
	time.Sleep(5 * time.Second)
	denied := 0
	for round := 1; round <= rounds; round++ {
		outcomes := make([]outcome, clients)
		var all sync.WaitGroup
		for i := range outcomes {
			all.Add(1)
			go func() {
				defer all.Done()
				time.Sleep(time.Duration(i) * every)
				began := time.Now()
				for time.Since(began) < left {
					outcomes[i] = send(d.front(), request{method: "GET", host: "plates.example", path: "/plate/2f", left: left - time.Since(began)}, 0)
					if outcomes[i].status != 0 {
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
		if trouble {
			d.kill("agent")
			d.kill("proxy")
			time.Sleep(300 * time.Millisecond)
			d.startAgent(false)
			d.startProxy(false)
		}
		all.Wait()
		statuses := map[int]int{}
		for _, o := range outcomes {
			rec.put("%v", o)
			statuses[o.status]++
		}
		rec.put("round %d: statuses %v (0 is no answer)", round, statuses)
		denied += statuses[http.StatusNotFound]
		time.Sleep(5 * time.Second)
	}
	rec.put("%d of %d proper requests were answered 404", denied, rounds*clients)
	if denied > 10 {
		return exitBroken
	}
	return exitHeld
}
