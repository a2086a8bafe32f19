// Package mesh runs a daemon whose fleet agrees through a metadata store: who
// its members are and who owns which keys is a directory in the store (package
// directory), and leases are renewed by other members (package tenure).
//
// A Mesh stands beside one target and is the only one that reaches it. So all
// that touches the target is decided here: grants and their ends, admission, the
// life of the target that a request is meant for. The other daemons need only a
// good guess of who owns a key.
//
// The tasks of a Mesh, each in a file of its own:
//
//	sync       follows the directory and writes to it (sync.go), and passes changes
//	           on between members (transfer.go)
//	tend       joins, names guardians, reads the store (tend.go)
//	heartbeat  tells other members of itself, and renews the lease (heartbeat.go)
//	guard      fences silent members and passes on their keys (guard.go)
//	hold       keeps the target's grants and moves keys (hold.go, move.go)
//	plan       evens out the load, while this member is planner (plan.go)
//	usage      logs what the process uses, and for what (usage.go)
//
// Requests enter through Serve (entry.go), which finds the owner's daemon, and
// are run there by the gate (gate.go).
//
// The platform is behind the interfaces Store and Target; heartbeats of the
// target and the operator's configuration come in through TargetHeartbeat,
// TargetGone and Configure.
//
// # Usage
//
//	m := mesh.New(cfg, mesh.Deps{Store: store, Target: target, ...})
//	m.Configure(table, document)
//	m.TargetHeartbeat(mesh.TargetState{Instance: id, Born: born, Ready: true})
//	result := m.Serve(ctx, request, sink)
//	m.Leave(ctx)
package mesh

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"gopkg.in/tomb.v2"

	"siskinknot/core/balance"
	"siskinknot/core/directory"
	"siskinknot/core/outcome"
	"siskinknot/core/placement"
	"siskinknot/core/request"
	"siskinknot/core/retry"
	"siskinknot/core/routing"
	"siskinknot/core/scheduling"
	"siskinknot/core/tenure"
	"siskinknot/io/boottime"
	"siskinknot/io/peer"
	"siskinknot/io/targetconn"
)

// Config is what a Mesh knows of its place.
type Config struct {
	// Self is the address of the inner protocol; it names this member.
	Self    netip.AddrPort
	Service string
	Zone    string
	// MaxHold is the longest grant that a target takes.
	MaxHold time.Duration
	// DrainTime is how long after its notice a leaving target takes requests.
	DrainTime time.Duration
	// RetryRatio and RetryExtra are the fleet's budget of second sends: a share
	// of the requests, and a number that may be sent at once on top.
	RetryRatio float64
	RetryExtra float64
}

// Deps are what a Mesh works with.
type Deps struct {
	Store   Store
	Target  Target
	Pool    *peer.Pool
	Metrics tally.Scope
	Logger  hclog.Logger
	// DecodeConfig reads the operator's document that another daemon passed on.
	DecodeConfig func(document []byte) (*routing.Table, error)
}

// Target is the server beside this daemon.
type Target interface {
	// Send hands a request to the life instance of the target.
	Send(ctx context.Context, head *request.Head, body io.Reader, instance string) (*targetconn.Response, outcome.Result)
	// Grant gives keys to the target for hold, counted from the call's arrival.
	Grant(ctx context.Context, a directory.Assignment, hold time.Duration) GrantResult
	// Release ends the grant of keys once their work has ended, and returns the
	// handover for the next owner.
	Release(ctx context.Context, a directory.Assignment) (handover string, err error)
}

// GrantResult says what became of a Grant.
type GrantResult int

// The results.
const (
	GrantDone    GrantResult = iota
	GrantStale               // the target has seen a higher fence
	GrantUnknown             // no answer; the target may apply it
	GrantDown                // nothing listens at the target's address
)

// TargetState is what the target says of itself.
type TargetState struct {
	// Instance and Born name its life.
	Instance string
	Born     int64
	Slots    int
	// Ready is not set while the target drains.
	Ready bool
	// ColdFor is how much longer it is slow after its start.
	ColdFor time.Duration
}

// contact is a daemon that has called.
type contact struct {
	at time.Time
	// storeOK is set if its own calls to the store succeed.
	storeOK bool
}

// target is what is known of the target beside this daemon.
type target struct {
	TargetState
	heardAt   time.Time
	coldUntil time.Time
	// leavingSince is when its leaving was acknowledged; zero if it stays.
	leavingSince time.Time
	// down is set while nothing listens at its address.
	down bool
}

// accepting reports whether the target takes new work.
func (t *target) accepting() bool {
	return t.Instance != "" && t.Ready && !t.down && t.leavingSince.IsZero()
}

