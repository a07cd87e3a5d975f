package stand

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	mrand "math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/check"
	"drumstall.example/internal/conf"
)

// Asked is the body of a stand-in client's request.
type Asked struct {
	Prompt     string `json:"prompt"`
	Repeatable bool   `json:"repeatable"`
	Pieces     int    `json:"pieces,omitempty"`
}

// Piece is one line of an answer.
type Piece struct {
	Ticket string `json:"ticket"`
	N      int    `json:"n"`
	Text   string `json:"text,omitempty"`
	End    int    `json:"end,omitempty"` // on the last line: how many pieces there were
}

// PieceText is what a piece must say.
func PieceText(ticket string, n int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s/%d", ticket, n)
	return strconv.FormatUint(uint64(h.Sum32()), 36)
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(backend.HeaderOutcome, backend.NotRun)
	w.WriteHeader(status)
}

func (r *Replica) run(w http.ResponseWriter, q *http.Request) {
	var a Asked
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, 16<<20)).Decode(&a); err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	it := conf.Item{Model: q.URL.Query().Get("model"), Adapter: q.URL.Query().Get("adapter")}
	base := conf.Item{Model: it.Model}
	number, _ := strconv.Atoi(q.Header.Get(backend.HeaderAttempt))
	ticket := q.Header.Get(backend.HeaderRequestID)
	r.rec.Put(check.Event{Kind: check.Arrived, Replica: r.s.ID, Ticket: ticket, Service: r.s.Service, Attempt: number, Repeatable: a.Repeatable, Item: it.String()})
	if pct := int(r.refuse.Load()); pct > 0 && mrand.IntN(100) < pct {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	if pct := int(r.cut.Load()); pct > 0 && mrand.IntN(100) < pct {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	var used []*loaded
	if r.s.Model {
		for _, need := range []conf.Item{base, it} {
			l := r.items[need]
			if l == nil || l.state != backend.Loaded {
				r.mu.Unlock()
				refuse(w, http.StatusConflict)
				return
			}
			used = append(used, l)
		}
		if base == it {
			used = used[:1]
		}
	}
	if r.inflight >= 2*r.s.Slots {
		r.mu.Unlock()
		refuse(w, http.StatusTooManyRequests)
		return
	}
	r.inflight++
	for _, l := range used {
		l.inflight++
	}
	r.mu.Unlock()
	began := time.Now()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inflight--
		for _, l := range used {
			l.inflight--
		}
		r.served = (r.served*9 + time.Since(began)) / 10
	}()
	// As many again may wait for a place; who leaves meanwhile has not run.
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
	case <-q.Context().Done():
		panic(http.ErrAbortHandler)
	case <-r.group.Context().Done():
		panic(http.ErrAbortHandler)
	}
	// Why: a prompt is read in when its turn comes; what another has just read in is warm by then.
	r.mu.Lock()
	warm, all := 0, 0
	if r.s.Model {
		warm, all = r.warm.take(it.String(), a.Prompt, ownerOf(q.Header))
	}
	r.mu.Unlock()
	r.rec.Put(check.Event{Kind: check.RunStart, Replica: r.s.ID, Ticket: ticket, Service: r.s.Service, Attempt: number, Repeatable: a.Repeatable, Item: it.String(), Warm: warm, Used: all})
	pieces := r.s.Pieces
	if a.Pieces > 0 {
		pieces = a.Pieces
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	pause := func(d time.Duration) bool {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			r.group.WaitWhileFrozen()
			return true
		case <-q.Context().Done():
			return false
		case <-r.group.Context().Done():
			return false
		}
	}
	if slow := time.Duration(r.slow.Load()); slow > 0 && !pause(slow) {
		panic(http.ErrAbortHandler)
	}
	if warm < all && !pause(r.s.ColdFor*time.Duration(all-warm)*block/1024) {
		panic(http.ErrAbortHandler)
	}
	for n := range pieces {
		if !pause(r.s.PieceFor) {
			panic(http.ErrAbortHandler)
		}
		if enc.Encode(Piece{Ticket: ticket, N: n, Text: PieceText(ticket, n)}) != nil {
			return
		}
		_ = rc.Flush()
	}
	_ = enc.Encode(Piece{Ticket: ticket, N: pieces, End: pieces})
}
