// Package admin serves the figures of a node to programs on the same machine, for
// Prometheus and as JSON, and takes the decisions of operators.
package admin

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"frosthub/accounting"
	"frosthub/backend"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Limits of the server. Requests are short and come from this machine.
const (
	readTimeout     = 2 * time.Second
	writeTimeout    = 5 * time.Second
	idleTimeout     = 30 * time.Second
	shutdownTimeout = time.Second
	maxHeaderBytes  = 8 << 10
	// maxConcurrent requests are answered at a time, of metrics and of JSON
	// each: every one has the event loop copy its figures.
	maxConcurrent = 2
)

// Paths of the server.
const (
	PathMetrics     = "/metrics" // for Prometheus
	PathAccounting  = "/figures"
	PathIdempotency = "/keep"
	PathCluster     = "/cluster"
	PathTrust       = "/recovery/trust"  // POST: see Source.Trust
	PathForget      = "/recovery/forget" // POST: see Source.Forget; the node is the query's "box"
)

// OperatorHeader is the header that a request needs which changes something: it
// names the operator. A page in a browser can't send it to this server unasked.
const OperatorHeader = "Frosthub-Said-By"

// Source is the node whose figures are served. Its methods are called from any
// goroutine.
type Source interface {
	// Accounting returns the figures of requests.
	Accounting() accounting.Report
	// AccountingRecorded reports whether they are recorded on disk or need not be.
	AccountingRecorded() bool
	// IdempotencyStats returns nil where the node has no idempotency store.
	IdempotencyStats() *backend.IdempotencyStats
	// ClusterStats returns nil where the node is in no cluster.
	ClusterStats() *backend.ClusterStats
	// Trust has the node take its own store for complete.
	Trust() error
	// Forget has the node no longer wait for what another node may know.
	Forget(node string) error
}

// Serve answers requests at the address until stop is called, and returns where
// it listens. Errors after the start are logged.
func Serve(address string, source Source, log *slog.Logger) (stop func(), listenAddress string, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{
		Handler:        newHandler(source, log),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	listenAddress = listener.Addr().String()
	log.Info("admin", "listen", listenAddress)
	go func() { _ = server.Serve(listener) }() // it returns when stop is called
	stop = func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}
	return stop, listenAddress, nil
}

func newHandler(source Source, log *slog.Logger) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{source})
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrent}))

	slots := make(chan struct{}, maxConcurrent) // shared by all that answer JSON
	mux.Handle("GET "+PathAccounting, jsonHandler(slots, func() any { return source.Accounting() }))
	mux.Handle("GET "+PathCluster, jsonHandler(slots, func() any { return source.ClusterStats() }))
	mux.Handle("GET "+PathIdempotency, jsonHandler(slots, func() any { return source.IdempotencyStats() }))

	mux.Handle("POST "+PathTrust, operatorHandler(PathTrust, log, func(*http.Request) error {
		return source.Trust()
	}))
	mux.Handle("POST "+PathForget, operatorHandler(PathForget, log, func(r *http.Request) error {
		return source.Forget(r.URL.Query().Get("box"))
	}))
	return mux
}

// jsonHandler answers with a value as JSON, or that it is busy if no slot is free.
func jsonHandler(slots chan struct{}, value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			http.Error(w, "two others are being answered", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value()) // fails only if the client is gone
	}
}

// operatorHandler carries out the decision of an operator, who must be named, and
// logs it.
func operatorHandler(path string, log *slog.Logger, do func(*http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator := r.Header.Get(OperatorHeader)
		if operator == "" {
			http.Error(w, "said by nobody", http.StatusForbidden)
			return
		}
		if err := do(r); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		log.Warn("operator decision", "path", path, "operator", operator)
	}
}
