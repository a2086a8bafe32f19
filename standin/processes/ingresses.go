package processes

import (
	"slices"
	"sync"
)

// Ingresses is the set of ingress daemons of a fleet, to which callers send their
// requests. It is safe for concurrent use.
type Ingresses struct {
	servers []*Server

	mu      sync.Mutex
	avoided []*Server
}

// NewIngresses returns Ingresses with all daemons of fleet except those of avoided.
func NewIngresses(fleet *Fleet, avoided ...*Server) *Ingresses {
	return &Ingresses{servers: fleet.Servers, avoided: avoided}
}

// Avoid stops callers from using the daemon of s.
func (in *Ingresses) Avoid(s *Server) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.avoided = append(in.avoided, s)
}

// Use lets callers use the daemon of s again.
func (in *Ingresses) Use(s *Server) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.avoided = slices.DeleteFunc(in.avoided, func(a *Server) bool { return a == s })
}

// Avoided returns a copy of the list of servers whose daemons callers do not use.
func (in *Ingresses) Avoided() []*Server {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Clone(in.avoided)
}

// Used returns the servers whose daemons callers use.
func (in *Ingresses) Used() []*Server {
	avoided := in.Avoided()
	return slices.DeleteFunc(slices.Clone(in.servers), func(s *Server) bool { return slices.Contains(avoided, s) })
}

// Pick returns a server whose daemon callers use, chosen with intN, which returns a
// random number from 0 to below its argument. Pick does not return while all
// daemons are avoided.
func (in *Ingresses) Pick(intN func(int) int) *Server {
	for {
		if s := in.servers[intN(len(in.servers))]; !slices.Contains(in.Avoided(), s) {
			return s
		}
	}
}
