package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"siskinknot/io/boottime"
	"siskinknot/io/config"
	"siskinknot/io/logwriter"
	"siskinknot/io/mesh"
	"siskinknot/io/peer"
	"siskinknot/io/tcp"
	"siskinknot/io/telemetry"
	"siskinknot/platform"
)

// configVariable is the environment variable that names the configuration file if
// the flag -config is not set.
const configVariable = "SISKINKNOT_CONFIG"

// meshCommand runs a daemon that keeps the directory in the platform's metadata
// store.
type meshCommand struct{ config string }

func (*meshCommand) Name() string { return "mesh" }
func (*meshCommand) Synopsis() string {
	return "run the daemon beside a target, on the platform's metadata store"
}

func (*meshCommand) Usage() string {
	return `mesh [-config FILE]
  Runs until it receives SIGTERM or SIGINT, and then transfers its keys to other
  daemons and completes the requests in progress. On SIGHUP it reads FILE again
  and logs whether it has changed; changes take effect only at the next start.
  FILE defaults to $SISKINKNOT_CONFIG.
`
}

func (c *meshCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", os.Getenv(configVariable), "configuration `file`")
}

// gcPercent is how much the heap may grow before it is collected, in percent.
// With a live heap of a few megabytes, a lower value saves little memory, and
// costs a VM that has a sixth of a core a third of its processor time.
const gcPercent = 100

func (c *meshCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	startCtx, started := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer started()
	cfg, err := c.load(startCtx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	lines := logwriter.New(os.Stdout, cfg.MaxLogLinesPerSecond)
	defer lines.Close()
	newLogger := func(output io.Writer) hclog.Logger {
		return hclog.New(&hclog.LoggerOptions{
			Name:       "siskinknot",
			Level:      hclog.LevelFromString(cfg.LogLevel),
			Output:     output,
			JSONFormat: true,
		}).With("server", cfg.Server)
	}
	log, requestLog := newLogger(lines), newLogger(lines.Bulk())
	node, err := startNode(startCtx, cfg, log, requestLog)
	stoppedEarly := startCtx.Err() != nil
	started()
	switch {
	case err != nil && stoppedEarly:
		log.Info("stopped before the start")
		return subcommands.ExitSuccess
	case err != nil:
		log.Error("daemon did not start", "error", err)
		return subcommands.ExitFailure
	}
	log.Info("started", "service", cfg.Service, "daemon", cfg.DaemonAddress)
	for {
		select {
		case <-node.mesh.Failed():
			log.Error("daemon stopped because of a broken invariant")
			return subcommands.ExitFailure
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				c.reload(cfg, log)
				continue
			}
		}
		break
	}
	complete := node.stop(ctx)
	log.Info("stopped", "whole", complete)
	return subcommands.ExitSuccess
}

const (
	// loadTimeout is how long the daemon waits at its start for a configuration file that is
	// being written, and loadRetryInterval the time between two attempts to read it.
	loadTimeout       = 5 * time.Second
	loadRetryInterval = 50 * time.Millisecond
)

// load reads the configuration file. It waits for a file that is being written.
func (c *meshCommand) load(ctx context.Context) (config.Mesh, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for {
		cfg, err := config.LoadMesh(c.config)
		var incomplete *config.IncompleteError
		if !errors.As(err, &incomplete) || c.config == "" {
			return cfg, err
		}
		select {
		case <-ctx.Done():
			return cfg, err
		case <-time.After(loadRetryInterval):
		}
	}
}

// reload reads the configuration file again and logs whether it has changed. The
// changes are not applied: the file holds the location and the addresses of the
// daemon, which do not change while it runs.
func (c *meshCommand) reload(current config.Mesh, log hclog.Logger) {
	cfg, err := config.LoadMesh(c.config)
	if err != nil {
		log.Warn("configuration file ignored", "error", err)
		return
	}
	log.Info("configuration file read", "changed", cfg != current)
}

// node holds the components of a running daemon.
type node struct {
	cfg        config.Mesh
	log        hclog.Logger
	telemetry  *telemetry.Telemetry
	peerPool   *peer.Pool
	peerServer *peer.Server
	target     *platform.Target
	mesh       *mesh.Mesh
	watch      *platform.ConfigWatch
	servers    []*http.Server
	// callers accepts the connections of callers, and callersClosed is closed once it accepts
	// no more.
	callers       net.Listener
	callersClosed chan struct{}
	// callerConns has the connections of callers, and otherConns those of the other
	// interfaces. Both close connections that are idle for longer than idleTimeout.
	callerConns, otherConns *tcp.IdleConnCloser
	// accepts watches how the interfaces accept connections.
	accepts *acceptWatch
}

