package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
)

const (
	// bucketWidth is the time span that one point of a series covers.
	bucketWidth = 100 * time.Millisecond
	// maxLatency is the highest latency that the histograms can record.
	maxLatency = 2 * time.Minute
	// histogramDigits is the number of significant digits of the histograms.
	histogramDigits = 3
	// quantile50, quantile99 and quantile999 are the reported quantiles, in percent.
	quantile50  = 50
	quantile99  = 99
	quantile999 = 99.9
)

func sortByDueTime(requests []plannedRequest) {
	slices.SortFunc(requests, func(left, right plannedRequest) int { return int(left.due - right.due) })
}

// bucket counts the requests that were due within one bucketWidth.
type bucket struct {
	offered  int
	answered int
	failed   int
	// slowest is the highest latency of the answered requests.
	slowest time.Duration
}

// tally counts one workspace's requests.
type tally struct {
	offered     int
	withinLimit int
	answered    int
	// overRate is the number of requests refused because of the rate limit.
	overRate int
	// lastAnswer is when the last response arrived, as an offset from the start of
	// the run.
	lastAnswer time.Duration
	latencies  *hdrhistogram.Histogram
}

// writeOutcome is the result of a write as reported to the caller.
type writeOutcome struct {
	key      string
	answered bool
	notRun   bool
}

// Recorder collects the results of a run. It is safe for concurrent use.
type Recorder struct {
	plan      Plan
	mutex     sync.Mutex
	buckets   []bucket
	tallies   []tally
	reasons   map[string]int
	latencies *hdrhistogram.Histogram
	writes    []writeOutcome
	crossed   int
}

func newRecorder(plan Plan) *Recorder {
	recorder := &Recorder{
		plan: plan, reasons: map[string]int{}, latencies: newHistogram(),
		buckets: make([]bucket, int(plan.Duration/bucketWidth)+1), tallies: make([]tally, len(plan.Workspaces)),
	}
	for position := range recorder.tallies {
		recorder.tallies[position].latencies = newHistogram()
	}
	return recorder
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
}

// isRateRefusal reports whether a refusal means that the workspace exceeded its
// rate limit.
func isRateRefusal(reason string) bool {
	return reason == string(calls.ReasonOverRate) || reason == string(calls.ReasonQuotaUnavailable)
}

func (recorder *Recorder) add(planned plannedRequest, result outcome, latency time.Duration) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	tally := &recorder.tallies[planned.workspace]
	bucket := &recorder.buckets[int(planned.due/bucketWidth)]
	tally.offered++
	bucket.offered++
	if planned.withinLimit {
		tally.withinLimit++
	}
	if result.crossed {
		recorder.crossed++
	}
	if planned.write {
		recorder.writes = append(recorder.writes, writeOutcome{
			key: recorder.plan.WriteKey(planned.number), answered: result.answered(), notRun: result.ran == string(calls.RanNot),
		})
	}
	if result.answered() {
		tally.answered++
		tally.lastAnswer = max(tally.lastAnswer, planned.due+latency)
		bucket.answered++
		bucket.slowest = max(bucket.slowest, latency)
		_ = tally.latencies.RecordValue(min(latency, maxLatency).Microseconds())
		_ = recorder.latencies.RecordValue(min(latency, maxLatency).Microseconds())
		return
	}
	recorder.reasons[recorder.reason(result)]++
	if isRateRefusal(result.reason) {
		tally.overRate++
		return
	}
	bucket.failed++
}

// reason returns a short description of why a request was not answered.
func (recorder *Recorder) reason(result outcome) string {
	switch {
	case result.reason != "":
		return result.reason + "/" + result.ran
	case result.err != nil && timedOut(result.err):
		return "client timeout"
	case result.err != nil:
		return "connection failed"
	default:
		return "status"
	}
}

// WorkspaceSummary is the result of a run for one workspace.
type WorkspaceSummary struct {
	Name     string
	Offered  int
	Answered int
	// Served is the number of answered requests as a fraction of those within the
	// rate limit, at most 1.
	Served float64
	// Wrongful is the number of rate limit refusals beyond those of an ideal rate
	// limiter: requests that the rate allowed and that were refused.
	Wrongful int
	// Excess is the number of answered requests beyond rate * time + burst.
	Excess int
	Median time.Duration
	P99    time.Duration
}

