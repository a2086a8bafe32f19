// Package mesh runs a daemon of a fleet that coordinates through a metadata
// store. The directory in the store (package directory) lists the members of the
// fleet and the owner of each range of keys. Members renew one another's leases
// (package tenure).
//
// A Mesh runs beside one target and is the only client of that target. It
// therefore makes every decision about the target: when keys are granted and
// released, which requests are admitted, and to which process of the target a
// request is sent. The other daemons only need a good estimate of who owns a key.
//
// A Mesh runs these tasks:
//
//	maintenance  keeps this member's directory entry and guardians up to date,
//	             stores the announced exit of the target (exit.go), and reads the
//	             store (maintenance.go)
//	heartbeats   reports this member to the others and renews its lease
//	             (heartbeat.go)
//	failover     fences unresponsive members and reassigns their keys
//	             (failover.go)
//	grants       keeps the target's grants current (grants.go; delivery.go for
//	             targets that take grants from heartbeats), transfers ranges to
//	             other owners (move.go), and drops those that were lost while the
//	             lease had lapsed (disown.go)
//	planner      balances the load while this member is the planner (plan.go)
//	cold start   ends the rate limit of a cold target and asks for its state
//	             (coldstart.go)
//	era          writes the directory into the store after the store came back from
//	             a copy (era.go)
//	usage log    logs the process's resource usage and activity (usage.go)
//	state log    logs each second what tells a daemon that is slow, cut off or overloaded
//	             from one that is well (state.go)
//
// The directory is read and changed in sync.go; replication.go exchanges its
// changes with the other members.
//
// Requests enter through Serve (ingress.go), which finds the daemon of the owner. An
// attempt ends early when another member has taken over the owner's keys (attempts.go).
// The owner's daemon admits the request and sends it to its target (admission.go). Targets
// state limits and their shutdown in answers (notice.go); peernotices.go keeps what the
// targets of other daemons stated. workload.go measures the pace of the target, and chooses the
// targets of shared services by the paces that daemons report. Calls that a target makes for a
// request are recognized, and requests whose calls fail are limited (calls.go). Requests that may
// crash targets are known from the ends of targets (running.go), agreed among the daemons, and
// rejected (suspects.go). While the process is short of processor time, a part of the requests
// is rejected (overload.go). Zones that the operator evacuates get no requests (evacuation.go).
//
// The interfaces Store and Target hide the platform. The target's heartbeats, the
// operator's configuration and the operator's records of evacuated zones are passed in
// through TargetHeartbeat, TargetExiting, Configure, ApplyEvacuationSnapshot and
// ApplyEvacuationRecords.
//
// # Usage
//
//	m := mesh.New(cfg, mesh.Deps{Store: store, Target: target, ...})
//	m.Configure(table, document)
//	answer := m.TargetHeartbeat(now, mesh.TargetState{Instance: id, Born: born, Ready: true})
//	m.HeartbeatAnswered(answer) // once the answer has been written
//	result := m.Serve(ctx, request, sink)
//	m.Leave(ctx)
package mesh

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"siskinknot/core/balance"
	"siskinknot/core/connbudget"
	"siskinknot/core/decay"
	"siskinknot/core/directory"
	"siskinknot/core/evacuation"
	"siskinknot/core/grantsync"
	"siskinknot/core/outcome"
	"siskinknot/core/placement"
	"siskinknot/core/quarantine"
	"siskinknot/core/request"
	"siskinknot/core/retry"
	"siskinknot/core/routing"
	"siskinknot/core/scheduling"
	"siskinknot/core/tenure"
	"siskinknot/core/workload"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/targetconn"
)

