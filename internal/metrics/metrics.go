// Package metrics implements the metrics of a process: a tally scope, a Prometheus endpoint, and the catalogue from which
// docs/METRICS.md is generated.
package metrics

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const (
	reportInterval    = time.Second
	readHeaderTimeout = 5 * time.Second
)

// Metrics is the metrics scope of a process with its Prometheus endpoint.
type Metrics struct {
	tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns the metrics of a process. Their names start with prefix.
func New(prefix string) *Metrics {
	reporter := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Serve answers GET /metrics on address until ctx ends. With an empty address it only waits for ctx.
func (m *Metrics) Serve(ctx context.Context, address string) error {
	defer func() { _ = m.closer.Close() }()
	if address == "" {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", m.handler)
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrapf(err, "serve metrics on %s", address)
}
