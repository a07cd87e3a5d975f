// Package inventory tracks the replicas that the platform lists and marks leaving
// ones in the gossip table. A Lister implements the query to the platform.
package inventory

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	goahttp "goa.design/goa/v3/http"

	"drumstall.example/gen/http/platform/client"
	"drumstall.example/gen/platform"
	"drumstall.example/internal/backend"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/httpapi"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

const (
	listTimeout = 450 * time.Millisecond
	// emptyListGrace is how long a list that is suddenly empty is ignored.
	emptyListGrace = time.Minute
)

// Listed is a replica as the platform lists it.
type Listed struct {
	ID      string            `cbor:"1,keyasint" json:"id"`
	Addr    string            `cbor:"2,keyasint" json:"addr"`
	Zone    string            `cbor:"3,keyasint" json:"zone"`
	Model   bool              `cbor:"4,keyasint" json:"model"`
	Labels  map[string]string `cbor:"5,keyasint" json:"labels"`
	Leaving bool              `cbor:"6,keyasint" json:"leaving"`
	Slots   int               `cbor:"7,keyasint,omitempty" json:"slots,omitempty"`  // concurrent requests, where listed
	LeftMs  int               `cbor:"8,keyasint,omitempty" json:"leftMs,omitempty"` // time until a leaving replica is gone, where known
}

// Target returns the replica as a target for a backend client.
func (l Listed) Target() backend.Target {
	return backend.Target{ID: l.ID, Addr: l.Addr, Service: l.Labels["service"], Model: l.Model, Slots: l.Slots}
}

// Lister queries the platform for its list of replicas.
type Lister interface {
	List(ctx context.Context) ([]Listed, error)
	Close()
}

// nativeLister queries the platform over the native API.
type nativeLister struct {
	addr string
	http *http.Client
	log  *slog.Logger
}

// NewLister returns a Lister that queries the platform at addr over the native API.
func NewLister(n wire.Network, addr string, log *slog.Logger) Lister {
	return &nativeLister{addr: addr, log: log, http: &http.Client{
		Transport:     &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (l *nativeLister) Close() { l.http.CloseIdleConnections() }

// List queries the platform once and drops invalid entries.
func (l *nativeLister) List(ctx context.Context) ([]Listed, error) {
	c := client.NewClient("http", l.addr, httpapi.LimitedClient{HTTP: l.http, MaxBytes: 16 << 20}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	res, err := c.List()(ctx, nil)
	if err != nil {
		return nil, err
	}
	var out []Listed
	for _, r := range res.([]*platform.Listed) {
		if r == nil || r.ID == "" || r.Addr == "" || r.Kind != "model" && r.Kind != "service" {
			l.log.Warn("platform listed an invalid replica")
			continue
		}
		out = append(out, Listed{ID: r.ID, Addr: r.Addr, Zone: r.Zone, Model: r.Kind == "model", Labels: r.Labels, Leaving: r.Leaving})
	}
	return out, nil
}

// Watcher polls the platform's list periodically and keeps the newest.
type Watcher struct {
	lister     Lister
	clock      tick.Clock
	log        *slog.Logger
	gossip     *gossip.Table
	list       atomic.Pointer[[]Listed]
	contactAt  atomic.Int64
	rounds     atomic.Int64
	emptySince atomic.Int64 // time of the first of the current empty lists; 0 without one
}

// NewWatcher returns a watcher with an empty list; Start begins polling. Creation and start are
// separate since other parts use SinceContact from their own start on.
func NewWatcher(lister Lister, clock tick.Clock, log *slog.Logger, t *gossip.Table) *Watcher {
	w := &Watcher{lister: lister, clock: clock, log: log, gossip: t}
	w.contactAt.Store(-1 << 62)
	empty := []Listed{}
	w.list.Store(&empty)
	return w
}

// Start polls at once and at each interval while active returns true. Leaving replicas are marked
// in the gossip table.
func (w *Watcher) Start(g *run.Group, interval time.Duration, active func() bool) {
	pollIfActive := func(ctx context.Context) {
		if active() {
			w.poll(ctx)
		}
	}
	// A process that has just started knows no replicas and should not wait an interval for them.
	g.Go(pollIfActive)
	g.Every(interval, pollIfActive)
}

// Close closes the idle connections of the lister.
func (w *Watcher) Close() { w.lister.Close() }

// List returns the newest list.
func (w *Watcher) List() []Listed { return *w.list.Load() }

// SinceContact returns the time since the start of the poll whose list was last accepted.
func (w *Watcher) SinceContact() time.Duration {
	return w.clock.Since() - time.Duration(w.contactAt.Load())
}

// Rounds returns the number of lists accepted.
func (w *Watcher) Rounds() int64 { return w.rounds.Load() }

// poll queries the platform once and stores the list.
func (w *Watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := w.clock.Since()
	out, err := w.lister.List(ctx)
	if err != nil {
		w.log.Debug("platform query failed", "error", err)
		return
	}
	for _, one := range out {
		if one.Leaving {
			MarkLeaving(w.gossip, one.ID)
		}
	}
	// A platform that has lost its state lists no replicas; a whole fleet does not leave at once.
	if now := w.clock.Since(); len(out) > 0 || len(w.List()) == 0 {
		w.emptySince.Store(0)
	} else if since := w.emptySince.Load(); since == 0 {
		w.emptySince.Store(int64(now))
		w.log.Warn("platform lists no replicas; keeping the previous list for a minute")
		return
	} else if now-time.Duration(since) < emptyListGrace {
		return
	}
	w.list.Store(&out)
	w.contactAt.Store(int64(asked))
	w.rounds.Add(1)
}

// MarkKey returns the gossip key of a replica's leaving mark.
func MarkKey(id string) string { return "mark/" + id }

// MarkLeaving marks a replica as leaving in the gossip table. An active mark has an odd version, a
// removed one an even version, so nodes that set the same mark independently write the same entry.
func MarkLeaving(t *gossip.Table, id string) {
	s := t.StampOf(MarkKey(id))
	if s.Version%2 == 0 {
		t.Put(gossip.Entry{Key: MarkKey(id), Stamp: state.Stamp{Version: s.Version + 1}, Value: []byte{1}})
	}
}

// UnmarkLeaving removes a mark. Only the replica's controller does so, once the
// platform has listed the replica as not leaving for a while.
func UnmarkLeaving(t *gossip.Table, id string) {
	s := t.StampOf(MarkKey(id))
	if s.Version%2 == 1 {
		t.Put(gossip.Entry{Key: MarkKey(id), Stamp: state.Stamp{Version: s.Version + 1}, Deleted: true})
	}
}

// MarkedLeaving reports whether a replica is marked as leaving.
func MarkedLeaving(t *gossip.Table, id string) bool { return t.StampOf(MarkKey(id)).Version%2 == 1 }
