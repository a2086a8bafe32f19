package placement

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// overloadRatio is the utilization of a target, relative to the mean of all
	// targets, at or above which it is overloaded and keys move away from it.
	overloadRatio = 1.2
	// minUtilization is the utilization of a target below which no keys move away
	// from it, because it does not matter then where the requests run.
	minUtilization = 0.25
	// coldFactor is the capacity of a target that has just started, relative to
	// that of a warm target.
	coldFactor = 0.5
	// minMoveDemand is the smallest demand that is worth a move, in seconds of
	// target time per second for each slot of the owner.
	minMoveDemand = 0.03
	// maxMoveDemand is the largest demand of a move, in the unit of minMoveDemand.
	// The limit bounds the effect of a wrong estimate.
	maxMoveDemand = 0.4
)

// MaxMoves is the maximum number of moves that an owner makes at the same time.
const MaxMoves = 3

// maxPlannedMoves is the maximum number of moves in a plan. Every move is a change
// that all members apply and that delays all other changes, and with many targets
// some loads always differ by chance.
const maxPlannedMoves = 6

// Load is a member's report of the load of the target beside it.
type Load struct {
	// Member is the address of the reporting member.
	Member netip.AddrPort
	// Accepting is set if the target accepts further keys.
	Accepting bool
	// Cold is set if the target has just started.
	Cold bool
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Demand is the requested target time, in seconds per second.
	Demand float64
	// ServiceTime is the mean target time of a request, or 0 if it is unknown.
	ServiceTime time.Duration
	// MaxRate is the number of requests per second that the target accepts, or 0 if it
	// names no limit.
	MaxRate float64
	// ColdFor is how much longer the target sustains only MaxRate because it is cold, or 0.
	ColdFor time.Duration
	// Pace is how long work takes at the target, averaged over some seconds, as a multiple
	// of the usual time, or 0 if it is unknown. If it is known, Demand and ServiceTime are
	// times at the usual pace.
	Pace float64
}

// utilization returns the demand as a share of the target's capacity.
func (l Load) utilization() float64 { return l.Demand / l.Capacity() }

// Capacity returns the planned capacity of the target: the maximum demand that it
// should get, in seconds of target time per second. It is one second per slot, and
// coldFactor of that for a cold target, or what MaxRate allows if that is less.
func (l Load) Capacity() float64 {
	capacity := float64(max(l.Slots, 1))
	if l.Cold {
		capacity *= coldFactor
	}
	if l.Pace > 0 {
		capacity /= l.Pace
	}
	if l.MaxRate > 0 && l.ServiceTime > 0 {
		capacity = min(capacity, l.MaxRate*l.ServiceTime.Seconds())
	}
	return capacity
}

// AcceptingLoads returns the loads of the members that accept the keys of a
// lost or leaving member, ordered by utilization with the least loaded first.
func AcceptingLoads(loads []Load) []Load {
	accepting := slices.DeleteFunc(slices.Clone(loads), func(l Load) bool { return !l.Accepting })
	slices.SortFunc(accepting, func(a, b Load) int { return cmp.Compare(a.utilization(), b.utilization()) })
	return accepting
}

// SampleByCapacity reports which of the loads take part in the choice of the target of
// one request. A target that names a limit takes part with the probability of its
// capacity relative to the largest one, so that it is offered about what it accepts
// although its slots are free; all others take part. random returns random numbers in
// [0, 1). At least one load takes part if there is any.
func SampleByCapacity(loads []Load, random func() float64) []bool {
	sample := make([]bool, len(loads))
	largest, largestAt := 0.0, 0
	for i, l := range loads {
		if l.Capacity() > largest {
			largest, largestAt = l.Capacity(), i
		}
	}
	for i, l := range loads {
		sample[i] = l.MaxRate == 0 || i == largestAt || random()*largest < l.Capacity()
	}
	return sample
}

