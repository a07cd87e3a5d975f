package hollow

import (
	"math/rand/v2"
	"slices"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/sim/capacity"
)

// loadedItem is how the news of a replica says that it holds an item.
const loadedItem = backend.Loaded

// holders is which replicas hold what.
type holders struct {
	replicas []string
	items    map[string][]string // by replica
	held     map[string]bool     // items that any holds
}

func newHolders(byReplica map[string][]string) *holders {
	h := &holders{items: map[string][]string{}, held: map[string]bool{}}
	for id, items := range byReplica {
		h.replicas = append(h.replicas, id)
		items = slices.Clone(items)
		slices.Sort(items)
		h.items[id] = items
		for _, item := range items {
			h.held[item] = true
		}
	}
	slices.Sort(h.replicas)
	return h
}

const (
	// zipfPower and zipfFlat are how unevenly the items of a replica are wanted. Why: replicas are wanted
	// evenly, as a fleet is that has placed its copies.
	zipfPower = 1.1
	zipfFlat  = 2
	// missLasts is how long a caller waits for what nobody holds.
	missLasts = 60 * time.Second
)

// flight is a request on its way.
type flight struct {
	item    string
	replica string
	left    time.Duration
}

// callers are those of one hollow node.
type callers struct {
	load      Load
	share     float64 // of the fleet's misses, a second
	catalogue Catalogue
	rnd       *rand.Rand
	due       float64 // of a request
	flights   []flight
	misses    []flight
	asked     []string // items asked for in the last step
}

// pass lets time pass: requests end and others come.
func (c *callers) pass(elapsed time.Duration, h *holders) {
	c.asked = c.asked[:0]
	c.flights = aged(c.flights, elapsed)
	c.misses = slices.DeleteFunc(aged(c.misses, elapsed), func(f flight) bool { return h.held[f.item] })
	if c.rnd.Float64() < c.share*elapsed.Seconds() {
		c.miss(h)
	}
	if len(h.replicas) == 0 {
		return
	}
	for c.due += c.load.PerNode * elapsed.Seconds(); c.due >= 1; c.due-- {
		id := h.replicas[c.rnd.IntN(len(h.replicas))]
		items := h.items[id]
		item := items[rand.NewZipf(c.rnd, zipfPower, zipfFlat, uint64(len(items)-1)).Uint64()]
		c.flights = append(c.flights, flight{item, id, c.load.Lasts})
		c.asked = append(c.asked, item)
	}
}

// miss asks for a model or an adapter that nobody holds, if the draws find one.
func (c *callers) miss(h *holders) {
	const draws = 8
	for range draws {
		item := capacity.ModelName(c.rnd.IntN(max(c.catalogue.Models, 1)))
		if n := c.catalogue.adaptersOf(); n > 0 && c.rnd.IntN(2) == 0 {
			item = capacity.AdapterName(item, c.rnd.IntN(n))
		}
		if !h.held[item] {
			c.misses = append(c.misses, flight{item: item, left: missLasts})
			c.asked = append(c.asked, item)
			return
		}
	}
}

func aged(flights []flight, by time.Duration) []flight {
	out := flights[:0]
	for _, f := range flights {
		if f.left -= by; f.left > 0 {
			out = append(out, f)
		}
	}
	return out
}

// inflight counts by replica and item.
func (c *callers) inflight() map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, f := range c.flights {
		if out[f.replica] == nil {
			out[f.replica] = map[string]int{}
		}
		out[f.replica][f.item]++
	}
	return out
}

func (c *callers) waiting() map[string]int {
	out := map[string]int{}
	for _, f := range c.misses {
		out[f.item]++
	}
	return out
}
