package mesh

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

// A store that comes back from a copy has lost the newest changes of the directory. Its
// members know them, so the directory goes on from the newest version that a member has:
//
//   - Each response of the store names its era, and members tell one another. A member
//     that learns of an era applies and commits no changes of earlier ones any more. Its
//     lease stays valid, as in an outage of the store, for BlindLimit at most.
//   - One member asks all others for their version, and writes the newest directory into
//     the era, in one conditional append if it fits. Members that do not answer become
//     fenced.
//   - A member that did not answer, or a process that has ended, may have known a change
//     that is lost, and keys may be held by that change. Until all such leases have
//     certainly expired, no keys get a new owner, and members only renew grants that are
//     still valid (tenure.LeaseTable.EraSettled). Keys that a target does not hold get a
//     fence of the new era before they are granted.
//
// Versions and fences contain the era (directory.VersionAt) and so never fall.

const (
	eraInterval = 50 * time.Millisecond
	// eraRankDelay is the delay between the members that may all write the directory
	// into a new era, so that they do not ask all others at the same time.
	eraRankDelay = 300 * time.Millisecond
	// eraBlankDelay is how long a member without a directory waits for one that has it.
	eraBlankDelay = 2 * time.Second
	// eraCollectTime is how long members are asked for their version: a process that was
	// killed takes about a second to return. eraAskInterval is the time between two
	// calls to a member that has not answered.
	eraCollectTime = 1200 * time.Millisecond
	eraAskInterval = 200 * time.Millisecond
	// eraRetryDelay is the delay after a failed attempt.
	eraRetryDelay = 400 * time.Millisecond
	// maxEraAppendBytes limits one append; the store accepts 2 MiB.
	maxEraAppendBytes = 1 << 20
)

// observeEra records that the store is in the given era, if that is the latest. An era that
// no store reaches is ignored: all later changes would be of an earlier one.
func (m *Mesh) observeEra(now time.Time, era uint64) {
	m.eraMu.Lock()
	defer m.eraMu.Unlock()
	if era <= max(m.storeEra.Load(), directory.FirstEra) || era > directory.LastEra {
		return
	}
	m.storeEra.Store(era)
	m.store.ObserveEra(era)
	m.eraKnownAt = now
	m.metrics.storeEra.Update(float64(era))
	m.log.Warn("store came back from a copy", "era", era)
}

// eraPending reports whether the directory has not been written into the store's era, as
// far as this member knows. The caller holds the mutex.
func (m *Mesh) eraPending() bool { return m.storeEra.Load() > directory.EraOf(m.dir.Version()) }

// mayReassign reports whether keys may get another owner: the store can record it, and
// nobody holds keys by a change that the store has lost. The caller holds the mutex.
func (m *Mesh) mayReassign(now time.Time) bool {
	return m.storeOK && m.mayGrantNew(now)
}

// handleEraSync answers with the version of the directory that this member has.
func (m *Mesh) handleEraSync(sync *peerpb.EraSync) *peerpb.Reply {
	m.observeEra(boottime.Now(), sync.Era)
	m.mu.Lock()
	defer m.mu.Unlock()
	return &peerpb.Reply{Granted: true, NextOffset: m.dir.Version(), StoreEra: m.storeEra.Load()}
}

// runEra is the task that writes the directory into a new era of the store.
func (m *Mesh) runEra() error {
	t := eraTask{mesh: m}
	return m.runEvery(eraInterval, t.tick)
}

// eraTask is the state of the task.
type eraTask struct {
	mesh *Mesh
	// nextAt is the earliest time of the next attempt.
	nextAt time.Time
}

