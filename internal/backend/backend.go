// Package backend is the one place that knows what a replica looks like from
// outside: its reports and its orders over the goa API.
package backend

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"

	"drumstall.example/gen/http/replica/client"
	"drumstall.example/gen/replica"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/httpapi"
	"drumstall.example/internal/kernel/wire"
)

// Errors of this package.
var (
	ErrUnreachable    = errors.New("backend: replica not reached")
	ErrInvalidReport  = errors.New("backend: replica's report makes no sense")
	ErrRefused        = errors.New("backend: replica refused the order")
	ErrOutcomeUnknown = errors.New("backend: order may or may not have arrived")
	ErrBusy           = errors.New("backend: replica carries out another order")
)

// States of an item on a replica.
const (
	Loading   = "loading"
	Loaded    = "loaded"
	Unloading = "unloading"
)

// Verbs of orders.
const (
	Load          = "load"
	Unload        = "unload"
	LoadAdapter   = "load-adapter"
	UnloadAdapter = "unload-adapter"
)

// What a request to a replica looks like.
const (
	RunPath         = "/run"
	HeaderOutcome   = "Drumstall-Outcome" // a replica answers not-run when it has not begun
	HeaderRequestID = "Drumstall-Ticket"
	HeaderAttempt   = "Drumstall-Shot" // 1 for the first, more for each retry
	// Where there are tenants: whose a request is, the tenant's weight, and its step of urgency there, 0 first. A replica
	// that divides its prefix cache goes by them.
	HeaderTenant      = "Drumstall-Tenant"
	HeaderTenantShare = "Drumstall-Tenant-Share"
	HeaderUrgency     = "Drumstall-Urgency"
	NotRun            = "not-run"
)

// Line is one item a replica reports.
type ItemStatus struct {
	State    string
	SizeMib  int
	Inflight int
}

// Report is how a replica says it is, checked.
type Report struct {
	ID            string
	Incarnation   string
	Model         bool
	CapacityMib   int
	AdapterPlaces int
	Slots         int
	Inflight      int
	Leaving       bool
	Busy          bool // an order is being carried out
	ServeFor      time.Duration
	Items         map[conf.Item]ItemStatus
}

// Order is one order to a replica.
type Order struct {
	ID         string
	Verb       string
	Item       conf.Item
	SizeMib    int
	Epoch      uint64
	Controller string // the core's name and its boot
	Holder     string // the core's name
}

// Client asks replicas how they are and orders them about.
type Client interface {
	// Report asks a replica for its report. Sizes, places and the replica's
	// memory may be missing in it; the configuration knows them then.
	Report(ctx context.Context, r Target) (Report, error)
	// Order sends one order. ErrRefused is a considered no; ErrUnsure means that
	// the replica may act on it.
	Order(ctx context.Context, r Target, o Order) error
	Close()
	// Traits is what may be relied on.
	Traits() Traits
}

// Target is the replica that is meant.
type Target struct {
	ID      string
	Addr    string
	Service string
	Model   bool
	Slots   int
}

// Traits is what may be relied on in the replicas of a deployment.
type Traits struct {
	// WaitsForRuns says that an unload waits for the requests that run, and that
	// requests for what is being loaded or unloaded are turned away as not run.
	WaitsForRuns bool
	// KnowsByName says that a replica knows a controller by its name alone: one that
	// was restarted is still the same.
	KnowsByName bool
	// ReportLag is how old a report may be when it is given.
	ReportLag time.Duration
	// ServicesReport says that replicas without models have reports too.
	ServicesReport bool
	// TellsBusy says that a report tells whether an order is being carried out.
	TellsBusy bool
	// OneOrder says that a replica refuses an order while it carries out another.
	OneOrder bool
	// KeepsOnDisk says that a replica keeps models that it has held on a disk of its own.
	KeepsOnDisk bool
	// AdaptersUnpaced says that loads of adapters do not count at the weight store.
	AdaptersUnpaced bool
}

// Native is the client of the design's own API.
type Native struct {
	http *http.Client
}

