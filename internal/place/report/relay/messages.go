package relay

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"drumstall.example/internal/kernel/share"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/report"
)

// Path is where a core takes batches from other cores.
const Path = "/place/reports"

// Batch is reports of agents, whole or as differences from what the receiver has.
type Batch struct {
	Reports []cbor.RawMessage `cbor:"1,keyasint"`
}

// Taken is a core's answer to a batch.
type Response struct {
	// NotTaken are the reports, as indexes of the batch, that the core cannot lay on what it has of their agents.
	Rejected []int `cbor:"1,keyasint,omitempty"`
}

// Take lays a batch in a core's table by put, and answers it.
func Apply(ctx context.Context, b Batch, put func(context.Context, []report.Report) ([]report.Outcome, error)) (Response, error) {
	var taken Response
	reports, at := make([]report.Report, 0, len(b.Reports)), make([]int, 0, len(b.Reports))
	for i, packed := range b.Reports {
		var r report.Report
		if wire.Unmarshal(packed, &r) != nil {
			taken.Rejected = append(taken.Rejected, i)
			continue
		}
		reports, at = append(reports, r), append(at, i)
	}
	outcomes, err := put(ctx, reports)
	if err != nil {
		return Response{}, err
	}
	for k, outcome := range outcomes {
		if outcome == report.MissingBase {
			taken.Rejected = append(taken.Rejected, at[k])
		}
	}
	return taken, nil
}

// Key stands for a core's name in answers to agents; it must never change.
func CoreKey(core string) uint32 { return uint32(share.Score([]byte("relay"), core)) }
