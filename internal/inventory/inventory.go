// Package inventory knows which replicas the platform lists, and marks those
// that leave. How the platform is asked is a Lister's matter.
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
	// disbelief is for how long a list that is suddenly empty is not believed.
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
	Slots   int               `cbor:"7,keyasint,omitempty" json:"slots,omitempty"`  // requests it runs side by side, where the list says so
	LeftMs  int               `cbor:"8,keyasint,omitempty" json:"leftMs,omitempty"` // time until a leaving replica is gone, where known
}

// Target is the replica as those that talk to it need it.
func (l Listed) Target() backend.Target {
	return backend.Target{ID: l.ID, Addr: l.Addr, Service: l.Labels["service"], Model: l.Model, Slots: l.Slots}
}

// Lister asks the platform for its list of replicas.
type Lister interface {
	List(ctx context.Context) ([]Listed, error)
	Close()
}

// native asks over the design's own API.
type nativeLister struct {
	addr string
	http *http.Client
	log  *slog.Logger
}

// NewLister asks the platform at an address over the design's own API.
func NewLister(n wire.Network, addr string, log *slog.Logger) Lister {
	return &nativeLister{addr: addr, log: log, http: &http.Client{
		Transport:     &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close lets go of idle connections.
func (l *nativeLister) Close() { l.http.CloseIdleConnections() }

// List asks once.
func (l *nativeLister) List(ctx context.Context) ([]Listed, error) {
	c := client.NewClient("http", l.addr, httpapi.Bounded{HTTP: l.http, Max: 16 << 20}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	res, err := c.List()(ctx, nil)
	if err != nil {
		return nil, err
	}
	var out []Listed
	for _, r := range res.([]*platform.Listed) {
		if r == nil || r.ID == "" || r.Addr == "" || r.Kind != "model" && r.Kind != "service" {
			l.log.Warn("platform lists something that is no replica")
			continue
		}
		out = append(out, Listed{ID: r.ID, Addr: r.Addr, Zone: r.Zone, Model: r.Kind == "model", Labels: r.Labels, Leaving: r.Leaving})
	}
	return out, nil
}

// Watch looks at the platform's list again and again.
type Watcher struct {
	lister     Lister
	clock      tick.Clock
	log        *slog.Logger
	gossip     *gossip.Table
	list       atomic.Pointer[[]Listed]
	contactAt  atomic.Int64
	rounds     atomic.Int64
	emptySince atomic.Int64 // since when it has listed nobody
}

// NewWatch knows nobody; Start begins to ask. Why: others ask a watch how long ago
// it heard the platform from their own start on.
func NewWatcher(lister Lister, clock tick.Clock, log *slog.Logger, t *gossip.Table) *Watcher {
	w := &Watcher{lister: lister, clock: clock, log: log, gossip: t}
	w.contactAt.Store(-1 << 62)
	empty := []Listed{}
	w.list.Store(&empty)
	return w
}

// Start asks at once and at each interval while active says so; leaving marks go
// into the gossip.
func (w *Watcher) Start(g *run.Group, interval time.Duration, active func() bool) {
	look := func(ctx context.Context) {
		if active() {
			w.poll(ctx)
		}
	}
	// Why: who has just started knows no replica, and need not wait for that.
	g.Go(look)
	g.Every(interval, look)
}

// Close lets go of idle connections.
func (w *Watcher) Close() { w.lister.Close() }

// List is the newest list.
func (w *Watcher) List() []Listed { return *w.list.Load() }

// HeardFor is how long ago the platform answered.
func (w *Watcher) SinceContact() time.Duration {
	return w.clock.Since() - time.Duration(w.contactAt.Load())
}

// Rounds counts answers taken.
func (w *Watcher) Rounds() int64 { return w.rounds.Load() }

func (w *Watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := w.clock.Since()
	out, err := w.lister.List(ctx)
	if err != nil {
		w.log.Debug("platform not heard", "error", err)
		return
	}
	for _, one := range out {
		if one.Leaving {
			MarkLeaving(w.gossip, one.ID)
		}
	}
	// Why: a platform that has just lost its memory lists nobody; a whole fleet does not leave at once.
	if now := w.clock.Since(); len(out) > 0 || len(w.List()) == 0 {
		w.emptySince.Store(0)
	} else if since := w.emptySince.Load(); since == 0 {
		w.emptySince.Store(int64(now))
		w.log.Warn("platform lists nobody; the list before is kept for a minute")
		return
	} else if now-time.Duration(since) < emptyListGrace {
		return
	}
	w.list.Store(&out)
	w.contactAt.Store(int64(asked))
	w.rounds.Add(1)
}

// MarkKey is the key of a replica's leaving mark in the gossip.
func MarkKey(id string) string { return "mark/" + id }

// Mark says in the gossip that a replica is leaving. A mark taken back has an
// even version, one that stands an odd one, so two who learn of it say the same.
func MarkLeaving(t *gossip.Table, id string) {
	s := t.StampOf(MarkKey(id))
	if s.Version%2 == 0 {
		t.Put(gossip.Entry{Key: MarkKey(id), Stamp: state.Stamp{Version: s.Version + 1}, Value: []byte{1}})
	}
}

// Unmark takes a mark back; only the replica's controller does so, once the
// platform has listed the replica as staying for a while.
func UnmarkLeaving(t *gossip.Table, id string) {
	s := t.StampOf(MarkKey(id))
	if s.Version%2 == 1 {
		t.Put(gossip.Entry{Key: MarkKey(id), Stamp: state.Stamp{Version: s.Version + 1}, Deleted: true})
	}
}

// Marked says whether a replica is known to be leaving.
func MarkedLeaving(t *gossip.Table, id string) bool { return t.StampOf(MarkKey(id)).Version%2 == 1 }
