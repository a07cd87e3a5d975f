package review2

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The doses of the disruptions, as the pages and the site file name them.
const (
	windowS    = 5 * time.Second
	pauseS     = time.Second
	windows    = 12
	greyShare  = 0.4  // of its requests that the replica turns away as full
	extraShare = 0.03 // of its answers that come a second time
)

// lateRefusal: a replica that is full turns requests away, and some of its answers come a second time, late.
func lateRefusal(d *deployment, trouble bool) (verdict, error) {
	log := newRunLog()
	list := &platformList{}
	var open atomic.Bool // a window of trouble
	for n := range 7 {
		r := &replica{id: fmt.Sprintf("i-%04x", 4096+n*17), service: "llm", addr: d.addr(31+n, 7000), slots: 4, isModel: true, events: 2, gap: 10 * time.Millisecond,
			rec: d.rec, log: log, models: []string{fmt.Sprintf("model%d", n)}}
		if n == 0 && trouble {
			r.busy = func() bool { return open.Load() && rand.Float64() < greyShare }
			r.extra = func() bool { return open.Load() && rand.Float64() < extraShare }
		}
		if err := r.listen(); err != nil {
			return verdict{}, err
		}
		list.replicas = append(list.replicas, r)
	}
	if err := list.listen(d.addr(21, d.ports.platform)); err != nil {
		return verdict{}, err
	}
	if _, err := d.startAll(1, 2, 3); err != nil {
		return verdict{}, err
	}
	var models []string
	for n := range 7 {
		models = append(models, fmt.Sprintf(`{"name":"model%d","sizeMb":65100,"loadTimeS":1.5,"adapters":0,"adapterSizeMb":12}`, n))
	}
	document := fmt.Sprintf(`{"version":3,"routes":[{"name":"r-notice","host":"notice.example","pathStart":"/draft/","kind":"streaming","timeoutMs":20000,"targetMs":2500,"priority":0,"service":"llm","tries":2,"sticky":true,"resumable":false,"gapTargetMs":300}],`+
		`"services":[{"name":"llm","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"runtime":{"slots":4,"cacheTokens":135472,"cacheBytes":163840,"linkMbps":1100000.0,"spacing":5,"models":[%s],"sizeMb":70000,"adapterCapacity":8,"loadRateS":3.6}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerWaitMs":3000,"idleMs":15000}}`, strings.Join(models, ","))
	if status, err := d.configure(document, 0, 15*time.Second, 1, 2, 3); err != nil || status != 200 {
		return verdict{}, fmt.Errorf("the first configuration was answered %d, %v", status, err)
	}
	if !d.awaitReady(15 * time.Second) {
		return verdict{}, errors.New("the edge is not ready")
	}
	time.Sleep(2 * time.Second)
	client := &http.Client{Timeout: 20 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	counts := map[int]int{}
	var wrong []string
	sent := 0
	ask := func() {
		sent++
		id := fmt.Sprintf("9c41d07b%08x", sent)
		req, err := http.NewRequest(http.MethodPost, "http://"+d.addr(11, d.ports.front)+"/draft/2f", bytes.NewReader([]byte("a notice")))
		if err != nil {
			return
		}
		req.Host = "notice.example"
		for name, value := range map[string]string{"Attempt-Id": id, "Model": "model0", "Token-Count": "600,15", "Prompt-Start": fmt.Sprintf("5c1e07a2:119,%08x:481", sent), "Time-Left-Ms": "20000"} {
			req.Header.Set(name, value)
		}
		d.rec.add("client: %s sent", id)
		res, err := client.Do(req)
		if err != nil {
			d.rec.add("client: %s got no answer: %v", id, err)
			counts[0]++
			return
		}
		_, _ = io.Copy(io.Discard, bufio.NewReader(res.Body))
		_ = res.Body.Close()
		counts[res.StatusCode]++
		d.rec.add("client: %s answered %d, Retry-After %q", id, res.StatusCode, res.Header.Get("Retry-After"))
		// What the replica runs after the answer counts as well.
		if res.StatusCode == 503 || res.StatusCode == 429 || res.StatusCode == 408 || res.StatusCode == 421 {
			time.Sleep(100 * time.Millisecond)
			if runs := log.of(id); len(runs) > 0 {
				wrong = append(wrong, fmt.Sprintf("REFUSED: %s was answered %d and ran at %v", id, res.StatusCode, runs))
			}
		}
		if runs := log.of(id); len(runs) > 1 {
			wrong = append(wrong, fmt.Sprintf("TWICE: %s ran at %v", id, runs))
		}
	}
	for range windows {
		open.Store(true)
		for end := time.Now().Add(windowS); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			ask()
		}
		open.Store(false)
		for end := time.Now().Add(pauseS); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			ask()
		}
	}
	r := list.replicas[0]
	d.rec.add("%d requests; answers by status %v; %d answers of the replica, %d of them sent a second time", sent, counts, r.answers.Load(), r.extras.Load())
	for _, one := range wrong {
		d.rec.add("%s", one)
	}
	if len(wrong) > 0 {
		return verdict{broken, fmt.Sprintf("broken: %d of %d requests; first: %s", len(wrong), sent, wrong[0])}, nil
	}
	if counts[200] < sent/2 {
		return verdict{}, fmt.Errorf("only %d of %d requests were served", counts[200], sent)
	}
	return verdict{held, fmt.Sprintf("held: %d requests, answers by status %v", sent, counts)}, nil
}
