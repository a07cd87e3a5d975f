package conf

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/labels"
)

// Type of a setting.
type Type string

// The types a setting may have.
const (
	Int        Type = "whole number"
	Number     Type = "number"
	Bool       Type = "true or false"
	Text       Type = "text"
	TextList   Type = "list of texts"
	NumberList Type = "list of numbers"
)

// Setting is one row of the table: a field of a kind of object.
type Setting struct {
	Kind    string
	Name    string
	Type    Type
	Default any    // nil: must be given
	Check   check  // nil: any value of the type
	Rule    string // the check in words
	Doc     string
}

type check func(v any) bool

func inRange(lo, hi float64) check {
	return func(v any) bool {
		switch n := v.(type) {
		case int:
			return float64(n) >= lo && float64(n) <= hi
		case float64:
			return n >= lo && n <= hi
		}
		return false
	}
}

func oneOf(words ...string) check {
	return func(v any) bool {
		for _, w := range words {
			if v == w {
				return true
			}
		}
		return false
	}
}

func validSelector(v any) bool {
	_, err := labels.Parse(v.(string))
	return err == nil
}

func nonEmpty(v any) bool { return v.(string) != "" }

func validDayWeights(v any) bool {
	w := v.([]float64)
	sum := 0.0
	for _, x := range w {
		if x < 0 {
			return false
		}
		sum += x
	}
	return len(w) == 7 && math.Abs(sum-1) < 1e-9
}

