package fleet

import (
	"fmt"
	"slices"

	"siskinknot/core/record"
	"siskinknot/core/settings"
)

// Verdict is what the fold made of a record: Accepted or Ignored.
type Verdict interface {
	isVerdict()
}

// Accepted is the verdict on a record that took effect.
type Accepted struct{}

// Ignored is the verdict on a record that changed nothing.
type Ignored struct {
	Reason string
}

func (Accepted) isVerdict() {}
func (Ignored) isVerdict()  {}

// ignored returns an Ignored with a formatted reason.
func ignored(format string, args ...any) Verdict {
	return Ignored{Reason: fmt.Sprintf(format, args...)}
}

// Apply folds the record at offset, which must be Next. A record that does not
// decode is passed as nil.
func (s *State) Apply(offset uint64, rec record.Record) Verdict {
	if offset != s.next {
		panic(fmt.Sprintf("fold of offset %d, want %d", offset, s.next))
	}
	s.next = offset + 1
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
		s.snapshotAt = offset
		return Accepted{}
	default:
		panic(fmt.Sprintf("unexpected record.Record %T", rec))
	}
}

// sender returns the member that sent a record, or why the record is ignored.
func (s *State) sender(by record.Incarnation) (*Member, Verdict) {
	m := s.members[by]
	if m == nil {
		return nil, ignored("sender %q is not a member", by)
	}
	if m.Succeeded {
		return nil, ignored("sender %q was succeeded", by)
	}
	return m, nil
}

func (s *State) announce(offset uint64, rec record.Announce) Verdict {
	if rec.By == "" || rec.Server == "" || rec.Service == "" || rec.Zone == "" {
		return ignored("announcement of %q has an empty field", rec.By)
	}
	if !rec.Daemon.IsValid() || !rec.Caller.IsValid() {
		return ignored("announcement of %q has an invalid address", rec.By)
	}
	if s.gone[rec.By] || s.members[rec.By] != nil {
		return ignored("incarnation %q was announced before", rec.By)
	}
	for _, m := range s.members {
		if m.Server == rec.Server && m.Daemon == rec.Daemon && m.BootID == rec.BootID {
			m.Succeeded = true
		}
	}
	s.addMember(&Member{
		ID:         rec.By,
		Server:     rec.Server,
		Service:    rec.Service,
		Region:     rec.Region,
		Zone:       rec.Zone,
		Daemon:     rec.Daemon,
		Caller:     rec.Caller,
		BootID:     rec.BootID,
		BlindLimit: rec.BlindLimit.Duration(),
		Since:      offset,
	})
	return Accepted{}
}

func (s *State) guardians(offset uint64, rec record.Guardians) Verdict {
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
	if m.Epoch > 0 && !m.Guards(rec.Consent) && !s.unguarded(m) {
		return ignored("no guardian of epoch %d of %q consented", m.Epoch, rec.By)
	}
	m.Epoch = rec.Epoch
	m.Pair = rec.Pair
	m.PairSince = offset
	return Accepted{}
}

// unguarded reports whether both guardians of m are lost.
func (s *State) unguarded(m *Member) bool {
	return s.Lost(m.Pair[0]) && s.Lost(m.Pair[1])
}

func (s *State) assign(offset uint64, rec record.Assign) Verdict {
	if _, refusal := s.sender(rec.By); refusal != nil {
		return refusal
	}
	svc := s.services[rec.Service]
	if svc == nil {
		return ignored("service %q is not divided by key", rec.Service)
	}
	var free []record.Unit
	for slot, owner := range svc.slots {
		if owner.ID == "" {
			free = append(free, record.Unit{Slot: slot})
		}
	}
	for _, key := range svc.Carved() {
		if svc.carved[key].ID == "" {
			free = append(free, record.Unit{Slot: svc.SlotOf(key), Key: key})
		}
	}
	if len(free) == 0 {
		return ignored("service %q has no free unit", rec.Service)
	}
	s.spread(svc, free, offset, ByAssign)
	return Accepted{}
}

