package mesh

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"siskinknot/core/directory"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// Store is the part of the platform's metadata store that holds the directory.
type Store interface {
	// Read returns the changes of the directory since version since, or the whole
	// directory if since is 0. The result includes every change that was applied
	// before the call. The error is ErrTrimmed if the store no longer keeps the
	// changes since that version.
	// It is an *EraError if the directory has not been written into the store's era.
	Read(ctx context.Context, since uint64) (directory.Update, error)
	// Append applies the changes in u if the directory's version is u.Base.
	//
	// If the store is in a later era than u.Base, the result is NotApplied with an
	// *EraError, and the changes have no effect.
	Append(ctx context.Context, u directory.Update) directory.AppendResult
	// ReadFormer returns the directory that the store has of the latest era before the
	// given one, or an empty one if it has none. The store may have lost its newest
	// changes.
	ReadFormer(ctx context.Context, era uint64) (directory.Update, error)
	// Era returns the latest era that the store has named in any of its responses, or
	// that ObserveEra was called with.
	Era() uint64
	// ObserveEra tells the Store which era another daemon knows of.
	ObserveEra(era uint64)
}

// EraError is the error of a call to a store that has come back from a copy and begun
// an era, into which the directory has not been written yet.
type EraError struct {
	Era uint64
	// Leftover is what an incomplete attempt to write the directory has left, if the
	// call was a read of the whole directory.
	Leftover directory.Update
}

// Error implements error.
func (e *EraError) Error() string {
	return fmt.Sprintf("the directory is not in era %d of the store yet", e.Era)
}

// ErrTrimmed is the error of a Read from a version older than the store keeps.
var ErrTrimmed = errors.New("the requested changes are no longer kept")

var (
	errStoreUnavailable = errors.New("neither the store nor a peer that reaches it responds")
	// errConflict is the cause of a change that is pending after a conflict.
	errConflict          = errors.New("the directory has changed since the base version")
	errRelayRejected     = errors.New("the store did not accept the call of a peer")
	errRelayUndetermined = errors.New("a peer does not know the result of its call")
	errContended         = errors.New("every attempt conflicted with another change of the directory")
	errShuttingDown      = errors.New("the daemon is shutting down")
	errEraPending        = errors.New("the directory is not in the store's era yet")
)

const (
	// storeTimeout limits a call to the store. A call usually takes a few
	// milliseconds, and a few hundred when the store is slow.
	storeTimeout = 700 * time.Millisecond
	// fullReadTimeout limits a read of the whole directory, which takes several
	// consecutive calls.
	fullReadTimeout = 3 * storeTimeout
	// peerTimeout limits a control call to another daemon.
	peerTimeout = 250 * time.Millisecond
	// relayTimeout limits a call to the store through another daemon.
	relayTimeout = storeTimeout + peerTimeout
	// maxRelays is how many daemons are tried, one after the other, and
	// relayMaxAge is how recently they must have reported that they reach the
	// store.
	maxRelays   = 2
	relayMaxAge = 1500 * time.Millisecond
	// maxCommitAttempts limits the attempts to commit a change that conflicts
	// with others.
	maxCommitAttempts = 12
	// typicalAppendTime is about how long an append takes, including its
	// response.
	typicalAppendTime = 8 * time.Millisecond
)

// backoffRange holds the first and the longest delay between the attempts to
// commit a change. The delay doubles with each attempt.
type backoffRange struct{ initial, maximum time.Duration }

var (
	// urgentBackoff is for changes that callers wait for.
	urgentBackoff = backoffRange{initial: typicalAppendTime, maximum: 20 * typicalAppendTime}
	// relaxedBackoff is for changes that many members make at the same time and
	// that no caller waits for.
	relaxedBackoff = backoffRange{initial: 5 * typicalAppendTime, maximum: 100 * typicalAppendTime}
)

// refreshDirectory brings the directory up to date from the store, or through a
// daemon that reaches it, and reports whether that succeeded.
func (m *Mesh) refreshDirectory() bool {
	m.mu.Lock()
	since := m.dir.Version()
	m.mu.Unlock()
	sentAt := boottime.Now()
	u, err := m.readStore(since)
	if errors.Is(err, ErrTrimmed) {
		sentAt = boottime.Now()
		u, err = m.readStore(0)
	}
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(boottime.Now(), u)
	if m.dir.Version() < u.End || directory.EraOf(u.End) < m.storeEra.Load() {
		return false // the directory changed in the meantime, and u does not follow its current version
	}
	m.leases.RecordStoreRead(sentAt, u.End)
	m.markLoaded("store")
	return true
}

