// Package daemon puts together the parts of one siskinknot daemon: the
// interfaces for callers, operators and other daemons, the target's client, and
// the membership in the fleet.
//
// # Usage
//
//	d, err := daemon.New(ctx, cfg, logger)
//	...
//	d.Stop(ctx) // leaves the fleet in good order
package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
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
	"siskinknot/io/telemetry"
)

// Daemon is a running daemon.
type Daemon struct {
	cfg       config.Config
	log       hclog.Logger
	telemetry *telemetry.Telemetry
	pool      *peer.Pool
	peers     *peer.Server
	member    *member.Member
	client    *target.Client
	runner    *target.Runner
	memory    *dedup.Memory
	watch     *target.Watch
	callers   *http.Server
	operators *http.Server
	listeners listeners
	platform  *platformlog.Log
	tomb      tomb.Tomb
}

// listeners are the sockets of a daemon.
type listeners struct {
	peers, callers, operators net.Listener
}

// New starts a daemon.
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
	d.start(bootID)
	log.Info("listening", "server", cfg.Server, "daemon", d.listeners.peers.Addr().String(),
		"caller", d.listeners.callers.Addr().String(), "operator", d.listeners.operators.Addr().String())
	return d, nil
}

// listen opens the sockets.
func (d *Daemon) listen(ctx context.Context) error {
	var lc net.ListenConfig
	for _, l := range []struct {
		addr netip.AddrPort
		into *net.Listener
	}{
		{d.cfg.Daemon, &d.listeners.peers},
		{d.cfg.Caller, &d.listeners.callers},
		{d.cfg.Operator, &d.listeners.operators},
	} {
		listener, err := lc.Listen(ctx, "tcp", l.addr.String())
		if err != nil {
			d.listeners.close()
			return eris.Wrapf(err, "listen on %s", l.addr)
		}
		*l.into = listener
	}
	return nil
}

// close closes the sockets that are open.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.peers, l.callers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// boundTo returns addr with the port that l is bound to.
func boundTo(addr netip.AddrPort, l net.Listener) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr(), l.Addr().(*net.TCPAddr).AddrPort().Port())
}

// advertised returns the address that other daemons connect to.
func (d *Daemon) advertised() netip.AddrPort {
	if d.cfg.Advertised.IsValid() {
		return d.cfg.Advertised
	}
	return boundTo(d.cfg.Daemon, d.listeners.peers)
}

// start makes the parts and connects them.
func (d *Daemon) start(bootID string) {
	scope := d.telemetry.Scope
	d.memory = dedup.New()
	d.platform = platformlog.New(d.cfg.Log, d.cfg.Daemon.Addr())
	d.pool = peer.NewPool(d.cfg.Server, d.cfg.Daemon.Addr(), d.log.Named("peer"))
	d.member = member.New(member.Config{
		Server:          d.cfg.Server,
		Service:         d.cfg.Service,
		Region:          d.cfg.Region,
		Zone:            d.cfg.Zone,
		Daemon:          d.advertised(),
		Caller:          boundTo(d.cfg.Caller, d.listeners.callers),
		BootID:          bootID,
		BlindLimit:      d.cfg.BlindLimit.Duration(),
		Seeds:           d.cfg.Seeds,
		SnapshotEvery:   d.cfg.SnapshotEvery.Duration(),
		SnapshotRecords: d.cfg.SnapshotRecords,
	}, member.Deps{
		Log:     d.platform,
		Pool:    d.pool,
		Memory:  d.memory,
		Metrics: scope,
		Logger:  d.log.Named("member"),
	})
	d.client = target.NewClient(d.cfg.Target, d.telemetry.Tracer)
	d.runner = target.NewRunner(d.member, d.client, d.memory, scope)
	d.watch = target.NewWatch(d.member, d.client, d.runner, scope, d.log.Named("target"))
	entry := caller.New(d.member, d.runner, d.pool, d.telemetry.Tracer, scope)
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
			case <-time.After(trafficEvery):
				d.countTraffic()
			}
		}
	})
	d.callers = serveHTTP(d.listeners.callers, entry.Handler(), d.log.Named("caller"))
	d.operators = serveHTTP(d.listeners.operators, operator.Handler(d.member, d.telemetry.Metrics), d.log.Named("operator"))
}

