package lease

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"siskinknot/core/fleet"
	"siskinknot/core/record"
)

// The model runs the fleet.State and the Table of each of a few daemons on a
// simulated log and network, with message loss and delays, and clocks that run
// at different rates. The daemons take random actions within what the rules
// allow, more freely than package member does.
const (
	modelTick       = 100 * time.Millisecond
	modelDaemons    = 5
	modelTicks      = 600
	modelService    = "s"
	modelBlindLimit = 4 * time.Second
	// maxFaultTicks is the longest duration of a fault. It exceeds the blind
	// limit.
	maxFaultTicks = 100
)

// recoveryTicks is how long the model runs without faults before every key must
// be served again. It covers the blind limit and several attempts at each action.
const recoveryTicks = 500

// modelKeys are the keys for which the model counts the holders.
var modelKeys = []string{"a", "b", "c"}

// disabledCheck names a check of fleet.State.Apply that the model disables, by
// changing records so that they pass the check.
type disabledCheck int

const (
	noneDisabled disabledCheck = iota
	tokenCheck
	epochCheck
	consentCheck
	seqCheck
	accusedCheck
)

// model is the simulated fleet.
type model struct {
	rng           *rand.Rand
	disabledRules rule
	disabledCheck disabledCheck
	tick          int
	daemons       []*daemon
	log           []record.Record
	logDown       bool
	events        []event
	faults        bool
	incarnations  int
	// servedTicks counts, for each of modelKeys, its holders over all ticks.
	servedTicks [3]int
}

// event is an action, such as the arrival of a message or of an append, that
// happens at a tick.
type event struct {
	at  int
	run func()
}

// daemon is a simulated daemon.
type daemon struct {
	m              *model
	index          int
	inc            record.Incarnation
	state          *fleet.State
	table          *Table
	pausedUntil    int // tick at which a pause ends
	logPartitioned bool
	partitioned    [modelDaemons]bool // by index of a daemon: messages to it are lost
	rate           float64            // speed of the daemon's clock, relative to the simulated time
	offset         time.Duration
	backlog        []func() // messages that arrived during a pause
}

func newModel(seed uint64, disabledRules rule, check disabledCheck) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), disabledRules: disabledRules, disabledCheck: check, faults: true}
	tree := json.RawMessage(`{"services":{"s":{"kind":"divided","slots":2}}}`)
	m.log = append(m.log, record.Edit{ID: "first", Node: "/", Patch: tree})
	for i := range modelDaemons {
		d := &daemon{m: m, index: i, rate: 1 + (m.rng.Float64()-0.5)*0.04, offset: time.Duration(m.rng.IntN(1e6)) * time.Second}
		m.daemons = append(m.daemons, d)
		d.restart()
	}
	return m
}

// now returns the time on the daemon's clock.
func (d *daemon) now() time.Time {
	elapsed := time.Duration(float64(d.m.tick) * d.rate * float64(modelTick))
	return time.Unix(0, 0).Add(d.offset + elapsed)
}

// restart starts a new incarnation of the daemon with an empty state.
func (d *daemon) restart() {
	d.m.incarnations++
	d.inc = record.Incarnation(fmt.Sprintf("d%d#%d", d.index, d.m.incarnations))
	d.state = fleet.New()
	d.table = New(d.inc, d.state, d.now())
	d.table.disabledRules = d.m.disabledRules
	d.backlog = nil
}

// chance returns true with probability p.
func (m *model) chance(p float64) bool { return m.rng.Float64() < p }

// delay returns the random delivery time of a message in ticks.
func (m *model) delay() int {
	if m.faults && m.chance(0.05) {
		return m.rng.IntN(30)
	}
	return m.rng.IntN(2)
}

// send delivers a message, after a delay, by calling run at daemon to. The
// message may be lost, and is lost if the receiver has restarted by then. A
// paused daemon receives its messages when it resumes.
func (m *model) send(from, to *daemon, run func()) {
	if m.faults && (from.partitioned[to.index] || m.chance(0.02)) {
		return
	}
	inc := to.inc
	m.events = append(m.events, event{m.tick + m.delay(), func() {
		to.receive(func() {
			if to.inc == inc {
				run()
			}
		})
	}})
}

// receive calls run now, or when the daemon resumes if it is paused.
func (d *daemon) receive(run func()) {
	if d.m.tick < d.pausedUntil {
		d.backlog = append(d.backlog, run)
		return
	}
	run()
}

// append sends a record to the log. The record may be lost or appended late; the
// sender does not learn which.
func (d *daemon) append(rec record.Record) {
	m := d.m
	late := m.faults && m.chance(0.15)
	if (m.logDown || d.logPartitioned) && !late {
		return
	}
	at := m.tick + m.delay()
	if late {
		at += m.rng.IntN(60)
	}
	m.events = append(m.events, event{at, func() { m.deliverAppend(at, rec) }})
}