// NewNative dials through n; it follows no redirects.
func NewNative(n wire.Net) *Native {
	return &Native{http: &http.Client{
		Transport: &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
			DisableCompression: true, MaxResponseHeaderBytes: 64 << 10},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Traits of the design's own replicas.
func (c *Native) Traits() Traits { return Traits{ServicesReport: true} }

// Close lets go of idle connections.
func (c *Native) Close() { c.http.CloseIdleConnections() }

func (c *Native) clientFor(addr string) *client.Client {
	return client.NewClient("http", addr, httpapi.Bounded{HTTP: c.http, Max: 4 << 20}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

// Report asks a replica how it is; the target's id is whom we expect to answer.
func (c *Native) Report(ctx context.Context, r Target) (Report, error) {
	res, err := c.clientFor(r.Addr).Vitals()(ctx, nil)
	if err != nil {
		return Report{}, errors.Wrap(ErrUnreachable, err.Error())
	}
	return parseReport(res.(*replica.ReplicaReport), r.ID)
}

func intOrZero(p *int) int {
	if p == nil {
		return 0
	}
	return *p
}

// check turns a report into ours; one that makes no sense is not acted on.
func parseReport(r *replica.ReplicaReport, id string) (Report, error) {
	v := Report{ID: r.ID, Incarnation: r.Incarnation, Model: r.Kind == "model", CapacityMib: intOrZero(r.CapacityMib),
		AdapterPlaces: intOrZero(r.AdapterPlaces), Slots: r.Slots, Inflight: r.Inflight, Leaving: r.Leaving,
		ServeFor: time.Duration(intOrZero(r.ServeMs)) * time.Millisecond, Items: map[conf.Item]ItemStatus{}}
	bad := func(what string) (Report, error) { return Report{}, errors.Wrapf(ErrInvalidReport, "%s: %s", id, what) }
	switch {
	case r.ID != id:
		return bad("it goes by the name " + r.ID)
	case r.Incarnation == "":
		return bad("no incarnation")
	case v.Slots < 1 || v.Slots > 1<<16 || v.Inflight < 0:
		return bad("places or requests out of range")
	case v.CapacityMib < 0 || v.AdapterPlaces < 0 || v.ServeFor < 0:
		return bad("negative sizes")
	}
	ok := func(state string) bool { return state == Loading || state == Loaded || state == Unloading }
	for _, m := range r.Models {
		if m == nil || !conf.Plain(m.Name) || !ok(m.State) || m.SizeMib < 0 || m.Inflight < 0 {
			return bad("a model's line is wrong")
		}
		item := conf.Item{Model: m.Name}
		if _, twice := v.Items[item]; twice {
			return bad("model " + m.Name + " stands twice")
		}
		v.Items[item] = ItemStatus{State: m.State, SizeMib: m.SizeMib, Inflight: m.Inflight}
		for _, a := range m.Adapters {
			if a == nil || !conf.Plain(a.Name) || !ok(a.State) || a.Inflight < 0 {
				return bad("an adapter's line is wrong")
			}
			v.Items[conf.Item{Model: m.Name, Adapter: a.Name}] = ItemStatus{State: a.State, Inflight: a.Inflight}
		}
	}
	return v, nil
}

// Order sends one order. ErrRefused is a considered no; ErrUnsure means that
// the replica may act on it.
func (c *Native) Order(ctx context.Context, r Target, o Order) error {
	p := &replica.LoadOrder{ID: o.ID, Verb: o.Verb, Model: o.Item.Model, SizeMib: &o.SizeMib, Epoch: o.Epoch, Controller: o.Controller}
	if o.Item.Adapter != "" {
		p.Adapter = &o.Item.Adapter
	}
	_, err := c.clientFor(r.Addr).Order()(ctx, p)
	if err == nil {
		return nil
	}
	var refused *replica.Refusal
	if errors.As(err, &refused) {
		return errors.Wrapf(ErrRefused, "%s: %s", refused.Name, refused.Detail)
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}

// IsUnsure says whether an order may or may not have arrived.
func IsOutcomeUnknown(err error) bool { return errors.Is(err, ErrOutcomeUnknown) }

// IsBusy says whether an order was refused because another is being carried out.
func IsBusy(err error) bool { return errors.Is(err, ErrBusy) }
