// Package directory implements the shared state of a fleet: the list of its
// members, and which member owns which keys of a divided service.
//
// The directory is a table of entries in the platform's metadata store. Every
// change is a transaction that is conditional on the directory version that its
// author has applied. Every change in the store is therefore valid, and a reader
// needs only the newest record of each entry. The version is the offset after the
// last record, with the era of the store (VersionAt).
//
// The keys of a divided service are consecutive numbers. An Assignment gives a
// range of keys to a member, and the assignments of a service do not overlap. The fence
// of an assignment is the version at which the owner received the range, so the
// fence of a key rises with each change of owner.
//
// Two alternatives were rejected. A log of proposals that every daemon applies by
// the same rules needs snapshots, and requires all daemons to run the same version
// of these rules. Hash slots separate neighbouring keys, which tend to be busy at
// the same time.
//
// # Usage
//
//	dir := directory.New()
//	changed := dir.Apply(update)
//	a := dir.AssignmentOf("registry", 4711) // nil if the key has no owner
//	entries := dir.Move(a, transfers)
//	change := directory.Update{Base: dir.Version(), End: dir.Version() + uint64(len(entries)), Entries: entries}
package directory

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxKey is the last key of a divided service.
const MaxKey = 65535

// State is the state of a member.
type State string

// The states of a member.
const (
	Active  State = "active"
	Leaving State = "leaving" // keeps its keys but receives no more
	Fenced  State = "fenced"  // loses its keys once its lease has certainly expired
)

// Member is a daemon and the target beside it. The daemon's address identifies the
// member.
type Member struct {
	Address netip.AddrPort `json:"address"`
	Service string         `json:"service"`
	Zone    string         `json:"availability_zone"`
	// Instance and Born identify one run of the target: Instance is its id, and
	// Born its start time in Unix milliseconds. Both are zero before the target's
	// first heartbeat.
	Instance string `json:"instance,omitempty"`
	Born     int64  `json:"born_ms,omitempty"`
	State    State  `json:"state"`
	// Guardians has the addresses of the members that renew this member's lease.
	// It is empty until the member has chosen guardians.
	Guardians []netip.AddrPort `json:"guardians,omitempty"`
	// Lease is the length of the member's lease, in nanoseconds in the encoding; 0
	// means the shortest one (package tenure). It is at most LeaseLimit.
	Lease time.Duration `json:"lease_ns,omitempty"`
	// FencedBy is the address of the member that set the state to Fenced.
	FencedBy netip.AddrPort `json:"fenced_by,omitzero"`
	// FencedAt is the directory version that the change to Fenced was conditional
	// on.
	FencedAt uint64 `json:"fenced_at,omitempty"`
}

// HasGuardian reports whether addr is a guardian of m.
func (m *Member) HasGuardian(addr netip.AddrPort) bool { return slices.Contains(m.Guardians, addr) }

// Assignment gives the keys from First to Last, both included, to Owner.
type Assignment struct {
	Service string         `json:"service"`
	First   uint16         `json:"first"`
	Last    uint16         `json:"last"`
	Owner   netip.AddrPort `json:"owner"`
	// Fence rises each time a key gets a new owner. It is at most the version of the
	// directory, so that the fences of later owners are higher.
	Fence uint64 `json:"fence"`
	// Handover is the data that the previous owner's target left for the new
	// owner's target.
	Handover string `json:"handover,omitempty"`
}

// Contains reports whether the assignment contains key.
func (a *Assignment) Contains(key uint16) bool { return a.First <= key && key <= a.Last }

// Width returns the number of keys in the assignment.
func (a *Assignment) Width() int { return int(a.Last) - int(a.First) + 1 }

// Entry is an entry of the directory table. In an update, an entry without a value
// removes the stored entry with the same key.
type Entry struct {
	Key   string
	Value []byte
}

// Update has the entries that take the directory from version Base to version End.
// An update with Base 0 is a snapshot of the whole directory.
type Update struct {
	Base    uint64
	End     uint64
	Entries []Entry
}

// after returns the part of u that follows version. It reports false if version is
// not inside u, or if u does not have one entry for each version from Base to End,
// so that the part cannot be determined.
func (u Update) after(version uint64) (Update, bool) {
	if u.Base == 0 || version < u.Base || version >= u.End || uint64(len(u.Entries)) != u.End-u.Base {
		return Update{}, false
	}
	return Update{Base: version, End: u.End, Entries: u.Entries[version-u.Base:]}, true
}

