// Package backend defines how the system sees a replica: its reports, the orders it takes, the headers of requests
// to it, and the client of the native (goa) API for them.
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

// Errors of reports and orders.
var (
	ErrUnreachable    = errors.New("backend: replica unreachable")
	ErrInvalidReport  = errors.New("backend: invalid replica report")
	ErrRefused        = errors.New("backend: replica refused the order")
	ErrOutcomeUnknown = errors.New("backend: outcome of the order is unknown")
	ErrBusy           = errors.New("backend: replica is executing another order")
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

// Path and headers of requests to a replica.
const (
	RunPath         = "/run"
	HeaderOutcome   = "Drumstall-Outcome" // a replica sets it to not-run when it has not started the request
	HeaderRequestID = "Drumstall-Ticket"
	HeaderAttempt   = "Drumstall-Shot" // 1 for the first, more for each retry
	// If tenants are configured: the tenant of a request, the tenant's weight, and the urgency level within the tenant,
	// 0 being the most urgent. Replicas that divide their prefix cache by tenant use these.
	HeaderTenant      = "Drumstall-Tenant"
	HeaderTenantShare = "Drumstall-Tenant-Share"
	HeaderUrgency     = "Drumstall-Urgency"
	NotRun            = "not-run"
)

// ItemStatus is the state of one item in the report of a replica.
type ItemStatus struct {
	State    string
	SizeMib  int
	Inflight int
}

// Report is the validated status report of a replica.
type Report struct {
	ID            string
	Incarnation   string
	Model         bool
	CapacityMib   int
	AdapterPlaces int
	Slots         int
	Inflight      int
	Leaving       bool
	Busy          bool // an order is being executed
	ServeFor      time.Duration
	Items         map[conf.Item]ItemStatus
}

// Order is a command to a replica to load or unload an item.
type Order struct {
	ID          string
	Verb        string
	Item        conf.Item
	SizeMib     int
	Epoch       uint64
	Controller  string // name and boot ID of the core
	LeaseHolder string // name of the core
}

// Client requests reports from replicas and sends them orders.
type Client interface {
	// Report requests the report of a replica. Sizes, the adapter capacity and the replica's
	// memory may be missing in it; they are taken from the configuration then.
	Report(ctx context.Context, r Target) (Report, error)
	// Order sends one order. ErrRefused means that the replica rejected it; ErrOutcomeUnknown means
	// that the replica may act on it.
	Order(ctx context.Context, r Target, o Order) error
	// Close closes idle connections.
	Close()
	// Traits returns the guarantees of the replicas.
	Traits() Traits
}

// Target identifies the replica of a call.
type Target struct {
	ID      string
	Addr    string
	Service string
	Model   bool
	Slots   int
}

// Traits describes the guarantees and limits of the replicas of a deployment.
type Traits struct {
	// DrainsBeforeUnload means that an unload waits for running requests, and that
	// requests for an item being loaded or unloaded are rejected as not run.
	DrainsBeforeUnload bool
	// IdentifiesControllerByName means that a replica identifies a controller by its name alone: after a restart
	// it is still the same controller.
	IdentifiesControllerByName bool
	// ReportLag is how old a report may be when the replica returns it.
	ReportLag time.Duration
	// ServicesReport means that replicas without models provide reports too.
	ServicesReport bool
	// ReportsBusy means that a report shows whether an order is being executed.
	ReportsBusy bool
	// RejectsConcurrentOrders means that a replica refuses an order while it executes another.
	RejectsConcurrentOrders bool
	// CachesModelsOnDisk means that a replica keeps the models that it has loaded on its own disk.
	CachesModelsOnDisk bool
	// AdapterLoadsUnlimited means that loads of adapters are exempt from the rate limiter of the weight store.
	AdapterLoadsUnlimited bool
}

// Native is the client of the native API.
type Native struct {
	http *http.Client
}

// NewNative returns a client that dials through n and follows no redirects.
func NewNative(n wire.Network) *Native {
	return &Native{http: &http.Client{
		Transport: exchangeTransport{&http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
			DisableCompression: true, MaxResponseHeaderBytes: 64 << 10}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Traits returns the guarantees of replicas with the native API.
func (c *Native) Traits() Traits { return Traits{ServicesReport: true} }

// Close closes idle connections.
func (c *Native) Close() { c.http.CloseIdleConnections() }

func (c *Native) clientFor(addr string) *client.Client {
	return client.NewClient("http", addr, httpapi.LimitedClient{HTTP: c.http, MaxBytes: 4 << 20}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

// Report requests the report of a replica; a report with an ID other than the target's is invalid.
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

// parseReport validates and converts a report; an invalid one is an error.
func parseReport(r *replica.ReplicaReport, id string) (Report, error) {
	v := Report{ID: r.ID, Incarnation: r.Incarnation, Model: r.Kind == "model", CapacityMib: intOrZero(r.CapacityMib),
		AdapterPlaces: intOrZero(r.AdapterPlaces), Slots: r.Slots, Inflight: r.Inflight, Leaving: r.Leaving,
		ServeFor: time.Duration(intOrZero(r.ServeMs)) * time.Millisecond, Items: map[conf.Item]ItemStatus{}}
	invalid := func(what string) (Report, error) { return Report{}, errors.Wrapf(ErrInvalidReport, "%s: %s", id, what) }
	switch {
	case r.ID != id:
		return invalid("it has the ID " + r.ID)
	case r.Incarnation == "":
		return invalid("no incarnation")
	case v.Slots < 1 || v.Slots > 1<<16 || v.Inflight < 0:
		return invalid("number of slots or requests out of range")
	case v.CapacityMib < 0 || v.AdapterPlaces < 0 || v.ServeFor < 0:
		return invalid("negative sizes")
	}
	isState := func(state string) bool { return state == Loading || state == Loaded || state == Unloading }
	for _, m := range r.Models {
		if m == nil || !conf.ValidName(m.Name) || !isState(m.State) || m.SizeMib < 0 || m.Inflight < 0 {
			return invalid("invalid entry for a model")
		}
		item := conf.Item{Model: m.Name}
		if _, twice := v.Items[item]; twice {
			return invalid("model " + m.Name + " is listed twice")
		}
		v.Items[item] = ItemStatus{State: m.State, SizeMib: m.SizeMib, Inflight: m.Inflight}
		for _, a := range m.Adapters {
			if a == nil || !conf.ValidName(a.Name) || !isState(a.State) || a.Inflight < 0 {
				return invalid("invalid entry for an adapter")
			}
			v.Items[conf.Item{Model: m.Name, Adapter: a.Name}] = ItemStatus{State: a.State, Inflight: a.Inflight}
		}
	}
	return v, nil
}

// Order sends one order. ErrRefused means that the replica rejected it; ErrOutcomeUnknown means
// that the replica may act on it.
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

// IsOutcomeUnknown reports whether the outcome of an order is unknown.
func IsOutcomeUnknown(err error) bool { return errors.Is(err, ErrOutcomeUnknown) }

// IsBusy reports whether an order was refused because another is being executed.
func IsBusy(err error) bool { return errors.Is(err, ErrBusy) }