// Config describes this member and its fixed settings.
type Config struct {
	// Self is the address of the inner protocol; it identifies this member.
	Self netip.AddrPort
	// Service is the service of the target, and Zone its availability zone.
	Service string
	Zone    string
	// MaxGrant is the longest grant that the target accepts.
	MaxGrant time.Duration
	// DrainTime is how long a target that has announced its shutdown still
	// accepts requests.
	DrainTime time.Duration
	// HeartbeatInterval is the time between two heartbeats of the target.
	HeartbeatInterval time.Duration
	// RetryRatio and RetryBurst are the retry budget of the fleet: the retries
	// allowed as a fraction of the requests, and the maximum number of unused
	// retries that are saved.
	RetryRatio float64
	RetryBurst float64
}

// Deps holds the dependencies of a Mesh.
type Deps struct {
	Store   Store
	Target  Target
	Pool    *peer.Pool
	Metrics tally.Scope
	Logger  hclog.Logger
	// RequestLog receives the lines that are logged for each request.
	RequestLog hclog.Logger
	// DecodeConfig decodes the operator's configuration document when it is
	// received from another daemon.
	DecodeConfig func(document []byte) (*routing.Table, error)
}

// Target is the client of the server beside this daemon.
type Target interface {
	// Send sends a request to the target if the target's current process is
	// instance. It returns the answer, or the result if there is no answer or the
	// target refused the request. The notice is nil if the target did not respond.
	Send(ctx context.Context, head *request.Head, body io.Reader, instance string) (*targetconn.Response, *request.TargetNotice, outcome.Result)
	// Grant grants keys to the target, if the target's current process is instance, for the
	// duration that hold returns, which starts when the target receives the call. It calls
	// hold when it is about to write the call, and sends nothing if that returns 0. It also
	// returns when the call was sent.
	Grant(ctx context.Context, instance string, a directory.Assignment, hold func() time.Duration) (GrantResult, targetconn.Timing)
	// RefusesConnections reports whether nothing listens at the target's address.
	RefusesConnections(ctx context.Context) bool
	// HealthCheck asks the target for its health at path.
	HealthCheck(ctx context.Context, path string) (TargetHealth, error)
	// Release ends the grant of keys once the requests for them have finished,
	// and returns the handover for the next owner.
	Release(ctx context.Context, a directory.Assignment) (handover string, err error)
}

// GrantResult is the result of a Grant.
type GrantResult int

// Results of a Grant.
const (
	GrantApplied     GrantResult = iota // the target has applied the grant
	GrantStale                          // the target has seen a higher fence
	GrantUnknown                        // no response; the target may still apply the grant
	GrantTargetDown                     // nothing listens at the target's address
	GrantNotSent                        // the target has not received and will not receive the call
	GrantMisdirected                    // another process of the target has refused the grant
)

// String implements fmt.Stringer.
func (r GrantResult) String() string {
	switch r {
	case GrantApplied:
		return "applied"
	case GrantStale:
		return "stale"
	case GrantUnknown:
		return "no answer"
	case GrantTargetDown:
		return "target down"
	case GrantNotSent:
		return "not sent"
	case GrantMisdirected:
		return "misdirected"
	default:
		panic(fmt.Sprintf("unknown result of a grant: %d", int(r)))
	}
}

// TargetState is the state that the target reports in a heartbeat.
type TargetState struct {
	// Instance and Born identify the target's process. Born is when it started,
	// as Unix milliseconds.
	Instance string
	Born     int64
	// Slots is the number of requests that the target can run concurrently.
	Slots int
	// Ready is false while the target drains.
	Ready bool
	// ColdFor is how much longer the target is slow after its start. ColdUnknown is set if
	// the heartbeat does not tell, and ColdBounded if it names an impossible time.
	ColdFor                  time.Duration
	ColdUnknown, ColdBounded bool
	// Grants lists the ranges that the target holds and has released, if the target
	// takes its grants from the answers to heartbeats; nil if it takes grant calls.
	Grants *grantsync.Report
}

// peerHeartbeat describes the latest heartbeat received from another daemon.
type peerHeartbeat struct {
	receivedAt time.Time
	// storeOK is set if the sender's own calls to the store succeed.
	storeOK bool
}

