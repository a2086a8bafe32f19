package placement

import (
	"time"

	"siskinknot/core/decay"
	"siskinknot/core/request"
)

// demandHalfLife is the time after which an arrival counts half.
const demandHalfLife = time.Second

// Demand measures the target time per second that callers request. Each arrival,
// including those that are refused, counts with the mean target time of its class.
// The time that the target actually spent is not a measure of the demand, because it
// omits the requests that the target had no capacity for. Demand is not safe for
// concurrent use.
type Demand struct {
	requested decay.Rate
	// classMean is the mean target time of the requests of each class, and
	// overallMean that of all requests. They are 0 if unknown.
	classMean   [request.NumClasses]time.Duration
	overallMean time.Duration
}

// NewDemand returns a Demand without any arrivals.
func NewDemand() Demand { return Demand{requested: decay.Rate{HalfLife: demandHalfLife}} }

// RecordArrival records a request of class that arrived at now. It returns the
// target time that the request is expected to need, which is 0 before the first
// call of RecordServed for the class.
func (d *Demand) RecordArrival(now time.Time, class request.Class) time.Duration {
	d.requested.Add(now, d.classMean[class].Seconds())
	return d.classMean[class]
}

// RecordServed records that the target ran a request of class and spent took on it.
func (d *Demand) RecordServed(class request.Class, took time.Duration) {
	const weight = 16
	update := func(mean *time.Duration) {
		if *mean == 0 {
			*mean = took
			return
		}
		*mean += (took - *mean) / weight
	}
	update(&d.classMean[class])
	update(&d.overallMean)
}

// PerSecond returns the demand at now, in seconds of target time per second.
func (d *Demand) PerSecond(now time.Time) float64 { return d.requested.PerSecond(now) }

// Subtract subtracts the demand of requests that will no longer arrive because their
// keys have moved. perSecond is in seconds of target time per second.
func (d *Demand) Subtract(now time.Time, perSecond float64) { d.requested.Subtract(now, perSecond) }

// MeanServiceTime returns the mean target time of a request, or 0 if it is unknown.
func (d *Demand) MeanServiceTime() time.Duration { return d.overallMean }
