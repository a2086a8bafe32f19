package mesh

import (
	"context"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/grantsync"
	"siskinknot/io/boottime"
)

const (
	// answerTransit is how long after an answer to a heartbeat was written the
	// target is expected to have applied it; both are on the same VM. A request that
	// arrives earlier is refused by the target.
	answerTransit = 20 * time.Millisecond
	// maxUnlisted is how many heartbeats in a row may omit a range that the answers
	// before them granted. After that the target is taken to have seen a higher
	// fence, which it does not report.
	maxUnlisted = 3
	// releasePollInterval is how often a release checks whether it is complete.
	releasePollInterval = 20 * time.Millisecond
)

// delivery is the way in which the target gets its grants: callDelivery or
// *heartbeatDelivery.
type delivery interface{ isDelivery() }

// callDelivery grants and releases each range with a call.
type callDelivery struct{}

// heartbeatDelivery lists the granted ranges in the answers to the target's
// heartbeats (package grantsync).
type heartbeatDelivery struct {
	// report is what the newest heartbeat lists, and reportAt when it arrived.
	report   grantsync.Report
	reportAt time.Time
}

func (callDelivery) isDelivery()       {}
func (*heartbeatDelivery) isDelivery() {}

// HeartbeatAnswer lists the ranges that the target is to hold, for the duration Hold
// from the sending of its heartbeat.
type HeartbeatAnswer struct {
	Offers []grantsync.Offer
	Hold   time.Duration
	// heartbeatAt is when the heartbeat arrived; instance and born identify the
	// process that sent it.
	heartbeatAt time.Time
	instance    string
	born        int64
}

// answerHeartbeat applies the report of a heartbeat that arrived at heartbeatAt, and
// returns the answer. It returns nil if the answer may not list any ranges: the
// directory or the lease does not tell what the target is to hold. The caller holds
// the mutex.
func (m *Mesh) answerHeartbeat(heartbeatAt time.Time, report *grantsync.Report) *HeartbeatAnswer {
	if report == nil {
		return nil
	}
	d, ok := m.delivery.(*heartbeatDelivery)
	if !ok {
		d = &heartbeatDelivery{}
		m.delivery = d
		m.log.Info("target takes grants from heartbeats", "instance", m.target.Instance)
	}
	d.report, d.reportAt = *report, heartbeatAt
	for _, h := range m.holdings {
		m.applyReport(heartbeatAt, report, h)
	}
	if !m.loaded || !m.divided() || !m.mayGrant() {
		return nil
	}
	// The lease may have been renewed after a pause that the heartbeat's arrival preceded,
	// and in which the target's clock stood still.
	hold := min(m.grantDuration(heartbeatAt), m.grantDuration(boottime.Now()))
	if hold < minGrant {
		return nil
	}
	return m.offer(heartbeatAt, hold, report)
}

// applyReport updates the state of h to a report that arrived at now. The caller
// holds the mutex.
func (m *Mesh) applyReport(now time.Time, report *grantsync.Report, h *holding) {
	held := h.grant.RecordReport(report, h.First, h.Last, h.Fence)
	if h.closeRequested && !h.closing {
		// The answer to this heartbeat is the first without the range, so that
		// requests were served until now.
		h.closing, h.closedAt = true, now
		return
	}
	switch {
	case h.closing:
	case held:
		h.unlisted = 0
		delete(m.fenceRaises, h.First)
	default:
		if h.granted {
			m.log.Warn("target does not hold granted keys", "first", h.First, "last", h.Last, "fence", h.Fence)
		}
		h.granted = false
		if !h.grant.OfferedAt.IsZero() {
			h.unlisted++
		}
		if handover := report.Handover(h.First, h.Last); handover != "" {
			h.Handover = handover
		}
		if report.MaxFence(h.First, h.Last) > h.Fence || h.unlisted > maxUnlisted {
			h.unlisted = 0
			m.log.Warn("target has seen a higher fence", "first", h.First, "last", h.Last, "fence", h.Fence)
			go m.raiseFence(h.Assignment)
		}
	}
}

// offer returns the answer to a heartbeat that arrived at heartbeatAt with the given
// report. It grants all ranges that are not being transferred, those that the target
// holds already first. The caller holds the mutex.
func (m *Mesh) offer(heartbeatAt time.Time, hold time.Duration, report *grantsync.Report) *HeartbeatAnswer {
	answer := &HeartbeatAnswer{Hold: hold, heartbeatAt: heartbeatAt, instance: m.target.Instance, born: m.target.Born}
	var held, others []grantsync.Offer
	mayGrantNew := m.mayGrantNew(heartbeatAt)
	for _, h := range m.holdings {
		if h.closing || !h.mayBeGranted(heartbeatAt, m.dir, mayGrantNew) {
			continue
		}
		o := grantsync.Offer{Row: grantsync.Row{First: h.First, Last: h.Last, Fence: h.Fence}}
		if report.Holds(h.First, h.Last, h.Fence) {
			held = append(held, o)
			continue
		}
		o.Handover = h.Handover
		others = append(others, o)
	}
	fitting, dropped := grantsync.Fit(append(held, others...))
	if dropped > 0 {
		m.metrics.offersDropped.Inc(int64(dropped))
		m.log.Warn("ranges do not fit into the answer to a heartbeat", "dropped", dropped, "ranges", len(m.holdings))
	}
	answer.Offers = fitting
	for _, h := range m.holdings {
		if answer.contains(&h.Assignment) && !h.closing {
			h.grant.RecordOffer(heartbeatAt, hold)
		}
	}
	return answer
}

