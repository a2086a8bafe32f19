// Package meshfleet runs a fleet of mesh daemons on loopback for tests. The daemons
// are separate processes. The metadata store and the servers are the stand-ins of
// the packages metastore and keyserver, and run in the calling process.
//
// The fleets of a process are numbered from 1 in the order in which they start,
// and the VMs of a fleet from 0. VM number i of fleet number n has the address
// 127.p.n.(i+1), where p is derived from the id of the calling process. All VMs
// use the same ports.
//
// # Usage
//
//	fleet, err := meshfleet.Start(meshfleet.Options{Bin: "bin", Registry: 4, Archive: 2})
//	defer fleet.Close()
//	err = fleet.WaitServing(ctx)
//	answer := fleet.VMs[0].Send(ctx, meshfleet.Lookup(4711))
//	fleet.VMs[1].Kill()
package meshfleet

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"siskinknot/standin/keyserver"
	"siskinknot/standin/metastore"
	"siskinknot/standin/processes"
)

// Names of the services and of the host in the operator's configuration document.
const (
	Registry = "registry"
	Archive  = "archive"
	host     = "names.example"
)

// Options are the options of a fleet.
type Options struct {
	// Bin is the directory of the program siskinknot.
	Bin string
	// Seed is the seed of the metadata store's random faults.
	Seed uint64
	// Registry and Archive are the numbers of servers of the two services. The keys
	// of the service registry are divided among its servers.
	Registry, Archive int
	// GrantsInHeartbeats makes the servers of the service registry take their grants
	// from the answers to their heartbeats.
	GrantsInHeartbeats bool
	// MeanServiceTime is the mean service time of a request at a server.
	MeanServiceTime time.Duration
	// RouteTimeout is the timeout of the routes; 0 stands for 2 s.
	RouteTimeout time.Duration
	// ColdPerSecond is the rate that cold servers of both services sustain; 0 for no limit.
	ColdPerSecond float64
	// DeadlyPath is the path of the requests that crash the server that runs them; empty
	// if there is none. A crashed server is started again after a second.
	DeadlyPath string
	// MaxDescriptors limits the file descriptors of each daemon; 0 for no limit.
	MaxDescriptors int
	// Logs receives the daemons' log lines; nil discards them.
	Logs io.Writer
}

// Fleet is a running fleet.
type Fleet struct {
	// Store is the metadata store that all daemons use.
	Store *metastore.Store
	// History receives the runs and the grants of all servers.
	History *keyserver.History
	// VMs holds the VMs of the service registry, followed by those of the service
	// archive.
	VMs []*VM

	opts        Options
	dir         string
	storeAddr   netip.AddrPort
	ports       ports
	fleetNumber byte
	version     atomic.Uint64
	// restarts tracks the crashed servers that are about to be started again, and closing
	// is closed when they are not to be any more.
	restarts sync.WaitGroup
	closing  chan struct{}
}

// restartDelay is how long after a crash a server is started again.
const restartDelay = time.Second

// fleetCount is the number of fleets that this process has started.
var fleetCount atomic.Uint32

// ports are the ports that each VM uses.
type ports struct{ daemon, caller, ready, heartbeat, metrics, app uint16 }

// VM is a VM with a server and a daemon.
type VM struct {
	// Service is the name of the server's service.
	Service string
	// Server is the server that was started last.
	Server       *keyserver.Server
	ip           netip.Addr
	fleet        *Fleet
	config       string
	daemon       *exec.Cmd
	exited       chan struct{}
	client       *http.Client
	requestCount atomic.Uint64
	number       int
}

