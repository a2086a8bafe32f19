// Package balance decides which units move between servers, and which target
// of a shared service gets a request.
//
// Plan compares the servers' loads, in target time used a second for each of
// their slots, and moves the unit that evens out most from the most to the
// least loaded server. It moves nothing while the imbalance is below a
// threshold, nor a unit that has just moved, and few units at a time. A key
// that alone makes up a large share of a server's load is carved out of its
// slot and moved on its own; it returns to its slot once it has cooled.
//
// Units that nobody uses count for a little, so that servers which join an idle
// service receive a fair share of it.
//
// Even target time is not enough where a target is slow: it would keep a few
// units, whose callers wait. SlowServers finds such servers by what their daemons
// see, and Plan relieves them of all units.
//
// # Usage
//
//	moves := balance.Plan(servers, units, balance.Policy{Threshold: 0.15, MaxMoves: 8, HotKeyShare: 0.15})
package balance

import (
	"cmp"
	"slices"
	"time"

	"siskinknot/core/record"
)

// idleShare is the part of a server's capacity that its fair share of unused
// slots counts for.
const idleShare = 0.02

// coolShare is the part of the hot-key threshold below which a carved key
// returns to its slot.
const coolShare = 0.25

// Server is a server that may own units.
type Server struct {
	ID record.Incarnation
	// Slots is the number of requests it runs at a time.
	Slots int
	// Cold servers receive at most one unit in each plan.
	Cold bool
	// Slowness is how much longer the server's requests take than those of the
	// others, if it is slow; 0 or 1 if it is not. A slow server receives nothing
	// and is relieved of all its units.
	Slowness float64
}

// slow reports whether the server is to be relieved of its units.
func (s *Server) slow() bool { return s.Slowness > 1 }

// Unit is a unit with its load.
type Unit struct {
	record.Unit
	Owner record.Incarnation
	// Busy is target time used a second.
	Busy time.Duration
	// Hot marks a key that is not carved out; its load is part of its slot's.
	Hot bool
	// Rested is whether the unit has not moved recently.
	Rested bool
}

// Move passes a unit from one server to another.
type Move struct {
	record.Transfer
	From record.Incarnation
}

// Policy bounds what Plan does.
type Policy struct {
	// Threshold is the least share by which the most loaded server has to
	// exceed the mean before anything moves.
	Threshold float64
	// MaxMoves bounds the moves of a plan but those that relieve a slow server.
	MaxMoves int
	// HotKeyShare is the share of the mean load of a server from which on a key
	// is carved out; 0 never carves.
	HotKeyShare float64
}

// Plan returns the moves that even out the load.
func Plan(servers []Server, units []Unit, policy Policy) []Move {
	p := newPlan(servers, units)
	if len(p.servers) < 2 {
		return nil
	}
	relief := p.relieve()
	moves := p.mergeCool(policy)
	for len(moves) < policy.MaxMoves {
		move, ok := p.best(policy)
		if !ok {
			break
		}
		moves = append(moves, move)
	}
	return append(relief, moves...)
}

// Imbalance returns the largest load of a server over the mean, each for its
// slots; 1 is perfect balance.
func Imbalance(servers []Server, units []Unit) float64 {
	p := newPlan(servers, units)
	if len(p.servers) == 0 || p.mean() == 0 {
		return 1
	}
	return p.busiest().relative() / p.mean()
}

// plan is the state of the servers while moves are chosen.
type plan struct {
	// servers are those that are not slow, byID all.
	servers []*load
	byID    map[record.Incarnation]*load
	units   []*Unit
}

// load is a server with the load of its units, in target seconds a second.
type load struct {
	Server
	busy     float64
	received int
}

// relative returns the load for each of the server's slots.
func (l *load) relative() float64 { return l.busy / float64(max(l.Slots, 1)) }

func newPlan(servers []Server, units []Unit) *plan {
	p := &plan{byID: map[record.Incarnation]*load{}}
	capacity := 0
	for _, s := range servers {
		l := &load{Server: s}
		p.byID[s.ID] = l
		if l.slow() {
			continue
		}
		p.servers = append(p.servers, l)
		capacity += s.Slots
	}
	slots := 0
	for _, u := range units {
		if u.Key == "" {
			slots++
		}
	}
	idle := time.Duration(idleShare * float64(capacity) / float64(max(slots, 1)) * float64(time.Second))
	for _, u := range units {
		if u.Key == "" {
			u.Busy += idle
		}
		p.units = append(p.units, &u)
		owner := p.byID[u.Owner]
		if owner != nil && owner.slow() {
			// Elsewhere it takes less.
			u.Busy = time.Duration(float64(u.Busy) / owner.Slowness)
		}
		if owner != nil && !u.Hot {
			owner.busy += u.Busy.Seconds()
		}
	}
	slices.SortFunc(p.units, func(a, b *Unit) int {
		return cmp.Or(cmp.Compare(b.Busy, a.Busy), cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Key, b.Key))
	})
	return p
}