// deliverAppend appends a record that reaches the log. If the log is down, the
// record is either lost or tried again later.
func (m *model) deliverAppend(at int, rec record.Record) {
	if m.logDown {
		if m.chance(0.5) {
			m.events = append(m.events, event{m.tick + 1 + m.rng.IntN(40), func() { m.deliverAppend(at, rec) }})
		}
		return
	}
	m.log = append(m.log, rec)
}

// read reads the log; the answer arrives after a delay.
func (d *daemon) read() {
	m := d.m
	if m.logDown || d.logPartitioned {
		return
	}
	sentAt := d.now()
	inc := d.inc
	m.events = append(m.events, event{m.tick + m.rng.IntN(2), func() {
		if m.logDown || d.logPartitioned {
			return
		}
		head := len(m.log)
		m.events = append(m.events, event{m.tick + m.delay(), func() {
			d.receive(func() {
				if d.inc == inc {
					d.apply(head, sentAt)
				}
			})
		}})
	}})
}

// apply applies the records of the log up to head, as read by a request sent at
// sentAt. The daemon restarts if one of them has revoked its incarnation.
func (d *daemon) apply(head int, sentAt time.Time) {
	for int(d.state.NextOffset()) < head {
		rec := d.m.bypassCheck(d.state, d.m.log[d.state.NextOffset()])
		result := d.state.Apply(d.state.NextOffset(), rec)
		d.table.Observe(d.now(), rec, result)
	}
	d.table.RecordHeadRead(sentAt)
	if d.state.Revoked(d.inc) {
		d.restart()
	}
}

// bypassCheck returns rec with the value that the disabled check requires, so
// that the check has no effect.
func (m *model) bypassCheck(s *fleet.State, rec record.Record) record.Record {
	switch rec := rec.(type) {
	case record.Release:
		member := s.Member(rec.By)
		if member != nil && m.disabledCheck == seqCheck {
			rec.Seq = max(rec.Seq, member.Releases+1)
		}
		if m.disabledCheck == tokenCheck {
			rec.Transfers = append([]record.Transfer(nil), rec.Transfers...)
			for i, t := range rec.Transfers {
				svc := s.Service(rec.Service)
				rec.Transfers[i].Token = svc.SlotOwner(t.Slot).Token
				if owner, ok := svc.CarvedOwner(t.Key); ok {
					rec.Transfers[i].Token = owner.Token
				}
			}
		}
		return rec
	case record.Revoke:
		if member := s.Member(rec.Of); member != nil {
			if m.disabledCheck == epochCheck {
				rec.Epoch = member.Epoch
			}
			if m.disabledCheck == accusedCheck && rec.Accused != 0 {
				rec.Accused = member.Accused
			}
		}
		return rec
	case record.Guardians:
		if member := s.Member(rec.By); member != nil && m.disabledCheck == consentCheck && member.Epoch > 0 {
			rec.Consent = member.Pair[0]
		}
		return rec
	default:
		return rec
	}
}

// step advances the model by one tick and returns a key that has more than one
// holder, or "".
func (m *model) step() string {
	m.tick++
	for i := 0; i < len(m.events); i++ {
		if e := m.events[i]; e.at <= m.tick {
			m.events[i] = m.events[len(m.events)-1]
			m.events = m.events[:len(m.events)-1]
			i--
			e.run()
		}
	}
	for _, d := range m.daemons {
		if m.tick < d.pausedUntil {
			continue
		}
		backlog := d.backlog
		d.backlog = nil
		for _, run := range backlog {
			run()
		}
		d.act()
	}
	return m.keyWithTwoHolders()
}

// keyWithTwoHolders returns a key that more than one running daemon would serve
// now, or "". It adds the number of holders to servedTicks.
func (m *model) keyWithTwoHolders() string {
	for i, key := range modelKeys {
		holders := 0
		for _, d := range m.daemons {
			if m.tick < d.pausedUntil {
				continue
			}
			if _, refusal := d.table.Claim(d.now(), modelService, key); refusal == nil {
				holders++
			}
		}
		if holders > 1 {
			return key
		}
		m.servedTicks[i] += holders
	}
	return ""
}

// act takes a random selection of the actions that the rules allow the daemon
// now.
func (d *daemon) act() {
	m := d.m
	d.table.Tick(d.now())
	if m.chance(0.6) {
		d.read()
	}
	self := d.state.Member(d.inc)
	if self == nil {
		if m.chance(0.3) && d.state.NextOffset() > 0 {
			d.append(d.announcement())
		}
		return
	}
	if m.chance(0.5) {
		d.renew(self)
	}
	d.maintainPair(self)
	d.takeOver()
	d.release()
	d.maintain(self)
}

