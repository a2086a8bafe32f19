// Package grantsync handles the grants of targets that take no grant calls. Such a
// target lists in each heartbeat the ranges that it holds, and the ranges that it has
// released; the answer lists all ranges that it is to hold from then on. The target
// releases every range that the answer leaves out.
//
// The daemon knows when a heartbeat arrived and not when it was sent, and it never
// learns directly whether an answer arrived. From that follow these rules:
//
//   - A grant lasts from the sending of the heartbeat. Counted from the heartbeat's
//     arrival, it ends at that time at the latest.
//   - An answer may be lost, and then the target holds what earlier answers gave it.
//     The range may be held until the latest end of all grants that were sent.
//   - The target ignores an answer that arrives after a newer one. An answer that
//     granted a range therefore has no effect once the target has reported the release
//     that a later answer asked for.
//   - A release is complete when a heartbeat lists the range as released and no longer
//     as held, after an earlier one listed it as held. Without such heartbeats the
//     grants have to expire: a range that the target has never held, and one whose
//     grant has expired, is not listed as released.
//   - Only the newest heartbeat is answered with ranges. An answer without ranges
//     renews nothing and releases nothing.
//
// # Usage
//
//	grant := grantsync.Grant{}
//	grant.RecordOffer(heartbeatAt, 2*time.Second)
//	if grant.Released(now, report, first, last) {
//		handover := report.Handover(first, last)
//	}
package grantsync

import (
	"encoding/json"
	"strconv"
	"time"
)

const (
	// ClockRateMargin covers a target's clock that runs up to 2% slow, and the
	// error of this daemon's clock.
	ClockRateMargin = 1.03
	// MaxAnswerBytes is the size up to which a target accepts an answer.
	MaxAnswerBytes = 4 << 10
)

// LongestHold returns the longest time that a target can take for the duration hold on
// its own clock.
func LongestHold(hold time.Duration) time.Duration {
	return time.Duration(float64(hold) * ClockRateMargin)
}

// Row is a range of keys, from First to Last, that a target holds.
type Row struct {
	First, Last uint16
	Fence       uint64
}

// FreedRow is a range of keys, from First to Last, that a target has released, with
// the handover for the next owner.
type FreedRow struct {
	First, Last uint16
	Handover    string
}

// Offer is a range of keys that a target is to hold.
type Offer struct {
	Row
	// Handover is the data that the previous owner's target left, or "".
	Handover string
}

// encodedBytes returns the most bytes that o takes in an answer.
func (o *Offer) encodedBytes() int {
	const rest = len(`[65535,65535,,""],`)
	return rest + len(strconv.FormatUint(o.Fence, 10)) + o.handoverBytes()
}

// handoverBytes returns the bytes that the handover takes in an answer.
func (o *Offer) handoverBytes() int {
	if o.Handover == "" {
		return 0
	}
	data, _ := json.Marshal(o.Handover) // a string has a JSON form
	return len(data) - len(`""`)
}

// Report is what a target lists in a heartbeat.
type Report struct {
	Held  []Row
	Freed []FreedRow
}

// Holds reports whether the target lists all keys from first to last as held with
// the given fence.
func (r *Report) Holds(first, last uint16, fence uint64) bool {
	return covered(first, last, r.Held, func(row Row) (uint16, uint16, bool) { return row.First, row.Last, row.Fence == fence })
}

// covered reports whether rows, in any order, contain all keys from first to last. keys
// returns the first and the last key of a row, and whether the row counts.
func covered[T any](first, last uint16, rows []T, keys func(T) (first, last uint16, counts bool)) bool {
	next := int(first)
	for progress := true; progress && next <= int(last); {
		progress = false
		for _, row := range rows {
			rowFirst, rowLast, counts := keys(row)
			if counts && int(rowFirst) <= next && next <= int(rowLast) {
				next, progress = int(rowLast)+1, true
			}
		}
	}
	return next > int(last)
}

// MaxFence returns the highest fence of the held ranges that contain a key from first
// to last; 0 if there is none.
func (r *Report) MaxFence(first, last uint16) uint64 {
	highest := uint64(0)
	for _, row := range r.Held {
		if row.First <= last && first <= row.Last {
			highest = max(highest, row.Fence)
		}
	}
	return highest
}

