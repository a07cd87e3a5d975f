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
type Taken struct {
	// NotTaken are the reports, as indexes of the batch, that the core cannot lay on what it has of their agents.
	NotTaken []int `cbor:"1,keyasint,omitempty"`
}

// Take lays a batch in a core's table by put, and answers it.
func Take(ctx context.Context, b Batch, put func(context.Context, []report.Report) ([]report.Outcome, error)) (Taken, error) {
	var taken Taken
	reports, at := make([]report.Report, 0, len(b.Reports)), make([]int, 0, len(b.Reports))
	for i, packed := range b.Reports {
		var r report.Report
		if wire.Unmarshal(packed, &r) != nil {
			taken.NotTaken = append(taken.NotTaken, i)
			continue
		}
		reports, at = append(reports, r), append(at, i)
	}
	outcomes, err := put(ctx, reports)
	if err != nil {
		return Taken{}, err
	}
	for k, outcome := range outcomes {
		if outcome == report.NoBase {
			taken.NotTaken = append(taken.NotTaken, at[k])
		}
	}
	return taken, nil
}

// Key stands for a core's name in answers to agents; it must never change.
func Key(core string) uint32 { return uint32(share.Score([]byte("relay"), core)) }
