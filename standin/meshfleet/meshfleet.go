// Package meshfleet runs daemons of the mesh as separate processes on loopback,
// over the stand-ins of the metadata store and of the servers.
//
// The VM number i of the nth fleet of a process has the address 127.p.n.i, where p
// follows from the process, and its daemon listens on the same ports as the
// others. The stand-ins run in the calling process.
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
	"sync/atomic"
	"syscall"
	"time"

	"siskinknot/standin/keyserver"
	"siskinknot/standin/metastore"
	"siskinknot/standin/processes"
)

// Names of the services and the host, as the operator's document has them.
const (
	Registry = "registry"
	Archive  = "archive"
	host     = "names.example"
)

// Options describe a fleet.
type Options struct {
	// Bin is the directory of the program siskinknot.
	Bin  string
	Seed uint64
	// Registry and Archive are the numbers of servers; the first service is
	// divided by key.
	Registry, Archive int
	// Work is the mean time of a request at a server.
	Work time.Duration
	// Logs receives the daemons' log lines; nil discards them.
	Logs io.Writer
}

// Fleet is a running fleet.
type Fleet struct {
	Store  *metastore.Store
	Record *keyserver.Record
	VMs    []*VM

	opts      Options
	dir       string
	storeAddr netip.AddrPort
	ports     ports
	number    byte
	version   atomic.Uint64
}

// fleets counts the fleets of this process.
var fleets atomic.Uint32

// ports are those of every VM.
type ports struct{ daemon, caller, ready, heartbeat, metrics, app uint16 }

// VM is a VM with a server and a daemon.
type VM struct {
	Service string
	Server  *keyserver.Server
	ip      netip.Addr
	fleet   *Fleet
	config  string
	daemon  *exec.Cmd
	exited  chan struct{}
	client  *http.Client
	sent    atomic.Uint64
	number  int
}

// Start starts a fleet. On error nothing is left running.
func Start(opts Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "siskinknot-mesh-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: metastore.New(opts.Seed), Record: keyserver.NewRecord(), opts: opts, dir: dir}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start starts the stand-ins and the daemons.
func (f *Fleet) start() error {
	var err error
	if f.storeAddr, err = f.Store.Listen("127.0.0.1:0"); err != nil {
		return err
	}
	f.number = byte(fleets.Add(1))
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

// Close ends all processes that the fleet started.
func (f *Fleet) Close() {
	for _, vm := range f.VMs {
		vm.Kill()
		if vm.Server != nil {
			vm.Server.Kill()
		}
	}
	f.Store.Close()
	_ = os.RemoveAll(f.dir)
}

// IP returns the address of VM number i.
func (f *Fleet) IP(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(10 + os.Getpid()%200), f.number, byte(i + 1)})
}

// Publish writes the operator's document, with further routes by path prefix.
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
	all := map[string]any{}
	add := func(prefix, kind, service string, priority int) {
		all["r-"+strings.Trim(prefix, "/")] = map[string]any{
			"hostname": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": 2000, "target_latency_ms": 1000,
			"priority": priority, "service": service, "max_attempts": 2,
		}
	}
	add("/lookup/", "safe", Registry, 2)
	add("/register/", "unsafe", Registry, 1)
	add("/upload/", "upload", Archive, 1)
	for prefix, service := range routes {
		add(prefix, "safe", service, 2)
	}
	doc["routes"] = all
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	f.Store.Put("keyed.op", "config", data)
	return version
}

