package outcome

// Reasons returns all reasons in the order in which the operations page documents
// them. Logs, metrics, traces and that page contain no other reasons.
func Reasons() []Reason {
	return []Reason{
		Busy, Overloaded, CallsFailing, QueueFull, Shed, NoOwner, NotOwner, NoLease, Fenced, Starting, UnconfirmedConfig, Draining, Stopping, Evacuated, Unreachable,
		NoService, Malformed, TooLarge, DeadlinePast, Cancelled, TimedOut, ConnectionCut, Duplicate,
		Quarantined, OnTrial, TargetCrashed,
	}
}
