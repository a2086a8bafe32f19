// Package fleet folds the platform's log into the state of the fleet: who its
// members are, who guards whom, which server owns which key, and the settings.
//
// Every daemon folds the same records in offset order with the same function,
// State.Apply, and so reaches the same state. A record that is stale or invalid
// is ignored by all of them alike; no record needs the agreement of anybody but
// the log. The offset of the record that made a server the owner of a unit is
// the unit's token: tokens of a unit only grow, and a release that carries an
// older token is ignored.
//
// The unit of ownership is a slot, a power-of-two share of a service's key
// space by hash, or a single key that was carved out of its slot.
//
// A member is lost once its incarnation is revoked, or once a later process has
// shown that it took the place of the former. Lost members can do nothing more,
// but the units of a member that was only succeeded stay its own until a
// Revoke: an heir may be serving them (see package lease).
//
// # Usage
//
//	state := fleet.New()
//	switch v := state.Apply(offset, rec).(type) {
//	case fleet.Accepted:
//	case fleet.Ignored:
//		// v.Reason
//	}
//	owner := state.Owner("registry", "rosa-alba")
package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinknot/core/record"
	"siskinknot/core/settings"
)

// Limits of the state.
const (
	// maxCarved is the number of keys of a service that may be carved out.
	maxCarved = 128
	// maxGone is the number of revoked incarnations that are remembered, so
	// that a late copy of their Announce is ignored.
	maxGone = 4096
)

// Member is an incarnation that announced itself and is not revoked.
type Member struct {
	ID      record.Incarnation
	Server  string
	Service string
	// Region is empty in a fleet of one region.
	Region string
	Zone   string
	Daemon netip.AddrPort
	Caller netip.AddrPort
	BootID string
	// BlindLimit is how long the member holds without reading the log.
	BlindLimit time.Duration
	// Since is the offset of the member's Announce.
	Since uint64
	// Epoch counts the member's pairs of guardians; 0 is no pair yet.
	Epoch uint64
	Pair  [2]record.Incarnation
	// PairSince is the offset of the Guardians record of Epoch.
	PairSince uint64
	// Releases is the Seq of the member's last folded Release.
	Releases  uint64
	Leaving   bool
	Succeeded bool
	// Accused is the offset of an unanswered Accuse, or 0.
	Accused uint64
}

// Guards reports whether id is in the member's pair.
func (m *Member) Guards(id record.Incarnation) bool {
	return m.Epoch > 0 && (m.Pair[0] == id || m.Pair[1] == id)
}

// Cause says which kind of record made a server the owner of a unit.
type Cause uint8

// The causes.
const (
	NoCause Cause = iota // the unit has no owner
	ByAssign
	ByRelease
	ByRevoke
	ByHeir
)

var causeNames = [...]string{"none", "assign", "release", "revoke", "revoke_by_heir"}

// String returns the cause's name.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return fmt.Sprintf("cause(%d)", uint8(c))
	}
	return causeNames[c]
}

// MarshalText implements encoding.TextMarshaler.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Cause) UnmarshalText(text []byte) error {
	i := slices.Index(causeNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("cause %q does not exist", text)
	}
	*c = Cause(i)
	return nil
}

// Owner is the owner of a unit.
type Owner struct {
	// ID is empty if the unit has no owner.
	ID record.Incarnation
	// Token is the offset of the record that made ID the owner.
	Token uint64
	Cause Cause
}

// Service is the ownership of one service's units.
type Service struct {
	Name   string
	slots  []Owner
	carved map[string]Owner
	counts map[record.Incarnation]int
	// changes counts the units that passed from one owner to another since this
	// process began to fold.
	changes int
	// Planner proposes moves in Term.
	Planner record.Incarnation
	Term    uint64
}

func newService(name string, slots int) *Service {
	return &Service{
		Name:   name,
		slots:  make([]Owner, slots),
		carved: map[string]Owner{},
		counts: map[record.Incarnation]int{},
	}
}

// Slots returns the number of slots.
func (s *Service) Slots() int { return len(s.slots) }

// SlotOf returns the slot that key falls into.
func (s *Service) SlotOf(key string) int {
	return int(xxhash.Sum64String(key) & uint64(len(s.slots)-1))
}

// Slot returns the owner of a slot.
func (s *Service) Slot(slot int) Owner { return s.slots[slot] }

// Count returns the number of slots that id owns.
func (s *Service) Count(id record.Incarnation) int { return s.counts[id] }