// startNode creates the components of a daemon, connects them, and starts to serve.
func startNode(ctx context.Context, cfg config.Mesh, log, requestLog hclog.Logger) (*node, error) {
	n := &node{cfg: cfg, log: log}
	var err error
	n.telemetry, err = telemetry.New(ctx, telemetry.Config{Server: cfg.Server})
	if err != nil {
		return nil, err
	}
	l, err := n.openListeners(ctx)
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(cfg.StoreAddress, cfg.DaemonAddress.Addr())
	n.target = platform.NewTarget(cfg.TargetAddress)
	n.peerPool = peer.NewPool(cfg.Server, cfg.DaemonAddress.Addr(), log.Named("peer"))
	n.mesh = mesh.New(mesh.Config{
		Self:      cfg.DaemonAddress,
		Service:   cfg.Service,
		Zone:      cfg.Zone,
		MaxGrant:  cfg.MaxGrant.Duration(),
		DrainTime: cfg.Drain.Duration(),

		HeartbeatInterval: cfg.HeartbeatInterval.Duration(),
		RetryRatio:        cfg.RetryRatio,
		RetryBurst:        cfg.RetryBurst,
	}, mesh.Deps{
		Store:        store,
		Target:       n.target,
		Pool:         n.peerPool,
		Metrics:      n.telemetry.Scope,
		Logger:       log.Named("mesh"),
		RequestLog:   requestLog.Named("mesh"),
		DecodeConfig: platform.DecodeConfig,
	})
	n.peerServer = peer.NewServer(l.peers, cfg.Server, n.mesh, log.Named("peer"))
	n.watch = platform.WatchOperator(store, n.mesh.Configure, n.mesh, log.Named("config"))
	n.serve(l)
	return n, nil
}

// listeners holds the listening sockets that a daemon needs to take part in its fleet.
type listeners struct{ peers, callers, readiness, heartbeats net.Listener }

// openListeners opens the listening sockets. It waits for an address that is in use. The
// process ends after an error, which closes those that are open.
func (n *node) openListeners(ctx context.Context) (listeners, error) {
	opened, err := n.listen(ctx, n.cfg.DaemonAddress, n.cfg.CallerAddress, n.cfg.ReadyAddress, n.cfg.HeartbeatAddress)
	if err != nil {
		return listeners{}, err
	}
	return listeners{peers: opened[0], callers: opened[1], readiness: opened[2], heartbeats: opened[3]}, nil
}

// serve starts the HTTP servers of the interfaces.
func (n *node) serve(l listeners) {
	ingress := platform.IngressHandler(n.mesh, n.cfg.Service, n.cfg.PipelineDepth, n.log.Named("caller"))
	n.callers, n.callersClosed = l.callers, make(chan struct{})
	n.callerConns, n.otherConns = tcp.NewIdleConnCloser(n.idleTimeout), tcp.NewIdleConnCloser(n.idleTimeout)
	n.callerConns.LimitConns(tcp.MaxCallerConns())
	callers := n.newServer(ingress, n.callerConns)
	callers.ConnContext = ingress.ConnContext
	callerAcceptor, readinessAcceptor := n.acceptor(l.callers), n.acceptor(l.readiness)
	go func() {
		defer close(n.callersClosed)
		n.run(callers, ingress.Listener(callerAcceptor))
	}()
	go n.run(n.newServer(platform.ReadinessHandler(n.mesh), n.otherConns), readinessAcceptor)
	n.accepts = watchAccepts(n.log, n.mesh.Ready, n.callerConns, []*watchedInterface{
		newWatchedInterface("callers", callerAcceptor, n.telemetry.Scope),
		newWatchedInterface("readiness", readinessAcceptor, n.telemetry.Scope),
	})
	heartbeats := platform.HeartbeatHandler(n.mesh, n.cfg.TargetAddress, n.cfg.Service, n.log.Named("target"))
	go n.run(n.newServer(heartbeats, n.otherConns), n.acceptor(l.heartbeats))
	if n.cfg.MetricsAddress.IsValid() {
		metrics := n.newServer(n.telemetry.Metrics, n.otherConns)
		go n.runMetrics(metrics)
	}
}

// newServer returns an HTTP server of handler, whose connections are in conns. The server is
// closed when the daemon stops.
func (n *node) newServer(handler http.Handler, conns *tcp.IdleConnCloser) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxRequestHeaderBytes,
		ConnState:         conns.ConnState,
		ErrorLog:          n.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	n.servers = append(n.servers, server)
	return server
}

// run serves the connections of listener until the server or the listener is closed.
func (n *node) run(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		n.log.Error("interface stopped", "address", listener.Addr(), "error", err)
	}
}

