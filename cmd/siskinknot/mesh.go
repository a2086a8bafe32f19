package main

import (
	"context"
	"flag"
	"fmt"
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
	"github.com/rotisserie/eris"

	"siskinknot/io/config"
	"siskinknot/io/logwriter"
	"siskinknot/io/mesh"
	"siskinknot/io/peer"
	"siskinknot/io/tcp"
	"siskinknot/io/telemetry"
	"siskinknot/platform"
)

// configVariable names the configuration file if the flag does not.
const configVariable = "SISKINKNOT_CONFIG"

// meshCommand runs a daemon on the users' platform.
type meshCommand struct{ config string }

func (*meshCommand) Name() string { return "mesh" }
func (*meshCommand) Synopsis() string {
	return "run the daemon beside a target, on the platform's metadata store"
}

func (*meshCommand) Usage() string {
	return `mesh [-config FILE]
  Runs until SIGTERM or SIGINT, which make it pass its keys on and end the
  requests under way. SIGHUP and changes of the file are logged; addresses are
  read at the start only. FILE is that of $SISKINKNOT_CONFIG if not given.
`
}

func (c *meshCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", os.Getenv(configVariable), "configuration `file`")
}

// heapGrowth is how much the heap may grow before it is collected, in percent. With
// a live heap of a few megabytes less growth saves little memory, and costs a VM with
// a sixth of a core a third of its processor time.
const heapGrowth = 100

func (c *meshCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	debug.SetGCPercent(heapGrowth)
	cfg, err := config.LoadMesh(c.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	lines := logwriter.New(os.Stdout, cfg.LogLines)
	defer lines.Close()
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "siskinknot",
		Level:      hclog.LevelFromString(cfg.LogLevel),
		Output:     lines,
		JSONFormat: true,
	}).With("server", cfg.Server)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	node, err := startNode(ctx, cfg, log)
	if err != nil {
		log.Error("daemon did not start", "error", err)
		return subcommands.ExitFailure
	}
	log.Info("started", "service", cfg.Service, "daemon", cfg.Daemon)
	for {
		select {
		case <-node.mesh.Dead():
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
	whole := node.stop(ctx)
	log.Info("stopped", "whole", whole)
	return subcommands.ExitSuccess
}

// reload reads the file again and logs whether it has changed. What it holds is
// the place of the daemon, which does not change while it runs.
func (c *meshCommand) reload(present config.Mesh, log hclog.Logger) {
	cfg, err := config.LoadMesh(c.config)
	if err != nil {
		log.Warn("configuration file ignored", "error", err)
		return
	}
	log.Info("configuration file read", "changed", cfg != present)
}

// node is a running daemon.
type node struct {
	cfg       config.Mesh
	log       hclog.Logger
	telemetry *telemetry.Telemetry
	pool      *peer.Pool
	peers     *peer.Server
	target    *platform.Target
	mesh      *mesh.Mesh
	watch     *platform.ConfigWatch
	servers   []*http.Server
	callers   *http.Server
	// idle closes the connections that callers have ceased to use.
	idle *tcp.IdleLimit
}

// startNode makes the parts of a daemon and connects them.
func startNode(ctx context.Context, cfg config.Mesh, log hclog.Logger) (*node, error) {
	n := &node{cfg: cfg, log: log}
	var err error
	n.telemetry, err = telemetry.New(ctx, telemetry.Config{Server: cfg.Server})
	if err != nil {
		return nil, err
	}
	listener, err := listen(ctx, cfg.Daemon)
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(cfg.Store, cfg.Daemon.Addr())
	n.target = platform.NewTarget(cfg.Target)
	n.pool = peer.NewPool(cfg.Server, cfg.Daemon.Addr(), log.Named("peer"))
	n.mesh = mesh.New(mesh.Config{
		Self:       cfg.Daemon,
		Service:    cfg.Service,
		Zone:       cfg.Zone,
		MaxHold:    cfg.MaxGrant.Duration(),
		DrainTime:  cfg.Drain.Duration(),
		RetryRatio: cfg.RetryRatio,
		RetryExtra: cfg.RetryExtra,
	}, mesh.Deps{
		Store:        store,
		Target:       n.target,
		Pool:         n.pool,
		Metrics:      n.telemetry.Scope,
		Logger:       log.Named("mesh"),
		DecodeConfig: platform.DecodeConfig,
	})
	n.peers = peer.NewServer(listener, cfg.Server, n.mesh, log.Named("peer"))
	n.watch = platform.WatchConfig(store, n.mesh.Configure, log.Named("config"))
	return n, n.serve(ctx)
}

// serve opens the HTTP interfaces.
func (n *node) serve(ctx context.Context) error {
	interfaces := []struct {
		addr    netip.AddrPort
		handler http.Handler
	}{
		{n.cfg.Caller, platform.Ingress(n.mesh, n.cfg.Service, n.log.Named("caller"))},
		{n.cfg.Ready, platform.Ready(n.mesh)},
		{n.cfg.Heartbeat, platform.Heartbeats(n.mesh, n.cfg.Target, n.cfg.Service, n.log.Named("target"))},
		{n.cfg.Metrics, n.telemetry.Metrics},
	}
	n.idle = tcp.NewIdleLimit(n.idleTimeout)
	for _, i := range interfaces {
		if !i.addr.IsValid() {
			continue
		}
		listener, err := listen(ctx, i.addr)
		if err != nil {
			return err
		}
		server := &http.Server{
			Handler:           i.handler,
			ReadHeaderTimeout: headerTimeout,
			ConnState:         n.idle.Note,
			ErrorLog:          n.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		}
		n.servers = append(n.servers, server)
		go func() {
			if err := server.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
				n.log.Error("interface stopped", "address", i.addr, "error", err)
			}
		}()
	}
	n.callers = n.servers[0]
	return nil
}

