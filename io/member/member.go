// Package member makes this daemon a member of a fleet that coordinates through
// the platform's log. It applies the log's records to its copy of the fleet's
// state, keeps this daemon's lease renewed, is a guardian of other daemons'
// leases, and moves units between owners.
//
// A Member runs these tasks, each in a goroutine of its own:
//
//	follow    reads the log and applies its records (follow.go)
//	renew     requests renewals of the lease, one task for each of the two
//	          guardians (renew.go)
//	guard     detects lapsed leases of members that have this daemon as guardian,
//	          and takes over their units (takeover.go)
//	maintain  appends the records that join and leave the fleet, name guardians,
//	          assign unowned units and store snapshots (maintenance.go)
//	report    reports this daemon's load to the planner (report.go)
//	plan      plans moves of units while this daemon is the planner (plan.go)
//
// Packages fleet, lease and balance make the decisions. A Member protects their
// state with one mutex, which it never holds while it waits for the network. The
// number of messages that a task sends does not depend on the size of the fleet,
// except for the planner's.
//
// # Usage
//
//	m := member.New(cfg, deps)
//	request, refusal := m.StartRequest(now, "registry", "rosa-alba", cancel)
//	if refusal != nil {
//		return refusal
//	}
//	defer request.Done(busy, shed)
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

// Config holds what a Member announces about its daemon, and its parameters.
type Config struct {
	// Server, Service, Region, Zone, DaemonAddress, CallerAddress, BootID and
	// BlindLimit are announced to the fleet; see record.Announce.
	Server        string
	Service       string
	Region        string
	Zone          string
	DaemonAddress netip.AddrPort
	CallerAddress netip.AddrPort
	BootID        string
	BlindLimit    time.Duration
	// Seeds are the addresses of daemons that are asked for the fleet's state
	// while the log is down.
	Seeds []netip.AddrPort
	// SnapshotInterval is the time after the last snapshot at which the next one
	// is appended, if records were appended in between.
	SnapshotInterval time.Duration
	// SnapshotRecords is the number of records after the last snapshot at
	// which the next one is appended.
	SnapshotRecords uint64
}

// Deps holds the components that a Member uses.
type Deps struct {
	Log        *platformlog.Log
	Pool       *peer.Pool
	RequestIDs *dedup.IDSet
	Metrics    tally.Scope
	Logger     hclog.Logger
}

// TargetState is the state of this daemon's target as far as the daemon knows.
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

// Member is this daemon's membership of the fleet. It is safe for concurrent
// use.
type Member struct {
	cfg        Config
	log        *platformlog.Log
	pool       *peer.Pool
	requestIDs *dedup.IDSet
	metrics    metrics
	logger     hclog.Logger
	tomb       tomb.Tomb
	// renewNow wakes the two renew tasks.
	renewNow [2]chan struct{}

	// mu protects the fields below.
	mu sync.Mutex
	// id is the current incarnation of this daemon.
	id     record.Incarnation
	state  *fleet.State
	leases *lease.Table
	// formerGrantsEnd is when the last grant that the former process or a former
	// incarnation gave the target has ended.
	formerGrantsEnd time.Time
	// applied is closed and replaced when records are applied.
	applied chan struct{}
	journal journal
	// requests are the requests that the target is processing, and abandoned those
	// whose connection this daemon closed before their answer, with the time until
	// which the target may still run them. keysInUse are the keys of both.
	requests  map[*RunningRequest]struct{}
	abandoned map[*RunningRequest]time.Time
	keysInUse *lease.KeysInUse
	target    TargetState
	// ready is set once the log was read to its head, or a peer's state was
	// loaded.
	ready bool
	// leaving is set once this daemon begins to shut down.
	leaving bool
	// cancelRead ends the read that waits for new records, or is nil if there
	// is none.
	cancelRead context.CancelFunc
	// readRestartedAt is when RestartRead last ended a read.
	readRestartedAt time.Time
	knownHead       knownHead
	// logOK is whether the last read of the log succeeded.
	logOK bool
	// renewedAt is when each guardian last renewed the lease, or when the pair
	// was proposed if that is later.
	renewedAt [2]time.Time
	// takeovers are the takeovers of the units of members whose lease has
	// lapsed, by member.
	takeovers map[record.Incarnation]takeover
	// leaseHeld is whether the lease was held at the last call of
	// updateLeaseHeld.
	leaseHeld bool
	// releasing is whether the task of a release is running.
	releasing bool
	// nextDue is when each maintenance action, by name, is due next.
	nextDue      map[string]time.Time
	load         loadCounter
	losses       losses
	planning     planning
	lastSnapshot lastSnapshot
}

