// Package fleet applies the records of the platform's log to the state of the
// fleet: its members, the guardians of each member, the owner of each key, and the
// settings.
//
// Every daemon applies the same records in offset order with the same function,
// State.Apply, and therefore reaches the same state. All daemons ignore the same
// stale or invalid records, so no record needs an agreement between daemons other
// than the log itself. The token of a unit is the offset of the record that made a
// server its owner. The tokens of a unit only grow, and a release that carries an
// older token is ignored.
//
// The unit of ownership is a slot or a carved key. A slot is one of a power-of-two
// number of equal shares of a service's key space, divided by the hash of the key.
// A carved key is a single key that is owned separately from its slot.
//
// A member is lost once its incarnation is revoked, or once it is succeeded, that
// is, once a later process has shown by its announcement that it replaced the
// earlier one. The records of a lost member are ignored. A member that is succeeded
// but not revoked still owns its units until a Revoke, because an heir may be
// serving them (see package lease).
//
// # Usage
//
//	state := fleet.New()
//	switch result := state.Apply(offset, rec).(type) {
//	case fleet.Accepted:
//		// The record took effect.
//	case fleet.Ignored:
//		// result.Reason says why the record was ignored.
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
	// maxCarvedKeys is the maximum number of carved keys of a service.
	maxCarvedKeys = 128
	// maxRevoked is the maximum number of revoked incarnations that are
	// remembered. They are remembered so that a late copy of their Announce is
	// ignored.
	maxRevoked = 4096
)

// Member is an incarnation that has announced itself and is not revoked.
type Member struct {
	ID      record.Incarnation
	Server  string
	Service string
	// Region is empty if the fleet runs in a single region.
	Region string
	// Zone is the availability zone.
	Zone string
	// DaemonAddress is the address of the protocol between daemons.
	DaemonAddress netip.AddrPort
	// CallerAddress is the address of the HTTP interface for callers.
	CallerAddress netip.AddrPort
	// BootID identifies the boot of the VM.
	BootID string
	// BlindLimit is how long the member's lease stays valid without a read of the
	// head of the log.
	BlindLimit time.Duration
	// AnnounceOffset is the offset of the member's Announce.
	AnnounceOffset uint64
	// Epoch counts the pairs of guardians that the member has had. It is 0 before
	// the first pair.
	Epoch uint64
	// Pair holds the first and the second guardian of Epoch.
	Pair [2]record.Incarnation
	// PairOffset is the offset of the Guardians record of Epoch.
	PairOffset uint64
	// Releases is the Seq of the member's last Release that was applied.
	Releases uint64
	// Leaving is set once the member has sent a Leave; it then receives no further
	// units.
	Leaving bool
	// Succeeded is set once a later process with the same server, daemon address
	// and boot ID has announced itself.
	Succeeded bool
	// Accused is the offset of the unanswered Accuse of this member, or 0.
	Accused uint64
}

// HasGuardian reports whether id is one of the two guardians of m.
func (m *Member) HasGuardian(id record.Incarnation) bool {
	return m.Epoch > 0 && (m.Pair[0] == id || m.Pair[1] == id)
}

// Cause is the kind of record that made a server the owner of a unit.
type Cause uint8

// The causes of ownership.
const (
	NoCause   Cause = iota // the unit has no owner
	ByAssign               // an Assign distributed the unit
	ByRelease              // the previous owner released the unit
	ByRevoke               // the previous owner was revoked and its units distributed
	ByHeir                 // the previous owner was revoked by its heir, which kept the unit
)

var causeNames = [...]string{"none", "assign", "release", "revoke", "revoke_by_heir"}

// String returns the name of c, or "cause(N)" if c is not one of the causes.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return fmt.Sprintf("cause(%d)", uint8(c))
	}
	return causeNames[c]
}

// MarshalText implements encoding.TextMarshaler. The error is always nil.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if text
// is not the name of a cause.
func (c *Cause) UnmarshalText(text []byte) error {
	i := slices.Index(causeNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("unknown cause %q", text)
	}
	*c = Cause(i)
	return nil
}