const (
	memberPrefix = "member/"
	rangePrefix  = "range/"
)

// memberKey returns the entry key of the member at addr.
func memberKey(addr netip.AddrPort) string { return memberPrefix + addr.String() }

// rangeKey returns the entry key of the assignment of service whose first key is
// first.
func rangeKey(service string, first uint16) string {
	return fmt.Sprintf("%s%s/%05d", rangePrefix, service, first)
}

// PutEntry returns the entry that stores m.
func (m Member) PutEntry() Entry { return Entry{Key: memberKey(m.Address), Value: encode(m)} }

// DeleteEntry returns the entry that removes m.
func (m Member) DeleteEntry() Entry { return Entry{Key: memberKey(m.Address)} }

// PutEntry returns the entry that stores a.
func (a Assignment) PutEntry() Entry {
	return Entry{Key: rangeKey(a.Service, a.First), Value: encode(a)}
}

// DeleteEntry returns the entry that removes a.
func (a Assignment) DeleteEntry() Entry { return Entry{Key: rangeKey(a.Service, a.First)} }

// encode returns v as JSON.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("cannot encode directory entry %T: %v", v, err))
	}
	return data
}

// Directory is the table of entries at one version. It is not safe for concurrent
// use.
//
// The time to apply an update is proportional to the size of the update, not of the
// directory, because every member applies every change and the number of ranges
// grows with the fleet.
type Directory struct {
	version uint64
	entries map[string][]byte
	members map[netip.AddrPort]*Member
	// sorted has all members, and byService the members of each service, both
	// ordered by address. The lists are replaced when a member changes, so that
	// lists returned to callers stay unchanged.
	sorted    []*Member
	byService map[string][]*Member
	// ranges has the assignments of each service, ordered by First. byOwner has
	// the assignments of each owner, ordered by service and First.
	ranges  map[string][]*Assignment
	byOwner map[netip.AddrPort][]*Assignment
	// exits has the announced exits of targets, by the address of the member.
	exits map[netip.AddrPort]Exit
	// overlaps has the services in which ranges overlap.
	overlaps map[string]*overlap
	// eraStart is how the directory was written into its era.
	eraStart EraStart
	// early has, by key, the version that the directory must have reached for an entry
	// to hold.
	early   map[string]uint64
	ignored ignoredList
}

// New returns an empty directory at version 0.
func New() *Directory {
	return &Directory{
		entries:   map[string][]byte{},
		members:   map[netip.AddrPort]*Member{},
		byService: map[string][]*Member{},
		ranges:    map[string][]*Assignment{},
		byOwner:   map[netip.AddrPort][]*Assignment{},
		exits:     map[netip.AddrPort]Exit{},
		overlaps:  map[string]*overlap{},
		early:     map[string]uint64{},
	}
}

// Version returns the version of the directory.
func (d *Directory) Version() uint64 { return d.version }

// Apply brings the directory to version u.End and reports whether it did so. An
// update is ignored if u.End is not newer than the directory, or if u.Base is newer
// than the directory. If u.Base is older, only the part of u after the directory's
// version is applied, provided that it can be determined; such an update was
// requested before another one arrived.
func (d *Directory) Apply(u Update) bool {
	if u.End <= d.version {
		return false
	}
	if u.Base != 0 && u.Base != d.version {
		rest, ok := u.after(d.version)
		if !ok {
			return false
		}
		u = rest
	}
	d.version = u.End
	membersChanged := u.Base == 0 && d.removeMissing(u.Entries)
	for _, e := range u.Entries {
		membersChanged = d.setEntry(e) || membersChanged
	}
	membersChanged = d.defineEarly() || membersChanged
	d.divideOverlaps()
	if membersChanged {
		d.rebuildMemberLists()
	}
	return true
}

// removeMissing removes the stored entries whose keys do not occur in entries, and
// reports whether one of them was a member.
func (d *Directory) removeMissing(entries []Entry) (membersChanged bool) {
	kept := make(map[string]struct{}, len(entries))
	for _, e := range entries {
		kept[e.Key] = struct{}{}
	}
	for key := range d.entries {
		if _, ok := kept[key]; !ok {
			membersChanged = d.removeEntry(key) || membersChanged
		}
	}
	return membersChanged
}