// New returns a Member and starts its tasks.
func New(cfg Config, deps Deps) *Member {
	now := boottime.Now()
	m := &Member{
		cfg:        cfg,
		log:        deps.Log,
		pool:       deps.Pool,
		requestIDs: deps.RequestIDs,
		metrics:    newMetrics(deps.Metrics),
		logger:     deps.Logger,
		renewNow:   [2]chan struct{}{make(chan struct{}, 1), make(chan struct{}, 1)},
		id:         newIncarnation(cfg.Server),
		state:      fleet.New(),
		applied:    make(chan struct{}),
		requests:   map[*RunningRequest]struct{}{},
		abandoned:  map[*RunningRequest]time.Time{},
		keysInUse:  lease.NewKeysInUse(),
		takeovers:  map[record.Incarnation]takeover{},
		nextDue:    map[string]time.Time{},
		load:       newLoadCounter(),
		planning:   newPlanning(),
	}
	m.leases = lease.New(m.id, m.state, now)
	m.formerGrantsEnd = now.Add(lease.Duration)
	m.tomb.Go(m.follow)
	m.tomb.Go(func() error { return m.renew(0) })
	m.tomb.Go(func() error { return m.renew(1) })
	m.tomb.Go(m.guard)
	m.tomb.Go(m.maintain)
	m.tomb.Go(m.report)
	m.tomb.Go(m.plan)
	return m
}

// Close stops the tasks without leaving the fleet (see Leave), and waits until
// they have ended. It returns the error of the task that failed first, if any.
func (m *Member) Close() error {
	m.tomb.Kill(nil)
	return m.tomb.Wait()
}

// Failed returns a channel that is closed once all tasks have ended: after Close,
// or after a task failed because an invariant is violated.
func (m *Member) Failed() <-chan struct{} { return m.tomb.Dead() }

// newIncarnation returns a new random incarnation of server.
func newIncarnation(server string) record.Incarnation {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return peer.NewIncarnation(server, hex.EncodeToString(random[:]))
}

// Incarnation returns the current incarnation of this daemon.
func (m *Member) Incarnation() record.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.id
}

// Service returns the name of the service of this daemon's target.
func (m *Member) Service() string { return m.cfg.Service }

// Ready reports whether this daemon has loaded the state of the fleet.
func (m *Member) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// Target returns the state of this daemon's target.
func (m *Member) Target() TargetState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.target
}

// SetTarget sets the state of this daemon's target.
func (m *Member) SetTarget(t TargetState) {
	m.mu.Lock()
	changed := m.target != t
	m.target = t
	m.mu.Unlock()
	if changed {
		m.logger.Info("target changed its state", "state", t.String())
	}
}

// Values returns the settings in effect for key of service, and the kind of the
// service. It returns false if the settings do not name the service.
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

// Route identifies the member to which a request is sent.
type Route struct {
	ID record.Incarnation
	// DaemonAddress is the member's address for other daemons.
	DaemonAddress netip.AddrPort
	// CallerAddress is the member's address for callers.
	CallerAddress netip.AddrPort
	// Local is whether the member is this daemon.
	Local bool
}

// OwnerRoutes returns the route to the owner of key, or the reason why there is
// none. While the log is down, the owner's first guardian may serve as its
// heir. OwnerRoutes returns the route to that guardian as the second route if
// the guardian is a member of service, and an empty second route otherwise.
func (m *Member) OwnerRoutes(service, key string) (Route, Route, outcome.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := m.state.Service(service)
	if svc == nil {
		return Route{}, Route{}, outcome.NotRun{Reason: outcome.NoService}
	}
	_, owner := svc.UnitOf(key)
	holder := m.state.Member(owner.ID)
	if holder == nil {
		return Route{}, Route{}, outcome.NotRun{Reason: outcome.NoOwner, MinOffset: m.state.NextOffset()}
	}
	var heir Route
	if first := m.state.Member(holder.Pair[0]); first != nil && first.Service == service {
		heir = m.route(first)
	}
	return m.route(holder), heir, nil
}

// route returns the route to mem.
func (m *Member) route(mem *fleet.Member) Route {
	return Route{ID: mem.ID, DaemonAddress: mem.DaemonAddress, CallerAddress: mem.CallerAddress, Local: mem.ID == m.id}
}

