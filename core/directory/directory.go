// Package directory holds what the members of a fleet have agreed on: who they
// are, and which of them owns which keys of a divided service.
//
// The directory is a table of entries in the platform's metadata store. Every
// change is a transaction that is conditional on the version its author has
// applied, so that a change which was written is valid, and the newest record of
// each entry is all there is to read. The version is the offset after the last
// record.
//
// Keys of a divided service are numbers in order. An Assignment gives a range of
// them to a member, and the ranges of a service do not overlap. Its fence is the
// version at which its owner became the owner, so that it rises with each change
// of owner.
//
// Weighed and left: a log of proposals that every daemon folds alike needs
// snapshots, and ties all daemons to one version of the fold; slots by hash tear
// neighbouring keys apart, which are busy together.
//
// # Usage
//
//	dir := directory.New()
//	err := dir.Apply(update)
//	owner, ok := dir.Owner("registry", 4711)
//	update := directory.Update{Base: dir.End(), Entries: entries}
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
)

// MaxKey is the last key of a divided service.
const MaxKey = 65535

// State says what a member may do.
type State string

// The states of a member.
const (
	Active  State = "active"
	Leaving State = "leaving" // keeps its keys and gets no more
	Fenced  State = "fenced"  // to lose its keys once its lease has surely lapsed
)

// Member is a daemon with the target beside it. Its daemon's address names it.
type Member struct {
	Address netip.AddrPort `json:"address"`
	Service string         `json:"service"`
	Zone    string         `json:"availability_zone"`
	// Instance and Born name the life of the target: its id and the time of its
	// start as Unix milliseconds. Both are zero before the target's first
	// heartbeat.
	Instance string `json:"instance,omitempty"`
	Born     int64  `json:"born_ms,omitempty"`
	State    State  `json:"state"`
	// Guardians renew the member's lease; empty for none yet.
	Guardians []netip.AddrPort `json:"guardians,omitempty"`
	// FencedBy is the member that set the state Fenced.
	FencedBy netip.AddrPort `json:"fenced_by,omitzero"`
	// FencedAt is the version that the change to Fenced was conditional on.
	FencedAt uint64 `json:"fenced_at,omitempty"`
}

// Guards reports whether addr is a guardian of m.
func (m *Member) Guards(addr netip.AddrPort) bool { return slices.Contains(m.Guardians, addr) }

// Assignment gives the keys from First to Last, both included, to Owner.
type Assignment struct {
	Service string         `json:"service"`
	First   uint16         `json:"first"`
	Last    uint16         `json:"last"`
	Owner   netip.AddrPort `json:"owner"`
	// Fence rises with each owner of a key.
	Fence uint64 `json:"fence"`
	// Handover is what the former owner's target left for the new one.
	Handover string `json:"handover,omitempty"`
}

// Has reports whether key is in the range.
func (a *Assignment) Has(key uint16) bool { return a.First <= key && key <= a.Last }

// Width returns the number of keys in the range.
func (a *Assignment) Width() int { return int(a.Last) - int(a.First) + 1 }

// Entry is a stored entry; one without a value is dropped.
type Entry struct {
	Key   string
	Value []byte
}

// Update is a set of entries that takes the directory from version Base to
// version End. Base 0 stands for the whole directory.
type Update struct {
	Base    uint64
	End     uint64
	Entries []Entry
}

// after returns the part of u that follows version. It can be told if each version
// between Base and End is that of one entry.
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

// memberKey returns the key of a member's entry.
func memberKey(addr netip.AddrPort) string { return memberPrefix + addr.String() }

// rangeKey returns the key of the assignment that begins with first.
func rangeKey(service string, first uint16) string {
	return fmt.Sprintf("%s%s/%05d", rangePrefix, service, first)
}

// Put returns the entry that stores m.
func (m Member) Put() Entry { return Entry{Key: memberKey(m.Address), Value: encode(m)} }

// Drop returns the entry that removes m.
func (m Member) Drop() Entry { return Entry{Key: memberKey(m.Address)} }

