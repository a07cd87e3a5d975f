package conf

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"
)

// Model is one model of the catalogue.
type Model struct {
	SizeMib           int // memory a replica needs for it
	Adapters          map[string]bool
	ExpectedLoadTime  time.Duration // expected, until observed
	ExpectedServeTime time.Duration // expected, until observed
	// AdapterMib is the memory that one adapter takes, besides its place.
	AdapterMib int
	Service    string // whose replicas may hold it; "" is any
}

// Claim says what a group should be ready for.
type Claim struct {
	Group     string
	Models    []string
	Adapters  []string // MODEL/ADAPTER
	MinCopies int
}

// Class is a kind of caller.
type Class struct {
	Urgent bool
	Rank   int    // among classes of the same urgency a lower one goes first, whatever the weights
	Weight int    // share among the classes that are not urgent
	Queue  int    // requests that may wait at one proxy
	Tenant string // its owner; "" is DefaultTenant
}

// Route leads requests to back ends.
type Route struct {
	Name       string
	Kind       string
	Selector   labels.Selector
	Class      string
	Deadline   time.Duration // longest a request may wait for its first byte
	Repeatable bool          // a request may run twice
	MaxBody    int64         // bytes
	Public     bool          // requests need no key
	Host       string        // with Prefix: requests are matched by host and path
	Prefix     string
	Split      []Share       // services by weight, in place of a selector
	Service    string        // the one that Resolve has picked
	Streaming  bool          // answers are series of events
	Resumable  bool          // another replica may go on after an event
	Attempts   int           // most replicas that one request is sent to
	Target     time.Duration // by when an answer, or its first event, should have begun; 0 is none
	GapTarget  time.Duration // longest pause between events that should occur; 0 is none
}

// Limits are the bounds that hold for the whole fleet.
type Limits struct {
	PaceLoads      int       // loads the weight store bears in any 5 s
	RetryAllowance int       // retries to a service on top of a fifth of its traffic in any 10 s
	MaxInFlight    int       // requests one proxy runs side by side
	Csf            float64   // cache stability factor of the paper
	DayWeights     []float64 // of the past seven days, yesterday first
	// Unit is what demand is counted by, and Epoch how many units make the paper's day.
	Unit               time.Duration
	EpochUnits         int
	WarmupMinutes      int
	HorizonMinutes     int
	CsfBypassInterval  time.Duration
	CsfBypassPaceShare float64 // share of the store's pace
	RequireKeys        bool    // requests on routes that are not public must bear a tenant's key
}

// Effective is a configuration ready for use; it is never changed once made.
type Effective struct {
	Models  map[string]Model
	Groups  map[string]labels.Selector
	Claims  map[string]Claim
	Drains  map[string]labels.Selector
	Classes map[string]Class
	Tenants map[string]Tenant // none has a share: nothing is shared between tenants
	Routes  map[string]Route
	// Services are named sets of replicas that routes are split over.
	Services map[string]Service
	Weights  map[string]float64
	Limits   Limits

	routesByPrefix map[string]map[string]string // host: path prefix: route
	modelServices  map[string]bool              // services that hold models
	shares         map[string]int               // of all tenants
	tenantByKey    map[keyHash]string           // tenant of each key
}

// Empty is what is in force before the first configuration.
func Empty() Effective {
	e, _ := Compile(Stored{})
	return e
}

// bare is a configuration without any object.
func newEffective() Effective {
	e := Effective{Models: map[string]Model{}, Groups: map[string]labels.Selector{}, Claims: map[string]Claim{}, Drains: map[string]labels.Selector{},
		Classes: map[string]Class{}, Tenants: map[string]Tenant{}, Routes: map[string]Route{}, Services: map[string]Service{}, Weights: map[string]float64{}}
	for j, w := range DefaultWeights {
		e.Weights[j] = w
	}
	return e
}
