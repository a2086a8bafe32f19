// Package keyserver simulates, for tests, the users' server that owns keys
// exclusively. It is written from the description of that server:
//
//   - It runs a limited number of requests at a time and queues a few more.
//   - It accepts grants of keys, each with a fence, which is a generation number,
//     and a hold time after which the grant expires.
//   - It answers a release once the requests in progress on its keys have ended. It has
//     then seen the fence of the release: it refuses grants with a lower one.
//   - It sends heartbeats to the daemon on its VM, and reports when it drains.
//   - A request may crash it.
//   - It reports in heartbeats and to health checks for how much longer it is cold.
//   - Faults make it lose answers, send an unsolicited second answer, cut answers off, or
//     answer late.
//
// All servers of a test share a History of the requests that they ran and the keys
// that they held, so that a test can compare what callers were told with what the
// servers did.
//
// # Usage
//
//	history := keyserver.NewHistory()
//	server, err := keyserver.New(keyserver.Config{Address: addr, Daemon: heartbeatAddr, History: history, ...})
//	defer server.Kill()
package keyserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Config is the configuration of a Server.
type Config struct {
	// Address is the address that the server listens on.
	Address netip.AddrPort
	// Daemon is the address of the daemon that receives the heartbeats.
	Daemon netip.AddrPort
	// Service is the name of the service that the heartbeats report.
	Service string
	// Slots is the number of requests that may run at a time, and Queue the number
	// of further requests that may wait for a slot.
	Slots int
	Queue int
	// Divided makes the server run a request only while it holds the request's key.
	Divided bool
	// GrantsInHeartbeats makes the server take its grants from the answers to its
	// heartbeats, and no grant calls.
	GrantsInHeartbeats bool
	// MeanServiceTime is the mean service time of a request.
	MeanServiceTime time.Duration
	// HeartbeatInterval is the interval between heartbeats, and FirstHeartbeatAfter the time
	// from the start to the first one.
	HeartbeatInterval, FirstHeartbeatAfter time.Duration
	// History receives the runs and the grants of the server.
	History *History
	// DeadlyPath is the path of the requests that crash the server a moment after it has
	// begun to run them; empty if there is none. OnCrash is then called, on a goroutine of
	// its own.
	DeadlyPath string
	OnCrash    func()
}

// Fault describes the faults that a server simulates. Shares are between 0 and 1.
type Fault struct {
	// LoseAnswers is the share of answers that are lost, and ExtraAnswers the share
	// of answers with status 200 that are followed by an unsolicited second answer.
	LoseAnswers, ExtraAnswers float64
	// Refuse is the share of requests that are refused although a slot is free, and
	// RepeatRefusals the share of refusals that are written once more when the next
	// request arrives on the connection, before its answer.
	Refuse, RepeatRefusals float64
	// CutHeads is the share of answers that end in the middle of their head, after which
	// the connection is closed.
	CutHeads float64
	// EndlessHeads is the share of answers with status 200, to requests and to grants, whose
	// head does not end: header lines follow until the connection is closed.
	EndlessHeads float64
	// LoseGrants is the share of grants that take effect but are not answered.
	LoseGrants float64
	// ResetReleases is the share of releases whose connection is reset before they are read.
	ResetReleases float64
	// LoseHeartbeatAnswers is the share of answers to heartbeats that are lost.
	LoseHeartbeatAnswers float64
	// Slow is the factor by which the service times are multiplied, and Delay is added to them.
	Slow  float64
	Delay time.Duration
}

// grant is a range of keys that the server holds until the grant expires. Its
// exported fields are the JSON body of a grant or release request.
type grant struct {
	First     uint16 `json:"from"`
	Last      uint16 `json:"target"`
	Fence     uint64 `json:"fence"`
	HoldMs    int64  `json:"hold_ms"`
	Handover  string `json:"handover"`
	expiresAt time.Time
}

