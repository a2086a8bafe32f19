package directory

import "net/netip"

// Part is a range of keys that goes to another owner.
type Part struct {
	First, Last uint16
	To          netip.AddrPort
	Handover    string
}

// Move returns the entries that give parts of a's keys to other owners. The
// parts are in order and inside a; what lies between them stays as it is.
func (d *Directory) Move(a *Assignment, parts []Part) []Entry {
	entries := make([]Entry, 0, 2*len(parts)+1)
	next := int(a.First)
	dropFirst := true
	keep := func(first, last int) {
		if first > last {
			return
		}
		rest := *a
		rest.First, rest.Last = uint16(first), uint16(last)
		entries = append(entries, rest.Put())
		dropFirst = dropFirst && rest.First != a.First
	}
	for _, p := range parts {
		keep(next, int(p.First)-1)
		entries = append(entries, Assignment{
			Service:  a.Service,
			First:    p.First,
			Last:     p.Last,
			Owner:    p.To,
			Fence:    d.Fence(),
			Handover: p.Handover,
		}.Put())
		dropFirst = dropFirst && p.First != a.First
		next = int(p.Last) + 1
	}
	keep(next, int(a.Last))
	if dropFirst {
		entries = append([]Entry{a.Drop()}, entries...)
	}
	return entries
}

// Spread returns the entries that give the range a, which has no owner any
// more, to owners in equal parts by weight. The weights are in the order of the
// owners and at least one is positive.
func (d *Directory) Spread(a Assignment, owners []netip.AddrPort, weights []float64) []Entry {
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
			Fence:   d.Fence(),
		}.Put())
		next = last + 1
	}
	return entries
}
