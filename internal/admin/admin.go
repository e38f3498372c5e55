// Package admin serves the figures of a box to programs on the same machine: for Prometheus and as JSON.
package admin

import (
	"context"
	"encoding/json"
	"frosthub/accounting"
	"frosthub/backend"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	readFor   = 2 * time.Second // for a question: they are short and come from this machine
	writeFor  = 5 * time.Second
	idleFor   = 30 * time.Second
	headMost  = 8 << 10
	atOnce    = 2 // questions answered at a time: each has the owner copy its figures
	pathQuery = "/metrics"
	pathJSON  = "/figures"
	pathKeep  = "/keep"
	pathBoxes = "/cluster"
	pathTrust = "/recovery/trust"
	pathGone  = "/recovery/forget"

	// OperatorHeader is a header that what changes something must have: a page in a browser can't send it here unasked.
	OperatorHeader = "Frosthub-Said-By"
)

// Source has the figures.
type Source interface {
	Accounting() accounting.Report
	AccountingRecorded() bool
	IdempotencyStats() *backend.IdempotencyStats // nil where nothing is kept
	ClusterStats() *backend.ClusterStats         // nil without a cluster
	Trust() error
	Forget(box string) error
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
	keptKeys = prometheus.NewDesc("frosthub_keep_keys", "Keys kept of what must not run twice, by state.", []string{"state"}, nil)
	keptSize = prometheus.NewDesc("frosthub_keep_result_bytes", "Bytes of results kept.", nil, nil)
	keptGood = prometheus.NewDesc("frosthub_keep_protects", "1 while guarded reqs can be protected.", nil, nil)
	keptMet  = prometheus.NewDesc("frosthub_keep_verdicts_total", "Reqs that met what is kept, by verdict.", []string{"verdict"}, nil)
	keptDisk = prometheus.NewDesc("frosthub_keep_commits_total", "Commits that the disk confirmed.", nil, nil)
	keptLog  = prometheus.NewDesc("frosthub_keep_records_total", "Records in them.", nil, nil)
	boxes    = prometheus.NewDesc("frosthub_cluster_members", "Boxes of the cluster as this one sees them, by state.", []string{"state"}, nil)
	boxReqs  = prometheus.NewDesc("frosthub_cluster_reqs", "Reqs held, waited for, noted for others, and of those begun.", []string{"part"}, nil)
	boxMet   = prometheus.NewDesc("frosthub_cluster_total", "Reqs taken over, lost to others, joined, in doubt, and ends found.", []string{"what"}, nil)
	life     = prometheus.NewDesc("frosthub_figures_life", "Number of the present life.", nil, nil)
)

func (c collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		taken, closed, open, customer, differs, recorded, life, keptKeys, keptSize, keptGood,
		keptMet, keptDisk, keptLog, boxes, boxReqs, boxMet,
	} {
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
	r := c.of.Accounting()
	for _, row := range r.Rows {
		count(taken, row.Figures.Received, row.Handler, row.Front)
		gauge(open, float64(row.Figures.Open), row.Handler, row.Front)
		for why, n := range row.Reasons {
			count(closed, n, accounting.ReasonOf(why).Category().String(), why, row.Handler, row.Front)
		}
	}
	for _, x := range r.Customers {
		count(customer, x.Figures.Received, x.Name, "taken")
		count(customer, x.Figures.Served, x.Name, "served")
		count(customer, x.Figures.Rejected, x.Name, "refused")
		count(customer, x.Figures.Failed, x.Name, "failed")
	}
	count(differs, r.Mismatches)
	up := 0.0
	if c.of.AccountingRecorded() {
		up = 1
	}
	gauge(recorded, up)
	if n := len(r.Incarnations); n > 0 {
		gauge(life, float64(r.Incarnations[n-1].Number))
	}
	if s := c.of.ClusterStats(); s != nil {
		states := map[string]int{}
		for _, m := range s.Members {
			states[m.State]++
		}
		for state, n := range states {
			gauge(boxes, float64(n), state)
		}
		for part, n := range map[string]int{"holds": s.Failover.Held, "waits": s.Failover.Waiting, "notes": s.Failover.Notes, "begun": s.Failover.Running} {
			gauge(boxReqs, float64(n), part)
		}
		for what, n := range map[string]int64{
			"taken": s.Failover.TakenOver, "lost": s.Failover.Lost, "joined": s.Failover.Joined, "in-doubt": s.Failover.OutcomeUnknown,
			"found": s.Failover.FoundAtProcessor,
		} {
			count(boxMet, n, what)
		}
	}
	k := c.of.IdempotencyStats()
	if k == nil {
		return
	}
	gauge(keptKeys, float64(k.Store.Keys-k.Store.OutcomeUnknown-k.Store.InFlight), "ended")
	gauge(keptKeys, float64(k.Store.OutcomeUnknown), "in-doubt")
	gauge(keptKeys, float64(k.Store.InFlight), "in-hand")
	gauge(keptKeys, float64(k.Store.Fingerprints), "print")
	gauge(keptSize, float64(k.Store.Bytes))
	protects := 1.0
	if k.Loading || k.StoreFailed {
		protects = 0
	}
	gauge(keptGood, protects)
	for word, n := range map[string]int64{"repeated": k.Replayed, "in-doubt": k.OutcomeUnknown, "aged": k.Expired, "blind": k.HistoryLost, "refused": k.Rejected} {
		count(keptMet, n, word)
	}
	count(keptDisk, k.Log.Commits)
	count(keptLog, k.Log.Records)
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
	asJSON := func(path string, what func() any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			select {
			case places <- struct{}{}:
				defer func() { <-places }()
			default:
				http.Error(w, "two others are being answered", http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(what())
		})
	}
	asJSON(pathJSON, func() any { return of.Accounting() })
	asJSON(pathBoxes, func() any { return of.ClusterStats() })
	asJSON(pathKeep, func() any { return of.IdempotencyStats() })
	said := func(path string, do func(r *http.Request) error) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(OperatorHeader) == "" {
				http.Error(w, "said by nobody", http.StatusForbidden)
				return
			}
			if err := do(r); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			log.Warn("admin", "said", path, "by", r.Header.Get(OperatorHeader))
		})
	}
	said(pathTrust, func(*http.Request) error { return of.Trust() })
	said(pathGone, func(r *http.Request) error { return of.Forget(r.URL.Query().Get("box")) })
	s := &http.Server{
		Handler: mux, ReadTimeout: readFor, WriteTimeout: writeFor, IdleTimeout: idleFor, MaxHeaderBytes: headMost,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	log.Info("admin", "listen", ln.Addr().String())
	go func() { _ = s.Serve(ln) }()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	}, ln.Addr().String(), nil
}