// announcement returns the record with which the daemon joins the fleet.
func (d *daemon) announcement() record.Announce {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(d.index)}), 1)
	return record.Announce{
		By: d.inc, Server: fmt.Sprint("d", d.index), Service: modelService,
		Zone: fmt.Sprint("z", d.index%3), DaemonAddress: addr, CallerAddress: addr,
		BootID: "boot", BlindLimit: record.Millis(modelBlindLimit),
	}
}

// daemonOf returns the daemon that currently runs incarnation id, or nil.
func (m *model) daemonOf(id record.Incarnation) *daemon {
	for _, d := range m.daemons {
		if d.inc == id {
			return d
		}
	}
	return nil
}

// renew asks both guardians to renew the daemon's lease.
func (d *daemon) renew(self *fleet.Member) {
	req, ok := d.table.RenewalRequest()
	if !ok {
		return
	}
	for _, id := range self.Pair {
		guardian := d.m.daemonOf(id)
		if guardian == nil {
			continue
		}
		sentAt := d.now()
		d.m.send(d, guardian, func() {
			if guardian.table.GrantRenewal(guardian.now(), req) {
				d.m.send(guardian, d, func() { d.table.RecordRenewal(d.now(), sentAt, id, req) })
			}
		})
	}
}

// maintainPair sometimes proposes a new pair of guardians, more often if there is
// none, a guardian is lost, or a proposed pair is not applied yet.
func (d *daemon) maintainPair(self *fleet.Member) {
	m := d.m
	lost := self.Epoch > 0 && (d.state.Lost(self.Pair[0]) || d.state.Lost(self.Pair[1]))
	probability := 0.01
	if self.Epoch == 0 || lost || d.table.PairPending() {
		probability = 0.2
	}
	if !m.chance(probability) {
		return
	}
	pair, ok := ChoosePair(d.state, d.inc, [2]record.Incarnation{}, func(*fleet.Member) bool { return m.chance(0.8) })
	if !ok {
		return
	}
	epoch := self.Epoch
	propose := func(consent record.Incarnation) {
		if rec, ok := d.table.ProposePair(d.now(), epoch, pair, consent); ok {
			d.append(rec)
		}
	}
	if self.Epoch == 0 || d.table.Unguarded() || m.disabledRules&ruleConsentRequired != 0 {
		propose("")
		return
	}
	id := self.Pair[m.rng.IntN(2)]
	guardian := m.daemonOf(id)
	if guardian == nil {
		return
	}
	m.send(d, guardian, func() {
		if guardian.table.GrantConsent(guardian.now(), d.inc, epoch) {
			m.send(guardian, d, func() { propose(id) })
		}
	})
}

// takeOver acts on the lapsed leases of which the daemon is a guardian: it asks
// the other guardian for a promise, becomes heir, or revokes.
func (d *daemon) takeOver() {
	m := d.m
	for _, lapsed := range d.table.LapsedLeases(d.now()) {
		if !m.chance(0.4) {
			continue
		}
		req := PromiseRequest{Holder: lapsed.Holder, Epoch: lapsed.Epoch, From: d.inc, OffLog: lapsed.First && m.chance(0.5)}
		if other := m.daemonOf(lapsed.Other); other != nil {
			m.send(d, other, func() {
				if other.table.GrantPromise(other.now(), req) {
					m.send(other, d, func() { d.table.RecordPromise(d.now(), other.inc, req) })
				}
			})
		}
		if m.chance(0.3) && lapsed.First {
			d.table.BecomeHeir(d.now(), lapsed.Holder)
		}
		if m.chance(0.3) {
			if rec, ok := d.table.Revoke(d.now(), lapsed.Holder); ok {
				d.append(rec)
			}
		}
	}
}

// release sends or cancels the release in progress, or starts one of a random
// slot or key to a random member.
func (d *daemon) release() {
	m := d.m
	svc := d.state.Service(modelService)
	if rec, ok := d.table.Release(d.now()); ok && m.chance(0.4) {
		d.append(rec)
		return
	}
	if m.chance(0.05) {
		d.table.CancelRelease()
	}
	units := svc.UnitsOwnedBy(d.inc)
	if len(units) == 0 || !m.chance(0.05) {
		return
	}
	unit := units[m.rng.IntN(len(units))]
	if key := modelKeys[m.rng.IntN(len(modelKeys))]; unit.Key == "" && svc.SlotOf(key) == unit.Slot && m.chance(0.4) {
		if _, carved := svc.CarvedOwner(key); !carved {
			unit.Key = key
		}
	}
	members := d.state.Members()
	to := members[m.rng.IntN(len(members))]
	d.table.StartRelease(d.now(), modelService, []record.Transfer{{Unit: unit, To: to.ID}})
}

