package tenure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"siskinknot/core/directory"
)

// The model runs a small fleet through random renewals, reads, cuts, pauses,
// restarts, fences and takeovers, with delays and lost answers, and checks after
// each step that no key is held by two members.

const (
	modelMembers = 5
	modelSteps   = 1500
	modelService = "registry"
)

// modelMember is a member of the model.
type modelMember struct {
	addr netip.AddrPort
	dir  *directory.Directory
	book *Book
	// storeCut keeps it from the store.
	storeCut bool
	// pausedUntil is when its process runs on.
	pausedUntil time.Time
	// closing are the first keys of assignments that it is passing on.
	closing map[uint16]bool
}

// event is something that happens later.
type event struct {
	at time.Time
	do func(now time.Time)
}

// model is a fleet and its store.
type model struct {
	rng     *rand.Rand
	now     time.Time
	off     rule
	truth   *directory.Directory
	members []*modelMember
	events  []event
	down    bool
	// cut holds the pairs of members that do not reach one another.
	cut map[[2]netip.AddrPort]bool
}

func newModel(seed uint64, off rule) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), off: off, truth: directory.New(), cut: map[[2]netip.AddrPort]bool{}}
	var entries []directory.Entry
	for i := range modelMembers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
		member := &modelMember{addr: addr}
		m.restart(member)
		m.members = append(m.members, member)
		entries = append(entries, directory.Member{Address: addr, Service: modelService, Zone: fmt.Sprint(i % 3), State: directory.Active}.Put())
	}
	width := 65536 / modelMembers
	for i, member := range m.members {
		last := (i+1)*width - 1
		if i == modelMembers-1 {
			last = directory.MaxKey
		}
		entries = append(entries, directory.Assignment{
			Service: modelService, First: uint16(i * width), Last: uint16(last), Owner: member.addr, Fence: 1,
		}.Put())
	}
	m.truth.Apply(directory.Update{End: uint64(len(entries)), Entries: entries})
	return m
}

// restart gives a member a new process.
func (m *model) restart(member *modelMember) {
	member.dir = directory.New()
	member.book = New(member.addr)
	member.book.off = m.off
	member.closing = map[uint16]bool{}
	member.pausedUntil = time.Time{}
}

// later does something after a delay of up to most.
func (m *model) later(most time.Duration, do func(now time.Time)) {
	m.events = append(m.events, event{at: m.now.Add(time.Duration(m.rng.Int64N(int64(most)))), do: do})
}

// apply brings a member's directory up to date.
func (m *model) apply(member *modelMember, u directory.Update) {
	if member.dir.Apply(u) {
		member.book.Observe(m.now, member.dir)
		for first := range member.closing {
			a := member.dir.AssignmentOf(modelService, first)
			if a == nil || a.Owner != member.addr {
				delete(member.closing, first)
			}
		}
	}
}

// commit makes a change that member builds on its directory, if that is the
// latest. The answer may be lost.
func (m *model) commit(member *modelMember, entries []directory.Entry) {
	if len(entries) == 0 || member.storeCut || m.down || member.dir.End() != m.truth.End() {
		return
	}
	u := directory.Update{Base: m.truth.End(), End: m.truth.End() + uint64(len(entries)), Entries: entries}
	m.truth.Apply(u)
	if m.rng.IntN(4) > 0 {
		m.apply(member, u)
	}
}

// pair returns the two members in order.
func pair(a, b *modelMember) [2]netip.AddrPort {
	if b.addr.Compare(a.addr) < 0 {
		a, b = b, a
	}
	return [2]netip.AddrPort{a.addr, b.addr}
}

// flip cuts two members from one another, or mends that.
func (m *model) flip(a, b *modelMember) {
	if m.rng.IntN(2) == 0 {
		m.cut[pair(a, b)] = true
	} else {
		delete(m.cut, pair(a, b))
	}
}

// pick returns a random member.
func (m *model) pick() *modelMember { return m.members[m.rng.IntN(len(m.members))] }

// awake reports whether a member's process runs.
func (m *model) awake(member *modelMember) bool { return !m.now.Before(member.pausedUntil) }

