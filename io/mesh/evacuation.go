package mesh

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"siskinknot/core/directory"
	"siskinknot/core/evacuation"
	"siskinknot/core/outcome"
	"siskinknot/io/boottime"
	"siskinknot/io/peer/peerpb"
)

// The operator evacuates a zone with a record in the store. Each daemon reads the records, and
// daemons send one another the set of evacuated zones (package evacuation) in heartbeats and
// their replies. The daemon beside a target of an evacuated zone decides: it sends nothing new
// to the target, gives its keys away, and accepts no others. Ingress daemons choose targets and
// owners in other zones.

// ApplyEvacuationSnapshot applies the operator's newest record of each zone, which include all
// records before version.
func (m *Mesh) ApplyEvacuationSnapshot(version uint64, records []evacuation.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	m.recordEvacuationChange(now, m.evacuation.ApplySnapshot(now, version, records), "store")
}

// ApplyEvacuationRecords applies the operator's records between the versions base and version.
// It returns false if records before base are missing.
func (m *Mesh) ApplyEvacuationRecords(base, version uint64, records []evacuation.Record) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	change, ok := m.evacuation.ApplyRecords(now, base, version, records)
	m.recordEvacuationChange(now, change, "store")
	return ok
}

// mergeEvacuations applies the set that another daemon has sent. The caller holds the mutex.
func (m *Mesh) mergeEvacuations(now time.Time, from string, set *peerpb.Evacuations) {
	if set == nil {
		return
	}
	change := m.evacuation.Merge(now, evacuation.Set{Version: set.Version, Zones: set.Zones})
	m.recordEvacuationChange(now, change, from)
}

// tickEvacuations notices that this daemon was paused: it may have missed an evacuation, and sends
// nothing to its target until another daemon has replied to a heartbeat.
func (m *Mesh) tickEvacuations(now time.Time) {
	if m.evacuation.Tick(now) {
		m.log.Warn("daemon was paused", "at_least_ms", evacuation.PauseLimit.Milliseconds())
	}
}

// expireEvacuations ends the evacuation of zones whose record the store has lost, and that the
// operator has not written again in time.
func (m *Mesh) expireEvacuations(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordEvacuationChange(now, m.evacuation.Expire(now), "expiry")
}

// evacuationsToSend returns the set for a message to another daemon, or nil if none is known.
func (m *Mesh) evacuationsToSend() *peerpb.Evacuations {
	set := m.evacuation.Shared()
	if set.Version == 0 {
		return nil
	}
	return &peerpb.Evacuations{Version: set.Version, Zones: set.Zones}
}

// evacuationsInReply returns the set for the reply to a heartbeat that contained the set
// received, or nil if the sender knows all that this daemon does.
func (m *Mesh) evacuationsInReply(received *peerpb.Evacuations) *peerpb.Evacuations {
	set := m.evacuationsToSend()
	if set != nil && set.Version == received.GetVersion() && slices.Equal(set.Zones, received.GetZones()) {
		return nil
	}
	return set
}

// recordEvacuationChange logs a change of the set of evacuated zones, and notifies those that
// wait for a change. source says where it comes from. The caller holds the mutex.
func (m *Mesh) recordEvacuationChange(now time.Time, change evacuation.Change, source string) {
	if change.IsEmpty() {
		return
	}
	set := m.evacuation.Current()
	m.log.Info("evacuated zones changed", "zones", strings.Join(set.Zones, ","), "begun", strings.Join(change.Begun, ","),
		"ended", strings.Join(change.Ended, ","), "version", set.Version, "source", source)
	m.metrics.evacuatedZones.Update(float64(len(set.Zones)))
	m.logUnknownZones(change.Begun)
	if slices.Contains(change.Ended, m.cfg.Zone) {
		m.zoneReturned(now)
	}
	m.notify()
}

// logUnknownZones logs which of the evacuated zones have no member. The caller holds the mutex.
func (m *Mesh) logUnknownZones(zones []string) {
	if !m.loaded {
		return // markLoaded logs them
	}
	for _, zone := range zones {
		inZone := func(member *directory.Member) bool { return member.Zone == zone }
		if !slices.ContainsFunc(m.dir.Members(), inZone) {
			m.log.Warn("evacuated zone has no members", "zone", zone)
		}
	}
}

// zoneReturned is called when the evacuation of this daemon's zone has ended, before any request
// is sent to the target. The caller holds the mutex, and notifies those that wait for a change.
func (m *Mesh) zoneReturned(now time.Time) {
	m.log.Info("evacuation of this zone has ended", "zone", m.cfg.Zone, "target_cold", now.Before(m.target.coldUntil))
	m.assumeCold(now)
}

// zoneRefusal returns why the zone of this daemon does not allow requests to be sent to the
// target at now, or nil.
func (m *Mesh) zoneRefusal(now time.Time) outcome.Result {
	switch m.evacuation.Verdict(now, m.cfg.Zone) {
	case evacuation.Evacuated:
		m.metrics.rejectedEvacuated.Inc(1)
		return outcome.NotRun{Reason: outcome.Evacuated}
	case evacuation.Unknown:
		return outcome.NotRun{Reason: outcome.Starting}
	default:
		return nil
	}
}

// zoneEvacuated reports whether the zone of this daemon is evacuated.
func (m *Mesh) zoneEvacuated() bool { return m.evacuation.Current().Contains(m.cfg.Zone) }

// mayTransferAll reports whether all keys may be given to other members. In an evacuated zone
// the keys are of no use where they are, so a daemon whose calls the store rejects transfers them
// through another daemon that reaches the store. The caller holds the mutex.
func (m *Mesh) mayTransferAll(now time.Time) bool {
	return m.mayReassign(now) || (m.zoneEvacuated() && m.mayGrantNew(now) && len(m.allRelays(now)) > 0)
}

// evacuatedOwnerRefusal returns why c is not sent to the owner of its key, if the owner's zone is
// evacuated, or nil. The key gets an owner in another zone if there is a member; if not, it is set
// in c that no retry can succeed.
func (m *Mesh) evacuatedOwnerRefusal(c *call) outcome.Result {
	set := m.evacuation.Current()
	if len(set.Zones) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.dir.AssignmentOf(c.head.Service, c.key)
	if a == nil {
		return nil
	}
	if owner := m.dir.Member(a.Owner); owner == nil || !set.Contains(owner.Zone) {
		return nil
	}
	c.allEvacuated = !slices.ContainsFunc(m.dir.MembersOf(c.head.Service), func(member *directory.Member) bool { return !set.Contains(member.Zone) })
	return outcome.NotRun{Reason: outcome.Evacuated}
}

// avoidZoneOf excludes the zone of the member at addr, which has rejected c because the zone is
// evacuated, from the next attempts.
func (m *Mesh) avoidZoneOf(c *call, addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if member := m.dir.Member(addr); member != nil {
		c.avoidedZones = append(c.avoidedZones, member.Zone)
	}
}