// Table is every setting an operator's configuration may hold.
var Table = []Setting{
	{"models", "sizeMib", Int, nil, inRange(1, 1<<24), "1 to 16777216", "memory a replica needs for the model"},
	{"models", "adapters", TextList, []string{}, nil, "", "adapters that go with the model"},
	{"models", "loadMs", Int, 5000, inRange(1, 3_600_000), "1 to 3600000", "expected time to load, until observed"},
	{"models", "serveMs", Int, 500, inRange(1, 3_600_000), "1 to 3600000", "expected time to serve, until observed"},
	{"models", "adapterMib", Int, 0, inRange(0, 1<<20), "0 to 1048576", "memory that one adapter takes"},
	{"models", "service", Text, "", nil, "", "service whose replicas may hold it; empty is any"},
	{"groups", "selector", Text, nil, validSelector, "a label selector", "replicas of the placement group"},
	{"claims", "group", Text, nil, nonEmpty, "the name of a group", "placement group that must be ready"},
	{"claims", "models", TextList, []string{}, nil, "", "models the group may hold"},
	{"claims", "adapters", TextList, []string{}, nil, "", "adapters, as MODEL/ADAPTER"},
	{"claims", "minCopies", Int, 0, inRange(0, 1000), "0 to 1000", "copies of each that are always kept loaded"},
	{"drains", "selector", Text, nil, validSelector, "a label selector", "replicas to be left alone: no new requests, no loads; the label zone is there of itself"},
	{"tenants", "share", Int, 1, inRange(1, 1000), "1 to 1000", "weight among the tenants that want cache or places"},
	{"tenants", "sharing", Bool, true, nil, "", "whether cache and places are divided with it at all; a tenant may have keys alone"},
	{"tenants", "keys", TextList, []string{}, nil, "", "keys that its callers bear; no two tenants may have one in common"},
	{"tenants", "class", Text, "", nil, "", "class of the requests that bear one of its keys; empty is their route's"},
	{"classes", "urgent", Bool, false, nil, "", "goes before every other class and has places of its own"},
	{"classes", "rank", Int, 0, inRange(0, 9), "0 to 9", "of two classes the lower rank goes first, whatever their weights"},
	{"classes", "weight", Int, 1, inRange(1, 1000), "1 to 1000", "share among the classes that are not urgent"},
	{"classes", "holding", Int, 256, inRange(1, 100_000), "1 to 100000", "requests that may wait at one proxy"},
	{"classes", "tenant", Text, "", nil, "", "tenant whose share its requests use; empty is the tenant default, with share 1 unless it is given"},
	{"routes", "kind", Text, nil, oneOf("model", "service"), "model or service", "what the route leads to"},
	{"routes", "selector", Text, "", validSelector, "a label selector", "back ends of a service route"},
	{"routes", "class", Text, nil, nonEmpty, "the name of a class", "class of the requests"},
	{"routes", "deadlineMs", Int, 30_000, inRange(10, 3_600_000), "10 to 3600000", "longest a request may wait for its first byte"},
	{"routes", "repeatable", Bool, false, nil, "", "whether a request may run twice"},
	{"routes", "maxBodyBytes", Int, 1 << 20, inRange(1, 16<<20), "1 to 16777216", "largest body taken"},
	{"routes", "public", Bool, false, nil, "", "requests need no key where limits.requireKeys is set"},
	{"routes", "host", Text, "", nil, "", "with pathPrefix: host whose requests take this route"},
	{"routes", "pathPrefix", Text, "", nil, "", "requests whose path begins so take this route; the longest wins"},
	{"routes", "split", TextList, []string{}, nil, "", "services that share the requests, as SERVICE=WEIGHT, in place of a selector"},
	{"routes", "streaming", Bool, false, nil, "", "answers are series of events"},
	{"routes", "resumable", Bool, false, nil, "", "another replica may go on with an answer after its last event"},
	{"routes", "attempts", Int, 3, inRange(1, 16), "1 to 16", "most replicas that one request is sent to"},
	{"routes", "targetMs", Int, 0, inRange(0, 3_600_000), "0 to 3600000", "by when an answer should have begun; 0 is no aim"},
	{"routes", "gapTargetMs", Int, 0, inRange(0, 3_600_000), "0 to 3600000", "longest pause between events that should occur; 0 is no aim"},
	{"services", "selector", Text, "", validSelector, "a label selector", "its replicas; empty is those labelled service=NAME"},
	{"services", "maxConnections", Int, 0, inRange(0, 1<<20), "0 to 1048576", "connections one replica takes from all callers together; 0 is unknown"},
	{"services", "slots", Int, 0, inRange(0, 1<<16), "0 to 65536", "requests one replica runs side by side; 0 leaves it to its report"},
	{"services", "capacityMib", Int, 0, inRange(0, 1<<30), "0 to 1073741824", "memory of one replica for models; 0 leaves it to its report"},
	{"services", "adapterPlaces", Int, 0, inRange(0, 1<<16), "0 to 65536", "adapters one replica may hold; 0 leaves it to its report"},
	{"services", "cacheTokens", Int, 0, inRange(0, 1<<30), "0 to 1073741824", "tokens one replica keeps; 0 is unknown"},
	{"services", "cacheByShare", Bool, false, nil, "", "its replicas divide their cache between tenants themselves"},
	{"services", "loadsPerSecond", Number, 0.0, inRange(0, 100_000), "0 to 100000", "load starts a second that the weight store bears; 0 is limits.paceLoads"},
	{"weights", "weight", Number, nil, inRange(0, 1000), "0 to 1000", "weight of the judge of that name"},
	{"limits", "paceLoads", Int, 2, inRange(1, 1000), "1 to 1000", "loads the weight store bears in any 5 s"},
	{"limits", "retryAllowance", Int, 10, inRange(0, 1000), "0 to 1000", "retries to a service on top of a fifth of its traffic in any 10 s"},
	{"limits", "shots", Int, 256, inRange(8, 100_000), "8 to 100000", "requests one proxy runs side by side"},
	{"limits", "requireKeys", Bool, false, nil, "", "requests must bear a key of a tenant, but for those on public routes"},
	{"limits", "csf", Number, 1.0, inRange(0.001, 1000), "0.001 to 1000", "cache stability factor of the paper"},
	{"limits", "passMinutes", Int, 3, inRange(0, 1440), "0 to 1440", "how often an item that nobody holds is loaded without the csf test; 0 is always"},
	{"limits", "passSlack", Int, 75, inRange(0, 100), "0 to 100", "an item that nobody holds is also loaded without the csf test while the store starts less than this percentage of its pace; 0 is never"},
	{"limits", "dayWeights", NumberList, []float64{0.25, 0.1, 0.1, 0.1, 0.1, 0.1, 0.25}, validDayWeights, "seven shares that sum to 1, yesterday first", "weights of the past seven days"},
	{"limits", "unitMs", Int, 60_000, inRange(10, 60_000), "10 to 60000", "what demand is counted by: the minute of warmupMinutes and horizonMinutes"},
	{"limits", "epochUnits", Int, 1440, inRange(2, 1440), "2 to 1440", "units in an epoch: the day of dayWeights"},
	{"limits", "warmupMinutes", Int, 30, inRange(1, 720), "1 to 720", "start of an epoch without accuracy scaling"},
	{"limits", "horizonMinutes", Int, 60, inRange(1, 1440), "1 to 1440", "how far demand is summed"},
}

