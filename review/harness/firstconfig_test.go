package review

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["first-config"] = firstConfig }

// firstConfig freezes the edge machine for two seconds. Meanwhile the operator's
// first configuration is acknowledged and clients send requests that it allows.
func firstConfig(rec *record, trouble bool) int {
	const clients = 200
	d := newDeployment(rec)
	defer d.stop()
	p := &platform{}
	p.start(d)
	for n := 1; n <= 3; n++ {
		r := &replica{d: d, id: "i-" + string(rune('a'+n)), service: "platecheck", addr: d.replicaIP(n) + ":18306", slots: 100, answer: wholeAnswer(5 * time.Millisecond)}
		r.start()
		p.replicas = append(p.replicas, r)
	}
	d.startAll()
	if !waitFor(20*time.Second, d.isReady) {
		cannotRun("the edge did not become ready")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.signal("agent", syscall.SIGSTOP)
		d.signal("proxy", syscall.SIGSTOP)
	}
	frozen := time.Now()
	if !d.submit("PUT", "0", simpleConfig(1), 1500*time.Millisecond) {
		cannotRun("the first configuration was not acknowledged")
	}
	acked := time.Now()
	time.Sleep(time.Until(frozen.Add(1700 * time.Millisecond)))
	outcomes := make([]outcome, clients)
	var all sync.WaitGroup
	for i := range outcomes {
		all.Add(1)
		go func() {
			defer all.Done()
			outcomes[i] = send(d.front(), request{method: "GET", host: "plates.example", path: "/plate/2f", left: 2500 * time.Millisecond}, 0)
		}()
	}
	rec.put("%d clients send requests %d ms after the acknowledgement", clients, time.Since(acked).Milliseconds())
	time.Sleep(time.Until(frozen.Add(2200 * time.Millisecond)))
	if trouble {
		d.signal("agent", syscall.SIGCONT)
		d.signal("proxy", syscall.SIGCONT)
	}
	all.Wait()
	statuses := map[int]int{}
	for _, o := range outcomes {
		rec.put("%v", o)
		statuses[o.status]++
	}
	rec.put("statuses: %v", statuses)
	if statuses[404] > 10 {
		rec.put("broken: %d proper requests were answered 404", statuses[404])
		return exitBroken
	}
	return exitHeld
}
