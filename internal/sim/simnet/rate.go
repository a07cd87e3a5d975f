package simnet

import (
	"sync"
	"time"
)

// rates is what the machines' links carry; a machine that is not named has no limit.
type rates struct {
	mu    sync.Mutex
	links map[string]*link
}

// link is the one link of a machine; what waits at it goes in the order of its coming.
type link struct {
	perSecond int
	sent      time.Time // when the last of what was sent so far has left
	received  time.Time // when the last of what was sent here so far has come
}

// Rate bounds how many bytes a second a machine sends, and as many it receives.
func (f *Fabric) Rate(machine string, perSecond int) {
	f.rates.mu.Lock()
	defer f.rates.mu.Unlock()
	if f.rates.links == nil {
		f.rates.links = map[string]*link{}
	}
	f.rates.links[machine] = &link{perSecond: perSecond}
}

// arrival is when the last of n bytes that are sent now has come.
func (f *Fabric) arrival(from, to string, n int) time.Time {
	return f.rates.carry(from, to, n, time.Now()).Add(f.latency(from, to))
}

// carry takes up the links for n bytes and gives when the last of them has passed both.
func (r *rates) carry(from, to string, n int, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	begun, done := now, now
	if from == to {
		return done
	}
	if l := r.links[from]; l != nil {
		begun = later(now, l.sent)
		l.sent = begun.Add(l.takes(n))
		done = l.sent
	}
	if l := r.links[to]; l != nil {
		l.received = later(done, later(begun, l.received).Add(l.takes(n)))
		done = l.received
	}
	return done
}

// takes is for how long n bytes take up a link.
func (l *link) takes(n int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(l.perSecond)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
