package plan

import (
	"context"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
)

// considerRequest builds the request that asks whether a replica takes on the load of the decision.
func (d Decision) considerRequest(replica string, dry bool) order.ConsiderRequest {
	return order.ConsiderRequest{Replica: replica, Item: d.Item, Penalty: d.Penalty, SkipTest: d.BypassTest, Claim: d.isClaim, DryRun: dry, CostMs: int(d.CheapestMs)}
}

// askController asks the controller of one replica. unsure is true if the controller
// may have accepted the load although no answer arrived. Several calls run
// concurrently, so it must not modify shared state.
func (p *Planner) askController(ctx context.Context, d Decision, controller, replica string, dry bool) (a order.ConsiderResponse, unsure bool) {
	askCtx, cancel := context.WithTimeout(ctx, p.d.Cadence.AskTimeout)
	defer cancel()
	a, err := p.d.Consider(askCtx, controller, d.considerRequest(replica, dry))
	if err != nil {
		// A controller that did not answer may have accepted the load; its status shows it before the next decision.
		return order.NoAnswer(err), !dry && wire.Code(err) != "not-owner"
	}
	return a, false
}

// controllerBatch holds the replicas of one controller, as indexes into the list of candidates.
type controllerBatch struct {
	controller string
	indexes    []int
}

// groupByController groups the replicas by their controller.
func groupByController(names []string, statusOf map[string]order.Status) []controllerBatch {
	var out []controllerBatch
	batchOf := map[string]int{}
	for i, name := range names {
		controller := statusOf[name].Controller
		n, known := batchOf[controller]
		if !known {
			n = len(out)
			batchOf[controller] = n
			out = append(out, controllerBatch{controller: controller})
		}
		out[n].indexes = append(out[n].indexes, i)
	}
	return out
}

// askDry asks the controllers of all replicas concurrently what the load would evict there, without ordering it. Answers are in
// the order of names.
func (p *Planner) askDry(ctx context.Context, d Decision, names []string, statusOf map[string]order.Status) []order.ConsiderResponse {
	answers := make([]order.ConsiderResponse, len(names))
	type answered struct {
		indexes []int
		answers []order.ConsiderResponse
	}
	batches := groupByController(names, statusOf)
	ch := run.FanOut(p.d.Group, len(batches), func(_ context.Context, n int) answered {
		var replicas []string
		for _, i := range batches[n].indexes {
			replicas = append(replicas, names[i])
		}
		return answered{batches[n].indexes, p.askBatch(ctx, d, batches[n].controller, replicas)}
	})
	for range batches {
		got := <-ch
		for k, i := range got.indexes {
			answers[i] = got.answers[k]
		}
	}
	return answers
}

// askBatch asks one controller about several replicas, without ordering a load.
func (p *Planner) askBatch(ctx context.Context, d Decision, controller string, replicas []string) []order.ConsiderResponse {
	if p.d.ConsiderAll != nil && len(replicas) > 1 {
		askCtx, cancel := context.WithTimeout(ctx, p.d.Cadence.AskTimeout)
		defer cancel()
		return p.d.ConsiderAll(askCtx, controller, order.ConsiderBatchRequest{Request: d.considerRequest("", true), Replicas: replicas})
	}
	answers := make([]order.ConsiderResponse, len(replicas))
	type answered struct {
		index  int
		answer order.ConsiderResponse
	}
	ch := run.FanOut(p.d.Group, len(replicas), func(_ context.Context, i int) answered {
		a, _ := p.askController(ctx, d, controller, replicas[i], true)
		return answered{i, a}
	})
	for range replicas {
		got := <-ch
		answers[got.index] = got.answer
	}
	return answers
}
