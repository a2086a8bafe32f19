package processes

import (
	"slices"
	"sync"
)

// Ingresses are the ingress daemons of a fleet: those that callers send requests
// to. It is safe for concurrent use.
type Ingresses struct {
	servers []*Server

	mu      sync.Mutex
	avoided []*Server
}

// NewIngresses returns Entries with all daemons of fleet except those of avoided.
func NewIngresses(fleet *Fleet, avoided ...*Server) *Ingresses {
	return &Ingresses{servers: fleet.Servers, avoided: avoided}
}

// Avoid stops callers from using the daemon of s.
func (e *Ingresses) Avoid(s *Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.avoided = append(e.avoided, s)
}

// Use lets callers use the daemon of s again.
func (e *Ingresses) Use(s *Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.avoided = slices.DeleteFunc(e.avoided, func(a *Server) bool { return a == s })
}

// Avoided returns a copy of the list of servers whose daemons callers do not use.
func (e *Ingresses) Avoided() []*Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.avoided)
}

// Used returns the servers whose daemons callers use.
func (e *Ingresses) Used() []*Server {
	avoided := e.Avoided()
	return slices.DeleteFunc(slices.Clone(e.servers), func(s *Server) bool { return slices.Contains(avoided, s) })
}

// Pick returns a server whose daemon callers use, chosen with intN, which returns a
// random number from 0 to below its argument. Pick does not return while all
// daemons are avoided.
func (e *Ingresses) Pick(intN func(int) int) *Server {
	for {
		if s := e.servers[intN(len(e.servers))]; !slices.Contains(e.Avoided(), s) {
			return s
		}
	}
}
