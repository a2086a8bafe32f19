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

// Store is the platform's metadata store, as far as it holds the directory.
type Store interface {
	// Read returns what has changed in the directory since version since, as it
	// was at some time after the call; the whole directory if since is 0. The
	// error is ErrTrimmed if the changes since then are not kept any more.
	Read(ctx context.Context, since uint64) (directory.Update, error)
	// Append makes the changes of u if the directory ends at u.Base, and returns
	// where it ends then. The error is a Conflict if it ended elsewhere, and
	// ErrNotDone if nothing was done; after any other error the changes may be
	// made, at once or later.
	Append(ctx context.Context, u directory.Update) (uint64, error)
}

// Conflict is the error of an Append whose condition did not hold.
type Conflict struct {
	// End is where the directory ends.
	End uint64
}

// Error implements error.
func (*Conflict) Error() string { return "the directory has moved on" }

// ErrNotDone is the error of an Append that certainly did nothing.
var ErrNotDone = errors.New("the store did not take the call")

// ErrTrimmed is the error of a Read from before what the store keeps.
var ErrTrimmed = errors.New("the changes asked for are not kept any more")

var (
	errStoreAway = errors.New("neither the store nor a peer that reaches it answers")
	errContended = errors.New("others changed the directory each time")
	errEnding    = errors.New("the daemon ends")
)

const (
	// storeTimeout bounds a call to the store. In ordinary times it takes a few
	// milliseconds; in slow ones some hundreds.
	storeTimeout = 700 * time.Millisecond
	// wholeReadTimeout bounds a read of the whole directory, which takes several
	// calls one after the other.
	wholeReadTimeout = 3 * storeTimeout
	// peerTimeout bounds a control call to another daemon.
	peerTimeout = 250 * time.Millisecond
	// relayTimeout bounds a call to the store through another daemon.
	relayTimeout = storeTimeout + peerTimeout
	// relayPeers is how many daemons are asked, one after the other, and
	// contactLimit how recently they must have said that they reach the store.
	relayPeers   = 2
	contactLimit = 1500 * time.Millisecond
	// commitTries bounds the tries of a change that meets other changes.
	commitTries = 12
	// appendTime is about how long an append takes with its answer.
	appendTime = 8 * time.Millisecond
)

// pace bounds the pauses between the tries of a change, which double.
type pace struct{ first, last time.Duration }

var (
	// urgent is for changes that callers wait for.
	urgent = pace{first: appendTime, last: 20 * appendTime}
	// patient is for those that many members make at the same moment, and that
	// nobody waits for.
	patient = pace{first: 5 * appendTime, last: 100 * appendTime}
)

// refresh brings the directory up to date from the store, or through a daemon
// that reaches it, and reports whether that succeeded.
func (m *Mesh) refresh() bool {
	m.mu.Lock()
	since := m.dir.End()
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
	if m.dir.End() < u.End {
		return false // the directory moved on meanwhile, in a way that u does not continue
	}
	m.book.ReadStore(sentAt)
	m.noteLoaded("store")
	return true
}

// noteLoaded notes that the directory is known, from the store or from another
// daemon. What another one says is enough to send requests on and to run those of
// a shared service; a lease needs a read of the store (package tenure). The caller
// holds the mutex.
func (m *Mesh) noteLoaded(source string) {
	if m.loaded {
		return
	}
	m.loaded = true
	m.log.Info("directory read", "version", m.dir.End(), "members", len(m.dir.Members()), "source", source)
}

// readStore reads the directory directly or through a peer.
func (m *Mesh) readStore(since uint64) (directory.Update, error) {
	limit := storeTimeout
	if since == 0 {
		limit = wholeReadTimeout
	}
	ctx, cancel := m.timeout(limit)
	u, err := m.store.Read(ctx, since)
	cancel()
	m.metrics.storeReads.Inc(1)
	if errors.Is(err, ErrTrimmed) {
		m.noteStore(nil)
		return u, err
	}
	m.noteStore(err)
	if err == nil {
		return u, nil
	}
	for _, addr := range m.relays() {
		ctx, cancel := m.timeout(relayTimeout)
		reply, err := m.pool.Ask(ctx, addr, &peerpb.Call{Kind: &peerpb.Call_Relay{Relay: &peerpb.Relay{Since: since}}})
		cancel()
		if err == nil && reply.Granted {
			return fromUpdate(reply.Update), nil
		}
	}
	return directory.Update{}, errStoreAway
}

