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
	// fetchTimeout limits a call that fetches the directory or the
	// configuration, which are larger than other answers. It is long enough for
	// a daemon that responds slowly.
	fetchTimeout = time.Second
	// fetchDelay is how long a change may take to arrive from the daemon that
	// made it: a few times the round trip within a region.
	fetchDelay = 60 * time.Millisecond
)

// otherMembers returns the addresses of all other members.
func (m *Mesh) otherMembers() []netip.AddrPort {
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

// sendUpdate sends a change to another daemon over a session for purpose, and
// returns the version that the daemon has afterwards, or 0 if it does not
// respond.
func (m *Mesh) sendUpdate(addr netip.AddrPort, purpose peer.Purpose, msg *peerpb.Update) uint64 {
	ctx, cancel := m.withTimeout(peerTimeout)
	defer cancel()
	m.metrics.told.Inc(1)
	calledAt := boottime.Now()
	reply, err := m.pool.CallWithPurpose(ctx, addr, purpose, &peerpb.Call{Kind: &peerpb.Call_Update{Update: msg}})
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		// The VM responds, but nothing listens there: the daemon's process has
		// ended.
		m.leases.RecordProcessEnd(boottime.Now(), calledAt, addr)
	}
	if err != nil {
		return 0 // heartbeats bring the daemon up to date later
	}
	m.leases.RecordConfirmation(boottime.Now(), addr, reply.NextOffset)
	return reply.NextOffset
}

// bringUpToDate sends the daemon at addr the changes it is missing, until it
// has a later version than the given one. It makes at most two attempts.
func (m *Mesh) bringUpToDate(addr netip.AddrPort, version uint64) {
	if known := m.sendUpdate(addr, peer.Control, m.encodeUpdate(m.changesSince(version))); known > 0 && known <= version {
		m.sendUpdate(addr, peer.Control, m.encodeUpdate(m.changesSince(known)))
	}
}

// changesSince returns the changes of the directory since version, or the whole
// directory if these changes are no longer kept.
func (m *Mesh) changesSince(version uint64) directory.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u, ok := m.changes.Since(version); ok {
		return u
	}
	return m.dir.Snapshot()
}

// handleSnapshot returns the changes of the directory since a version, or the
// whole directory. It encodes the whole directory for one member at a time.
func (m *Mesh) handleSnapshot(req *peerpb.Snapshot) *peerpb.Reply {
	m.mu.Lock()
	version := m.dir.Version()
	m.mu.Unlock()
	if since := req.GetSince(); since > 0 && since >= version {
		return &peerpb.Reply{NextOffset: version}
	}
	u := m.changesSince(req.GetSince())
	if u.Base == 0 {
		if !m.snapshotMu.TryLock() {
			return &peerpb.Reply{NextOffset: version} // the member gets it from another one, or asks again after the next heartbeat
		}
		defer m.snapshotMu.Unlock()
	}
	return &peerpb.Reply{NextOffset: u.End, Update: m.encodeUpdate(u)}
}

// encodeUpdate returns the protocol message for u. A whole directory is
// compressed. It returns nil if u cannot be encoded.
func (m *Mesh) encodeUpdate(u directory.Update) *peerpb.Update {
	if u.Base > 0 {
		return updateToProto(u)
	}
	packed, err := packUpdate(u)
	if err != nil {
		m.log.Warn("directory does not pack", "version", u.End, "error", err)
	}
	return packed
}

