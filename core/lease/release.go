package lease

import (
	"time"

	"siskinknot/core/record"
)

// pendingRelease is a release that is not applied yet.
type pendingRelease struct {
	rec  record.Release
	sent bool
	// noticeEpoch is the epoch whose first guardian acknowledged the notice of
	// this release, or 0 if none did.
	noticeEpoch uint64
}

// StartRelease closes the units of transfers to new requests; the caller sends
// the release once the requests in progress have ended. It reports whether the
// release may begin: only one release is in progress at a time, and none begins
// while a new pair is sent and not applied yet.
func (t *Table) StartRelease(now time.Time, service string, transfers []record.Transfer) bool {
	t.Tick(now)
	m := t.state.Member(t.id)
	if m == nil || t.pending != nil || t.proposedEpoch > m.Epoch || !t.Holds(now) {
		return false
	}
	t.pending = &pendingRelease{rec: record.Release{
		By:        t.id,
		Service:   service,
		Seq:       m.Releases + 1,
		Transfers: transfers,
	}}
	return true
}

// Release returns the record of the release in progress, and false if there is
// none or its notice is not acknowledged yet. The Table treats a returned record
// as sent: its units stay closed until the record is applied.
func (t *Table) Release(now time.Time) (record.Release, bool) {
	t.Tick(now)
	m := t.state.Member(t.id)
	if m == nil || t.pending == nil {
		return record.Release{}, false
	}
	needNotice := !t.pending.sent && !t.state.Lost(m.Pair[0]) && t.ruleEnabled(ruleReleaseNotice)
	if needNotice && t.pending.noticeEpoch != m.Epoch {
		return record.Release{}, false
	}
	t.pending.sent = true
	return t.pending.rec, true
}

// CancelRelease ends the release in progress and opens its units again, unless
// its record was sent. It reports whether it did so.
func (t *Table) CancelRelease() bool {
	if t.pending == nil || t.pending.sent {
		return false
	}
	t.pending = nil
	return true
}

// PendingRelease returns the record of the release in progress, whether it was
// sent, and whether there is one.
func (t *Table) PendingRelease() (rec record.Release, sent, ok bool) {
	if t.pending == nil {
		return record.Release{}, false, false
	}
	return t.pending.rec, t.pending.sent, true
}

// releaseCount returns the number of releases that this incarnation has sent or
// is about to send.
func (t *Table) releaseCount() uint64 {
	if t.pending != nil {
		return t.pending.rec.Seq
	}
	return t.state.Member(t.id).Releases
}

// clearRelease ends the release in progress once its record was applied, whether
// it took effect or was ignored.
func (t *Table) clearRelease(rec record.Record) {
	release, ok := rec.(record.Release)
	if ok && release.By == t.id && t.pending != nil && release.Seq == t.pending.rec.Seq {
		t.pending = nil
	}
}

// closedByRelease reports whether the release in progress closes key, which
// belongs to unit. The release of a slot does not close the keys that are carved
// out of it.
func (t *Table) closedByRelease(service, key string, unit record.Unit) bool {
	if t.pending == nil || t.pending.rec.Service != service {
		return false
	}
	if t.pending.sent && !t.ruleEnabled(ruleSentReleaseCloses) {
		return false
	}
	for _, transfer := range t.pending.rec.Transfers {
		if Covers(transfer.Unit, key, unit) {
			return true
		}
	}
	return false
}

// Covers reports whether transferred, a slot or a carved key, contains key, which
// currently belongs to unit.
func Covers(transferred record.Unit, key string, unit record.Unit) bool {
	if transferred.Key != "" {
		return transferred.Key == key
	}
	return unit.Key == "" && transferred.Slot == unit.Slot
}
