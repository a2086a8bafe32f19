package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	begin time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{out: f, begin: time.Now()}, err
}

// log writes a line to the record and to standard output.
func (r *recorder) log(format string, args ...any) {
	line := r.line(format, args...)
	fmt.Print(line)
}

// trace writes a line to the record.
func (r *recorder) trace(format string, args ...any) { _ = r.line(format, args...) }

func (r *recorder) line(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.out.WriteString(line)
	return line
}

// routeSpec is a route of the operator's config.
type routeSpec struct {
	name, prefix, kind, service string
	timeoutMs, aimMs, priority  int
	maxAttempts                 int
}

// machine is a machine with a server and a daemon.
type machine struct {
	name, ip, service, zone string
	server                  *server
	settings                string
	cmd                     *exec.Cmd
	exited                  chan struct{}
	startedAt               time.Time
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	root, dir string
	rec       *recorder
	hist      *history
	store     *store
	storeAddr string
	net       [2]byte
	ports     map[string]int
	machines  []*machine
	run       []string
	template  string
	host      string
	version   int
	routes    []routeSpec
	slots     int
	work      time.Duration
	requests  atomic.Int64
	sharded   map[string]bool
	clients   *http.Client
	closing   sync.Mutex
	closed    bool
}

// newFleet prepares a fleet; root is the repository.
func newFleet(root string, rec *recorder) (*fleet, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, rec: rec, hist: &history{rec: rec}, ports: map[string]int{}, host: "names.example", slots: 12, work: 100 * time.Millisecond}
	f.sharded = map[string]bool{"registry": true}
	find := func(field string) string {
		m := regexp.MustCompile(`(?m)^` + field + `\s*=\s*"([^"]*)"`).FindSubmatch(deploy)
		if m == nil {
			return ""
		}
		return string(m[1])
	}
	f.run = strings.Fields(find("run"))
	template, err := os.ReadFile(filepath.Join(root, find("template")))
	if err != nil {
		return nil, err
	}
	f.template = string(template)
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	f.net = [2]byte{byte(20 + os.Getpid()%200), byte(1 + rand.Intn(200))}
	for _, name := range []string{"inbound", "outbound", "ready", "control", "app", "metrics"} {
		f.ports[name] = freePort(f.ip(0))
	}
	f.ports["metrics"] = 9464 // as in the template
	f.clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	f.store = newStore(rec)
	f.storeAddr = fmt.Sprintf("%s:%d", f.ip(240), freePort(f.ip(240)))
	return f, f.store.listen(f.storeAddr)
}

func (f *fleet) ip(i int) string { return fmt.Sprintf("127.%d.%d.%d", f.net[0], f.net[1], i+1) }

// freePort returns a port that is free on ip and was not returned before. It is below the ports that
// the kernel gives to outgoing connections.
func freePort(ip string) int {
	for {
		port := 20000 + rand.Intn(12000)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		_ = l.Close()
		if _, taken := givenPorts.LoadOrStore(port, true); !taken {
			return port
		}
	}
}

var givenPorts sync.Map

// publish writes the next version of the config.
func (f *fleet) publish(routes ...routeSpec) {
	f.version += 3
	f.routes = routes
	docs := map[string]any{}
	services := map[string]any{}
	for _, r := range routes {
		docs[r.name] = map[string]any{
			"hostname": f.host, "path_prefix": r.prefix, "route_type": r.kind, "timeout_ms": r.timeoutMs, "target_latency_ms": r.aimMs,
			"priority": r.priority, "service": r.service, "max_attempts": r.maxAttempts,
		}
	}
	for _, name := range []string{"registry", "archive"} {
		s := map[string]any{"health_path": "/health", "max_connections": 110}
		if f.sharded[name] {
			s["sharded"], s["warm_s"] = true, 5.0
		}
		services[name] = s
	}
	doc, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", f.version), "routes": docs, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 16 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
	})
	f.store.put("keyed.op", "config", doc)
	f.rec.log("operator: config %08x", f.version)
}