// appendStore appends directly or, if the store did not take the call, through
// a peer. Trying again is harmless: at most one append on a version succeeds.
func (m *Mesh) appendStore(u directory.Update) (uint64, error) {
	ctx, cancel := m.timeout(storeTimeout)
	end, err := m.store.Append(ctx, u)
	cancel()
	m.metrics.storeAppends.Inc(1)
	var conflict *Conflict
	if err == nil || errors.As(err, &conflict) {
		m.noteStore(nil)
		if err != nil {
			m.metrics.conflicts.Inc(1)
		}
		return end, err
	}
	m.noteStore(err)
	notDone := errors.Is(err, ErrNotDone)
	for _, addr := range m.relays() {
		ctx, cancel := m.timeout(relayTimeout)
		reply, askErr := m.pool.Ask(ctx, addr, &peerpb.Call{Kind: &peerpb.Call_Relay{Relay: &peerpb.Relay{Append: toUpdate(u)}}})
		cancel()
		switch {
		case askErr != nil:
			notDone = false
		case reply.Granted:
			return reply.NextOffset, nil
		case reply.Conflict:
			return 0, &Conflict{End: reply.NextOffset}
		}
	}
	if notDone {
		return 0, ErrNotDone
	}
	return 0, err
}

// noteStore logs when the store is lost or regained.
func (m *Mesh) noteStore(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok := err == nil; ok != m.storeOK {
		m.storeOK = ok
		if ok {
			m.log.Info("store answers again")
		} else {
			m.log.Warn("store does not answer", "error", err)
		}
	}
}

// relays returns daemons that may reach the store, in random order.
func (m *Mesh) relays() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	var list []netip.AddrPort
	for addr, c := range m.contacts {
		if c.storeOK && now.Sub(c.at) < contactLimit {
			list = append(list, addr)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), relayPeers)]
}

// answerRelay calls the store for another daemon.
func (m *Mesh) answerRelay(ctx context.Context, relay *peerpb.Relay) *peerpb.Reply {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if relay.Append == nil {
		u, err := m.store.Read(ctx, relay.Since)
		if errors.Is(err, ErrTrimmed) {
			u, err = m.store.Read(ctx, 0)
		}
		if err != nil {
			return &peerpb.Reply{}
		}
		return &peerpb.Reply{Granted: true, NextOffset: u.End, Update: toUpdate(u)}
	}
	end, err := m.store.Append(ctx, fromUpdate(relay.Append))
	var conflict *Conflict
	switch {
	case err == nil:
		return &peerpb.Reply{Granted: true, NextOffset: end}
	case errors.As(err, &conflict):
		return &peerpb.Reply{Conflict: true, NextOffset: conflict.End}
	default:
		return &peerpb.Reply{}
	}
}

// apply brings the directory up to date with u and with the changes that waited
// for it, follows what changed, and reports whether anything did. A change that
// comes too early waits. The caller holds the mutex.
func (m *Mesh) apply(now time.Time, u directory.Update) bool {
	if u.Base > m.dir.End() {
		m.metrics.gaps.Inc(1)
	}
	began := time.Now()
	applied := m.changes.Apply(m.dir, u)
	if applied == 0 {
		return false
	}
	m.metrics.applied.Inc(int64(applied))
	defer func() { m.metrics.applyTime.Inc(time.Since(began).Microseconds()) }()
	m.book.Observe(now, m.dir)
	m.noteJoins(now)
	m.syncHoldings(now)
	m.budget.SetBurst(m.retryBurst())
	m.notify()
	return true
}

