package mesh

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"siskinknot/core/outcome"
	"siskinknot/core/quarantine"
	"siskinknot/core/request"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
)

// cutRunMemory is how long a request whose connection was cut counts among those that the
// target was running when it ended. That the process has ended may become known only from
// the first heartbeat of the next one.
const cutRunMemory = 5 * time.Second

const (
	// cutNoticeTime is how long it may take, once the first cut connection of a process that
	// has ended is noticed, until all are. cutPollInterval is the time between two looks.
	cutNoticeTime   = 20 * time.Millisecond
	cutPollInterval = time.Millisecond
)

// process identifies a process of the target. Processes that follow each other may have the
// same instance.
type process struct {
	instance string
	born     int64
}

// process returns the target's current process.
func (t *localTarget) process() process { return process{t.Instance, t.Born} }

// run is a request that was sent to the target.
type run struct {
	head        *request.Head
	fingerprint quarantine.Fingerprint
	process     process
	sentAt      time.Time
	// cut is set once the connection was cut before the answer was complete, and cutAt is when
	// that was, if the process seemed to go on.
	cut   bool
	cutAt time.Time
	// calls is the number of calls that the target has made for the request, and callFailed is
	// set if one of them failed (callPaths).
	calls      int
	callFailed bool
	// onTrial is set if the request was a suspect when it was sent, and crashed once it is
	// quarantined because the target's process has ended.
	onTrial, crashed bool
}

// describe returns the run as a string for a log line.
func (r *run) describe(now time.Time) string {
	return fmt.Sprintf("request=%s fingerprint=%v route=%s ran_ms=%d", r.head.ID, r.fingerprint, r.head.Route, now.Sub(r.sentAt).Milliseconds())
}

// fingerprint returns the fingerprint of a request, and a reader of its whole body. It
// reads the start of the body, and waits until it has arrived or ctx ends.
func fingerprint(ctx context.Context, head *request.Head, body io.Reader) (quarantine.Fingerprint, io.Reader, error) {
	prefix, err := readBodyPrefix(ctx, head, body)
	if err != nil {
		return quarantine.Fingerprint{}, nil, err
	}
	if len(prefix) > 0 {
		body = io.MultiReader(bytes.NewReader(prefix), body)
	}
	return quarantine.Fingerprint{Head: quarantine.HashHead(head), Body: quarantine.HashBody(prefix)}, body, nil
}

