package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"siskinknot/core/fleet"
	"siskinknot/core/lease"
	"siskinknot/core/record"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
	"siskinknot/io/platformlog"
)

// Times of the follow task.
const (
	// leaseReadWait and noLeaseReadWait are how long a read of the log waits
	// for new records while this daemon holds its lease and while it does not.
	// The second is shorter because a daemon without a lease may renew the
	// leases of others only if it has read the log's head recently.
	leaseReadWait   = 3 * time.Second
	noLeaseReadWait = 300 * time.Millisecond
	readTimeout     = time.Second
	readRetryDelay  = 100 * time.Millisecond
	// appendTimeout is the timeout of an append.
	appendTimeout = 2 * time.Second
	// maxReadLag is how long this daemon waits for a record that is known to
	// be on the log before it reads the log on a new connection.
	maxReadLag = 100 * time.Millisecond
	// probeTimeout is how soon the log has to answer before this daemon starts
	// an operation that blocks requests until a record has been appended and
	// read back.
	probeTimeout = 250 * time.Millisecond
)

// follow is the task that reads the log and applies its records.
func (m *Member) follow() error {
	for !m.loadState() {
		if !m.sleep(readRetryDelay) {
			return nil
		}
	}
	for m.tomb.Alive() {
		err := m.readOnce()
		var notRetained *platformlog.NotRetainedError
		if errors.As(err, &notRetained) {
			m.logger.Warn("log forgot records before they were folded", "error", err)
			m.reload()
			continue
		}
		m.updateLogOK(err)
		if err != nil && !m.sleep(readRetryDelay) {
			return nil
		}
	}
	return nil
}

// updateLogOK records whether the log answers. err is the error of the last
// read, or nil.
func (m *Member) updateLogOK(err error) {
	if err != nil {
		m.metrics.readErrors.Inc(1)
	}
	m.mu.Lock()
	wasOK := m.logOK
	m.logOK = err == nil
	m.mu.Unlock()
	if wasOK && err != nil && m.tomb.Alive() {
		m.logger.Warn("log does not answer", "error", err)
	}
	if !wasOK && err == nil {
		m.logger.Info("log answers")
	}
}

// readOnce reads the log's next records and applies them. It waits for new
// records if there are none.
func (m *Member) readOnce() error {
	now := boottime.Now()
	m.mu.Lock()
	next := m.state.NextOffset()
	wait := noLeaseReadWait
	if m.leases.Holds(now) {
		wait = leaseReadWait
	}
	m.mu.Unlock()
	ctx, cancel := m.timeout(wait + readTimeout)
	defer cancel()
	m.setCancelRead(cancel)
	defer m.setCancelRead(nil)
	sentAt := boottime.Now()
	batch, err := m.log.Read(ctx, next, wait)
	if err != nil {
		if eris.Is(err, context.Canceled) && m.tomb.Alive() {
			return m.readNow(next)
		}
		return err
	}
	m.applyBatch(sentAt, batch)
	return nil
}

// setCancelRead sets the function with which RestartRead ends the current read.
func (m *Member) setCancelRead(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelRead = cancel
}

// readNow reads the log's records from offset next on and applies them, without
// waiting for new ones.
func (m *Member) readNow(next uint64) error {
	ctx, cancel := m.timeout(readTimeout)
	defer cancel()
	sentAt := boottime.Now()
	batch, err := m.log.Read(ctx, next, 0)
	if err != nil {
		return err
	}
	m.applyBatch(sentAt, batch)
	return nil
}

// applyBatch applies the records that a read sent at sentAt returned.
func (m *Member) applyBatch(sentAt time.Time, batch platformlog.Batch) {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, entry := range batch.Records {
		m.apply(now, entry)
	}
	if m.state.NextOffset() >= batch.Next {
		m.leases.RecordHeadRead(sentAt)
		m.ready = true
	}
	if len(batch.Records) > 0 {
		close(m.applied)
		m.applied = make(chan struct{})
	}
	m.afterApply(now)
}

// apply applies one record. A record that cannot be decoded counts as ignored.
// The caller holds the mutex.
func (m *Member) apply(now time.Time, entry platformlog.Entry) {
	rec, err := record.Decode(entry.Record)
	if err != nil {
		rec = nil
	}
	result := m.state.Apply(entry.Offset, rec)
	m.metrics.applied.Inc(1)
	if _, ok := result.(fleet.Ignored); ok {
		m.metrics.ignored.Inc(1)
	}
	if rec == nil {
		return
	}
	m.leases.Observe(now, rec, result)
	m.journal.add(now, entry.Offset, rec, result)
	switch rec.(type) {
	case record.Snapshot:
		m.lastSnapshot.set(now, entry.Offset)
	case record.Revoke:
		m.losses.add(now)
	}
}

// afterApply updates this daemon's own status after records were applied: it
// starts a new incarnation if the current one was revoked. The caller holds the
// mutex.
func (m *Member) afterApply(now time.Time) {
	m.metrics.nextOffset.Update(float64(m.state.NextOffset()))
	m.metrics.settingsVersion.Update(float64(m.state.Settings().Version()))
	if svc := m.state.Service(m.cfg.Service); svc != nil {
		m.metrics.unitsOwned.Update(float64(svc.NumSlotsOf(m.id)))
	}
	self := m.state.Member(m.id)
	if m.state.Revoked(m.id) || (self != nil && self.Succeeded) {
		m.logger.Warn("this incarnation was revoked", "incarnation", m.id)
		m.startIncarnation(now)
	}
	m.planning.removeLost(m.state)
}

