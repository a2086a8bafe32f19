package tenure

import (
	"testing"
	"time"

	"siskinknot/core/directory"
)

// guarded returns a model in which member i is guarded by those named, and all
// have read the store.
func guarded(off rule, guardians [][]int) *model {
	m := newModel(1, off)
	var entries []directory.Entry
	for i, list := range guardians {
		member := *m.truth.Member(m.members[i].addr)
		for _, g := range list {
			member.Guardians = append(member.Guardians, m.members[g].addr)
		}
		entries = append(entries, member.Put())
	}
	m.truth.Apply(directory.Update{Base: m.truth.End(), End: m.truth.End() + uint64(len(entries)), Entries: entries})
	for _, member := range m.members {
		m.readNow(member)
	}
	return m
}

// readNow reads the store at once.
func (m *model) readNow(member *modelMember) {
	m.apply(member, m.truth.Snapshot())
	member.book.ReadStore(m.now)
}

// renewNow renews member's lease at once, if guardian grants it.
func (m *model) renewNow(member, guardian *modelMember) {
	if guardian.book.Renew(m.now, guardian.dir, member.addr) {
		member.book.Granted(m.now, m.now, guardian.addr)
	}
}

// fenceNow fences other.
func (m *model) fenceNow(member, other *modelMember) {
	fenced := *member.dir.Member(other.addr)
	fenced.State, fenced.FencedBy, fenced.FencedAt = directory.Fenced, member.addr, member.dir.End()
	u := directory.Update{Base: m.truth.End(), End: m.truth.End() + 1, Entries: []directory.Entry{fenced.Put()}}
	m.truth.Apply(u)
	m.apply(member, u)
}

// TestBlindLimit cuts two members that guard one another off from all else.
func TestBlindLimit(t *testing.T) {
	for _, row := range []struct {
		name  string
		off   rule
		holds bool
	}{
		{"in force", 0, false},
		{"off", ruleBlindLimit, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := guarded(row.off, [][]int{{1, 2}, {0, 2}, {3, 4}, {2, 4}, {2, 3}})
			lost, mate, taker := m.members[0], m.members[1], m.members[2]
			m.fenceNow(taker, lost)
			for !taker.book.MayTake(m.now, taker.dir, lost.addr) {
				m.now = m.now.Add(RenewEvery)
				m.renewNow(lost, mate)
				m.renewNow(mate, lost)
			}
			if holds := lost.book.Holds(m.now, lost.dir); holds != row.holds {
				t.Errorf("a member that was taken holds: %t, want %t", holds, row.holds)
			}
		})
	}
}

// TestChangeOfGuardians loses the answer to a change of guardians.
func TestChangeOfGuardians(t *testing.T) {
	for _, row := range []struct {
		name  string
		off   rule
		holds bool
	}{
		{"in force", 0, false},
		{"off", rulePending, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := guarded(row.off, [][]int{{1, 2}, {0, 2}, {3, 4}, {2, 4}, {2, 3}})
			member, former := m.members[0], m.members[1]
			taker, second := m.members[3], m.members[4]
			changed := *member.dir.Member(member.addr)
			changed.Guardians = nil
			for _, g := range []*modelMember{taker, second} {
				changed.Guardians = append(changed.Guardians, g.addr)
			}
			member.book.GuardiansSent(m.now, member.dir.End())
			m.truth.Apply(directory.Update{Base: m.truth.End(), End: m.truth.End() + 1, Entries: []directory.Entry{changed.Put()}})
			m.readNow(taker)
			m.fenceNow(taker, member)
			m.readNow(second)
			taker.book.Confirmed(m.now, second.addr, second.dir.End())
			for !taker.book.MayTake(m.now, taker.dir, member.addr) {
				m.now = m.now.Add(RenewEvery)
				m.renewNow(former, m.members[2])
				m.renewNow(m.members[2], m.members[3])
				m.readNow(taker)
				m.renewNow(member, former)
				former.book.ReadStore(m.now) // its lease is not what is tested
			}
			if holds := member.book.Holds(m.now, member.dir); holds != row.holds {
				t.Errorf("a member that was taken holds: %t, want %t", holds, row.holds)
			}
		})
	}
}

// TestLossIsHealedInTime checks the time from a member's last heartbeat until its
// keys are free, with guardians that confirm within 50 ms.
func TestLossIsHealedInTime(t *testing.T) {
	const promised, confirming = 2 * time.Second, 50 * time.Millisecond
	m := guarded(0, [][]int{{1, 2}, {0, 2}, {3, 4}, {2, 4}, {2, 3}})
	lost, taker, other := m.members[0], m.members[1], m.members[2]
	last := m.now
	m.now = m.now.Add(SilenceLimit)
	m.readNow(taker)
	m.fenceNow(taker, lost)
	m.now = m.now.Add(confirming)
	m.readNow(other)
	taker.book.Confirmed(m.now, other.addr, other.dir.End())
	for !taker.book.MayTake(m.now, taker.dir, lost.addr) {
		m.now = m.now.Add(10 * time.Millisecond)
	}
	if took := m.now.Sub(last); took > promised {
		t.Errorf("keys are free after %v, want at most %v", took, promised)
	}
}

// TestConfirmation leaves a guardian without news of a fence.
func TestConfirmation(t *testing.T) {
	for _, row := range []struct {
		name  string
		off   rule
		holds bool
	}{
		{"in force", 0, false},
		{"off", ruleConfirm, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := guarded(row.off, [][]int{{1, 2}, {3, 4}, {3, 4}, {2, 4}, {2, 3}})
			member, unaware, taker := m.members[0], m.members[1], m.members[2]
			m.fenceNow(taker, member)
			deadline := m.now.Add(5 * time.Second)
			for !taker.book.MayTake(m.now, taker.dir, member.addr) && m.now.Before(deadline) {
				m.now = m.now.Add(RenewEvery)
				m.renewNow(unaware, m.members[3])
				m.renewNow(m.members[3], m.members[4])
				m.renewNow(m.members[4], m.members[3])
				m.renewNow(member, unaware)
			}
			taken := taker.book.MayTake(m.now, taker.dir, member.addr)
			if both := taken && member.book.Holds(m.now, member.dir); both != row.holds {
				t.Errorf("a member that was taken holds: %t, want %t", both, row.holds)
			}
		})
	}
}

// TestReadFirst restarts a member, which then knows the directory from another
// that has old news only.
func TestReadFirst(t *testing.T) {
	for _, row := range []struct {
		name  string
		off   rule
		holds bool
	}{
		{"in force", 0, false},
		{"off", ruleReadFirst, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := guarded(row.off, [][]int{{1, 2}, {3, 4}, {3, 4}, {2, 4}, {2, 3}})
			member, guardian, receiver := m.members[0], m.members[1], m.members[2]
			// The former process passed its keys on just before it ended.
			a := m.truth.OwnedBy(member.addr)[0]
			entries := m.truth.Move(a, []directory.Part{{First: a.First, Last: a.Last, To: receiver.addr}})
			m.truth.Apply(directory.Update{Base: m.truth.End(), End: m.truth.End() + uint64(len(entries)), Entries: entries})
			m.readNow(receiver)
			m.restart(member)
			m.apply(member, guardian.dir.Snapshot())
			m.renewNow(member, guardian)
			if holds := len(m.holders(a.First)) > 1; holds != row.holds {
				t.Errorf("the key of a former process is held twice: %t, want %t", holds, row.holds)
			}
		})
	}
}
