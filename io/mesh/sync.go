package mesh

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

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
	// wholeReadTimeout bounds a read of the whole directory, which takes three
	// calls one after the other.
	wholeReadTimeout = 3 * storeTimeout
	// peerTimeout bounds a control call to another daemon.
	peerTimeout = 250 * time.Millisecond
	// fetchTimeout bounds a call for the directory or the configuration, which are
	// larger than other answers. A daemon that is that slow still gets them.
	fetchTimeout = time.Second
	// fetchDelay is how long a change may take from the daemon that made it: a
	// few times the round trip within a region.
	fetchDelay = 60 * time.Millisecond
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
		m.changes.Early(u)
		return false
	}
	began := time.Now()
	if !m.dir.Apply(u) {
		return false
	}
	m.changes.Applied(u)
	m.metrics.applied.Inc(1)
	for {
		next, ok := m.changes.Next(m.dir.End())
		if !ok || !m.dir.Apply(next) {
			break
		}
		m.changes.Applied(next)
		m.metrics.applied.Inc(1)
	}
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
	for _, addr := range m.others() {
		go m.tell(addr, peer.Requests, u)
	}
}

// others returns the addresses of all other members.
func (m *Mesh) others() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []netip.AddrPort
	for _, member := range m.dir.Members() {
		if member.Address != m.cfg.Self {
			list = append(list, member.Address)
		}
	}
	return list
}

// tell passes a change on to another daemon over a session for purpose, and returns
// the version that it has then; 0 if it does not answer.
func (m *Mesh) tell(addr netip.AddrPort, purpose peer.Purpose, u directory.Update) uint64 {
	ctx, cancel := m.timeout(peerTimeout)
	defer cancel()
	m.metrics.told.Inc(1)
	msg := toUpdate(u)
	if u.Base == 0 {
		var err error
		if msg, err = packUpdate(u); err != nil {
			m.log.Warn("directory does not pack", "version", u.End, "error", err)
			return 0
		}
	}
	reply, err := m.pool.AskOver(ctx, addr, purpose, &peerpb.Call{Kind: &peerpb.Call_Update{Update: msg}})
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		// The VM answers and nothing listens: the daemon's process has ended.
		m.book.Ended(boottime.Now(), addr)
	}
	if err != nil {
		return 0 // the heartbeats bring it there
	}
	m.book.Confirmed(boottime.Now(), addr, reply.NextOffset)
	return reply.NextOffset
}

// bring makes sure that the daemon at addr has a version after the given one, by
// what it misses of the changes.
func (m *Mesh) bring(addr netip.AddrPort, version uint64) {
	if has := m.tell(addr, peer.Control, m.changesSince(version)); has > 0 && has <= version {
		m.tell(addr, peer.Control, m.changesSince(has))
	}
}

// changesSince returns the changes of the directory since version, or the whole
// directory if they are not kept.
func (m *Mesh) changesSince(version uint64) directory.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u, ok := m.changes.Since(version); ok {
		return u
	}
	return m.dir.Snapshot()
}

// answerSnapshot returns the changes of the directory since a version.
func (m *Mesh) answerSnapshot(question *peerpb.Snapshot) *peerpb.Reply {
	m.mu.Lock()
	end := m.dir.End()
	m.mu.Unlock()
	if since := question.GetSince(); since > 0 && since >= end {
		return &peerpb.Reply{NextOffset: end}
	}
	u := m.changesSince(question.GetSince())
	if u.Base > 0 {
		return &peerpb.Reply{NextOffset: u.End, Update: toUpdate(u)}
	}
	if !m.packing.TryLock() {
		return &peerpb.Reply{NextOffset: end} // others have it, or the next heartbeat asks again
	}
	defer m.packing.Unlock()
	packed, err := packUpdate(u)
	if err != nil {
		m.log.Warn("directory does not pack", "version", u.End, "error", err)
	}
	return &peerpb.Reply{NextOffset: u.End, Update: packed}
}

