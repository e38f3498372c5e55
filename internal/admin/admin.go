// Package admin serves the figures of a box to programs on the same machine: for Prometheus and as JSON.
package admin

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"frosthub/account"
)

const (
	readFor   = 2 * time.Second // for a question: they are short and come from this machine
	writeFor  = 5 * time.Second
	idleFor   = 30 * time.Second
	headMost  = 8 << 10
	atOnce    = 2 // questions answered at a time: each has the owner copy its figures
	pathQuery = "/metrics"
	pathJSON  = "/figures"
)

// Source has the figures.
type Source interface {
	Figures() account.Report
	FiguresRecorded() bool
}

// collector makes Prometheus' metrics of a source's figures.
type collector struct{ of Source }

var (
	byRow    = []string{"handler", "front"}
	taken    = prometheus.NewDesc("frosthub_reqs_taken_total", "Reqs taken.", byRow, nil)
	closed   = prometheus.NewDesc("frosthub_reqs_closed_total", "Reqs closed, by figure and reason.", append([]string{"figure", "reason"}, byRow...), nil)
	open     = prometheus.NewDesc("frosthub_reqs_open", "Reqs taken and not closed.", byRow, nil)
	customer = prometheus.NewDesc("frosthub_customer_reqs_total", "Reqs by customer and figure.", []string{"customer", "figure"}, nil)
	differs  = prometheus.NewDesc("frosthub_figures_differences_total", "Figures found that do not add up.", nil, nil)
	recorded = prometheus.NewDesc("frosthub_figures_recorded", "1 while the figures are recorded or need not be.", nil, nil)
	life     = prometheus.NewDesc("frosthub_figures_life", "Number of the present life.", nil, nil)
)

func (c collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{taken, closed, open, customer, differs, recorded, life} {
		out <- d
	}
}

func (c collector) Collect(out chan<- prometheus.Metric) {
	count := func(d *prometheus.Desc, n int64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	r := c.of.Figures()
	for _, row := range r.Rows {
		count(taken, row.Figures.Taken, row.Handler, row.Front)
		gauge(open, float64(row.Figures.Open), row.Handler, row.Front)
		for why, n := range row.Reasons {
			count(closed, n, account.ReasonOf(why).Figure().String(), why, row.Handler, row.Front)
		}
	}
	for _, x := range r.Customers {
		count(customer, x.Figures.Taken, x.Name, "taken")
		count(customer, x.Figures.Served, x.Name, "served")
		count(customer, x.Figures.Refused, x.Name, "refused")
		count(customer, x.Figures.Failed, x.Name, "failed")
	}
	count(differs, r.Differences)
	up := 0.0
	if c.of.FiguresRecorded() {
		up = 1
	}
	gauge(recorded, up)
	if n := len(r.Lives); n > 0 {
		gauge(life, float64(r.Lives[n-1].Number))
	}
}

// Serve answers at the address until the returned function is called, and says where it listens. Trouble after the start is logged.
func Serve(address string, of Source, log *slog.Logger) (stop func(), listens string, err error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{of})
	mux := http.NewServeMux()
	mux.Handle("GET "+pathQuery, promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: atOnce}))
	places := make(chan struct{}, atOnce)
	mux.HandleFunc("GET "+pathJSON, func(w http.ResponseWriter, _ *http.Request) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
		default:
			http.Error(w, "two others are being answered", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(of.Figures())
	})
	s := &http.Server{Handler: mux, ReadTimeout: readFor, WriteTimeout: writeFor, IdleTimeout: idleFor, MaxHeaderBytes: headMost,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	log.Info("admin", "listen", ln.Addr().String())
	go func() { _ = s.Serve(ln) }()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	}, ln.Addr().String(), nil
}
