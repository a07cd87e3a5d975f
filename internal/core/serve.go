package core

import (
	"context"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/operator"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/place/report/relay"
)

// none is an empty message.
type none struct{}

func (c *Core) serve() {
	wire.Handle(c.mux, "/state/held", func(context.Context, none) (map[int]uint64, error) { return c.own.Held(), nil })
	wire.Handle(c.mux, "/conf/submit", func(ctx context.Context, s operator.Submission) (operator.Submitted, error) {
		a, err := c.submit(ctx, s)
		return a, coded(err)
	})
	wire.HandleCompressed(c.mux, newestPath, func(ctx context.Context, q NewestQuery) (Newest, error) {
		a, err := c.newest(ctx, q)
		return a, coded(err)
	})
	wire.HandleCompressed(c.mux, ConfirmPath, func(ctx context.Context, q NewestQuery) (Newest, error) {
		a, err := c.confirm(ctx, q)
		return a, coded(err)
	})
	wire.Handle(c.mux, considerPath, c.considerHere)
	wire.Handle(c.mux, considerAllPath, func(ctx context.Context, q order.ConsiderBatchRequest) (order.ConsiderBatchResponse, error) {
		return order.ConsiderBatchResponse{Answers: c.considerAllHere(ctx, q)}, nil
	})
	wire.Handle(c.mux, "/place/grant", func(ctx context.Context, q plan.GrantRequest) (plan.GrantResponse, error) {
		if !c.own.Holds(plan.PaceKey) {
			return plan.GrantResponse{}, errNotOwner
		}
		return c.planner.Grant(ctx, q)
	})
	wire.Handle(c.mux, "/place/explain", c.explainHere)
	wire.Handle(c.mux, "/place/unmet", func(ctx context.Context, _ none) (map[string]string, error) { return c.planner.UnmetClaims(ctx), nil })
	wire.Handle(c.mux, "/place/afloat", func(ctx context.Context, _ none) (map[string]int, error) { return c.planner.OutstandingLoads(ctx), nil })
	wire.Handle(c.mux, "/place/share", func(ctx context.Context, s plan.SharedPredictions) (none, error) {
		return none{}, c.planner.MergePredictions(ctx, s)
	})
	wire.Handle(c.mux, "/place/report", c.takeReport)
	wire.HandleCompressed(c.mux, relay.Path, func(ctx context.Context, b relay.Batch) (relay.Taken, error) {
		return relay.Take(ctx, b, c.planner.ApplyReports)
	})
}

// takeReport takes an agent's report from the agent itself.
func (c *Core) takeReport(ctx context.Context, r report.Report) (report.Taken, error) {
	// Why: the word is of the moment before; what was learned since is told with the next.
	taken := report.Taken{Touch: c.touch.Word(), Differences: true, InflightDifferences: true, Conf: c.gossip.StampOf(conf.Key), Busy: c.lag.Busy()}
	outcome, err := c.planner.ApplyReport(ctx, r)
	if err != nil {
		return taken, err
	}
	if outcome == report.NoBase {
		taken.Whole = true
		return taken, nil
	}
	taken.Relayed, err = c.relay.Reported(ctx, r)
	return taken, err
}