// rebuildMemberLists rebuilds the sorted lists of members.
func (d *Directory) rebuildMemberLists() {
	d.sorted = slices.SortedFunc(maps.Values(d.members), func(a, b *Member) int { return a.Address.Compare(b.Address) })
	d.byService = map[string][]*Member{}
	for _, m := range d.sorted {
		d.byService[m.Service] = append(d.byService[m.Service], m)
	}
}

// setEntry applies one entry of an update, and reports whether a member changed.
func (d *Directory) setEntry(e Entry) (membersChanged bool) {
	if current, ok := d.entries[e.Key]; ok && len(e.Value) > 0 && bytes.Equal(current, e.Value) {
		return false
	}
	membersChanged = d.removeEntry(e.Key)
	if len(e.Value) == 0 {
		return membersChanged
	}
	d.entries[e.Key] = e.Value
	return d.define(e) || membersChanged
}

// define adds what the stored entry e defines, and reports whether that is a member.
func (d *Directory) define(e Entry) bool {
	switch {
	case e.Key == eraKey:
		start := EraStart{}
		if err := unmarshal(e.Value, &start); err != nil {
			d.ignored.add(e.Key, err)
			break
		}
		if era := EraOf(d.version); start.Era != era || era == FirstEra {
			d.ignored.add(e.Key, fmt.Errorf("entry starts era %d in a directory of era %d", start.Era, era))
		}
		d.eraStart = start
	case strings.HasPrefix(e.Key, memberPrefix):
		m, err := decodeMember(e)
		if err != nil {
			d.ignored.add(e.Key, err)
			break
		}
		if m.FencedAt > d.version {
			d.early[e.Key] = m.FencedAt
			d.ignored.add(e.Key, fmt.Errorf("member is fenced at version %d of the directory, which has version %d", m.FencedAt, d.version))
			break
		}
		d.members[m.Address] = m
		return true
	case strings.HasPrefix(e.Key, exitPrefix):
		x, err := decodeExit(e)
		if err != nil {
			d.ignored.add(e.Key, err)
			break
		}
		d.exits[x.Address] = x
	case strings.HasPrefix(e.Key, rangePrefix):
		a, err := decodeAssignment(e)
		if err != nil {
			d.ignored.add(e.Key, err)
			break
		}
		if a.Fence > d.version {
			d.early[e.Key] = a.Fence
			d.ignored.add(e.Key, fmt.Errorf("range has fence %d in a directory of version %d", a.Fence, d.version))
			break
		}
		d.addRange(a)
	}
	return false
}

// defineEarly adds what those entries define that hold from the directory's version on,
// and reports whether one of them is a member.
func (d *Directory) defineEarly() (membersChanged bool) {
	for key, version := range d.early {
		if version <= d.version {
			delete(d.early, key)
			membersChanged = d.define(Entry{Key: key, Value: d.entries[key]}) || membersChanged
		}
	}
	return membersChanged
}

// removeEntry removes the entry at key, and reports whether it was a member.
func (d *Directory) removeEntry(key string) bool {
	if _, ok := d.entries[key]; !ok {
		return false
	}
	delete(d.entries, key)
	delete(d.early, key)
	if key == eraKey {
		d.eraStart = EraStart{}
		return false
	}
	if addr, ok := strings.CutPrefix(key, exitPrefix); ok {
		if parsed, err := netip.ParseAddrPort(addr); err == nil && exitKey(parsed) == key {
			delete(d.exits, parsed)
		}
		return false
	}
	if addr, ok := strings.CutPrefix(key, memberPrefix); ok {
		parsed, err := netip.ParseAddrPort(addr)
		if err != nil || d.members[parsed] == nil || memberKey(parsed) != key {
			return false
		}
		delete(d.members, parsed)
		return true
	}
	a := d.rangeAt(key)
	if a == nil {
		return false
	}
	d.removeRange(a)
	return false
}

// rangeAt returns the stored range whose entry has the given key, or nil.
func (d *Directory) rangeAt(key string) *Assignment {
	name, ok := strings.CutPrefix(key, rangePrefix)
	slash := strings.LastIndexByte(name, '/')
	if !ok || slash < 0 {
		return nil
	}
	first, err := strconv.ParseUint(name[slash+1:], 10, 16)
	if err != nil || rangeKey(name[:slash], uint16(first)) != key {
		return nil
	}
	list := d.storedRanges(name[:slash])
	i, found := search(list, name[:slash], uint16(first))
	if !found {
		return nil
	}
	return list[i]
}

