// Package processes runs a complete fleet as separate processes on loopback: a
// stand-in for the log, targets, and a daemon beside each target. Tests,
// measurements and the demonstration of "make run" use it.
//
// VM number i, counted from 1, has the address 127.0.1.i. With Options.Proxies,
// connections to each daemon and to the log pass through a fault proxy. A rule for
// the address of a VM then applies to the connections that the VM opens.
//
// # Usage
//
//	fleet, err := processes.Start(processes.Options{Bin: "bin", Servers: servers})
//	defer fleet.Close()
//	err = fleet.WaitReady(ctx)
//	fleet.Servers[0].Daemon.Kill()
package processes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"siskinknot/core/record"
	"siskinknot/core/settings"
	"siskinknot/io/member"
	"siskinknot/io/operator"
	"siskinknot/standin/faultproxy"
	"siskinknot/standin/logservice"
	"siskinknot/standin/targetserver"
)

// startTimeout limits the start of one process.
const startTimeout = 20 * time.Second

// ServerSpec describes a VM with its target.
type ServerSpec struct {
	// Name is the name of the server, and Service that of its service.
	Name    string
	Service string
	// Zone is the availability zone.
	Zone string
	// TargetArgs are further arguments of the target stand-in.
	TargetArgs []string
}

// Options describe a fleet.
type Options struct {
	// Bin is the directory of the programs siskinknot and standin.
	Bin     string
	Servers []ServerSpec
	// Settings is the settings tree to publish at the start.
	Settings json.RawMessage
	// Proxies puts a fault proxy in front of each daemon and of the log.
	Proxies bool
	// ZoneDelay is the one-way network delay between daemons of different
	// availability zones, and between a daemon and the log. It requires Proxies.
	ZoneDelay time.Duration
	// ExtraConfig are additional fields of each daemon's configuration. They
	// override the fields that this package sets.
	ExtraConfig map[string]any
	// Logs receives the log lines of all processes; if nil, they are discarded.
	Logs io.Writer
}

// Fleet is a running fleet.
type Fleet struct {
	// Dir is the temporary directory that the targets share. It holds the daemons'
	// configuration files too.
	Dir string
	// Log is the process of the log, LogAddr its address, and LogProxy its fault
	// proxy, or nil if the fleet has no proxies.
	Log      *Process
	LogAddr  netip.AddrPort
	LogProxy *faultproxy.Proxy
	Servers  []*Server
	opts     Options
	http     *http.Client
}

// Server is a VM with a target and its daemon.
type Server struct {
	Spec   ServerSpec
	IP     netip.Addr
	Target *Process
	Daemon *Process
	// TargetAddr is the address of the target. The daemon listens on DaemonAddr for
	// other daemons, on CallerAddr for callers and on OperatorAddr for operators.
	// Operator is a client of its interface for operators.
	TargetAddr   netip.AddrPort
	DaemonAddr   netip.AddrPort
	CallerAddr   netip.AddrPort
	Operator     *operator.Client
	OperatorAddr netip.AddrPort
	// Seeds are the addresses of the seed daemons in the daemon's
	// configuration, from its next start.
	Seeds []netip.AddrPort
	// Proxy is the fault proxy in front of the daemon, or nil if the fleet has no
	// proxies.
	Proxy *faultproxy.Proxy
	fleet *Fleet
	// configPath is the daemon's configuration file.
	configPath string
}

// Start starts a fleet and publishes its settings tree. It does not wait until the
// daemons hold leases; see WaitReady. On error nothing is left running.
func Start(opts Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "siskinknot-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Dir: dir, opts: opts, http: &http.Client{Timeout: 5 * time.Second}}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start starts the processes and publishes the settings tree.
func (f *Fleet) start() error {
	var err error
	f.Log, err = f.run("standin", "log")
	if err != nil {
		return err
	}
	f.LogAddr, err = f.Log.waitAddress()
	if err != nil {
		return err
	}
	if f.opts.Proxies {
		f.LogProxy, err = faultproxy.New(netip.MustParseAddrPort("127.0.2.200:0"), f.LogAddr)
		if err != nil {
			return err
		}
	}
	for i, spec := range f.opts.Servers {
		s := &Server{
			Spec:       spec,
			IP:         netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}),
			fleet:      f,
			configPath: filepath.Join(f.Dir, spec.Name+".json"),
		}
		f.Servers = append(f.Servers, s)
		if err := s.StartTarget(); err != nil {
			return err
		}
		if err := s.StartDaemon(); err != nil {
			return err
		}
	}
	if f.opts.ZoneDelay > 0 {
		for _, s := range f.Servers {
			f.ClearLinkFaults(s) // sets the rules that hold the delays
		}
	}
	if f.opts.Settings == nil {
		return nil
	}
	return f.publishTree()
}