// mean returns the mean load for each slot of a server.
func (p *plan) mean() float64 {
	busy, slots := 0.0, 0
	for _, l := range p.servers {
		busy += l.busy
		slots += l.Slots
	}
	return busy / float64(max(slots, 1))
}

// busiest returns the server with the most load for each of its slots.
func (p *plan) busiest() *load {
	return slices.MaxFunc(p.servers, func(a, b *load) int {
		return cmp.Or(cmp.Compare(a.relative(), b.relative()), cmp.Compare(b.ID, a.ID))
	})
}

// idlest returns the server with the least load that may receive a unit.
func (p *plan) idlest() *load {
	var idlest *load
	for _, l := range p.servers {
		if l.Cold && l.received > 0 {
			continue
		}
		if idlest == nil || l.relative() < idlest.relative() {
			idlest = l
		}
	}
	return idlest
}

// relieve returns moves of all units of slow servers for which others have room,
// the busiest first, and carries them out in p. It is like a planned leave: neither
// the bound on moves nor whether a unit has just moved concerns it.
func (p *plan) relieve() []Move {
	const full = 0.8 // of the slots of the server that receives a unit
	var moves []Move
	for _, u := range p.units {
		owner := p.byID[u.Owner]
		if owner == nil || !owner.slow() || u.Hot {
			continue
		}
		to := p.idlest()
		if to == nil || to.busy+u.Busy.Seconds() > full*float64(to.Slots) {
			break
		}
		moves = append(moves, p.move(u, to))
	}
	return moves
}

// best returns the move that helps most, and carries it out in p.
func (p *plan) best(policy Policy) (Move, bool) {
	from, to := p.busiest(), p.idlest()
	if to == nil || from == to || from.relative() <= p.mean()*(1+policy.Threshold) {
		return Move{}, false
	}
	var chosen *Unit
	for _, u := range p.units {
		if u.Owner != from.ID || !u.Rested || !p.movable(u, policy) {
			continue
		}
		if helps(from, to, u) {
			chosen = u
			break
		}
	}
	if chosen == nil {
		return Move{}, false
	}
	return p.move(chosen, to), true
}

// movable reports whether policy lets u move: keys inside a slot only if they
// are hot enough to be carved out.
func (p *plan) movable(u *Unit, policy Policy) bool {
	if !u.Hot {
		return true
	}
	owner := p.byID[u.Owner]
	return policy.HotKeyShare > 0 &&
		u.Busy.Seconds() >= policy.HotKeyShare*p.mean()*float64(owner.Slots)
}

// helps reports whether the busier of both servers is clearly less busy after u
// has moved.
func helps(from, to *load, u *Unit) bool {
	const gain = 0.98
	after := (to.busy + u.Busy.Seconds()) / float64(max(to.Slots, 1))
	return after < from.relative()*gain
}

// move passes u to the server to.
func (p *plan) move(u *Unit, to *load) Move {
	from := p.byID[u.Owner]
	move := Move{Transfer: record.Transfer{Unit: u.Unit, To: to.ID}, From: u.Owner}
	if from != nil {
		from.busy -= u.Busy.Seconds()
	}
	to.busy += u.Busy.Seconds()
	to.received++
	if u.Hot {
		p.shrinkSlot(u)
	}
	u.Owner = to.ID
	u.Hot = false
	u.Rested = false
	return move
}

// shrinkSlot takes the load of the carved key u off its slot, which stays where
// it is for now.
func (p *plan) shrinkSlot(u *Unit) {
	for _, slot := range p.units {
		if slot.Key == "" && slot.Slot == u.Slot {
			slot.Busy -= u.Busy
			slot.Rested = false
		}
	}
}

// mergeCool returns carved keys that have cooled to the owners of their slots.
func (p *plan) mergeCool(policy Policy) []Move {
	slotOwner := map[int]record.Incarnation{}
	for _, u := range p.units {
		if u.Key == "" {
			slotOwner[u.Slot] = u.Owner
		}
	}
	limit := policy.HotKeyShare * coolShare * p.mean()
	var moves []Move
	for _, u := range p.units {
		to := p.byID[slotOwner[u.Slot]]
		if u.Key == "" || u.Hot || !u.Rested || to == nil || to.slow() || to.ID == u.Owner {
			continue
		}
		if u.Busy.Seconds() < limit*float64(to.Slots) && len(moves) < policy.MaxMoves {
			moves = append(moves, p.move(u, to))
		}
	}
	return moves
}
