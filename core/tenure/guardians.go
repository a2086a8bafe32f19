package tenure

import (
	"net/netip"
	"slices"

	"siskinknot/core/directory"
)

// guardianCount is the number of guardians of a member: with two, the loss of
// one neither ends a lease nor stands in the way of taking keys.
const guardianCount = 2

// Choose returns the best guardians for self among the members that usable
// admits, fewer than two if there are no more. Present guardians that are usable
// stay. The two sit in other availability zones than the member, as far as there
// are any, so that the loss of a zone does not take a member with its guardians;
// members do not guard one another if that can be avoided, so that no circle of
// lost members is left without a guardian; and guards are spread evenly.
func Choose(dir *directory.Directory, self netip.AddrPort, usable func(*directory.Member) bool) []netip.AddrPort {
	me := dir.Member(self)
	if me == nil {
		return nil
	}
	load := map[netip.AddrPort]int{}
	for _, m := range dir.Members() {
		for _, g := range m.Guardians {
			load[g]++
		}
	}
	var chosen []*directory.Member
	for range guardianCount {
		best, least := (*directory.Member)(nil), 0
		for _, m := range dir.Members() {
			if m.Address == self || m.State != directory.Active || slices.Contains(chosen, m) || !usable(m) {
				continue
			}
			if c := cost(me, m, chosen, load[m.Address]); best == nil || c < least {
				best, least = m, c
			}
		}
		if best == nil {
			break
		}
		chosen = append(chosen, best)
	}
	addrs := make([]netip.AddrPort, 0, len(chosen))
	for _, m := range chosen {
		addrs = append(addrs, m.Address)
	}
	return addrs
}

// cost says how badly m serves as a guardian of me beside those chosen already.
func cost(me, m *directory.Member, chosen []*directory.Member, load int) int {
	const (
		sameZone     = 4000
		mutual       = 2000
		presentBonus = 3000
	)
	c := load
	if m.Zone == me.Zone {
		c += sameZone
	}
	for _, other := range chosen {
		if other.Zone == m.Zone {
			c += sameZone
		}
	}
	if m.Guards(me.Address) {
		c += mutual
	}
	if me.Guards(m.Address) {
		c -= presentBonus
	}
	return c
}
