// Package spec defines the records that operators write: their kinds, their two
// schema versions, and the typed specifications that the rest of the system uses.
package spec

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("record")

// Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	KindService    Kind = "service"
	KindWorkspace  Kind = "workspace"
	KindCallerKey  Kind = "callerKey"
	KindRate       Kind = "rate"
	KindPolicy     Kind = "policy"
	KindDataCentre Kind = "dataCentre"
	KindUpstream   Kind = "upstream"
)

// Kinds returns all kinds, in the order in which the records of a document are
// applied.
func Kinds() []Kind {
	return []Kind{
		KindWorkspace, KindCallerKey, KindRate, KindPolicy, KindService, KindDataCentre, KindUpstream,
	}
}

// Valid reports whether the kind exists.
func (kind Kind) Valid() bool {
	for _, known := range Kinds() {
		if kind == known {
			return true
		}
	}
	return false
}

const (
	// SchemaV1 is the schema version with plain numbers.
	SchemaV1 = 1
	// SchemaV2 is the schema version with durations and nested tables.
	SchemaV2 = 2
)

// ID identifies a record.
type ID struct {
	Kind Kind
	Name string
}

// String returns the ID as kind/name.
func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// Record is one version of a record. Its body stays in the schema in which it was
// written.
type Record struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Schema  int    `json:"schema"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	// Body is the record's fields as canonical JSON.
	Body []byte `cbor:"body" json:"-"`
}

// ID returns the record's ID.
func (record Record) ID() ID { return ID{Kind: record.Kind, Name: record.Name} }

// Equal reports whether two records have the same content and version.
func (record Record) Equal(other Record) bool {
	return record.ID() == other.ID() && record.Schema == other.Schema && record.Version == other.Version &&
		record.Deleted == other.Deleted && string(record.Body) == string(other.Body)
}

// Spec is the typed content of a record, the same for both schema versions.
type Spec interface{ spec() }

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name string
	// Partitions is the number of partitions of the service's keys. 0 means that
	// any upstream serves any request.
	Partitions int
	// KeyHeader names the request header that holds the resource key.
	KeyHeader string
	// Timeout is the maximum time that a request may take from its arrival.
	Timeout time.Duration
	// MaxBodySize and MaxAnswerSize bound the bodies of requests and answers, in
	// bytes.
	MaxBodySize   int
	MaxAnswerSize int
	// Policies are the policies among which the service's traffic is split. Without
	// any the default policy applies.
	Policies []PolicyShare
	// ColdRate is the number of requests per second that an upstream can handle at
	// the beginning of its warm-up, unless the upstream announces another rate.
	ColdRate float64
	// ColdRamp is how long the warm-up of an upstream to full load takes.
	ColdRamp time.Duration
	// RetryBudget is the fraction of requests that may be retried, from 0 to 1.
	RetryBudget float64
}

// PolicyShare gives a policy a share of a service's traffic.
type PolicyShare struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// Workspace is a group of callers with its own caller keys and rate limit.
type Workspace struct {
	Name string
	// Weight is the workspace's weight in fair queuing.
	Weight float64
}

// CallerKey is a key that callers of a workspace present.
type CallerKey struct {
	Name      string
	Workspace string
	// Hash is the SHA-256 of the key's secret, in hexadecimal.
	Hash string
}

// Rate is the rate limit of a workspace, for all hosts together.
type Rate struct {
	Name      string
	Workspace string
	// PerSecond is the number of requests per second.
	PerSecond float64
	// Burst is the number of requests that may arrive at once.
	Burst float64
}

// Policy selects how requests are routed and admitted.
type Policy struct {
	Name      string
	Routing   string
	Admission string
	// HedgeBudget is the fraction of idempotent requests that may be hedged, that
	// is, sent to a second upstream as well.
	HedgeBudget float64
}

// DataCentre sets whether a data centre takes new work.
type DataCentre struct {
	Name      string
	Region    string
	InService bool
}

// Upstream sets whether an upstream takes new work. Its name has the form
// service/name.
type Upstream struct {
	Name      string
	InService bool
}

func (Service) spec()    {}
func (Workspace) spec()  {}
func (CallerKey) spec()  {}
func (Rate) spec()       {}
func (Policy) spec()     {}
func (DataCentre) spec() {}
func (Upstream) spec()   {}

// The routing policies.
const (
	RoutingRoundRobin        = "roundRobin"
	RoutingLeastOutstanding  = "leastOutstanding"
	RoutingLatencyTwoChoices = "latencyTwoChoices"
	RoutingBoundedLoadSticky = "boundedLoadSticky"
	RoutingRendezvous        = "rendezvous"
)

// The admission policies.
const (
	AdmissionFIFO              = "fifo"
	AdmissionDeficitRoundRobin = "deficitRoundRobin"
	AdmissionStrictQuota       = "strictQuota"
)

func validRouting(name string) bool {
	switch name {
	case "", RoutingRoundRobin, RoutingLeastOutstanding, RoutingLatencyTwoChoices, RoutingBoundedLoadSticky, RoutingRendezvous:
		return true
	default:
		return false
	}
}

func validAdmission(name string) bool {
	switch name {
	case "", AdmissionFIFO, AdmissionDeficitRoundRobin, AdmissionStrictQuota:
		return true
	default:
		return false
	}
}
