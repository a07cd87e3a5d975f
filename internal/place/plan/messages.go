package plan

import (
	"fmt"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/demand"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/order"
)

// PaceKey is the control-state key whose slot determines which core limits the load rate of the weight store.
const PaceKey = "pace/store"

// demandPrefix is the key prefix of each hour of an item's history; prefix and model determine the slot.
const demandPrefix = "demand/"

// DemandKey returns the key of an hour of an item's history, in a ring of demand.KeptHours hours.
func DemandKey(item conf.Item, hour int64) string {
	return fmt.Sprintf(demandPrefix+"%s/%d/%s", item.Model, hour%demand.KeptHours, item.Adapter)
}

// ExpectationKey returns the gossip key of the Expectation for an item that proxies hold requests for.
func ExpectationKey(item string) string { return "expect/" + item }

// Expectation states when a replica is expected to hold an item, or that none will load it.
type Expectation struct {
	Refused     bool   `cbor:"1,keyasint"`
	ReadyMs     int    `cbor:"2,keyasint"`
	RetryAfterS int    `cbor:"3,keyasint"`
	Reason      string `cbor:"4,keyasint"`
	// Retrying is set if nothing could be loaded yet and the load will be retried.
	Retrying bool `cbor:"5,keyasint,omitempty"`
}

// CandidateAnswer is the answer of one candidate that was asked.
type CandidateAnswer struct {
	Replica string                 `json:"replica"`
	Answer  order.ConsiderResponse `json:"answer"`
}

// Decision records how a load was decided, so that it can be explained later.
type Decision struct {
	At         time.Time         `json:"at"`
	Core       string            `json:"core"`
	Item       string            `json:"item"`
	Cause      string            `json:"cause"`
	Requests   float64           `json:"requests"`
	Accuracy   float64           `json:"accuracy"`
	CheapestMs int64             `json:"cheapestMs"`
	Penalty    float64           `json:"penalty"`
	Csf        float64           `json:"csf"`
	NoHolder   bool              `json:"alone"` // no replica holds the item
	BypassTest bool              `json:"pass"`  // the item may be loaded without the eviction test this time; requires NoHolder
	Candidates []judge.Ranked    `json:"candidates"`
	Answers    []CandidateAnswer `json:"tried"`
	AcceptedBy string            `json:"taken"`
	isClaim    bool              // the decision is about a claim's copy
	waitedFor  time.Duration     // how long requests have waited for the item
	weights    map[string]float64
	selector   labels.Selector // replicas that the item may be loaded on
}

// SharedPredictions holds the predictions that one core sends to the others.
type SharedPredictions struct {
	From     string             `cbor:"1,keyasint"`
	Requests map[string]float64 `cbor:"2,keyasint"`
	// GrantsLoads is set if the sender grants load starts on the weight store; PaceUse is then the used share of its load rate.
	GrantsLoads bool    `cbor:"3,keyasint,omitempty"`
	PaceUse     float64 `cbor:"4,keyasint,omitempty"`
}

// GrantRequest asks for permission to start a load.
type GrantRequest struct {
	LoadID  string  `cbor:"1,keyasint"` // replica and item of the load
	Penalty float64 `cbor:"2,keyasint"` // penalty of the miss
	// StartID identifies the load start: a repeated request with the same ID means that it has not begun.
	StartID string `cbor:"4,keyasint,omitempty"`
	// Outstanding marks a notice that requests no grant: the load was ordered and may start at any time or never.
	Outstanding bool `cbor:"3,keyasint,omitempty"`
}

// GrantResponse answers a GrantRequest. WaitMs is the estimated wait if the load may not start yet.
type GrantResponse struct {
	Granted bool `cbor:"1,keyasint"`
	WaitMs  int  `cbor:"2,keyasint"`
}
