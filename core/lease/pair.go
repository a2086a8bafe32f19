package lease

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinknot/core/fleet"
	"siskinknot/core/record"
)

// ProposePair returns the record that names the pair to follow that of epoch,
// and false while it may not be sent. consent is the guardian of epoch that
// agreed, or empty; consent to an earlier epoch says nothing about a later one,
// in which the guardian may have promised. The Book takes the record as sent: no
// renewal counts until one for the next epoch is folded.
func (b *Book) ProposePair(now time.Time, epoch uint64, pair [2]record.Incarnation, consent record.Incarnation) (record.Guardians, bool) {
	b.Tick(now)
	m := b.state.Member(b.me)
	if m == nil || m.Succeeded || m.Epoch != epoch {
		return record.Guardians{}, false
	}
	if m.Epoch > 0 && consent == "" && !b.Unguarded() && b.on(ruleConsentNeeded) {
		return record.Guardians{}, false
	}
	b.sentEpoch = m.Epoch + 1
	return record.Guardians{
		By:       b.me,
		Epoch:    m.Epoch + 1,
		Pair:     pair,
		Consent:  consent,
		Releases: b.releases(),
	}, true
}

// PairUnderWay reports whether a new pair was sent and is not yet folded.
func (b *Book) PairUnderWay() bool {
	m := b.state.Member(b.me)
	return m != nil && b.sentEpoch > m.Epoch
}

// Unguarded reports whether both guardians of this incarnation are lost.
func (b *Book) Unguarded() bool {
	m := b.state.Member(b.me)
	return m != nil && b.state.Lost(m.Pair[0]) && b.state.Lost(m.Pair[1])
}

// ChoosePair returns the best guardians for me among the members that usable
// admits, and false if there are fewer than two. Members of keep that are usable
// stay in their place. The first is of the same service, since only then can it
// be heir; the pair sits in two availability zones other than the member's own,
// in its region, as far as there are any, so that neither the loss of a zone nor
// a cut between regions ends a lease; daemons do not guard one another if that
// can be avoided, so that no circle of lost daemons is left without a guardian;
// and guards are spread evenly.
func ChoosePair(state *fleet.State, me record.Incarnation, keep [2]record.Incarnation, usable func(*fleet.Member) bool) ([2]record.Incarnation, bool) {
	self := state.Member(me)
	if self == nil {
		return [2]record.Incarnation{}, false
	}
	candidates, load := candidates(state, me, usable)
	if len(candidates) < 2 {
		return [2]record.Incarnation{}, false
	}
	second := kept(candidates, keep[1])
	first := kept(candidates, keep[0])
	if first == nil {
		first = best(candidates, me, func(m *fleet.Member) int { return firstCost(self, m, second, load) })
	}
	if second == nil || second == first {
		second = best(candidates, me, func(m *fleet.Member) int { return secondCost(self, m, first, load) })
	}
	return [2]record.Incarnation{first.ID, second.ID}, true
}

// PairCost says how badly pair serves me; pairs whose cost differs by less than
// betterBy are as good as one another.
func PairCost(state *fleet.State, me record.Incarnation, pair [2]record.Incarnation) int {
	self, first, second := state.Member(me), state.Member(pair[0]), state.Member(pair[1])
	if self == nil || first == nil || second == nil {
		return math.MaxInt
	}
	cost := firstCost(self, first, second, nil) + secondCost(self, second, first, nil)
	return cost - cost%betterBy
}

// betterBy is the least difference in cost that counts.
const betterBy = 1_000

// candidates returns the members that may guard me, and how many each guards.
func candidates(state *fleet.State, me record.Incarnation, usable func(*fleet.Member) bool) ([]*fleet.Member, map[record.Incarnation]int) {
	var list []*fleet.Member
	load := map[record.Incarnation]int{}
	for _, m := range state.Members() {
		if m.ID == me {
			continue
		}
		if m.Epoch > 0 {
			load[m.Pair[0]]++
			load[m.Pair[1]]++
		}
		if !state.Lost(m.ID) && m.Accused == 0 && usable(m) {
			list = append(list, m)
		}
	}
	return list, load
}

// kept returns the candidate with the given id, or nil.
func kept(candidates []*fleet.Member, id record.Incarnation) *fleet.Member {
	for _, m := range candidates {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// firstCost says how badly m serves as first guardian of self beside second,
// which may be nil.
func firstCost(self, m, second *fleet.Member, load map[record.Incarnation]int) int {
	return penalty(self, m, load) + 10*betterBy*count(m.Service != self.Service) + beside(m, second)
}

// secondCost says how badly m serves as second guardian of self beside first.
func secondCost(self, m, first *fleet.Member, load map[record.Incarnation]int) int {
	return penalty(self, m, load) + beside(m, first)
}

// beside says how badly m goes with the other guardian, which may be nil.
func beside(m, other *fleet.Member) int {
	if other == nil {
		return 0
	}
	return 4*betterBy*count(m.Zone == other.Zone) + 1000*betterBy*count(m == other)
}

// penalty says how badly m serves as guardian of self.
func penalty(self, m *fleet.Member, load map[record.Incarnation]int) int {
	return 4*betterBy*count(m.Zone == self.Zone) +
		3*betterBy*count(m.Region != self.Region) +
		20*betterBy*count(m.Leaving) +
		betterBy*count(m.Guards(self.ID)) +
		min(load[m.ID], betterBy/4)
}

// count returns 1 if cond holds, otherwise 0.
func count(cond bool) int {
	if cond {
		return 1
	}
	return 0
}

// best returns the candidate with the least cost; ties differ by chooser, so
// that daemons which start together do not all choose the same guardian.
func best(candidates []*fleet.Member, chooser record.Incarnation, cost func(*fleet.Member) int) *fleet.Member {
	var chosen *fleet.Member
	var least int
	var rank uint64
	for _, m := range candidates {
		c := cost(m)
		r := xxhash.Sum64String(string(chooser) + "/" + string(m.ID))
		if chosen == nil || c < least || (c == least && r < rank) {
			chosen, least, rank = m, c, r
		}
	}
	return chosen
}
