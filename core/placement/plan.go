package placement

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// startRatio is the load of a target over the mean from which work moves.
	startRatio = 1.2
	// leastLoad is the load, as a share of a target's slots, below which it does
	// not matter where work runs.
	leastLoad = 0.25
	// coldFactor is how much less a target that has just started is given.
	coldFactor = 0.5
	// leastMove is the smallest amount of work worth moving, as a share of the
	// owner's slots.
	leastMove = 0.03
	// mostMove is the largest, so that a wrong estimate does little harm.
	mostMove = 0.4
)

// MostMoves is how many moves an owner makes at a time.
const MostMoves = 3

// mostPlanned is how many moves a plan names. Each is a change that every member
// follows, and that is in the way of all other changes; the loads of many targets
// differ by chance all the time.
const mostPlanned = 6

// Load is what a member reports of the target beside it.
type Load struct {
	Member    netip.AddrPort
	Accepting bool
	Cold      bool
	Slots     int
	// Demand is the target time a second that is asked for.
	Demand float64
	// Service is the mean time of a request at the target; 0 if unknown.
	Service time.Duration
}

// ratio returns the demand as a share of what the target can do.
func (l Load) ratio() float64 { return l.Demand / l.Room() }

// Room returns the target time a second that the target should be given.
func (l Load) Room() float64 {
	if l.Cold {
		return float64(max(l.Slots, 1)) * coldFactor
	}
	return float64(max(l.Slots, 1))
}

// Takers returns the members that take keys which have lost their owner, least
// loaded first.
func Takers(loads []Load) []Load {
	takers := slices.DeleteFunc(slices.Clone(loads), func(l Load) bool { return !l.Accepting })
	slices.SortFunc(takers, func(a, b Load) int { return cmp.Compare(a.ratio(), b.ratio()) })
	return takers
}

// MostReceivers is among how many members the work of one that leaves is divided:
// each then gets a twelfth more, and the ranges are not cut up further than that.
const MostReceivers = 12

// Receivers returns the members that take the work of one that leaves: some of the
// least loaded of takers, which are ordered by load. Several members may leave at the
// same time, so that they are chosen at random among twice as many.
func Receivers(takers []Load) []Load {
	if len(takers) <= MostReceivers {
		return takers
	}
	pool := slices.Clone(takers[:min(len(takers), 2*MostReceivers)])
	rand.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	return pool[:MostReceivers]
}

// Move asks the owner From to pass on work to To. Demand is in From's target
// time a second.
type Move struct {
	From, To netip.AddrPort
	Demand   float64
}

// Plan returns the moves that even out the loads of one service's targets. An
// overloaded owner passes work to up to MostMoves receivers, down to the mean: a
// hot stretch is more than one of them can take. Each receiver takes part in one
// move, since what a move did shows only in the next reports. The most loaded owners
// go first, and the others wait for the next plan.
func Plan(loads []Load) []Move {
	usable := slices.DeleteFunc(slices.Clone(loads), func(l Load) bool { return !l.Accepting })
	if len(usable) < 2 {
		return nil
	}
	slices.SortFunc(usable, func(a, b Load) int { return cmp.Compare(b.ratio(), a.ratio()) })
	mean := meanRatio(usable)
	var moves []Move
	end := len(usable) // those from there on receive already
	for i := 0; i < end && len(moves) < mostPlanned; i++ {
		passed := passOn(usable[i], usable[i+1:end], mean)
		if len(passed) == 0 {
			break
		}
		moves = append(moves, passed...)
		end -= len(passed)
	}
	return moves[:min(len(moves), mostPlanned)]
}

// passOn returns the moves from one owner to receivers, which are ordered by load
// with the least loaded last.
func passOn(from Load, receivers []Load, mean float64) []Move {
	var moves []Move
	for i := len(receivers) - 1; i >= 0 && len(moves) < MostMoves; i-- {
		to := receivers[i]
		if from.ratio() < startRatio*mean || from.ratio() < leastLoad || to.ratio() > mean {
			break
		}
		demand := min(between(from, to), from.Demand-mean*from.Room())
		if demand < leastMove*float64(from.Slots) {
			break
		}
		moves = append(moves, Move{From: from.Member, To: to.Member, Demand: demand})
		from.Demand -= demand
	}
	return moves
}

// meanRatio returns the load that all targets would have if it were even.
func meanRatio(loads []Load) float64 {
	demand, room := 0.0, 0.0
	for _, l := range loads {
		demand += l.Demand
		room += l.Room()
	}
	return demand / room
}

// between returns how much of from's work makes the two targets equally loaded.
// Work takes a target that is twice as quick half the time.
func between(from, to Load) float64 {
	exchange := 1.0
	if from.Service > 0 && to.Service > 0 {
		exchange = min(max(to.Service.Seconds()/from.Service.Seconds(), 0.5), 2)
	}
	// from.Demand - x over from's room equals to.Demand + exchange*x over to's.
	x := (from.Demand*to.Room() - to.Demand*from.Room()) / (to.Room() + exchange*from.Room())
	return min(x, mostMove*float64(from.Slots))
}
