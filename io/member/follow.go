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

// Times of the follower.
const (
	// holdingWait and eagerWait are how long a read waits for news. Without a
	// lease, a daemon may renew others only if it read the head recently.
	holdingWait = 3 * time.Second
	eagerWait   = 300 * time.Millisecond
	readTimeout = time.Second
	readPause   = 100 * time.Millisecond
	// appendTimeout bounds an append.
	appendTimeout = 2 * time.Second
	// behindLimit is how long a record that is known to be on the log may take
	// to come before it is asked for on a new connection.
	behindLimit = 100 * time.Millisecond
	// probeTimeout is how soon the log has to answer before something is begun
	// that stops work until the log has taken a record and given it back.
	probeTimeout = 250 * time.Millisecond
)

// follow is the task that reads the log and folds it.
func (m *Member) follow() error {
	for !m.loadState() {
		if !m.live(readPause) {
			return nil
		}
	}
	for m.tomb.Alive() {
		err := m.readOnce()
		var forgotten *platformlog.ForgottenError
		if errors.As(err, &forgotten) {
			m.logger.Warn("log forgot records before they were folded", "error", err)
			m.restart()
			continue
		}
		m.noteLog(err)
		if err != nil && !m.live(readPause) {
			return nil
		}
	}
	return nil
}

// noteLog notes whether the log answers.
func (m *Member) noteLog(err error) {
	if err != nil {
		m.metrics.readErrors.Inc(1)
	}
	m.mu.Lock()
	was := m.logOK
	m.logOK = err == nil
	m.mu.Unlock()
	if was && err != nil && m.tomb.Alive() {
		m.logger.Warn("log does not answer", "error", err)
	}
	if !was && err == nil {
		m.logger.Info("log answers")
	}
}

// readOnce reads and folds what the log has, or waits for news.
func (m *Member) readOnce() error {
	now := boottime.Now()
	m.mu.Lock()
	next := m.state.Next()
	wait := eagerWait
	if m.book.Holds(now) {
		wait = holdingWait
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
	m.foldBatch(sentAt, batch)
	return nil
}

// setCancelRead sets how Kick ends the present read.
func (m *Member) setCancelRead(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelRead = cancel
}

// readNow reads without waiting.
func (m *Member) readNow(next uint64) error {
	ctx, cancel := m.timeout(readTimeout)
	defer cancel()
	sentAt := boottime.Now()
	batch, err := m.log.Read(ctx, next, 0)
	if err != nil {
		return err
	}
	m.foldBatch(sentAt, batch)
	return nil
}

// foldBatch folds what a read that was sent at sentAt returned.
func (m *Member) foldBatch(sentAt time.Time, batch platformlog.Batch) {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, entry := range batch.Records {
		m.fold(now, entry)
	}
	if m.state.Next() >= batch.Next {
		m.book.ReadHead(sentAt)
		m.ready = true
	}
	if len(batch.Records) > 0 {
		close(m.folded)
		m.folded = make(chan struct{})
	}
	m.afterFold(now)
}

// fold folds one record. The caller holds the mutex.
func (m *Member) fold(now time.Time, entry platformlog.Entry) {
	rec, err := record.Decode(entry.Record)
	if err != nil {
		rec = nil
	}
	verdict := m.state.Apply(entry.Offset, rec)
	m.metrics.folded.Inc(1)
	if _, ok := verdict.(fleet.Ignored); ok {
		m.metrics.ignored.Inc(1)
	}
	if rec == nil {
		return
	}
	m.book.Observe(now, rec, verdict)
	m.journal.add(now, entry.Offset, rec, verdict)
	switch rec.(type) {
	case record.Snapshot:
		m.snapshot.seen(now, entry.Offset)
	case record.Revoke:
		m.losses.add(now)
	}
}

// afterFold follows what the fold means for this daemon. The caller holds the
// mutex.
func (m *Member) afterFold(now time.Time) {
	m.metrics.next.Update(float64(m.state.Next()))
	m.metrics.version.Update(float64(m.state.Settings().Version()))
	if svc := m.state.Service(m.cfg.Service); svc != nil {
		m.metrics.units.Update(float64(svc.Count(m.me)))
	}
	self := m.state.Member(m.me)
	if m.state.Gone(m.me) || (self != nil && self.Succeeded) {
		m.logger.Warn("this incarnation was revoked", "incarnation", m.me)
		m.renounce(now)
	}
	m.planning.forget(m.state)
}

// renounce begins a new incarnation, which holds nothing. The caller holds the
// mutex.
func (m *Member) renounce(now time.Time) {
	m.cancelWorks(func(*Work) bool { return true })
	m.metrics.rejoins.Inc(1)
	m.me = newIncarnation(m.cfg.Server)
	m.book = lease.New(m.me, m.state, now)
	m.duties = map[string]time.Time{}
	m.renewedAt = [2]time.Time{}
}

// restart begins anew from the log's latest snapshot.
func (m *Member) restart() {
	m.metrics.reloads.Inc(1)
	m.mu.Lock()
	m.renounce(boottime.Now())
	m.mu.Unlock()
	for !m.loadState() {
		if !m.live(readPause) {
			return
		}
	}
}

// loadState reads the state of the fleet from the log, or from a peer while the log
// is down, and reports whether it succeeded.
func (m *Member) loadState() bool {
	state, err := m.loadFromLog()
	fromPeer := err != nil
	if fromPeer {
		m.noteLog(err)
		state, err = m.loadFromPeer()
	}
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	m.ready = m.ready || fromPeer
	m.book = lease.New(m.me, state, boottime.Now())
	m.snapshot.seen(boottime.Now(), state.SnapshotAt())
	close(m.folded)
	m.folded = make(chan struct{})
	return true
}

// loadFromLog folds the log from its start or from its latest snapshot.
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

// loadSnapshot returns the state of the latest snapshot that the log can
// continue.
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

// loadFromPeer asks the seeds for their state of the fleet.
func (m *Member) loadFromPeer() (*fleet.State, error) {
	for _, seed := range m.cfg.Seeds {
		if seed == m.cfg.Daemon {
			continue
		}
		ctx, cancel := m.timeout(readTimeout)
		reply, err := m.pool.Ask(ctx, seed, &peerpb.Call{Kind: &peerpb.Call_Fetch{Fetch: &peerpb.Fetch{}}})
		cancel()
		if err != nil || len(reply.State) == 0 {
			continue
		}
		state, err := fleet.Decode(reply.State)
		if err == nil {
			m.logger.Info("took the state of the fleet from a peer", "peer", seed, "next_offset", state.Next())
			return state, nil
		}
	}
	return nil, errors.New("no peer gave the state of the fleet")
}

// append appends rec to the log. After an error it may still take effect.
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
	m.expect(boottime.Now(), offset+1)
	return nil
}

// expectation is an offset that the log is known to have reached.
type expectation struct {
	next  uint64
	since time.Time
}

// expect notes that the log has reached next. The caller holds the mutex.
func (m *Member) expect(now time.Time, next uint64) {
	if next > m.expected.next {
		m.expected = expectation{next: next, since: now}
	}
}

// behind reports whether records that are known to be on the log have not come
// for a while. The caller holds the mutex.
func (m *Member) behind(now time.Time) bool {
	return m.state.Next() < m.expected.next && now.Sub(m.expected.since) > behindLimit
}

// logAnswers reports whether the log answers now, within limit.
func (m *Member) logAnswers(limit time.Duration) bool {
	ctx, cancel := m.timeout(limit)
	defer cancel()
	_, err := m.log.Offsets(ctx)
	return err == nil
}
