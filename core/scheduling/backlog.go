package scheduling

import "time"

// minRemainingShare is the least share of its service time that a running request is
// expected to need further, however long it has run.
const minRemainingShare = 0.15

// Backlog returns the service time that the waiting and the running requests are expected
// to need in total, where serviceTime returns the mean service time of a route at the
// usual pace, and pace is by how much longer requests take at present. serviceTime must not
// call the Scheduler.
func (s *Scheduler) Backlog(now time.Time, pace float64, serviceTime func(route string) time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := time.Duration(0)
	for _, level := range s.levels {
		for _, w := range level.queue {
			total += serviceTime(w.Route)
		}
		for _, w := range level.late {
			total += serviceTime(w.Route)
		}
	}
	for p := range s.sent {
		mean := serviceTime(p.req.Route)
		done := time.Duration(float64(max(now.Sub(p.sentAt), 0)) / pace)
		total += max(mean-done, time.Duration(float64(mean)*minRemainingShare))
	}
	return total
}
