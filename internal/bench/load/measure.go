package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
)

const (
	// bucketLength is the time that one point of a series stands for.
	bucketLength  = 100 * time.Millisecond
	maxRecorded   = 2 * time.Minute
	histPrecision = 3
	// Quantiles that are reported.
	quantile50  = 50
	quantile99  = 99
	quantile999 = 99.9
)

func sortShots(shots []shot) {
	slices.SortFunc(shots, func(left, right shot) int { return int(left.due - right.due) })
}

// bucket counts what was due in a short time.
type bucket struct {
	offered  int
	answered int
	failed   int
	slowest  time.Duration
}

// tally counts one workspace's requests.
type tally struct {
	offered  int
	within   int
	answered int
	// overRate are refusals for the rate.
	overRate int
	// lastAnswer is when the last answer came, from the start of the run.
	lastAnswer time.Duration
	times      *hdrhistogram.Histogram
}

// write is what a caller was told of a write.
type write struct {
	key      string
	answered bool
	notRun   bool
}

// Measures collects results. It is safe for concurrent use.
type Measures struct {
	plan    Plan
	mutex   sync.Mutex
	buckets []bucket
	tallies []tally
	reasons map[string]int
	times   *hdrhistogram.Histogram
	writes  []write
	crossed int
}

func newMeasures(plan Plan) *Measures {
	measures := &Measures{
		plan: plan, reasons: map[string]int{}, times: newHistogram(),
		buckets: make([]bucket, int(plan.Duration/bucketLength)+1), tallies: make([]tally, len(plan.Workspaces)),
	}
	for position := range measures.tallies {
		measures.tallies[position].times = newHistogram()
	}
	return measures
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), histPrecision)
}

// overLimit tells whether a refusal says that the workspace sent too much.
func overLimit(reason string) bool {
	return reason == string(calls.ReasonOverRate) || reason == string(calls.ReasonQuotaUnavailable)
}

func (measures *Measures) add(next shot, result seen, took time.Duration) {
	measures.mutex.Lock()
	defer measures.mutex.Unlock()
	tally := &measures.tallies[next.workspace]
	bucket := &measures.buckets[int(next.due/bucketLength)]
	tally.offered++
	bucket.offered++
	if next.within {
		tally.within++
	}
	if result.crossed {
		measures.crossed++
	}
	if next.write {
		measures.writes = append(measures.writes, write{
			key: measures.plan.WriteKey(next.number), answered: result.answered(), notRun: result.ran == string(calls.RanNot),
		})
	}
	if result.answered() {
		tally.answered++
		tally.lastAnswer = max(tally.lastAnswer, next.due+took)
		bucket.answered++
		bucket.slowest = max(bucket.slowest, took)
		_ = tally.times.RecordValue(min(took, maxRecorded).Microseconds())
		_ = measures.times.RecordValue(min(took, maxRecorded).Microseconds())
		return
	}
	measures.reasons[measures.reason(result)]++
	if overLimit(result.reason) {
		tally.overRate++
		return
	}
	bucket.failed++
}