// noteJoins gives members whose entry has changed the time to send heartbeats:
// they have just started, or have just named this one as a guardian. The caller
// holds the mutex.
func (m *Mesh) noteJoins(now time.Time) {
	for _, member := range m.dir.Members() {
		if m.entries[member.Address] != member {
			m.entries[member.Address] = member
			m.book.Heard(now, member.Address)
		}
	}
}

// undecided is the error of a change that may yet be made, or may have been made:
// it is conditional on the version base, and this daemon has not read what
// followed that.
type undecided struct {
	base  uint64
	cause error
}

// Error implements error.
func (e *undecided) Error() string {
	return fmt.Sprintf("a change at version %d may yet be made: %v", e.base, e.cause)
}

// commit changes the directory: build returns the entries of the change, given
// the directory as it is, or none if there is nothing to do any more. It is
// called again if others changed the directory meanwhile, and after a call
// whose fate is not known, so it has to see what it did itself. The error is
// undecided if the change may be made later.
func (m *Mesh) commit(what string, build func(*directory.Directory) []directory.Entry) error {
	return m.commitAt(urgent, what, build)
}

// commitAt is commit with the given pauses between its tries.
func (m *Mesh) commitAt(p pace, what string, build func(*directory.Directory) []directory.Entry) error {
	m.committing.Lock()
	defer m.committing.Unlock()
	open := &undecided{}
	failed := func(err error) error {
		m.mu.Lock()
		defer m.mu.Unlock()
		if open.cause == nil || m.dir.End() > open.base {
			return err
		}
		return open
	}
	for try := range commitTries {
		if !m.tomb.Alive() {
			return failed(errEnding)
		}
		m.mu.Lock()
		entries := build(m.dir)
		u := directory.Update{Base: m.dir.End(), Entries: entries}
		m.mu.Unlock()
		if len(entries) == 0 {
			return nil
		}
		end, err := m.appendStore(u)
		var conflict *Conflict
		switch {
		case err == nil:
			u.End = end
			m.committed(what, u)
			continue
		case errors.As(err, &conflict):
			// An earlier try of this change may be what is in the way.
			*open = undecided{base: max(u.Base, conflict.End-1), cause: err}
		case errors.Is(err, ErrNotDone):
			return failed(err)
		default:
			*open = undecided{base: u.Base, cause: err}
		}
		m.pauseCommit(p, try)
		m.mu.Lock()
		known := conflict != nil && m.dir.End() >= conflict.End
		m.mu.Unlock()
		if known {
			continue // the others have told of their changes
		}
		if !m.refresh() && conflict == nil {
			return failed(err)
		}
	}
	return failed(errContended)
}

// pauseCommit waits before a change is tried again. The pauses grow with the tries:
// the more members change the directory at a time, the fewer may try at once for
// one of them to succeed.
func (m *Mesh) pauseCommit(p pace, try int) {
	limit := min(p.first<<min(try, 16), p.last)
	select {
	case <-m.tomb.Dying():
	case <-time.After(rand.N(limit)):
	}
}

// settle makes sure that a change conditional on version base can no longer be
// made, by making another if need be.
func (m *Mesh) settle(base uint64) {
	for m.tomb.Alive() {
		err := m.commit("settle", func(dir *directory.Directory) []directory.Entry {
			me := dir.Member(m.cfg.Self)
			if dir.End() > base || me == nil {
				return nil
			}
			return []directory.Entry{me.Put()}
		})
		if err == nil {
			return
		}
		select {
		case <-m.tomb.Dying():
		case <-time.After(retryRead):
		}
	}
}

// committed follows a change that this daemon made, and tells the others.
func (m *Mesh) committed(what string, u directory.Update) {
	m.mu.Lock()
	m.apply(boottime.Now(), u)
	m.mu.Unlock()
	m.log.Info("directory changed", "what", what, "base", u.Base, "version", u.End, "entries", len(u.Entries))
	msg := toUpdate(u)
	for _, addr := range m.others() {
		go m.tell(addr, peer.Requests, msg)
	}
}
