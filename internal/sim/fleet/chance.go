package fleet

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// clock is a machine's time in the bubble; its wall can be set wrong.
type clock struct {
	zero time.Time
	off  atomic.Int64
}

func (c *clock) Since() time.Duration { return time.Since(c.zero) }

func (c *clock) Wall() time.Time { return time.Now().Add(time.Duration(c.off.Load())) }

// Chance is randomness by seed that several goroutines may draw from.
type Chance struct {
	mu sync.Mutex
	r  *rand.Rand
}

// IntN draws from 0 to n-1.
func (c *Chance) IntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r.IntN(n)
}

// Perm draws an order of 0 to n-1.
func (c *Chance) Perm(n int) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r.Perm(n)
}

// Uint64 draws any number.
func (c *Chance) Uint64() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r.Uint64()
}
