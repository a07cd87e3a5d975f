package review2

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freezeFor is how long the edge machine stands still: node_freeze of the pages, for 5 s if nothing else is said.
	freezeFor = 5 * time.Second
	calmFor   = 8 * time.Second
	afterFor  = 75 * time.Second
	// requestGap is the time between two requests of a kind: 118 a second, as cpts-drumstall-duties has of plate-status.
	requestGap = time.Second / 118
	// starvedPart: a kind of request must not be served less than this part as often as all requests.
	starvedPart = 4
	// toldFailures is how many failures of one sort are told one by one; all are counted.
	toldFailures = 100
)

// kind is a kind of request, as the sheet of the site has it, with what became of its requests.
type kind struct {
	name, host, path, model string
	deadline                time.Duration
	sent, served            atomic.Int64
}

// share is which part of the requests was served.
func (k *kind) share() float64 { return float64(k.served.Load()) / float64(max(1, k.sent.Load())) }

// frozenEdge: the edge machine stands still for some seconds and wakes again.
func frozenEdge(d *deployment, trouble bool) (verdict, error) {
	list := &platformList{}
	for n := range 6 {
		r := &replica{id: fmt.Sprintf("i-%04x", 4096+n*17), service: "plates", addr: d.addr(31+n, 7000), slots: 6, gap: 30 * time.Millisecond, rec: d.rec, log: newRunLog(), quiet: true}
		if n >= 3 {
			r.service, r.isModel, r.slots, r.events, r.gap, r.models = "drafts", true, 64, 6, 20*time.Millisecond, []string{"model0"}
		}
		if err := r.listen(); err != nil {
			return verdict{}, err
		}
		list.replicas = append(list.replicas, r)
	}
	if err := list.listen(d.addr(21, d.ports.platform)); err != nil {
		return verdict{}, err
	}
	procs, err := d.startAll(1, 2, 3)
	if err != nil {
		return verdict{}, err
	}
	document := `{"version":3,"routes":[{"name":"r-plate","host":"plate.example","pathStart":"/status/","kind":"safe","timeoutMs":2500,"targetMs":150,"priority":2,"service":"plates","tries":2,"sticky":false,"resumable":false},` +
		`{"name":"r-draft","host":"draft.example","pathStart":"/notice/","kind":"streaming","timeoutMs":20000,"targetMs":2500,"priority":0,"service":"drafts","tries":1,"sticky":true,"resumable":false,"gapTargetMs":300}],` +
		`"services":[{"name":"plates","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false},` +
		`{"name":"drafts","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"runtime":{"slots":64,"cacheTokens":135472,"cacheBytes":163840,"linkMbps":1100000.0,"spacing":5,"models":[{"name":"model0","sizeMb":65100,"loadTimeS":1.5,"adapters":0,"adapterSizeMb":12}],"sizeMb":230000,"adapterCapacity":8,"loadRateS":3.6}}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerWaitMs":3000,"idleMs":15000}}`
	if status, err := d.configure(document, 0, 15*time.Second, 1, 2, 3); err != nil || status != 200 {
		return verdict{}, fmt.Errorf("the first configuration was answered %d, %v", status, err)
	}
	if !d.awaitReady(15 * time.Second) {
		return verdict{}, errors.New("the edge is not ready")
	}
	time.Sleep(2 * time.Second)
	plate := &kind{name: "plate-status", host: "plate.example", path: "/status/2f", deadline: 2500 * time.Millisecond}
	draft := &kind{name: "renewal-notice-draft", host: "draft.example", path: "/notice/2f", model: "model0", deadline: 20 * time.Second}
	c := &callers{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}, reasons: map[string]int{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.tell(list.replicas, plate, draft, stop)
	}()
	for _, k := range []*kind{plate, draft} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(k, stop)
		}()
	}
	time.Sleep(calmFor)
	d.rec.add("served in the calm time: %s %d of %d, %s %d of %d", plate.name, plate.served.Load(), plate.sent.Load(), draft.name, draft.served.Load(), draft.sent.Load())
	calm := plate.share()
	if trouble {
		d.rec.add("the edge machine stands still")
		for _, role := range []string{"proxy", "agent"} {
			_ = procs[role].cmd.Process.Signal(syscall.SIGSTOP)
		}
	}
	time.Sleep(freezeFor)
	if trouble {
		for _, role := range []string{"proxy", "agent"} {
			_ = procs[role].cmd.Process.Signal(syscall.SIGCONT)
		}
		d.rec.add("the edge machine wakes again")
	}
	time.Sleep(afterFor - 10*time.Second)
	before := plate.served.Load()
	time.Sleep(10 * time.Second)
	late := plate.served.Load() - before
	close(stop)
	wg.Wait()
	for why, n := range c.reasons {
		d.rec.add("%d answers: %s", n, why)
	}
	all := float64(plate.served.Load()+draft.served.Load()) / float64(plate.sent.Load()+draft.sent.Load())
	text := fmt.Sprintf("of %s %d of %d requests were served (%.3f), of %s %d of %d, of all %.3f; in the last 10 s %d of %s", plate.name, plate.served.Load(), plate.sent.Load(),
		plate.share(), draft.name, draft.served.Load(), draft.sent.Load(), all, late, plate.name)
	switch {
	case calm < 0.9:
		return verdict{}, errors.New("not served in the calm time: " + text)
	case plate.share() < all/starvedPart || draft.share() < all/starvedPart:
		return verdict{broken, "broken: " + text}, nil
	}
	return verdict{held, "held: " + text}, nil
}

