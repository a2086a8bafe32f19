// Package daemon assembles the components of a siskinknot daemon: the servers for
// callers, operators and other daemons, the client of the target, and the membership
// in the fleet.
//
// # Usage
//
//	d, err := daemon.New(ctx, cfg, logger)
//	...
//	d.Stop(ctx) // hands off the keys, leaves the fleet and stops
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
	"gopkg.in/tomb.v2"

	"siskinknot/core/dedup"
	"siskinknot/core/outcome"
	"siskinknot/core/request"
	"siskinknot/io/boottime"
	"siskinknot/io/caller"
	"siskinknot/io/config"
	"siskinknot/io/forward"
	"siskinknot/io/member"
	"siskinknot/io/meter"
	"siskinknot/io/operator"
	"siskinknot/io/peer"
	"siskinknot/io/peer/peerpb"
	"siskinknot/io/platformlog"
	"siskinknot/io/target"
	"siskinknot/io/tcp"
	"siskinknot/io/telemetry"
)

// Daemon is a running daemon. Stop or Close ends it.
type Daemon struct {
	cfg       config.Config
	log       hclog.Logger
	telemetry *telemetry.Telemetry
	pool      *peer.Pool
	peers     *peer.Server
	member    *member.Member
	client    *target.Client
	runner    *target.Runner
	seenIDs   *dedup.IDSet
	monitor   *target.Monitor
	callers   *http.Server
	operators *http.Server
	listeners listeners
	// callerConns has the connections of callers, callersClosed is closed once no more are
	// accepted, and stopping is set once each answer closes its connection.
	callerConns   *tcp.IdleConnCloser
	callersClosed <-chan struct{}
	stopping      atomic.Bool
	logClient     *platformlog.Log
	tomb          tomb.Tomb
}

// listeners contains the listening sockets of a daemon.
type listeners struct {
	peers, callers, operators net.Listener
}

// New starts a daemon. It waits for an address that is in use (tcp.Listen). It returns an
// error if the boot ID cannot be read, an address cannot be listened on, or telemetry cannot be set up. ctx limits the start only.
func New(ctx context.Context, cfg config.Config, log hclog.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: log}
	bootID, err := boottime.BootID()
	if err != nil {
		return nil, err
	}
	if err := d.listen(ctx); err != nil {
		return nil, err
	}
	d.telemetry, err = telemetry.New(ctx, telemetry.Config{
		Server:      cfg.Server,
		OTLP:        cfg.Tracing.OTLP,
		File:        cfg.Tracing.File,
		SampleRatio: cfg.Tracing.SampleRatio,
	})
	if err != nil {
		d.listeners.close()
		return nil, err
	}
	d.startComponents(bootID)
	log.Info("listening", "server", cfg.Server, "daemon", d.listeners.peers.Addr().String(),
		"caller", d.listeners.callers.Addr().String(), "operator", d.listeners.operators.Addr().String())
	return d, nil
}

// listen opens the listening sockets. After an error none is open.
func (d *Daemon) listen(ctx context.Context) error {
	opened, err := tcp.Listen(ctx, []netip.AddrPort{d.cfg.DaemonAddress, d.cfg.CallerAddress, d.cfg.OperatorAddress},
		func(err error) { d.log.Warn("waiting for address", "error", err) })
	if err != nil {
		return err
	}
	d.listeners.peers, d.listeners.callers, d.listeners.operators = opened[0], opened[1], opened[2]
	return nil
}

// close closes the open sockets.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.peers, l.callers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// withBoundPort returns addr with the port to which l is bound.
func withBoundPort(addr netip.AddrPort, l net.Listener) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr(), l.Addr().(*net.TCPAddr).AddrPort().Port())
}

// advertised returns the address to which other daemons connect.
func (d *Daemon) advertised() netip.AddrPort {
	if d.cfg.AdvertisedAddress.IsValid() {
		return d.cfg.AdvertisedAddress
	}
	return withBoundPort(d.cfg.DaemonAddress, d.listeners.peers)
}

// startComponents creates the components, connects them and starts them.
func (d *Daemon) startComponents(bootID string) {
	scope := d.telemetry.Scope
	d.seenIDs = dedup.New()
	d.logClient = platformlog.New(d.cfg.LogAddress, d.cfg.DaemonAddress.Addr())
	d.pool = peer.NewPool(d.cfg.Server, d.cfg.DaemonAddress.Addr(), d.log.Named("peer"))
	d.member = member.New(member.Config{
		Server:           d.cfg.Server,
		Service:          d.cfg.Service,
		Region:           d.cfg.Region,
		Zone:             d.cfg.Zone,
		DaemonAddress:    d.advertised(),
		CallerAddress:    withBoundPort(d.cfg.CallerAddress, d.listeners.callers),
		BootID:           bootID,
		BlindLimit:       d.cfg.BlindLimit.Duration(),
		Seeds:            d.cfg.Seeds,
		SnapshotInterval: d.cfg.SnapshotInterval.Duration(),
		SnapshotRecords:  d.cfg.SnapshotRecords,
	}, member.Deps{
		Log:        d.logClient,
		Pool:       d.pool,
		RequestIDs: d.seenIDs,
		Metrics:    scope,
		Logger:     d.log.Named("member"),
	})
	d.client = target.NewClient(d.cfg.TargetAddress, d.telemetry.Tracer)
	d.runner = target.NewRunner(d.member, d.client, d.seenIDs, scope)
	d.monitor = target.NewMonitor(d.member, d.client, d.runner, scope, d.log.Named("target"))
	ingress := caller.New(d.member, d.runner, d.pool, d.telemetry.Tracer, scope)
	d.peers = peer.NewServer(d.listeners.peers, d.cfg.Server, &handler{
		member: d.member,
		runner: d.runner,
		tracer: d.telemetry.Tracer,
	}, d.log.Named("peer"))
	d.tomb.Go(func() error {
		for {
			select {
			case <-d.tomb.Dying():
				return nil
			case <-time.After(trafficInterval):
				d.updateTrafficMetrics()
			}
		}
	})
	d.callerConns = tcp.NewIdleConnCloser(func() time.Duration { return 0 })
	d.callers, d.callersClosed = serveHTTP(d.listeners.callers, d.closeWhenStopping(ingress.Handler()), d.callerConns.ConnState, d.log.Named("caller"))
	d.operators, _ = serveHTTP(d.listeners.operators, operator.Handler(d.member, d.telemetry.Metrics), nil, d.log.Named("operator"))
}

