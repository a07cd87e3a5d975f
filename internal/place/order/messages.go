package order

import (
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/place/judge"
)

// Status is what the data plane and the planners learn of a replica.
type Status struct {
	Listed        inventory.Listed  `cbor:"1,keyasint" json:"listed"`
	Controller    string            `cbor:"2,keyasint" json:"controller"`
	Items         map[string]string `cbor:"3,keyasint" json:"items"` // item: loaded, loading, withdrawn ...
	CapacityMib   int               `cbor:"4,keyasint" json:"capacityMib"`
	FreeMib       int               `cbor:"5,keyasint" json:"freeMib"`
	AdapterPlaces int               `cbor:"6,keyasint" json:"adapterPlaces"`
	AdapterFree   int               `cbor:"7,keyasint" json:"adapterFree"`
	Slots         int               `cbor:"8,keyasint" json:"slots"`
	ServeMs       int               `cbor:"9,keyasint" json:"serveMs"`
	Stale         bool              `cbor:"10,keyasint" json:"dark"`
	ReadyMs       map[string]int    `cbor:"11,keyasint" json:"readyMs"` // item on its way: expected from now until it is there
}

// Consider asks a replica's controller whether a load is worth it there.
type ConsiderRequest struct {
	Replica  string  `cbor:"1,keyasint"`
	Item     string  `cbor:"2,keyasint"`
	Penalty  float64 `cbor:"3,keyasint"`
	SkipTest bool    `cbor:"4,keyasint"`           // no replica holds it, and it may go in without the test
	Claim    bool    `cbor:"5,keyasint"`           // a claim wants it: no test, but only idle victims
	DryRun   bool    `cbor:"6,keyasint"`           // only say what would go; take nothing on
	CostMs   int     `cbor:"7,keyasint,omitempty"` // of one request, from which the penalty is made
}

// ConsiderAll asks the controller of several replicas about one load, dry for each.
type ConsiderBatchRequest struct {
	Request  ConsiderRequest `cbor:"1,keyasint"` // its replica is left out
	Replicas []string        `cbor:"2,keyasint"`
}

// ConsideredAll is the answers, in the order of the replicas.
type ConsiderBatchResponse struct {
	Answers []ConsiderResponse `cbor:"1,keyasint"`
}

// Unheard is the answer of a replica's controller that gave none.
func NoAnswer(err error) ConsiderResponse {
	return ConsiderResponse{Why: err.Error(), Unanswered: true}
}

// Considered is the answer.
type ConsiderResponse struct {
	Accepted      bool           `cbor:"1,keyasint" json:"taken"`
	Why           string         `cbor:"2,keyasint" json:"why"`
	ReadyMs       int            `cbor:"3,keyasint" json:"readyMs"`
	VictimPenalty float64        `cbor:"4,keyasint" json:"sum"`
	NeedMib       int            `cbor:"5,keyasint" json:"need"`
	Victims       []string       `cbor:"6,keyasint" json:"victims"`
	Idle          []judge.Ranked `cbor:"7,keyasint" json:"idle"`              // made of IdleModels and IdleAdapters where a decision is explained
	Unanswered    bool           `cbor:"8,keyasint" json:"silent"`            // set by who asked: there was no answer
	Temporary     bool           `cbor:"9,keyasint,omitempty" json:"soon"`    // what stands in the way will pass by itself
	Starts        int            `cbor:"10,keyasint,omitempty" json:"starts"` // loads it takes, a model's and an adapter's
	// IdleModels and IdleAdapters are what might have gone.
	IdleModels   []judge.IdleItem `cbor:"11,keyasint,omitempty" json:"-"`
	IdleAdapters []judge.IdleItem `cbor:"12,keyasint,omitempty" json:"-"`
}

// Leave is what a controller asks the store's keeper for: that a load may start.
type GrantRequest struct {
	Who     string  // the replica and item it is for
	StartID string  // names this start of it, and no other
	Penalty float64 // penalty of the miss
}