// Owner describes who owns a unit and since which record.
type Owner struct {
	// ID is empty if the unit has no owner.
	ID record.Incarnation
	// Token is the offset of the record that made ID the owner.
	Token uint64
	// Cause is the kind of that record.
	Cause Cause
}

// Service holds the owners of the units of one service that is divided by key.
type Service struct {
	Name string
	// slots holds the owner of each slot. Its length is a power of two.
	slots []Owner
	// carved holds the owner of each carved key.
	carved map[string]Owner
	// slotCounts holds the number of slots of each member that owns any.
	slotCounts map[record.Incarnation]int
	// ownerChanges is the count that OwnerChanges returns.
	ownerChanges int
	// Planner is the member that proposes moves of units in Term. It is empty
	// before the first term.
	Planner record.Incarnation
	// Term counts the planners that the service has had.
	Term uint64
}

// newService returns a service none of whose slots has an owner. slots must be a
// power of two.
func newService(name string, slots int) *Service {
	return &Service{
		Name:       name,
		slots:      make([]Owner, slots),
		carved:     map[string]Owner{},
		slotCounts: map[record.Incarnation]int{},
	}
}

// NumSlots returns the number of slots of the service.
func (s *Service) NumSlots() int { return len(s.slots) }

// SlotOf returns the slot that the hash of key selects. A carved key also has
// one.
func (s *Service) SlotOf(key string) int {
	return int(xxhash.Sum64String(key) & uint64(len(s.slots)-1))
}

// SlotOwner returns the owner of a slot. It panics if the slot does not exist.
func (s *Service) SlotOwner(slot int) Owner { return s.slots[slot] }

// NumSlotsOf returns the number of slots that id owns.
func (s *Service) NumSlotsOf(id record.Incarnation) int { return s.slotCounts[id] }