// idleTimeout returns how long a connection may be idle, by the configuration in
// force.
func (n *node) idleTimeout() time.Duration {
	table := n.mesh.Table()
	if table == nil {
		return 0
	}
	return table.Limits.IdleTimeout
}

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// moveOnTime is how long callers are given to notice that this daemon is not
	// ready: two questions a second apart, and the requests between them.
	moveOnTime = 2200 * time.Millisecond
	// leaveShare is the share of the shutdown limit in which keys are passed on;
	// the rest is for the requests that were taken until then.
	leaveShare = 0.5
	// stopReserve is what is left of the shutdown limit for closing, and
	// finishReserve for the requests under way at the target.
	stopReserve   = 400 * time.Millisecond
	finishReserve = 1200 * time.Millisecond
)

// stop ends the daemon in good order and reports whether nothing was cut off.
func (n *node) stop(ctx context.Context) bool {
	limit := seconds(n.cfg.ShutdownLimitS)
	deadline := time.Now().Add(limit)
	ctx, cancel := context.WithTimeout(ctx, limit-stopReserve)
	defer cancel()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, time.Duration(float64(limit)*leaveShare))
	defer cancelLeave()
	moveOn := time.After(moveOnTime)
	left := n.mesh.Leave(leaveCtx)
	select {
	case <-moveOn:
	case <-leaveCtx.Done():
	}
	err := n.callers.Shutdown(ctx)
	if !left {
		// Other daemons' callers are served until the keys can be passed on.
		lateCtx, cancelLate := context.WithTimeout(ctx, time.Until(deadline)-finishReserve)
		defer cancelLate()
		left = n.mesh.Leave(lateCtx)
	}
	idle := n.mesh.Finish(ctx)
	for _, server := range n.servers {
		_ = server.Close()
	}
	_ = n.idle.Close()
	_ = n.watch.Close()
	_ = n.mesh.Close()
	_ = n.peers.Close()
	_ = n.pool.Close()
	n.target.Close()
	return left && idle && err == nil
}

// listen opens a socket at addr.
func listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", addr.String())
	return listener, eris.Wrapf(err, "listen on %s", addr)
}

// seconds returns s seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
