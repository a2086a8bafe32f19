package mesh

import (
	"net/netip"
	"time"

	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
)

const (
	// configHedgeDelay is how long a fetch of the configuration may be in progress
	// before another daemon is asked as well: a few times the usual duration.
	configHedgeDelay = 250 * time.Millisecond
	// maxConfigFetches is how many daemons may be asked at the same time. A document
	// has up to 256 KiB.
	maxConfigFetches = 4
)

// configFetches are the fetches of the configuration that are in progress.
type configFetches struct {
	// startedAt is when the last one was started.
	startedAt time.Time
	from      map[netip.AddrPort]struct{}
}

// start reports whether the configuration has to be fetched from the daemon at addr, and
// records that fetch. The daemons asked before may respond late or not at all.
func (f *configFetches) start(now time.Time, addr netip.AddrPort) bool {
	_, asked := f.from[addr]
	if asked || len(f.from) >= maxConfigFetches || (len(f.from) > 0 && now.Sub(f.startedAt) < configHedgeDelay) {
		return false
	}
	if f.from == nil {
		f.from = map[netip.AddrPort]struct{}{}
	}
	f.from[addr] = struct{}{}
	f.startedAt = now
	return true
}

// end records that the fetch from the daemon at addr has ended.
func (f *configFetches) end(addr netip.AddrPort) { delete(f.from, addr) }

// fetchConfig fetches the configuration from a daemon that has version, unless it arrives
// meanwhile.
func (m *Mesh) fetchConfig(addr netip.AddrPort, version uint64) {
	defer func() {
		m.mu.Lock()
		m.configFetches.end(addr)
		m.mu.Unlock()
	}()
	m.waitForChange()
	m.mu.Lock()
	_, needed := m.behind(0, version)
	m.mu.Unlock()
	if !needed || !m.tomb.Alive() {
		return
	}
	ctx, cancel := m.withTimeout(fetchTimeout)
	defer cancel()
	sentAt := boottime.Now()
	reply, err := m.pool.CallWithPurpose(ctx, addr, peer.Requests, &peerpb.Call{Kind: &peerpb.Call_FetchConfig{FetchConfig: &peerpb.FetchConfig{}}})
	if err != nil || len(reply.Config) == 0 {
		return
	}
	m.mu.Lock()
	_, needed = m.behind(0, max(version, reply.SettingsVersion))
	m.mu.Unlock()
	if !needed {
		return // it has arrived meanwhile, and need not be decoded again
	}
	table, err := m.decodeConfig(reply.Config)
	if err != nil {
		m.log.Warn("received an invalid configuration from a peer", "peer", addr, "error", err)
		return
	}
	m.configure(sentAt, table, reply.Config)
}
