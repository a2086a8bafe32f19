package directory

import "net/netip"

// Transfer is the transfer of a part of an assignment to another owner: the keys
// from First to Last, both included, go to To. Handover is stored in the new
// assignment.
type Transfer struct {
	First, Last uint16
	To          netip.AddrPort
	Handover    string
}

// Move returns the entries that transfer parts of a to other owners. The transfers
// must be ordered by First, must not overlap, and must lie inside a. The other keys
// of a keep their owner and fence.
func (d *Directory) Move(a *Assignment, transfers []Transfer) []Entry {
	entries := make([]Entry, 0, 2*len(transfers)+1)
	next := int(a.First)
	removeOld := true
	keep := func(first, last int) {
		if first > last {
			return
		}
		rest := *a
		rest.First, rest.Last = uint16(first), uint16(last)
		entries = append(entries, rest.PutEntry())
		removeOld = removeOld && rest.First != a.First
	}
	for _, t := range transfers {
		keep(next, int(t.First)-1)
		entries = append(entries, Assignment{
			Service:  a.Service,
			First:    t.First,
			Last:     t.Last,
			Owner:    t.To,
			Fence:    d.NextFence(),
			Handover: t.Handover,
		}.PutEntry())
		removeOld = removeOld && t.First != a.First
		next = int(t.Last) + 1
	}
	keep(next, int(a.Last))
	if removeOld {
		entries = append([]Entry{a.DeleteEntry()}, entries...)
	}
	return entries
}

// Distribute returns the entries that distribute the range a, which has no owner,
// among owners in proportion to weights. weights[i] is the weight of owners[i]; at
// least one weight must be positive.
func (d *Directory) Distribute(a Assignment, owners []netip.AddrPort, weights []float64) []Entry {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	width := float64(a.Width())
	var entries []Entry
	next, sum := int(a.First), 0.0
	for i, owner := range owners {
		sum += weights[i]
		last := int(a.First) + int(width*sum/total+0.5) - 1
		if i == len(owners)-1 || last > int(a.Last) {
			last = int(a.Last)
		}
		if last < next {
			continue
		}
		entries = append(entries, Assignment{
			Service: a.Service,
			First:   uint16(next),
			Last:    uint16(last),
			Owner:   owner,
			Fence:   d.NextFence(),
		}.PutEntry())
		next = last + 1
	}
	return entries
}
