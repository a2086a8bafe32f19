package fleet

import (
	"fmt"
	"slices"

	"siskinknot/core/record"
	"siskinknot/core/settings"
)

// Result says what applying a record did. It is Accepted or Ignored.
type Result interface {
	isResult()
}

// Accepted is the result for a record that took effect.
type Accepted struct{}

// Ignored is the result for a record that was stale or invalid.
type Ignored struct {
	// Reason says in English why the record was ignored.
	Reason string
}

func (Accepted) isResult() {}
func (Ignored) isResult()  {}

// ignored returns an Ignored whose reason is formatted as by fmt.Sprintf.
func ignored(format string, args ...any) Result {
	return Ignored{Reason: fmt.Sprintf(format, args...)}
}

// Apply applies the record at offset to the state and returns whether the record
// took effect. For a log record that does not decode, rec is nil. Apply panics if
// offset is not NextOffset, or if rec is of an unknown type.
func (s *State) Apply(offset uint64, rec record.Record) Result {
	if offset != s.nextOffset {
		panic(fmt.Sprintf("apply record at offset %d, want offset %d", offset, s.nextOffset))
	}
	s.nextOffset = offset + 1
	switch rec := rec.(type) {
	case nil:
		return ignored("the record does not decode")
	case record.Announce:
		return s.announce(offset, rec)
	case record.Guardians:
		return s.guardians(offset, rec)
	case record.Assign:
		return s.assign(offset, rec)
	case record.Release:
		return s.release(offset, rec)
	case record.Revoke:
		return s.revoke(offset, rec)
	case record.Leave:
		return s.leave(rec)
	case record.Accuse:
		return s.accuse(offset, rec)
	case record.Alive:
		return s.alive(rec)
	case record.Planner:
		return s.planner(rec)
	case record.Edit:
		return s.edit(offset, rec)
	case record.Snapshot:
		s.snapshotOffset = offset
		return Accepted{}
	default:
		panic(fmt.Sprintf("unexpected record.Record %T", rec))
	}
}

// sender returns the member by, which sent a record. It returns an Ignored instead
// if by is not a member or was succeeded.
func (s *State) sender(by record.Incarnation) (*Member, Result) {
	m := s.members[by]
	if m == nil {
		return nil, ignored("sender %q is not a member", by)
	}
	if m.Succeeded {
		return nil, ignored("sender %q was succeeded", by)
	}
	return m, nil
}

// announce adds a member. It marks earlier members on the same server, daemon
// address and boot as succeeded.
func (s *State) announce(offset uint64, rec record.Announce) Result {
	if rec.By == "" || rec.Server == "" || rec.Service == "" || rec.Zone == "" {
		return ignored("announcement of %q has an empty field", rec.By)
	}
	if !rec.DaemonAddress.IsValid() || !rec.CallerAddress.IsValid() {
		return ignored("announcement of %q has an invalid address", rec.By)
	}
	if s.revoked[rec.By] || s.members[rec.By] != nil {
		return ignored("incarnation %q was announced before", rec.By)
	}
	for _, m := range s.members {
		if m.SucceededBy(rec) {
			m.Succeeded = true
		}
	}
	s.addMember(&Member{
		ID:             rec.By,
		Server:         rec.Server,
		Service:        rec.Service,
		Region:         rec.Region,
		Zone:           rec.Zone,
		DaemonAddress:  rec.DaemonAddress,
		CallerAddress:  rec.CallerAddress,
		BootID:         rec.BootID,
		BlindLimit:     rec.BlindLimit.Duration(),
		AnnounceOffset: offset,
	})
	return Accepted{}
}

// SucceededBy reports whether the announcement rec proves that the process of m has
// ended.
func (m *Member) SucceededBy(rec record.Announce) bool {
	return m.Server == rec.Server && m.DaemonAddress == rec.DaemonAddress && m.BootID == rec.BootID
}

// guardians gives the sender a new pair of guardians.
func (s *State) guardians(offset uint64, rec record.Guardians) Result {
	m, refusal := s.sender(rec.By)
	if refusal != nil {
		return refusal
	}
	if rec.Epoch != m.Epoch+1 {
		return ignored("epoch %d of %q is not %d", rec.Epoch, rec.By, m.Epoch+1)
	}
	if rec.Pair[0] == rec.Pair[1] || rec.Pair[0] == rec.By || rec.Pair[1] == rec.By {
		return ignored("guardians %q of %q are not two others", rec.Pair, rec.By)
	}
	for _, id := range rec.Pair {
		if s.Lost(id) {
			return ignored("guardian %q of %q is lost", id, rec.By)
		}
	}
	if m.Epoch > 0 && !m.HasGuardian(rec.Consent) && !s.bothGuardiansLost(m) {
		return ignored("no guardian of epoch %d of %q consented", m.Epoch, rec.By)
	}
	m.Epoch = rec.Epoch
	m.Pair = rec.Pair
	m.PairOffset = offset
	return Accepted{}
}

