// Package balance decides which units move between servers, and which target
// of a shared service gets a request.
//
// Plan compares the loads of the servers and moves the unit that reduces the
// imbalance most from the most loaded to the least loaded server. The load of a
// server is the time that its target spends on requests in each second, divided by
// the server's slots. Plan moves nothing while the imbalance is below a threshold,
// moves no unit that has moved recently, and bounds the number of moves. A key that
// alone makes up a large share of a server's load is carved out of its slot and
// moved on its own. It returns to its slot when its load is low again.
//
// Unused units count as a small load, so that servers which join an idle service
// receive a fair share of its units.
//
// Balancing the load is not enough if a target is slow: it would keep a few
// units, and the callers of these units would wait. SlowServerDetector detects
// such servers from the latencies that their daemons measure, and Plan moves
// all units away from them.
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

// idleLoadShare is the load that the slots of a service count for in total even if
// they are unused, as a share of the total capacity of the servers.
const idleLoadShare = 0.02

// coolKeyShare is the share of the hot-key threshold below which a carved key
// returns to its slot.
const coolKeyShare = 0.25

// Server is a server that may own units.
type Server struct {
	ID record.Incarnation
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Cold servers receive at most one unit in each plan.
	Cold bool
	// Slowness is the factor by which the server's requests take longer than those
	// of the other servers, if it is slow; 0 or 1 if it is not. A slow server
	// receives no units, and all its units are moved to other servers.
	Slowness float64
}

// slow reports whether the units of the server are to be moved to other servers.
func (s *Server) slow() bool { return s.Slowness > 1 }

// Unit is a slot or a key with its load.
type Unit struct {
	record.Unit
	Owner record.Incarnation
	// Load is the time that the target spends on the unit's requests in each
	// second.
	Load time.Duration
	// Hot marks a key that is not carved out. Its load is included in that of its
	// slot.
	Hot bool
	// CooldownOver is set if the unit has not moved recently.
	CooldownOver bool
}

// Move is the transfer of a unit from one server to another.
type Move struct {
	record.Transfer
	From record.Incarnation
}

// Policy limits what Plan does.
type Policy struct {
	// Threshold is the share of the mean load by which the most loaded server has
	// to exceed the mean before a unit moves.
	Threshold float64
	// MaxMoves is the maximum number of moves in a plan, not counting those from
	// slow servers.
	MaxMoves int
	// HotKeyShare is the minimum load of a key that is carved out, as a share of
	// the mean load of a server; with 0 no key is carved out.
	HotKeyShare float64
}

// Plan returns the moves that balance the load, or none if there are fewer than two
// servers that are not slow. Moves away from slow servers come first.
func Plan(servers []Server, units []Unit, policy Policy) []Move {
	p := newPlan(servers, units)
	if len(p.servers) < 2 {
		return nil
	}
	evacuations := p.evacuateSlow()
	moves := p.mergeCoolKeys(policy)
	for len(moves) < policy.MaxMoves {
		move, ok := p.bestMove(policy)
		if !ok {
			break
		}
		moves = append(moves, move)
	}
	return append(evacuations, moves...)
}

// Imbalance returns the highest load of a server divided by the mean load, both per
// slot. It is 1 if the load is perfectly balanced, or if there is none.
func Imbalance(servers []Server, units []Unit) float64 {
	p := newPlan(servers, units)
	if len(p.servers) == 0 || p.mean() == 0 {
		return 1
	}
	return p.mostLoaded().loadPerSlot() / p.mean()
}

// plan is the state of the servers and units while moves are chosen.
type plan struct {
	// servers holds the servers that are not slow, byID all servers.
	servers []*serverLoad
	byID    map[record.Incarnation]*serverLoad
	// units are ordered by load, highest first.
	units []*Unit
}

// serverLoad is a server with its load.
type serverLoad struct {
	Server
	// load is the load of the server's units, in seconds of target time per second.
	load float64
	// received is the number of units that the plan moves to the server.
	received int
}

// loadPerSlot returns the load divided by the server's slots.
func (l *serverLoad) loadPerSlot() float64 { return l.load / float64(max(l.Slots, 1)) }

func newPlan(servers []Server, units []Unit) *plan {
	p := &plan{byID: map[record.Incarnation]*serverLoad{}}
	capacity := 0
	for _, s := range servers {
		l := &serverLoad{Server: s}
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
	idle := time.Duration(idleLoadShare * float64(capacity) / float64(max(slots, 1)) * float64(time.Second))
	for _, u := range units {
		if u.Key == "" {
			u.Load += idle
		}
		p.units = append(p.units, &u)
		owner := p.byID[u.Owner]
		if owner != nil && owner.slow() {
			// On a server that is not slow, its requests take less time.
			u.Load = time.Duration(float64(u.Load) / owner.Slowness)
		}
		if owner != nil && !u.Hot {
			owner.load += u.Load.Seconds()
		}
	}
	slices.SortFunc(p.units, func(a, b *Unit) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Key, b.Key))
	})
	return p
}