// step does one random thing, and then what is due.
func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.rng.Int64N(int64(40 * time.Millisecond))))
	member := m.pick()
	switch n := m.rng.IntN(1000); {
	case !m.awake(member):
	case n < 500:
		m.renew(member)
	case n < 560:
		m.read(member)
	case n < 590:
		m.copyFrom(member, m.pick())
	case n < 640:
		m.fence(member, m.pick())
	case n < 780:
		m.confirm(member)
	case n < 920:
		m.take(member)
	case n < 930:
		m.unfence(member)
	case n < 955:
		m.changeGuardians(member)
	case n < 965:
		m.move(member, m.pick())
	case n < 970:
		m.restart(member)
		m.pick().book.Ended(m.now, member.addr)
	case n < 974:
		member.pausedUntil = m.now.Add(time.Duration(m.rng.Int64N(int64(2 * time.Second))))
	case n < 990:
		m.flip(member, m.pick())
	case n < 997:
		member.storeCut = m.rng.IntN(2) == 0
	default:
		m.down = m.rng.IntN(3) == 0
	}
	m.due()
}

// due lets happen what is due.
func (m *model) due() {
	var rest []event
	due := m.events
	m.events = nil
	for _, e := range due {
		if e.at.After(m.now) {
			rest = append(rest, e)
			continue
		}
		e.do(m.now)
	}
	m.events = append(m.events, rest...)
}

// renew asks a guardian for a renewal; question and answer may take long.
func (m *model) renew(member *modelMember) {
	me := member.dir.Member(member.addr)
	if me == nil || len(me.Guardians) == 0 {
		return
	}
	guardian := m.at(me.Guardians[m.rng.IntN(len(me.Guardians))])
	sentAt, book := m.now, member.book
	m.later(200*time.Millisecond, func(time.Time) {
		if guardian == nil || m.cut[pair(member, guardian)] || !m.awake(guardian) {
			return
		}
		granted := guardian.book.Renew(m.now, guardian.dir, member.addr)
		m.later(900*time.Millisecond, func(now time.Time) {
			if granted && member.book == book && m.awake(member) {
				member.book.Granted(now, sentAt, guardian.addr)
			}
		})
	})
}

// at returns the member with an address.
func (m *model) at(addr netip.AddrPort) *modelMember {
	for _, member := range m.members {
		if member.addr == addr {
			return member
		}
	}
	return nil
}

// read reads the store; the answer may take long.
func (m *model) read(member *modelMember) {
	if member.storeCut || m.down {
		return
	}
	sentAt, book, u := m.now, member.book, m.truth.Snapshot()
	m.later(600*time.Millisecond, func(time.Time) {
		if member.book == book && m.awake(member) {
			m.apply(member, u)
			member.book.ReadStore(sentAt)
		}
	})
}

// copyFrom takes another member's directory.
func (m *model) copyFrom(member, other *modelMember) {
	if !m.cut[pair(member, other)] {
		m.apply(member, other.dir.Snapshot())
	}
}

// fence fences another member, on no evidence at all.
func (m *model) fence(member, other *modelMember) {
	target := member.dir.Member(other.addr)
	if target == nil || target.State != directory.Active || member == other {
		return
	}
	fenced := *target
	fenced.State, fenced.FencedBy, fenced.FencedAt = directory.Fenced, member.addr, member.dir.End()
	m.commit(member, []directory.Entry{fenced.Put()})
}

// confirm asks the guardians of fenced members for confirmations.
func (m *model) confirm(member *modelMember) {
	for _, other := range m.members {
		for _, addr := range member.book.Unconfirmed(member.dir, other.addr) {
			guardian := m.at(addr)
			if m.cut[pair(member, guardian)] || !m.awake(guardian) {
				continue
			}
			m.apply(guardian, member.dir.Snapshot())
			member.book.Confirmed(m.now, addr, guardian.dir.End())
		}
	}
}

// take takes the keys of a member whose lease has ended.
func (m *model) take(member *modelMember) {
	for _, other := range m.members {
		if !member.book.MayTake(m.now, member.dir, other.addr) {
			continue
		}
		entries := []directory.Entry{member.dir.Member(other.addr).Drop()}
		for _, a := range member.dir.OwnedBy(other.addr) {
			entries = append(entries, member.dir.Move(a, []directory.Part{{First: a.First, Last: a.Last, To: member.addr}})...)
		}
		m.commit(member, entries)
		return
	}
}

