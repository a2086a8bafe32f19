// Package member makes this daemon a member of the fleet: it follows the
// platform's log, keeps the daemon's lease, guards other daemons, and moves
// ownership.
//
// A Member runs a few tasks, each written straight down:
//
//	follow   reads the log and folds it (follow.go)
//	renew    asks one guardian for renewals; there are two (renew.go)
//	guard    notices lapsed wards and takes them over (takeover.go)
//	tend     announces, names guardians, leaves, appends snapshots (tend.go)
//	report   reports load to the planner (report.go)
//	plan     plans moves while this daemon is planner (plan.go)
//
// The decisions are those of packages fleet, lease and balance; a Member holds
// their state under one mutex, never while it waits for the network. The
// number of messages that these tasks send does not depend on the size of the
// fleet, but for the planner's.
//
// # Usage
//
//	m := member.New(cfg, deps)
//	work, refusal := m.Enter(now, "registry", "rosa-alba", cancel)
//	if refusal != nil {
//		return refusal
//	}
//	defer work.Done(busy, shed)
package member

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"siskinknot/core/dedup"
	"siskinknot/core/fleet"
	"siskinknot/core/lease"
	"siskinknot/core/outcome"
	"siskinknot/core/record"
	"siskinknot/core/settings"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/platformlog"
)

// Config is what a Member announces, and where it finds help to start.
type Config struct {
	Server     string
	Service    string
	Region     string
	Zone       string
	Daemon     netip.AddrPort
	Caller     netip.AddrPort
	BootID     string
	BlindLimit time.Duration
	// Seeds are daemons to ask for the fleet's state while the log is down.
	Seeds []netip.AddrPort
	// SnapshotEvery is the time after which a snapshot is appended anew.
	SnapshotEvery time.Duration
	// SnapshotRecords is the number of records after which one is appended.
	SnapshotRecords uint64
}

// Deps are what a Member works with.
type Deps struct {
	Log     *platformlog.Log
	Pool    *peer.Pool
	Memory  *dedup.Memory
	Metrics tally.Scope
	Logger  hclog.Logger
}

// TargetState is what the daemon knows of the target beside it.
type TargetState int

// The states of a target.
const (
	TargetUnknown TargetState = iota
	TargetReady
	TargetCold
	TargetDraining
	TargetDown
)

// String returns the state's name.
func (t TargetState) String() string {
	return [...]string{"unknown", "ready", "cold", "draining", "down"}[t]
}

// Member is this daemon's part in the fleet. It is safe for concurrent use.
type Member struct {
	cfg     Config
	log     *platformlog.Log
	pool    *peer.Pool
	memory  *dedup.Memory
	metrics metrics
	logger  hclog.Logger
	tomb    tomb.Tomb
	// renewNow wakes the two renewers.
	renewNow [2]chan struct{}

	mu    sync.Mutex
	me    record.Incarnation
	state *fleet.State
	book  *lease.Book
	// folded is closed and replaced when records are folded.
	folded  chan struct{}
	journal journal
	works   map[*Work]struct{}
	target  TargetState
	// ready is set once the log, or a peer's state, was read to its end.
	ready bool
	// leaving is set once this daemon shuts down.
	leaving bool
	// cancelRead ends the read that waits for news, if there is one.
	cancelRead context.CancelFunc
	kickedAt   time.Time
	expected   expectation
	// logOK is whether the last read of the log succeeded.
	logOK bool
	// renewedAt is when each guardian last renewed the lease.
	renewedAt [2]time.Time
	attempts  map[record.Incarnation]attempt
	held      bool
	releasing bool
	duties    map[string]time.Time
	load      loads
	losses    losses
	planning  planning
	snapshot  snapshotClock
}

// New returns a Member and starts its tasks.
func New(cfg Config, deps Deps) *Member {
	now := boottime.Now()
	m := &Member{
		cfg:      cfg,
		log:      deps.Log,
		pool:     deps.Pool,
		memory:   deps.Memory,
		metrics:  newMetrics(deps.Metrics),
		logger:   deps.Logger,
		renewNow: [2]chan struct{}{make(chan struct{}, 1), make(chan struct{}, 1)},
		me:       newIncarnation(cfg.Server),
		state:    fleet.New(),
		folded:   make(chan struct{}),
		works:    map[*Work]struct{}{},
		attempts: map[record.Incarnation]attempt{},
		duties:   map[string]time.Time{},
		load:     newLoads(),
		planning: newPlanning(),
	}
	m.book = lease.New(m.me, m.state, now)
	m.tomb.Go(m.follow)
	m.tomb.Go(func() error { return m.renew(0) })
	m.tomb.Go(func() error { return m.renew(1) })
	m.tomb.Go(m.guard)
	m.tomb.Go(m.tend)
	m.tomb.Go(m.report)
	m.tomb.Go(m.plan)
	return m
}

// Close ends the tasks at once, without leaving the fleet; see Leave.
func (m *Member) Close() error {
	m.tomb.Kill(nil)
	return m.tomb.Wait()
}

// Dead is closed when a task stopped because of a broken invariant.
func (m *Member) Dead() <-chan struct{} { return m.tomb.Dead() }

// newIncarnation returns a fresh incarnation of server.
func newIncarnation(server string) record.Incarnation {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return peer.NewIncarnation(server, hex.EncodeToString(random[:]))
}