// Start starts a fleet. If it returns an error, it has stopped everything that it
// started.
func Start(opts Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "siskinknot-mesh-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: metastore.New(opts.Seed), History: keyserver.NewHistory(), opts: opts, dir: dir, closing: make(chan struct{})}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start starts the metadata store, the servers and the daemons.
func (f *Fleet) start() error {
	var err error
	if f.storeAddr, err = f.Store.Listen("127.0.0.1:0"); err != nil {
		return err
	}
	f.fleetNumber = byte(fleetCount.Add(1))
	f.ports = ports{daemon: 7400, caller: 7401, ready: 7402, heartbeat: 7403, metrics: 7404, app: 8080}
	f.Publish(nil)
	for i := range f.opts.Registry + f.opts.Archive {
		service := Registry
		if i >= f.opts.Registry {
			service = Archive
		}
		vm := &VM{
			Service: service,
			ip:      f.IP(i),
			fleet:   f,
			client:  &http.Client{Timeout: 10 * time.Second},
			number:  i,
		}
		f.VMs = append(f.VMs, vm)
		if err := vm.start(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills the daemons, stops the servers and the metadata store, and removes
// the fleet's temporary directory.
func (f *Fleet) Close() {
	close(f.closing)
	f.restarts.Wait()
	for _, vm := range f.VMs {
		vm.Kill()
		if vm.Server != nil {
			vm.Server.Kill()
		}
	}
	f.Store.Close()
	_ = os.RemoveAll(f.dir)
}

// IP returns the IP address of VM number i, counted from 0.
func (f *Fleet) IP(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(10 + os.Getpid()%200), f.fleetNumber, byte(i + 1)})
}

// Publish writes a new version of the operator's configuration document to the
// metadata store and returns the version. The map routes adds routes: its keys are
// path prefixes and its values names of services.
func (f *Fleet) Publish(routes map[string]string) uint64 {
	version := f.version.Add(2)
	doc := map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"services": map[string]any{
			Registry: map[string]any{"health_path": "/health", "max_connections": 100, "sharded": true, "warm_s": 1.0},
			Archive:  map[string]any{"health_path": "/health", "max_connections": 100},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if f.opts.ColdPerSecond > 0 {
		for _, service := range doc["services"].(map[string]any) {
			service := service.(map[string]any)
			service["cold_start_s"], service["cold_per_s"] = 20, f.opts.ColdPerSecond
		}
	}
	routeDocs := map[string]any{}
	timeout := cmp.Or(f.opts.RouteTimeout, 2*time.Second)
	addRoute := func(prefix, kind, service string, priority int) {
		routeDocs["r-"+strings.Trim(prefix, "/")] = map[string]any{
			"hostname": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 1000,
			"priority": priority, "service": service, "max_attempts": 2,
		}
	}
	addRoute("/lookup/", "safe", Registry, 2)
	addRoute("/register/", "unsafe", Registry, 1)
	addRoute("/upload/", "upload", Archive, 1)
	for prefix, service := range routes {
		addRoute(prefix, "safe", service, 2)
	}
	doc["routes"] = routeDocs
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	f.Store.Put("keyed.op", "config", data)
	return version
}

// WaitServing waits until every daemon is ready and the first daemon answers a
// lookup of every 2048th key of the key space. It returns an error if ctx ends
// first.
func (f *Fleet) WaitServing(ctx context.Context) error {
	return processes.WaitFor(ctx, func() string {
		for _, vm := range f.VMs {
			if !vm.Ready(ctx) {
				return fmt.Sprintf("daemon %s is not ready", vm.ip)
			}
		}
		for key := 0; key < 65536; key += 2048 {
			if a := f.VMs[0].Send(ctx, Lookup(uint16(key))); a.Status != http.StatusOK {
				return fmt.Sprintf("key %d: status %d", key, a.Status)
			}
		}
		return ""
	})
}

// start starts the VM's server, writes the daemon's configuration file and starts
// the daemon.
func (vm *VM) start() error {
	if err := vm.StartServer(); err != nil {
		return err
	}
	addressAt := func(port uint16) string { return netip.AddrPortFrom(vm.ip, port).String() }
	p := vm.fleet.ports
	data, err := json.Marshal(map[string]any{
		"server": "vm-" + strconv.Itoa(vm.number), "service": vm.Service, "availability_zone": fmt.Sprintf("zone-%c", 'a'+vm.number%3),
		"daemon_address": addressAt(p.daemon), "caller_address": addressAt(p.caller), "ready_address": addressAt(p.ready),
		"heartbeat_address": addressAt(p.heartbeat), "metrics_address": addressAt(p.metrics), "target_address": addressAt(p.app),
		"store_address": vm.fleet.storeAddr.String(), "retry_extra": 50, "shutdown_limit_s": 6, "heartbeat_interval_ms": 300,
	})
	if err != nil {
		return err
	}
	vm.config = filepath.Join(vm.fleet.dir, fmt.Sprintf("vm-%d.json", vm.number))
	if err := os.WriteFile(vm.config, data, 0o600); err != nil {
		return err
	}
	return vm.StartDaemon()
}

// StartServer starts a new server on the VM, with a new instance id. It returns an
// error if the server cannot listen on its address.
func (vm *VM) StartServer() error { return vm.startServer(0) }

// ReplaceServer kills the VM's server and starts a new one at once, whose first heartbeat
// follows after the given time. It returns an error if the server cannot listen on its
// address.
func (vm *VM) ReplaceServer(firstHeartbeatAfter time.Duration) error {
	vm.Server.Kill()
	return vm.startServer(firstHeartbeatAfter)
}

// startServer starts a new server on the VM, whose first heartbeat follows after the given
// time.
func (vm *VM) startServer(firstHeartbeatAfter time.Duration) error {
	p := vm.fleet.ports
	server, err := keyserver.New(keyserver.Config{
		Address: netip.AddrPortFrom(vm.ip, p.app),
		Daemon:  netip.AddrPortFrom(vm.ip, p.heartbeat),
		Service: vm.Service,
		Slots:   8,
		Queue:   16,
		Divided: vm.Service == Registry,

		GrantsInHeartbeats:  vm.Service == Registry && vm.fleet.opts.GrantsInHeartbeats,
		MeanServiceTime:     vm.fleet.opts.MeanServiceTime,
		HeartbeatInterval:   300 * time.Millisecond,
		FirstHeartbeatAfter: firstHeartbeatAfter,
		History:             vm.fleet.History,
		DeadlyPath:          vm.fleet.opts.DeadlyPath,
		OnCrash:             vm.restartServer,
	})
	vm.Server = server
	return err
}

// restartServer starts a new server after restartDelay, unless the fleet is closed before.
func (vm *VM) restartServer() {
	vm.fleet.restarts.Add(1)
	defer vm.fleet.restarts.Done()
	select {
	case <-vm.fleet.closing:
		return
	case <-time.After(restartDelay):
	}
	if err := vm.StartServer(); err != nil {
		panic(fmt.Sprintf("start the server of VM %d again: %v", vm.number, err))
	}
}

// StartDaemon starts the process of the VM's daemon, without waiting until it is
// ready.
func (vm *VM) StartDaemon() error {
	args := []string{filepath.Join(vm.fleet.opts.Bin, "siskinknot"), "mesh", "-config", vm.config}
	if n := vm.fleet.opts.MaxDescriptors; n > 0 {
		args = append([]string{"/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(n)}, args...)
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = vm.fleet.opts.Logs, vm.fleet.opts.Logs
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	vm.daemon, vm.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// TruncateConfig cuts the configuration file of the VM's daemon off, as while it is being
// written, and returns a function that completes it.
func (vm *VM) TruncateConfig() (complete func() error, err error) {
	data, err := os.ReadFile(vm.config)
	if err != nil {
		return nil, err
	}
	write := func(data []byte) error { return os.WriteFile(vm.config, data, 0o600) }
	return func() error { return write(data) }, write(data[:len(data)/2])
}

// DaemonAddress returns the address that names the VM's daemon as a member.
func (vm *VM) DaemonAddress() netip.AddrPort {
	return netip.AddrPortFrom(vm.ip, vm.fleet.ports.daemon)
}

// CallerAddress returns the address at which the VM's daemon takes requests of callers.
func (vm *VM) CallerAddress() netip.AddrPort {
	return netip.AddrPortFrom(vm.ip, vm.fleet.ports.caller)
}

// HeartbeatAddress returns the address at which the VM's daemon takes heartbeats of its server.
func (vm *VM) HeartbeatAddress() netip.AddrPort {
	return netip.AddrPortFrom(vm.ip, vm.fleet.ports.heartbeat)
}

// ReadyAddress returns the address at which the VM's daemon answers readiness checks.
func (vm *VM) ReadyAddress() netip.AddrPort {
	return netip.AddrPortFrom(vm.ip, vm.fleet.ports.ready)
}

// MetricsAddress returns the address at which the VM's daemon serves its metrics.
func (vm *VM) MetricsAddress() netip.AddrPort {
	return netip.AddrPortFrom(vm.ip, vm.fleet.ports.metrics)
}

// Pid returns the process id of the VM's daemon. The daemon must have been started.
func (vm *VM) Pid() int { return vm.daemon.Process.Pid }

// Signal sends the signal sig to the VM's daemon, if it has been started.
func (vm *VM) Signal(sig syscall.Signal) {
	if vm.daemon != nil {
		_ = vm.daemon.Process.Signal(sig)
	}
}

// Kill kills the VM's daemon with SIGKILL and waits until its process has ended.
func (vm *VM) Kill() {
	vm.Signal(syscall.SIGKILL)
	vm.Wait()
}

// Wait waits until the process of the VM's daemon has ended.
func (vm *VM) Wait() {
	if vm.exited != nil {
		<-vm.exited
	}
}

// Ended reports whether the process of the VM's daemon has ended.
func (vm *VM) Ended() bool {
	select {
	case <-vm.exited:
		return true
	default:
		return false
	}
}

// Ready reports whether the VM's daemon says that it accepts requests from callers.
func (vm *VM) Ready(ctx context.Context) bool {
	url := fmt.Sprintf("http://%s/siskinknot/ready", vm.ReadyAddress())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := vm.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Request is a request of a caller.
type Request struct {
	Method, Path string
	// Key is the request's key in decimal, or empty if the request has none.
	Key  string
	Body string
	// Deadline is the time allowed for the answer, counted from the sending of the
	// request.
	Deadline time.Duration
}

// Lookup returns an idempotent request for key: a GET, which may run more than once.
func Lookup(key uint16) Request {
	return Request{Method: http.MethodGet, Path: "/lookup/a", Key: strconv.Itoa(int(key)), Deadline: 2 * time.Second}
}

// Register returns a non-idempotent request for key: a POST, which may run at most
// once.
func Register(key uint16) Request {
	return Request{Method: http.MethodPost, Path: "/register/a", Key: strconv.Itoa(int(key)), Body: "name", Deadline: 2 * time.Second}
}

// Upload returns a request without a key that has a body of size bytes.
func Upload(size int) Request {
	return Request{Method: http.MethodPost, Path: "/upload/a", Body: strings.Repeat("x", size), Deadline: 2 * time.Second}
}

// Answer is the answer to a caller's request. If Status is 0, the caller received
// no complete answer.
type Answer struct {
	// ID is the id of the request.
	ID     string
	Status int
	Body   string
	// Seal and RetryAfter are the values of the headers X-Response-Seal, which a
	// server derives from the request id, and Retry-After.
	Seal       string
	RetryAfter string
}

// Complete reports whether a is the complete answer of a server to the request with
// the same id: its body and seal must match the id.
func (a Answer) Complete() bool {
	return a.Status == http.StatusOK && a.Body == a.ID && a.Seal == "seal-"+a.ID
}

// NewRequest returns the HTTP request of r to the VM's daemon, and its ID.
func (vm *VM) NewRequest(r Request) (req *http.Request, id string) {
	id = fmt.Sprintf("vm%d-%d", vm.number, vm.requestCount.Add(1))
	url := fmt.Sprintf("http://%s%s", vm.CallerAddress(), r.Path)
	req, err := http.NewRequest(r.Method, url, strings.NewReader(r.Body))
	if err != nil {
		panic(fmt.Sprintf("request of %+v: %v", r, err))
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	if r.Key != "" {
		req.Header.Set("X-Shard-Key", r.Key)
	}
	return req, id
}

// Send sends r to the VM's daemon and returns the answer.
func (vm *VM) Send(ctx context.Context, r Request) Answer {
	req, id := vm.NewRequest(r)
	a := Answer{ID: id}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	resp, err := vm.client.Do(req.WithContext(ctx))
	if err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return a
	}
	a.Status, a.Body = resp.StatusCode, string(body)
	a.Seal, a.RetryAfter = resp.Header.Get("X-Response-Seal"), resp.Header.Get("Retry-After")
	return a
}
