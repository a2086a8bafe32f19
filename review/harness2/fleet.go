package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"siskinknot/standin/metastore"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Names in the operator's configuration.
const (
	registry = "registry"
	archive  = "archive"
	hostName = "names.example"
)

// Bounds of the installation mrrc-mesh, as its sheet states them.
const (
	drainMs     = 2000
	graceS      = 6
	holdMaxMs   = 10000
	heartbeatMs = 870
	retryRatio  = 0.2
	budgetExtra = 58
)

// ports are the ports that each VM uses.
type ports struct{ daemon, caller, ready, heartbeat, app uint16 }

// fleet is a running fleet: daemons in separate processes, and stand-ins in this one.
type fleet struct {
	rec   *recorder
	store *storeFront
	vms   []*vm

	// number tells the fleets of a case apart, from 0.
	number int
	dir    string
	octet  byte
	// work is the mean time of a request at a server. It lies between half and one and a half of
	// that, or is distributed as the sheets say if spread is set.
	work   time.Duration
	spread float64
	// speeds has the speeds of the servers, in turn, relative to the usual one.
	speeds  []float64
	ports   ports
	version atomic.Uint64
	// services is the operator's table of services, and routes that of routes.
	services, routes map[string]any
}

// vm is a VM with a server and a daemon.
type vm struct {
	fleet   *fleet
	name    string
	service string
	zone    string
	number  int
	ip      netip.Addr
	server  *server
	config  string
	daemon  *exec.Cmd
	exited  chan struct{}
	client  *http.Client
	seq     atomic.Uint64
}

// startFleet starts the stand-ins, and the daemons with the command of the deploy file.
func startFleet(rec *recorder, number, registryServers, archiveServers int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, number: number, dir: dir, store: newStoreFront(rec), work: 100 * time.Millisecond, speeds: []float64{1}}
	f.routes = map[string]any{
		"r-history":  routeDoc("/history/", "safe", registry, 5000, 1500, 2),
		"r-lookup":   routeDoc("/lookup/", "safe", registry, 1000, 400, 2),
		"r-register": routeDoc("/register/", "unsafe", registry, 1200, 500, 1),
		"r-upload":   routeDoc("/upload/", "upload", archive, 1200, 500, 1),
		"r-check":    routeDoc("/check/", "safe", archive, 400, 120, 2),
	}
	f.services = map[string]any{
		registry: map[string]any{"health_path": "/health", "max_connections": 110, "sharded": true, "warm_s": 3.0},
		archive:  map[string]any{"health_path": "/health", "max_connections": 110},
	}
	if err := f.pickAddresses(registryServers + archiveServers); err != nil {
		return nil, err
	}
	if err := f.store.listen(); err != nil {
		return nil, err
	}
	f.publish()
	for i := range registryServers + archiveServers {
		service := registry
		if i >= registryServers {
			service = archive
		}
		v := &vm{
			fleet: f, name: fmt.Sprintf("vm-%d-%d", number, i), service: service, zone: fmt.Sprintf("mid-%c", 'a'+i%3), number: i, ip: f.ip(i),
			client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		}
		f.vms = append(f.vms, v)
		if v.server, err = startServer(v); err != nil {
			return f, err
		}
		if err := v.writeConfig(); err != nil {
			return f, err
		}
		if err := v.startDaemon(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// routeDoc returns a route of the operator's configuration.
func routeDoc(prefix, kind, service string, timeoutMs, objectiveMs, priority int) map[string]any {
	return map[string]any{
		"hostname": hostName, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs, "target_latency_ms": objectiveMs,
		"priority": priority, "service": service, "max_attempts": 2,
	}
}

// workTime returns the time of a request at a server. With a spread it is that of the site files: a
// lognormal one, three times as long for one in a hundred, and at most six times the mean, at the
// server's speed.
func (f *fleet) workTime(speed float64) time.Duration {
	mean := float64(f.work)
	if f.spread == 0 {
		return time.Duration((0.5 + rand.Float64()) * mean)
	}
	t := mean * math.Exp(f.spread*rand.NormFloat64()-f.spread*f.spread/2)
	if rand.Float64() < 0.01 {
		t *= 3
	}
	return time.Duration(min(t, 6*mean) / speed)
}

// ip returns the address of VM number i, counted from 0.
func (f *fleet) ip(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 60 + byte(f.number), f.octet, byte(i + 1)})
}

