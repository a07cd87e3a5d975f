package conf

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// shop is a configuration whose routes are matched by host and path.
const matchingConfig = `{
	"classes": {"desk": {}},
	"models": {"m": {"sizeMib": 10, "service": "thinkers"}},
	"services": {"web": {"maxConnections": 8}, "thinkers": {"selector": "pool=gpu", "slots": 4}, "spare": {}},
	"routes": {
		"all":   {"kind": "service", "class": "desk", "host": "Shop.example", "pathPrefix": "/", "split": ["web=1"]},
		"deep":  {"kind": "service", "class": "desk", "host": "shop.example", "pathPrefix": "/a/b/", "split": ["web=3", "thinkers=1", "spare=0"]},
		"short": {"kind": "service", "class": "desk", "host": "shop.example", "pathPrefix": "/a/", "split": ["spare=1"]},
		"six":   {"kind": "service", "class": "desk", "host": "::1", "pathPrefix": "/six/", "split": ["web=1"]},
		"plain": {"kind": "service", "class": "desk", "selector": "service=web"}
	}
}`

func compileJSON(t *testing.T, text string) Effective {
	t.Helper()
	k, err := ReadWhole("application/json", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	e, err := Compile(k)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestMatchPicksLongestPrefixOfHost(t *testing.T) {
	e := compileJSON(t, matchingConfig)
	for _, c := range []struct{ host, path, want string }{
		{"shop.example", "/", "all"},
		{"shop.example:8080", "/x", "all"},
		{"SHOP.Example:80", "/a/", "short"},
		{"shop.example", "/a", "all"},
		{"shop.example", "/a/b", "short"},
		{"shop.example", "/a/b/", "deep"},
		{"shop.example", "/a/b/c/d", "deep"},
		{"shop.example", "/A/b/", "all"},
		{"[::1]:90", "/six/x", "six"},
		{"[::1]:90", "/x", ""},
		{"other.example", "/a/", ""},
		{"", "/a/", ""},
		{"shop.example", "", ""},
		{"shop.example", "*", ""},
	} {
		r, found := e.Match(c.host, c.path)
		if r.Name != c.want || found != (c.want != "") {
			t.Errorf("%q %q: got %q, %v, want %q", c.host, c.path, r.Name, found, c.want)
		}
	}
}

func TestSplitIsProportional(t *testing.T) {
	e := compileJSON(t, matchingConfig)
	counts := map[string]int{}
	const draws = 4000
	for i := range draws {
		r := e.Resolve(e.Routes["deep"], float64(i)/draws)
		counts[r.Service+" "+r.Kind]++
	}
	if len(counts) != 2 || counts["web service"] != draws*3/4 || counts["thinkers model"] != draws/4 {
		t.Errorf("got %v", counts)
	}
	if got := e.Routes["deep"].PickService(0.9999999999999999); got != "thinkers" {
		t.Errorf("the highest draw leads to %q", got)
	}
}

func TestResolveSelectsReplicasOfService(t *testing.T) {
	e := compileJSON(t, matchingConfig)
	if got := e.Resolve(e.Routes["all"], 0.5); got.Selector.String() != "service=web" || got.Kind != "service" {
		t.Errorf("got %s %s", got.Kind, got.Selector)
	}
	if got := e.Resolve(e.Routes["deep"], 0.8); got.Selector.String() != "pool=gpu" || got.Kind != "model" {
		t.Errorf("got %s %s", got.Kind, got.Selector)
	}
	if got := e.Resolve(e.Routes["plain"], 0.5); got.Service != "" || got.Selector.String() != "service=web" {
		t.Errorf("a route without a split was narrowed to %q", got.Service)
	}
	if e.Routes["all"].Service != "" {
		t.Error("the configuration itself was changed")
	}
}

func TestAllRouteErrorsAreReported(t *testing.T) {
	_, err := ReadWhole("application/json", []byte(`{
		"classes": {"desk": {}},
		"models": {"m": {"sizeMib": 10, "service": "gone"}},
		"services": {"web": {}},
		"routes": {
			"bare":    {"kind": "service", "class": "desk", "pathPrefix": "bare", "split": ["web=1"]},
			"first":   {"kind": "service", "class": "desk", "host": "h", "pathPrefix": "/a/", "split": ["web=1"]},
			"none":    {"kind": "service", "class": "desk", "split": ["web=0"]},
			"second":  {"kind": "service", "class": "desk", "host": "H", "pathPrefix": "/a/", "split": ["web=1"]},
			"strange": {"kind": "service", "class": "desk", "split": ["nobody=1"]},
			"text":    {"kind": "service", "class": "desk", "split": ["web"]}
		}
	}`))
	for _, want := range []string{
		`models/m.service: no service "gone"`,
		`routes/bare.pathPrefix: "bare" does not begin and end with a slash`,
		`routes/second: host and pathPrefix are those of routes/first`,
		`routes/none.split: the weights sum to 0`,
		`routes/strange.split: no service "nobody"`,
		`routes/text.split: "web" is not SERVICE=WEIGHT`,
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("not told: %s\nbut %v", want, err)
		}
	}
}

func TestNonPositiveDeadlineIsInvalid(t *testing.T) {
	e := newEffective()
	for name, d := range map[string]time.Duration{"zero": 0, "below": -time.Second, "good": time.Second} {
		e.Routes[name] = Route{Name: name, Deadline: d}
	}
	want := "[routes/below.deadlineMs: must be above 0 routes/zero.deadlineMs: must be above 0]"
	if got := fmt.Sprint([]string(e.buildIndexes())); got != want {
		t.Errorf("got %s", got)
	}
	if _, err := ReadWhole("", []byte(`{"classes":{"c":{}},"routes":{"r":{"kind":"service","class":"c","deadlineMs":0}}}`)); err == nil {
		t.Error("a deadline of 0 was taken")
	}
}

func TestCallerDeadlineOnlyShortensRouteDeadline(t *testing.T) {
	r := Route{Deadline: time.Second}
	for own, want := range map[time.Duration]time.Duration{0: time.Second, time.Minute: time.Second, time.Millisecond: time.Millisecond, -1: time.Second} {
		if got := r.EffectiveDeadline(own); got != want {
			t.Errorf("%v: got %v, want %v", own, got, want)
		}
	}
}

const serviceObject = `apiVersion: drumstall.example/v1
kind: Service
metadata:
  name: thinkers
spec:
  selector: pool=gpu
  maxConnections: 9
  slots: 4
  capacityMib: 800
  adapterPlaces: 3
  cacheTokens: 5000
  loadsPerSecond: 0.5
`

const serviceJSON = `{"services": {"thinkers": {"selector": "pool=gpu", "maxConnections": 9, "slots": 4, "capacityMib": 800,
	"adapterPlaces": 3, "cacheTokens": 5000, "loadsPerSecond": 0.5}}}`

func TestServicesAreReadFromJSONAndYAML(t *testing.T) {
	for contentType, text := range map[string]string{"application/json": serviceJSON, "application/yaml": serviceObject} {
		k, err := ReadWhole(contentType, []byte(text))
		if err != nil {
			t.Errorf("%s: %v", contentType, err)
			continue
		}
		e, _ := Compile(k)
		s := e.Services["thinkers"]
		if s.Selector.String() != "pool=gpu" {
			t.Errorf("%s: selector %s", contentType, s.Selector)
		}
		s.Selector = nil
		if want := (Service{MaxConnections: 9, MaxInFlight: 4, CapacityMib: 800, MaxAdapters: 3, CacheTokens: 5000, LoadsPerSecond: 0.5}); s != want {
			t.Errorf("%s: got %+v", contentType, s)
		}
		if got := e.LoadsPerSecond(); got != 0.5 {
			t.Errorf("%s: the store bears %v", contentType, got)
		}
	}
}

func TestLoadsPerSecondIsSlowestStore(t *testing.T) {
	e := compileJSON(t, `{"services": {"a": {"loadsPerSecond": 3}, "b": {"loadsPerSecond": 0.25}, "c": {}}}`)
	if got := e.LoadsPerSecond(); got != 0.25 {
		t.Errorf("got %v", got)
	}
	if got := compileJSON(t, matchingConfig).LoadsPerSecond(); got != 0 {
		t.Errorf("got %v where no service names a rate", got)
	}
}

func TestServiceOfAReplica(t *testing.T) {
	e := compileJSON(t, matchingConfig)
	if s, found := e.ServiceOf(map[string]string{"service": "web"}); !found || s.MaxConnections != 8 {
		t.Errorf("by its name: %+v, %v", s, found)
	}
	if s, found := e.ServiceOf(map[string]string{"pool": "gpu"}); !found || s.MaxInFlight != 4 {
		t.Errorf("by its selector: %+v, %v", s, found)
	}
	if _, found := e.ServiceOf(map[string]string{"pool": "cpu"}); found {
		t.Error("a replica of no service has one")
	}
}
