package placement

import (
	"math"
	"slices"
)

const (
	// quietUtilization is the minUtilization of a service whose targets report a pace.
	// Below it, chance decides which target is the busiest.
	quietUtilization = 0.04
	// quietMoveShare is the smallest demand that is worth a move there, as a share of the
	// mean utilization.
	quietMoveShare = 0.1
	// noiseFactor is how many standard deviations of the measured demand an owner must
	// exceed the mean by.
	noiseFactor = 2.0
)

// moveLimits are the limits below which no keys move.
type moveLimits struct {
	minUtilization, minMoveDemand float64
	// paced is set if the targets report their pace.
	paced bool
}

// limitsOf returns the limits for loads with the given mean utilization. If targets report
// a pace, keys move at a low utilization too, because a target that is busier than the
// others gets slow first when its pace changes.
func limitsOf(loads []Load, mean float64) moveLimits {
	if !slices.ContainsFunc(loads, func(l Load) bool { return l.Pace > 0 }) {
		return moveLimits{minUtilization: minUtilization, minMoveDemand: minMoveDemand}
	}
	return moveLimits{minUtilization: quietUtilization, minMoveDemand: min(minMoveDemand, quietMoveShare*mean), paced: true}
}

// overloadRatio returns the utilization of an owner with the given load, relative to the
// mean, from which on keys move away from it. With few requests, the measured demand
// differs from the mean by chance.
func (l moveLimits) overloadRatio(load Load) float64 {
	if !l.paced || load.ServiceTime <= 0 || load.Demand <= 0 {
		return overloadRatio
	}
	counted := load.Demand / load.ServiceTime.Seconds() * demandHalfLife.Seconds() / math.Ln2
	return max(overloadRatio, 1+noiseFactor/math.Sqrt(counted))
}
