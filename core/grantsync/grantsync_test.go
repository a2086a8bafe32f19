package grantsync

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// The model simulates a target and the daemon beside it, with one range of keys.
// Heartbeats and answers are delayed and lost, answers arrive after newer ones, and
// the target's clock is up to 2% slow. The daemon decides at random to keep the range
// or to release it. The model checks that the target never holds the range after the
// daemon took it as released.

// answerTimeout is how long after it sent a heartbeat the target accepts the answer.
const answerTimeout = time.Second

// modelTarget is the simulated target. It sends a heartbeat once the last one has been
// answered or answerTimeout has passed, and at times earlier. It may repeat a release
// that was acknowledged already, and ignores an answer if it has applied a newer one.
type modelTarget struct {
	holdsUntil time.Time
	// working is until when it works on the range after its release.
	working time.Time
	// freed is set while the release of the range is to be reported.
	freed  bool
	nextAt time.Time
	// slowness is the rate at which its clock is slow.
	slowness float64
	// fence is that of the range.
	fence uint64
}

// holds reports whether the target holds the range, or still works on it, at now.
func (t *modelTarget) holds(now time.Time) bool {
	return now.Before(t.holdsUntil) || now.Before(t.working)
}

// modelRun plays steps with the given rules disabled and returns a description of the
// first violation, or "". held is the number of steps in which the target held the
// range, and released the number of releases.
func modelRun(seed uint64, disabled rule) (violation string, held, released int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	random := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit))) }
	type delivery struct {
		at time.Time
		do func(now time.Time)
	}
	now := time.Unix(1000, 0)
	target := &modelTarget{nextAt: now, slowness: 1 + 0.02*rng.Float64()}
	grant := Grant{disabled: disabled}
	var inFlight []delivery
	var report *Report
	wanted, closing, done := true, false, false
	var closedAt time.Time
	sequence, accepted, applied, fence := 0, 0, 0, uint64(5)
	for step := range 4000 {
		now = now.Add(random(20 * time.Millisecond))
		var rest []delivery
		due := inFlight
		inFlight = nil
		for _, d := range due {
			if d.at.After(now) {
				rest = append(rest, d)
			} else {
				d.do(now)
			}
		}
		inFlight = append(inFlight, rest...)
		if !now.Before(target.nextAt) || rng.IntN(200) == 0 {
			target.nextAt = now.Add(answerTimeout)
			sequence++
			number, sentAt, listed := sequence, now, Report{}
			if target.holds(now) {
				listed.Held = []Row{{First: 10, Last: 20, Fence: target.fence}}
			}
			if target.freed {
				listed.Freed = []FreedRow{{First: 10, Last: 20, Handover: "h"}}
			}
			delay := random(5 * time.Millisecond)
			if rng.IntN(10) == 0 {
				delay = random(1500 * time.Millisecond)
			}
			inFlight = append(inFlight, delivery{now.Add(delay), func(now time.Time) {
				if number < accepted {
					return // answered without ranges
				}
				accepted = number
				grant.RecordReport(&listed, 10, 20, fence)
				if !wanted && !closing {
					closing, closedAt = true, now
				}
				if closing && now.After(closedAt) {
					report = &listed
				}
				offered, offeredFence := !closing && !done, fence
				hold := 300*time.Millisecond + random(1500*time.Millisecond)
				if offered {
					grant.RecordOffer(now, hold)
				}
				answerDelay := random(5 * time.Millisecond)
				switch rng.IntN(10) {
				case 0:
					return // lost
				case 1:
					answerDelay = random(1500 * time.Millisecond)
				}
				inFlight = append(inFlight, delivery{now.Add(answerDelay), func(now time.Time) {
					if now.Sub(sentAt) > answerTimeout || number < applied {
						return
					}
					applied = number
					if target.nextAt.Equal(sentAt.Add(answerTimeout)) {
						target.nextAt = now.Add(random(870 * time.Millisecond))
					}
					if offered {
						target.fence = max(target.fence, offeredFence)
						target.holdsUntil = sentAt.Add(time.Duration(float64(hold) * target.slowness))
						return
					}
					if now.Before(target.holdsUntil) {
						target.freed = true
						// Work that outlasts its grant ends with the grant.
						target.working = now.Add(min(random(200*time.Millisecond), target.holdsUntil.Sub(now)))
						target.holdsUntil = time.Time{}
						target.nextAt = now.Add(random(100 * time.Millisecond))
					} else if len(listed.Freed) > 0 && rng.IntN(2) == 0 {
						target.freed = false // acknowledged
					}
				}})
			}})
		}
		if wanted && rng.IntN(200) == 0 {
			wanted = false
		}
		if closing && !done && grant.Released(now, report, 10, 20) {
			done = true
			released++
		}
		if target.holds(now) {
			held++
			if done {
				return fmt.Sprintf("step %d: the target holds the range after its release", step), held, released
			}
		}
		// The daemon takes the range back, after the next owner's grants have ended.
		if done && rng.IntN(300) == 0 {
			fence++
			wanted, closing, done, report, grant = true, false, false, nil, Grant{disabled: disabled}
		}
	}
	return "", held, released
}