// startIncarnation cancels all requests and starts a new incarnation of this
// daemon, which has no lease and owns no units. The caller holds the mutex.
func (m *Member) startIncarnation(now time.Time) {
	m.cancelRequests(func(*RunningRequest) bool { return true })
	m.metrics.rejoins.Inc(1)
	m.id = newIncarnation(m.cfg.Server)
	if end := m.leases.GrantsEnd(); end.After(m.formerGrantsEnd) {
		m.formerGrantsEnd = end
	}
	m.leases = lease.New(m.id, m.state, now)
	m.nextDue = map[string]time.Time{}
	m.renewedAt = [2]time.Time{}
}

// reload starts a new incarnation and loads the state of the fleet from the
// log's latest snapshot.
func (m *Member) reload() {
	m.metrics.reloads.Inc(1)
	m.mu.Lock()
	m.startIncarnation(boottime.Now())
	m.mu.Unlock()
	for !m.loadState() {
		if !m.sleep(readRetryDelay) {
			return
		}
	}
}

// loadState loads the state of the fleet from the log, or from a peer if the log
// cannot be read, and reports whether it succeeded.
func (m *Member) loadState() bool {
	state, err := m.loadFromLog()
	fromPeer := err != nil
	if fromPeer {
		m.updateLogOK(err)
		state, err = m.loadFromPeer()
	}
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	m.ready = m.ready || fromPeer
	m.leases = lease.New(m.id, state, boottime.Now())
	m.lastSnapshot.set(boottime.Now(), state.SnapshotOffset())
	close(m.applied)
	m.applied = make(chan struct{})
	return true
}

// loadFromLog returns the state of the log's latest snapshot, or an empty state
// if the log still has its first record. The follow task then applies the later
// records.
func (m *Member) loadFromLog() (*fleet.State, error) {
	ctx, cancel := m.timeout(readTimeout)
	defer cancel()
	offsets, err := m.log.Offsets(ctx)
	if err != nil {
		return nil, err
	}
	if offsets.Earliest == 0 {
		return fleet.New(), nil
	}
	return m.loadSnapshot(offsets)
}

// loadSnapshot returns the state of the latest snapshot for which the log still
// has all later records.
func (m *Member) loadSnapshot(offsets platformlog.Offsets) (*fleet.State, error) {
	var latest *record.Snapshot
	for from := offsets.Earliest; from < offsets.Next; {
		ctx, cancel := m.timeout(readTimeout)
		batch, err := m.log.Read(ctx, from, 0)
		cancel()
		if err != nil {
			return nil, err
		}
		for _, entry := range batch.Records {
			if snap := snapshotIn(entry.Record); snap != nil && snap.AsOf >= offsets.Earliest {
				latest = snap
			}
		}
		if len(batch.Records) == 0 {
			break
		}
		from += uint64(len(batch.Records))
	}
	if latest == nil {
		return nil, fmt.Errorf("log has no usable snapshot from offset %d on", offsets.Earliest)
	}
	return fleet.Decode(latest.State)
}

// snapshotIn returns the snapshot in a record, or nil.
func snapshotIn(data []byte) *record.Snapshot {
	rec, err := record.Decode(data)
	if err != nil {
		return nil
	}
	snap, ok := rec.(record.Snapshot)
	if !ok {
		return nil
	}
	return &snap
}

// loadFromPeer asks the seeds in turn for the state of the fleet and returns the
// first that it receives. It returns an error if it receives none.
func (m *Member) loadFromPeer() (*fleet.State, error) {
	for _, seed := range m.cfg.Seeds {
		if seed == m.cfg.DaemonAddress {
			continue
		}
		ctx, cancel := m.timeout(readTimeout)
		reply, err := m.pool.Call(ctx, seed, &peerpb.Call{Kind: &peerpb.Call_Fetch{Fetch: &peerpb.Fetch{}}})
		cancel()
		if err != nil || len(reply.State) == 0 {
			continue
		}
		state, err := fleet.Decode(reply.State)
		if err == nil {
			m.logger.Info("took the state of the fleet from a peer", "peer", seed, "next_offset", state.NextOffset())
			return state, nil
		}
	}
	return nil, errors.New("no peer returned the state of the fleet")
}

// append appends rec to the log. If it returns an error, the record may have
// been appended nevertheless.
func (m *Member) append(rec record.Record) error {
	data, err := record.Encode(rec)
	if err != nil {
		return err
	}
	ctx, cancel := m.timeout(appendTimeout)
	defer cancel()
	m.metrics.appends.Inc(1)
	offset, err := m.log.Append(ctx, data)
	if err != nil {
		m.metrics.appendErrors.Inc(1)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteHead(boottime.Now(), offset+1)
	return nil
}

// knownHead is a lower bound of the log's next offset, as known from an append
// or from the reply of another daemon.
type knownHead struct {
	next  uint64
	since time.Time
}

// noteHead records that the log's next offset is at least next. The caller holds
// the mutex.
func (m *Member) noteHead(now time.Time, next uint64) {
	if next > m.knownHead.next {
		m.knownHead = knownHead{next: next, since: now}
	}
}

// behind reports whether records that have been known to be on the log for
// longer than maxReadLag are not applied yet. The caller holds the mutex.
func (m *Member) behind(now time.Time) bool {
	return m.state.NextOffset() < m.knownHead.next && now.Sub(m.knownHead.since) > maxReadLag
}

// logAnswers reports whether the log answers a request within limit.
func (m *Member) logAnswers(limit time.Duration) bool {
	ctx, cancel := m.timeout(limit)
	defer cancel()
	_, err := m.log.Offsets(ctx)
	return err == nil
}
