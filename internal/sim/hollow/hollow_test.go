package hollow

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"drumstall.example/internal/conf"
)

var design = Layout{Nodes: 410, Replicas: 600, Cores: 7, Zones: 7, Regions: 3, Block: 100}

// Each machine has an address of its own, from which its region can be told.
func TestAddressesTellRegions(t *testing.T) {
	seen := map[string]bool{design.platformIP(): true}
	check := func(ip string, i int) {
		if seen[ip] {
			t.Errorf("%s is there twice", ip)
		}
		seen[ip] = true
		got, found := design.regionOf(&net.UDPAddr{IP: net.ParseIP(ip)})
		if !found || got != design.Region(design.Zone(i)) || !net.ParseIP(ip).IsLoopback() {
			t.Errorf("%s: region %d, %v", ip, got, found)
		}
	}
	for i := range design.Cores {
		check(design.CoreIP(i), i)
	}
	for i := range design.Nodes {
		check(design.NodeIP(i), i)
	}
	for i := range design.Replicas {
		check(design.ReplicaIP(i), i)
	}
	for _, ip := range []string{design.platformIP(), "127.0.0.1", "127.107.0.1"} {
		if _, found := design.regionOf(&net.TCPAddr{IP: net.ParseIP(ip)}); found {
			t.Errorf("%s is in a region", ip)
		}
	}
}

// The configuration and its changes are taken as operators send them.
func TestDocumentIsAConfiguration(t *testing.T) {
	doc, err := Catalogue{Models: 40, Adapters: 400, Routes: 5}.Document()
	if err != nil {
		t.Fatal(err)
	}
	kept, err := conf.ReadWhole("application/json", doc)
	if err != nil {
		t.Fatal(err)
	}
	effective, err := conf.Compile(kept)
	if err != nil || len(effective.Models) != 40 || len(effective.Routes) != 5 {
		t.Errorf("%d models, %d routes, %v", len(effective.Models), len(effective.Routes), err)
	}
	if _, err := conf.ReadPartial(kept, "application/json", Change(3)); err != nil {
		t.Error(err)
	}
}

// Callers come at their rate and stay for as long as a request lasts; what nobody holds is waited for until it is held.
func TestCallersComeAndGo(t *testing.T) {
	held := newHolders(map[string][]string{"r1": {"m1", "m1/a0"}, "r2": {"m2"}})
	c := callers{load: Load{PerNode: 10, Lasts: 2 * time.Second}, share: 1, catalogue: Catalogue{Models: 1}, rnd: rand.New(rand.NewPCG(1, 1))}
	for range 100 {
		c.pass(100*time.Millisecond, held)
	}
	if n := len(c.flights); n < 19 || n > 21 {
		t.Errorf("%d requests are on their way", n)
	}
	sum := 0
	for replica, items := range c.inflight() {
		for item, n := range items {
			if !strings.Contains("r1 m1 r1 m1/a0 r2 m2", replica+" "+item) {
				t.Errorf("%s is asked of %s", item, replica)
			}
			sum += n
		}
	}
	if sum != len(c.flights) {
		t.Errorf("%d of %d are told", sum, len(c.flights))
	}
	if c.waiting()["model-0000"] == 0 {
		t.Error("nobody waits for what nobody holds")
	}
	c.share = 0
	c.pass(100*time.Millisecond, newHolders(map[string][]string{"r1": {"model-0000"}}))
	if len(c.misses) != 0 {
		t.Errorf("%v are waited for though it is there", c.misses)
	}
}

// A process tells why it does not start, and answers each line.
func TestServeAnswers(t *testing.T) {
	serve := func(lines ...string) (code int, answers []string) {
		var out, logs bytes.Buffer
		code = Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out, &logs)
		return code, strings.Split(strings.TrimSpace(out.String()), "\n")
	}
	if code, answers := serve("nonsense"); code != 2 || !strings.Contains(answers[0], "no spec") {
		t.Errorf("%d, %q", code, answers)
	}
	l := design
	l.Block = 190
	spec, err := json.Marshal(Spec{Name: "r", Layout: l, Replicas: []int{0, 1}})
	if err != nil {
		t.Fatal(err)
	}
	code, answers := serve(string(spec), CommandSample, CommandCut+" 1,2", CommandCut, CommandCut+" x", "dance")
	if code != 0 || len(answers) != 6 {
		t.Fatalf("%d, %q", code, answers)
	}
	for i, want := range []string{`"Error":""`, `"Processor"`, `"Error":""`, `"Error":""`, "region", "no command"} {
		if !strings.Contains(answers[i], want) {
			t.Errorf("answer %d is %q, want %q", i, answers[i], want)
		}
	}
}
