package review2

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// lossAfter is when, after the first start, one core machine is lost for good.
	lossAfter = 300 * time.Millisecond
	// replacedAfter is how long after the loss an empty machine comes at another address: longer than catchUpS, so that
	// no other machine counts as lost any more.
	replacedAfter = 5 * time.Second
	// orderWithin is how long the operator repeats the first configuration.
	orderWithin = 60 * time.Second
)

// firstCore: while the system starts for the first time, one core machine is lost for good and an empty one
// comes at another address.
func firstCore(d *deployment, trouble bool) (verdict, error) {
	list := &platformList{}
	r := &replica{id: "i-1000", service: "plates", addr: d.addr(31, 7000), slots: 6, gap: 10 * time.Millisecond, rec: d.rec, log: newRunLog()}
	if err := r.listen(); err != nil {
		return verdict{}, err
	}
	list.replicas = append(list.replicas, r)
	if err := list.listen(d.addr(21, d.ports.platform)); err != nil {
		return verdict{}, err
	}
	procs, err := d.startAll(1, 2, 3)
	if err != nil {
		return verdict{}, err
	}
	began, cores := time.Now(), []int{1, 2, 3}
	if trouble {
		time.Sleep(lossAfter)
		procs[d.core(3).name].kill()
		d.rec.add("core machine %s is lost for good", d.core(3).name)
		time.Sleep(replacedAfter)
		path, err := d.writeSettings(d.core(4), d.seeds(1, 2, 4), false)
		if err != nil {
			return verdict{}, err
		}
		if _, err := d.start(d.core(4), "core", path); err != nil {
			return verdict{}, err
		}
		cores = []int{1, 2, 4}
	}
	document := `{"version":3,"routes":[{"name":"r-plate","host":"plate.example","pathStart":"/status/","kind":"safe","timeoutMs":2500,"targetMs":150,"priority":0,"service":"plates","tries":2,"sticky":false,"resumable":false}],` +
		`"services":[{"name":"plates","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerWaitMs":3000,"idleMs":15000}}`
	status, err := d.configure(document, 0, orderWithin, cores...)
	if err != nil {
		return verdict{}, err
	}
	took := time.Since(began)
	if status != http.StatusOK {
		return verdict{broken, fmt.Sprintf("broken: %.0f s after the start the first configuration is not acknowledged by any core, last status %d", took.Seconds(), status)}, nil
	}
	// It is read back.
	client := &http.Client{Timeout: 2 * time.Second}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for _, n := range cores {
			res, err := client.Get("http://" + d.addr(n, d.ports.control) + "/-/config")
			if err != nil {
				continue
			}
			body, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			d.rec.add("operator: GET at core %d answered %d", n, res.StatusCode)
			if res.StatusCode == http.StatusOK && string(body) == document {
				return verdict{held, fmt.Sprintf("held: acknowledged %.1f s after the start and read back", took.Seconds())}, nil
			}
		}
	}
	return verdict{broken, "broken: the acknowledged configuration does not come back"}, nil
}