// Put returns the entry that stores a.
func (a Assignment) Put() Entry {
	return Entry{Key: rangeKey(a.Service, a.First), Value: encode(a)}
}

// Drop returns the entry that removes a.
func (a Assignment) Drop() Entry { return Entry{Key: rangeKey(a.Service, a.First)} }

// encode returns v as JSON.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("directory entry %T does not encode: %v", v, err))
	}
	return data
}

// Directory is the table at one version. It is not safe for concurrent use.
//
// Applying an update costs time in proportion to the update, not to the directory:
// every member applies every change, and the number of ranges grows with the fleet.
type Directory struct {
	end     uint64
	entries map[string][]byte
	members map[netip.AddrPort]*Member
	// order holds the members by address, and byService those of each service.
	// They are replaced when a member changes, so that a list that was handed out
	// stays as it is.
	order     []*Member
	byService map[string][]*Member
	// ranges holds the assignments of each service, ordered by First, and owned
	// those of each owner, ordered by service and First.
	ranges map[string][]*Assignment
	owned  map[netip.AddrPort][]*Assignment
}

// New returns the empty directory at version 0.
func New() *Directory {
	return &Directory{
		entries:   map[string][]byte{},
		members:   map[netip.AddrPort]*Member{},
		byService: map[string][]*Member{},
		ranges:    map[string][]*Assignment{},
		owned:     map[netip.AddrPort][]*Assignment{},
	}
}

// End returns the version.
func (d *Directory) End() uint64 { return d.end }

// Apply brings the directory to u.End and reports whether it changed. An update
// that is not newer, or that does not continue the directory, changes nothing. Of
// one that begins earlier the rest is applied: it was asked for before another one
// came.
func (d *Directory) Apply(u Update) bool {
	if u.End <= d.end {
		return false
	}
	if u.Base != 0 && u.Base != d.end {
		rest, ok := u.after(d.end)
		if !ok {
			return false
		}
		u = rest
	}
	membersChanged := u.Base == 0 && d.removeOthers(u.Entries)
	for _, e := range u.Entries {
		membersChanged = d.set(e) || membersChanged
	}
	d.end = u.End
	if membersChanged {
		d.listMembers()
	}
	return true
}

// removeOthers removes the entries whose keys are not among those of entries, and
// reports whether one of them was a member.
func (d *Directory) removeOthers(entries []Entry) (membersChanged bool) {
	kept := make(map[string]struct{}, len(entries))
	for _, e := range entries {
		kept[e.Key] = struct{}{}
	}
	for key := range d.entries {
		if _, ok := kept[key]; !ok {
			membersChanged = d.unset(key) || membersChanged
		}
	}
	return membersChanged
}

// listMembers makes the lists of members anew.
func (d *Directory) listMembers() {
	d.order = slices.SortedFunc(maps.Values(d.members), func(a, b *Member) int { return a.Address.Compare(b.Address) })
	d.byService = map[string][]*Member{}
	for _, m := range d.order {
		d.byService[m.Service] = append(d.byService[m.Service], m)
	}
}

// set changes one entry, and reports whether that changed a member. An entry that
// does not decode is kept, so that it is passed on as it is, but names nothing.
func (d *Directory) set(e Entry) (membersChanged bool) {
	if present, ok := d.entries[e.Key]; ok && len(e.Value) > 0 && bytes.Equal(present, e.Value) {
		return false
	}
	membersChanged = d.unset(e.Key)
	if len(e.Value) == 0 {
		return membersChanged
	}
	d.entries[e.Key] = e.Value
	switch {
	case strings.HasPrefix(e.Key, memberPrefix):
		m := &Member{}
		if json.Unmarshal(e.Value, m) == nil && memberKey(m.Address) == e.Key {
			d.members[m.Address] = m
			return true
		}
	case strings.HasPrefix(e.Key, rangePrefix):
		a := &Assignment{}
		if json.Unmarshal(e.Value, a) == nil && rangeKey(a.Service, a.First) == e.Key && a.First <= a.Last {
			d.ranges[a.Service] = insert(d.ranges[a.Service], a)
			d.owned[a.Owner] = insert(d.owned[a.Owner], a)
		}
	}
	return membersChanged
}