// contains reports whether the answer grants all of keys.
func (a *HeartbeatAnswer) contains(keys *directory.Assignment) bool {
	for _, o := range a.Offers {
		if o.Fence == keys.Fence && o.First <= keys.First && keys.Last <= o.Last {
			return true
		}
	}
	return false
}

// HeartbeatAnswered records that the answer to a heartbeat of the target has been
// written. The target is taken to hold the ranges from a moment later on; if the
// answer is lost, the target refuses requests until the next one. A nil answer has no
// effect.
func (m *Mesh) HeartbeatAnswered(answer *HeartbeatAnswer) {
	if answer == nil {
		return
	}
	time.AfterFunc(answerTransit, func() { m.recordAnswered(answer) })
}

// recordAnswered marks the ranges of an answer that the target has applied as
// granted.
func (m *Mesh) recordAnswered(answer *HeartbeatAnswer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target.Instance != answer.instance || m.target.Born != answer.born || m.target.down {
		return
	}
	now, newlyGranted := boottime.Now(), false
	for _, h := range m.holdings {
		if h.closing || !answer.contains(&h.Assignment) {
			continue
		}
		if !h.granted || !now.Before(h.grantedUntil) {
			newlyGranted = true
			m.log.Info("keys granted", "first", h.First, "last", h.Last, "fence", h.Fence, "warm", h.Handover != "")
		}
		h.granted, h.grantedFor = true, answer.Hold
		h.grantedUntil = answer.heartbeatAt.Add(answer.Hold - answerTransit)
	}
	if newlyGranted {
		m.notify()
	}
}

// awaitRelease waits until the target has released the holding h, which the answers
// to its heartbeats leave out, and returns the handover for the next owner. The
// handover is empty if the grants had to expire. ok is false if the daemon stopped
// first.
func (m *Mesh) awaitRelease(d *heartbeatDelivery, h *holding) (handover string, ok bool) {
	for {
		m.mu.Lock()
		now := boottime.Now()
		var report *grantsync.Report
		if h.closing && d.reportAt.After(h.closedAt) {
			report = &d.report
		}
		if h.grant.Released(now, report, h.First, h.Last) {
			h.granted = false
			if report != nil {
				handover = report.Handover(h.First, h.Last)
			}
			m.mu.Unlock()
			return handover, true
		}
		m.mu.Unlock()
		select {
		case <-m.tomb.Dying():
			return "", false
		case <-time.After(releasePollInterval):
		}
	}
}

// releaseByCall releases the holding h with a call, and returns the handover for the
// next owner. The handover is empty if the target did not respond and the grant had
// to expire. ok is false if the daemon stopped first.
func (m *Mesh) releaseByCall(ctx context.Context, h *holding) (handover string, ok bool) {
	m.mu.Lock()
	released := h.Assignment
	if h.unanswered {
		// The target may read a grant after the release, and then refuses it for its fence.
		released.Fence = m.dir.NextFence()
	}
	m.mu.Unlock()
	handover, err := m.callRelease(ctx, released)
	if err != nil && ctx.Err() == nil {
		handover, err = m.callRelease(ctx, released)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.log.Warn("target did not release keys", "first", h.First, "last", h.Last, "fence", h.Fence, "error", err)
		h.extendMayHold(h.unansweredUntil)
		return "", m.waitUntil(func() time.Time { return h.grant.MayHoldUntil })
	}
	h.clearGrants()
	// A grant that got no response may be applied after the release.
	return handover, m.waitUntil(func() time.Time { return h.unansweredUntil })
}

// callRelease releases a at the target once the calls in progress allow it.
func (m *Mesh) callRelease(ctx context.Context, a directory.Assignment) (handover string, err error) {
	if err := m.releases.begin(ctx); err != nil {
		return "", err
	}
	defer m.releases.end()
	return m.targetClient.Release(ctx, a)
}

// nextGrantIn returns how long it takes at now until the target gets its next grants,
// as far as that is known.
func (m *Mesh) nextGrantIn(now time.Time) time.Duration {
	switch d := m.delivery.(type) {
	case callDelivery:
		return 0
	case *heartbeatDelivery:
		return max(0, d.reportAt.Add(m.cfg.HeartbeatInterval+2*answerTransit).Sub(now))
	default:
		panic("unknown delivery of grants")
	}
}
