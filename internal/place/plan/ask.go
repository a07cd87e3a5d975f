package plan

import (
	"context"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
)

// question is what is asked about a decision's load on a replica.
func (d Decision) considerRequest(replica string, dry bool) order.ConsiderRequest {
	return order.ConsiderRequest{Replica: replica, Item: d.Item, Penalty: d.Penalty, SkipTest: d.BypassTest, Claim: d.isClaim, DryRun: dry, CostMs: int(d.CheapestMs)}
}

// ask asks the controller of one replica. unsure says that it may have taken the load
// on without our hearing of it. Several are asked at once, so asking writes nothing that is shared.
func (p *Planner) askController(ctx context.Context, d Decision, controller, replica string, dry bool) (a order.ConsiderResponse, unsure bool) {
	one, cancel := context.WithTimeout(ctx, p.d.Cadence.Ask)
	defer cancel()
	a, err := p.d.Ask(one, controller, d.considerRequest(replica, dry))
	if err != nil {
		// Why: one that gave no answer may have taken it; its status will tell before the next decision.
		return order.NoAnswer(err), !dry && wire.Code(err) != "not-owner"
	}
	return a, false
}

// batch is replicas of one controller, as indexes of the names asked.
type controllerBatch struct {
	controller string
	indexes    []int
}

// batches puts together what one controller is asked.
func groupByController(names []string, by map[string]order.Status) []controllerBatch {
	var out []controllerBatch
	at := map[string]int{}
	for i, name := range names {
		controller := by[name].Controller
		n, known := at[controller]
		if !known {
			n = len(out)
			at[controller] = n
			out = append(out, controllerBatch{controller: controller})
		}
		out[n].indexes = append(out[n].indexes, i)
	}
	return out
}

// askDry asks the controllers of all replicas at once what would go there.
func (p *Planner) askDry(ctx context.Context, d Decision, names []string, by map[string]order.Status) []order.ConsiderResponse {
	answers := make([]order.ConsiderResponse, len(names))
	type answered struct {
		of []int
		as []order.ConsiderResponse
	}
	todo := groupByController(names, by)
	ch := run.Fan(p.d.Group, len(todo), func(_ context.Context, n int) answered {
		var replicas []string
		for _, i := range todo[n].indexes {
			replicas = append(replicas, names[i])
		}
		return answered{todo[n].indexes, p.askBatch(ctx, d, todo[n].controller, replicas)}
	})
	for range todo {
		got := <-ch
		for k, i := range got.of {
			answers[i] = got.as[k]
		}
	}
	return answers
}

// askBatch asks one controller about several replicas, dry.
func (p *Planner) askBatch(ctx context.Context, d Decision, controller string, replicas []string) []order.ConsiderResponse {
	if p.d.AskAll != nil && len(replicas) > 1 {
		one, cancel := context.WithTimeout(ctx, p.d.Cadence.Ask)
		defer cancel()
		return p.d.AskAll(one, controller, order.ConsiderBatchRequest{Request: d.considerRequest("", true), Replicas: replicas})
	}
	answers := make([]order.ConsiderResponse, len(replicas))
	type answered struct {
		i int
		a order.ConsiderResponse
	}
	ch := run.Fan(p.d.Group, len(replicas), func(_ context.Context, i int) answered {
		a, _ := p.askController(ctx, d, controller, replicas[i], true)
		return answered{i, a}
	})
	for range replicas {
		got := <-ch
		answers[got.i] = got.a
	}
	return answers
}
