package mesh

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
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

const (
	// fetchTimeout bounds a call for the directory or the configuration, which are
	// larger than other answers. A daemon that is that slow still gets them.
	fetchTimeout = time.Second
	// fetchDelay is how long a change may take from the daemon that made it: a
	// few times the round trip within a region.
	fetchDelay = 60 * time.Millisecond
)

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
func (m *Mesh) tell(addr netip.AddrPort, purpose peer.Purpose, msg *peerpb.Update) uint64 {
	ctx, cancel := m.timeout(peerTimeout)
	defer cancel()
	m.metrics.told.Inc(1)
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
	if has := m.tell(addr, peer.Control, m.message(m.changesSince(version))); has > 0 && has <= version {
		m.tell(addr, peer.Control, m.message(m.changesSince(has)))
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
	if u.Base == 0 {
		if !m.packing.TryLock() {
			return &peerpb.Reply{NextOffset: end} // others have it, or the next heartbeat asks again
		}
		defer m.packing.Unlock()
	}
	return &peerpb.Reply{NextOffset: u.End, Update: m.message(u)}
}

// message returns u in the form in which it is sent: a whole directory is packed. It
// returns nil if u does not encode.
func (m *Mesh) message(u directory.Update) *peerpb.Update {
	if u.Base > 0 {
		return toUpdate(u)
	}
	packed, err := packUpdate(u)
	if err != nil {
		m.log.Warn("directory does not pack", "version", u.End, "error", err)
	}
	return packed
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
