package outcome

// Reasons returns all reasons, in the order in which they are documented. Logs,
// metrics, traces and the operations page name no others.
func Reasons() []Reason {
	return []Reason{
		Overloaded, QueueFull, Shed, NoOwner, NotOwner, NoLease, Fenced, Starting, Draining, Unreachable,
		NoService, Malformed, TooLarge, DeadlinePast, Cancelled, TimedOut, ConnectionCut, Duplicate,
	}
}