// markLoaded records that the directory is known, from the store or from
// another daemon. A directory received from another daemon is enough to forward
// requests and to run requests of a shared service; a lease requires a read
// from the store (package tenure). The caller holds the mutex.
func (m *Mesh) markLoaded(source string) {
	if m.loaded {
		return
	}
	m.loaded = true
	m.log.Info("directory read", "version", m.dir.Version(), "members", len(m.dir.Members()), "source", source)
	m.logUnknownZones(m.evacuation.Current().Zones)
}

// readStore reads the directory from the store, or through a peer if the store
// does not respond.
func (m *Mesh) readStore(since uint64) (directory.Update, error) {
	limit := storeTimeout
	if since == 0 {
		limit = fullReadTimeout
	}
	ctx, cancel := m.withTimeout(limit)
	u, err := m.store.Read(ctx, since)
	cancel()
	m.metrics.storeReads.Inc(1)
	var era *EraError
	if errors.Is(err, ErrTrimmed) || errors.As(err, &era) {
		m.recordStoreResult(nil)
		return u, err
	}
	m.recordStoreResult(err)
	if err == nil {
		return u, nil
	}
	for _, addr := range m.relays() {
		ctx, cancel := m.withTimeout(relayTimeout)
		reply, err := m.pool.Call(ctx, addr, &peerpb.Call{Kind: &peerpb.Call_Relay{Relay: &peerpb.Relay{Since: since}}})
		cancel()
		m.observeEra(boottime.Now(), reply.GetStoreEra())
		if err == nil && reply.Granted {
			return updateFromProto(reply.Update), nil
		}
	}
	return directory.Update{}, errStoreUnavailable
}

// appendToStore appends to the store or, if the store does not accept the call,
// through a peer. Repeating the append is safe: at most one append to a given
// version succeeds.
func (m *Mesh) appendToStore(u directory.Update) directory.AppendResult {
	ctx, cancel := m.withTimeout(storeTimeout)
	result := m.store.Append(ctx, u)
	cancel()
	m.metrics.storeAppends.Inc(1)
	err := storeFailure(result)
	m.recordStoreResult(err)
	if err == nil {
		if _, conflicted := result.(directory.Conflicted); conflicted {
			m.metrics.conflicts.Inc(1)
		}
		return result
	}
	for _, addr := range m.relays() {
		result = directory.Combine(result, m.appendThrough(addr, u))
		switch result.(type) {
		case directory.Applied, directory.Conflicted:
			return result
		}
	}
	return result
}

// storeFailure returns the error if result shows that the store does not answer this daemon.
func storeFailure(result directory.AppendResult) error {
	switch result := result.(type) {
	case directory.Applied, directory.Conflicted:
		return nil
	case directory.NotApplied:
		var era *EraError
		if errors.As(result.Cause, &era) {
			return nil
		}
		return result.Cause
	case directory.Undetermined:
		return result.Cause
	default:
		panic(fmt.Sprintf("unexpected result of an append: %T", result))
	}
}

// appendThrough appends to the store through the daemon at addr.
func (m *Mesh) appendThrough(addr netip.AddrPort, u directory.Update) directory.AppendResult {
	ctx, cancel := m.withTimeout(relayTimeout)
	defer cancel()
	reply, err := m.pool.Call(ctx, addr, &peerpb.Call{Kind: &peerpb.Call_Relay{Relay: &peerpb.Relay{Append: updateToProto(u)}}})
	m.observeEra(boottime.Now(), reply.GetStoreEra())
	switch {
	case err != nil:
		return directory.Undetermined{Cause: err}
	case reply.Granted:
		return directory.Applied{End: reply.NextOffset}
	case reply.Conflict:
		return directory.Conflicted{End: reply.NextOffset}
	case reply.NotApplied:
		return directory.NotApplied{Cause: errRelayRejected}
	default:
		return directory.Undetermined{Cause: errRelayUndetermined}
	}
}

// recordStoreResult records whether the last call to the store succeeded, and
// logs when the store becomes unreachable or reachable.
func (m *Mesh) recordStoreResult(err error) {
	m.observeEra(boottime.Now(), m.store.Era())
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.storeAnsweredAt = boottime.Now()
	}
	if ok := err == nil; ok != m.storeOK {
		m.storeOK = ok
		if ok {
			m.log.Info("store answers again")
		} else {
			m.log.Warn("store does not answer", "error", err)
		}
	}
}

