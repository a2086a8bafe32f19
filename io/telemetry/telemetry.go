// Package telemetry sets up what a daemon tells of itself: logs, metrics and
// traces.
//
// Metrics are kept by tally and served in Prometheus' text format. Traces have
// a span for each hop of a request (entry, forward, owner, target); they go to
// an OTLP endpoint if one is configured, otherwise to a file if one is named,
// otherwise nowhere.
//
// # Usage
//
//	tel, err := telemetry.New(ctx, telemetry.Config{Server: "registry-1"})
//	defer tel.Close(ctx)
//	tel.Scope.Counter("rejoins").Inc(1)
package telemetry

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Config says where telemetry goes.
type Config struct {
	Server string
	// OTLP is the endpoint for traces, if valid.
	OTLP netip.AddrPort
	// File receives traces as JSON lines if OTLP is not valid; empty for none.
	File string
	// SampleRatio is the share of requests that are traced, from 0 to 1. A
	// caller's own decision, in its traceparent header, goes before it.
	SampleRatio float64
}

// reportEvery is how often metrics reach the reporter.
const reportEvery = time.Second

// Telemetry is a daemon's metrics and traces.
type Telemetry struct {
	// Scope is the root of all metrics.
	Scope tally.Scope
	// Metrics serves the metrics.
	Metrics http.Handler
	// Tracer makes the spans.
	Tracer   trace.Tracer
	scope    io.Closer
	provider *sdktrace.TracerProvider
	file     io.Closer
}

// New sets up telemetry, and the global propagator of trace contexts.
func New(ctx context.Context, cfg Config) (*Telemetry, error) {
	t := &Telemetry{}
	reporter := promreporter.NewReporter(promreporter.Options{
		OnRegisterError: func(error) {},
	})
	t.Metrics = reporter.HTTPHandler()
	t.Scope, t.scope = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "siskinknot",
		Separator:              promreporter.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	exporter, err := t.exporter(ctx, cfg)
	if err != nil {
		return nil, err
	}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "siskinknot"),
			attribute.String("service.instance.id", cfg.Server),
		)),
	}
	if exporter != nil {
		options = append(options, sdktrace.WithBatcher(exporter))
	} else {
		options = append(options, sdktrace.WithSampler(sdktrace.NeverSample()))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.Tracer = t.provider.Tracer("siskinknot")
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return t, nil
}

// exporter returns where spans go, or nil.
func (t *Telemetry) exporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, error) {
	if cfg.OTLP.IsValid() {
		exporter, err := otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(cfg.OTLP.String()),
			otlptracehttp.WithInsecure(),
		)
		return exporter, eris.Wrap(err, "make OTLP exporter")
	}
	if cfg.File == "" {
		return nil, nil
	}
	file, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open trace file")
	}
	t.file = file
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	return exporter, eris.Wrap(err, "make trace file exporter")
}

// Close sends what is left.
func (t *Telemetry) Close(ctx context.Context) error {
	err := t.provider.Shutdown(ctx)
	if cerr := t.scope.Close(); err == nil {
		err = cerr
	}
	if t.file != nil {
		if cerr := t.file.Close(); err == nil {
			err = cerr
		}
	}
	return eris.Wrap(err, "close telemetry")
}
