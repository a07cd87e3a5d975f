package proxy

import (
	"context"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	gen "drumstall.example/gen/caller"
	"drumstall.example/internal/attempt"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/relay"
	"drumstall.example/internal/route"
)

// goaError converts a refusal to the error type of the native API.
func (r *Refusal) goaError() error {
	d := &gen.Refusal{Name: string(r.Reason), Detail: r.Detail, Outcome: string(r.Outcome)}
	if r.RetryAfter > 0 {
		s := strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds())))
		d.RetryAfter = &s
	}
	return d
}

// Vitals reports whether this proxy serves requests, with its node name, active configuration and counters.
func (p *Proxy) Vitals(context.Context) (map[string]string, error) {
	serial, serving := p.ActiveConfig()
	if !serving || p.draining.Load() {
		return nil, (&Refusal{Reason: Unavailable, Detail: "the proxy is starting up or shutting down", Outcome: attempt.NotRun, RetryAfter: time.Second}).goaError()
	}
	return map[string]string{"node": p.settings.Name, "conf": strconv.FormatUint(serial, 10), "shots": strconv.FormatInt(p.admission.Attempts(), 10),
		"cut": strconv.FormatInt(p.truncated.Load(), 10)}, nil
}

// Shoot handles a caller's request on the native API, from validation to the relayed response.
func (p *Proxy) Shoot(ctx context.Context, q *gen.ShootPayload, body io.ReadCloser) (*gen.ShootResult, io.ReadCloser, error) {
	defer body.Close()
	startedAt := time.Now()
	if refusal := p.Ready(ctx); refusal != nil {
		return nil, nil, refusal.goaError()
	}
	target, identity, refusal := p.target(q)
	if refusal != nil {
		return nil, nil, refusal.goaError()
	}
	raw, err := io.ReadAll(io.LimitReader(body, target.Route.MaxBody+1))
	if err != nil {
		return nil, nil, (&Refusal{Reason: BadRequest, Detail: "the request body was incomplete or stalled", Outcome: attempt.NotRun}).goaError()
	}
	relay.EndReadLimit(ctx)
	if int64(len(raw)) > target.Route.MaxBody {
		detail := fmt.Sprintf("the request body exceeds the limit of %d bytes on this route", target.Route.MaxBody)
		return nil, nil, (&Refusal{Reason: TooLarge, Detail: detail, Outcome: attempt.NotRun}).goaError()
	}
	if target.Route.Kind == "model" {
		target.Prompt = route.PromptFromBody(target.Item.String(), raw)
	}
	call := Call{Target: target, Identity: identity, Deadline: startedAt.Add(target.Route.Deadline), ContentType: "application/json", Body: raw}
	if q.DeadlineMs != nil {
		call.Deadline = startedAt.Add(target.Route.EffectiveDeadline(time.Duration(*q.DeadlineMs) * time.Millisecond))
	}
	if q.Ticket != nil {
		call.RequestID = *q.Ticket
	}
	a, refusal := p.Serve(ctx, call)
	if refusal != nil {
		return nil, nil, refusal.goaError()
	}
	return &gen.ShootResult{Outcome: string(attempt.Ran), ContentType: a.ContentType, Replica: a.Replica}, a.Body, nil
}

// target resolves the route and item that the request names and identifies the caller's tenant.
func (p *Proxy) target(q *gen.ShootPayload) (route.Target, attempt.Identity, *Refusal) {
	r, found := p.Conf().Routes[q.Route]
	if !found {
		return route.Target{}, attempt.Identity{}, &Refusal{Reason: UnknownTarget, Detail: "no route " + q.Route, Outcome: attempt.NotRun}
	}
	authorization := ""
	if q.Authorization != nil {
		authorization = *q.Authorization
	}
	r, identity, refusal := p.Identify(r, authorization)
	if refusal != nil {
		return route.Target{}, identity, refusal
	}
	var item conf.Item
	if q.Model != nil {
		item.Model = *q.Model
	}
	if q.Adapter != nil {
		item.Adapter = *q.Adapter
	}
	t, refusal := p.Resolve(r, item)
	return t, identity, refusal
}