// reason names why a request was not answered.
func (measures *Measures) reason(result seen) string {
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

// WorkspaceSummary is how one workspace fared.
type WorkspaceSummary struct {
	Name     string
	Offered  int
	Answered int
	// Served is the share of the requests within the rate that were answered.
	Served float64
	// Wrongful are refusals for the rate beyond those of a perfect limiter: the
	// requests that the rate would have let pass and that were refused.
	Wrongful int
	// Excess are answers beyond rate times time plus burst.
	Excess int
	Median time.Duration
	P99    time.Duration
}

// Summary is the result of a run in the brief's measures.
type Summary struct {
	Offered  int
	Answered int
	Median   time.Duration
	P99      time.Duration
	P999     time.Duration
	Max      time.Duration
	// Unavailable is the time in which requests failed, weighted by the share
	// that did; refusals for the rate do not count.
	Unavailable time.Duration
	// LongestGap is the longest time in which requests were due and none that
	// was due in it was answered.
	LongestGap time.Duration
	Wrongful   int
	Excess     int
	Crossed    int
	Worst      WorkspaceSummary
	Workspaces []WorkspaceSummary
	Reasons    []ReasonCount
}

// ReasonCount is how often a reason came up.
type ReasonCount struct {
	Reason string
	Count  int
}

// Summary returns the results.
func (measures *Measures) Summary() Summary {
	measures.mutex.Lock()
	defer measures.mutex.Unlock()
	summary := Summary{
		Median: quantile(measures.times, quantile50), P99: quantile(measures.times, quantile99),
		P999: quantile(measures.times, quantile999), Max: time.Duration(measures.times.Max()) * time.Microsecond,
		Crossed: measures.crossed,
	}
	for position, tally := range measures.tallies {
		row := tally.summary(measures.plan.Workspaces[position])
		summary.Offered += row.Offered
		summary.Answered += row.Answered
		summary.Wrongful += row.Wrongful
		summary.Excess += row.Excess
		summary.Workspaces = append(summary.Workspaces, row)
		if position == 0 || row.Served < summary.Worst.Served {
			summary.Worst = row
		}
	}
	measures.availability(&summary)
	for reason, count := range measures.reasons {
		summary.Reasons = append(summary.Reasons, ReasonCount{Reason: reason, Count: count})
	}
	slices.SortFunc(summary.Reasons, func(left, right ReasonCount) int { return right.Count - left.Count })
	return summary
}

func (tally *tally) summary(workspace Workspace) WorkspaceSummary {
	row := WorkspaceSummary{
		Name: workspace.Name, Offered: tally.offered, Answered: tally.answered,
		Wrongful: max(0, tally.within-(tally.offered-tally.overRate)),
		Median:   quantile(tally.times, quantile50), P99: quantile(tally.times, quantile99), Served: 1,
	}
	if workspace.Rate > 0 {
		allowed := workspace.Rate*tally.lastAnswer.Seconds() + workspace.Burst
		row.Excess = max(0, tally.answered-int(allowed))
	}
	if tally.within > 0 {
		row.Served = min(1, float64(tally.answered)/float64(tally.within))
	}
	return row
}

func quantile(times *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(times.ValueAtQuantile(percent)) * time.Microsecond
}

func (measures *Measures) availability(summary *Summary) {
	gap := time.Duration(0)
	for _, bucket := range measures.buckets {
		if bucket.offered == 0 {
			continue
		}
		summary.Unavailable += bucketLength * time.Duration(bucket.failed) / time.Duration(bucket.offered)
		if bucket.answered > 0 {
			gap = 0
			continue
		}
		gap += bucketLength
		summary.LongestGap = max(summary.LongestGap, gap)
	}
}

// Point is one point of a run's series.
type Point struct {
	At       time.Duration
	Offered  int
	Answered int
	Failed   int
	Slowest  time.Duration
}

// Series returns the run over time.
func (measures *Measures) Series() []Point {
	measures.mutex.Lock()
	defer measures.mutex.Unlock()
	var points []Point
	for position, bucket := range measures.buckets {
		points = append(points, Point{
			At: time.Duration(position) * bucketLength, Offered: bucket.offered, Answered: bucket.answered,
			Failed: bucket.failed, Slowest: bucket.slowest,
		})
	}
	return points
}

// Runs tells how often a write ran.
type Runs interface{ Runs(key string) int }

// WriteCheck compares what callers were told of writes with what ran.
type WriteCheck struct {
	Writes       int
	Acknowledged int
	// Lost were acknowledged and did not run.
	Lost int
	// Doubled ran more than once.
	Doubled int
	// FalseNotRun were refused as not run and did run.
	FalseNotRun int
}

// CheckWrites compares the callers' view with the upstreams' journal.
func (measures *Measures) CheckWrites(runs Runs) WriteCheck {
	measures.mutex.Lock()
	defer measures.mutex.Unlock()
	check := WriteCheck{Writes: len(measures.writes)}
	for _, write := range measures.writes {
		count := runs.Runs(write.key)
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