// bothGuardiansLost reports whether both guardians of m are lost.
func (s *State) bothGuardiansLost(m *Member) bool {
	return s.Lost(m.Pair[0]) && s.Lost(m.Pair[1])
}

// assign distributes the units of a service that have no owner.
func (s *State) assign(offset uint64, rec record.Assign) Result {
	if _, refusal := s.sender(rec.By); refusal != nil {
		return refusal
	}
	svc := s.services[rec.Service]
	if svc == nil {
		return ignored("service %q is not divided by key", rec.Service)
	}
	var unowned []record.Unit
	for slot, owner := range svc.slots {
		if owner.ID == "" {
			unowned = append(unowned, record.Unit{Slot: slot})
		}
	}
	for _, key := range svc.CarvedKeys() {
		if svc.carved[key].ID == "" {
			unowned = append(unowned, record.Unit{Slot: svc.SlotOf(key), Key: key})
		}
	}
	if len(unowned) == 0 {
		return ignored("service %q has no free unit", rec.Service)
	}
	s.distribute(svc, unowned, offset, ByAssign)
	return Accepted{}
}

// release transfers units of the sender to the owners that the record names. It
// skips the units that cannot be transferred.
func (s *State) release(offset uint64, rec record.Release) Result {
	m, refusal := s.sender(rec.By)
	if refusal != nil {
		return refusal
	}
	if rec.Seq <= m.Releases {
		return ignored("release %d of %q was settled before", rec.Seq, rec.By)
	}
	m.Releases = rec.Seq
	svc := s.services[rec.Service]
	if svc == nil {
		return ignored("service %q is not divided by key", rec.Service)
	}
	transferred := 0
	for _, t := range rec.Transfers {
		newOwner := Owner{ID: t.To, Token: offset, Cause: ByRelease}
		if s.canReceive(rec, t.To) && s.transfer(svc, t.Unit, rec.By, newOwner) {
			transferred++
		}
	}
	if transferred == 0 {
		return ignored("none of the %d units of %q can pass on", len(rec.Transfers), rec.By)
	}
	return Accepted{}
}

// canReceive reports whether the member to can become the owner of units that rec
// releases.
func (s *State) canReceive(rec record.Release, to record.Incarnation) bool {
	m := s.members[to]
	return m != nil && !m.Succeeded && !m.Leaving && m.Service == rec.Service && to != rec.By
}

// transfer makes newOwner the owner of unit and reports whether it did. It does
// so only if from owns the unit under the token in unit. If unit is a key that is
// not carved out yet, the owner and token of its slot are checked, and the key is
// carved out of the slot; that fails once the service has maxCarvedKeys carved keys.
func (s *State) transfer(svc *Service, unit record.Unit, from record.Incarnation, newOwner Owner) bool {
	if unit.Slot < 0 || unit.Slot >= len(svc.slots) {
		return false
	}
	slotOwner := svc.slots[unit.Slot]
	owner, carved := slotOwner, false
	if unit.Key != "" {
		if svc.SlotOf(unit.Key) != unit.Slot {
			return false
		}
		if o, ok := svc.carved[unit.Key]; ok {
			owner, carved = o, true
		}
	}
	if owner.ID != from || owner.Token != unit.Token {
		return false
	}
	switch {
	case unit.Key == "":
		svc.setSlot(unit.Slot, newOwner)
	case carved && newOwner.ID == slotOwner.ID:
		// The new owner also owns the key's slot, so the key rejoins the slot.
		// The slot takes the new token, because the tokens of a unit must only
		// grow.
		svc.ownerChanges++
		delete(svc.carved, unit.Key)
		svc.setSlot(unit.Slot, newOwner)
	case !carved && len(svc.carved) >= maxCarvedKeys:
		return false
	default:
		svc.setCarved(unit.Key, newOwner)
	}
	return true
}

// revoke removes a member and gives its units to other members.
func (s *State) revoke(offset uint64, rec record.Revoke) Result {
	if _, refusal := s.sender(rec.By); refusal != nil {
		return refusal
	}
	m := s.members[rec.Of]
	if m == nil {
		return ignored("%q is not a member", rec.Of)
	}
	if rec.By == rec.Of {
		return ignored("%q cannot revoke itself", rec.By)
	}
	if refusal := s.checkRevoke(m, rec); refusal != nil {
		return refusal
	}
	heir := record.Incarnation("")
	if rec.Heir {
		heir = rec.By
	}
	s.removeMember(m)
	s.reassign(m.ID, heir, offset)
	return Accepted{}
}