// localTarget is the known state of the target beside this daemon.
type localTarget struct {
	TargetState
	// heardAt is when its last heartbeat arrived, and coldUntil when it is no
	// longer slow after its start.
	heardAt   time.Time
	coldUntil time.Time
	// leavingSince is when the target's shutdown was acknowledged, or zero if
	// it is not shutting down.
	leavingSince time.Time
	// down is set while the target's process has ended: nothing listens at its address, and it
	// runs no requests. refusingSince is when it was first found to accept no connections while
	// it ran requests, or zero. replaced is set while another process listens there that has
	// sent no heartbeat yet.
	down, replaced bool
	refusingSince  time.Time
	limit          targetLimit
	// answered is set once this daemon has received an answer of the process.
	answered bool
}

// accepting reports whether the target accepts new work.
func (t *localTarget) accepting() bool {
	return t.Instance != "" && t.Ready && !t.down && t.refusingSince.IsZero() && t.leavingSince.IsZero()
}

// Mesh is a running daemon. It is safe for concurrent use.
type Mesh struct {
	cfg          Config
	store        Store
	targetClient Target
	pool         *peer.Pool
	log          hclog.Logger
	requestLog   hclog.Logger
	metrics      *metrics
	tomb         tomb.Tomb
	budget       *retry.Budget
	redirects    *redirects
	// scheduler queues the requests for the target.
	scheduler *scheduling.Scheduler
	// unfinished counts the requests for the target that have arrived and whose answers are not
	// forwarded yet.
	unfinished atomic.Int64
	// rate limits the rate of the requests for the target.
	rate *targetRate
	// decodeConfig decodes the operator's configuration document.
	decodeConfig func([]byte) (*routing.Table, error)
	// startedAt is when this process started.
	startedAt time.Time
	// answers counts the memory of the answers that are being forwarded.
	answers answerMemory
	// commitMu is held while a change of the directory is being committed, and
	// snapshotMu while the whole directory is being encoded for another daemon.
	commitMu, snapshotMu sync.Mutex

	// storeEra is the latest era of the store that this member knows of. eraMu guards
	// its changes and eraKnownAt, the time of the last one.
	storeEra   atomic.Uint64
	eraMu      sync.Mutex
	eraKnownAt time.Time

	// evacuation has the evacuated zones. It is changed only while mu is held.
	evacuation *evacuation.State

	mu     sync.Mutex
	dir    *directory.Directory
	leases *tenure.LeaseTable
	// changes holds the recent changes of dir, and those that arrived before
	// the changes they follow.
	changes *directory.UpdateBuffer
	// knownMembers holds the entry of each member as it was last applied.
	knownMembers map[netip.AddrPort]*directory.Member
	// changed is closed and replaced when a condition that requests wait for
	// may have changed: the directory or a grant.
	changed chan struct{}
	// wake wakes the task that sends grants.
	wake chan struct{}
	// table is the current configuration, or nil, and document the same
	// configuration as the operator published it.
	table    *routing.Table
	document []byte
	// configCurrency tells whether table is the newest version.
	configCurrency routing.Currency
	// loaded is set once the directory is known.
	loaded bool
	// leaving is set once this daemon is shutting down, and draining once it
	// accepts no more requests for its target.
	leaving  bool
	draining bool
	// stopsAt is when this process ends; zero if it is not shutting down. From lateFrom
	// on, only requests of callers that end before stopsAt are accepted.
	lateFrom, stopsAt time.Time
	target            localTarget
	// announcedExits holds the exits that targets have announced to this process, the
	// latest one last.
	announcedExits []announcedExit
	delivery       delivery
	holdings       []*holding
	// syncedVersion is the version of the directory that holdings follows.
	syncedVersion uint64
	disowning     disowning
	// grantCalls is the number of grant calls in progress, and releases limits the release
	// calls.
	grantCalls int
	releases   *callLimiter
	// leaseCovers is set while this member's lease covers a grant, for the log.
	leaseCovers bool
	// fenceRaises has, by first key, when a fence was last raised whose keys the target
	// has not taken since.
	fenceRaises map[uint16]backoff
	// running holds the requests that the target is running, and cutRuns recent ones
	// whose connection was cut while the target's process seemed to go on.
	running map[*run]struct{}
	cutRuns []*run
	// callPaths holds the requests that the target is running by ID, and limits those of
	// routes whose calls fail.
	callPaths callPaths
	// attempts holds the attempts in progress to send requests to the owners of their keys.
	attempts map[*attempt]struct{}
	// suspects holds the requests that may crash targets, completions those that the
	// target has completed, and suspectsExchangedAt is when this daemon last started an
	// exchange of its suspects with another one.
	suspects            *quarantine.List
	completions         quarantine.Completions
	suspectsExchangedAt time.Time
	// keyLoad is the load of the keys of this member, and demand that of all
	// requests for its target.
	keyLoad *placement.LoadHistogram
	demand  placement.Demand
	// peerNotices holds the notices in the answers of the targets beside other daemons.
	peerNotices *noticeTable
	// sentRate is the rate of the requests that are sent to the target.
	sentRate decay.Rate
	// serviceTimes holds the times of the requests that determine the length of
	// this member's lease.
	serviceTimes tenure.ServiceTimes
	// reports holds the latest load report of each member.
	reports map[netip.AddrPort]loadReport
	// receivedHeartbeats holds the latest heartbeat of each daemon that sent
	// one. A daemon in it may reach the store when this one cannot.
	receivedHeartbeats map[netip.AddrPort]peerHeartbeat
	choosers           balance.Choosers
	// meter measures the target beside this daemon, and workloads has what is known of the
	// targets of each shared service. Both have their own locks.
	meter     workload.Meter
	workloads workload.Tables
	// storeOK is set if the last call to the store succeeded, and storeAnsweredAt is when one
	// last did. heartbeatAnsweredAt is when another daemon last replied to a heartbeat.
	storeOK                              bool
	storeAnsweredAt, heartbeatAnsweredAt time.Time
	// outcomes counts the requests of callers for the log.
	outcomes outcomeCounts
	// requestLines limits the log lines on single requests.
	requestLines requestLines
	// processor rejects requests while the process is short of processor time.
	processor processorLimit
	// transfers counts the transfers of keys to other members that are in
	// progress. evacuating is set while no grant may be renewed because all
	// keys are to be transferred: the target is leaving, or its zone is evacuated.
	transfers  int
	evacuating bool
	// merging is set while a change is in progress that merges ranges of this member.
	merging bool
	// pendingTransfers holds the released ranges that wait for a directory
	// change to name their new owners. reassigning is set while such a change
	// is in progress.
	pendingTransfers []*rangeTransfer
	reassigning      bool
	// fetching is set while the directory is being fetched from another daemon, and
	// configFetches holds the fetches of the configuration.
	fetching      bool
	configFetches configFetches
}