// unset removes an entry, and reports whether it was a member.
func (d *Directory) unset(key string) bool {
	if _, ok := d.entries[key]; !ok {
		return false
	}
	delete(d.entries, key)
	if addr, ok := strings.CutPrefix(key, memberPrefix); ok {
		parsed, err := netip.ParseAddrPort(addr)
		if err != nil || d.members[parsed] == nil {
			return false
		}
		delete(d.members, parsed)
		return true
	}
	a := d.assignmentAt(key)
	if a == nil {
		return false
	}
	d.ranges[a.Service] = remove(d.ranges[a.Service], a)
	if d.owned[a.Owner] = remove(d.owned[a.Owner], a); len(d.owned[a.Owner]) == 0 {
		delete(d.owned, a.Owner)
	}
	return false
}

// assignmentAt returns the assignment that is stored under key, or nil.
func (d *Directory) assignmentAt(key string) *Assignment {
	name, ok := strings.CutPrefix(key, rangePrefix)
	slash := strings.LastIndexByte(name, '/')
	if !ok || slash < 0 {
		return nil
	}
	first, err := strconv.ParseUint(name[slash+1:], 10, 16)
	if err != nil {
		return nil
	}
	list := d.ranges[name[:slash]]
	i, found := search(list, name[:slash], uint16(first))
	if !found {
		return nil
	}
	return list[i]
}

// search returns the place of the assignment of service that begins with first in
// a list ordered by service and First.
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

// remove takes a out of a list ordered by service and First.
func remove(list []*Assignment, a *Assignment) []*Assignment {
	i, found := search(list, a.Service, a.First)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// Snapshot returns the whole directory as an update.
func (d *Directory) Snapshot() Update {
	u := Update{End: d.end, Entries: make([]Entry, 0, len(d.entries))}
	for key, value := range d.entries {
		u.Entries = append(u.Entries, Entry{Key: key, Value: value})
	}
	slices.SortFunc(u.Entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return u
}

// Member returns the member at addr, or nil.
func (d *Directory) Member(addr netip.AddrPort) *Member { return d.members[addr] }

// Members returns all members, ordered by address. Callers must not change the
// list.
func (d *Directory) Members() []*Member { return d.order }

// MembersOf returns the members of a service, ordered by address. Callers must not
// change the list.
func (d *Directory) MembersOf(service string) []*Member { return d.byService[service] }

// Assignments returns the assignments of a service in order. Callers must not
// change them.
func (d *Directory) Assignments(service string) []*Assignment { return d.ranges[service] }

// Ranges returns the number of assignments of all services.
func (d *Directory) Ranges() int {
	n := 0
	for _, list := range d.ranges {
		n += len(list)
	}
	return n
}

// AssignmentOf returns the assignment that key belongs to, or nil.
func (d *Directory) AssignmentOf(service string, key uint16) *Assignment {
	list := d.ranges[service]
	i, found := slices.BinarySearchFunc(list, key, func(a *Assignment, key uint16) int {
		return cmp.Compare(a.First, key)
	})
	if !found {
		i--
	}
	if i < 0 || !list[i].Has(key) {
		return nil
	}
	return list[i]
}

// OwnedBy returns the assignments of owner, ordered by service and First. Callers
// must not change them.
func (d *Directory) OwnedBy(owner netip.AddrPort) []*Assignment { return d.owned[owner] }

// Free returns the ranges of a service that have no assignment, as assignments
// without an owner.
func (d *Directory) Free(service string) []Assignment {
	var free []Assignment
	next := 0
	for _, a := range d.ranges[service] {
		if next < int(a.First) {
			free = append(free, Assignment{Service: service, First: uint16(next), Last: a.First - 1})
		}
		next = int(a.Last) + 1
	}
	if next <= MaxKey {
		free = append(free, Assignment{Service: service, First: uint16(next), Last: MaxKey})
	}
	return free
}

// Fence returns the fence of assignments that a transaction at this version
// makes.
func (d *Directory) Fence() uint64 { return d.end + 1 }
