package stand

import (
	"context"
	"time"

	gen "drumstall.example/gen/replica"
	"drumstall.example/internal/backend"
	"drumstall.example/internal/check"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/run"
)

func no(name, detail string) error {
	return &gen.Refusal{Name: name, Detail: detail, Outcome: backend.NotRun}
}

// Order takes a load or unload order.
func (r *Replica) Order(_ context.Context, o *gen.LoadOrder) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	it := conf.Item{Model: o.Model}
	if o.Adapter != nil {
		it.Adapter = *o.Adapter
	}
	mib, places := 0, 0
	for x, l := range r.items {
		if x.Adapter == "" {
			mib += l.size
		} else {
			places++
		}
	}
	e := check.Event{Kind: check.OrderCame, Replica: r.s.ID, Verb: o.Verb, Item: it.String(), Controller: o.Controller, Epoch: o.Epoch}
	switch o.Verb {
	case backend.Load:
		e.Used, e.Capacity = mib, r.s.CapacityMib
		if r.items[it] == nil && o.SizeMib != nil {
			e.Used += *o.SizeMib
		}
	case backend.LoadAdapter:
		e.Used, e.Capacity = places, r.s.AdapterPlaces
		if r.items[it] == nil {
			e.Used++
		}
	}
	if l := r.items[it]; l != nil && o.Verb != backend.Load && o.Verb != backend.LoadAdapter {
		e.Inflight = l.inflight
	}
	r.rec.Put(e)
	if o.Epoch < r.epoch && !r.s.Unkind {
		return no("stale", "a higher epoch has ordered here")
	}
	r.epoch = o.Epoch
	l := r.items[it]
	switch o.Verb {
	case backend.Load, backend.LoadAdapter:
		if l != nil {
			return nil
		}
		if e.Used > e.Capacity {
			return no("busy", "it does not fit")
		}
		size := 0
		if o.Verb == backend.Load && o.SizeMib != nil {
			size = *o.SizeMib
		} else if base := r.items[conf.Item{Model: it.Model}]; base == nil || base.state != backend.Loaded {
			return no("busy", "its model is not loaded")
		}
		l = &loaded{state: backend.Loading, size: size}
		r.items[it] = l
		r.rec.Put(check.Event{Kind: check.LoadStart, Replica: r.s.ID, Item: it.String()})
		took := time.Duration(max(size, 100)) * time.Second / time.Duration(max(r.s.LoadMibPerS, 1))
		r.later(took, func() {
			if l.state == backend.Loading {
				l.state = backend.Loaded
				r.rec.Put(check.Event{Kind: check.LoadDone, Replica: r.s.ID, Item: it.String(), Used: size})
			}
		})
	default:
		if l == nil {
			return nil
		}
		if l.inflight > 0 && !r.s.Unkind {
			return no("busy", "it is in use")
		}
		l.state = backend.Unloading
		r.later(100*time.Millisecond, func() {
			for x := range r.items {
				if it.Covers(x) {
					delete(r.items, x)
					r.rec.Put(check.Event{Kind: check.UnloadDone, Replica: r.s.ID, Item: x.String()})
				}
			}
		})
	}
	return nil
}

func (r *Replica) later(d time.Duration, f func()) {
	r.group.Go(func(ctx context.Context) {
		if run.Sleep(ctx, d) {
			r.group.WaitWhileFrozen()
			r.mu.Lock()
			defer r.mu.Unlock()
			f()
		}
	})
}