// handleUpdate applies a change that another daemon made. Missing earlier
// changes are fetched when heartbeats show that they have not arrived.
func (m *Mesh) handleUpdate(msg *peerpb.Update) *peerpb.Reply {
	u, err := unpackUpdate(msg)
	if err != nil {
		return &peerpb.Reply{Error: "update does not unpack: " + err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(boottime.Now(), u)
	return &peerpb.Reply{Granted: true, NextOffset: m.dir.Version()}
}

// behind reports whether this daemon's directory is older than dirVersion, and
// whether its configuration is older than configVersion. The caller holds the
// mutex.
func (m *Mesh) behind(dirVersion, configVersion uint64) (directory, config bool) {
	if m.table == nil {
		return dirVersion > m.dir.Version(), configVersion > 0
	}
	return dirVersion > m.dir.Version(), configVersion > m.table.Version
}

// fetch starts to fetch the directory changes and the configuration from a daemon that
// has later ones. Neither waits for the other: only the configuration has to be in
// effect within a fixed time, and there may be many changes. The caller holds the mutex.
func (m *Mesh) fetch(now time.Time, addr netip.AddrPort, dirVersion, configVersion uint64) {
	needDir, needConfig := m.behind(dirVersion, configVersion)
	if needDir && !m.fetching {
		m.fetching = true
		go m.fetchDirectory(addr, dirVersion)
	}
	if needConfig && m.configFetches.start(now, addr) {
		go m.fetchConfig(addr, configVersion)
	}
}

// waitForChange waits as long as a change that has reached another member usually takes
// to arrive here too. A daemon without a directory or a configuration does not wait.
func (m *Mesh) waitForChange() {
	m.mu.Lock()
	initialized := m.loaded && m.table != nil
	m.mu.Unlock()
	if !initialized {
		return
	}
	select {
	case <-m.tomb.Dying():
	case <-time.After(fetchDelay):
	}
}

// fetchDirectory fetches the directory changes from a daemon that has version, unless
// they arrive meanwhile.
func (m *Mesh) fetchDirectory(addr netip.AddrPort, version uint64) {
	defer func() {
		m.mu.Lock()
		m.fetching = false
		m.mu.Unlock()
	}()
	m.waitForChange()
	m.mu.Lock()
	needed, _ := m.behind(version, 0)
	since := m.dir.Version()
	m.mu.Unlock()
	if !needed || !m.tomb.Alive() {
		return
	}
	ctx, cancel := m.withTimeout(fetchTimeout)
	defer cancel()
	m.metrics.fetched.Inc(1)
	reply, err := m.pool.CallWithPurpose(ctx, addr, peer.Requests, &peerpb.Call{Kind: &peerpb.Call_Snapshot{Snapshot: &peerpb.Snapshot{Since: since}}})
	if err == nil && reply.Update != nil {
		m.applyFetched(addr, reply.Update)
	}
}

// applyFetched applies an update fetched from the daemon at addr.
func (m *Mesh) applyFetched(addr netip.AddrPort, msg *peerpb.Update) {
	u, err := unpackUpdate(msg)
	if err != nil {
		m.log.Warn("directory of a peer does not unpack", "peer", addr, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.apply(boottime.Now(), u) {
		m.markLoaded("peer")
	}
}

// updateToProto converts u to its protocol message.
func updateToProto(u directory.Update) *peerpb.Update {
	msg := &peerpb.Update{Base: u.Base, End: u.End, Entries: make([]*peerpb.DirectoryEntry, 0, len(u.Entries))}
	for _, e := range u.Entries {
		msg.Entries = append(msg.Entries, &peerpb.DirectoryEntry{Key: e.Key, Value: e.Value})
	}
	return msg
}

// packUpdate converts u to its compressed (packed) protocol message. A whole
// directory is a few hundred kilobytes of similar entries, and many members
// that start at the same time fetch it over links that also carry requests.
func packUpdate(u directory.Update) (*peerpb.Update, error) {
	data, err := proto.Marshal(updateToProto(u))
	if err != nil {
		return nil, eris.Wrap(err, "encode update")
	}
	var packed bytes.Buffer
	w, _ := flate.NewWriter(&packed, flate.BestSpeed) // the level is valid
	_, _ = w.Write(data)                              // a bytes.Buffer accepts all writes
	_ = w.Close()
	return &peerpb.Update{Base: u.Base, End: u.End, Packed: packed.Bytes()}, nil
}

// unpackUpdate converts a packed or uncompressed message to an update.
func unpackUpdate(msg *peerpb.Update) (directory.Update, error) {
	const maxBytes = 64 << 20 // six times the size of the directory of a fleet of 3,200 members
	if len(msg.GetPacked()) == 0 {
		return updateFromProto(msg), nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(msg.Packed)), maxBytes))
	if err != nil {
		return directory.Update{}, eris.Wrap(err, "decompress update")
	}
	unpacked := &peerpb.Update{}
	if err := proto.Unmarshal(data, unpacked); err != nil {
		return directory.Update{}, eris.Wrap(err, "decode update")
	}
	return updateFromProto(unpacked), nil
}

// updateFromProto converts an uncompressed message to an update.
func updateFromProto(msg *peerpb.Update) directory.Update {
	u := directory.Update{Base: msg.GetBase(), End: msg.GetEnd()}
	for _, e := range msg.GetEntries() {
		u.Entries = append(u.Entries, directory.Entry{Key: e.Key, Value: e.Value})
	}
	return u
}
