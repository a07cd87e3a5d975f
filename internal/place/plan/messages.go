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

// PaceKey is where the store's pace is owned.
const PaceKey = "pace/store"

// demandPrefix begins the key of each hour of an item's history; with its model it tells the slot.
const demandPrefix = "demand/"

// DemandKey names an hour of an item's history in a ring of hours.
func DemandKey(item conf.Item, hour int64) string {
	return fmt.Sprintf(demandPrefix+"%s/%d/%s", item.Model, hour%demand.KeptHours, item.Adapter)
}

// ExpectKey names what proxies are told about an item they hold requests for.
func ExpectationKey(item string) string { return "expect/" + item }

// Expect says when a replica should have the item, or that none will.
type Expectation struct {
	Refused     bool   `cbor:"1,keyasint"`
	ReadyMs     int    `cbor:"2,keyasint"`
	RetryAfterS int    `cbor:"3,keyasint"`
	Reason      string `cbor:"4,keyasint"`
	// Trying says that nothing could be loaded yet, and that it is tried again.
	Retrying bool `cbor:"5,keyasint,omitempty"`
}

// Tried is one candidate that was asked, and what it said.
type CandidateAnswer struct {
	Replica string                 `json:"replica"`
	Answer  order.ConsiderResponse `json:"answer"`
}

// Decision is kept so that it can be explained.
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
	NoHolder   bool              `json:"alone"` // nobody holds it
	BypassTest bool              `json:"pass"`  // so it may go in without the test this time
	Candidates []judge.Ranked    `json:"candidates"`
	Answers    []CandidateAnswer `json:"tried"`
	AcceptedBy string            `json:"taken"`
	isClaim    bool              // it is about a claim's copy
	waitedFor  time.Duration     // for how long requests have waited for it
	weights    map[string]float64
	selector   labels.Selector // the replicas that it may be loaded on
}

// Shared is a core's predictions, told to the others.
type SharedPredictions struct {
	From     string             `cbor:"1,keyasint"`
	Requests map[string]float64 `cbor:"2,keyasint"`
	// Keeps says that the sender grants the store's loads, and Use how much of the pace is used.
	GrantsLoads bool    `cbor:"3,keyasint,omitempty"`
	PaceUse     float64 `cbor:"4,keyasint,omitempty"`
}

// Granting asks for a load start.
type GrantRequest struct {
	LoadID  string  `cbor:"1,keyasint"` // the replica and item it is for
	Penalty float64 `cbor:"2,keyasint"` // penalty of the miss
	// Start names the load start: who asks again under a name has not begun it.
	StartID string `cbor:"4,keyasint,omitempty"`
	// Afloat asks for nothing: the load was ordered, and may start at any time or never.
	Outstanding bool `cbor:"3,keyasint,omitempty"`
}

// Granted is the answer.
type GrantResponse struct {
	Granted bool `cbor:"1,keyasint"`
	WaitMs  int  `cbor:"2,keyasint"`
}
