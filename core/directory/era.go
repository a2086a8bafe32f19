package directory

import (
	"net/netip"
	"slices"
)

// A store that comes back from a copy of its contents has lost the newest records, and
// gives out their offsets again. It then begins a new era. A version of the directory
// therefore contains the era beside the offset, so that versions, and the fences made
// from them, rise for ever, and a change that is conditional on a version of an earlier
// era never follows a later one.
const (
	// offsetBits is the number of bits of a version that hold the offset. 40 bits are
	// ten years of 3,200 records per second, and versions of 8,191 eras stay below 2^53,
	// up to which JSON numbers are exact.
	offsetBits = 40
	// FirstEra is the era of a store that has never come back from a copy.
	FirstEra = 1
	// LastEra is the last era whose versions stay below 2^53.
	LastEra = 1 << 13
)

// VersionAt returns the version at an offset of the store in the given era.
func VersionAt(era, offset uint64) uint64 { return (max(era, FirstEra)-FirstEra)<<offsetBits | offset }

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version>>offsetBits + FirstEra }

// OffsetOf returns the offset of a version.
func OffsetOf(version uint64) uint64 { return version & (1<<offsetBits - 1) }

// EraStart records how the directory was written into an era. Every era but the first
// has one; without it the directory of the era is incomplete.
type EraStart struct {
	Era uint64 `json:"era"`
	// Unheard has the members that did not say which version they knew. They, or the
	// processes that have ended there, may hold keys by changes that were lost. It
	// is emptied once these keys are certainly free.
	Unheard []netip.AddrPort `json:"unheard,omitempty"`
	// FromCopy is set if no daemon knew the directory, so that it is the store's copy.
	// It is cleared together with Unheard.
	FromCopy bool `json:"from_copy,omitempty"`
}

// eraKey is the key of the entry that stores the EraStart.
const eraKey = "era"

// PutEntry returns the entry that stores e.
func (e EraStart) PutEntry() Entry { return Entry{Key: eraKey, Value: encode(e)} }

// Settled reports whether nobody holds keys by a change that was lost.
func (e EraStart) Settled() bool { return len(e.Unheard) == 0 && !e.FromCopy }

// EraStart returns how the directory was written into its era; the zero value in the
// first era, and if the entry is that of another one.
func (d *Directory) EraStart() EraStart {
	if era := EraOf(d.version); era == FirstEra || d.eraStart.Era != era {
		return EraStart{}
	}
	return d.eraStart
}

// Complete reports whether the directory has been written into the era of its version
// completely.
func (d *Directory) Complete() bool {
	era := EraOf(d.version)
	return era == FirstEra || d.EraStart().Era == era
}

// StartEra returns the entries that write the directory d, which may be of any earlier
// era, into the given era, with the EraStart as the last one. leftover has the entries
// that an incomplete attempt has left there. The members in unheard become fenced by the
// member by, since it is not known whether they have a lease; so do those that were
// unheard before and have not settled since.
func (d *Directory) StartEra(era uint64, by netip.AddrPort, unheard []netip.AddrPort, fromCopy bool, leftover []Entry) []Entry {
	start := EraStart{Era: era, FromCopy: fromCopy || d.EraStart().FromCopy}
	for _, addr := range append(slices.Clone(unheard), d.EraStart().Unheard...) {
		if !slices.Contains(start.Unheard, addr) {
			start.Unheard = append(start.Unheard, addr)
		}
	}
	kept := map[string]bool{eraKey: true}
	var written []Entry
	for _, e := range d.Snapshot().Entries {
		if e.Key == eraKey {
			continue
		}
		kept[e.Key] = true
		written = append(written, e)
	}
	for i, e := range written {
		for _, addr := range unheard {
			if m := d.members[addr]; m != nil && e.Key == memberKey(addr) {
				fenced := *m
				fenced.State, fenced.FencedBy, fenced.FencedAt = Fenced, by, VersionAt(era, 0)
				written[i] = fenced.PutEntry()
			}
		}
	}
	var removed []Entry
	for _, e := range leftover {
		if !kept[e.Key] {
			removed = append(removed, Entry{Key: e.Key})
		}
	}
	return append(append(removed, written...), start.PutEntry())
}
