package member

import (
	"fmt"
	"time"

	"siskinknot/core/fleet"
	"siskinknot/core/record"
)

// journalLength is the number of records that the journal keeps.
const journalLength = 512

// JournalEntry is a folded record that concerns membership or ownership.
type JournalEntry struct {
	Offset uint64 `json:"offset"`
	Kind   string `json:"kind"`
	Text   string `json:"text"`
	// Ignored says why the record took no effect; empty if it did.
	Ignored string `json:"ignored,omitempty"`
	rec     record.Record
}

// journal is a ring of the last folded records.
type journal struct {
	entries []JournalEntry
	// joinedAt is when the last member got its first guardians.
	joinedAt time.Time
}

// add notes a record folded at now.
func (j *journal) add(now time.Time, offset uint64, rec record.Record, verdict fleet.Verdict) {
	if pair, ok := rec.(record.Guardians); ok && pair.Epoch == 1 {
		j.joinedAt = now
	}
	if !journalled(rec) {
		return
	}
	entry := JournalEntry{Offset: offset, Kind: record.Kind(rec), rec: rec}
	if v, ok := verdict.(fleet.Ignored); ok {
		entry.Ignored = v.Reason
	}
	j.entries = append(j.entries, entry)
	if len(j.entries) >= 2*journalLength {
		j.entries = append([]JournalEntry(nil), j.entries[journalLength:]...)
	}
}

// journalled reports whether rec concerns membership or ownership. Edits and
// snapshots do not; they may be large.
func journalled(rec record.Record) bool {
	switch rec.(type) {
	case record.Edit, record.Snapshot, record.Planner:
		return false
	default:
		return true
	}
}

// about returns the entries that concern a unit or one of its owners.
func (j *journal) about(service string, key string, slot int, owners map[record.Incarnation]bool) []JournalEntry {
	var found []JournalEntry
	for _, e := range j.entries {
		if concerns(e.rec, service, key, slot, owners) {
			e.Text = describe(e.rec)
			found = append(found, e)
		}
	}
	return found
}

// concerns reports whether rec has to do with key in slot or with its owners.
func concerns(rec record.Record, service, key string, slot int, owners map[record.Incarnation]bool) bool {
	switch rec := rec.(type) {
	case record.Assign:
		return rec.Service == service
	case record.Release:
		for _, t := range rec.Transfers {
			if rec.Service == service && (t.Key == key || t.Key == "" && t.Slot == slot) {
				return true
			}
		}
		return false
	case record.Revoke:
		return owners[rec.Of] || owners[rec.By]
	case record.Announce:
		return owners[rec.By]
	case record.Leave:
		return owners[rec.By]
	case record.Guardians:
		return owners[rec.By]
	case record.Accuse:
		return owners[rec.Of]
	case record.Alive:
		return owners[rec.By]
	default:
		return false
	}
}

// describe words rec for an operator.
func describe(rec record.Record) string {
	switch rec := rec.(type) {
	case record.Announce:
		return fmt.Sprintf("%s joins service %s in %s", rec.By, rec.Service, rec.Zone)
	case record.Guardians:
		return fmt.Sprintf("%s is guarded by %s and %s (epoch %d)", rec.By, rec.Pair[0], rec.Pair[1], rec.Epoch)
	case record.Assign:
		return fmt.Sprintf("%s spreads the free units of service %s", rec.By, rec.Service)
	case record.Release:
		return fmt.Sprintf("%s passes on %d units of service %s (release %d)", rec.By, len(rec.Transfers), rec.Service, rec.Seq)
	case record.Revoke:
		if rec.Heir {
			return fmt.Sprintf("%s revokes %s and keeps its units as heir", rec.By, rec.Of)
		}
		return fmt.Sprintf("%s revokes %s, whose units are spread", rec.By, rec.Of)
	case record.Leave:
		return fmt.Sprintf("%s leaves", rec.By)
	case record.Accuse:
		return fmt.Sprintf("%s asks whether %s still reads the log", rec.By, rec.Of)
	case record.Alive:
		return fmt.Sprintf("%s still reads the log", rec.By)
	default:
		panic(fmt.Sprintf("unexpected record.Record %T", rec))
	}
}