// Judges names the weights that exist and their starting values.
var DefaultWeights = map[string]float64{
	"warmth": 8, "wait": 0, "load": 3, "zone": 1, "serve": 2, "drain": 1, "share": 16, "demand": 4, "recency": 1, "copies": 1, "adapters": 1, "room": 2,
}

// limitsName is the one object of kind limits.
const limitsName = "default"

func kinds() []string {
	var out []string
	for _, s := range Table {
		if len(out) == 0 || out[len(out)-1] != s.Kind {
			out = append(out, s.Kind)
		}
	}
	return out
}

// fields reads one object by the table, and tells every fault in it.
func parseFields(kind, name string, raw json.RawMessage) (map[string]any, []string) {
	at := kind + "/" + name
	var given map[string]json.RawMessage
	if err := json.Unmarshal(raw, &given); err != nil || given == nil {
		return nil, []string{fmt.Sprintf("%s: want an object, got %s", at, truncate(raw))}
	}
	var faults []string
	out := map[string]any{}
	for _, s := range Table {
		if s.Kind != kind {
			continue
		}
		v, found := given[s.Name]
		delete(given, s.Name)
		if !found {
			if s.Default == nil {
				faults = append(faults, fmt.Sprintf("%s.%s: must be given (%s)", at, s.Name, s.Type))
				continue
			}
			out[s.Name] = s.Default
			continue
		}
		val, ok := parseTyped(s.Type, v)
		if !ok {
			faults = append(faults, fmt.Sprintf("%s.%s: want a %s, got %s", at, s.Name, s.Type, truncate(v)))
			continue
		}
		if s.Check != nil && !s.Check(val) {
			faults = append(faults, fmt.Sprintf("%s.%s: want %s, got %s", at, s.Name, s.Rule, truncate(v)))
			continue
		}
		out[s.Name] = val
	}
	for _, k := range sorted(given) {
		faults = append(faults, fmt.Sprintf("%s.%s: no such setting", at, k))
	}
	return out, faults
}

func parseTyped(t Type, raw json.RawMessage) (any, bool) {
	if string(raw) == "null" {
		return nil, false
	}
	switch t {
	case Int:
		var v int
		return unmarshalInto(raw, &v)
	case Number:
		var v float64
		return unmarshalInto(raw, &v)
	case Bool:
		var v bool
		return unmarshalInto(raw, &v)
	case Text:
		var v string
		return unmarshalInto(raw, &v)
	case TextList:
		var v []string
		return unmarshalInto(raw, &v)
	default:
		var v []float64
		return unmarshalInto(raw, &v)
	}
}

func unmarshalInto[T any](raw json.RawMessage, v *T) (any, bool) {
	err := json.Unmarshal(raw, v)
	return *v, err == nil
}

func truncate(b []byte) string {
	if len(b) > 80 {
		return string(b[:80]) + "..."
	}
	return string(b)
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Help is the table in words.
func Help() string {
	var b strings.Builder
	for _, s := range Table {
		def := "must be given"
		if s.Default != nil {
			j, _ := json.Marshal(s.Default)
			def = "default " + string(j)
		}
		fmt.Fprintf(&b, "%-8s %-15s %-14s %-40s %s", s.Kind, s.Name, s.Type, def, s.Doc)
		if s.Rule != "" {
			fmt.Fprintf(&b, " (%s)", s.Rule)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