// mean returns the mean load per slot of the servers that are not slow.
func (p *plan) mean() float64 {
	load, slots := 0.0, 0
	for _, l := range p.servers {
		load += l.load
		slots += l.Slots
	}
	return load / float64(max(slots, 1))
}

// mostLoaded returns the server with the highest load per slot.
func (p *plan) mostLoaded() *serverLoad {
	return slices.MaxFunc(p.servers, func(a, b *serverLoad) int {
		return cmp.Or(cmp.Compare(a.loadPerSlot(), b.loadPerSlot()), cmp.Compare(b.ID, a.ID))
	})
}

// leastLoaded returns the server with the lowest load per slot that may receive a
// unit, or nil if none may.
func (p *plan) leastLoaded() *serverLoad {
	var leastLoaded *serverLoad
	for _, l := range p.servers {
		if l.Cold && l.received > 0 {
			continue
		}
		if leastLoaded == nil || l.loadPerSlot() < leastLoaded.loadPerSlot() {
			leastLoaded = l
		}
	}
	return leastLoaded
}

// evacuateSlow moves the units of slow servers to other servers, as long as these
// have capacity left, and returns the moves. Units with the highest load are moved
// first. As for a server that leaves as planned, the limit on moves does not apply,
// and units that have moved recently are moved as well. The moves are applied to p.
func (p *plan) evacuateSlow() []Move {
	const maxUtilization = 0.8 // of the slots of the server that receives a unit
	var moves []Move
	for _, u := range p.units {
		owner := p.byID[u.Owner]
		if owner == nil || !owner.slow() || u.Hot {
			continue
		}
		to := p.leastLoaded()
		if to == nil || to.load+u.Load.Seconds() > maxUtilization*float64(to.Slots) {
			break
		}
		moves = append(moves, p.move(u, to))
	}
	return moves
}

// bestMove returns the move that reduces the imbalance most and applies it to p. It
// returns false if no move is allowed or useful.
func (p *plan) bestMove(policy Policy) (Move, bool) {
	from, to := p.mostLoaded(), p.leastLoaded()
	if to == nil || from == to || from.loadPerSlot() <= p.mean()*(1+policy.Threshold) {
		return Move{}, false
	}
	var chosen *Unit
	for _, u := range p.units {
		if u.Owner != from.ID || !u.CooldownOver || !p.movable(u, policy) {
			continue
		}
		if improves(from, to, u) {
			chosen = u
			break
		}
	}
	if chosen == nil {
		return Move{}, false
	}
	return p.move(chosen, to), true
}

// movable reports whether policy allows u to move: a key that is not carved out may
// move only if its load is high enough for it to be carved out.
func (p *plan) movable(u *Unit, policy Policy) bool {
	if !u.Hot {
		return true
	}
	owner := p.byID[u.Owner]
	return policy.HotKeyShare > 0 &&
		u.Load.Seconds() >= policy.HotKeyShare*p.mean()*float64(owner.Slots)
}

// improves reports whether moving u keeps the load per slot of the receiving server
// clearly below the present one of the sending server.
func improves(from, to *serverLoad, u *Unit) bool {
	const maxRatio = 0.98 // of the new load of to, relative to the present load of from
	after := (to.load + u.Load.Seconds()) / float64(max(to.Slots, 1))
	return after < from.loadPerSlot()*maxRatio
}

// move transfers u to the server to in p and returns the move.
func (p *plan) move(u *Unit, to *serverLoad) Move {
	from := p.byID[u.Owner]
	move := Move{Transfer: record.Transfer{Unit: u.Unit, To: to.ID}, From: u.Owner}
	if from != nil {
		from.load -= u.Load.Seconds()
	}
	to.load += u.Load.Seconds()
	to.received++
	if u.Hot {
		p.subtractFromSlot(u)
	}
	u.Owner = to.ID
	u.Hot = false
	u.CooldownOver = false
	return move
}

// subtractFromSlot subtracts the load of the carved key u from that of its slot, and
// marks the slot as moved recently so that it is not moved in the same plan.
func (p *plan) subtractFromSlot(u *Unit) {
	for _, slot := range p.units {
		if slot.Key == "" && slot.Slot == u.Slot {
			slot.Load -= u.Load
			slot.CooldownOver = false
		}
	}
}

// mergeCoolKeys moves carved keys with a low load to the owners of their slots and
// returns the moves.
func (p *plan) mergeCoolKeys(policy Policy) []Move {
	slotOwner := map[int]record.Incarnation{}
	for _, u := range p.units {
		if u.Key == "" {
			slotOwner[u.Slot] = u.Owner
		}
	}
	limit := policy.HotKeyShare * coolKeyShare * p.mean()
	var moves []Move
	for _, u := range p.units {
		to := p.byID[slotOwner[u.Slot]]
		if u.Key == "" || u.Hot || !u.CooldownOver || to == nil || to.slow() || to.ID == u.Owner {
			continue
		}
		if u.Load.Seconds() < limit*float64(to.Slots) && len(moves) < policy.MaxMoves {
			moves = append(moves, p.move(u, to))
		}
	}
	return moves
}
