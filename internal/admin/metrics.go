package admin

import (
	"frosthub/accounting"
	"frosthub/backend"

	"github.com/prometheus/client_golang/prometheus"
)

// The metrics. Their names and labels are fixed because dashboards and alerts use
// them.
var (
	rowLabels = []string{"handler", "front"}

	requestsReceived = newDesc("frosthub_reqs_taken_total", "Reqs taken.", rowLabels...)
	requestsClosed   = newDesc("frosthub_reqs_closed_total", "Reqs closed, by figure and reason.",
		"figure", "reason", "handler", "front")
	requestsOpen       = newDesc("frosthub_reqs_open", "Reqs taken and not closed.", rowLabels...)
	customerRequests   = newDesc("frosthub_customer_reqs_total", "Reqs by customer and figure.", "customer", "figure")
	accountingMismatch = newDesc("frosthub_figures_differences_total", "Figures found that do not add up.")
	accountingRecorded = newDesc("frosthub_figures_recorded", "1 while the figures are recorded or need not be.")
	incarnationNumber  = newDesc("frosthub_figures_life", "Number of the present life.")

	storeKeys        = newDesc("frosthub_keep_keys", "Keys kept of what must not run twice, by state.", "state")
	storeResultBytes = newDesc("frosthub_keep_result_bytes", "Bytes of results kept.")
	storeProtects    = newDesc("frosthub_keep_protects", "1 while guarded reqs can be protected.")
	storeVerdicts    = newDesc("frosthub_keep_verdicts_total", "Reqs that met what is kept, by verdict.", "verdict")
	storeCommits     = newDesc("frosthub_keep_commits_total", "Commits that the disk confirmed.")
	storeRecords     = newDesc("frosthub_keep_records_total", "Records in them.")

	clusterMembers  = newDesc("frosthub_cluster_members", "Boxes of the cluster as this one sees them, by state.", "state")
	clusterRequests = newDesc("frosthub_cluster_reqs", "Reqs held, waited for, noted for others, and of those begun.", "part")
	clusterTotal    = newDesc("frosthub_cluster_total", "Reqs taken over, lost to others, joined, in doubt, and ends found.", "what")
)

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

// collector converts the statistics of a source to metrics at each scrape.
type collector struct{ source Source }

// Describe sends the descriptions of all metrics.
func (c collector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		requestsReceived,
		requestsClosed,
		requestsOpen,
		customerRequests,
		accountingMismatch,
		accountingRecorded,
		incarnationNumber,
		storeKeys,
		storeResultBytes,
		storeProtects,
		storeVerdicts,
		storeCommits,
		storeRecords,
		clusterMembers,
		clusterRequests,
		clusterTotal,
	} {
		descs <- desc
	}
}

// Collect sends the current values of all metrics.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	s := sink(metrics)
	s.sendAccounting(c.source.Accounting(), c.source.AccountingRecorded())
	if stats := c.source.ClusterStats(); stats != nil {
		s.sendCluster(stats)
	}
	if stats := c.source.IdempotencyStats(); stats != nil {
		s.sendIdempotency(stats)
	}
}

// sink receives the metrics of one scrape.
type sink chan<- prometheus.Metric

func (s sink) counter(desc *prometheus.Desc, n int64, labels ...string) {
	s <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n), labels...)
}

func (s sink) gauge(desc *prometheus.Desc, value float64, labels ...string) {
	s <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

// flag sends 1 for true and 0 for false.
func (s sink) flag(desc *prometheus.Desc, value bool) {
	if value {
		s.gauge(desc, 1)
		return
	}
	s.gauge(desc, 0)
}

func (s sink) sendAccounting(report accounting.Report, recorded bool) {
	for _, row := range report.Rows {
		s.counter(requestsReceived, row.Counts.Received, row.Handler, row.Frontend)
		s.gauge(requestsOpen, float64(row.Counts.Open), row.Handler, row.Frontend)
		for reason, n := range row.Reasons {
			category := accounting.ParseReason(reason).Category().String()
			s.counter(requestsClosed, n, category, reason, row.Handler, row.Frontend)
		}
	}
	for _, customer := range report.Customers {
		s.counter(customerRequests, customer.Counts.Received, customer.Name, "taken")
		s.counter(customerRequests, customer.Counts.Served, customer.Name, "served")
		s.counter(customerRequests, customer.Counts.Rejected, customer.Name, "refused")
		s.counter(customerRequests, customer.Counts.Failed, customer.Name, "failed")
	}
	s.counter(accountingMismatch, report.Mismatches)
	s.flag(accountingRecorded, recorded)
	if n := len(report.Incarnations); n > 0 {
		s.gauge(incarnationNumber, float64(report.Incarnations[n-1].Number))
	}
}

func (s sink) sendCluster(stats *backend.ClusterStats) {
	members := map[string]int{}
	for _, member := range stats.Members {
		members[member.State]++
	}
	for state, n := range members {
		s.gauge(clusterMembers, float64(n), state)
	}
	failover := &stats.Failover
	s.gauge(clusterRequests, float64(failover.Held), "holds")
	s.gauge(clusterRequests, float64(failover.Waiting), "waits")
	s.gauge(clusterRequests, float64(failover.Reservations), "notes")
	s.gauge(clusterRequests, float64(failover.Started), "begun")
	s.counter(clusterTotal, failover.TakenOver, "taken")
	s.counter(clusterTotal, failover.Lost, "lost")
	s.counter(clusterTotal, failover.Joined, "joined")
	s.counter(clusterTotal, failover.OutcomeUnknown, "in-doubt")
	s.counter(clusterTotal, failover.FoundAtProcessor, "found")
}

func (s sink) sendIdempotency(stats *backend.IdempotencyStats) {
	store := &stats.Store
	s.gauge(storeKeys, float64(store.Keys-store.OutcomeUnknown-store.InFlight), "ended")
	s.gauge(storeKeys, float64(store.OutcomeUnknown), "in-doubt")
	s.gauge(storeKeys, float64(store.InFlight), "in-hand")
	s.gauge(storeKeys, float64(store.Fingerprints), "print")
	s.gauge(storeResultBytes, float64(store.ResultBytes))
	s.flag(storeProtects, !stats.Loading && !stats.StoreFailed)
	s.counter(storeVerdicts, stats.Replayed, "repeated")
	s.counter(storeVerdicts, stats.OutcomeUnknown, "in-doubt")
	s.counter(storeVerdicts, stats.Expired, "aged")
	s.counter(storeVerdicts, stats.HistoryLost, "blind")
	s.counter(storeVerdicts, stats.Rejected, "refused")
	s.counter(storeCommits, stats.Log.Commits)
	s.counter(storeRecords, stats.Log.Records)
}