// publishTree publishes the settings tree as an edit of the root.
func (f *Fleet) publishTree() error {
	edit := settings.Edit{ID: member.NewEditID(), Node: "/", Patch: f.opts.Settings, Author: "processes"}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	result, err := f.Servers[0].Operator.Publish(ctx, edit)
	if err != nil {
		return err
	}
	if !result.Accepted {
		return errors.New(result.Reason)
	}
	return nil
}

// Close kills all processes, closes the proxies and removes the shared directory.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.Kill()
		if s.Proxy != nil {
			s.Proxy.Close()
		}
	}
	f.Log.Kill()
	if f.LogProxy != nil {
		f.LogProxy.Close()
	}
	_ = os.RemoveAll(f.Dir)
}

// Kill kills the daemon and the target, as the loss of their VM does.
func (s *Server) Kill() {
	s.Daemon.Kill()
	s.Target.Kill()
}

// freePort returns a port of ip that is free and lies below the range from which
// the kernel takes the ports of outgoing connections. A process that listens on
// such a port can be started there again: no outgoing connection can have been
// given its port meanwhile.
func freePort(ip netip.Addr) (uint16, error) {
	const (
		firstPort, endPort = 10000, 32768
		attempts           = 100
	)
	var err error
	for range attempts {
		port := uint16(firstPort + rand.IntN(endPort-firstPort))
		var l net.Listener
		if l, err = net.Listen("tcp", netip.AddrPortFrom(ip, port).String()); err == nil {
			return port, l.Close()
		}
	}
	return 0, fmt.Errorf("no port of %v is free: %w", ip, err)
}

// StartTarget starts the target and waits until it listens. If it ran before, it
// listens on the same port. StartTarget returns an error if the target does not
// listen within 20 s.
func (s *Server) StartTarget() error {
	port := s.TargetAddr.Port()
	if port == 0 {
		var err error
		if port, err = freePort(s.IP); err != nil {
			return err
		}
	}
	listen := netip.AddrPortFrom(s.IP, port)
	args := []string{"target", "-name", s.Spec.Name, "-listen", listen.String(), "-shared", s.fleet.Dir}
	target, err := s.fleet.run("standin", append(args, s.Spec.TargetArgs...)...)
	if err != nil {
		return err
	}
	s.Target = target
	s.TargetAddr, err = target.waitAddress()
	return err
}

// StartDaemon starts the daemon and waits until it listens. If it ran before, it
// listens on the same ports. StartDaemon returns an error if the daemon does not
// listen within 20 s.
func (s *Server) StartDaemon() error {
	if s.fleet.opts.Proxies && s.Proxy == nil {
		ip := s.IP.As4()
		ip[2] = 2
		proxy, err := faultproxy.New(netip.AddrPortFrom(netip.AddrFrom4(ip), 0), s.DaemonAddr)
		if err != nil {
			return err
		}
		s.Proxy = proxy
	}
	if err := s.choosePorts(); err != nil {
		return err
	}
	if err := s.writeConfig(); err != nil {
		return err
	}
	daemon, err := s.fleet.run("siskinknot", "daemon", "-json", "-config", s.configPath)
	if err != nil {
		return err
	}
	s.Daemon = daemon
	line, err := daemon.waitLine(func(l logLine) bool { return l.Message == "listening" })
	if err != nil {
		return err
	}
	s.DaemonAddr = netip.MustParseAddrPort(line.Daemon)
	s.CallerAddr = netip.MustParseAddrPort(line.Caller)
	s.OperatorAddr = netip.MustParseAddrPort(line.Operator)
	s.Operator = operator.NewClient(s.OperatorAddr)
	if s.Proxy != nil {
		s.Proxy.SetBackend(s.DaemonAddr)
	}
	return nil
}

// choosePorts chooses the ports of the daemon if it has none yet.
func (s *Server) choosePorts() error {
	for _, addr := range []*netip.AddrPort{&s.DaemonAddr, &s.CallerAddr, &s.OperatorAddr} {
		if addr.Port() != 0 {
			continue
		}
		port, err := freePort(s.IP)
		if err != nil {
			return err
		}
		*addr = netip.AddrPortFrom(s.IP, port)
	}
	return nil
}

