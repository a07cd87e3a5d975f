// Package stand holds the stand-ins: for callers, replicas, services, the
// weight store's pace and the platform. They keep their own records.
package stand

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"drumstall.example/internal/check"
)

// Record takes events; in a file they outlive the process that wrote them.
type Record struct {
	mu     sync.Mutex
	zero   time.Time
	out    io.Writer
	events []check.Event
}

// NewRecord counts time from zero. With out, events are written there at once
// and not kept.
func NewRecord(zero time.Time, out io.Writer) *Record { return &Record{zero: zero, out: out} }

// Put dates and keeps an event.
func (r *Record) Put(e check.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.zero)
	if r.out != nil {
		b, err := json.Marshal(e)
		if err == nil {
			_, _ = r.out.Write(append(b, '\n'))
		}
		return
	}
	r.events = append(r.events, e)
}

// Events is a copy of what was kept.
func (r *Record) Events() []check.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]check.Event(nil), r.events...)
}

// ReadRecord reads a file of events; a last line cut by a kill is left out.
func ReadRecord(path string) ([]check.Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []check.Event
	in := bufio.NewScanner(f)
	in.Buffer(make([]byte, 64<<10), 1<<20)
	for in.Scan() {
		var e check.Event
		if json.Unmarshal(in.Bytes(), &e) == nil {
			out = append(out, e)
		}
	}
	return out, in.Err()
}