// Summary is the result of a run. Latencies cover answered requests only.
type Summary struct {
	Offered  int
	Answered int
	Median   time.Duration
	P99      time.Duration
	P999     time.Duration
	Max      time.Duration
	// Unavailable is the time in which requests failed, weighted by the fraction
	// that failed. Rate limit refusals do not count as failures.
	Unavailable time.Duration
	// LongestGap is the longest period in which requests were due and none of them
	// was answered.
	LongestGap time.Duration
	Wrongful   int
	Excess     int
	// Crossed is the number of responses that belonged to another request.
	Crossed int
	// Worst is the workspace with the lowest value of Served.
	Worst      WorkspaceSummary
	Workspaces []WorkspaceSummary
	Reasons    []ReasonCount
}

// ReasonCount is the number of requests that failed for one reason.
type ReasonCount struct {
	Reason string
	Count  int
}

// Summary returns the results of the run.
func (recorder *Recorder) Summary() Summary {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	summary := Summary{
		Median: quantile(recorder.latencies, quantile50), P99: quantile(recorder.latencies, quantile99),
		P999: quantile(recorder.latencies, quantile999), Max: time.Duration(recorder.latencies.Max()) * time.Microsecond,
		Crossed: recorder.crossed,
	}
	for position, tally := range recorder.tallies {
		row := tally.summary(recorder.plan.Workspaces[position])
		summary.Offered += row.Offered
		summary.Answered += row.Answered
		summary.Wrongful += row.Wrongful
		summary.Excess += row.Excess
		summary.Workspaces = append(summary.Workspaces, row)
		if position == 0 || row.Served < summary.Worst.Served {
			summary.Worst = row
		}
	}
	recorder.availability(&summary)
	for reason, count := range recorder.reasons {
		summary.Reasons = append(summary.Reasons, ReasonCount{Reason: reason, Count: count})
	}
	slices.SortFunc(summary.Reasons, func(left, right ReasonCount) int { return right.Count - left.Count })
	return summary
}

func (tally *tally) summary(workspace Workspace) WorkspaceSummary {
	row := WorkspaceSummary{
		Name: workspace.Name, Offered: tally.offered, Answered: tally.answered,
		Wrongful: max(0, tally.withinLimit-(tally.offered-tally.overRate)),
		Median:   quantile(tally.latencies, quantile50), P99: quantile(tally.latencies, quantile99), Served: 1,
	}
	if workspace.Rate > 0 {
		allowed := workspace.Rate*tally.lastAnswer.Seconds() + workspace.Burst
		row.Excess = max(0, tally.answered-int(allowed))
	}
	if tally.withinLimit > 0 {
		row.Served = min(1, float64(tally.answered)/float64(tally.withinLimit))
	}
	return row
}

func quantile(latencies *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(latencies.ValueAtQuantile(percent)) * time.Microsecond
}

// availability sets Unavailable and LongestGap.
func (recorder *Recorder) availability(summary *Summary) {
	gap := time.Duration(0)
	for _, bucket := range recorder.buckets {
		if bucket.offered == 0 {
			continue
		}
		summary.Unavailable += bucketWidth * time.Duration(bucket.failed) / time.Duration(bucket.offered)
		if bucket.answered > 0 {
			gap = 0
			continue
		}
		gap += bucketWidth
		summary.LongestGap = max(summary.LongestGap, gap)
	}
}

// Point is one point of a run's time series. It covers the requests that were due
// within one bucketWidth from At.
type Point struct {
	At       time.Duration
	Offered  int
	Answered int
	Failed   int
	Slowest  time.Duration
}

// Series returns the run as a time series.
func (recorder *Recorder) Series() []Point {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	var points []Point
	for position, bucket := range recorder.buckets {
		points = append(points, Point{
			At: time.Duration(position) * bucketWidth, Offered: bucket.offered, Answered: bucket.answered,
			Failed: bucket.failed, Slowest: bucket.slowest,
		})
	}
	return points
}

// ExecutionCounter reports how often a write ran.
type ExecutionCounter interface{ Executions(key string) int }

// WriteCheck compares the write results that callers received with the writes
// that ran.
type WriteCheck struct {
	Writes       int
	Acknowledged int
	// Lost is the number of acknowledged writes that did not run.
	Lost int
	// Doubled is the number of writes that ran more than once.
	Doubled int
	// FalseNotRun is the number of writes that were refused as not run but did run.
	FalseNotRun int
}

// CheckWrites compares the callers' view of the writes with the upstreams'
// journal.
func (recorder *Recorder) CheckWrites(executioncounter ExecutionCounter) WriteCheck {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	check := WriteCheck{Writes: len(recorder.writes)}
	for _, write := range recorder.writes {
		count := executioncounter.Executions(write.key)
		if write.answered {
			check.Acknowledged++
		}
		if write.answered && count == 0 {
			check.Lost++
		}
		if count > 1 {
			check.Doubled++
		}
		if write.notRun && count > 0 {
			check.FalseNotRun++
		}
	}
	return check
}
