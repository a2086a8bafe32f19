package member

import (
	"fmt"
	"time"

	"siskinknot/core/fleet"
	"siskinknot/core/record"
)

// journalLength is the minimum number of records that a full journal holds. A
// journal that reaches twice as many drops the older half.
const journalLength = 512

// JournalEntry is an applied record that concerns membership or ownership.
type JournalEntry struct {
	Offset uint64 `json:"offset"`
	Kind   string `json:"kind"`
	Text   string `json:"text"`
	// Ignored is the reason why the record had no effect, or empty if it had.
	Ignored string `json:"ignored,omitempty"`
	rec     record.Record
}

// journal holds the latest applied records that concern membership or ownership,
// oldest first.
type journal struct {
	entries []JournalEntry
	// lastJoinAt is when a member last got its first pair of guardians.
	lastJoinAt time.Time
}

// add adds a record that was applied at now with the given result.
func (j *journal) add(now time.Time, offset uint64, rec record.Record, result fleet.Result) {
	if pair, ok := rec.(record.Guardians); ok && pair.Epoch == 1 {
		j.lastJoinAt = now
	}
	if !journalled(rec) {
		return
	}
	entry := JournalEntry{Offset: offset, Kind: record.Kind(rec), rec: rec}
	if ignored, ok := result.(fleet.Ignored); ok {
		entry.Ignored = ignored.Reason
	}
	j.entries = append(j.entries, entry)
	if len(j.entries) >= 2*journalLength {
		j.entries = append([]JournalEntry(nil), j.entries[journalLength:]...)
	}
}

// journalled reports whether the journal stores rec. It stores the records that
// concern membership or ownership, but not edits and snapshots, which may be
// large, or claims of the planner's role.
func journalled(rec record.Record) bool {
	switch rec.(type) {
	case record.Edit, record.Snapshot, record.Planner:
		return false
	default:
		return true
	}
}

// entriesFor returns the entries that concern key, its slot, or one of the given
// owners.
func (j *journal) entriesFor(service string, key string, slot int, owners map[record.Incarnation]bool) []JournalEntry {
	var found []JournalEntry
	for _, e := range j.entries {
		if concerns(e.rec, service, key, slot, owners) {
			e.Text = describe(e.rec)
			found = append(found, e)
		}
	}
	return found
}

// concerns reports whether rec concerns key, its slot, or one of the given
// owners.
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

// describe returns a description of rec for operators.
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
