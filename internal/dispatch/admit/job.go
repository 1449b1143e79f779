package admit

import (
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// Reason is the cause of a refusal.
type Reason string

// The reasons for refusals.
const (
	ReasonNoUpstream Reason = "noUpstream"
	ReasonNoOwner    Reason = "noOwner"
	// ReasonHopeless means that the answer would arrive after the deadline or, during
	// an overload, after the goal.
	ReasonHopeless Reason = "hopeless"
	// ReasonWaited means that the request was queued until too little time was left
	// before its deadline.
	ReasonWaited    Reason = "waitedTooLong"
	ReasonQueueFull Reason = "queueFull"
	// ReasonQuarantined means that upstreams ended while they ran the request.
	ReasonQuarantined Reason = "quarantined"
	// ReasonLimited means that the upstream names a rate limit, and the request's turn
	// would come too late.
	ReasonLimited Reason = "limited"
	// ReasonNoPrimary means that the upstream names a rate limit, and no host that admits
	// requests to it was reached.
	ReasonNoPrimary Reason = "noPrimary"
	// ReasonResting means that the upstream wants no requests from this host for a time
	// that ends too late.
	ReasonResting Reason = "resting"
	// ReasonOwnShare means that no primary of the upstreams replied in time, and that this
	// host has used up its own share of their capacity.
	ReasonOwnShare Reason = "ownShare"
	// ReasonUnsent means that the deadline came before the request could be sent.
	ReasonUnsent Reason = "unsent"
	// ReasonCallerLeft means that the caller canceled the request.
	ReasonCallerLeft Reason = "callerLeft"
)

// Job describes a request that needs an upstream.
type Job struct {
	Service string
	// Keyed is set for a request that must go to the owner of Key.
	Keyed bool
	Key   uint16
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// Goal is the soft deadline, after which an answer is worth less. After
	// Deadline it is worth nothing.
	Goal     time.Time
	Deadline time.Time
	// Owner, if set, names the upstream itself, in place of the owner of Key.
	Owner spans.Owner
	// DataCentre, if set, restricts the choice to the upstreams of one data centre.
	DataCentre string
	// Group, if set, restricts the choice to one of the groups of upstreams.
	Group Group
	// Version, if set, restricts the choice to the upstreams of one version.
	Version string
	// Avoid lists the upstreams that a request without a key must not go to.
	Avoid []spans.Owner

	// own is set if the request uses the host's own share.
	own bool
}

// eligible reports whether a request without a key may go to the target.
func (job Job) eligible(target Target) bool {
	return !target.Draining && job.matchesVersion(target) && (job.DataCentre == "" || job.DataCentre == target.DataCentre) &&
		job.Group.contains(target) && !slices.Contains(job.Avoid, target.Owner)
}

// matchesVersion reports whether the target is of the version that the job asks for.
func (job Job) matchesVersion(target Target) bool {
	return job.Version == "" || job.Version == target.Version
}

// Refusal states why a request got no upstream and when the caller may retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Ticket permits sending one request to an upstream. Release returns it.
type Ticket struct {
	Target    Target
	upstream  *upstream
	job       Job
	scheduler *Scheduler
	// granted is when the ticket was granted, and started the same or, on an exclusive
	// scheduler, when the request got a slot at the upstream.
	granted, started time.Time
}

// Result is the outcome of a request at its upstream.
type Result string

// The results.
const (
	ResultAnswered Result = "answered"
	// ResultErred means that the upstream ran the request and answered with an
	// error.
	ResultErred Result = "erred"
	ResultShed  Result = "shed"
	// ResultMisplaced means that the upstream does not own the key, or is not the
	// upstream that the request was meant for.
	ResultMisplaced Result = "misplaced"
	// ResultFailed means that the upstream gave no usable answer.
	ResultFailed Result = "failed"
	// ResultUnreached means that the host did not reach the upstream, while other hosts
	// may.
	ResultUnreached Result = "unreached"
	// ResultLeft means that the caller canceled the request.
	ResultLeft Result = "left"
)

// outcome holds either a ticket or a refusal.
type outcome struct {
	ticket  *Ticket
	refusal *Refusal
}