// CarvedKeys returns the carved keys in ascending order.
func (s *Service) CarvedKeys() []string {
	keys := make([]string, 0, len(s.carved))
	for key := range s.carved {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// CarvedOwner returns the owner of a carved key, and whether key is carved.
func (s *Service) CarvedOwner(key string) (Owner, bool) {
	owner, ok := s.carved[key]
	return owner, ok
}

// UnitOf returns the unit that key belongs to and the owner of that unit.
func (s *Service) UnitOf(key string) (record.Unit, Owner) {
	slot := s.SlotOf(key)
	if owner, ok := s.carved[key]; ok {
		return record.Unit{Slot: slot, Key: key, Token: owner.Token}, owner
	}
	owner := s.slots[slot]
	return record.Unit{Slot: slot, Token: owner.Token}, owner
}

// UnitsOwnedBy returns the units that id owns: the slots, then the carved keys,
// each in ascending order.
func (s *Service) UnitsOwnedBy(id record.Incarnation) []record.Unit {
	var units []record.Unit
	for slot, owner := range s.slots {
		if owner.ID == id {
			units = append(units, record.Unit{Slot: slot, Token: owner.Token})
		}
	}
	for _, key := range s.CarvedKeys() {
		if owner := s.carved[key]; owner.ID == id {
			units = append(units, record.Unit{Slot: s.SlotOf(key), Key: key, Token: owner.Token})
		}
	}
	return units
}

// OwnerChanges returns how often a slot got another owner or lost its owner, or the
// owner of a carved key was set or the key rejoined its slot, since this process
// began to apply records. The assignment of a slot without an owner does not count.
func (s *Service) OwnerChanges() int { return s.ownerChanges }

// setSlot makes owner the owner of slot and updates slotCounts and ownerChanges.
func (s *Service) setSlot(slot int, owner Owner) {
	if old := s.slots[slot].ID; old != "" {
		if old != owner.ID {
			s.ownerChanges++
		}
		s.slotCounts[old]--
		if s.slotCounts[old] == 0 {
			delete(s.slotCounts, old)
		}
	}
	s.slots[slot] = owner
	if owner.ID != "" {
		s.slotCounts[owner.ID]++
	}
}

// setCarved makes owner the owner of key, and key a carved key.
func (s *Service) setCarved(key string, owner Owner) {
	s.ownerChanges++
	s.carved[key] = owner
}

// State is the state of the fleet after all records up to an offset are applied.
// It is not safe for concurrent use.
type State struct {
	// nextOffset is the offset of the next record to apply.
	nextOffset uint64
	members    map[record.Incarnation]*Member
	// memberList holds the members in the order of their announcements.
	memberList []*Member
	// revoked holds the last maxRevoked incarnations that were revoked, and
	// revokedOrder the same in the order of their revocation.
	revoked      map[record.Incarnation]bool
	revokedOrder []record.Incarnation
	// services holds the services that are divided by key, by name.
	services map[string]*Service
	settings *settings.Tree
	// snapshotOffset is the offset of the last Snapshot record, or 0.
	snapshotOffset uint64
}

// New returns the state before the first record is applied.
func New() *State {
	return &State{
		members:  map[record.Incarnation]*Member{},
		revoked:  map[record.Incarnation]bool{},
		services: map[string]*Service{},
		settings: settings.New(),
	}
}

// NextOffset returns the offset of the next record to apply.
func (s *State) NextOffset() uint64 { return s.nextOffset }

// SnapshotOffset returns the offset of the last Snapshot record, or 0.
func (s *State) SnapshotOffset() uint64 { return s.snapshotOffset }

// Settings returns the settings tree, which later records change.
func (s *State) Settings() *settings.Tree { return s.settings }

// Member returns the member with the given incarnation, or nil.
func (s *State) Member(id record.Incarnation) *Member { return s.members[id] }

// Lost reports whether id was revoked or succeeded, or has never been a member. All
// records that a lost incarnation sends are ignored, except for the Announce with
// which a new incarnation becomes a member.
func (s *State) Lost(id record.Incarnation) bool {
	m := s.members[id]
	return m == nil || m.Succeeded
}

// Revoked reports whether id was a member and is revoked. Only the last 4096
// (maxRevoked) revoked incarnations are remembered; for earlier ones Revoked reports
// false.
func (s *State) Revoked(id record.Incarnation) bool { return s.revoked[id] }

// Members returns all members in the order of their announcements. The caller must
// not change the slice.
func (s *State) Members() []*Member { return s.memberList }

// addMember adds m, whose announcement is later than those of all other members.
func (s *State) addMember(m *Member) {
	s.members[m.ID] = m
	s.memberList = append(s.memberList, m)
}

// Service returns the owners of the units of the named service. It returns nil if
// the service does not exist or is shared instead of divided by key.
func (s *State) Service(name string) *Service { return s.services[name] }

// Owner returns the owner of a key of the named service. The result is the zero
// Owner if the service is not divided by key or if the key has no owner.
func (s *State) Owner(service, key string) Owner {
	svc := s.services[service]
	if svc == nil {
		return Owner{}
	}
	_, owner := svc.UnitOf(key)
	return owner
}

// HasUnownedUnits reports whether the service has units without an owner and at
// least one member that may receive them.
func (s *State) HasUnownedUnits(service string) bool {
	svc := s.services[service]
	if svc == nil {
		return false
	}
	owned := 0
	for _, n := range svc.slotCounts {
		owned += n
	}
	unowned := owned < len(svc.slots)
	for _, owner := range svc.carved {
		unowned = unowned || owner.ID == ""
	}
	return unowned && len(s.receivers(svc)) > 0
}

// Receivers returns the members that may receive units of the service, ordered by
// their number of slots, lowest first. It leaves out the member except. The result
// is nil if the service is not divided by key.
func (s *State) Receivers(service string, except record.Incarnation) []record.Incarnation {
	svc := s.services[service]
	if svc == nil {
		return nil
	}
	receivers := s.receivers(svc)
	sort.Sort(receivers)
	ids := make([]record.Incarnation, 0, len(receivers))
	for _, r := range receivers {
		if r.id != except {
			ids = append(ids, r.id)
		}
	}
	return ids
}
