package wire

import (
	"sync"
	"sync/atomic"
	"time"
)

// Served is what calls at one path, or datagrams of one kind, have cost who takes them.
type Served struct {
	Calls int64
	In    int64 // bytes taken
	Out   int64 // bytes answered
	Took  time.Duration
}

// Since is what was added after an earlier count.
func (s Served) Since(before Served) Served {
	return Served{Calls: s.Calls - before.Calls, In: s.In - before.In, Out: s.Out - before.Out, Took: s.Took - before.Took}
}

// Bytes is how many went either way.
func (s Served) Bytes() int64 { return s.In + s.Out }

// servedCount counts what one path or kind costs.
type servedCount struct{ calls, in, out, took atomic.Int64 }

// add counts one call or datagram.
func (c *servedCount) add(in, out int, took time.Duration) {
	c.calls.Add(1)
	c.in.Add(int64(in))
	c.out.Add(int64(out))
	c.took.Add(int64(took))
}

// servedCounts are the counts of all paths or kinds.
type servedCounts struct {
	mu sync.Mutex
	of map[string]*servedCount
}

// at is the count of a path or kind.
func (c *servedCounts) at(name string) *servedCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.of == nil {
		c.of = map[string]*servedCount{}
	}
	if c.of[name] == nil {
		c.of[name] = &servedCount{}
	}
	return c.of[name]
}

// now is what all have cost so far.
func (c *servedCounts) now() map[string]Served {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Served, len(c.of))
	for name, one := range c.of {
		out[name] = Served{Calls: one.calls.Load(), In: one.in.Load(), Out: one.out.Load(), Took: time.Duration(one.took.Load())}
	}
	return out
}