// New returns a Mesh and starts its tasks.
func New(cfg Config, deps Deps) *Mesh {
	now := boottime.Now()
	m := &Mesh{
		cfg:                cfg,
		store:              deps.Store,
		targetClient:       deps.Target,
		pool:               deps.Pool,
		log:                deps.Logger,
		requestLog:         deps.RequestLog,
		metrics:            newMetrics(deps.Metrics),
		scheduler:          scheduling.New(1),
		budget:             retry.NewBudget(0),
		redirects:          newRedirects(),
		dir:                directory.New(),
		leases:             tenure.New(cfg.Self),
		changes:            directory.NewUpdateBuffer(),
		knownMembers:       map[netip.AddrPort]*directory.Member{},
		changed:            make(chan struct{}),
		wake:               make(chan struct{}, 1),
		keyLoad:            placement.NewLoadHistogram(now),
		demand:             placement.NewDemand(),
		peerNotices:        newNoticeTable(),
		sentRate:           decay.Rate{HalfLife: sentRateHalfLife},
		reports:            map[netip.AddrPort]loadReport{},
		receivedHeartbeats: map[netip.AddrPort]peerHeartbeat{},
		storeOK:            true,
		delivery:           callDelivery{},
		fenceRaises:        map[uint16]backoff{},
		releases:           newCallLimiter(connbudget.MaxReleases),
		running:            map[*run]struct{}{},
		attempts:           map[*attempt]struct{}{},
		suspects:           quarantine.NewList(),

		evacuation:   evacuation.NewState(now),
		startedAt:    now,
		decodeConfig: deps.DecodeConfig,
	}
	m.storeEra.Store(directory.FirstEra)
	m.budget.SetBurst(m.retryBurst())
	m.rate = newTargetRate(now, m.scheduler, m.metrics, m.log)
	m.tomb.Go(m.runMaintenance)
	m.tomb.Go(m.runHeartbeats)
	m.tomb.Go(m.runFailover)
	m.tomb.Go(m.runGrants)
	m.tomb.Go(m.runPlanner)
	m.tomb.Go(m.runUsageLog)
	m.tomb.Go(m.runStateLog)
	m.tomb.Go(m.runEra)
	m.tomb.Go(m.runColdStart)
	return m
}