// relays returns up to maxRelays daemons that have recently reported that they
// reach the store, in random order.
func (m *Mesh) relays() []netip.AddrPort {
	m.mu.Lock()
	list := m.allRelays(boottime.Now())
	m.mu.Unlock()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxRelays)]
}

// allRelays returns the daemons that have recently reported that they reach the store. The
// caller holds the mutex.
func (m *Mesh) allRelays(now time.Time) []netip.AddrPort {
	var list []netip.AddrPort
	for addr, hb := range m.receivedHeartbeats {
		if hb.storeOK && now.Sub(hb.receivedAt) < relayMaxAge {
			list = append(list, addr)
		}
	}
	return list
}

// handleRelay calls the store on behalf of another daemon.
func (m *Mesh) handleRelay(ctx context.Context, relay *peerpb.Relay) *peerpb.Reply {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if relay.Append == nil {
		u, err := m.store.Read(ctx, relay.Since)
		if errors.Is(err, ErrTrimmed) {
			u, err = m.store.Read(ctx, 0)
		}
		if err != nil {
			return &peerpb.Reply{StoreEra: m.store.Era()}
		}
		return &peerpb.Reply{Granted: true, NextOffset: u.End, Update: updateToProto(u), StoreEra: m.store.Era()}
	}
	switch result := m.store.Append(ctx, updateFromProto(relay.Append)).(type) {
	case directory.Applied:
		return &peerpb.Reply{Granted: true, NextOffset: result.End}
	case directory.Conflicted:
		return &peerpb.Reply{Conflict: true, NextOffset: result.End}
	case directory.NotApplied:
		return &peerpb.Reply{NotApplied: true, StoreEra: m.store.Era()}
	default:
		return &peerpb.Reply{StoreEra: m.store.Era()}
	}
}

// apply brings the directory up to date with u and with earlier received
// changes that follow u, updates the state derived from it, and reports whether
// the directory changed. A change that arrives before its predecessor is kept
// until that arrives. The caller holds the mutex.
func (m *Mesh) apply(now time.Time, u directory.Update) bool {
	if directory.EraOf(u.End) < m.storeEra.Load() {
		return false // it may have been lost by the store since it was read
	}
	if directory.EraOf(u.End) > directory.LastEra {
		return false // no store has this version, and no later change would follow it
	}
	if u.Base > m.dir.Version() {
		m.metrics.gaps.Inc(1)
	}
	startedAt := time.Now()
	applied := m.changes.Apply(m.dir, u)
	if applied == 0 {
		return false
	}
	m.logIgnoredEntries()
	m.metrics.applied.Inc(int64(applied))
	defer func() { m.metrics.applyTime.Inc(time.Since(startedAt).Microseconds()) }()
	m.observeEra(now, directory.EraOf(m.dir.Version()))
	m.endLostAttempts()
	m.leases.Observe(now, m.dir)
	m.recordChangedMembers(now)
	m.syncHoldings(now)
	m.adoptExit(now)
	m.budget.SetBurst(m.retryBurst())
	m.notify()
	return true
}

// logIgnoredEntries logs the entries of the directory that define nothing, each once. The
// caller holds the mutex.
func (m *Mesh) logIgnoredEntries() {
	ignored, more := m.dir.TakeIgnored()
	for _, e := range ignored {
		m.log.Warn("directory entry ignored", "key", e.Key, "error", e.Reason)
	}
	if more > 0 {
		m.log.Warn("more directory entries ignored", "count", more)
	}
	m.metrics.entriesIgnored.Inc(int64(len(ignored) + more))
}

// recordChangedMembers restarts the heartbeat timeout of members whose entry
// has changed: they have just started, or have just named this member as a
// guardian. The caller holds the mutex.
func (m *Mesh) recordChangedMembers(now time.Time) {
	for _, member := range m.dir.Members() {
		if m.knownMembers[member.Address] != member {
			m.knownMembers[member.Address] = member
			m.leases.RecordHeartbeat(now, member.Address)
		}
	}
}

// pendingChangeError is the error of a change that may have been applied or may
// be applied later: it is conditional on the version base, and this daemon has
// not read a later version.
type pendingChangeError struct {
	base  uint64
	cause error
}

