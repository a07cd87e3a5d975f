package wire

import (
	"sync"
	"sync/atomic"
	"time"
)

// Stats is the cost to the receiver of calls at one path, or of datagrams of one kind.
type Stats struct {
	Calls int64
	In    int64 // bytes received
	Out   int64 // bytes of responses
	Took  time.Duration
}

// Since returns the difference to an earlier count.
func (s Stats) Since(before Stats) Stats {
	return Stats{Calls: s.Calls - before.Calls, In: s.In - before.In, Out: s.Out - before.Out, Took: s.Took - before.Took}
}

// Bytes returns the bytes in both directions.
func (s Stats) Bytes() int64 { return s.In + s.Out }

// counter accumulates the cost of one path or kind.
type counter struct{ calls, in, out, took atomic.Int64 }

// add counts a call or datagram.
func (c *counter) add(in, out int, took time.Duration) {
	c.calls.Add(1)
	c.in.Add(int64(in))
	c.out.Add(int64(out))
	c.took.Add(int64(took))
}

// counters holds the counters of all paths or kinds.
type counters struct {
	mu     sync.Mutex
	byName map[string]*counter
}

// get returns the counter of a path or kind, creating it if necessary.
func (c *counters) get(name string) *counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = map[string]*counter{}
	}
	if c.byName[name] == nil {
		c.byName[name] = &counter{}
	}
	return c.byName[name]
}

// snapshot returns the current values of all counters.
func (c *counters) snapshot() map[string]Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Stats, len(c.byName))
	for name, one := range c.byName {
		out[name] = Stats{Calls: one.calls.Load(), In: one.in.Load(), Out: one.out.Load(), Took: time.Duration(one.took.Load())}
	}
	return out
}
