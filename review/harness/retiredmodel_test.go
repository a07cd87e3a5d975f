package review

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["retired-model"] = retiredModel }

// engineConfig is a configuration with one streaming route to one service of model replicas.
func engineConfig(version int, models []modelSpec, route map[string]any, sizeMb float64, places int) []byte {
	var listed []map[string]any
	for _, m := range models {
		listed = append(listed, map[string]any{"name": m.name, "sizeMb": m.sizeMb, "loadTimeS": m.loadFor.Seconds(), "adapters": m.adapters, "adapterSizeMb": m.adapterMb})
	}
	all := map[string]any{"name": "r-draft", "host": "plates.example", "pathStart": "/draft/", "kind": "streaming", "timeoutMs": 20000, "targetMs": 2500,
		"priority": 0, "service": "titlegen", "tries": 1, "sticky": true, "resumable": false, "gapTargetMs": 300}
	for name, value := range route {
		all[name] = value
	}
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  []map[string]any{all},
		"services": []map[string]any{{"name": "titlegen", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
			"runtime": map[string]any{"slots": 64, "cacheTokens": 135472, "cacheBytes": 163840, "spacing": 6, "sizeMb": sizeMb, "adapterCapacity": places, "loadRateS": 3.6, "models": listed}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerWaitMs": 3000, "idleMs": 15000},
	})
	return b
}

// retiredModel has the operator take a model out of the configuration that a replica
// holds, and then asks for one that is not loaded.
func retiredModel(rec *record, trouble bool) int {
	const sizeMb, places = 230000, 8
	d := newDeployment(rec)
	defer d.stop()
	p := &platform{}
	p.start(d)
	specs := map[string]modelSpec{}
	var models []modelSpec
	for n := 1; n <= 4; n++ {
		m := modelSpec{fmt.Sprintf("m%d", n), 72700, 66, 0, 1600 * time.Millisecond}
		models, specs[m.name] = append(models, m), m
	}
	r := &replica{d: d, id: "i-1", service: "titlegen", addr: d.replicaIP(1) + ":18306", slots: 64, lag: 100 * time.Millisecond, specs: specs, sizeMb: sizeMb, places: places,
		models: map[string]map[string]bool{"m1": {}, "m2": {}, "m3": {}}}
	r.answer = streamAnswer(10, 50*time.Millisecond, nil)
	r.start()
	p.replicas = append(p.replicas, r)
	d.startAll()
	if !d.submit("PUT", "0", engineConfig(1, models, nil, sizeMb, places), 20*time.Second) || !waitFor(20*time.Second, d.isReady) {
		cannotRun("the deployment did not come up")
	}
	time.Sleep(4 * time.Second)
	ask := func(model string) outcome {
		o := send(d.front(), request{method: "POST", host: "plates.example", path: "/draft/2f", left: 10 * time.Second, body: "draft",
			header: map[string]string{"Model": model, "Token-Count": "400,50", "Prompt-Start": "5c1e07a2:198,91bd3f06:202"}}, 0)
		rec.put("request for %s: %v", model, o)
		return o
	}
	for _, model := range []string{"m1", "m2", "m3"} {
		if o := ask(model); o.status != http.StatusOK {
			cannotRun("a loaded model was not served")
		}
	}
	if trouble {
		if !d.submit("PUT", "1", engineConfig(2, models[1:], nil, sizeMb, places), 10*time.Second) {
			cannotRun("the second configuration was not acknowledged")
		}
		rec.put("configuration 2, without m1, is acknowledged")
	}
	time.Sleep(4 * time.Second)
	for try := 0; try < 3; try++ {
		o := ask("m4")
		r.mu.Lock()
		fallen := r.fallen
		rec.put("replica %s holds %v", r.id, r.held())
		r.mu.Unlock()
		if fallen {
			rec.put("broken: the replica was ordered to load more than it can hold")
			return exitBroken
		}
		if o.status == http.StatusOK {
			return exitHeld
		}
	}
	if !trouble {
		cannotRun("m4 was not served without trouble")
	}
	return exitHeld
}