// Error implements error.
func (e *pendingChangeError) Error() string {
	return fmt.Sprintf("the change at version %d may still be applied: %v", e.base, e.cause)
}

// commit changes the directory. build returns the entries of the change for the
// given directory, or none if there is nothing left to do. It is called again
// if other members changed the directory meanwhile, and after a call whose
// result is unknown, so it has to recognise its own earlier change. The error
// is a pendingChangeError if the change may still be applied later.
func (m *Mesh) commit(what string, build func(*directory.Directory) []directory.Entry) error {
	return m.commitAt(urgentBackoff, what, build)
}

// commitAt is commit with the given delays between attempts.
func (m *Mesh) commitAt(delays backoffRange, what string, build func(*directory.Directory) []directory.Entry) error {
	m.commitMu.Lock()
	defer m.commitMu.Unlock()
	pending := &pendingChangeError{}
	fail := func(err error) error {
		m.mu.Lock()
		defer m.mu.Unlock()
		if pending.cause == nil || m.dir.Version() > pending.base {
			return err
		}
		return pending
	}
	for attempt := range maxCommitAttempts {
		if !m.tomb.Alive() {
			return fail(errShuttingDown)
		}
		u, err := m.buildChange(build)
		if err != nil {
			return fail(err)
		}
		if len(u.Entries) == 0 {
			return nil
		}
		var conflictEnd uint64 // 0 if there was no conflict
		switch result := m.appendToStore(u).(type) {
		case directory.Applied:
			u.End = result.End
			*pending = m.applyCommitted(what, u)
			continue
		case directory.Conflicted:
			// The conflicting change may be an earlier attempt of this change.
			conflictEnd = result.End
			*pending = pendingChangeError{base: max(u.Base, result.End-1), cause: errConflict}
		case directory.NotApplied:
			return fail(result.Cause)
		case directory.Undetermined:
			err = result.Cause
			*pending = pendingChangeError{base: u.Base, cause: err}
		}
		m.waitBeforeRetry(delays, attempt)
		m.mu.Lock()
		caughtUp := conflictEnd > 0 && m.dir.Version() >= conflictEnd
		m.mu.Unlock()
		if caughtUp {
			continue // the other members' changes have already arrived
		}
		if !m.refreshDirectory() && conflictEnd == 0 {
			return fail(err)
		}
	}
	return fail(errContended)
}

// buildChange returns the change that build makes of the directory. It is an error if the
// directory is not in the store's era.
func (m *Mesh) buildChange(build func(*directory.Directory) []directory.Entry) (directory.Update, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.eraPending() {
		return directory.Update{}, errEraPending
	}
	return directory.Update{Base: m.dir.Version(), Entries: build(m.dir)}, nil
}

// waitBeforeRetry waits before a change is attempted again. The delay grows
// with the attempts: the more members change the directory at the same time,
// the fewer of them may retry simultaneously if one is to succeed.
func (m *Mesh) waitBeforeRetry(delays backoffRange, attempt int) {
	limit := min(delays.initial<<min(attempt, 16), delays.maximum)
	select {
	case <-m.tomb.Dying():
	case <-time.After(rand.N(limit)):
	}
}

// settle ensures that a change conditional on version base can no longer be
// applied, by committing another change if necessary.
func (m *Mesh) settle(base uint64) {
	for m.tomb.Alive() {
		err := m.commit("settle", func(dir *directory.Directory) []directory.Entry {
			me := dir.Member(m.cfg.Self)
			if dir.Version() > base || me == nil {
				return nil
			}
			return []directory.Entry{me.PutEntry()}
		})
		if err == nil {
			return
		}
		select {
		case <-m.tomb.Dying():
		case <-time.After(readRetryInterval):
		}
	}
}

// applyCommitted applies a change that this daemon committed, and sends it to
// the other members. The result has a cause if the store has begun another era since
// then, so that the change may be lost.
func (m *Mesh) applyCommitted(what string, u directory.Update) pendingChangeError {
	m.mu.Lock()
	m.apply(boottime.Now(), u)
	applied := m.dir.Version() >= u.End
	m.mu.Unlock()
	if !applied {
		return pendingChangeError{base: u.Base, cause: errEraPending}
	}
	m.log.Info("directory changed", "what", what, "base", u.Base, "version", u.End, "entries", len(u.Entries))
	msg := updateToProto(u)
	for _, addr := range m.otherMembers() {
		go m.sendUpdate(addr, peer.Requests, msg)
	}
	return pendingChangeError{}
}