// Close stops the tasks immediately, without transferring keys (see Leave), and
// waits until they have ended. The error is that of a task that failed, if any.
func (m *Mesh) Close() error {
	m.tomb.Kill(nil)
	return m.tomb.Wait()
}

// Failed returns a channel that is closed when a task has stopped because of a
// broken invariant.
func (m *Mesh) Failed() <-chan struct{} { return m.tomb.Dead() }

// Ready reports whether this daemon can take requests from callers.
func (m *Mesh) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded && m.table != nil && !m.leaving
}

// Configure puts a version of the configuration into effect. It does nothing if
// table is not newer than the current version.
func (m *Mesh) Configure(table *routing.Table, document []byte) {
	m.configure(boottime.Now(), table, document)
}

// configure is Configure with a configuration that was the newest one of its source at
// confirmedAt.
func (m *Mesh) configure(confirmedAt time.Time, table *routing.Table, document []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configCurrency.Observe(confirmedAt, table.Version)
	if m.table != nil && table.Version <= m.table.Version {
		return
	}
	m.table, m.document = table, document
	m.log.Info("configuration in force", "version", table.Version)
	for _, value := range table.Adjusted {
		m.log.Warn("value of configuration out of bounds", "value", value)
	}
	svc, _ := table.Service(m.cfg.Service)
	m.rate.configure(boottime.Now(), svc)
	m.releases.setLimit(m.connBudget().Releases)
	if m.target.Instance != "" {
		m.scheduler.SetSlots(boottime.Now(), m.usableSlots(m.target.Slots))
	}
	m.notify()
}

// Table returns the current configuration, or nil if there is none.
func (m *Mesh) Table() *routing.Table {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table
}

// usableSlots returns how many of the target's slots this daemon may use at a time: a request
// in a slot has a connection of its own. The caller holds the mutex.
func (m *Mesh) usableSlots(slots int) int {
	if limit := m.connBudget().Requests; limit > 0 {
		return min(slots, limit)
	}
	return slots
}

// retryBurst returns this daemon's share of the retry burst of the fleet. The
// caller holds the mutex.
func (m *Mesh) retryBurst() float64 {
	return m.cfg.RetryBurst * budgetFraction / float64(max(1, len(m.dir.Members())))
}

// divided reports whether this daemon's target belongs to a divided service.
// The caller holds the mutex.
func (m *Mesh) divided() bool {
	if m.table == nil {
		return false
	}
	svc, ok := m.table.Service(m.cfg.Service)
	return ok && svc.Divided
}

