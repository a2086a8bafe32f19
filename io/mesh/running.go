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
)

// cutRunMemory is how long a request whose connection was cut counts among those that the
// target was running when it ended. That the process has ended may become known only from
// the first heartbeat of the next one.
const cutRunMemory = 5 * time.Second

// run is a request that was sent to the target's process instance.
type run struct {
	head        *request.Head
	fingerprint quarantine.Fingerprint
	instance    string
	sentAt      time.Time
	// cutAt is when the connection was cut before the answer was complete, or zero.
	cutAt time.Time
}

// describe returns the run as a string for a log line.
func (r *run) describe(now time.Time) string {
	return fmt.Sprintf("request=%s fingerprint=%v route=%s ran_ms=%d", r.head.ID, r.fingerprint, r.head.Route, now.Sub(r.sentAt).Milliseconds())
}

// fingerprint returns the fingerprint of a request, and a reader of its whole body. It
// reads the start of the body, and waits for it if it has not arrived.
func fingerprint(head *request.Head, body io.Reader) (quarantine.Fingerprint, io.Reader, error) {
	prefix, err := quarantine.ReadPrefix(body, head.ContentLength)
	if err != nil {
		return quarantine.Fingerprint{}, nil, err
	}
	if len(prefix) > 0 {
		body = io.MultiReader(bytes.NewReader(prefix), body)
	}
	return quarantine.Fingerprint{Head: quarantine.HashHead(head), Body: quarantine.HashBody(prefix)}, body, nil
}

// endRun records that r has ended with res. If the connection was cut, endRun first finds
// out whether the target's process has ended.
func (m *Mesh) endRun(ctx context.Context, r *run, res outcome.Result) {
	wasCut := reasonOf(res) == outcome.ConnectionCut
	if wasCut {
		m.checkTarget(ctx, r.instance)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, r)
	now := boottime.Now()
	m.cutRuns = slices.DeleteFunc(m.cutRuns, func(cut *run) bool { return now.Sub(cut.cutAt) > cutRunMemory })
	if wasCut && r.instance == m.target.Instance && !m.target.down {
		r.cutAt = now
		m.cutRuns = append(m.cutRuns, r)
	}
}

// checkTarget marks the target as down if nothing listens at its address and instance is
// still its current process.
func (m *Mesh) checkTarget(ctx context.Context, instance string) {
	m.mu.Lock()
	current := m.target.Instance == instance && !m.target.down
	m.mu.Unlock()
	if current && m.targetClient.RefusesConnections(ctx) {
		m.markTargetDown(instance)
	}
}

// takeRunsOf removes the requests that the target's process instance was running, or whose
// connection was cut shortly before now, and returns them in the order in which they were
// sent. The caller holds the mutex.
func (m *Mesh) takeRunsOf(now time.Time, instance string) []*run {
	var runs []*run
	for r := range m.running {
		if r.instance == instance {
			runs = append(runs, r)
			delete(m.running, r)
		}
	}
	for _, r := range m.cutRuns {
		if r.instance == instance && now.Sub(r.cutAt) <= cutRunMemory {
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
	runs := m.takeRunsOf(now, t.Instance)
	if !t.leavingSince.IsZero() || len(runs) == 0 {
		return
	}
	m.metrics.targetCrashes.Inc(1)
	descriptions := make([]string, 0, len(runs))
	for _, r := range runs {
		descriptions = append(descriptions, r.describe(now))
	}
	m.log.Warn("target ended while it ran requests", "instance", t.Instance, "running", len(runs), "requests", descriptions)
}