// Carved returns the keys that were carved out of their slots, in order.
func (s *Service) Carved() []string {
	keys := make([]string, 0, len(s.carved))
	for key := range s.carved {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// CarvedOwner returns the owner of a carved key.
func (s *Service) CarvedOwner(key string) (Owner, bool) {
	owner, ok := s.carved[key]
	return owner, ok
}

// UnitOf returns the unit that key belongs to and its owner.
func (s *Service) UnitOf(key string) (record.Unit, Owner) {
	slot := s.SlotOf(key)
	if owner, ok := s.carved[key]; ok {
		return record.Unit{Slot: slot, Key: key, Token: owner.Token}, owner
	}
	owner := s.slots[slot]
	return record.Unit{Slot: slot, Token: owner.Token}, owner
}

// UnitsOf returns the units that id owns, slots first.
func (s *Service) UnitsOf(id record.Incarnation) []record.Unit {
	var units []record.Unit
	for slot, owner := range s.slots {
		if owner.ID == id {
			units = append(units, record.Unit{Slot: slot, Token: owner.Token})
		}
	}
	for _, key := range s.Carved() {
		if owner := s.carved[key]; owner.ID == id {
			units = append(units, record.Unit{Slot: s.SlotOf(key), Key: key, Token: owner.Token})
		}
	}
	return units
}

// Changes returns how many units have passed from one owner to another since
// this process began to fold.
func (s *Service) Changes() int { return s.changes }

// setSlot makes owner the owner of slot and keeps the counts.
func (s *Service) setSlot(slot int, owner Owner) {
	if old := s.slots[slot].ID; old != "" {
		if old != owner.ID {
			s.changes++
		}
		s.counts[old]--
		if s.counts[old] == 0 {
			delete(s.counts, old)
		}
	}
	s.slots[slot] = owner
	if owner.ID != "" {
		s.counts[owner.ID]++
	}
}

// setCarved makes owner the owner of a key on its own.
func (s *Service) setCarved(key string, owner Owner) {
	s.changes++
	s.carved[key] = owner
}

// State is the fold of the log up to an offset. It is not safe for concurrent
// use.
type State struct {
	next    uint64
	members map[record.Incarnation]*Member
	// order holds the members by their announcement.
	order    []*Member
	gone     map[record.Incarnation]bool
	goneList []record.Incarnation
	services map[string]*Service
	settings *settings.Tree
	// snapshotAt is the offset of the last Snapshot record.
	snapshotAt uint64
}

// New returns the state before the first record.
func New() *State {
	return &State{
		members:  map[record.Incarnation]*Member{},
		gone:     map[record.Incarnation]bool{},
		services: map[string]*Service{},
		settings: settings.New(),
	}
}

// Next returns the offset of the next record to fold.
func (s *State) Next() uint64 { return s.next }

// SnapshotAt returns the offset of the last Snapshot record, or 0.
func (s *State) SnapshotAt() uint64 { return s.snapshotAt }

// Settings returns the settings tree.
func (s *State) Settings() *settings.Tree { return s.settings }

// Member returns the member with the given incarnation, or nil.
func (s *State) Member(id record.Incarnation) *Member { return s.members[id] }

// Lost reports whether id can do nothing more: it was revoked, succeeded, or
// was never a member.
func (s *State) Lost(id record.Incarnation) bool {
	m := s.members[id]
	return m == nil || m.Succeeded
}

// Gone reports whether id was a member and is revoked.
func (s *State) Gone(id record.Incarnation) bool { return s.gone[id] }

// Members returns all members, ordered by their announcement. Callers must not
// change the list.
func (s *State) Members() []*Member { return s.order }

// addMember adds a member that announced itself after all others.
func (s *State) addMember(m *Member) {
	s.members[m.ID] = m
	s.order = append(s.order, m)
}

// Service returns the ownership of the named service, or nil if its kind is
// shared or it does not exist.
func (s *State) Service(name string) *Service { return s.services[name] }

// Owner returns the owner of key of the named service.
func (s *State) Owner(service, key string) Owner {
	svc := s.services[service]
	if svc == nil {
		return Owner{}
	}
	_, owner := svc.UnitOf(key)
	return owner
}

// HasFree reports whether the service has units without an owner and a member
// that can take them.
func (s *State) HasFree(service string) bool {
	svc := s.services[service]
	if svc == nil {
		return false
	}
	owned := 0
	for _, n := range svc.counts {
		owned += n
	}
	free := owned < len(svc.slots)
	for _, owner := range svc.carved {
		free = free || owner.ID == ""
	}
	return free && len(s.takers(svc)) > 0
}

// Takers returns the members other than not that may receive units of the
// service, fewest slots first.
func (s *State) Takers(service string, not record.Incarnation) []record.Incarnation {
	svc := s.services[service]
	if svc == nil {
		return nil
	}
	takers := s.takers(svc)
	sort.Sort(takers)
	ids := make([]record.Incarnation, 0, len(takers))
	for _, t := range takers {
		if t.id != not {
			ids = append(ids, t.id)
		}
	}
	return ids
}
