package main

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"siskinknot/io/tcp"
)

const (
	// acceptCheckInterval is the time between two checks of the interfaces: less than callers
	// wait for a connection.
	acceptCheckInterval = 500 * time.Millisecond
	// acceptLogInterval is the time between two log lines on the accepted connections.
	acceptLogInterval = 5 * time.Second
	// maxAcceptHold is how long an interface may take between two calls of accept without a
	// log line. It does nothing there that waits for others.
	maxAcceptHold = 100 * time.Millisecond
)

// watchedInterface is an interface of the daemon whose accepting of connections is watched.
type watchedInterface struct {
	name     string
	acceptor *tcp.Acceptor
	// last is the load at the last check. delayed is set while connections are not accepted.
	last    tcp.AcceptLoad
	delayed bool
	// logged is the load at the last log line, with the longest hold and queue since then.
	logged      tcp.AcceptLoad
	longestHold time.Duration
	longestWait int

	accepted, failed tally.Counter
	hold             tally.Histogram
	queued           tally.Gauge
}

// newWatchedInterface returns a watchedInterface whose metrics are in scope.
func newWatchedInterface(name string, acceptor *tcp.Acceptor, scope tally.Scope) *watchedInterface {
	scope = scope.Tagged(map[string]string{"interface": name})
	return &watchedInterface{
		name:     name,
		acceptor: acceptor,
		accepted: scope.Counter("connections_accepted"),
		failed:   scope.Counter("accept_errors"),
		hold:     scope.Histogram("accept_hold", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 4, 8)),
		queued:   scope.Gauge("connections_queued"),
	}
}

// acceptWatch logs and counts how the interfaces accept connections. A daemon that answers that it
// is ready while its callers' connections are not accepted has a line in the log that tells
// whether the goroutine that accepts was held up, or connections waited although it was not.
type acceptWatch struct {
	log   hclog.Logger
	ready func() bool
	// callers has the connections of callers, and callersLogged their load at the last log line.
	callers       *tcp.IdleConnCloser
	callersLogged tcp.ConnLoad
	interfaces    []*watchedInterface
	tomb          tomb.Tomb
}

// watchAccepts returns an acceptWatch for the given interfaces. It runs a goroutine until Close.
func watchAccepts(log hclog.Logger, ready func() bool, callers *tcp.IdleConnCloser, interfaces []*watchedInterface) *acceptWatch {
	w := &acceptWatch{log: log, ready: ready, callers: callers, interfaces: interfaces}
	w.tomb.Go(func() error {
		ticker := time.NewTicker(acceptCheckInterval)
		defer ticker.Stop()
		checkedAt := time.Now()
		loggedAt := checkedAt
		for {
			select {
			case <-w.tomb.Dying():
				return nil
			case <-ticker.C:
				now := time.Now()
				late := now.Sub(checkedAt) - acceptCheckInterval
				if late < -acceptCheckInterval/2 {
					continue // the last one was late
				}
				checkedAt = now
				for _, i := range w.interfaces {
					w.check(i, i.acceptor.TakeLoad(now), late)
				}
				if now.Sub(loggedAt) >= acceptLogInterval {
					loggedAt = now
					w.logAccepted()
				}
			}
		}
	})
	return w
}

// Close ends the goroutine, and always returns nil.
func (w *acceptWatch) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

// check records the load of an interface, and logs the beginning and the end of a time in which
// its connections are not accepted. late is how late the check itself is.
func (w *acceptWatch) check(i *watchedInterface, load tcp.AcceptLoad, late time.Duration) {
	accepted, failed := load.Accepted-i.last.Accepted, load.Failed-i.last.Failed
	i.accepted.Inc(accepted)
	i.failed.Inc(failed)
	i.hold.RecordDuration(load.LongestHold)
	i.queued.Update(float64(load.Queued))
	i.longestHold, i.longestWait = max(i.longestHold, load.LongestHold), max(i.longestWait, load.Queued)
	// One queued connection may have arrived just now.
	delayed := load.LongestHold > maxAcceptHold || load.Queued > 0 && i.last.Queued > 0 && accepted == 0
	i.last = load
	if delayed == i.delayed {
		return
	}
	i.delayed = delayed
	if !delayed {
		w.log.Info("connections are accepted in time again", "interface", i.name, "accepted", load.Accepted, "queued", load.Queued)
		return
	}
	w.log.Warn("connections are accepted late", "interface", i.name, "held_ms", load.LongestHold.Milliseconds(), "queued", load.Queued,
		"accepted", load.Accepted, "errors", failed, "check_late_ms", max(0, late).Milliseconds(), "ready", w.ready())
}

// logAccepted logs the connections that were accepted since its last call.
func (w *acceptWatch) logAccepted() {
	log := w.log
	for _, i := range w.interfaces {
		log = log.With(i.name, i.last.Accepted-i.logged.Accepted, i.name+"_errors", i.last.Failed-i.logged.Failed,
			i.name+"_held_us", i.longestHold.Microseconds(), i.name+"_queued", i.longestWait)
		i.logged, i.longestHold, i.longestWait = i.last, 0, i.last.Queued
	}
	load := w.callers.Load()
	log.Info("connections accepted", "ready", w.ready(), "callers_open", load.Open, "callers_idle", load.Idle,
		"callers_evicted", load.Evicted-w.callersLogged.Evicted, "callers_rejected", load.Rejected-w.callersLogged.Rejected)
	w.callersLogged = load
}