// search returns the index of the assignment of service whose first key is first,
// in a list ordered by service and First, and whether it was found. If not, the
// index is where it would be inserted.
func search(list []*Assignment, service string, first uint16) (int, bool) {
	return slices.BinarySearchFunc(list, first, func(a *Assignment, first uint16) int {
		return cmp.Or(strings.Compare(a.Service, service), cmp.Compare(a.First, first))
	})
}

// insert adds a to a list ordered by service and First.
func insert(list []*Assignment, a *Assignment) []*Assignment {
	i, _ := search(list, a.Service, a.First)
	return slices.Insert(list, i, a)
}

// remove removes a from a list ordered by service and First.
func remove(list []*Assignment, a *Assignment) []*Assignment {
	i, found := search(list, a.Service, a.First)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// Snapshot returns the whole directory as an update with Base 0. Its entries are
// ordered by key.
func (d *Directory) Snapshot() Update {
	u := Update{End: d.version, Entries: make([]Entry, 0, len(d.entries))}
	for key, value := range d.entries {
		u.Entries = append(u.Entries, Entry{Key: key, Value: value})
	}
	slices.SortFunc(u.Entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return u
}

// Member returns the member at addr, or nil.
func (d *Directory) Member(addr netip.AddrPort) *Member { return d.members[addr] }

// Members returns all members, ordered by address. The caller must not modify the
// list.
func (d *Directory) Members() []*Member { return d.sorted }

// MembersOf returns the members of a service, ordered by address. The caller must
// not modify the list.
func (d *Directory) MembersOf(service string) []*Member { return d.byService[service] }

// Assignments returns the assignments of a service, ordered by First. The caller
// must not modify them.
func (d *Directory) Assignments(service string) []*Assignment { return d.ranges[service] }

// RangeCount returns the number of assignments of all services.
func (d *Directory) RangeCount() int {
	n := 0
	for _, list := range d.ranges {
		n += len(list)
	}
	return n
}

// AssignmentOf returns the assignment of service that contains key, or nil if the
// key has no owner.
func (d *Directory) AssignmentOf(service string, key uint16) *Assignment {
	list := d.ranges[service]
	i, found := slices.BinarySearchFunc(list, key, func(a *Assignment, key uint16) int {
		return cmp.Compare(a.First, key)
	})
	if !found {
		i--
	}
	if i < 0 || !list[i].Contains(key) {
		return nil
	}
	return list[i]
}

// OwnedBy returns the assignments of owner, ordered by service and First. The
// caller must not modify them.
func (d *Directory) OwnedBy(owner netip.AddrPort) []*Assignment { return d.byOwner[owner] }

// Unassigned returns the ranges of a service that have no owner, as assignments
// with a zero Owner.
func (d *Directory) Unassigned(service string) []Assignment { return gaps(service, d.ranges[service]) }

// NotOwnedBy returns the ranges of a service that owner does not own, as assignments with a
// zero Owner and the next fence.
func (d *Directory) NotOwnedBy(owner netip.AddrPort, service string) []Assignment {
	var owned []*Assignment
	for _, a := range d.byOwner[owner] {
		if a.Service == service {
			owned = append(owned, a)
		}
	}
	list := gaps(service, owned)
	for i := range list {
		list[i].Fence = d.NextFence()
	}
	return list
}

// gaps returns the ranges of a service that are not in ranges, which is ordered by First, as
// assignments with a zero Owner.
func gaps(service string, ranges []*Assignment) []Assignment {
	var list []Assignment
	next := 0
	for _, a := range ranges {
		if next < int(a.First) {
			list = append(list, Assignment{Service: service, First: uint16(next), Last: a.First - 1})
		}
		next = int(a.Last) + 1
	}
	if next <= MaxKey {
		list = append(list, Assignment{Service: service, First: uint16(next), Last: MaxKey})
	}
	return list
}

// NextFence returns the fence for assignments created by a transaction that is
// conditional on the directory's current version.
func (d *Directory) NextFence() uint64 { return d.version + 1 }