// TestModel runs the model and checks that it shows no violation, and that ranges are
// held and released in it.
func TestModel(t *testing.T) {
	held, released := 0, 0
	for seed := range uint64(400) {
		violation, h, r := modelRun(seed, 0)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		held, released = held+h, released+r
	}
	if held < 400*400 || released < 400 {
		t.Errorf("the target held the range in %d steps and released it %d times, want more", held, released)
	}
}

// TestEachRuleIsNeeded disables one rule at a time and searches for a seed with which
// the target holds the range after its release.
func TestEachRuleIsNeeded(t *testing.T) {
	const maxSeeds = 4000
	for _, row := range []struct {
		name     string
		disabled rule
	}{
		{"range may be held until the end of the longest grant", ruleAllOffers},
		{"range that is listed as held is not released", ruleStillHeld},
		{"target's clock may be slow", ruleClockRate},
	} {
		t.Run(row.name, func(t *testing.T) {
			for seed := range uint64(maxSeeds) {
				if violation, _, _ := modelRun(seed, row.disabled); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("%d seeds show no violation with the rule disabled", maxSeeds)
		})
	}
}

// TestReleaseOfEarlierGrant guards against a release that the target repeats after it
// was granted the range again: a heartbeat that was sent before the target applied the
// new grant, and arrives late, does not end that grant. It takes more coincidences than
// the model produces.
func TestReleaseOfEarlierGrant(t *testing.T) {
	now := time.Unix(1000, 0)
	freed := &Report{Freed: []FreedRow{{First: 10, Last: 20, Handover: "h"}}}
	held := &Report{Held: []Row{{First: 10, Last: 20, Fence: 6}}}
	for _, row := range []struct {
		name     string
		disabled rule
		reports  []*Report
		released bool
	}{
		{"never listed as held", 0, []*Report{freed}, false},
		{"never listed as held, rule disabled", ruleListedHeld, []*Report{freed}, true},
		{"listed as held before", 0, []*Report{held, freed}, true},
		{"still listed as held", 0, []*Report{held, {Held: held.Held, Freed: freed.Freed}}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			grant := Grant{disabled: row.disabled}
			grant.RecordOffer(now, 2*time.Second)
			for _, r := range row.reports {
				grant.RecordReport(r, 10, 20, 6)
			}
			last := row.reports[len(row.reports)-1]
			if released := grant.Released(now.Add(time.Second), last, 10, 20); released != row.released {
				t.Errorf("released: %v, want %v", released, row.released)
			}
			if !grant.Released(now.Add(3*time.Second), nil, 10, 20) {
				t.Error("the range is not released after its grant has expired")
			}
		})
	}
}

// TestFit checks that an answer never exceeds its size, and that the ranges at the
// front of the list are kept.
func TestFit(t *testing.T) {
	rows := func(n int, handover string) []Offer {
		var list []Offer
		for i := range n {
			list = append(list, Offer{Row{uint16(2 * i), uint16(2 * i), 1 << 40}, handover})
		}
		return list
	}
	for _, row := range []struct {
		name     string
		list     []Offer
		fitting  int
		dropped  int
		handover bool
	}{
		{"none", nil, 0, 0, false},
		{"few with handovers", rows(10, "7a21d94b36f85c0e"), 10, 0, true},
		{"handovers do not fit", rows(90, "7a21d94b36f85c0e"), 90, 0, true},
		{"ranges do not fit", rows(400, ""), 130, 270, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			fitting, dropped := Fit(row.list)
			size, handovers := 0, 0
			for i, o := range fitting {
				if o.Row != row.list[i].Row {
					t.Fatalf("range %d is %v, want %v", i, o.Row, row.list[i].Row)
				}
				size += len(fmt.Sprintf("[%d,%d,%d,%q],", o.First, o.Last, o.Fence, o.Handover))
				if o.Handover != "" {
					handovers++
				}
			}
			if size > MaxAnswerBytes-40 || dropped != row.dropped || len(fitting) != row.fitting || (handovers > 0) != row.handover {
				t.Errorf("%d ranges, %d with handovers, of %d bytes fit and %d are dropped, want %d and %d",
					len(fitting), handovers, size, dropped, row.fitting, row.dropped)
			}
		})
	}
	merged, _ := Fit([]Offer{{Row{0, 9, 7}, ""}, {Row{10, 19, 7}, ""}, {Row{20, 29, 8}, ""}, {Row{30, 39, 8}, strings.Repeat("h", 16)}})
	if len(merged) != 3 || merged[0].Last != 19 {
		t.Errorf("merged ranges are %v, want the first two as one", merged)
	}
}
