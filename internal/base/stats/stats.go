// Package stats collects a host's metrics and exports them in the Prometheus
// text format.
package stats

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Set holds one host's metrics. The zero value is ready to use.
type Set struct {
	once sync.Once
	// counters holds the counters and gauges, histograms all else.
	counters, histograms *metrics.Set
}

func (set *Set) create() {
	set.once.Do(func() { set.counters, set.histograms = metrics.NewSet(), metrics.NewSet() })
}

func (set *Set) metrics() *metrics.Set {
	set.create()
	return set.counters
}

func (set *Set) histogram(name string) *metrics.Histogram {
	set.create()
	return set.histograms.GetOrCreateHistogram(name)
}

// Refused counts a refusal returned to a caller, by its reason and by whether
// the request ran.
func (set *Set) Refused(reason, ran string) {
	set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_refusals_total{reason=%q,ran=%q}`, reason, ran)).Inc()
}

// Retried counts a retry, by reason.
func (set *Set) Retried(reason string) {
	set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_retries_total{reason=%q}`, reason)).Inc()
}

// Answered counts an answered request of a workspace and records how long it took.
func (set *Set) Answered(service, workspace string, took time.Duration) {
	labels := fmt.Sprintf(`{service=%q,workspace=%q}`, service, workspace)
	set.metrics().GetOrCreateCounter("damaskcrank_answers_total" + labels).Inc()
	set.histogram("damaskcrank_answer_seconds" + labels).Update(took.Seconds())
}

// Moved counts changes of ownership. The kind is "slot" or "shard".
func (set *Set) Moved(kind string, count int) {
	set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_moves_total{kind=%q}`, kind)).Add(count)
}

// Policy counts a request handled under a policy and records how long it took.
func (set *Set) Policy(service, policy, outcome string, took time.Duration) {
	labels := fmt.Sprintf(`{service=%q,policy=%q,outcome=%q}`, service, policy, outcome)
	set.metrics().GetOrCreateCounter("damaskcrank_policy_requests_total" + labels).Inc()
	set.histogram("damaskcrank_policy_seconds" + labels).Update(took.Seconds())
}

// Spilled counts a request that looks for an upstream in another data centre first, by reason.
func (set *Set) Spilled(service, from, to, reason string) {
	set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_spilled_total{service=%q,from=%q,to=%q,reason=%q}`, service, from, to, reason)).Inc()
}

// Version counts a request to an upstream of a version of a service by its outcome.
func (set *Set) Version(service, version, outcome string) {
	set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_version_requests_total{service=%q,version=%q,outcome=%q}`, service, version, outcome)).Inc()
}

// Event counts an event, by name and reason.
func (set *Set) Event(name, reason string) {
	set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_events_total{event=%q,reason=%q}`, name, reason)).Inc()
}

// Transferred counts bytes that passed the host's link, by direction and by whether they were
// paced: those of large answers are.
func (set *Set) Transferred(direction, size string, bytes int) {
	set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_link_bytes_total{direction=%q,size=%q}`, direction, size)).Add(bytes)
}

// EventCount returns the current count of an event.
func (set *Set) EventCount(name, reason string) uint64 {
	return set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_events_total{event=%q,reason=%q}`, name, reason)).Get()
}

// Gauge registers a gauge whose value is read whenever metrics are written.
func (set *Set) Gauge(name string, read func() float64) {
	set.metrics().GetOrCreateGauge("damaskcrank_"+name, read)
}

// Write writes all metrics and those of the process in the Prometheus text format. The
// counters come first, for collectors that keep the beginning of a long response.
func (set *Set) Write(writer io.Writer) {
	set.create()
	set.counters.WritePrometheus(writer)
	set.histograms.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}
