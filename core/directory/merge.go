package directory

import "net/netip"

// Each range costs its owner a grant to renew, and all members an entry to read at the start.
// Splits alone would let the number of ranges grow with each move and each restart, so an
// owner merges neighbouring ranges. The merged range has the next fence: all keys of a range
// have one fence, and that of a key never falls.

// Adjacent returns the runs of at least two neighbouring ranges of service that owner has and
// that mayMerge accepts, in order.
func (d *Directory) Adjacent(owner netip.AddrPort, service string, mayMerge func(*Assignment) bool) [][]*Assignment {
	var runs [][]*Assignment
	var run []*Assignment
	end := func() {
		if len(run) > 1 {
			runs = append(runs, run)
		}
		run = nil
	}
	for _, a := range d.byOwner[owner] {
		if a.Service != service || !mayMerge(a) {
			end()
			continue
		}
		if n := len(run); n > 0 && int(run[n-1].Last)+1 != int(a.First) {
			end()
		}
		run = append(run, a)
	}
	end()
	return runs
}

// Merge returns the entries that replace the ranges of run, which is one of Adjacent, by one
// range. Its handover is empty, since those of the parts are for parts of its keys.
func (d *Directory) Merge(run []*Assignment) []Entry {
	entries := make([]Entry, 0, len(run))
	for _, a := range run[1:] {
		entries = append(entries, a.DeleteEntry())
	}
	merged := *run[0]
	merged.Last, merged.Fence, merged.Handover = run[len(run)-1].Last, d.NextFence(), ""
	return append(entries, merged.PutEntry())
}

// Neighbours returns the owners of the keys next to those of a, or zero where there is none.
func (d *Directory) Neighbours(a *Assignment) (before, after netip.AddrPort) {
	if a.First > 0 {
		if b := d.AssignmentOf(a.Service, a.First-1); b != nil {
			before = b.Owner
		}
	}
	if a.Last < MaxKey {
		if b := d.AssignmentOf(a.Service, a.Last+1); b != nil {
			after = b.Owner
		}
	}
	return before, after
}