// tick runs one round.
func (t *eraTask) tick(now time.Time) {
	m := t.mesh
	m.observeEra(now, m.store.Era())
	if m.storeEra.Load() == directory.FirstEra || now.Before(t.nextAt) {
		return
	}
	m.mu.Lock()
	pending, start := m.eraPending(), m.dir.EraStart()
	settle := !pending && !start.Settled() && m.leases.EraSettled(now, m.dir) && m.isPlanner(now)
	refence := !pending && m.loaded && !m.leaving && len(m.formerFenceEntries(now, m.dir)) > 0
	delay := m.eraDelay(now)
	m.mu.Unlock()
	m.eraMu.Lock()
	due := pending && now.Sub(m.eraKnownAt) >= delay
	m.eraMu.Unlock()
	var err error
	switch {
	case due:
		err = m.startEra()
		if err != nil && m.tomb.Alive() {
			m.log.Warn("directory not written into the store's era", "era", m.storeEra.Load(), "error", err)
		}
	case refence:
		err = m.commit("era fence", func(dir *directory.Directory) []directory.Entry {
			return m.formerFenceEntries(boottime.Now(), dir)
		})
		m.logCommitError("era fence", err)
	case settle:
		err = m.commit("era settled", func(dir *directory.Directory) []directory.Entry {
			if dir.EraStart().Settled() {
				return nil
			}
			return []directory.Entry{directory.EraStart{Era: dir.EraStart().Era}.PutEntry()}
		})
		m.logCommitError("era settled", err)
	}
	if err != nil {
		t.nextAt = boottime.Now().Add(eraRetryDelay + rand.N(eraRetryDelay))
	}
}

// eraDelay returns how long this member waits for others to write the directory into a
// new era. The caller holds the mutex.
func (m *Mesh) eraDelay(now time.Time) time.Duration {
	if m.dir.Version() == 0 {
		return eraBlankDelay
	}
	rank := 0
	for _, member := range m.dir.Members() {
		if member.Address == m.cfg.Self {
			break
		}
		if member.State == directory.Active && now.Sub(m.leases.LastHeartbeatAt(member.Address)) < 2*tenure.HeartbeatTimeout+m.heartbeatRotationTime() {
			rank++
		}
	}
	return time.Duration(rank) * eraRankDelay
}

// startEra writes the newest directory that a member has into the store's era, unless
// another member has done so.
func (m *Mesh) startEra() error {
	m.commitMu.Lock()
	defer m.commitMu.Unlock()
	ctx, cancel := m.withTimeout(fullReadTimeout)
	found, err := m.store.Read(ctx, 0)
	cancel()
	var missing *EraError
	switch {
	case err == nil:
		m.mu.Lock()
		m.apply(boottime.Now(), found)
		m.mu.Unlock()
		return nil
	case !errors.As(err, &missing):
		return err
	}
	c := &eraCollection{mesh: m, era: missing.Era, newest: directory.New(), heardAt: map[netip.AddrPort]uint64{}}
	if err := c.run(); err != nil {
		return err
	}
	entries := c.newest.StartEra(missing.Era, m.cfg.Self, c.unheard(), c.fromCopy, missing.Leftover.Entries)
	end := max(missing.Leftover.End, directory.VersionAt(missing.Era, 0))
	for _, part := range splitEntries(entries, maxEraAppendBytes) {
		ctx, cancel := m.withTimeout(fullReadTimeout)
		result := m.store.Append(ctx, directory.Update{Base: end, Entries: part})
		cancel()
		applied, ok := result.(directory.Applied)
		if !ok {
			return fmt.Errorf("era %d is not written: %T", missing.Era, result) // if it was applied after all, a later read finds it
		}
		end = applied.End
	}
	u := directory.Update{End: end, Entries: withoutDeletions(entries)}
	m.mu.Lock()
	applied := m.apply(boottime.Now(), u)
	m.mu.Unlock()
	m.log.Warn("directory written into the store's era", "era", missing.Era, "version", end, "from", c.newest.Version(),
		"heard", len(c.heardAt), "unheard", len(c.unheard()), "from_copy", c.fromCopy, "applied", applied)
	msg := m.encodeUpdate(u)
	for _, addr := range m.otherMembers() {
		go m.sendUpdate(addr, peer.Control, msg)
	}
	return nil
}

// eraCollection collects the versions of the directory that the members have.
type eraCollection struct {
	mesh *Mesh
	era  uint64
	// newest is the newest directory that a member has.
	newest *directory.Directory
	// fromCopy is set if no member has the directory, so that newest is the store's copy.
	fromCopy bool
	mu       sync.Mutex
	// heardAt is the version that each member has answered with; 0 for a process that
	// does not have the directory.
	heardAt map[netip.AddrPort]uint64
}