// add starts a machine with a server of service.
func (f *fleet) add(service string) (*machine, error) {
	i := len(f.machines)
	m := &machine{name: fmt.Sprintf("%s-%d", service, i), ip: f.ip(i), service: service, zone: string(rune('a' + i%3))}
	f.machines = append(f.machines, m)
	at := func(port string) string { return fmt.Sprintf("%s:%d", m.ip, f.ports[port]) }
	m.server = &server{
		name: m.name, service: service, addr: at("app"), control: at("control"), zone: m.zone,
		slots: f.slots, queue: 4 * f.slots, sharded: f.sharded[service], work: f.work, hist: f.hist, rec: f.rec,
	}
	if err := m.server.start(); err != nil {
		return nil, err
	}
	f.rec.log("%s: server %s starts at %s", m.name, m.server.id, m.server.addr)
	values := map[string]any{
		"node_name": m.name, "service": service, "zone": m.zone, "ip": m.ip, "app_addr": at("app"),
		"listen.inbound": at("inbound"), "listen.outbound": at("outbound"), "listen.ready": at("ready"), "listen.control": at("control"),
		"platform.address": f.storeAddr, "heartbeat_ms": checkInInterval.Milliseconds(),
		"bounds.hold_max_ms": 10000, "bounds.drain_ms": 2000, "bounds.grace_s": 6, "bounds.retry_budget_ratio": 0.2, "bounds.budget_extra": 58,
	}
	settings := regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`).ReplaceAllStringFunc(f.template, func(p string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(p, "{}"), "|json")
		value, ok := values[name]
		if !ok {
			panic("no value for " + name + " of the template")
		}
		if !asJSON {
			return fmt.Sprint(value)
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
	m.settings = filepath.Join(f.dir, m.name+".json")
	if err := os.WriteFile(m.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	return m, f.startDaemon(m)
}

// startDaemon starts the daemon of m with the command of the deploy file.
func (f *fleet) startDaemon(m *machine) error {
	logs, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	cmd := exec.Command(filepath.Join(f.root, f.run[0]), f.run[1:]...)
	cmd.Dir = f.root
	cmd.Env = []string{"SISKINKNOT_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited, m.startedAt = cmd, make(chan struct{}), time.Now()
	exited := m.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	f.rec.log("%s: daemon starts", m.name)
	return nil
}

// kill ends the daemon of m with SIGKILL.
func (f *fleet) kill(m *machine) {
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.exited
	f.rec.log("%s: daemon is killed", m.name)
}

// restart kills the daemon of m and starts it again after a delay, as the platform does.
func (f *fleet) restart(m *machine, delay time.Duration) {
	f.kill(m)
	time.Sleep(delay)
	if err := f.startDaemon(m); err != nil {
		f.rec.log("%s: daemon does not start: %v", m.name, err)
	}
}

// close ends all that the fleet started.
func (f *fleet) close() {
	f.closing.Lock()
	defer f.closing.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	for _, m := range f.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
		if m.server != nil && m.server.http != nil {
			m.server.end()
		}
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("daemon logs:", f.dir)
	}
}

func (f *fleet) ready(m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/siskinknot/ready", m.ip, f.ports["ready"]), nil)
	resp, err := f.clients.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is what a client got.
type answer struct {
	id     string
	status int // 0 if there was no complete answer
	whole  bool
}

// send sends a request to the daemon of m, as a client on that machine does.
func (f *fleet) send(m *machine, r routeSpec, key int, deadlineMs int, body string) answer {
	a := answer{id: fmt.Sprintf("%016x", uint64(f.requests.Add(1))<<20|uint64(rand.Intn(1<<20)))}
	method := http.MethodGet
	if r.kind != "safe" {
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(deadlineMs)*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%sthing", m.ip, f.ports["outbound"], r.prefix), strings.NewReader(body))
	req.Host = f.host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlineMs))
	if f.sharded[r.service] {
		req.Header.Set("X-Shard-Key", fmt.Sprint(key))
	}
	f.rec.trace("client at %s: sends %s %s, key %d", m.name, a.id, r.name, key)
	resp, err := f.clients.Do(req)
	if err != nil {
		f.rec.trace("client at %s: %s no answer", m.name, a.id)
		return a
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err == nil {
		a.status = resp.StatusCode
		a.whole = a.status == http.StatusOK && resp.Header.Get("X-Response-Seal") == seal(a.id) && strings.HasPrefix(string(data), "answer to "+a.id)
	}
	f.rec.trace("client at %s: %s status %d", m.name, a.id, a.status)
	return a
}

// waitServing waits until all daemons are ready and each route is served.
func (f *fleet) waitServing(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
		ok := true
		for _, m := range f.machines {
			ok = ok && f.ready(m)
		}
		for _, r := range f.routes {
			for key := 0; ok && key < 65536; key += 4096 {
				ok = f.send(f.machines[0], r, key, 2000, "").whole
			}
		}
		if ok {
			f.rec.log("the fleet serves")
			return nil
		}
	}
	return fmt.Errorf("the fleet does not serve after %v", limit)
}

// load sends requests at a rate until stop is closed; each tells the machine, route and key.
func (f *fleet) load(perSecond float64, stop <-chan struct{}, wg *sync.WaitGroup, pick func() (*machine, routeSpec, int), deadlineMs int, while func() bool, done func(answer)) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			if while != nil && !while() {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				m, r, key := pick()
				a := f.send(m, r, key, deadlineMs, "")
				if done != nil {
					done(a)
				}
			}()
		}
	}()
}

// replaceServer starts another server beside the daemon of m.
func (f *fleet) replaceServer(m *machine) error {
	old := m.server
	m.server = &server{
		name: old.name + "'", service: old.service, addr: old.addr, control: old.control, zone: old.zone,
		slots: old.slots, queue: old.queue, sharded: old.sharded, work: old.work, hist: f.hist, rec: f.rec,
	}
	f.rec.log("%s: starts", m.server.name)
	return m.server.start()
}
