package directory

import (
	"cmp"
	"container/heap"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// The members write no ranges that overlap, not even between two entries of a change, but
// another writer may. A key then belongs to the range with the highest fence that contains
// it, as it does at a target, and the other keys of a range stay with its owner. This
// depends only on the entries, and not on their order or their number in an update.

// overlap holds the ranges of a service in which some overlap.
type overlap struct {
	// stored has the ranges as they are stored, ordered by First.
	stored []*Assignment
	// changed is set if stored has changed since the keys were divided.
	changed bool
	// reported has the ranges that have been reported as lacking keys.
	reported map[*Assignment]bool
}

// addRange adds a range that is stored.
func (d *Directory) addRange(a *Assignment) {
	o := d.overlaps[a.Service]
	if o == nil {
		list := d.ranges[a.Service]
		i, _ := search(list, a.Service, a.First)
		if (i == 0 || list[i-1].Last < a.First) && (i == len(list) || a.Last < list[i].First) {
			d.addAssignment(a)
			return
		}
		o = &overlap{stored: slices.Clone(list), reported: map[*Assignment]bool{}}
		d.overlaps[a.Service] = o
	}
	o.stored, o.changed = insert(o.stored, a), true
}

// removeRange removes a range that is no longer stored.
func (d *Directory) removeRange(a *Assignment) {
	if o := d.overlaps[a.Service]; o != nil {
		o.stored, o.changed = remove(o.stored, a), true
		delete(o.reported, a)
		return
	}
	d.removeAssignment(a)
}

// storedRanges returns the ranges of a service as they are stored, ordered by First.
func (d *Directory) storedRanges(service string) []*Assignment {
	if o := d.overlaps[service]; o != nil {
		return o.stored
	}
	return d.ranges[service]
}

// addAssignment adds a to the assignments.
func (d *Directory) addAssignment(a *Assignment) {
	d.ranges[a.Service] = insert(d.ranges[a.Service], a)
	d.byOwner[a.Owner] = insert(d.byOwner[a.Owner], a)
}

// removeAssignment removes a from the assignments.
func (d *Directory) removeAssignment(a *Assignment) {
	d.ranges[a.Service] = remove(d.ranges[a.Service], a)
	d.removeOwned(a)
}

// removeOwned removes a from the assignments of its owner.
func (d *Directory) removeOwned(a *Assignment) {
	if d.byOwner[a.Owner] = remove(d.byOwner[a.Owner], a); len(d.byOwner[a.Owner]) == 0 {
		delete(d.byOwner, a.Owner)
	}
}

// divideOverlaps divides the keys of the services with changed overlapping ranges.
func (d *Directory) divideOverlaps() {
	for service, o := range d.overlaps {
		if !o.changed {
			continue
		}
		o.changed = false
		former := setOf(d.ranges[service])
		d.ranges[service] = divide(o.stored)
		divided := setOf(d.ranges[service])
		d.replaceOwned(former, divided)
		overlapping := false
		for _, a := range o.stored {
			if _, whole := divided[a]; whole {
				continue
			}
			overlapping = true
			if !o.reported[a] {
				o.reported[a] = true
				d.ignored.add(rangeKey(service, a.First), fmt.Errorf("keys from %d to %d with fence %d overlap a range with a higher one", a.First, a.Last, a.Fence))
			}
		}
		if !overlapping {
			delete(d.overlaps, service)
		}
	}
}

// replaceOwned replaces the assignments of owners by others. It skips those that are in
// both sets, which are most of them.
func (d *Directory) replaceOwned(former, next map[*Assignment]struct{}) {
	for a := range former {
		if _, kept := next[a]; !kept {
			d.removeOwned(a)
		}
	}
	for a := range next {
		if _, kept := former[a]; !kept {
			d.byOwner[a.Owner] = insert(d.byOwner[a.Owner], a)
		}
	}
}

// setOf returns the set of the elements of list.
func setOf(list []*Assignment) map[*Assignment]struct{} {
	set := make(map[*Assignment]struct{}, len(list))
	for _, a := range list {
		set[a] = struct{}{}
	}
	return set
}

// divide returns the assignments that follow from the ranges of a service, ordered by
// First. A range that keeps all of its keys is returned itself. Of two ranges with the
// same fence, the one that begins later has the keys that both contain.
func divide(stored []*Assignment) []*Assignment {
	var divided []*Assignment
	var source *Assignment // the range that the last element of divided is part of
	var open rangeHeap
	for i, next := 0, 0; i < len(stored) || len(open) > 0; {
		if len(open) == 0 {
			next = max(next, int(stored[i].First))
		}
		for i < len(stored) && int(stored[i].First) <= next {
			heap.Push(&open, stored[i])
			i++
		}
		for len(open) > 0 && int(open[0].Last) < next {
			heap.Pop(&open)
		}
		if len(open) == 0 {
			continue
		}
		top := open[0]
		last := int(top.Last)
		if i < len(stored) {
			last = min(last, int(stored[i].First)-1)
		}
		divided = appendPart(divided, top, source == top, next, last)
		source = top
		next = last + 1
	}
	return divided
}

// appendPart appends the keys from first to last of a range to list. continues is set if
// the last element of list is a part of the same range.
func appendPart(list []*Assignment, a *Assignment, continues bool, first, last int) []*Assignment {
	if continues && int(list[len(list)-1].Last)+1 == first {
		first = int(list[len(list)-1].First)
		list = list[:len(list)-1]
	}
	if first == int(a.First) && last == int(a.Last) {
		return append(list, a)
	}
	part := *a
	part.First, part.Last = uint16(first), uint16(last)
	return append(list, &part)
}

// rangeHeap is a heap of ranges by descending fence, and by descending first key if the
// fences are equal.
type rangeHeap []*Assignment

// Len implements heap.Interface.
func (h rangeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h rangeHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].Fence, h[i].Fence), cmp.Compare(h[j].First, h[i].First)) < 0
}