// trafficInterval is the interval at which the traffic metrics are updated.
const trafficInterval = time.Second

// updateTrafficMetrics updates the metrics whose values other packages count: the
// bytes sent and received, the evicted request IDs, and the open sessions.
func (d *Daemon) updateTrafficMetrics() {
	setGauges := func(remote string, traffic ...*meter.Traffic) {
		received, sent := int64(0), int64(0)
		for _, t := range traffic {
			received += t.Received.Load()
			sent += t.Sent.Load()
		}
		scope := d.telemetry.Scope.Tagged(map[string]string{"with": remote})
		scope.Gauge("bytes_received").Update(float64(received))
		scope.Gauge("bytes_sent").Update(float64(sent))
	}
	setGauges("log", d.logClient.Traffic())
	for _, purpose := range []peer.Purpose{peer.Control, peer.Requests, peer.Bulk} {
		setGauges(purpose.String(), d.pool.Traffic(purpose), d.peers.Traffic(purpose))
	}
	d.telemetry.Scope.Gauge("request_ids_evicted").Update(float64(d.seenIDs.Evicted()))
	d.telemetry.Scope.Gauge("sessions_open").Update(float64(d.pool.Sessions()))
}

// headerTimeout limits how long it takes to read the headers of a request.
const headerTimeout = 10 * time.Second

// closeWhenStopping returns a handler whose answers close their connections once the daemon
// stops.
func (d *Daemon) closeWhenStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// serveHTTP starts an HTTP server for handler on listener, and returns a channel that is
// closed once it accepts no more connections. It logs an error if that happens by itself.
func serveHTTP(listener net.Listener, handler http.Handler, connState func(net.Conn, http.ConnState), log hclog.Logger) (*http.Server, <-chan struct{}) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    caller.MaxHeaderBytes,
		ConnState:         connState,
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		listener := tcp.RetryAccept(listener, func(err error) { log.Warn("failed to accept connection", "error", err) })
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.Error("interface stopped", "error", err)
		}
	}()
	return server, closed
}

// Failed returns a channel that is closed if a background goroutine of the daemon
// stopped because an invariant was violated.
func (d *Daemon) Failed() <-chan struct{} { return d.member.Failed() }

// closeReserve is the time at the end of the shutdown limit in which the daemon begins no
// requests, and closes the connections of callers once they have their answers. It is longer
// than a new connection may wait for its first request (tcp.IdleConnCloser).
const closeReserve = 400 * time.Millisecond

// Stop leaves the fleet and ends the daemon. New requests are routed to other
// daemons. Stop waits for the requests in progress until the shutdown limit has passed or ctx
// ends. Requests whose deadline is later are not begun. It returns true if the keys were
// transferred and no request was aborted.
func (d *Daemon) Stop(ctx context.Context) bool {
	limit := d.cfg.ShutdownLimit.Duration()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	servingCtx, cancelServing := context.WithTimeout(ctx, limit-closeReserve)
	defer cancelServing()
	d.stopping.Store(true)
	d.runner.StopAt(boottime.Now().Add(limit - closeReserve))
	left := d.member.Leave(servingCtx) && d.waitIdle(servingCtx)
	_ = d.listeners.callers.Close()
	<-d.callersClosed
	answered := d.callerConns.Drain(ctx)
	idle := d.waitIdle(ctx)
	delivered := d.peers.Shutdown(ctx)
	d.Close()
	return left && answered && idle && delivered
}

// waitIdle waits until no request runs at the target or is queued for it. It returns
// false if ctx ends first.
func (d *Daemon) waitIdle(ctx context.Context) bool {
	const pollInterval = 20 * time.Millisecond
	for {
		load := d.runner.Load()
		if load.InFlight == 0 && load.Queued == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
}

// Close ends the daemon without waiting for the requests in progress.
func (d *Daemon) Close() {
	d.tomb.Kill(nil)
	_ = d.tomb.Wait()
	_ = d.callers.Close()
	_ = d.operators.Close()
	_ = d.callerConns.Close()
	_ = d.monitor.Close()
	_ = d.member.Close()
	_ = d.peers.Close()
	_ = d.pool.Close()
	d.client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := d.telemetry.Close(ctx); err != nil {
		d.log.Warn("telemetry shutdown failed", "error", err)
	}
}

// handler implements peer.Handler: it serves the calls of other daemons.
type handler struct {
	member *member.Member
	runner *target.Runner
	tracer trace.Tracer
}

// HandleCall implements peer.Handler.
func (h *handler) HandleCall(_ context.Context, call *peerpb.Call) *peerpb.Reply {
	return h.member.HandleCall(boottime.Now(), call)
}

// Forward implements peer.Handler.
func (h *handler) Forward(ctx context.Context, in *peer.Incoming) {
	forward.Serve(ctx, in, func(ctx context.Context, head *request.Head, ex forward.Exchange) outcome.Result {
		ctx, span := h.tracer.Start(ctx, "owner", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		return h.runner.Run(ctx, head, ex)
	})
}
