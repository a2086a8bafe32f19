package mesh

import (
	"context"
	"net/netip"
)

// attempt is an attempt in progress to send a request to the owner of its key.
type attempt struct {
	service string
	key     uint16
	owner   netip.AddrPort
	// owned ends with the attempt, or when another member has taken over the key from
	// the owner.
	owned context.Context
	end   context.CancelFunc
}

// beginAttempt returns an attempt to send c to the owner of its key, or nil if the key has
// no owner. Call endAttempt when it has ended.
func (m *Mesh) beginAttempt(ctx context.Context, c *call) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	assignment := m.dir.AssignmentOf(c.head.Service, c.key)
	if assignment == nil {
		return nil
	}
	a := &attempt{service: c.head.Service, key: c.key, owner: assignment.Owner}
	a.owned, a.end = context.WithCancel(ctx)
	m.attempts[a] = struct{}{}
	return a
}

// endAttempt ends an attempt.
func (m *Mesh) endAttempt(a *attempt) {
	m.mu.Lock()
	delete(m.attempts, a)
	m.mu.Unlock()
	a.end()
}

// endLostAttempts ends the attempts to send requests to owners whose keys were taken over
// after a fence: such an owner may be unresponsive, so that its requests would wait for
// their deadlines. A member that transfers a key still answers its requests. The caller
// holds the mutex, and has applied a change of the directory that the lease table has not
// observed.
func (m *Mesh) endLostAttempts() {
	for a := range m.attempts {
		_, fenced := m.leases.FencedSince(a.owner)
		current := m.dir.AssignmentOf(a.service, a.key)
		if fenced && current != nil && current.Owner != a.owner {
			a.end()
		}
	}
}