// checkRevoke returns nil if rec may revoke m, otherwise an Ignored with the
// reason.
func (s *State) checkRevoke(m *Member, rec record.Revoke) Result {
	if rec.Accused != 0 {
		if rec.Accused != m.Accused {
			return ignored("accusation %d of %q was answered", rec.Accused, rec.Of)
		}
		return nil
	}
	if rec.Epoch != m.Epoch {
		return ignored("epoch %d of %q is not %d", rec.Epoch, rec.Of, m.Epoch)
	}
	if m.Epoch == 0 {
		if m.Succeeded {
			return nil
		}
		return ignored("%q has no guardians yet", rec.Of)
	}
	if rec.Heir && m.Pair[0] != rec.By {
		return ignored("%q is not the first guardian of %q", rec.By, rec.Of)
	}
	// If the process of m has ended and the first guardian is lost, no heir can be
	// serving the units of m, so any member may revoke m.
	noHeir := m.Succeeded && s.Lost(m.Pair[0])
	if !m.HasGuardian(rec.By) && !s.bothGuardiansLost(m) && !noHeir {
		return ignored("%q does not guard %q", rec.By, rec.Of)
	}
	return nil
}

// removeMember removes m from the members and remembers it as revoked.
func (s *State) removeMember(m *Member) {
	delete(s.members, m.ID)
	// The list is copied because callers of Members may still read the old one.
	s.memberList = slices.DeleteFunc(slices.Clone(s.memberList), func(other *Member) bool { return other == m })
	s.revoked[m.ID] = true
	s.revokedOrder = append(s.revokedOrder, m.ID)
	if len(s.revokedOrder) > maxRevoked {
		delete(s.revoked, s.revokedOrder[0])
		s.revokedOrder = s.revokedOrder[1:]
	}
}

// reassign gives the units of a revoked member to heir. If heir is empty, it
// distributes them over the members of the service.
func (s *State) reassign(revoked, heir record.Incarnation, offset uint64) {
	for _, svc := range s.services {
		units := svc.UnitsOwnedBy(revoked)
		if len(units) == 0 {
			continue
		}
		if heir == "" {
			s.distribute(svc, units, offset, ByRevoke)
			continue
		}
		for _, unit := range units {
			svc.setOwner(unit, Owner{ID: heir, Token: offset, Cause: ByHeir})
		}
	}
}

// leave marks the sender as leaving.
func (s *State) leave(rec record.Leave) Result {
	m, refusal := s.sender(rec.By)
	if refusal != nil {
		return refusal
	}
	m.Leaving = true
	return Accepted{}
}

// accuse marks a member as accused until it answers with an Alive record.
func (s *State) accuse(offset uint64, rec record.Accuse) Result {
	if _, refusal := s.sender(rec.By); refusal != nil {
		return refusal
	}
	m := s.members[rec.Of]
	if m == nil {
		return ignored("%q is not a member", rec.Of)
	}
	if m.Accused != 0 {
		return ignored("%q stands accused since %d", rec.Of, m.Accused)
	}
	m.Accused = offset
	return Accepted{}
}

// alive clears the accusation of the sender.
func (s *State) alive(rec record.Alive) Result {
	m, refusal := s.sender(rec.By)
	if refusal != nil {
		return refusal
	}
	m.Accused = 0
	return Accepted{}
}

// planner makes the sender the planner of a service for the next term.
func (s *State) planner(rec record.Planner) Result {
	if _, refusal := s.sender(rec.By); refusal != nil {
		return refusal
	}
	svc := s.services[rec.Service]
	if svc == nil {
		return ignored("service %q is not divided by key", rec.Service)
	}
	if rec.Term != svc.Term+1 {
		return ignored("term %d of service %q is not %d", rec.Term, rec.Service, svc.Term+1)
	}
	svc.Term = rec.Term
	svc.Planner = rec.By
	return Accepted{}
}

// edit applies an edit of the settings and adds the services that are now divided
// by key.
func (s *State) edit(offset uint64, rec record.Edit) Result {
	result := s.settings.Apply(offset, settings.Edit{
		ID:     rec.ID,
		Base:   rec.Base,
		Node:   rec.Node,
		Patch:  rec.Patch,
		Author: rec.Author,
	})
	if result.Offset != offset {
		return ignored("edit %q was decided at %d", rec.ID, result.Offset)
	}
	if !result.Accepted {
		return Ignored{Reason: result.Reason}
	}
	for _, svc := range s.settings.Services() {
		if svc.Kind == settings.KindDivided && s.services[svc.Name] == nil {
			s.services[svc.Name] = newService(svc.Name, svc.Slots)
		}
	}
	return Accepted{}
}