// Swap implements heap.Interface.
func (h rangeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *rangeHeap) Push(a any) { *h = append(*h, a.(*Assignment)) }

// Pop implements heap.Interface.
func (h *rangeHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	*h = (*h)[:last]
	return a
}

// Contested reports whether a stored range of another owner contains keys of a.
func (d *Directory) Contested(a *Assignment) bool {
	o := d.overlaps[a.Service]
	return o != nil && slices.ContainsFunc(o.stored, func(other *Assignment) bool {
		return other.Owner != a.Owner && other.First <= a.Last && a.First <= other.Last
	})
}

// RepairEntries returns the entries that store the ranges of a service without overlaps,
// and that remove ranges with a fence later than the directory's version. Owners and
// fences stay the same. There are none if nothing is to be repaired.
func (d *Directory) RepairEntries(service string) []Entry {
	var entries []Entry
	for key := range d.early {
		if serviceOf(key) == service {
			entries = append(entries, Entry{Key: key})
		}
	}
	o := d.overlaps[service]
	if o == nil {
		return entries
	}
	for _, a := range o.stored {
		if _, found := search(d.ranges[service], service, a.First); !found {
			entries = append(entries, a.DeleteEntry())
		}
	}
	for _, a := range d.ranges[service] {
		if i, found := search(o.stored, service, a.First); !found || o.stored[i] != a {
			entries = append(entries, a.PutEntry())
		}
	}
	return entries
}

// serviceOf returns the service of a range's key, or "" for another key.
func serviceOf(key string) string {
	name, ok := strings.CutPrefix(key, rangePrefix)
	if !ok {
		return ""
	}
	return name[:max(0, strings.LastIndexByte(name, '/'))]
}

// RangeIgnored reports whether there is an entry of a range from one of the keys of a that
// does not hold.
func (d *Directory) RangeIgnored(a *Assignment) bool {
	for key := range d.entries {
		if serviceOf(key) != a.Service || d.rangeAt(key) != nil {
			continue
		}
		first, err := strconv.ParseUint(key[strings.LastIndexByte(key, '/')+1:], 10, 16)
		if err == nil && a.Contains(uint16(first)) {
			return true
		}
	}
	return false
}

// MemberIgnored reports whether there is an entry of the member at addr that does not hold.
func (d *Directory) MemberIgnored(addr netip.AddrPort) bool {
	_, stored := d.entries[memberKey(addr)]
	return stored && d.members[addr] == nil
}