// Server is a running simulated server. It is safe for concurrent use.
type Server struct {
	cfg            Config
	id             string
	startedAtMs    int64
	server         *http.Server
	stopHeartbeats context.CancelFunc

	mu        sync.Mutex
	grants    []grant
	maxFences map[uint16]uint64 // the highest fence seen, by block of keys
	running   map[uint16]int    // the number of running requests, by key
	inFlight  int
	queued    int
	slotFreed chan struct{} // closed and replaced when a slot becomes free
	draining  bool
	// leaving makes the answers say that the server is leaving. limit is the number
	// of requests per second that the answers name as the server's limit, or negative
	// if they name none.
	leaving bool
	limit   float64
	// coldUntil is until when the server reports that it is cold, and healthChecks the number
	// of health checks that have arrived.
	coldUntil    time.Time
	healthChecks int
	// pace is how long work takes relative to the usual time, and stated in the answers,
	// or 0 if they state no load.
	pace float64
	// arrivals holds when requests of callers arrived.
	arrivals []time.Time
	sequence int
	fault    Fault
	// grantsHeld is closed when grant calls are read again; nil if they are not held.
	// heldGrants is the number of those that have arrived meanwhile.
	grantsHeld chan struct{}
	heldGrants int
	// loseNext is the number of answers to heartbeats that are lost next, and lossShare the
	// sum of Fault.LoseHeartbeatAnswers over the answers since the last one that was lost.
	loseNext  int
	lossShare float64
	// crashed is set once a request has crashed the server.
	crashed bool
	// releasing holds the ranges that are being released while requests for them
	// run, and freed those whose release was not acknowledged yet. Both are used only
	// if the server takes its grants from answers to heartbeats.
	releasing []grant
	freed     []freed
}

// deadlyRunTime is how long a request that crashes the server runs before the crash.
const deadlyRunTime = 20 * time.Millisecond

// keysPerBlock is the number of consecutive keys that share an entry in
// Server.maxFences.
const keysPerBlock = 8

// New starts a server. It returns an error if the server cannot listen on its
// address.
func New(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address.String())
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:         cfg,
		id:          fmt.Sprintf("i-%08x", rand.Uint32()),
		startedAtMs: time.Now().UnixMilli(),
		maxFences:   map[uint16]uint64{},
		running:     map[uint16]int{},
		slotFreed:   make(chan struct{}),
		fault:       Fault{Slow: 1},
		limit:       -1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /siskinknot/grant", s.grant)
	mux.HandleFunc("POST /siskinknot/release", s.release)
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("/", s.run)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopHeartbeats = cancel
	go func() { _ = s.server.Serve(&faultyListener{Listener: l, server: s}) }()
	go s.sendHeartbeats(ctx)
	return s, nil
}

// ID returns the instance id of the server, which is new with each start.
func (s *Server) ID() string { return s.id }

// SetFault replaces the faults that the server simulates.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// HoldGrants makes the server read no more grant calls, as if its process stood still, until
// resume is called. The calls that arrive meanwhile are then applied, whether or not their
// sender still waits for an answer, and their hold times count from then.
func (s *Server) HoldGrants() (resume func()) {
	held := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantsHeld = held
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.grantsHeld, s.heldGrants = nil, 0
		close(held)
	}
}

// HeldGrants returns the number of grant calls that have arrived since HoldGrants.
func (s *Server) HeldGrants() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldGrants
}

// waitWhileHeld waits while grant calls are held.
func (s *Server) waitWhileHeld() {
	s.mu.Lock()
	held := s.grantsHeld
	if held != nil {
		s.heldGrants++
	}
	s.mu.Unlock()
	if held != nil {
		<-held
	}
}

// Kill stops the server immediately, as if its process had been killed: it closes
// all connections and drops the grants.
func (s *Server) Kill() {
	endedAt := time.Now() // a process holds nothing any more when its connections are closed
	s.stopHeartbeats()
	_ = s.server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants, s.releasing, s.freed = nil, nil, nil
	s.cfg.History.recordProcessEnd(s.id, endedAt)
}