// callers send requests at a steady rate.
type callers struct {
	d       *deployment
	client  *http.Client
	ids     atomic.Int64
	mu      sync.Mutex
	reasons map[string]int
}

// tell writes to the record, each second, what was sent, answered and run so far.
func (c *callers) tell(replicas []*replica, plate, draft *kind, stop <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		ran := map[string]int64{}
		for _, r := range replicas {
			ran[r.service] += r.runs.Load()
		}
		for _, k := range []*kind{plate, draft} {
			c.d.rec.add("so far: %s sent %d, served %d", k.name, k.sent.Load(), k.served.Load())
		}
		c.d.rec.add("so far: run by the replicas of plates %d, of drafts %d", ran["plates"], ran["drafts"])
	}
}

func (c *callers) run(k *kind, stop <-chan struct{}) {
	tick := time.NewTicker(requestGap)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.sent.Add(1)
			if c.ask(k) {
				k.served.Add(1)
			}
		}()
	}
}

// ask sends a request and, as the sheet says, one further try after a failure, inside the deadline.
func (c *callers) ask(k *kind) bool {
	end := time.Now().Add(k.deadline)
	for range 2 {
		ok, wait := c.try(k, time.Until(end))
		if ok {
			return true
		}
		left := time.Until(end)
		if time.Sleep(min(wait, left/3)); time.Until(end) < 100*time.Millisecond {
			return false
		}
	}
	return false
}

// try sends one try and returns whether it was served, and how long the answer asks to wait.
func (c *callers) try(k *kind, left time.Duration) (ok bool, wait time.Duration) {
	id := fmt.Sprintf("9c41d07b%08x", c.ids.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+c.d.addr(11, c.d.ports.front)+k.path, bytes.NewReader([]byte("a request")))
	if err != nil {
		return false, 0
	}
	req.Host = k.host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Time-Left-Ms", fmt.Sprint(left.Milliseconds()))
	if k.model != "" {
		req.Header.Set("Model", k.model)
		req.Header.Set("Token-Count", "600,30")
		req.Header.Set("Prompt-Start", fmt.Sprintf("5c1e07a2:119,%s:481", id[8:]))
	}
	client := *c.client
	client.Timeout = left
	res, err := client.Do(req)
	if err != nil {
		c.count(k, id, "no answer in time", 0)
		return false, 0
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err == nil && res.StatusCode == http.StatusOK {
		return true, 0
	}
	c.count(k, id, strings.TrimSpace(string(body)), res.StatusCode)
	wait, _ = time.ParseDuration(res.Header.Get("Retry-After") + "s")
	return false, wait
}

func (c *callers) count(k *kind, id, why string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reasons[k.name+": "+why]++
	if c.reasons[k.name+": "+why] <= toldFailures {
		c.d.rec.add("client: %s %s answered %d %s", k.name, id, status, why)
	}
}
