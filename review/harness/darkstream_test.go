package review

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["dark-stream"] = darkStream }

// darkStream has a replica go dark in the middle of its streams, and looks when
// their clients get a final answer.
func darkStream(rec *record, trouble bool) int {
	const (
		streams = 12
		timeout = 5 * time.Second
		events  = 30
		gap     = 100 * time.Millisecond
		silence = 12 * time.Second // the longest of 2 s, four times targetMs and eight times gapTargetMs
	)
	d := newDeployment(rec)
	defer d.stop()
	p := &platform{}
	p.start(d)
	var dark atomic.Bool
	// Nine replicas hold a model each; the one with m1 goes dark.
	specs := map[string]modelSpec{}
	var models []modelSpec
	for n := 1; n <= 9; n++ {
		m := modelSpec{fmt.Sprintf("m%d", n), 150000, 12, 4, 1400 * time.Millisecond}
		specs[m.name], models = m, append(models, m)
	}
	for n, m := range models {
		r := &replica{d: d, id: fmt.Sprintf("i-%d", n+1), service: "titlegen", addr: d.replicaIP(n+1) + ":18306", slots: 64, lag: 100 * time.Millisecond,
			specs: specs, sizeMb: 230000, places: 8, models: map[string]map[string]bool{m.name: {}}}
		r.answer = streamAnswer(events, gap, func() {
			for r.id == "i-1" && dark.Load() {
				time.Sleep(gap)
			}
		})
		r.silent = func() bool { return r.id == "i-1" && dark.Load() }
		r.start()
		p.replicas = append(p.replicas, r)
	}
	d.startAll()
	config := engineConfig(1, models, map[string]any{"timeoutMs": timeout.Milliseconds(), "targetMs": 3000}, 230000, 8)
	if !d.submit("PUT", "0", config, 20*time.Second) || !waitFor(20*time.Second, d.isReady) {
		cannotRun("the deployment did not come up")
	}
	time.Sleep(4 * time.Second)
	outcomes := make([]outcome, streams)
	var all sync.WaitGroup
	for i := range outcomes {
		all.Add(1)
		go func() {
			defer all.Done()
			outcomes[i] = send(d.front(), request{method: "POST", host: "plates.example", path: "/draft/2f", left: 20 * time.Second, body: "draft",
				header: map[string]string{"Model": "m1", "Token-Count": "400,150", "Prompt-Start": fmt.Sprintf("5c1e07a2:198,%x:202", i+1)}}, silence)
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		rec.put("replica i-1, one of nine, goes dark")
		dark.Store(true)
	}
	all.Wait()
	dark.Store(false)
	long, late := 0, 0
	for _, o := range outcomes {
		rec.put("%v, last piece after %d ms, %d bytes", o, o.heard.Milliseconds(), len(o.body))
		if o.took > timeout {
			long++
		}
		if o.took > timeout+500*time.Millisecond {
			late++
		}
	}
	rec.put("%d streams lasted longer than the route's timeoutMs, %d of them had no final answer 0.5 s after it", long, late)
	if late >= 8 && 4*late > long {
		return exitBroken
	}
	for _, o := range outcomes {
		if !trouble && !o.whole {
			cannotRun("a stream was not served without trouble: %v", o)
		}
	}
	return exitHeld
}
