// Package stats counts and times what the system does, by reason.
package stats

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Set is one host's metrics. The zero Set works.
type Set struct {
	once sync.Once
	set  *metrics.Set
}

func (set *Set) metrics() *metrics.Set {
	set.once.Do(func() { set.set = metrics.NewSet() })
	return set.set
}

// Refused counts a refusal that a caller got.
func (set *Set) Refused(reason, ran string) {
	set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_refusals_total{reason=%q,ran=%q}`, reason, ran)).Inc()
}

// Retried counts a retry.
func (set *Set) Retried(reason string) {
	set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_retries_total{reason=%q}`, reason)).Inc()
}

// Answered counts and times an answered request of a workspace.
func (set *Set) Answered(service, workspace string, took time.Duration) {
	labels := fmt.Sprintf(`{service=%q,workspace=%q}`, service, workspace)
	set.metrics().GetOrCreateCounter("damaskcrank_answers_total" + labels).Inc()
	set.metrics().GetOrCreateHistogram("damaskcrank_answer_seconds" + labels).Update(took.Seconds())
}

// Moved counts a change of ownership: kind is "slot" or "shard".
func (set *Set) Moved(kind string, count int) {
	set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_moves_total{kind=%q}`, kind)).Add(count)
}

// Policy counts and times a request under a policy.
func (set *Set) Policy(service, policy, outcome string, took time.Duration) {
	labels := fmt.Sprintf(`{service=%q,policy=%q,outcome=%q}`, service, policy, outcome)
	set.metrics().GetOrCreateCounter("damaskcrank_policy_requests_total" + labels).Inc()
	set.metrics().GetOrCreateHistogram("damaskcrank_policy_seconds" + labels).Update(took.Seconds())
}

// Event counts something that happened, by name and reason.
func (set *Set) Event(name, reason string) {
	set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_events_total{event=%q,reason=%q}`, name, reason)).Inc()
}

// Counter returns the value of an event's counter.
func (set *Set) Counter(name, reason string) uint64 {
	return set.metrics().GetOrCreateCounter(fmt.Sprintf(`damaskcrank_events_total{event=%q,reason=%q}`, name, reason)).Get()
}

// Gauge registers a value that is read when metrics are written.
func (set *Set) Gauge(name string, read func() float64) {
	set.metrics().GetOrCreateGauge("damaskcrank_"+name, read)
}

// Write writes all metrics in the Prometheus text format.
func (set *Set) Write(writer io.Writer) {
	set.metrics().WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}
