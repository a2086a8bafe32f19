package lease

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinknot/core/fleet"
	"siskinknot/core/record"
)

// ProposePair returns the Guardians record that replaces the pair of epoch by
// pair, and false while it may not be sent. consent is the guardian of epoch
// that agreed, or empty. Consent given in an earlier epoch does not count in a
// later one, because the guardian may have promised since. The Table treats a
// returned record as sent: it accepts no renewal until a record for the next
// epoch is applied.
func (t *Table) ProposePair(now time.Time, epoch uint64, pair [2]record.Incarnation, consent record.Incarnation) (record.Guardians, bool) {
	t.Tick(now)
	m := t.state.Member(t.id)
	if m == nil || m.Succeeded || m.Epoch != epoch {
		return record.Guardians{}, false
	}
	if m.Epoch > 0 && consent == "" && !t.Unguarded() && t.ruleEnabled(ruleConsentRequired) {
		return record.Guardians{}, false
	}
	t.proposedEpoch = m.Epoch + 1
	return record.Guardians{
		By:       t.id,
		Epoch:    m.Epoch + 1,
		Pair:     pair,
		Consent:  consent,
		Releases: t.releaseCount(),
	}, true
}

// PairPending reports whether a new pair was sent and is not applied yet.
func (t *Table) PairPending() bool {
	m := t.state.Member(t.id)
	return m != nil && t.proposedEpoch > m.Epoch
}

// Unguarded reports whether both guardians of this incarnation are lost.
func (t *Table) Unguarded() bool {
	m := t.state.Member(t.id)
	return m != nil && t.state.Lost(m.Pair[0]) && t.state.Lost(m.Pair[1])
}

// ChoosePair returns the best guardians for member id among the members for
// which usable returns true, and false if there are fewer than two. Members of
// keep that are usable keep their position. The other positions are chosen by
// these criteria:
//
//   - The first guardian is of the same service, since only then can it be heir.
//   - The guardians are in two different availability zones other than the
//     member's own, and in its region, as far as such members exist, so that
//     neither the loss of a zone nor a partition between regions ends a lease.
//   - Two daemons are not guardians of each other if that can be avoided, so
//     that no cycle of lost daemons is left without a guardian.
//   - The members of the fleet are guardians of about equally many others.
func ChoosePair(state *fleet.State, id record.Incarnation, keep [2]record.Incarnation, usable func(*fleet.Member) bool) ([2]record.Incarnation, bool) {
	self := state.Member(id)
	if self == nil {
		return [2]record.Incarnation{}, false
	}
	candidates, guardCounts := candidates(state, id, usable)
	if len(candidates) < 2 {
		return [2]record.Incarnation{}, false
	}
	second := findCandidate(candidates, keep[1])
	first := findCandidate(candidates, keep[0])
	if first == nil {
		first = lowestCost(candidates, id, func(m *fleet.Member) int { return firstCost(self, m, second, guardCounts) })
	}
	if second == nil || second == first {
		second = lowestCost(candidates, id, func(m *fleet.Member) int { return secondCost(self, m, first, guardCounts) })
	}
	return [2]record.Incarnation{first.ID, second.ID}, true
}

// PairCost returns the cost of pair as guardians of member id, without a unit; a
// lower cost is better. It is rounded down to a multiple of costStep, so that
// pairs that differ by less count as equal. It is math.MaxInt if one of the three
// is not a member.
func PairCost(state *fleet.State, id record.Incarnation, pair [2]record.Incarnation) int {
	self, first, second := state.Member(id), state.Member(pair[0]), state.Member(pair[1])
	if self == nil || first == nil || second == nil {
		return math.MaxInt
	}
	cost := firstCost(self, first, second, nil) + secondCost(self, second, first, nil)
	return cost - cost%costStep
}

// costStep is the smallest difference in cost that matters.
const costStep = 1_000

// candidates returns the members that may be guardians of id. It also returns,
// for each member, how many members other than id have it as a guardian.
func candidates(state *fleet.State, id record.Incarnation, usable func(*fleet.Member) bool) ([]*fleet.Member, map[record.Incarnation]int) {
	var list []*fleet.Member
	guardCounts := map[record.Incarnation]int{}
	for _, m := range state.Members() {
		if m.ID == id {
			continue
		}
		if m.Epoch > 0 {
			guardCounts[m.Pair[0]]++
			guardCounts[m.Pair[1]]++
		}
		if !state.Lost(m.ID) && m.Accused == 0 && usable(m) {
			list = append(list, m)
		}
	}
	return list, guardCounts
}

// findCandidate returns the candidate with the given id, or nil.
func findCandidate(candidates []*fleet.Member, id record.Incarnation) *fleet.Member {
	for _, m := range candidates {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// firstCost returns the cost of m as first guardian of self, with second as the
// second guardian, which may be nil.
func firstCost(self, m, second *fleet.Member, guardCounts map[record.Incarnation]int) int {
	return guardianCost(self, m, guardCounts) + 10*costStep*boolToInt(m.Service != self.Service) + pairingCost(m, second)
}

// secondCost returns the cost of m as second guardian of self, with first as the
// first guardian.
func secondCost(self, m, first *fleet.Member, guardCounts map[record.Incarnation]int) int {
	return guardianCost(self, m, guardCounts) + pairingCost(m, first)
}

// pairingCost returns the cost of combining m with the other guardian, which may
// be nil.
func pairingCost(m, other *fleet.Member) int {
	if other == nil {
		return 0
	}
	return 4*costStep*boolToInt(m.Zone == other.Zone) + 1000*costStep*boolToInt(m == other)
}

// guardianCost returns the cost of m as a guardian of self, whatever the other
// guardian is.
func guardianCost(self, m *fleet.Member, guardCounts map[record.Incarnation]int) int {
	return 4*costStep*boolToInt(m.Zone == self.Zone) +
		3*costStep*boolToInt(m.Region != self.Region) +
		20*costStep*boolToInt(m.Leaving) +
		costStep*boolToInt(m.HasGuardian(self.ID)) +
		min(guardCounts[m.ID], costStep/4)
}

// boolToInt returns 1 if cond is true, otherwise 0.
func boolToInt(cond bool) int {
	if cond {
		return 1
	}
	return 0
}

// lowestCost returns the candidate with the lowest cost. Ties are resolved by a
// hash that depends on chooser, so that daemons that start at the same time do
// not all choose the same guardian.
func lowestCost(candidates []*fleet.Member, chooser record.Incarnation, cost func(*fleet.Member) int) *fleet.Member {
	var chosen *fleet.Member
	var minCost int
	var minRank uint64
	for _, m := range candidates {
		c := cost(m)
		r := xxhash.Sum64String(string(chooser) + "/" + string(m.ID))
		if chosen == nil || c < minCost || (c == minCost && r < minRank) {
			chosen, minCost, minRank = m, c, r
		}
	}
	return chosen
}
