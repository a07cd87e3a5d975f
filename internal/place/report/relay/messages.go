package relay

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"drumstall.example/internal/kernel/share"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/report"
)

// Path is the path at which a core accepts batches from other cores.
const Path = "/place/reports"

// Batch holds reports of agents, each in full or as a delta from the report that the receiver has.
type Batch struct {
	Reports []cbor.RawMessage `cbor:"1,keyasint"`
}

// Response is a core's response to a batch.
type Response struct {
	// Rejected lists the indexes in the batch of the reports that cannot be decoded or whose base the core lacks.
	Rejected []int `cbor:"1,keyasint,omitempty"`
}

// Apply stores the reports of a batch with put and returns the response to the sender.
func Apply(ctx context.Context, b Batch, put func(context.Context, []report.Report) ([]report.Outcome, error)) (Response, error) {
	var response Response
	reports, indexes := make([]report.Report, 0, len(b.Reports)), make([]int, 0, len(b.Reports))
	for i, packed := range b.Reports {
		var r report.Report
		if wire.Unmarshal(packed, &r) != nil {
			response.Rejected = append(response.Rejected, i)
			continue
		}
		reports, indexes = append(reports, r), append(indexes, i)
	}
	outcomes, err := put(ctx, reports)
	if err != nil {
		return Response{}, err
	}
	for k, outcome := range outcomes {
		if outcome == report.MissingBase {
			response.Rejected = append(response.Rejected, indexes[k])
		}
	}
	return response, nil
}

// CoreKey returns the key that identifies a core in responses to agents. Agents and cores of different versions
// compare these keys, so the function must never change.
func CoreKey(core string) uint32 { return uint32(share.Score([]byte("relay"), core)) }