// readBodyPrefix reads the start of the body of a request. If ctx ends first, the read goes on
// until the body is closed.
func readBodyPrefix(ctx context.Context, head *request.Head, body io.Reader) ([]byte, error) {
	if 0 <= head.ContentLength && head.ContentLength <= peer.InlineBytes {
		return quarantine.ReadPrefix(body, head.ContentLength) // the whole body is here
	}
	type result struct {
		prefix []byte
		err    error
	}
	read := make(chan result, 1)
	go func() {
		prefix, err := quarantine.ReadPrefix(body, head.ContentLength)
		read <- result{prefix, err}
	}()
	select {
	case r := <-read:
		return r.prefix, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// endRun records that r has ended with res, and returns its result. If the connection was
// cut, endRun first finds out whether the target's process has ended.
func (m *Mesh) endRun(ctx context.Context, r *run, res outcome.Result) outcome.Result {
	wasCut := reasonOf(res) == outcome.ConnectionCut
	if wasCut {
		m.mu.Lock()
		r.cut = true
		m.mu.Unlock()
		m.checkTarget(ctx, r.process)
	}
	defer m.checkRefusingTarget(r.process)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, r)
	m.callPaths.ended(boottime.Now(), r)
	if r.onTrial {
		m.suspects.EndTrial(r.fingerprint)
	}
	now := boottime.Now()
	m.cutRuns = slices.DeleteFunc(m.cutRuns, func(cut *run) bool { return now.Sub(cut.cutAt) > cutRunMemory })
	if wasCut && r.process == m.target.process() && !m.target.down {
		r.cutAt = now
		m.cutRuns = append(m.cutRuns, r)
	}
	switch res.(type) {
	case outcome.Answered:
		m.recordCompletion(r) // also if the process ended just after it had answered
	case outcome.Unknown:
		if r.crashed {
			return outcome.Unknown{Reason: outcome.TargetCrashed}
		}
	case outcome.NotRun:
	}
	return res
}

// checkTarget marks the target as down if nothing listens at its address and p is still its
// current process.
func (m *Mesh) checkTarget(ctx context.Context, p process) {
	m.mu.Lock()
	current := m.target.process() == p && !m.target.down
	m.mu.Unlock()
	if current && m.targetClient.RefusesConnections(ctx) {
		m.recordRefusedConnection(p)
	}
}

// recordRefusedConnection records that nothing listens at the target's address. Its process p
// has ended, unless it is still running requests: a target that leaves may accept no more
// connections while it completes them. It then keeps its keys until it has completed the
// requests, or until its grants have expired. The connections of a process that ends are cut
// at the same time, but that is noticed one after the other.
func (m *Mesh) recordRefusedConnection(p process) {
	for {
		now := boottime.Now()
		m.mu.Lock()
		t := &m.target
		if t.process() != p || t.Instance == "" || t.down {
			m.mu.Unlock()
			return
		}
		atWork := m.atWork(p)
		if atWork && t.refusingSince.IsZero() {
			t.refusingSince = now
			m.log.Info("target refuses connections while it runs requests", "instance", t.Instance, "running", len(m.running))
			m.notify()
		}
		noticed := now.Sub(t.refusingSince) > cutNoticeTime
		m.mu.Unlock()
		switch {
		case !atWork:
			m.markTargetDown(p)
			return
		case noticed:
			return // the end of its last request is the next occasion
		}
		time.Sleep(cutPollInterval)
	}
}

// atWork reports whether the target's process p is running a request whose connection has not
// been cut. The caller holds the mutex.
func (m *Mesh) atWork(p process) bool {
	for r := range m.running {
		if r.process == p && !r.cut {
			return true
		}
	}
	return false
}

// checkRefusingTarget finds out whether the target's process p, which accepts no connections,
// has ended, if the last of its requests has.
func (m *Mesh) checkRefusingTarget(p process) {
	m.mu.Lock()
	due := m.target.process() == p && !m.target.down && !m.target.refusingSince.IsZero() && !m.atWork(p)
	m.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, cancel := m.withTimeout(grantTimeout)
		defer cancel()
		m.checkTarget(ctx, p)
	}()
}

// takeRunsOf removes the requests that the target's process p was running, or whose
// connection was cut shortly before now, and returns them in the order in which they were
// sent. The caller holds the mutex.
func (m *Mesh) takeRunsOf(now time.Time, p process) []*run {
	var runs []*run
	for r := range m.running {
		if r.process == p {
			runs = append(runs, r)
			delete(m.running, r)
			m.callPaths.ended(now, r)
		}
	}
	for _, r := range m.cutRuns {
		if r.process == p && now.Sub(r.cutAt) <= cutRunMemory {
			runs = append(runs, r)
		}
	}
	m.cutRuns = nil
	slices.SortFunc(runs, func(a, b *run) int { return a.sentAt.Compare(b.sentAt) })
	return runs
}

// recordTargetEnd records that the target's current process has ended at now. It was not
// expected to if it had not announced its shutdown. The caller holds the mutex.
func (m *Mesh) recordTargetEnd(now time.Time) {
	t := &m.target
	runs := m.takeRunsOf(now, t.process())
	if !t.leavingSince.IsZero() || len(runs) == 0 {
		return
	}
	m.metrics.targetCrashes.Inc(1)
	descriptions := make([]string, 0, len(runs))
	for _, r := range runs {
		descriptions = append(descriptions, r.describe(now))
	}
	m.log.Warn("target ended while it ran requests", "instance", t.Instance, "running", len(runs), "requests", descriptions)
	m.recordCrash(now, runs)
}