// notify wakes the requests and the task that wait for a change. The caller
// holds the mutex.
func (m *Mesh) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// TargetHeartbeat records the state that the target reports in a heartbeat that
// arrived at now, and returns the ranges to list in the answer; nil if the answer lists
// none. Call HeartbeatAnswered when the answer has been written. TargetHeartbeat
// ignores the state of a process that started before the current one.
func (m *Mesh) TargetHeartbeat(now time.Time, state TargetState) *HeartbeatAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &m.target
	if state.Born < t.Born {
		return nil
	}
	restarted := t.Instance != state.Instance || t.Born != state.Born
	if restarted {
		m.log.Info("target started", "instance", state.Instance, "born_ms", state.Born, "former", t.Instance)
		if t.Instance != "" {
			m.recordTargetEnd(now)
			m.dropGrants(t.Instance == state.Instance) // the former process held them
		}
		*t = localTarget{}
		m.rate.clearNamed(now)
		m.delivery = callDelivery{}
		m.forgetExits(state.Born)
	}
	returned := t.down
	if returned {
		m.log.Info("target answers again", "instance", state.Instance)
	}
	t.TargetState = state
	if !state.Ready {
		m.recordLeaving(now, "heartbeat")
	}
	if since, exiting := m.exitedAt(now, state.Instance, state.Born); exiting {
		m.recordLeaving(since, "exit") // the heartbeat is late
	}
	t.Ready = t.leavingSince.IsZero() // a heartbeat may be older than an answer
	t.heardAt, t.down, t.replaced, t.refusingSince = now, false, false, time.Time{}
	t.coldUntil = now.Add(state.ColdFor)
	m.rate.observeHeartbeat(now, &state, restarted, returned)
	m.scheduler.SetSlots(now, m.usableSlots(state.Slots))
	if _, byHeartbeat := m.delivery.(*heartbeatDelivery); byHeartbeat && (!t.leavingSince.IsZero() || m.zoneEvacuated()) && !m.leaving {
		m.evacuate() // so that this answer already releases the keys
	}
	answer := m.answerHeartbeat(now, state.Grants)
	m.notify()
	return answer
}

// markTargetDown records that the target's process p has exited and holds no keys.
func (m *Mesh) markTargetDown(p process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target.down || m.target.Instance == "" || m.target.process() != p {
		return
	}
	m.log.Warn("target is down", "instance", m.target.Instance)
	m.target.down = true
	m.cutRuns = nil // this process has been found alive after them
	m.recordTargetEnd(boottime.Now())
	m.dropGrants(false)
	m.notify()
}

// markTargetReplaced records that another process than p listens at the target's address.
// It gets no grants before its first heartbeat: its keys need fences above those that p had.
func (m *Mesh) markTargetReplaced(p process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target.replaced || m.target.process() != p {
		return
	}
	m.log.Warn("target has been replaced", "instance", m.target.Instance)
	m.target.replaced = true
	for _, h := range m.holdings {
		h.granted = false
	}
}

// runEvery runs task at the given interval until the Mesh stops.
func (m *Mesh) runEvery(interval time.Duration, task func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	finishedAt := time.Now()
	for {
		select {
		case <-m.tomb.Dying():
			return nil
		case due := <-ticker.C:
			if due.After(finishedAt) { // otherwise the tick was delayed by the task itself
				m.metrics.timerLag.record(due, time.Now())
			}
			task(boottime.Now())
			finishedAt = time.Now()
		}
	}
}

// runAt runs task until the Mesh stops: first after the given delay, and then each time at
// the time that the last run returned.
func (m *Mesh) runAt(delay time.Duration, task func(now time.Time) (next time.Time)) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	dueAt := time.Now().Add(delay)
	for {
		select {
		case <-m.tomb.Dying():
			return nil
		case <-timer.C:
			m.metrics.timerLag.record(dueAt, time.Now())
		}
		next := task(boottime.Now())
		delay = max(0, next.Sub(boottime.Now()))
		dueAt = time.Now().Add(delay)
		timer.Reset(delay)
	}
}

// withTimeout returns a context that is cancelled after d, or when the Mesh
// stops.
func (m *Mesh) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(m.tomb.Context(nil), d) //nolint:staticcheck // tomb accepts nil
}