// acceptor returns a listener for l that logs errors of accept and tries again.
func (n *node) acceptor(l net.Listener) *tcp.Acceptor {
	return tcp.RetryAccept(l, func(err error) { n.log.Warn("failed to accept connection", "error", err) })
}

// runMetrics serves metrics once their address is free: the daemon starts without them.
func (n *node) runMetrics(server *http.Server) {
	opened, err := n.listen(context.Background(), n.cfg.MetricsAddress)
	if err != nil {
		n.log.Error("metrics are not served", "error", err)
		return
	}
	n.run(server, n.acceptor(opened[0]))
}

// idleTimeout returns how long a connection may be idle according to the current
// configuration; 0 if there is none yet.
func (n *node) idleTimeout() time.Duration {
	table := n.mesh.Table()
	if table == nil {
		return 0
	}
	return table.Limits.IdleTimeout
}

const (
	// headerTimeout limits how long reading the header of a request may take, and
	// maxRequestHeaderBytes its size. The configuration allows less, usually 16 KiB.
	headerTimeout         = 10 * time.Second
	maxRequestHeaderBytes = 256 << 10
	// noticePeriod is how long the daemon still accepts requests after it reports
	// that it is not ready, so that callers notice: two readiness checks one second
	// apart, and the requests between them.
	noticePeriod = 2200 * time.Millisecond
	// leaveShare is the share of the shutdown limit in which keys are transferred to
	// other daemons; the rest is for the requests that were accepted until then.
	leaveShare = 0.5
	// closeReserve is the time at the end of the shutdown limit that is reserved for
	// closing servers and connections, and drainReserve the time that is reserved
	// for that and for the requests in progress at the target.
	closeReserve = 400 * time.Millisecond
	drainReserve = 1200 * time.Millisecond
)

// stop shuts the daemon down gracefully. It reports whether all keys were
// transferred and all requests completed within the shutdown limit.
func (n *node) stop(ctx context.Context) bool {
	limit := seconds(n.cfg.ShutdownLimitS)
	deadline := time.Now().Add(limit)
	ctx, cancel := context.WithTimeout(ctx, limit-closeReserve)
	defer cancel()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, time.Duration(float64(limit)*leaveShare))
	defer cancelLeave()
	now := boottime.Now()
	n.mesh.StopAt(now.Add(noticePeriod), now.Add(limit-closeReserve))
	phaseEnded := func(phase string, complete bool) {
		load, unfinished := n.mesh.Load()
		n.log.Info("phase of the stop ended", "phase", phase, "complete", complete, "since_signal_ms", boottime.Now().Sub(now).Milliseconds(),
			"running", load.Running, "queued", load.Queued, "unfinished", unfinished)
	}
	noticed := time.After(noticePeriod)
	evacuated := n.mesh.Leave(leaveCtx)
	phaseEnded("transfer", evacuated)
	select {
	case <-noticed:
	case <-leaveCtx.Done():
	}
	_ = n.callers.Close()
	<-n.callersClosed
	// Requests that come through other daemons are served until the keys can be transferred.
	lateCtx, cancelLate := context.WithTimeout(ctx, time.Until(deadline)-drainReserve)
	defer cancelLate()
	lateTransfer := make(chan bool, 1)
	go func(done bool) { lateTransfer <- done || n.mesh.Leave(lateCtx) }(evacuated)
	answered := n.callerConns.Drain(ctx)
	phaseEnded("callers", answered)
	evacuated = <-lateTransfer
	phaseEnded("late transfer", evacuated)
	drained := n.mesh.Drain(ctx)
	phaseEnded("requests", drained)
	// The target has sent its answers; those of forwarded requests are still sent to other daemons.
	delivered := n.peerServer.Shutdown(ctx)
	phaseEnded("answers", delivered)
	n.close()
	return evacuated && drained && answered && delivered
}

// close closes all components. Requests in progress are cut off.
func (n *node) close() {
	for _, server := range n.servers {
		_ = server.Close()
	}
	_, _ = n.callerConns.Close(), n.otherConns.Close()
	_ = n.accepts.Close()
	_ = n.watch.Close()
	_ = n.mesh.Close()
	_ = n.peerServer.Close()
	_ = n.peerPool.Close()
	n.target.Close()
}

// listen opens TCP sockets that listen at addrs. It waits for an address that is in use.
func (n *node) listen(ctx context.Context, addrs ...netip.AddrPort) ([]net.Listener, error) {
	return tcp.Listen(ctx, addrs, func(err error) { n.log.Warn("waiting for address", "error", err) })
}

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
