package review

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"
)

func init() { cases["first-start"] = firstStart }

// simpleConfig is a configuration with one route to one service.
func simpleConfig(version int) []byte {
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{"name": "r-plate", "host": "plates.example", "pathStart": "/plate/", "kind": "safe", "timeoutMs": 2500,
			"targetMs": 150, "priority": 0, "service": "platecheck", "tries": 1, "sticky": false, "resumable": false}},
		"services": []map[string]any{{"name": "platecheck", "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerWaitMs": 3000, "idleMs": 15000},
	})
	return b
}

// firstStart has one core machine lose its disk while the first set of voters is being
// formed. It starts again half a second later at its old address, with an empty data
// folder and firstStart false.
func firstStart(rec *record, trouble bool) int {
	d := newDeployment(rec)
	defer d.stop()
	p := &platform{}
	p.start(d)
	d.startAll()
	time.Sleep(killAfter())
	if trouble {
		d.kill("core-1")
		if err := os.RemoveAll(d.dataDir(1)); err != nil {
			cannotRun("data folder: %v", err)
		}
		rec.put("the data folder of core-1 is empty")
		time.Sleep(500 * time.Millisecond)
		d.startCore(1, false)
	}
	if d.submit("PUT", "0", simpleConfig(1), 60*time.Second) {
		rec.put("held: the first configuration was acknowledged")
		return exitHeld
	}
	for n := 1; n <= 3; n++ {
		rec.put("core-%d is running: %v", n, d.isRunning(fmt.Sprintf("core-%d", n)))
	}
	rec.put("broken: the first configuration was not acknowledged in 60 s")
	return exitBroken
}

// killAfter is how long after its start the core loses its disk.
func killAfter() time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("KILL_AFTER_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return 300 * time.Millisecond
}