// unfence makes a member active again, or a member at all.
func (m *model) unfence(member *modelMember) {
	if member.book.ReadAt().IsZero() {
		return
	}
	me := member.dir.Member(member.addr)
	if me != nil && me.State == directory.Active {
		return
	}
	want := directory.Member{Address: member.addr, Service: modelService, State: directory.Active}
	if me != nil {
		want.Guardians = me.Guardians
	}
	m.commit(member, []directory.Entry{want.Put()})
}

// changeGuardians names other guardians.
func (m *model) changeGuardians(member *modelMember) {
	me := member.dir.Member(member.addr)
	if me == nil || me.State != directory.Active {
		return
	}
	changed := *me
	changed.Guardians = nil
	for len(changed.Guardians) < 2 {
		if g := m.pick(); g != member && !slices.Contains(changed.Guardians, g.addr) {
			changed.Guardians = append(changed.Guardians, g.addr)
		}
	}
	member.book.GuardiansSent(m.now, member.dir.End())
	m.commit(member, []directory.Entry{changed.Put()})
}

// move passes an assignment on: the member stops first.
func (m *model) move(member, to *modelMember) {
	for _, a := range member.dir.OwnedBy(member.addr) {
		member.closing[a.First] = true
		m.commit(member, member.dir.Move(a, []directory.Part{{First: a.First, Last: a.Last, To: to.addr}}))
		return
	}
}

// holders returns the members that hold key.
func (m *model) holders(key uint16) []netip.AddrPort {
	var list []netip.AddrPort
	for _, member := range m.members {
		a := member.dir.AssignmentOf(modelService, key)
		if a == nil || a.Owner != member.addr || member.closing[a.First] {
			continue
		}
		if member.book.Holds(m.now, member.dir) {
			list = append(list, member.addr)
		}
	}
	return list
}

// run runs the model and returns what went wrong, or "".
func (m *model) run() string {
	for i := range modelSteps {
		m.step()
		for key := 100; key <= directory.MaxKey; key += 65536 / modelMembers {
			if holders := m.holders(uint16(key)); len(holders) > 1 {
				return fmt.Sprintf("step %d: key %d is held by %v", i, key, holders)
			}
		}
	}
	return ""
}

// heldAtAll reports how often some member held a key, so that the model is not
// right because nobody ever holds.
func heldAtAll(seed uint64) int {
	m := newModel(seed, 0)
	held := 0
	for range modelSteps {
		m.step()
		held += len(m.holders(100))
	}
	return held
}

func TestModel(t *testing.T) {
	seeds := envInt("SISKINKNOT_MODEL_SEEDS", 300)
	first := envInt("SISKINKNOT_SEED", 1)
	held := 0
	for seed := first; seed < first+seeds; seed++ {
		if wrong := newModel(uint64(seed), 0).run(); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		held += heldAtAll(uint64(seed))
	}
	if least := seeds * modelSteps / 20; held < least {
		t.Errorf("a key was held in %d steps, want at least %d", held, least)
	}
}

// TestEachRuleIsNeeded switches each rule off and looks for a seed that shows two
// holders. The other rules need more to go wrong than seeds show in a short time;
// they are in scenario_test.go.
func TestEachRuleIsNeeded(t *testing.T) {
	most := envInt("SISKINKNOT_MODEL_SEARCH", 3000)
	for _, row := range []struct {
		name string
		off  rule
	}{
		{"lease counts from the sending", ruleSentAt},
		{"guardian renews only while it holds", ruleRenewHolding},
		{"fence binds", ruleFenceBinds},
		{"taking waits for the lease", ruleLapse},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			for seed := range most {
				if wrong := newModel(uint64(seed), row.off).run(); wrong != "" {
					t.Logf("seed %d: %s", seed, wrong)
					return
				}
			}
			t.Errorf("%d seeds show nothing wrong with the rule off", most)
		})
	}
}

// envInt returns the environment variable name as a number, or otherwise.
func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}