// SharedRoutes returns the routes to the members of a shared service that accept
// new requests.
func (m *Member) SharedRoutes(service string) []Route {
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

// WaitApplied waits until all records before offset are applied, or until ctx
// ends.
func (m *Member) WaitApplied(ctx context.Context, offset uint64) {
	for {
		m.mu.Lock()
		done := m.state.NextOffset() >= offset
		applied := m.applied
		m.mu.Unlock()
		if done {
			return
		}
		m.RestartRead()
		select {
		case <-applied:
		case <-ctx.Done():
			return
		}
	}
}

// minReadRestartInterval is the minimum time between two reads that RestartRead
// ends.
const minReadRestartInterval = 50 * time.Millisecond

// RestartRead ends the read of the log that waits for new records, if there is
// one, so that the follow task sends a new read. The connection of the current
// read may have stopped responding.
func (m *Member) RestartRead() {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelRead == nil || now.Sub(m.readRestartedAt) < minReadRestartInterval {
		return
	}
	m.readRestartedAt = now
	m.cancelRead()
}

// wake wakes the task that waits on c, or makes its next wait return
// immediately.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// RunningRequest is a request that this daemon has sent to its target.
type RunningRequest struct {
	// Claim is the right by which the request was sent to the target.
	Claim  lease.Claim
	member *Member
	key    string
	cancel context.CancelFunc
}

// StartRequest registers a request for key, which the caller sends to the target
// immediately, or returns the reason why the request may not be sent. If the
// right to run the request ends before Done is called, the Member calls cancel.
// A request is refused while the target may have yet to begin requests for key under
// another token, since it could read this one before those.
func (m *Member) StartRequest(now time.Time, service, key string, cancel context.CancelFunc) (*RunningRequest, outcome.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	claim, refusal := m.leases.Claim(now, service, key)
	if refusal != nil {
		return nil, refusal
	}
	if !m.keysInUse.Add(now, key, claim) {
		return nil, outcome.NotRun{Reason: outcome.NoOwner}
	}
	r := &RunningRequest{Claim: claim, member: m, key: key, cancel: cancel}
	m.requests[r] = struct{}{}
	return r, nil
}

// Done records that the request has ended. busy is the service time that it
// took, or 0 if the target did not run it; shed is whether the target shed it,
// and therefore did not run it.
func (r *RunningRequest) Done(busy time.Duration, shed bool) {
	m := r.member
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.requests, r)
	m.keysInUse.Remove(r.key, r.Claim)
	m.load.add(r.Claim.Unit.Slot, r.key, busy, shed)
}

// Abandon records, in place of Done, that this daemon closed the request's
// connection before the target had answered. The target may have yet to read the
// request, and may run it until deadline. The unit of the request is not released before then.
func (r *RunningRequest) Abandon(busy time.Duration, deadline time.Time) {
	m := r.member
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.requests, r)
	m.load.add(r.Claim.Unit.Slot, r.key, busy, false)
	if r.Claim.Owner != m.id && r.Claim.Until.Before(deadline) {
		// The target extends no grant but those of this incarnation.
		deadline = r.Claim.Until
	}
	m.abandoned[r] = deadline
}

// endAbandoned ends the abandoned requests that no target runs any more at now. The
// caller holds the mutex.
func (m *Member) endAbandoned(now time.Time) {
	for r, until := range m.abandoned {
		if !now.Before(until) {
			delete(m.abandoned, r)
			m.keysInUse.Remove(r.key, r.Claim)
		}
	}
}

// HeldUntil returns the time until which this daemon's lease lets it send
// requests to the target, unless the lease is renewed.
func (m *Member) HeldUntil() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leases.HeldUntil()
}

// cancelRequests cancels the requests for which lapsed returns true. The caller
// holds the mutex.
func (m *Member) cancelRequests(lapsed func(*RunningRequest) bool) {
	for r := range m.requests {
		if lapsed(r) {
			m.metrics.cancelledRequests.Inc(1)
			r.cancel()
		}
	}
}

// sleep waits for d and returns true, or returns false as soon as the Member's
// tasks have to stop.
func (m *Member) sleep(d time.Duration) bool {
	select {
	case <-m.tomb.Dying():
		return false
	case <-time.After(d):
		return true
	}
}

// timeout returns a context that ends after d, or when the Member's tasks have
// to stop.
func (m *Member) timeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(m.tomb.Context(nil), d) //nolint:staticcheck // tomb takes nil
}
