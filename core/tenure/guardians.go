package tenure

import (
	"net/netip"
	"slices"

	"siskinknot/core/directory"
)

// guardianCount is the number of guardians of a member. With two, the loss of
// one guardian neither ends the lease nor blocks a takeover of the keys.
const guardianCount = 2

// ChooseGuardians returns the addresses of the best guardians for the member at
// self, chosen among the active members for which usable returns true. It
// returns fewer than two if not enough members qualify, and nil if self is not
// in dir.
//
// ChooseGuardians picks one guardian after the other by the lowest cost, so each
// preference holds as far as the members allow: current guardians that are usable
// are kept; the member and its two guardians are in three different availability
// zones, so that the loss of one zone does not remove a member together with its
// guardians; two members are not guardians of each other, so that a group of lost
// members has a guardian outside the group; and the guardians have about the same
// number of leases to renew.
func ChooseGuardians(dir *directory.Directory, self netip.AddrPort, usable func(*directory.Member) bool) []netip.AddrPort {
	holder := dir.Member(self)
	if holder == nil {
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
		best, leastCost := (*directory.Member)(nil), 0
		for _, m := range dir.Members() {
			if m.Address == self || m.State != directory.Active || slices.Contains(chosen, m) || !usable(m) {
				continue
			}
			if c := guardianCost(holder, m, chosen, load[m.Address]); best == nil || c < leastCost {
				best, leastCost = m, c
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

// guardianCost returns the cost of m as a guardian of holder, given the guardians
// already chosen and the number of members that m is already a guardian of. A
// lower cost is better.
func guardianCost(holder, m *directory.Member, chosen []*directory.Member, load int) int {
	const (
		sameZonePenalty      = 4000
		mutualPenalty        = 2000
		currentGuardianBonus = 3000
	)
	c := load
	if m.Zone == holder.Zone {
		c += sameZonePenalty
	}
	for _, other := range chosen {
		if other.Zone == m.Zone {
			c += sameZonePenalty
		}
	}
	if m.HasGuardian(holder.Address) {
		c += mutualPenalty
	}
	if holder.HasGuardian(m.Address) {
		c -= currentGuardianBonus
	}
	return c
}