// answerUpdate applies a change that another daemon made. What is missing before it
// is asked for when heartbeats show that it does not come.
func (m *Mesh) answerUpdate(msg *peerpb.Update) *peerpb.Reply {
	u, err := unpackUpdate(msg)
	if err != nil {
		return &peerpb.Reply{Error: "update does not unpack: " + err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(boottime.Now(), u)
	return &peerpb.Reply{Granted: true, NextOffset: m.dir.End()}
}

// behind reports whether a daemon that has the directory up to end, and a version
// of the configuration, has a later one of either than this one. The caller holds
// the mutex.
func (m *Mesh) behind(end, version uint64) (directory, config bool) {
	if m.table == nil {
		return end > m.dir.End(), version > 0
	}
	return end > m.dir.End(), version > m.table.Version
}

// fetch takes the changes of the directory and the configuration from a daemon that
// has later ones, unless they are being taken from another. A daemon that is up to
// date otherwise waits for a moment first: what one member hears of, the others are
// about to hear of as well.
func (m *Mesh) fetch(addr netip.AddrPort, end, version uint64) {
	m.mu.Lock()
	needDir, needConfig := m.behind(end, version)
	if m.fetching || (!needDir && !needConfig) {
		m.mu.Unlock()
		return
	}
	m.fetching = true
	started := m.loaded && m.table != nil
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.fetching = false
		m.mu.Unlock()
	}()
	if started {
		select {
		case <-m.tomb.Dying():
			return
		case <-time.After(fetchDelay):
		}
	}
	m.mu.Lock()
	needDir, needConfig = m.behind(end, version)
	since := m.dir.End()
	m.mu.Unlock()
	if needDir {
		ctx, cancel := m.timeout(fetchTimeout)
		m.metrics.fetched.Inc(1)
		reply, err := m.pool.AskOver(ctx, addr, peer.Requests, &peerpb.Call{Kind: &peerpb.Call_Snapshot{Snapshot: &peerpb.Snapshot{Since: since}}})
		cancel()
		if err == nil && reply.Update != nil {
			m.applyFetched(addr, reply.Update)
		}
	}
	if needConfig {
		m.fetchConfig(addr)
	}
}

// applyFetched applies what was fetched from the daemon at addr.
func (m *Mesh) applyFetched(addr netip.AddrPort, msg *peerpb.Update) {
	u, err := unpackUpdate(msg)
	if err != nil {
		m.log.Warn("directory of a peer does not unpack", "peer", addr, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.apply(boottime.Now(), u) {
		m.noteLoaded("peer")
	}
}

// toUpdate returns u in the form of the protocol.
func toUpdate(u directory.Update) *peerpb.Update {
	msg := &peerpb.Update{Base: u.Base, End: u.End, Entries: make([]*peerpb.DirectoryEntry, 0, len(u.Entries))}
	for _, e := range u.Entries {
		msg.Entries = append(msg.Entries, &peerpb.DirectoryEntry{Key: e.Key, Value: e.Value})
	}
	return msg
}

// packUpdate returns u in the compressed form of the protocol: a whole directory is
// a few hundred kilobytes of entries that are much alike, and many members that start
// at a time ask for it over links that requests share.
func packUpdate(u directory.Update) (*peerpb.Update, error) {
	data, err := proto.Marshal(toUpdate(u))
	if err != nil {
		return nil, eris.Wrap(err, "encode update")
	}
	var packed bytes.Buffer
	w, _ := flate.NewWriter(&packed, flate.BestSpeed) // the level is valid
	_, _ = w.Write(data)                              // a bytes.Buffer takes all
	_ = w.Close()
	return &peerpb.Update{Base: u.Base, End: u.End, Packed: packed.Bytes()}, nil
}

// unpackUpdate returns the update of a message, in whichever form it is.
func unpackUpdate(msg *peerpb.Update) (directory.Update, error) {
	const mostBytes = 64 << 20 // six times the directory of a fleet of 3,200
	if len(msg.GetPacked()) == 0 {
		return fromUpdate(msg), nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(msg.Packed)), mostBytes))
	if err != nil {
		return directory.Update{}, eris.Wrap(err, "decompress update")
	}
	unpacked := &peerpb.Update{}
	if err := proto.Unmarshal(data, unpacked); err != nil {
		return directory.Update{}, eris.Wrap(err, "decode update")
	}
	return fromUpdate(unpacked), nil
}

// fromUpdate returns the update of a message.
func fromUpdate(msg *peerpb.Update) directory.Update {
	u := directory.Update{Base: msg.GetBase(), End: msg.GetEnd()}
	for _, e := range msg.GetEntries() {
		u.Entries = append(u.Entries, directory.Entry{Key: e.Key, Value: e.Value})
	}
	return u
}
