package request

import "time"

// TargetNotice is what a target states about itself in its answers.
type TargetNotice struct {
	// Instance is the id of the target's process.
	Instance string
	// Limited is set if the target names a limit, and Limit is then the number of
	// requests per second that it accepts from all daemons together.
	Limited bool
	Limit   float64
	// Leaving is set if the target is shutting down. LeavingFor is how long ago the
	// first answer that said so was received.
	Leaving    bool
	LeavingFor time.Duration
	// Load is the target's load at the time of the answer, or nil if the answer has none.
	// It is not passed on with the notice.
	Load *ServerLoad
}

// ServerLoad is the load that a target states in an answer.
type ServerLoad struct {
	// Running and Waiting are the numbers of its requests, and Slots that of its slots.
	Running, Waiting, Slots int
	// Pace is how long work takes at present as a multiple of the usual time, or 0 if the
	// target does not say.
	Pace float64
}
