package mesh

import (
	"slices"
	"sync"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
)

const (
	// directoryWait is how long after an interruption of the lease a read of the store may
	// show what has become of the keys before the target drops those that it may be
	// granted late.
	directoryWait = 100 * time.Millisecond
	// disownRetryInterval is the time between attempts to release keys.
	disownRetryInterval = 100 * time.Millisecond
	// maxDisownCalls limits the releases that are in progress at the same time.
	maxDisownCalls = 8
)

// disowning makes the target drop keys after this member's lease was interrupted, or after keys
// got another owner that the target has not confirmed to have released.
type disowning struct {
	lapse tenure.Lapse
	// ranges holds what the target is to release, left what it has not confirmed of that, and
	// released is set once it has confirmed all. called holds what it is being told to release,
	// or is empty, and nextAt is when the next attempt is due. failed is set once an attempt
	// has failed.
	ranges, left, called []directory.Assignment
	released, failed     bool
	nextAt               time.Time
}

// disownAfterLapse makes the target drop the keys that this member may not own any more, if its
// lease has been interrupted, or if keys that the target may hold have got another owner without
// a confirmed release. The releases have a fence above that of each grant that was sent
// before, so that the target also refuses the grants that it has not applied yet. Targets that
// take their grants from heartbeats need no release: each answer lists all that they are to
// hold, and a hold counts from the heartbeat.
func (m *Mesh) disownAfterLapse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disownAt(boottime.Now()) // time may have passed while waiting for the mutex
}

// disownAt is disownAfterLapse at now. The caller holds the mutex.
func (m *Mesh) disownAt(now time.Time) {
	d := &m.disowning
	d.lapse.Observe(now, m.leases.HeldUntil(m.dir))
	if !m.mayDisown() {
		return
	}
	known := d.lapse.Known(m.leases.LastStoreReadAt())
	if !known && !d.lapse.NoticedBefore(now.Add(-directoryWait)) {
		return
	}
	ranges := m.dir.NotOwnedBy(m.cfg.Self, m.cfg.Service)
	if !known {
		ranges = append(ranges, m.rangesGrantedLate()...)
	}
	d.plan(ranges)
	if !d.released && len(d.called) == 0 && !now.Before(d.nextAt) {
		d.called = d.left
		go m.disown(d.called)
	}
	if known && d.released && d.lapse.End(now) {
		d.ranges, d.left, d.released, d.failed = nil, nil, false, false
	}
}

// mayDisown reports whether the target is up and is told by calls what it is to hold. The caller
// holds the mutex.
func (m *Mesh) mayDisown() bool {
	_, byCall := m.delivery.(callDelivery)
	return byCall && m.divided() && m.target.Instance != "" && !m.target.down
}

// disownPending reports whether the target has yet to release keys.
func (m *Mesh) disownPending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mayDisown() && m.disowning.lapse.Open() && !m.disowning.released
}

// plan sets the ranges that the target is to release.
func (d *disowning) plan(ranges []directory.Assignment) {
	if !slices.EqualFunc(ranges, d.ranges, sameKeys) {
		left := slices.DeleteFunc(slices.Clone(ranges), d.confirmed)
		d.ranges, d.left, d.released, d.nextAt = ranges, left, false, time.Time{}
	}
	d.released = d.released || len(d.left) == 0
}

// confirmed reports whether the target has confirmed the release of a.
func (d *disowning) confirmed(a directory.Assignment) bool {
	same := func(other directory.Assignment) bool { return sameKeys(a, other) }
	return slices.ContainsFunc(d.ranges, same) && !slices.ContainsFunc(d.left, same)
}

// reopen makes the target drop the keys that this member does not own any more.
func (d *disowning) reopen() {
	d.lapse.Reopen()
	d.ranges, d.left, d.released = nil, nil, false
}

// sameKeys reports whether a and b have the same keys.
func sameKeys(a, b directory.Assignment) bool { return a.First == b.First && a.Last == b.Last }

// covers reports whether the target is being told to release keys of h.
func (d *disowning) covers(h *holding) bool {
	return slices.ContainsFunc(d.called, func(a directory.Assignment) bool { return a.First <= h.Last && h.First <= a.Last })
}

// rangesGrantedLate returns the ranges whose grants the target may still apply, with the next
// fence. If they are still this member's own, their fences have to be raised. The caller holds
// the mutex.
func (m *Mesh) rangesGrantedLate() []directory.Assignment {
	var ranges []directory.Assignment
	for _, h := range m.holdings {
		if h.unanswered || h.grantInFlight {
			a := h.Assignment
			a.Fence = m.dir.NextFence()
			ranges = append(ranges, a)
		}
	}
	return ranges
}

// disown releases ranges at the target once.
func (m *Mesh) disown(ranges []directory.Assignment) {
	startedAt := boottime.Now()
	m.mu.Lock()
	process := m.target.process()
	m.mu.Unlock()
	left := m.releaseEach(ranges)
	now := boottime.Now()
	answered := len(left) == 0
	if !answered {
		ctx, cancel := m.withTimeout(grantTimeout)
		m.checkTarget(ctx, process)
		cancel()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &m.disowning
	d.called, d.nextAt = nil, now.Add(disownRetryInterval)
	if answered || !d.failed {
		m.log.Info("foreign keys released", "ranges", len(ranges), "answered", answered, "took_ms", now.Sub(startedAt).Milliseconds())
	}
	d.failed = !answered
	if slices.EqualFunc(ranges, d.left, sameKeys) {
		d.left, d.released = left, answered
	}
	for _, h := range m.holdings {
		if slices.ContainsFunc(ranges, h.isRefusedAfter) && !slices.ContainsFunc(left, h.isRefusedAfter) {
			h.clearGrants()
		}
	}
	m.notify()
}

// isRefusedAfter reports whether the target refuses the grants of h once it has released a.
func (h *holding) isRefusedAfter(a directory.Assignment) bool {
	return a.First <= h.First && h.Last <= a.Last && h.Fence < a.Fence
}

// releaseEach releases ranges at the target, and returns those that got no response.
func (m *Mesh) releaseEach(ranges []directory.Assignment) []directory.Assignment {
	unanswered := make([]bool, len(ranges))
	var calls sync.WaitGroup
	free := make(chan struct{}, maxDisownCalls)
	for i, a := range ranges {
		free <- struct{}{}
		calls.Go(func() {
			defer func() { <-free }()
			ctx, cancel := m.withTimeout(grantTimeout)
			defer cancel()
			_, err := m.callRelease(ctx, a)
			unanswered[i] = err != nil
		})
	}
	calls.Wait()
	var left []directory.Assignment
	for i, a := range ranges {
		if unanswered[i] {
			left = append(left, a)
		}
	}
	return left
}