// WaitServing waits until every daemon is ready and every key is served.
func (f *Fleet) WaitServing(ctx context.Context) error {
	return processes.Until(ctx, func() string {
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

// start starts the VM's server and daemon.
func (vm *VM) start() error {
	if err := vm.StartServer(); err != nil {
		return err
	}
	at := func(port uint16) string { return netip.AddrPortFrom(vm.ip, port).String() }
	p := vm.fleet.ports
	data, err := json.Marshal(map[string]any{
		"server": "vm-" + strconv.Itoa(vm.number), "service": vm.Service, "availability_zone": fmt.Sprintf("zone-%c", 'a'+vm.number%3),
		"daemon_address": at(p.daemon), "caller_address": at(p.caller), "ready_address": at(p.ready),
		"heartbeat_address": at(p.heartbeat), "metrics_address": at(p.metrics), "target_address": at(p.app),
		"store_address": vm.fleet.storeAddr.String(), "retry_extra": 50, "shutdown_limit_s": 6,
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

// StartServer starts a new life of the VM's server.
func (vm *VM) StartServer() error {
	p := vm.fleet.ports
	server, err := keyserver.New(keyserver.Config{
		Address: netip.AddrPortFrom(vm.ip, p.app),
		Daemon:  netip.AddrPortFrom(vm.ip, p.heartbeat),
		Service: vm.Service,
		Slots:   8,
		Queue:   16,
		Divided: vm.Service == Registry,
		Work:    vm.fleet.opts.Work,
		Beat:    300 * time.Millisecond,
		Record:  vm.fleet.Record,
	})
	vm.Server = server
	return err
}

// StartDaemon starts the VM's daemon.
func (vm *VM) StartDaemon() error {
	cmd := exec.Command(filepath.Join(vm.fleet.opts.Bin, "siskinknot"), "mesh", "-config", vm.config)
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

// Pid returns the process id of the VM's daemon, which has been started.
func (vm *VM) Pid() int { return vm.daemon.Process.Pid }

// Signal sends a signal to the VM's daemon.
func (vm *VM) Signal(sig syscall.Signal) {
	if vm.daemon != nil {
		_ = vm.daemon.Process.Signal(sig)
	}
}

// Kill ends the VM's daemon at once.
func (vm *VM) Kill() {
	vm.Signal(syscall.SIGKILL)
	vm.Wait()
}

// Wait waits until the VM's daemon has ended.
func (vm *VM) Wait() {
	if vm.exited != nil {
		<-vm.exited
	}
}

// Ready asks the daemon whether it takes callers.
func (vm *VM) Ready(ctx context.Context) bool {
	url := fmt.Sprintf("http://%s/siskinknot/ready", netip.AddrPortFrom(vm.ip, vm.fleet.ports.ready))
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
	Key          string
	Body         string
	Deadline     time.Duration
}

// Lookup returns a request that may be repeated.
func Lookup(key uint16) Request {
	return Request{Method: http.MethodGet, Path: "/lookup/a", Key: strconv.Itoa(int(key)), Deadline: 2 * time.Second}
}

// Register returns a request that may run at most once.
func Register(key uint16) Request {
	return Request{Method: http.MethodPost, Path: "/register/a", Key: strconv.Itoa(int(key)), Body: "name", Deadline: 2 * time.Second}
}

// Upload returns a request with a body of the given size.
func Upload(size int) Request {
	return Request{Method: http.MethodPost, Path: "/upload/a", Body: strings.Repeat("x", size), Deadline: 2 * time.Second}
}

// Answer is what a caller got; Status 0 is no answer.
type Answer struct {
	ID         string
	Status     int
	Body       string
	Seal       string
	RetryAfter string
}

// Whole reports whether a is the whole answer of a server to its own request.
func (a Answer) Whole() bool {
	return a.Status == http.StatusOK && a.Body == a.ID && a.Seal == "seal-"+a.ID
}

// Send sends a request to the VM's daemon.
func (vm *VM) Send(ctx context.Context, r Request) Answer {
	a := Answer{ID: fmt.Sprintf("vm%d-%d", vm.number, vm.sent.Add(1))}
	url := fmt.Sprintf("http://%s%s", netip.AddrPortFrom(vm.ip, vm.fleet.ports.caller), r.Path)
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, url, strings.NewReader(r.Body))
	if err != nil {
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	if r.Key != "" {
		req.Header.Set("X-Shard-Key", r.Key)
	}
	resp, err := vm.client.Do(req)
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