// writeConfig writes the daemon's configuration file.
func (s *Server) writeConfig() error {
	fields := map[string]any{
		"server":            s.Spec.Name,
		"service":           s.Spec.Service,
		"availability_zone": s.Spec.Zone,
		"daemon_address":    s.DaemonAddr,
		"caller_address":    s.CallerAddr,
		"operator_address":  s.OperatorAddr,
		"target_address":    s.TargetAddr,
		"log_address":       s.fleet.LogAddr,
	}
	if len(s.Seeds) > 0 {
		fields["seed_daemons"] = s.Seeds
	}
	if s.Proxy != nil {
		fields["daemon_advertised_address"] = s.Proxy.Addr()
		fields["log_address"] = s.fleet.LogProxy.Addr()
	}
	for name, value := range s.fleet.opts.ExtraConfig {
		fields[name] = value
	}
	data, err := json.MarshalIndent(fields, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(s.configPath, data, 0o600)
}

// URL returns the URL of a path at the daemon's interface for callers.
func (s *Server) URL(path string) string { return "http://" + s.CallerAddr.String() + path }

// SetTargetFaults sets the faults of the target. It returns an error if the
// target does not accept them within 5 s.
func (s *Server) SetTargetFaults(faults targetserver.Faults) error {
	return s.fleet.put("http://"+s.TargetAddr.String()+"/standin/faults", faults)
}

// SetLogFaults sets the faults of the log. It returns an error if the log does not
// accept them within 5 s.
func (f *Fleet) SetLogFaults(faults logservice.Faults) error {
	return f.put("http://"+f.LogAddr.String()+"/standin/faults", faults)
}

// put sends v as JSON in a PUT request to url.
func (f *Fleet) put(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("PUT %s: status %d", url, resp.StatusCode)
	}
	return nil
}

// ServerOf returns the server whose daemon has the incarnation id, or nil if there
// is none.
func (f *Fleet) ServerOf(id record.Incarnation) *Server {
	for _, s := range f.Servers {
		if strings.HasPrefix(string(id), s.Spec.Name+"#") {
			return s
		}
	}
	return nil
}

// SetPeerFault applies fault actions to all data between the daemon of s and
// each other daemon: from is the action for data that the daemon of s sends, to
// the action for data that it receives. The fleet must have proxies.
func (f *Fleet) SetPeerFault(s *Server, from, to faultproxy.Action) {
	for _, other := range f.Servers {
		if other == s {
			continue
		}
		delay := f.delay(s, other)
		other.Proxy.SetRule(s.IP, faultproxy.Rule{ToBackend: from, FromBackend: to, Delay: delay})
		s.Proxy.SetRule(other.IP, faultproxy.Rule{ToBackend: to, FromBackend: from, Delay: delay})
	}
}

// delay returns the one-way network delay between the daemons of two servers.
func (f *Fleet) delay(a, b *Server) time.Duration {
	if a.Spec.Zone == b.Spec.Zone {
		return 0
	}
	return f.opts.ZoneDelay
}

// SetLogLinkFault applies action to the data between the daemon of s and the
// log, in both directions. The fleet must have proxies.
func (f *Fleet) SetLogLinkFault(s *Server, action faultproxy.Action) {
	f.LogProxy.SetRule(s.IP, faultproxy.Rule{ToBackend: action, FromBackend: action, Delay: f.opts.ZoneDelay})
}

// ClearLinkFaults reverts the effects of SetPeerFault and SetLogLinkFault on s.
func (f *Fleet) ClearLinkFaults(s *Server) {
	f.SetPeerFault(s, faultproxy.Pass, faultproxy.Pass)
	f.SetLogLinkFault(s, faultproxy.Pass)
}

// WaitReady waits until every running daemon holds its lease and reports as many
// members as daemons run, and every slot has an owner. If ctx ends first, it
// returns an error that says what is missing.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return WaitFor(ctx, func() string { return f.notReady(ctx) })
}

