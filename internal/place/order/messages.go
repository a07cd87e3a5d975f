package order

import (
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/place/judge"
)

// Status describes a replica to the data plane and the planners.
type Status struct {
	Listed        inventory.Listed  `cbor:"1,keyasint" json:"listed"`
	Controller    string            `cbor:"2,keyasint" json:"controller"`
	Items         map[string]string `cbor:"3,keyasint" json:"items"` // state by item: loaded, loading, withdrawn ...
	CapacityMib   int               `cbor:"4,keyasint" json:"capacityMib"`
	FreeMib       int               `cbor:"5,keyasint" json:"freeMib"`
	AdapterPlaces int               `cbor:"6,keyasint" json:"adapterPlaces"`
	AdapterFree   int               `cbor:"7,keyasint" json:"adapterFree"`
	Slots         int               `cbor:"8,keyasint" json:"slots"`
	ServeMs       int               `cbor:"9,keyasint" json:"serveMs"`
	Stale         bool              `cbor:"10,keyasint" json:"dark"`    // there is no fresh report from the replica
	ReadyMs       map[string]int    `cbor:"11,keyasint" json:"readyMs"` // time until a pending item is expected to be loaded, by item
}

// ConsiderRequest asks a replica's controller to load an item there if the penalty test allows it.
type ConsiderRequest struct {
	Replica  string  `cbor:"1,keyasint"`
	Item     string  `cbor:"2,keyasint"`
	Penalty  float64 `cbor:"3,keyasint"`
	SkipTest bool    `cbor:"4,keyasint"`           // no replica holds the item, and it may be loaded without the penalty test
	Claim    bool    `cbor:"5,keyasint"`           // a placement claim requires the item: no penalty test, but only idle victims
	DryRun   bool    `cbor:"6,keyasint"`           // only return the victims; do not accept the load
	CostMs   int     `cbor:"7,keyasint,omitempty"` // cost of one request, from which the penalty is computed
}

// ConsiderBatchRequest asks the controllers on one core about a load at several replicas, as a dry run for each.
type ConsiderBatchRequest struct {
	Request  ConsiderRequest `cbor:"1,keyasint"` // without a replica
	Replicas []string        `cbor:"2,keyasint"`
}

// ConsiderBatchResponse holds the answers, in the order of the replicas.
type ConsiderBatchResponse struct {
	Answers []ConsiderResponse `cbor:"1,keyasint"`
}

// NoAnswer returns the response that stands for a controller that did not answer.
func NoAnswer(err error) ConsiderResponse {
	return ConsiderResponse{Why: err.Error(), Unanswered: true}
}

// ConsiderResponse is a controller's answer to a ConsiderRequest.
type ConsiderResponse struct {
	Accepted      bool           `cbor:"1,keyasint" json:"taken"`
	Why           string         `cbor:"2,keyasint" json:"why"`
	ReadyMs       int            `cbor:"3,keyasint" json:"readyMs"`
	VictimPenalty float64        `cbor:"4,keyasint" json:"sum"`
	NeedMib       int            `cbor:"5,keyasint" json:"need"`
	Victims       []string       `cbor:"6,keyasint" json:"victims"`
	Idle          []judge.Ranked `cbor:"7,keyasint" json:"idle"`              // computed from IdleModels and IdleAdapters when a decision is explained
	Unanswered    bool           `cbor:"8,keyasint" json:"silent"`            // set by the caller: there was no answer
	Temporary     bool           `cbor:"9,keyasint,omitempty" json:"soon"`    // the reason for the refusal will pass by itself
	Starts        int            `cbor:"10,keyasint,omitempty" json:"starts"` // number of loads required: the model's and the adapter's
	// IdleModels and IdleAdapters are the items that were eligible as victims.
	IdleModels   []judge.IdleItem `cbor:"11,keyasint,omitempty" json:"-"`
	IdleAdapters []judge.IdleItem `cbor:"12,keyasint,omitempty" json:"-"`
}

// GrantRequest asks the rate limiter of the weight store for permission to start a load.
type GrantRequest struct {
	LoadID  string  // the replica and the item
	StartID string  // identifies this start of the load
	Penalty float64 // penalty of the miss
}
