package placement

import "time"

// AdjustCold expresses the loads of cold targets in the service time of the others, so that their
// capacities can be compared. A cold target takes longer for each request or has not been measured
// yet, while what it sustains is a number of requests. It changes nothing if no target is cold, or
// if no other one has been measured.
func AdjustCold(loads []Load) {
	total, measured, cold := time.Duration(0), 0, false
	for i := range loads {
		switch {
		case loads[i].ColdFor > 0:
			cold = true
		case loads[i].ServiceTime > 0:
			total += loads[i].ServiceTime
			measured++
		}
	}
	if !cold || measured == 0 {
		return
	}
	mean := total / time.Duration(measured)
	for i := range loads {
		l := &loads[i]
		if l.ColdFor <= 0 {
			continue
		}
		if l.ServiceTime > 0 {
			l.Demand *= mean.Seconds() / l.ServiceTime.Seconds()
		}
		l.ServiceTime = mean
	}
}