// notReady describes why the fleet is not ready; it returns "" if it is.
func (f *Fleet) notReady(ctx context.Context) string {
	running := 0
	for _, s := range f.Servers {
		if s.Daemon.Running() {
			running++
		}
	}
	for _, s := range f.Servers {
		if !s.Daemon.Running() {
			continue
		}
		st, err := s.Operator.Status(ctx)
		switch {
		case err != nil:
			return err.Error()
		case !st.Holds:
			return s.Spec.Name + " holds no lease"
		case len(st.Members) != running:
			return fmt.Sprintf("%s sees %d of %d members", s.Spec.Name, len(st.Members), running)
		}
		for _, svc := range st.Services {
			if svc.Unowned > 0 {
				return fmt.Sprintf("%s sees %d free slots of %s", s.Spec.Name, svc.Unowned, svc.Name)
			}
		}
	}
	return ""
}

// Process is a child process.
type Process struct {
	cmd *exec.Cmd
	// done is closed once the process has ended.
	done chan struct{}

	mu    sync.Mutex
	lines []logLine
	// changed is closed, and replaced, at each new line or address.
	changed chan struct{}
	// address is the address that a stand-in printed, or "".
	address string
}

// logLine is a line of a daemon's log, with the fields that this package reads.
type logLine struct {
	Message  string `json:"@message"`
	Daemon   string `json:"daemon"`
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
}

// run starts a program of the directory Options.Bin. The kernel kills it when this
// process ends.
func (f *Fleet) run(program string, args ...string) (*Process, error) {
	cmd := exec.Command(filepath.Join(f.opts.Bin, program), args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &Process{cmd: cmd, done: make(chan struct{}), changed: make(chan struct{})}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	var readers sync.WaitGroup
	readers.Go(func() { p.scan(stdout, nil) })
	readers.Go(func() { p.scan(stderr, f.opts.Logs) })
	go func() {
		readers.Wait()
		err := cmd.Wait()
		if f.opts.Logs != nil {
			fmt.Fprintf(f.opts.Logs, "%s %s ended: %v\n", program, strings.Join(args, " "), err)
		}
		close(p.done)
	}()
	return p, nil
}

// scan reads the output of a process until its end and records log lines and the
// printed address. It copies all lines to copyTo, if that is not nil.
func (p *Process) scan(r io.Reader, copyTo io.Writer) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		text := scanner.Text()
		if copyTo != nil {
			fmt.Fprintln(copyTo, text)
		}
		var line logLine
		address, isAddress := strings.CutPrefix(text, "listening ")
		if !isAddress && json.Unmarshal([]byte(text), &line) != nil {
			continue
		}
		p.mu.Lock()
		if isAddress {
			p.address = address
		} else {
			p.lines = append(p.lines, line)
		}
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
	}
}

// wait waits until cond returns true. It calls cond with the mutex held. It returns
// an error if the process ends or startTimeout passes first.
func (p *Process) wait(cond func() bool) error {
	timeout := time.After(startTimeout)
	for {
		p.mu.Lock()
		ok := cond()
		changed := p.changed
		p.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-p.done:
			return fmt.Errorf("%s ended: %s", p.cmd.Path, p.cmd.ProcessState)
		case <-timeout:
			return fmt.Errorf("%s did not start within %v", p.cmd.Path, startTimeout)
		}
	}
}

// waitAddress waits for the address that a stand-in prints and returns it.
func (p *Process) waitAddress() (netip.AddrPort, error) {
	if err := p.wait(func() bool { return p.address != "" }); err != nil {
		return netip.AddrPort{}, err
	}
	return netip.ParseAddrPort(p.address)
}

// waitLine waits for a log line for which match returns true and returns the first
// one.
func (p *Process) waitLine(match func(logLine) bool) (logLine, error) {
	var found logLine
	err := p.wait(func() bool {
		for _, line := range p.lines {
			if match(line) {
				found = line
				return true
			}
		}
		return false
	})
	return found, err
}

// WaitLogMessage waits until the daemon has logged a line with message. It
// returns an error if the daemon ends first or 20 s pass.
func (p *Process) WaitLogMessage(message string) error {
	_, err := p.waitLine(func(l logLine) bool { return l.Message == message })
	return err
}

// Signal sends sig to the process.
func (p *Process) Signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// Kill kills the process and waits until it has ended. It does nothing if p is nil.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process with SIGSTOP until Thaw.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw resumes a process that Freeze suspended.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Running reports whether the process has not ended yet. A frozen process counts as
// running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Wait waits until the process has ended and returns its exit code. If ctx ends
// first, it returns the error of ctx.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}
