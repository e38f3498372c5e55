// Package admin implements the admin server of a node. It serves the node's
// statistics to programs on the same machine, as Prometheus metrics and as JSON, and
// accepts decisions of operators.
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

// Limits of the server. They are small because requests are short and come from this
// machine.
const (
	readTimeout     = 2 * time.Second
	writeTimeout    = 5 * time.Second
	idleTimeout     = 30 * time.Second
	shutdownTimeout = time.Second
	maxHeaderBytes  = 8 << 10
	// maxConcurrent bounds the concurrent requests for metrics, and separately
	// those for JSON, because each of them makes the node's owner goroutine copy
	// its statistics.
	maxConcurrent = 2
)

// Paths of the server.
const (
	PathMetrics     = "/metrics" // in the Prometheus format
	PathAccounting  = "/figures"
	PathIdempotency = "/keep"
	PathCluster     = "/cluster"
	PathTrust       = "/recovery/trust"  // POST: see Source.Trust
	PathForget      = "/recovery/forget" // POST: see Source.Forget; the query parameter "box" names the node
)

// OperatorHeader is the header that names the operator. It is required on requests
// that change something. A page of another origin can't make a browser send it
// without a preflight request, which this server does not permit.
const OperatorHeader = "Frosthub-Said-By"

// Source is the node whose statistics the server returns. Its methods must be safe
// for concurrent use.
type Source interface {
	// Accounting returns the request counts.
	Accounting() accounting.Report
	// AccountingRecorded reports whether the request counts are recorded on disk. It
	// is also true for a node that is not configured to record them.
	AccountingRecorded() bool
	// IdempotencyStats returns nil if the node has no idempotency store.
	IdempotencyStats() *backend.IdempotencyStats
	// ClusterStats returns nil if the node is in no cluster.
	ClusterStats() *backend.ClusterStats
	// Trust makes the node treat its own store as complete.
	Trust() error
	// Forget makes the node stop waiting for the records of another node.
	Forget(node string) error
}

// Serve starts a server at the address and returns the address at which it listens.
// The server runs until stop is called, which gives requests in progress a second to
// finish. Errors after the start are logged.
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
	go func() { _ = server.Serve(listener) }() // returns when stop is called
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

	slots := make(chan struct{}, maxConcurrent) // shared by all JSON handlers
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

// jsonHandler returns a handler that responds with a value as JSON, or with status
// 503 if no slot is free.
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
		_ = json.NewEncoder(w).Encode(value()) // fails only if the client has disconnected
	}
}

// operatorHandler returns a handler that carries out and logs the decision of an
// operator. It responds with status 403 if OperatorHeader is missing, and with 409
// and the text of the error if the node rejects the decision.
func operatorHandler(path string, log *slog.Logger, decide func(*http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator := r.Header.Get(OperatorHeader)
		if operator == "" {
			http.Error(w, "said by nobody", http.StatusForbidden)
			return
		}
		if err := decide(r); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		log.Warn("operator decision", "path", path, "operator", operator)
	}
}
