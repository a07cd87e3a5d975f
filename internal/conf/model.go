package conf

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"
)

// Model is a model of the catalogue.
type Model struct {
	SizeMib           int // memory a replica needs for it
	Adapters          map[string]bool
	ExpectedLoadTime  time.Duration // used until observed
	ExpectedServeTime time.Duration // used until observed
	// AdapterMib is the memory that one adapter takes; adapters also count against the replica's adapter limit.
	AdapterMib int
	Service    string // service whose replicas may hold it; "" means any
}

// Claim lists the models and adapters that a placement group may hold, with MinCopies of each
// always kept loaded.
type Claim struct {
	Group     string
	Models    []string
	Adapters  []string // MODEL/ADAPTER
	MinCopies int
}

// Class is a class of requests.
type Class struct {
	Urgent bool
	Rank   int    // among classes of the same urgency the lower rank goes first, whatever the weights
	Weight int    // share among the classes that are not urgent
	Queue  int    // requests that may wait at one proxy
	Tenant string // owner of the class; "" means DefaultTenant
}

// Route maps requests to backends.
type Route struct {
	Name       string
	Kind       string
	Selector   labels.Selector
	Class      string
	Deadline   time.Duration // longest a request may wait for its first byte
	Repeatable bool          // a request may be executed twice
	MaxBody    int64         // bytes
	Public     bool          // requests need no key
	Host       string        // with Prefix: requests are matched by host and path
	Prefix     string
	Split      []Share       // services by weight, instead of a selector
	Service    string        // the service picked by Resolve
	Streaming  bool          // answers are event streams
	Resumable  bool          // another replica may continue an answer after an event
	Attempts   int           // maximum number of replicas that one request is sent to
	Target     time.Duration // target time to the start of an answer or its first event; 0 means none
	GapTarget  time.Duration // target for the longest pause between events; 0 means none
}

// Limits are the limits of the whole fleet.
type Limits struct {
	PaceLoads      int       // loads that the weight store supports in any 5 s
	RetryAllowance int       // retries to a service on top of a fifth of its traffic in any 10 s
	MaxInFlight    int       // maximum number of concurrent requests of one proxy
	Csf            float64   // cache stability factor of the paper
	DayWeights     []float64 // of the past seven days, yesterday first
	// Unit is the interval by which demand is counted; EpochUnits is the number of units in the paper's day.
	Unit           time.Duration
	EpochUnits     int
	WarmupMinutes  int
	HorizonMinutes int
	// CsfBypassInterval is how often an item that no replica holds is loaded without the csf test (0: always); it is also
	// loaded without the test while the weight store starts loads at less than CsfBypassPaceShare of its pace.
	CsfBypassInterval  time.Duration
	CsfBypassPaceShare float64 // share of the weight store's pace; 0 means never
	RequireKeys        bool    // requests on routes that are not public need a tenant's key
}

// Effective is a compiled configuration; it is immutable.
type Effective struct {
	Models  map[string]Model
	Groups  map[string]labels.Selector
	Claims  map[string]Claim
	Drains  map[string]labels.Selector
	Classes map[string]Class
	Tenants map[string]Tenant // if none has a share, nothing is divided between tenants
	Routes  map[string]Route
	// Services are named sets of replicas between which routes are split.
	Services map[string]Service
	Weights  map[string]float64
	Limits   Limits

	routesByPrefix map[string]map[string]string // host to path prefix to route name
	modelServices  map[string]bool              // services whose replicas hold models
	shares         map[string]int               // share of each tenant
	tenantByKey    map[keyHash]string           // tenant by hash of the key
}

// Empty returns the configuration in force before the first submission.
func Empty() Effective {
	e, _ := Compile(Stored{})
	return e
}

// newEffective returns a configuration without any objects, with the default weights.
func newEffective() Effective {
	e := Effective{Models: map[string]Model{}, Groups: map[string]labels.Selector{}, Claims: map[string]Claim{}, Drains: map[string]labels.Selector{},
		Classes: map[string]Class{}, Tenants: map[string]Tenant{}, Routes: map[string]Route{}, Services: map[string]Service{}, Weights: map[string]float64{}}
	for j, w := range DefaultWeights {
		e.Weights[j] = w
	}
	return e
}
