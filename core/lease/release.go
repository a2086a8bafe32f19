package lease

import (
	"time"

	"siskinknot/core/record"
)

// move is a release on its way.
type move struct {
	rec  record.Release
	sent bool
	// noticedIn is the epoch whose first guardian acknowledged the notice of
	// this release; 0 if none did.
	noticedIn uint64
}

// StartRelease closes the units of transfers to new requests, to release them
// once the work under way has ended. It reports whether the release may begin:
// one is under way at a time, and none while a new pair is.
func (b *Book) StartRelease(now time.Time, service string, transfers []record.Transfer) bool {
	b.Tick(now)
	m := b.state.Member(b.me)
	if m == nil || b.moving != nil || b.sentEpoch > m.Epoch || !b.Holds(now) {
		return false
	}
	b.moving = &move{rec: record.Release{
		By:        b.me,
		Service:   service,
		Seq:       m.Releases + 1,
		Transfers: transfers,
	}}
	return true
}

// Release returns the record of the release under way, and false while its
// notice is not acknowledged. The Book takes it as sent: its units stay closed
// until the record is folded.
func (b *Book) Release(now time.Time) (record.Release, bool) {
	b.Tick(now)
	m := b.state.Member(b.me)
	if m == nil || b.moving == nil {
		return record.Release{}, false
	}
	needNotice := !b.moving.sent && !b.state.Lost(m.Pair[0]) && b.on(ruleNotice)
	if needNotice && b.moving.noticedIn != m.Epoch {
		return record.Release{}, false
	}
	b.moving.sent = true
	return b.moving.rec, true
}

// CancelRelease opens the units again if their release was not sent.
func (b *Book) CancelRelease() bool {
	if b.moving == nil || b.moving.sent {
		return false
	}
	b.moving = nil
	return true
}

// Moving returns the release under way and whether it was sent.
func (b *Book) Moving() (rec record.Release, sent, ok bool) {
	if b.moving == nil {
		return record.Release{}, false, false
	}
	return b.moving.rec, b.moving.sent, true
}

// releases returns the number of releases sent or about to be sent.
func (b *Book) releases() uint64 {
	if b.moving != nil {
		return b.moving.rec.Seq
	}
	return b.state.Member(b.me).Releases
}

// settle forgets the release under way once its record was folded, whether it
// took effect or was ignored.
func (b *Book) settle(rec record.Record) {
	release, ok := rec.(record.Release)
	if ok && release.By == b.me && b.moving != nil && release.Seq == b.moving.rec.Seq {
		b.moving = nil
	}
}

// moves reports whether the release under way closes key of unit. A slot's
// release leaves the keys that are carved out of it open.
func (b *Book) moves(service, key string, unit record.Unit) bool {
	if b.moving == nil || b.moving.rec.Service != service {
		return false
	}
	if b.moving.sent && !b.on(ruleReleaseStops) {
		return false
	}
	for _, t := range b.moving.rec.Transfers {
		if Covers(t.Unit, key, unit) {
			return true
		}
	}
	return false
}

// Covers reports whether moved, a slot or a key, contains key, which belongs to
// unit at present.
func Covers(moved record.Unit, key string, unit record.Unit) bool {
	if moved.Key != "" {
		return moved.Key == key
	}
	return unit.Key == "" && moved.Slot == unit.Slot
}
