package mesh

import (
	"math"
	"time"

	"siskinknot/core/request"
)

// demandHalfLife is the time in which an old arrival counts half.
const demandHalfLife = 1500 * time.Millisecond

// demand measures the target time that callers ask for: the arrivals, refused
// ones too, times the mean target time of their class. What the target has done
// says nothing of what it could not do.
type demand struct {
	sum     float64
	at      time.Time
	service [request.Classes]time.Duration
	all     time.Duration
}

// arrived notes a request that came at now.
func (d *demand) arrived(now time.Time, class request.Class) {
	d.decay(now)
	d.sum += d.service[class].Seconds()
}

// moved notes that keys which used perSecond target time a second went to another
// member: their requests will not come here any more.
func (d *demand) moved(now time.Time, perSecond float64) {
	d.decay(now)
	d.sum = max(0, d.sum-perSecond*demandHalfLife.Seconds()/math.Ln2)
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

// decay makes the sum one as of now.
func (d *demand) decay(now time.Time) {
	if passed := now.Sub(d.at); passed > 0 {
		d.sum *= math.Exp2(-passed.Seconds() / demandHalfLife.Seconds())
		d.at = now
	}
}

// perSecond returns the target time asked for a second.
func (d *demand) perSecond(now time.Time) float64 {
	d.decay(now)
	return d.sum / (demandHalfLife.Seconds() / math.Ln2)
}

// meanService returns the mean target time of a request; 0 if unknown.
func (d *demand) meanService() time.Duration { return d.all }
