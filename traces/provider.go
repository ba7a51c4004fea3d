// Package traces records one OpenTelemetry span for each hop of a request and
// propagates the W3C trace context.
package traces

import (
	"context"
	"os"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"gypsumshelf.example/gypsumshelf"
)

const instrumentationScope = "gypsumshelf.example/gypsumshelf/traces"

// Config configures a Provider. Without Endpoint, File and Exporter no span is
// recorded.
type Config struct {
	Endpoint   string // http://IP:PORT of an OTLP/HTTP collector
	File       string // file to which spans are appended as JSON
	Deployment string
	Daemon     gypsumshelf.DaemonID
	Exporter   sdktrace.SpanExporter // used instead of Endpoint and File when not nil
}

// Provider records spans and exports them.
type Provider struct {
	sdk        *sdktrace.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
	file       *os.File
}

// New returns a Provider. It must be closed to export the last spans.
func New(ctx context.Context, cfg Config) (*Provider, error) {
	p := &Provider{propagator: propagation.TraceContext{}}
	exporter, err := p.newExporter(ctx, cfg)
	if err != nil {
		return nil, err
	}
	options := []sdktrace.TracerProviderOption{sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "gypsumshelf"),
		attribute.String("service.namespace", cfg.Deployment),
		attribute.String("service.instance.id", string(cfg.Daemon)),
	))}
	if exporter != nil {
		options = append(options, sdktrace.WithBatcher(exporter))
	} else {
		options = append(options, sdktrace.WithSampler(sdktrace.NeverSample()))
	}
	p.sdk = sdktrace.NewTracerProvider(options...)
	p.tracer = p.sdk.Tracer(instrumentationScope)
	return p, nil
}

func (p *Provider) newExporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, error) {
	switch {
	case cfg.Exporter != nil:
		return cfg.Exporter, nil
	case cfg.Endpoint != "":
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
	case cfg.File != "":
		file, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
		if err != nil {
			return nil, merry.Prepend(err, "opening trace file")
		}
		p.file = file
		return stdouttrace.New(stdouttrace.WithWriter(file))
	}
	return nil, nil
}

// Close exports the remaining spans and stops the provider.
func (p *Provider) Close(ctx context.Context) error {
	err := p.sdk.Shutdown(ctx)
	if p.file != nil {
		p.file.Close()
	}
	return err
}
