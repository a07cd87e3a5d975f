package fleet

import (
	"slices"
	"sync"
)

// seeds are the addresses that processes are started with. What one was given does not change under it.
type seeds struct {
	mu    sync.Mutex
	addrs []string
}

// now is the seeds for a process that starts now.
func (s *seeds) now() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.addrs)
}

// set puts another address in place of one, for processes that start from now on.
func (s *seeds) set(i int, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addrs[i] = addr
}