// pickAddresses chooses loopback addresses and ports that are free.
func (f *fleet) pickAddresses(count int) error {
	for try := range 100 {
		f.octet = byte((os.Getpid() + try*7) % 250)
		base := uint16(21000 + 10*(os.Getpid()%500))
		f.ports = ports{daemon: base, caller: base + 1, ready: base + 2, heartbeat: base + 3, app: base + 4}
		if f.addressesFree(count) {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

// addressesFree reports whether all addresses of the fleet can be listened on.
func (f *fleet) addressesFree(count int) bool {
	for i := range count {
		for _, port := range []uint16{f.ports.daemon, f.ports.caller, f.ports.ready, f.ports.heartbeat, f.ports.app} {
			l, err := net.Listen("tcp", netip.AddrPortFrom(f.ip(i), port).String())
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// publish writes a version of the operator's configuration to the store.
func (f *fleet) publish() {
	version := f.version.Add(3)
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": f.routes, "services": f.services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	f.store.inner.Put("keyed.op", "config", data)
	f.rec.note("operator writes config version %08x", version)
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, v := range f.vms {
		v.kill()
		if v.server != nil {
			v.server.stop()
		}
	}
	f.store.close()
	_ = os.RemoveAll(f.dir)
}

// addr returns the VM's address with a port.
func (v *vm) addr(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.ip, port) }

// writeConfig writes the daemon's settings, with the fields of the deployment's template.
func (v *vm) writeConfig() error {
	p := v.fleet.ports
	data, err := json.Marshal(map[string]any{
		"server": v.name, "service": v.service, "availability_zone": v.zone,
		"daemon_address": v.addr(p.daemon).String(), "caller_address": v.addr(p.caller).String(), "ready_address": v.addr(p.ready).String(),
		"heartbeat_address": v.addr(p.heartbeat).String(), "target_address": v.addr(p.app).String(), "store_address": v.fleet.store.addr.String(),
		"max_grant_ms": holdMaxMs, "drain_ms": drainMs, "heartbeat_interval_ms": heartbeatMs, "shutdown_limit_s": graceS,
		"retry_ratio": retryRatio, "retry_extra": budgetExtra,
	})
	if err != nil {
		return err
	}
	v.config = filepath.Join(v.fleet.dir, v.name+".json")
	return os.WriteFile(v.config, data, 0o600)
}

// startDaemon starts the daemon's process.
func (v *vm) startDaemon() error {
	cmd := exec.Command("target/siskinknot", "mesh")
	cmd.Env = append(os.Environ(), "SISKINKNOT_CONFIG="+v.config)
	if dir := os.Getenv("DAEMON_LOGS"); dir != "" {
		out, err := os.OpenFile(filepath.Join(dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = out.Close() }()
		cmd.Stdout, cmd.Stderr = out, out
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.daemon, v.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		v.fleet.rec.note("%s: daemon %d ended: %v", v.name, cmd.Process.Pid, err)
		close(exited)
	}()
	v.fleet.rec.note("%s (%s): daemon %d started", v.name, v.service, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the daemon.
func (v *vm) signal(sig syscall.Signal) {
	v.fleet.rec.note("%s: signal %v to daemon", v.name, sig)
	_ = v.daemon.Process.Signal(sig)
}

// kill kills the daemon and waits until it has ended.
func (v *vm) kill() {
	if v.daemon == nil {
		return
	}
	_ = v.daemon.Process.Kill()
	<-v.exited
}

// ready reports whether the daemon says that it is ready.
func (v *vm) ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.addr(v.fleet.ports.ready).String()+"/siskinknot/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := v.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitServing waits until all daemons are ready and the whole key space is served.
func (f *fleet) waitServing(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	missing := ""
	for ctx.Err() == nil {
		if missing = f.missing(ctx); missing == "" {
			f.rec.note("the fleet serves")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the fleet does not serve: %s", missing)
}

// missing says what does not serve yet.
func (f *fleet) missing(ctx context.Context) string {
	for _, v := range f.vms {
		if !v.ready(ctx) {
			return v.name + " is not ready"
		}
	}
	for key := 0; key < 65536; key += 1024 {
		if a := f.vms[0].send(ctx, request{method: http.MethodGet, path: "/lookup/a", key: key, timeout: time.Second}); a.status != http.StatusOK {
			return fmt.Sprintf("key %d: status %d", key, a.status)
		}
	}
	return ""
}

// request is a request of a client.
type request struct {
	method, path string
	// key is the request's key, or negative if it has none.
	key     int
	body    string
	timeout time.Duration
}

// answer is what a client got; status is 0 if it got no complete answer.
type answer struct {
	id, seal, body string
	status         int
	err            error
}

// send sends a request to the daemon on the VM, and returns the answer.
func (v *vm) send(ctx context.Context, r request) answer {
	a := answer{id: fmt.Sprintf("%s-%d", v.name, v.seq.Add(1))}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+v.addr(v.fleet.ports.caller).String()+r.path, strings.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	if r.key >= 0 {
		req.Header.Set("X-Shard-Key", strconv.Itoa(r.key))
	}
	v.fleet.rec.sent(a.id, r.method)
	defer func() { v.fleet.rec.answered(r, a) }()
	resp, err := v.client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body, a.seal = resp.StatusCode, string(body), resp.Header.Get("X-Response-Seal")
	return a
}

// storeFront is the platform's store: the project's stand-in, behind a handler that decides
// which calls are rejected, and which appends get no answer and are done late.
type storeFront struct {
	rec    *recorder
	inner  *metastore.Store
	addr   netip.AddrPort
	server *http.Server

	mu sync.Mutex
	// decide returns the fate of a call; nil for no faults.
	decide func(caller netip.Addr, r *http.Request) fate
}

// fate is what becomes of a call to the store.
type fate struct {
	// reject is the status with which the call is rejected, and 0 if it is not.
	reject int
	// lateBy makes the store do the call after that time and never answer.
	lateBy time.Duration
	// reset makes the store reset the connection instead.
	reset bool
}

// newStoreFront returns a store without faults.
func newStoreFront(rec *recorder) *storeFront {
	return &storeFront{rec: rec, inner: metastore.New(1)}
}

// listen starts to serve.
func (s *storeFront) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.addr = l.Addr().(*net.TCPAddr).AddrPort()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// close stops serving.
func (s *storeFront) close() {
	if s.server != nil {
		_ = s.server.Close()
	}
	s.inner.Close()
}

// setFaults replaces the decision about calls.
func (s *storeFront) setFaults(decide func(caller netip.Addr, r *http.Request) fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decide = decide
}

// ServeHTTP implements http.Handler.
func (s *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	caller, _ := netip.ParseAddrPort(r.RemoteAddr)
	s.mu.Lock()
	decide := s.decide
	s.mu.Unlock()
	var f fate
	if decide != nil {
		f = decide(caller.Addr(), r)
	}
	time.Sleep(4 * time.Millisecond)
	switch {
	case f.reject != 0:
		w.WriteHeader(f.reject)
	case f.reset:
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	case f.lateBy > 0:
		body, _ := io.ReadAll(r.Body)
		late := r.Clone(context.Background())
		late.Body = io.NopCloser(strings.NewReader(string(body)))
		time.AfterFunc(f.lateBy, func() {
			out := &nullWriter{header: http.Header{}}
			s.inner.Handler().ServeHTTP(out, late)
			s.rec.note("append at=%s of %v is done now, status %d", r.URL.Query().Get("at"), caller.Addr(), out.status)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		s.inner.Handler().ServeHTTP(w, r)
	}
}

// nullWriter is a response that nobody receives.
type nullWriter struct {
	header http.Header
	status int
}

func (n *nullWriter) Header() http.Header         { return n.header }
func (n *nullWriter) WriteHeader(status int)      { n.status = status }
func (n *nullWriter) Write(p []byte) (int, error) { return len(p), nil }