// freed reports whether the target lists all keys from first to last as released, and
// none of them as held.
func (r *Report) freed(first, last uint16) bool {
	if r.MaxFence(first, last) > 0 {
		return false
	}
	return covered(first, last, r.Freed, func(row FreedRow) (uint16, uint16, bool) { return row.First, row.Last, true })
}

// Handover returns the handover of the keys from first to last, or "" if no single
// released range contains them all.
func (r *Report) Handover(first, last uint16) string {
	for _, row := range r.Freed {
		if row.First <= first && last <= row.Last {
			return row.Handover
		}
	}
	return ""
}

// rule is a bit mask of the rules of Grant. A test disables a rule to show that it
// detects the violation that the rule prevents.
type rule uint

const (
	ruleAllOffers  rule = 1 << iota // the range may be held until the end of the longest grant sent
	ruleStillHeld                   // a range that is listed as held is not released
	ruleClockRate                   // the target's clock may be slow
	ruleListedHeld                  // a range that was not listed as held since its grant is not released
)

// Grant is the state of the grants of one range of keys at a target. The zero value
// is a range that was never granted.
type Grant struct {
	// OfferedAt is when the last heartbeat arrived whose answer granted the range.
	OfferedAt time.Time
	// MayHoldUntil is when the target certainly holds the range no longer, if no
	// further grant is sent.
	MayHoldUntil time.Time
	// listedHeld is set once the target has listed the range as held with the fence
	// of this grant. A report of its release before that is about an earlier grant.
	listedHeld bool
	disabled   rule
}

// RecordReport records the newest report of the target; the range has the keys from
// first to last and the given fence. It reports whether the range is listed as held.
func (g *Grant) RecordReport(report *Report, first, last uint16, fence uint64) (held bool) {
	held = report.Holds(first, last, fence)
	g.listedHeld = g.listedHeld || held
	return held
}

// RecordOffer records that the answer to a heartbeat that arrived at heartbeatAt
// grants the range for the duration hold.
func (g *Grant) RecordOffer(heartbeatAt time.Time, hold time.Duration) {
	g.OfferedAt = heartbeatAt
	if g.disabled&ruleClockRate == 0 {
		hold = LongestHold(hold)
	}
	if until := heartbeatAt.Add(hold); until.After(g.MayHoldUntil) || g.disabled&ruleAllOffers != 0 {
		g.MayHoldUntil = until
	}
}

// Released reports whether the target certainly holds none of the keys from first to
// last at now, and will not hold them again without a further grant. report is the
// newest report that arrived after the first answer without the range was sent, or
// nil.
func (g *Grant) Released(now time.Time, report *Report, first, last uint16) bool {
	if now.After(g.MayHoldUntil) {
		return true
	}
	if report == nil || (!g.listedHeld && g.disabled&ruleListedHeld == 0) {
		return false
	}
	if g.disabled&ruleStillHeld != 0 {
		return (&Report{Freed: report.Freed}).freed(first, last)
	}
	return report.freed(first, last)
}

// Fit returns the offers of list, which is in the order of their importance, that fit
// into one answer. It merges neighbouring ranges with the same fence and without
// handovers, drops handovers if that is enough, and otherwise leaves out the last
// offers. The target releases the ranges that are left out.
func Fit(list []Offer) (fitting []Offer, dropped int) {
	const frame = 64 // bytes around the ranges
	for _, o := range list {
		fitting = appendMerged(fitting, o)
	}
	size := frame
	for i := range fitting {
		size += fitting[i].encodedBytes()
	}
	for i := len(fitting) - 1; i >= 0 && size > MaxAnswerBytes; i-- {
		size -= fitting[i].handoverBytes()
		fitting[i].Handover = ""
	}
	for len(fitting) > 0 && size > MaxAnswerBytes {
		end := len(fitting) - 1
		size -= fitting[end].encodedBytes()
		fitting = fitting[:end]
		dropped++
	}
	return fitting, dropped
}

// appendMerged appends o to list, or extends the last offer by it if o continues it.
func appendMerged(list []Offer, o Offer) []Offer {
	if n := len(list); n > 0 {
		previous := &list[n-1]
		if previous.Fence == o.Fence && int(previous.Last)+1 == int(o.First) && previous.Handover == "" && o.Handover == "" {
			previous.Last = o.Last
			return list
		}
	}
	return append(list, o)
}
