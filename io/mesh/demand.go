package mesh

import (
	"time"

	"siskinknot/core/decay"
	"siskinknot/core/request"
)

// demandHalfLife is the time in which an old arrival counts half.
const demandHalfLife = 1500 * time.Millisecond

// demand measures the target time that callers ask for: the arrivals, refused
// ones too, times the mean target time of their class. What the target has done
// says nothing of what it could not do.
type demand struct {
	asked   decay.Rate
	service [request.Classes]time.Duration
	all     time.Duration
}

// newDemand returns the demand before the first request.
func newDemand() demand { return demand{asked: decay.Rate{HalfLife: demandHalfLife}} }

// arrived notes a request that came at now.
func (d *demand) arrived(now time.Time, class request.Class) {
	d.asked.Add(now, d.service[class].Seconds())
}

// served notes that the target ran a request in took.
func (d *demand) served(class request.Class, took time.Duration) {
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

// meanService returns the mean target time of a request; 0 if unknown.
func (d *demand) meanService() time.Duration { return d.all }