// maintain sends the records that are not about the daemon's own lease or units:
// answers to accusations, accusations, assignments of unowned units, and revokes.
func (d *daemon) maintain(self *fleet.Member) {
	m := d.m
	if self.Accused != 0 && m.chance(0.5) {
		d.append(record.Alive{By: d.inc})
	}
	if m.chance(0.005) {
		members := d.state.Members()
		// During faults any member may be accused; afterwards only a member
		// that no daemon runs any more.
		accused := members[m.rng.IntN(len(members))].ID
		if m.faults || m.daemonOf(accused) == nil {
			d.append(record.Accuse{By: d.inc, Of: accused})
		}
	}
	if d.state.HasUnownedUnits(modelService) && m.chance(0.2) {
		d.append(record.Assign{By: d.inc, Service: modelService})
	}
	if !m.chance(0.3) {
		return
	}
	for _, rec := range append(d.table.RevokeUnguarded(d.now()), d.table.RevokeAccused(d.now())...) {
		d.append(rec)
	}
}

// fault describes a fault that begins at Tick and lasts for Length ticks. Other is
// the second daemon of a fault that concerns two.
type fault struct {
	Tick, Kind, Daemon, Other, Length int
}

// The kinds of fault.
const (
	faultPause         = iota // the daemon is paused
	faultRestart              // the daemon restarts
	faultLogDown              // the log is down for all daemons
	faultLogPartition         // the daemon cannot reach the log
	faultLinkPartition        // messages from the daemon to Other are lost
	faultIsolated             // no messages pass between the daemon and any other
	faultOnePeer              // the daemon can reach Other, but neither the log nor other daemons
	faultKinds                // the number of kinds
)

// inject starts fault f and schedules its end.
func (m *model) inject(f fault) {
	d := m.daemons[f.Daemon]
	atEnd := func(run func()) { m.events = append(m.events, event{m.tick + f.Length, run}) }
	switch f.Kind {
	case faultPause:
		d.pausedUntil = m.tick + f.Length
	case faultRestart:
		d.restart()
	case faultLogDown:
		m.logDown = true
		atEnd(func() { m.logDown = false })
	case faultLogPartition:
		d.logPartitioned = true
		atEnd(func() { d.logPartitioned = false })
	case faultLinkPartition:
		d.partitioned[f.Other] = true
		atEnd(func() { d.partitioned[f.Other] = false })
	case faultIsolated, faultOnePeer:
		// With faultOnePeer one other daemon can still be reached.
		d.logPartitioned = f.Kind == faultOnePeer
		for i, other := range m.daemons {
			reached := f.Kind == faultOnePeer && i == f.Other
			d.partitioned[i] = !reached
			other.partitioned[d.index] = !reached
		}
		atEnd(func() {
			d.logPartitioned = false
			for i, other := range m.daemons {
				d.partitioned[i] = false
				other.partitioned[d.index] = false
			}
		})
	}
}

// randomFaults returns faults drawn from rng.
func randomFaults(rng *rand.Rand) []fault {
	faults := make([]fault, 12+rng.IntN(20))
	for i := range faults {
		faults[i] = fault{
			Tick:   20 + rng.IntN(modelTicks-20),
			Kind:   rng.IntN(faultKinds),
			Daemon: rng.IntN(modelDaemons),
			Other:  rng.IntN(modelDaemons),
			Length: 1 + rng.IntN(maxFaultTicks),
		}
	}
	return faults
}

// run runs the model with faults for modelTicks and returns a key that had two
// holders, or "".
func (m *model) run(faults []fault) string {
	for range modelTicks {
		for _, f := range faults {
			if f.Tick == m.tick {
				m.inject(f)
			}
		}
		if key := m.step(); key != "" {
			return key
		}
	}
	return ""
}

// runWithoutFaults ends all faults and runs the model for the given number of
// ticks. It returns a key that had two holders, or "".
func (m *model) runWithoutFaults(ticks int) string {
	m.faults = false
	m.logDown = false
	for _, d := range m.daemons {
		d.logPartitioned = false
		d.pausedUntil = 0
		d.partitioned = [modelDaemons]bool{}
	}
	for range ticks {
		if key := m.step(); key != "" {
			return key
		}
	}
	return ""
}

// runSeed runs the model with faults drawn from seed, and returns a key that had
// two holders, or "".
func runSeed(seed uint64, disabledRules rule, check disabledCheck) string {
	return newModel(seed, disabledRules, check).run(randomFaults(rand.New(rand.NewPCG(seed, 2))))
}
