package placement

import (
	"net/netip"
	"slices"
)

// neighbourSlack is how many more ranges a neighbour may get in a Distribution than the
// receiver with the fewest, so that the neighbours of many ranges are not overloaded.
const neighbourSlack = 2

// Distribution chooses the receivers of the ranges of a leaving or lost member, one range
// after the other. It prefers the owners of neighbouring keys, who can merge what they get
// with what they have: the ranges of a fleet would otherwise become more with each member
// that leaves.
type Distribution struct {
	// accepting has all members that accept keys, and receivers those that get keys in turn.
	accepting, receivers []Load
	next                 int
	// ranges counts the ranges that a member has got.
	ranges map[netip.AddrPort]int
}

// NewDistribution returns a Distribution among receivers, of which there is at least one.
// accepting has all members that accept keys.
func NewDistribution(accepting, receivers []Load) *Distribution {
	return &Distribution{accepting: accepting, receivers: receivers, ranges: map[netip.AddrPort]int{}}
}

// Len returns the number of members that get keys in turn.
func (d *Distribution) Len() int { return len(d.receivers) }

// Choose returns the receivers of the parts of one range, in order: count of them, or Len if
// that is less. before and after are the owners of the keys next to the range, or zero.
func (d *Distribution) Choose(count int, before, after netip.AddrPort) []Load {
	count = min(count, len(d.receivers))
	chosen := make([]Load, 0, count)
	for range count {
		chosen = append(chosen, d.receivers[d.next%len(d.receivers)])
		d.next++
	}
	if count == 1 {
		chosen[0] = d.chooseOne(chosen[0], before, after)
	} else {
		d.place(chosen, 0, before)
		if after != before {
			d.place(chosen, count-1, after)
		}
	}
	for _, l := range chosen {
		d.ranges[l.Member]++
	}
	return chosen
}

// chooseOne returns the owner of neighbouring keys that has got fewer ranges, or turn, whose
// turn it is, if neither may get another one.
func (d *Distribution) chooseOne(turn Load, before, after netip.AddrPort) Load {
	best := turn
	fewest := d.fewest() + neighbourSlack
	for _, addr := range []netip.AddrPort{before, after} {
		if l, ok := d.member(addr); ok && d.ranges[addr] <= fewest {
			best, fewest = l, d.ranges[addr]-1
		}
	}
	return best
}

// fewest returns the smallest number of ranges that a receiver has got.
func (d *Distribution) fewest() int {
	fewest := d.ranges[d.receivers[0].Member]
	for _, l := range d.receivers {
		fewest = min(fewest, d.ranges[l.Member])
	}
	return fewest
}

// place makes the member at addr, if it accepts keys, the i-th of chosen: in exchange with
// its own place there, or instead of another one.
func (d *Distribution) place(chosen []Load, i int, addr netip.AddrPort) {
	l, ok := d.member(addr)
	if !ok {
		return
	}
	if j := slices.IndexFunc(chosen, func(other Load) bool { return other.Member == addr }); j >= 0 {
		chosen[i], chosen[j] = chosen[j], chosen[i]
		return
	}
	chosen[i] = l
}

// member returns the load of the member at addr, and whether it accepts keys.
func (d *Distribution) member(addr netip.AddrPort) (Load, bool) {
	i := slices.IndexFunc(d.accepting, func(l Load) bool { return l.Member == addr })
	if i < 0 {
		return Load{}, false
	}
	return d.accepting[i], true
}