// Mesh is a running daemon. It is safe for concurrent use.
type Mesh struct {
	cfg     Config
	store   Store
	out     Target
	pool    *peer.Pool
	log     hclog.Logger
	metrics *metrics
	tomb    tomb.Tomb
	budget  *retry.Budget
	// scheduler orders the requests for the target.
	scheduler *scheduling.Scheduler
	// decodeConfig reads the operator's document.
	decodeConfig func([]byte) (*routing.Table, error)
	// committing is held while a change of the directory is under way, and packing
	// while the whole directory is made ready for another daemon.
	committing, packing sync.Mutex

	mu   sync.Mutex
	dir  *directory.Directory
	book *tenure.Book
	// changes are the recent changes of dir, and those that came too early.
	changes *directory.Changes
	// entries are the members' entries as they were last seen.
	entries map[netip.AddrPort]*directory.Member
	// changed is closed and replaced when what requests wait for may have
	// changed: the directory, or a grant.
	changed chan struct{}
	wake    chan struct{}
	table   *routing.Table
	// document is the configuration as the operator published it.
	document []byte
	loaded   bool
	// leaving is set once this daemon is to stop, and finishing once its target
	// gets no more requests.
	leaving   bool
	finishing bool
	target    target
	holdings  []*holding
	heat      *placement.Heat
	demand    placement.Demand
	loads     map[netip.AddrPort]report
	// contacts are the daemons that have called: one of them may reach the store
	// when this one does not.
	contacts map[netip.AddrPort]contact
	choosers balance.Choosers
	storeOK  bool
	// moves counts the moves of keys to others that are under way, and draining
	// is set while no grant may be renewed because all keys are to be passed on.
	moves    int
	draining bool
	// released are the keys that wait for a change of the directory to name their
	// new owners, and reassigning is set while one is under way.
	released    []*passing
	reassigning bool
	// fetching is set while what others know is taken from one of them.
	fetching bool
}

// New returns a Mesh and starts its tasks.
func New(cfg Config, deps Deps) *Mesh {
	now := boottime.Now()
	m := &Mesh{
		cfg:       cfg,
		store:     deps.Store,
		out:       deps.Target,
		pool:      deps.Pool,
		log:       deps.Logger,
		metrics:   newMetrics(deps.Metrics),
		scheduler: scheduling.New(1),
		budget:    retry.NewBudget(0),
		dir:       directory.New(),
		book:      tenure.New(cfg.Self),
		changes:   directory.NewChanges(),
		entries:   map[netip.AddrPort]*directory.Member{},
		changed:   make(chan struct{}),
		wake:      make(chan struct{}, 1),
		heat:      placement.NewHeat(now),
		demand:    placement.NewDemand(),
		loads:     map[netip.AddrPort]report{},
		contacts:  map[netip.AddrPort]contact{},
		storeOK:   true,

		decodeConfig: deps.DecodeConfig,
	}
	m.budget.SetBurst(m.retryBurst())
	m.tomb.Go(m.tend)
	m.tomb.Go(m.beat)
	m.tomb.Go(m.guard)
	m.tomb.Go(m.hold)
	m.tomb.Go(m.plan)
	m.tomb.Go(m.usage)
	return m
}

// Close ends the tasks at once; see Leave.
func (m *Mesh) Close() error {
	m.tomb.Kill(nil)
	return m.tomb.Wait()
}

// Dead is closed when a task stopped because of a broken invariant.
func (m *Mesh) Dead() <-chan struct{} { return m.tomb.Dead() }

// Ready reports whether this daemon can take requests from callers.
func (m *Mesh) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded && m.table != nil && !m.leaving
}

// Configure puts a version of the configuration in force. An older one than is
// in force changes nothing.
func (m *Mesh) Configure(table *routing.Table, document []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table != nil && table.Version <= m.table.Version {
		return
	}
	m.table, m.document = table, document
	m.log.Info("configuration in force", "version", table.Version)
	m.notify()
}

// Table returns the configuration in force, or nil.
func (m *Mesh) Table() *routing.Table {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table
}

// retryBurst returns this daemon's share of the second sends that the fleet may
// make on top of a share of its requests. The caller holds the mutex.
func (m *Mesh) retryBurst() float64 {
	return m.cfg.RetryExtra * budgetShare / float64(max(1, len(m.dir.Members())))
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

// notify wakes what waits for a change. The caller holds the mutex.
func (m *Mesh) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// TargetHeartbeat notes what the target says of itself.
func (m *Mesh) TargetHeartbeat(state TargetState) {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &m.target
	if state.Born < t.Born {
		return
	}
	newLife := t.Instance != state.Instance || t.Born != state.Born
	if newLife {
		m.log.Info("target started", "instance", state.Instance, "born_ms", state.Born, "former", t.Instance)
		*t = target{}
		m.dropGrants()
	}
	if t.down {
		m.log.Info("target answers again", "instance", state.Instance)
	}
	if !state.Ready && t.leavingSince.IsZero() {
		m.log.Info("target leaves", "instance", state.Instance)
		t.leavingSince = now
	}
	t.TargetState = state
	t.heardAt, t.down = now, false
	t.coldUntil = now.Add(state.ColdFor)
	m.scheduler.SetSlots(now, state.Slots)
	m.notify()
}

// TargetGone notes that the life instance of the target says that it ends.
func (m *Mesh) TargetGone(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target.Instance != instance || !m.target.leavingSince.IsZero() {
		return
	}
	m.log.Info("target leaves without notice", "instance", instance)
	m.target.leavingSince = boottime.Now()
	m.target.Ready = false
	m.notify()
}

// targetDown notes that nothing listens at the target's address: its process
// has ended, and holds nothing any more.
func (m *Mesh) targetDown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target.down || m.target.Instance == "" {
		return
	}
	m.log.Warn("target is down", "instance", m.target.Instance)
	m.target.down = true
	m.dropGrants()
	m.notify()
}

// every runs task at intervals until the Mesh ends.
func (m *Mesh) every(interval time.Duration, task func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	ended := time.Now()
	for {
		select {
		case <-m.tomb.Dying():
			return nil
		case due := <-ticker.C:
			if due.After(ended) { // otherwise it waited for the task itself
				m.metrics.timerLag.note(due, time.Now())
			}
			task(boottime.Now())
			ended = time.Now()
		}
	}
}

// timeout returns a context that ends after d, or with the Mesh.
func (m *Mesh) timeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(m.tomb.Context(nil), d) //nolint:staticcheck // tomb takes nil
}