// run asks all members until each has answered or eraCollectTime has passed. The error is
// set if another member has written the directory into the era, or if no directory is
// found.
func (c *eraCollection) run() error {
	m := c.mesh
	m.mu.Lock()
	if own := m.dir.Snapshot(); own.End > 0 {
		c.newest.Apply(own)
	}
	c.heardAt[m.cfg.Self] = m.dir.Version()
	m.mu.Unlock()
	if c.newest.Version() == 0 {
		if err := c.readCopy(); err != nil {
			return err
		}
	}
	for end := boottime.Now().Add(eraCollectTime); ; {
		round := time.Now()
		c.askUnheard()
		if err := c.fetchNewest(); err != nil {
			return err
		}
		if len(c.silent()) == 0 || !boottime.Now().Before(end) {
			return nil
		}
		select {
		case <-m.tomb.Dying():
			return errShuttingDown
		case <-time.After(time.Until(round.Add(eraAskInterval))):
		}
	}
}

// readCopy takes the directory from the store's copy, until a member answers with a newer
// one.
func (c *eraCollection) readCopy() error {
	ctx, cancel := c.mesh.withTimeout(fullReadTimeout)
	defer cancel()
	u, err := c.mesh.store.ReadFormer(ctx, c.era)
	if err != nil {
		return err
	}
	c.newest.Apply(u)
	c.fromCopy = true
	return nil
}

// silent returns the members that have not answered.
func (c *eraCollection) silent() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []netip.AddrPort
	for _, member := range c.newest.Members() {
		if _, heard := c.heardAt[member.Address]; !heard {
			list = append(list, member.Address)
		}
	}
	return list
}

// askUnheard asks the members that have not answered for their version.
func (c *eraCollection) askUnheard() {
	var calls sync.WaitGroup
	for _, addr := range c.silent() {
		calls.Go(func() {
			ctx, cancel := c.mesh.withTimeout(peerTimeout)
			defer cancel()
			reply, err := c.mesh.pool.CallWithPurpose(ctx, addr, peer.Control, &peerpb.Call{Kind: &peerpb.Call_EraSync{EraSync: &peerpb.EraSync{Era: c.era}}})
			if err != nil || !reply.Granted {
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.heardAt[addr] = reply.NextOffset
		})
	}
	calls.Wait()
}

// fetchNewest fetches the directory from the member with the newest version, if that is
// newer than the one at hand.
func (c *eraCollection) fetchNewest() error {
	c.mu.Lock()
	var from netip.AddrPort
	newest := c.newest.Version()
	if c.fromCopy {
		newest = 0 // what a member knows goes before the copy
	}
	for addr, version := range c.heardAt {
		if version > newest {
			from, newest = addr, version
		}
	}
	c.mu.Unlock()
	if !from.IsValid() {
		return nil
	}
	ctx, cancel := c.mesh.withTimeout(fetchTimeout)
	defer cancel()
	reply, err := c.mesh.pool.CallWithPurpose(ctx, from, peer.Requests, &peerpb.Call{Kind: &peerpb.Call_Snapshot{Snapshot: &peerpb.Snapshot{}}})
	if err != nil {
		return err
	}
	u, err := unpackUpdate(reply.Update)
	switch {
	case err != nil:
		return err
	case directory.EraOf(u.End) >= c.era:
		c.mesh.applyFetched(from, reply.Update)
		return errContended
	case u.End < newest:
		return errContended // the member is encoding the directory for another one
	}
	c.newest, c.fromCopy = directory.New(), false
	c.newest.Apply(u)
	return nil
}

// unheard returns the members whose knowledge is not part of the newest directory: those
// that did not answer, have no directory, or have one of an earlier era.
func (c *eraCollection) unheard() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []netip.AddrPort
	for _, member := range c.newest.Members() {
		version, heard := c.heardAt[member.Address]
		if !heard || version == 0 || directory.EraOf(version) < directory.EraOf(c.newest.Version()) {
			list = append(list, member.Address)
		}
	}
	return list
}

// splitEntries splits entries into parts of about maxBytes, in order.
func splitEntries(entries []directory.Entry, maxBytes int) [][]directory.Entry {
	var parts [][]directory.Entry
	size := 0
	for _, e := range entries {
		if n := len(e.Key) + len(e.Value); len(parts) == 0 || size+n > maxBytes {
			parts, size = append(parts, nil), 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], e)
		size += len(e.Key) + len(e.Value)
	}
	return parts
}

// withoutDeletions returns the entries that have a value.
func withoutDeletions(entries []directory.Entry) []directory.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e directory.Entry) bool { return len(e.Value) == 0 })
}