// MaxReceivers is the maximum number of members among which the keys of a leaving
// member are divided. With 12 receivers of equal load, each gets a twelfth more
// load, and no range is split into more than 12 parts.
const MaxReceivers = 12

// Receivers returns the members that receive the keys of a leaving member: at
// most MaxReceivers of the least loaded of accepting, which must be in the
// order of AcceptingLoads. They are chosen at random among twice as many
// members, because several members may leave at the same time.
func Receivers(accepting []Load) []Load {
	if len(accepting) <= MaxReceivers {
		return accepting
	}
	candidates := slices.Clone(accepting[:min(len(accepting), 2*MaxReceivers)])
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:MaxReceivers]
}

// Move is a request to the owner From to transfer keys to To. Demand is the demand
// of these keys, in seconds of From's target time per second.
type Move struct {
	From, To netip.AddrPort
	Demand   float64
}

// Plan returns the moves that balance the loads of one service's targets. An
// overloaded owner transfers keys to up to MaxMoves receivers, until its utilization
// is at the mean, because a single receiver may lack the capacity for a hot range.
// Each receiver takes part in only one move, because the effect of a move is visible
// only in the next reports. A plan covers the most loaded owners; the others wait
// for the next plan.
func Plan(loads []Load) []Move {
	usable := slices.DeleteFunc(slices.Clone(loads), func(l Load) bool { return !l.Accepting })
	if len(usable) < 2 {
		return nil
	}
	slices.SortFunc(usable, func(a, b Load) int { return cmp.Compare(b.utilization(), a.utilization()) })
	mean := meanUtilization(usable)
	limits := limitsOf(usable, mean)
	var moves []Move
	end := len(usable) // usable[end:] already receive keys in this plan
	for i := 0; i < end && len(moves) < maxPlannedMoves; i++ {
		added := movesFrom(usable[i], usable[i+1:end], mean, limits)
		if len(added) == 0 {
			break
		}
		moves = append(moves, added...)
		end -= len(added)
	}
	return moves[:min(len(moves), maxPlannedMoves)]
}

// movesFrom returns the moves from one owner to receivers, which are ordered by
// utilization with the least loaded last. mean is the mean utilization.
func movesFrom(from Load, receivers []Load, mean float64, limits moveLimits) []Move {
	var moves []Move
	for i := len(receivers) - 1; i >= 0 && len(moves) < MaxMoves; i-- {
		to := receivers[i]
		if from.utilization() < limits.overloadRatio(from)*mean || from.utilization() < limits.minUtilization || to.utilization() > mean {
			break
		}
		demand := min(balancingDemand(from, to), from.Demand-mean*from.Capacity())
		if demand < limits.minMoveDemand*float64(from.Slots) {
			break
		}
		moves = append(moves, Move{From: from.Member, To: to.Member, Demand: demand})
		from.Demand -= demand
	}
	return moves
}

// meanUtilization returns the total demand as a share of the total capacity.
func meanUtilization(loads []Load) float64 {
	demand, capacity := 0.0, 0.0
	for _, l := range loads {
		demand += l.Demand
		capacity += l.Capacity()
	}
	return demand / capacity
}

// balancingDemand returns how much of from's demand has to move to the other
// target until both have the same utilization, at most maxMoveDemand per slot
// of from. Demand is in target time, so the same requests make half the demand
// at a target that is twice as fast.
func balancingDemand(from, to Load) float64 {
	serviceRatio := 1.0
	if from.ServiceTime > 0 && to.ServiceTime > 0 {
		serviceRatio = min(max(to.ServiceTime.Seconds()/from.ServiceTime.Seconds(), 0.5), 2)
	}
	// x solves (from.Demand-x)/from.Capacity() =
	// (to.Demand+serviceRatio*x)/to.Capacity().
	x := (from.Demand*to.Capacity() - to.Demand*from.Capacity()) / (to.Capacity() + serviceRatio*from.Capacity())
	return min(x, maxMoveDemand*float64(from.Slots))
}
