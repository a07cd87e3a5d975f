package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"sync"

	"drumstall.example/gen/http/platform/server"
	gen "drumstall.example/gen/platform"
	"drumstall.example/internal/check"
	"drumstall.example/internal/kernel/httpapi"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
)

// Platform is a running stand-in platform.
type Platform struct {
	mu     sync.Mutex
	list   map[string]*gen.Listed
	told   map[string]bool
	rec    *Record
	group  *run.Group
	server *wire.Server
}

// StartPlatform lists what it is told. Under /control it takes changes from
// whoever runs the proof.
func StartPlatform(addr string, n wire.Network, rec *Record) (*Platform, error) {
	p := &Platform{list: map[string]*gen.Listed{}, told: map[string]bool{}, rec: rec, group: run.NewGroup(context.Background())}
	ln, err := n.Listen(addr)
	if err != nil {
		return nil, err
	}
	mux := httpapi.NewMuxer()
	server.New(gen.NewEndpoints(p), mux, httpapi.Decoder, httpapi.Encoder, httpapi.IgnoreEncodeError, httpapi.Formatter).Mount(mux)
	mux.Handle(http.MethodPost, "/control", func(w http.ResponseWriter, q *http.Request) {
		var l gen.Listed
		if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, 1<<20)).Decode(&l); err != nil || l.ID == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if l.Addr == "" {
			p.Remove(l.ID)
		} else {
			p.Set(l)
		}
	})
	p.server = wire.NewServer(ln, mux)
	p.group.Go(p.server.Run)
	return p, nil
}

// Set lists a replica, or changes how it is listed.
func (p *Platform) Set(l gen.Listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list[l.ID] = &l
	if !l.Leaving && p.told[l.ID] {
		delete(p.told, l.ID)
		p.rec.Put(check.Event{Kind: check.Unlearned, Replica: l.ID})
	}
}

// Mark marks a replica as leaving, or takes the mark back.
func (p *Platform) Mark(id string, leaving bool) {
	p.mu.Lock()
	l := *p.list[id]
	p.mu.Unlock()
	l.Leaving = leaving
	p.Set(l)
}

// Remove lists a replica no more.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.list, id)
}

// List is the goa API.
func (p *Platform) List(context.Context) ([]*gen.Listed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []*gen.Listed{}
	for id, l := range p.list {
		c := *l
		out = append(out, &c)
		if c.Leaving && !p.told[id] {
			// Why: from this answer on, one of the nodes knows.
			p.told[id] = true
			p.rec.Put(check.Event{Kind: check.Learned, Replica: id})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// Stop ends at once.
func (p *Platform) Stop() {
	p.server.Close()
	p.group.Stop()
}