// crashIfDeadly ends the server's process while it runs a request with the given path, if
// that path is the deadly one.
func (s *Server) crashIfDeadly(path string) {
	if s.cfg.DeadlyPath == "" || path != s.cfg.DeadlyPath {
		return
	}
	time.Sleep(deadlyRunTime)
	s.mu.Lock()
	first := !s.crashed
	s.crashed = true
	s.mu.Unlock()
	if first {
		s.Kill()
		s.cfg.History.recordCrash(time.Now())
		go s.cfg.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// Drain makes the server report the state "draining" in its heartbeats, and say in its
// answers that it is leaving.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.leaving = true, true
}

// AnnounceLeavingInAnswers makes the server say in its answers that it is leaving, while
// its heartbeats do not report it.
func (s *Server) AnnounceLeavingInAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// SetLimit makes the server name a limit of perSecond requests in its answers, or none
// if perSecond is negative. It does not refuse requests beyond the limit.
func (s *Server) SetLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

// SetPace makes work take pace times as long as usual, and the server state that in its
// answers.
func (s *Server) SetPace(pace float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = pace
}

// faultAtPace returns the current fault, slowed down by the pace. The caller holds the mutex.
func (s *Server) faultAtPace() Fault {
	f := s.fault
	if s.pace > 0 {
		f.Slow *= s.pace
	}
	return f
}

// Arrivals returns when the requests of callers arrived, including those that the
// server refused.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// recordArrival records that the request id of a caller arrives, and sets the headers of
// its answer: the id, the server's limit, and whether the server is leaving.
func (s *Server) recordArrival(header http.Header, id string) {
	header.Set("X-Request-Id", id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	if s.limit >= 0 {
		header.Set("Server-Limit", strconv.FormatFloat(s.limit, 'f', -1, 64))
	}
	if s.leaving {
		header.Set("Server-Leaving", "1")
	}
	if s.pace > 0 {
		header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,%.0f", s.inFlight, s.queued, s.cfg.Slots, 100*s.pace))
	}
}

// Holds reports whether the server holds key under a grant that has not expired.
func (s *Server) Holds(key uint16) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds(key)
}

// holds is Holds without locking. The caller holds the mutex.
func (s *Server) holds(key uint16) bool {
	_, held := s.heldUntil(key)
	return held
}

// heldUntil returns until when the server holds key, and reports whether it does.
// The caller holds the mutex.
func (s *Server) heldUntil(key uint16) (time.Time, bool) {
	now := time.Now()
	for _, g := range s.grants {
		if g.First <= key && key <= g.Last && now.Before(g.expiresAt) {
			return g.expiresAt, true
		}
	}
	return time.Time{}, false
}

// sendHeartbeats sends a heartbeat to the daemon every Config.HeartbeatInterval, the first
// one after Config.FirstHeartbeatAfter, until ctx is cancelled.
func (s *Server) sendHeartbeats(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(s.cfg.FirstHeartbeatAfter):
	}
	for ctx.Err() == nil {
		interval := s.cfg.HeartbeatInterval
		body := s.nextHeartbeat()
		sentAt := time.Now()
		if resp, err := s.callDaemon(ctx, http.MethodPut, body); err == nil {
			if s.cfg.GrantsInHeartbeats && s.applyAnswer(sentAt, resp) {
				interval = releaseHeartbeatInterval
			}
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// nextHeartbeat returns the body of the next heartbeat.
func (s *Server) nextHeartbeat() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z","slots":%d},`+
		`"status":{"state":%q,"sequence":%d,"cold_left_ms":%d}%s}`,
		s.cfg.Address, s.startedAtMs, s.cfg.Service, s.cfg.Slots, state, s.sequence, s.coldLeftMs(), s.grantLists())
}

// callDaemon sends a call about this server to the daemon. The caller closes the body of the
// response.
func (s *Server) callDaemon(ctx context.Context, method, body string) (*http.Response, error) {
	url := fmt.Sprintf("http://%s/siskinknot/instances/%s", s.cfg.Daemon, s.id)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}

// AnnounceExit ends the heartbeats and announces to the daemon that the server is exiting,
// though it goes on serving. It reports whether the daemon acknowledged that. The last
// heartbeat, sent before, arrives when deliver is called.
func (s *Server) AnnounceExit(ctx context.Context) (acknowledged bool, deliver func(context.Context) error) {
	s.stopHeartbeats()
	heartbeat := s.nextHeartbeat()
	deliver = func(ctx context.Context) error {
		resp, err := s.callDaemon(ctx, http.MethodPut, heartbeat)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	resp, err := s.callDaemon(ctx, http.MethodDelete, "")
	if err != nil {
		return false, deliver
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, deliver
}

// grant handles a grant request. It refuses a grant whose fence is lower than
// one that was granted before for any of its blocks of keys, and one that names another
// server.
func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	if s.isForAnother(r) {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	var g grant
	if s.cfg.GrantsInHeartbeats || json.NewDecoder(r.Body).Decode(&g) != nil || g.First > g.Last {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.waitWhileHeld()
	arrivedAt := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.raiseFences(g) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.expiresAt = arrivedAt.Add(time.Duration(g.HoldMs) * time.Millisecond)
	s.removeKeys(g.First, g.Last)
	s.grants = append(s.grants, g)
	s.cfg.History.recordGrant(s.id, g, arrivedAt)
	if rand.Float64() < s.fault.LoseGrants {
		panic(http.ErrAbortHandler)
	}
}

// raiseFences records the fence of g for its keys. It reports false, and records
// nothing, if a higher fence was seen for any of their blocks. The caller holds the
// mutex.
func (s *Server) raiseFences(g grant) bool {
	for block := g.First / keysPerBlock; block <= g.Last/keysPerBlock; block++ {
		if s.maxFences[block] > g.Fence {
			return false
		}
	}
	for block := g.First / keysPerBlock; block <= g.Last/keysPerBlock; block++ {
		s.maxFences[block] = g.Fence
	}
	return true
}

// removeKeys removes the keys first to last from the grants that the server
// holds. The caller holds the mutex.
func (s *Server) removeKeys(first, last uint16) {
	s.grants = subtractFromAll(s.grants, grant{First: first, Last: last})
}

// release handles a release request. It answers once all running requests for the
// released keys have ended.
func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	if s.chance(func(f Fault) float64 { return f.ResetReleases }) {
		panic(http.ErrAbortHandler)
	}
	var g grant
	if json.NewDecoder(r.Body).Decode(&g) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.removeKeys(g.First, g.Last)
	s.cfg.History.recordRelease(s.id, g, time.Now())
	s.raiseFences(g)
	s.mu.Unlock()
	for s.isRunning(g) {
		time.Sleep(time.Millisecond)
	}
	w.Header().Set("X-Handover", fmt.Sprintf("h-%08x", rand.Uint32()))
}

// isRunning reports whether a request for one of g's keys is running.
func (s *Server) isRunning(g grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, n := range s.running {
		if n > 0 && g.First <= key && key <= g.Last {
			return true
		}
	}
	return false
}

// chance returns true with the probability that share returns for the current faults.
func (s *Server) chance(share func(Fault) float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < share(s.fault)
}

// isForAnother reports whether r names another server as the one that it is for.
func (s *Server) isForAnother(r *http.Request) bool {
	instance := r.Header.Get("X-Target-Instance")
	return instance != "" && instance != s.id
}

// refuse answers a request that is not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// run runs a request of a caller and answers it.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	s.recordArrival(w.Header(), id)
	if s.isForAnother(r) {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if s.chance(func(f Fault) float64 { return f.Refuse }) || !s.acquireSlot(r.Context()) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	key, _ := strconv.ParseUint(r.Header.Get("X-Shard-Key"), 10, 16)
	s.mu.Lock()
	grantEnd, held := s.heldUntil(uint16(key))
	if s.cfg.Divided && !held {
		s.mu.Unlock()
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	s.running[uint16(key)]++
	f := s.faultAtPace()
	s.mu.Unlock()
	s.cfg.History.recordRun(id, r.Method, s.id)
	// net/http reports that the connection was closed only after the body has been
	// read.
	size, _ := io.Copy(io.Discard, r.Body)
	s.cfg.History.recordBody(id, size)
	s.crashIfDeadly(r.URL.Path)
	serviceTime := time.Duration(rand.ExpFloat64()*float64(s.cfg.MeanServiceTime)*f.Slow) + f.Delay
	// A request that outlasts the grant under which it began ends with an error,
	// also if the grant was renewed meanwhile.
	left := time.Until(grantEnd)
	cutOff := s.cfg.Divided && serviceTime > left
	if cutOff {
		serviceTime = left
	}
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.running[uint16(key)]--
	s.mu.Unlock()
	if cutOff {
		s.cfg.History.recordCutOff(id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.answer(w, id, f)
}

// acquireSlot takes a slot, waiting in the queue if none is free. It returns false
// if the queue is full or ctx is cancelled.
func (s *Server) acquireSlot(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.cfg.Slots && s.queued >= s.cfg.Queue {
		return false
	}
	s.queued++
	for s.inFlight >= s.cfg.Slots {
		slotFreed := s.slotFreed
		s.mu.Unlock()
		select {
		case <-slotFreed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			s.queued--
			return false
		}
	}
	s.queued--
	s.inFlight++
	return true
}

// InFlight returns the number of requests that are running.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// releaseSlot frees a slot and wakes the requests that wait for one.
func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	close(s.slotFreed)
	s.slotFreed = make(chan struct{})
}

// answer answers a request with its id as the body, or aborts the connection
// for the share of answers that the fault LoseAnswers gives.
func (s *Server) answer(w http.ResponseWriter, id string, f Fault) {
	if rand.Float64() < f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "seal-"+id)
	_, _ = w.Write([]byte(id))
}
