package conf

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"
)

// Service is a set of replicas that serve the same requests.
type Service struct {
	Selector       labels.Selector // selects its replicas
	MaxConnections int             // connections that one replica accepts from all callers together; 0 means unknown
	MaxInFlight    int             // concurrent requests of one replica; 0 means as reported by the replica
	CapacityMib    int             // memory of one replica for models and adapters; 0 means as reported
	MaxAdapters    int             // adapters one replica may hold; 0 means as reported
	CacheTokens    int             // prompt and output tokens that one replica caches
	LoadsPerSecond float64         // load starts that the weight store of its models supports; 0 means limits.paceLoads
	CacheByShare   bool            // its replicas divide their cache between tenants by themselves
}

// Share is the weight of a service in a route's split.
type Share struct {
	Service string
	Weight  int
}

// ServiceLabel is the label of a service's replicas, used unless the service has a selector.
const ServiceLabel = "service"

// ServiceSelector selects the replicas that are labelled with a service's name.
func ServiceSelector(name string) labels.Selector {
	return labels.SelectorFromSet(labels.Set{ServiceLabel: name})
}

// parseSplit parses shares written as SERVICE=WEIGHT.
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

// PickService returns the service of the split for a random draw in [0, 1).
func (r Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := int(draw * float64(total))
	for _, s := range r.Split {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return ""
}

// Resolve narrows a route with a split to the service picked by a draw in [0, 1).
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

// Match returns the route of the host with the longest path prefix.
func (e Effective) Match(host, path string) (Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	prefixes := e.routesByPrefix[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if name, found := prefixes[path[:end+1]]; found {
			return e.Routes[name], true
		}
	}
	return Route{}, false
}

// buildIndexes checks services and path prefixes and builds the indexes for requests.
func (e *Effective) buildIndexes() ValidationErrors {
	keys, errs := e.indexKeys()
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
			errs = append(errs, fmt.Sprintf("models/%s.service: no service %q", name, m.Service))
		}
		e.modelServices[m.Service] = true
	}
	for _, name := range sorted(e.Routes) {
		errs = append(errs, e.indexRoute(name)...)
	}
	return errs
}

func (e *Effective) indexRoute(name string) ValidationErrors {
	var errs ValidationErrors
	r := e.Routes[name]
	path := "routes/" + name
	weights := 0
	for _, s := range r.Split {
		weights += s.Weight
		if s.Weight < 0 {
			errs = append(errs, fmt.Sprintf("%s.split: the weight of %s is below 0", path, s.Service))
		}
		if _, found := e.Services[s.Service]; !found {
			errs = append(errs, fmt.Sprintf("%s.split: no service %q", path, s.Service))
		}
	}
	if len(r.Split) > 0 && weights == 0 {
		errs = append(errs, path+".split: the weights sum to 0")
	}
	if r.Deadline <= 0 {
		errs = append(errs, path+".deadlineMs: must be above 0")
	}
	if r.Prefix == "" {
		return errs
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		errs = append(errs, fmt.Sprintf("%s.pathPrefix: %q does not begin and end with a slash", path, r.Prefix))
	}
	host := strings.ToLower(r.Host)
	if e.routesByPrefix[host] == nil {
		e.routesByPrefix[host] = map[string]string{}
	}
	if other, taken := e.routesByPrefix[host][r.Prefix]; taken {
		errs = append(errs, fmt.Sprintf("%s: host and pathPrefix are those of routes/%s", path, other))
	}
	e.routesByPrefix[host][r.Prefix] = name
	return errs
}

// LoadsPerSecond returns the rate of the slowest weight store, or 0 if no service sets one.
func (e Effective) LoadsPerSecond() float64 {
	rate := 0.0
	for _, s := range e.Services {
		if s.LoadsPerSecond > 0 && (rate == 0 || s.LoadsPerSecond < rate) {
			rate = s.LoadsPerSecond
		}
	}
	return rate
}

// ServiceOf returns the service of a replica with these labels: the one named by its service label, or
// else one that holds models and selects it.
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

// EffectiveDeadline returns the shorter of the route's deadline and the caller's own, if it has one.
func (r Route) EffectiveDeadline(own time.Duration) time.Duration {
	if own > 0 && own < r.Deadline {
		return own
	}
	return r.Deadline
}
