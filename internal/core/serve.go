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

// empty is a message without content.
type empty struct{}

// registerHandlers registers the calls that this core serves to its peers.
func (c *Core) registerHandlers() {
	wire.Handle(c.mux, "/state/held", func(context.Context, empty) (map[int]uint64, error) { return c.owner.Held(), nil })
	wire.Handle(c.mux, "/conf/submit", func(ctx context.Context, s operator.Submission) (operator.Submitted, error) {
		a, err := c.submit(ctx, s)
		return a, toRefusal(err)
	})
	wire.HandleCompressed(c.mux, newestPath, func(ctx context.Context, q NewestQuery) (Newest, error) {
		a, err := c.newest(ctx, q)
		return a, toRefusal(err)
	})
	wire.HandleCompressed(c.mux, ConfirmPath, func(ctx context.Context, q NewestQuery) (Newest, error) {
		a, err := c.confirm(ctx, q)
		return a, toRefusal(err)
	})
	wire.Handle(c.mux, considerPath, c.considerLocal)
	wire.Handle(c.mux, considerAllPath, func(ctx context.Context, q order.ConsiderBatchRequest) (order.ConsiderBatchResponse, error) {
		return order.ConsiderBatchResponse{Answers: c.considerAllLocal(ctx, q)}, nil
	})
	wire.Handle(c.mux, "/place/grant", func(ctx context.Context, q plan.GrantRequest) (plan.GrantResponse, error) {
		if !c.owner.Holds(plan.PaceKey) {
			return plan.GrantResponse{}, errNotOwner
		}
		return c.planner.Grant(ctx, q)
	})
	wire.Handle(c.mux, "/place/explain", c.explainHere)
	wire.Handle(c.mux, "/place/unmet", func(ctx context.Context, _ empty) (map[string]string, error) { return c.planner.UnmetClaims(ctx), nil })
	wire.Handle(c.mux, "/place/afloat", func(ctx context.Context, _ empty) (map[string]int, error) {
		return c.planner.OutstandingLoads(ctx), nil
	})
	wire.Handle(c.mux, "/place/share", func(ctx context.Context, s plan.SharedPredictions) (empty, error) {
		return empty{}, c.planner.MergePredictions(ctx, s)
	})
	wire.Handle(c.mux, "/place/report", c.handleReport)
	wire.HandleCompressed(c.mux, relay.Path, func(ctx context.Context, b relay.Batch) (relay.Response, error) {
		return relay.Apply(ctx, b, c.planner.ApplyReports)
	})
}

// handleReport applies a report that an agent sent directly.
func (c *Core) handleReport(ctx context.Context, r report.Report) (report.Response, error) {
	// The contact age is read before the report is applied; what applying it changes goes into the next answer.
	taken := report.Response{ContactAge: c.touch.Age(), SupportsDeltas: true, SupportsInflightDeltas: true, ConfigStamp: c.gossip.StampOf(conf.Key), Busy: c.lag.Busy()}
	outcome, err := c.planner.ApplyReport(ctx, r)
	if err != nil {
		return taken, err
	}
	if outcome == report.MissingBase {
		taken.NeedsFullReport = true
		return taken, nil
	}
	taken.RelayedTo, err = c.relay.OnReport(ctx, r)
	return taken, err
}
