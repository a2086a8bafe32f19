// Package telemetry sets up the metrics and traces of a daemon.
//
// Metrics are collected by tally and served in Prometheus' text format. A trace
// has a span for each hop of a request: "entry" at the ingress daemon,
// "forward", "owner" and "target". Traces are sent to an OTLP endpoint if one
// is configured. Otherwise they are written to a file if one is configured, and
// discarded if not.
//
// # Usage
//
//	tel, err := telemetry.New(ctx, telemetry.Config{Server: "registry-1"})
//	defer tel.Close(ctx)
//	tel.Scope.Counter("rejoins").Inc(1)
package telemetry

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
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

// Config configures telemetry.
type Config struct {
	// Server is the name of the server, service.instance.id in traces.
	Server string
	// OTLP is the address of the endpoint for traces. It is ignored if not valid.
	OTLP netip.AddrPort
	// File is the path to which traces are appended as JSON lines if OTLP is not
	// valid. If it is empty, traces are discarded.
	File string
	// SampleRatio is the share of requests that are traced, from 0 to 1. The
	// sampling decision in a caller's traceparent header takes precedence.
	SampleRatio float64
}

// metricsPrefix is the start of the names of the daemon's own metrics.
const metricsPrefix = "siskinknot"

// reportInterval is the interval at which tally passes metrics to the reporter.
const reportInterval = time.Second

// Telemetry provides the metrics and traces of a daemon.
type Telemetry struct {
	// Scope is the root of all metrics.
	Scope tally.Scope
	// Metrics serves the metrics in Prometheus' text format.
	Metrics http.Handler
	// Tracer creates the spans.
	Tracer      trace.Tracer
	scopeCloser io.Closer
	provider    *sdktrace.TracerProvider
	file        io.Closer
}

// New sets up telemetry and the global propagator of trace contexts. It returns
// an error if the trace file cannot be opened or an exporter cannot be created.
func New(ctx context.Context, cfg Config) (*Telemetry, error) {
	t := &Telemetry{}
	reporter := promreporter.NewReporter(promreporter.Options{
		Gatherer:        prometheus.GathererFunc(gatherOwnFirst),
		OnRegisterError: func(error) {},
	})
	t.Metrics = reporter.HTTPHandler()
	t.Scope, t.scopeCloser = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		Separator:              promreporter.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
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

// gatherOwnFirst gathers the metrics of the default registry: first the daemon's own, those with
// one value before those with many, and then those of the Go runtime. A collector may keep only
// the start of the page.
func gatherOwnFirst() ([]*dto.MetricFamily, error) {
	families, err := prometheus.DefaultGatherer.Gather()
	rank := func(f *dto.MetricFamily) int {
		switch {
		case !strings.HasPrefix(f.GetName(), metricsPrefix):
			return 2
		case f.GetType() == dto.MetricType_HISTOGRAM:
			return 1
		default:
			return 0
		}
	}
	slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int { return cmp.Compare(rank(a), rank(b)) })
	return families, err
}

// exporter returns the exporter for spans, or nil if spans are discarded.
func (t *Telemetry) exporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, error) {
	if cfg.OTLP.IsValid() {
		exporter, err := otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(cfg.OTLP.String()),
			otlptracehttp.WithInsecure(),
		)
		return exporter, eris.Wrap(err, "create OTLP exporter")
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
	return exporter, eris.Wrap(err, "create trace file exporter")
}

// Close exports the remaining spans and metrics, and closes the trace file. ctx
// limits the export of spans. The error is the first that occurs.
func (t *Telemetry) Close(ctx context.Context) error {
	err := t.provider.Shutdown(ctx)
	if closeErr := t.scopeCloser.Close(); err == nil {
		err = closeErr
	}
	if t.file != nil {
		if closeErr := t.file.Close(); err == nil {
			err = closeErr
		}
	}
	return eris.Wrap(err, "close telemetry")
}