// Me returns the present incarnation.
func (m *Member) Me() record.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.me
}

// Service returns the name of the service of this daemon's target.
func (m *Member) Service() string { return m.cfg.Service }

// Ready reports whether this daemon has a state of the fleet to go by.
func (m *Member) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// Target returns what is known of the target beside this daemon.
func (m *Member) Target() TargetState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.target
}

// SetTarget notes what is known of the target beside this daemon.
func (m *Member) SetTarget(t TargetState) {
	m.mu.Lock()
	changed := m.target != t
	m.target = t
	m.mu.Unlock()
	if changed {
		m.logger.Info("target changed its state", "state", t.String())
	}
}

// Values returns the settings in force for key of service, and the kind of the
// service; false if the settings do not name it.
func (m *Member) Values(service, key string) (*settings.Values, string, bool) {
	m.mu.Lock()
	tree := m.state.Settings()
	defer m.mu.Unlock()
	svc, ok := tree.Service(service)
	if !ok {
		return nil, "", false
	}
	return tree.Effective(service, key), svc.Kind, true
}

// Route is where a request goes.
type Route struct {
	ID     record.Incarnation
	Daemon netip.AddrPort
	Caller netip.AddrPort
	// Local is whether this daemon itself serves the request.
	Local bool
}

// Owner returns the route to the owner of key, or why there is none. While the
// log is down the owner's first guardian may be its heir; it is returned as the
// second route if there is one.
func (m *Member) Owner(service, key string) (Route, Route, outcome.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.state.Service(service)
	if svc == nil {
		return Route{}, Route{}, outcome.NotRun{Reason: outcome.NoService}
	}
	_, owner := svc.UnitOf(key)
	holder := m.state.Member(owner.ID)
	if holder == nil {
		return Route{}, Route{}, outcome.NotRun{Reason: outcome.NoOwner, Offset: m.state.Next()}
	}
	var heir Route
	if first := m.state.Member(holder.Pair[0]); first != nil && first.Service == service {
		heir = m.route(first)
	}
	return m.route(holder), heir, nil
}

// route returns the route to mem.
func (m *Member) route(mem *fleet.Member) Route {
	return Route{ID: mem.ID, Daemon: mem.Daemon, Caller: mem.Caller, Local: mem.ID == m.me}
}

// Shared returns the routes to the members of a shared service that take new
// requests.
func (m *Member) Shared(service string) []Route {
	m.mu.Lock()
	defer m.mu.Unlock()
	var routes []Route
	for _, mem := range m.state.Members() {
		if mem.Service == service && !mem.Leaving && !mem.Succeeded {
			routes = append(routes, m.route(mem))
		}
	}
	return routes
}

// WaitFolded waits until the record before offset is folded.
func (m *Member) WaitFolded(ctx context.Context, offset uint64) {
	for {
		m.mu.Lock()
		done := m.state.Next() >= offset
		folded := m.folded
		m.mu.Unlock()
		if done {
			return
		}
		m.Kick()
		select {
		case <-folded:
		case <-ctx.Done():
			return
		}
	}
}

// kickEvery is the least time between two effects of Kick.
const kickEvery = 50 * time.Millisecond

// Kick makes the follower read the log on a new request, in case the present
// one waits on a connection that has gone silent.
func (m *Member) Kick() {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelRead == nil || now.Sub(m.kickedAt) < kickEvery {
		return
	}
	m.kickedAt = now
	m.cancelRead()
}

// poke wakes the task that waits on c.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Work is a request that its owner handed to the target.
type Work struct {
	// Claim is the right under which the request runs.
	Claim  lease.Claim
	member *Member
	key    string
	cancel context.CancelFunc
}

// Enter returns the right to hand a request for key to the target now, or why
// there is none. If the right ends before Done is called, cancel is.
func (m *Member) Enter(now time.Time, service, key string, cancel context.CancelFunc) (*Work, outcome.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	claim, refusal := m.book.Claim(now, service, key)
	if refusal != nil {
		return nil, refusal
	}
	w := &Work{Claim: claim, member: m, key: key, cancel: cancel}
	m.works[w] = struct{}{}
	return w, nil
}

// Done ends the work, which took busy target time, or none because the target
// shed it or something else kept it from being run.
func (w *Work) Done(busy time.Duration, shed bool) {
	m := w.member
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.works, w)
	m.load.add(w.Claim.Unit.Slot, w.key, busy, shed)
}

// HeldUntil returns until when the present lease allows to hand requests to the
// target.
func (m *Member) HeldUntil() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.book.HeldUntil()
}

// cancelWorks cancels the works for which lapsed returns true. The caller holds
// the mutex.
func (m *Member) cancelWorks(lapsed func(*Work) bool) {
	for w := range m.works {
		if lapsed(w) {
			m.metrics.cancelled.Inc(1)
			w.cancel()
		}
	}
}

// live reports whether the Member's tasks should go on, after a pause.
func (m *Member) live(pause time.Duration) bool {
	select {
	case <-m.tomb.Dying():
		return false
	case <-time.After(pause):
		return true
	}
}

// timeout returns a context that ends with the Member, or after d.
func (m *Member) timeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(m.tomb.Context(nil), d) //nolint:staticcheck // tomb takes nil
}
