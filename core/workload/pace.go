package workload

import (
	"math"
	"time"
)

const (
	// MinPace is the lowest pace that is used; lower ones count as it.
	MinPace = 0.1
	// MaxPace is the highest pace that is used; higher ones count as it.
	MaxPace = 100
	// believedFor is the age at which a pace counts no more than the average of
	// those before it. Targets change their pace several times a second.
	believedFor = 500 * time.Millisecond
	// averagedOver is the time constant of the average, long enough that a change
	// of some hundred milliseconds hardly shows in it.
	averagedOver = 5 * time.Second
	// knownFor is how long a pace is known after the last report of one.
	knownFor = time.Minute
)

// ValidPace returns pace within its bounds, or 0 if it is no pace.
func ValidPace(pace float64) float64 {
	if math.IsNaN(pace) || math.IsInf(pace, 0) || pace <= 0 {
		return 0
	}
	return min(max(pace, MinPace), MaxPace)
}

// Pace follows how long work takes on a target's VM, as a multiple of the usual
// time. The zero value knows nothing. It is not safe for concurrent use.
type Pace struct {
	latest, average float64
	// at is when the latest pace was recorded, and averageAt up to when the average counts.
	at, averageAt time.Time
}

// Record records the pace at now. It ignores a pace that is not a positive number, or
// that is older than the latest one.
func (p *Pace) Record(now time.Time, pace float64) {
	pace = ValidPace(pace)
	if pace == 0 || now.Before(p.at) {
		return
	}
	if p.average == 0 || now.Sub(p.averageAt) > knownFor {
		p.average = pace
	} else {
		// The former pace held until now, as far as it can be believed.
		held := min(now.Sub(p.averageAt), believedFor)
		p.average += (p.latest - p.average) * (1 - math.Exp(-held.Seconds()/averagedOver.Seconds()))
	}
	p.latest, p.at, p.averageAt = pace, now, now
}

// RecordAverage records an average that the target's daemon reports. It replaces the
// one computed here, which misses changes between reports.
func (p *Pace) RecordAverage(now time.Time, average float64) {
	average = ValidPace(average)
	if average == 0 || now.Before(p.averageAt) {
		return
	}
	if p.average == 0 || now.Sub(p.averageAt) > knownFor {
		p.latest = average
	}
	p.average, p.averageAt = average, now
}

// At returns the expected pace at now: the latest one, which approaches the average as
// it becomes older, or 0 if it is unknown.
func (p *Pace) At(now time.Time) float64 {
	if !p.Known(now) {
		return 0
	}
	share := 1 - max(now.Sub(p.at).Seconds(), 0)/believedFor.Seconds()
	return p.average + (p.latest-p.average)*max(share, 0)
}

// Average returns the average pace of the last seconds, or 0 if it is unknown.
func (p *Pace) Average(now time.Time) float64 {
	if !p.Known(now) {
		return 0
	}
	return p.average
}

// Known reports whether a pace was recorded within the last minute.
func (p *Pace) Known(now time.Time) bool {
	return p.average > 0 && now.Sub(p.averageAt) <= knownFor
}
