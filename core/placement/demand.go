package placement

import (
	"time"

	"siskinknot/core/decay"
	"siskinknot/core/request"
)

// demandHalfLife is the time in which an old arrival counts half.
const demandHalfLife = time.Second

// Demand measures the target time that callers ask for: the arrivals, refused
// ones too, times the mean target time of their class. What the target has done
// says nothing of what it could not do. It is not safe for concurrent use.
type Demand struct {
	asked   decay.Rate
	service [request.Classes]time.Duration
	all     time.Duration
}

// NewDemand returns the demand before the first request.
func NewDemand() Demand { return Demand{asked: decay.Rate{HalfLife: demandHalfLife}} }

// Arrived notes a request that came at now, and returns the target time that it
// asks for.
func (d *Demand) Arrived(now time.Time, class request.Class) time.Duration {
	d.asked.Add(now, d.service[class].Seconds())
	return d.service[class]
}

// Served notes that the target ran a request in took.
func (d *Demand) Served(class request.Class, took time.Duration) {
	const weight = 16
	learn := func(mean *time.Duration) {
		if *mean == 0 {
			*mean = took
			return
		}
		*mean += (took - *mean) / weight
	}
	learn(&d.service[class])
	learn(&d.all)
}

// PerSecond returns the target time that is asked for a second.
func (d *Demand) PerSecond(now time.Time) float64 { return d.asked.PerSecond(now) }

// Take notes that requests which asked for perSecond will not come any more.
func (d *Demand) Take(now time.Time, perSecond float64) { d.asked.Take(now, perSecond) }

// MeanService returns the mean target time of a request; 0 if unknown.
func (d *Demand) MeanService() time.Duration { return d.all }