// trafficEvery is how often the counts of bytes are passed to the metrics.
const trafficEvery = time.Second

// countTraffic passes the counts of bytes, and others that are kept elsewhere, to
// the metrics.
func (d *Daemon) countTraffic() {
	report := func(to string, traffic ...*meter.Traffic) {
		received, sent := int64(0), int64(0)
		for _, t := range traffic {
			received += t.Received.Load()
			sent += t.Sent.Load()
		}
		scope := d.telemetry.Scope.Tagged(map[string]string{"with": to})
		scope.Gauge("bytes_received").Update(float64(received))
		scope.Gauge("bytes_sent").Update(float64(sent))
	}
	report("log", d.platform.Traffic())
	for _, purpose := range []peer.Purpose{peer.Control, peer.Requests, peer.Bulk} {
		report(purpose.String(), d.pool.Traffic(purpose), d.peers.Traffic(purpose))
	}
	d.telemetry.Scope.Gauge("request_ids_evicted").Update(float64(d.memory.Evicted()))
	d.telemetry.Scope.Gauge("sessions_open").Update(float64(d.pool.Sessions()))
}

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// serveHTTP serves handler on listener.
func serveHTTP(listener net.Listener, handler http.Handler, log hclog.Logger) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    caller.MaxHeaderBytes,
		ErrorLog:          log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	go func() {
		if err := server.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
			log.Error("interface stopped", "error", err)
		}
	}()
	return server
}

// Failed is closed if a task of the daemon stopped because of a broken
// invariant.
func (d *Daemon) Failed() <-chan struct{} { return d.member.Dead() }

// Stop leaves the fleet and ends the daemon: new requests are sent elsewhere,
// and those under way end first, until ctx ends. It reports whether nothing was
// cut off.
func (d *Daemon) Stop(ctx context.Context) bool {
	left := d.member.Leave(ctx) && d.idle(ctx)
	d.callers.SetKeepAlivesEnabled(false)
	err := d.callers.Shutdown(ctx)
	d.Close()
	return left && err == nil
}

// idle waits until no request runs at the target or waits for it, and reports
// false if ctx ends first.
func (d *Daemon) idle(ctx context.Context) bool {
	const every = 20 * time.Millisecond
	for {
		load := d.runner.Load()
		if load.InFlight == 0 && load.Queued == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(every):
		}
	}
}

// Close ends the daemon at once.
func (d *Daemon) Close() {
	d.tomb.Kill(nil)
	_ = d.tomb.Wait()
	_ = d.callers.Close()
	_ = d.operators.Close()
	_ = d.watch.Close()
	_ = d.member.Close()
	_ = d.peers.Close()
	_ = d.pool.Close()
	d.client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := d.telemetry.Close(ctx); err != nil {
		d.log.Warn("telemetry lost", "error", err)
	}
}

// handler serves the calls of other daemons.
type handler struct {
	member *member.Member
	runner *target.Runner
	tracer trace.Tracer
}

// Answer implements peer.Handler.
func (h *handler) Answer(_ context.Context, call *peerpb.Call) *peerpb.Reply {
	return h.member.Answer(boottime.Now(), call)
}

// Forward implements peer.Handler.
func (h *handler) Forward(ctx context.Context, in *peer.Incoming) {
	forward.Serve(ctx, in, func(ctx context.Context, head *request.Head, ex forward.Exchange) outcome.Result {
		ctx, span := h.tracer.Start(ctx, "owner", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		return h.runner.Run(ctx, head, ex)
	})
}