func (s *State) release(offset uint64, rec record.Release) Verdict {
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
	passed := 0
	for _, t := range rec.Transfers {
		next := Owner{ID: t.To, Token: offset, Cause: ByRelease}
		if s.mayReceive(rec, t.To) && s.pass(svc, t.Unit, rec.By, next) {
			passed++
		}
	}
	if passed == 0 {
		return ignored("none of the %d units of %q can pass on", len(rec.Transfers), rec.By)
	}
	return Accepted{}
}

// mayReceive reports whether to can become owner of what rec releases.
func (s *State) mayReceive(rec record.Release, to record.Incarnation) bool {
	m := s.members[to]
	return m != nil && !m.Succeeded && !m.Leaving && m.Service == rec.Service && to != rec.By
}

// pass makes next the owner of unit if from owns it with the unit's token.
func (s *State) pass(svc *Service, unit record.Unit, from record.Incarnation, next Owner) bool {
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
		svc.setSlot(unit.Slot, next)
	case carved && next.ID == slotOwner.ID:
		// The key returns to its slot, whose token grows with it.
		svc.changes++
		delete(svc.carved, unit.Key)
		svc.setSlot(unit.Slot, next)
	case !carved && len(svc.carved) >= maxCarved:
		return false
	default:
		svc.setCarved(unit.Key, next)
	}
	return true
}

func (s *State) revoke(offset uint64, rec record.Revoke) Verdict {
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
	if refusal := s.revokeGround(m, rec); refusal != nil {
		return refusal
	}
	heir := record.Incarnation("")
	if rec.Heir {
		heir = rec.By
	}
	s.remove(m)
	s.inherit(m.ID, heir, offset)
	return Accepted{}
}

// revokeGround returns why the revoke of m has no ground, or nil.
func (s *State) revokeGround(m *Member, rec record.Revoke) Verdict {
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
	noHeir := m.Succeeded && s.Lost(m.Pair[0])
	if !m.Guards(rec.By) && !s.unguarded(m) && !noHeir {
		return ignored("%q does not guard %q", rec.By, rec.Of)
	}
	return nil
}

// remove ends the membership of m.
func (s *State) remove(m *Member) {
	delete(s.members, m.ID)
	// Lists that Members returned before stay as they are.
	s.order = slices.DeleteFunc(slices.Clone(s.order), func(other *Member) bool { return other == m })
	s.gone[m.ID] = true
	s.goneList = append(s.goneList, m.ID)
	if len(s.goneList) > maxGone {
		delete(s.gone, s.goneList[0])
		s.goneList = s.goneList[1:]
	}
}

// inherit passes on the units of a revoked member: to heir if there is one,
// otherwise over the members of the service.
func (s *State) inherit(of, heir record.Incarnation, offset uint64) {
	for _, svc := range s.services {
		units := svc.UnitsOf(of)
		if len(units) == 0 {
			continue
		}
		if heir == "" {
			s.spread(svc, units, offset, ByRevoke)
			continue
		}
		for _, unit := range units {
			svc.give(unit, Owner{ID: heir, Token: offset, Cause: ByHeir})
		}
	}
}

func (s *State) leave(rec record.Leave) Verdict {
	m, refusal := s.sender(rec.By)
	if refusal != nil {
		return refusal
	}
	m.Leaving = true
	return Accepted{}
}

func (s *State) accuse(offset uint64, rec record.Accuse) Verdict {
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

func (s *State) alive(rec record.Alive) Verdict {
	m, refusal := s.sender(rec.By)
	if refusal != nil {
		return refusal
	}
	m.Accused = 0
	return Accepted{}
}

func (s *State) planner(rec record.Planner) Verdict {
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

func (s *State) edit(offset uint64, rec record.Edit) Verdict {
	fate := s.settings.Apply(offset, settings.Edit{
		ID:     rec.ID,
		Base:   rec.Base,
		Node:   rec.Node,
		Patch:  rec.Patch,
		Author: rec.Author,
	})
	if fate.Offset != offset {
		return ignored("edit %q was decided at %d", rec.ID, fate.Offset)
	}
	if !fate.Accepted {
		return Ignored{Reason: fate.Reason}
	}
	for _, svc := range s.settings.Services() {
		if svc.Kind == settings.Divided && s.services[svc.Name] == nil {
			s.services[svc.Name] = newService(svc.Name, svc.Slots)
		}
	}
	return Accepted{}
}
