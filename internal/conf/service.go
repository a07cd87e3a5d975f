package conf

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"
)

// Service is a set of replicas that answer the same requests.
type Service struct {
	Selector       labels.Selector // its replicas
	MaxConnections int             // that one replica takes from all callers together; 0 is unknown
	MaxInFlight    int             // requests one replica runs side by side; 0 leaves it to the replica's report
	CapacityMib    int             // memory of one replica for models and adapters; 0 leaves it to the report
	MaxAdapters    int             // adapters one replica may hold; 0 leaves it to the report
	CacheTokens    int             // prompt and output tokens one replica keeps
	LoadsPerSecond float64         // starts that the weight store of its models bears; 0 is limits.paceLoads
	CacheByShare   bool            // its replicas divide their cache between tenants themselves
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// ServiceLabel is the label that a service's replicas carry unless it has a selector.
const ServiceLabel = "service"

// OfService selects the replicas that are labelled with a service's name.
func ServiceSelector(name string) labels.Selector {
	return labels.SelectorFromSet(labels.Set{ServiceLabel: name})
}

// parseSplit reads shares written as SERVICE=WEIGHT.
func parseSplit(texts []string) ([]Share, error) {
	var out []Share
	for _, text := range texts {
		name, weight, found := strings.Cut(text, "=")
		n, err := strconv.Atoi(weight)
		if !found || err != nil || n < 0 || !ValidName(name) {
			return nil, fmt.Errorf("%q is not SERVICE=WEIGHT", text)
		}
		out = append(out, Share{Service: name, Weight: n})
	}
	return out, nil
}

// Pick is the service a request goes to, for a draw from 0 up to 1.
func (r Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := int(draw * float64(total))
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// Resolve narrows a route down to the service a draw leads to.
func (e Effective) Resolve(r Route, draw float64) Route {
	if len(r.Split) == 0 {
		return r
	}
	name := r.PickService(draw)
	r.Service = name
	r.Selector = e.Services[name].Selector
	r.Kind = "service"
	if e.modelServices[name] {
		r.Kind = "model"
	}
	return r
}

// Match is the route of a host with the longest prefix that begins the path.
func (e Effective) Match(host, path string) (Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	prefixes := e.routesByPrefix[strings.ToLower(host)]
	for at := strings.LastIndexByte(path, '/'); at >= 0; at = strings.LastIndexByte(path[:at], '/') {
		if name, found := prefixes[path[:at+1]]; found {
			return e.Routes[name], true
		}
	}
	return Route{}, false
}

// complete checks services and prefixes and builds what requests are looked up by.
func (e *Effective) buildIndexes() ValidationErrors {
	keys, faults := e.indexKeys()
	e.tenantByKey = keys
	e.routesByPrefix = map[string]map[string]string{}
	e.modelServices = map[string]bool{}
	e.shares = e.computeShares()
	for _, name := range sorted(e.Models) {
		m := e.Models[name]
		if m.Service == "" {
			continue
		}
		if _, found := e.Services[m.Service]; !found {
			faults = append(faults, fmt.Sprintf("models/%s.service: no service %q", name, m.Service))
		}
		e.modelServices[m.Service] = true
	}
	for _, name := range sorted(e.Routes) {
		faults = append(faults, e.indexRoute(name)...)
	}
	return faults
}

func (e *Effective) indexRoute(name string) ValidationErrors {
	var faults ValidationErrors
	r := e.Routes[name]
	at := "routes/" + name
	weights := 0
	for _, s := range r.Split {
		weights += s.Weight
		if s.Weight < 0 {
			faults = append(faults, fmt.Sprintf("%s.split: the weight of %s is below 0", at, s.Service))
		}
		if _, found := e.Services[s.Service]; !found {
			faults = append(faults, fmt.Sprintf("%s.split: no service %q", at, s.Service))
		}
	}
	if len(r.Split) > 0 && weights == 0 {
		faults = append(faults, at+".split: the weights sum to 0")
	}
	if r.Deadline <= 0 {
		faults = append(faults, at+".deadlineMs: must be above 0")
	}
	if r.Prefix == "" {
		return faults
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		faults = append(faults, fmt.Sprintf("%s.pathPrefix: %q does not begin and end with a slash", at, r.Prefix))
	}
	host := strings.ToLower(r.Host)
	if e.routesByPrefix[host] == nil {
		e.routesByPrefix[host] = map[string]string{}
	}
	if other, taken := e.routesByPrefix[host][r.Prefix]; taken {
		faults = append(faults, fmt.Sprintf("%s: host and pathPrefix are those of routes/%s", at, other))
	}
	e.routesByPrefix[host][r.Prefix] = name
	return faults
}

// LoadsPerSecond is the rate of the slowest weight store, or 0 where none is named.
func (e Effective) LoadsPerSecond() float64 {
	rate := 0.0
	for _, s := range e.Services {
		if s.LoadsPerSecond > 0 && (rate == 0 || s.LoadsPerSecond < rate) {
			rate = s.LoadsPerSecond
		}
	}
	return rate
}

// ServiceOf is the service whose replicas carry these labels and hold models.
func (e Effective) ServiceOf(labelled map[string]string) (Service, bool) {
	if s, found := e.Services[labelled[ServiceLabel]]; found {
		return s, true
	}
	for _, name := range sorted(e.Services) {
		if s := e.Services[name]; e.modelServices[name] && s.Selector.Matches(labels.Set(labelled)) {
			return s, true
		}
	}
	return Service{}, false
}

// Within says whether a deadline of the caller's own shortens the route's.
func (r Route) EffectiveDeadline(own time.Duration) time.Duration {
	if own > 0 && own < r.Deadline {
		return own
	}
	return r.Deadline
}
