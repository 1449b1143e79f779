// Package upstr implements the protocol between the system and its upstreams:
// requests, grants of keys, and announcements. Support for another published
// protocol only requires changes to this package.
package upstr

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// Error is the class of all errors of this package.
var Error = errs.Class("upstream")

// Header fields that the system sets on requests to upstreams.
const (
	HeaderWorkspace = "Workspace"
	HeaderToken     = "Fencing-Token"
	HeaderEpoch     = "Primary-Epoch"
	HeaderDeadline  = "Request-Timeout-Ms"
	HeaderRequestID = "Request-Id"
	// HeaderAttempt identifies one attempt of a request. An upstream that repeats it in its
	// response lets the system tell late responses to other attempts apart.
	HeaderAttempt = "Attempt-Id"
	// HeaderOutcome is set in the response of an upstream that refuses a request
	// without running it.
	HeaderOutcome = "Request-Outcome"
	// OutcomeNotRun is the value of HeaderOutcome for such a refusal.
	OutcomeNotRun = "notRun"
	// OutcomeFenced is the value of HeaderOutcome if the request's fencing token or
	// the upstream's grant is too old.
	OutcomeFenced = "fenced"
)

// GrantPath is the path at which an upstream receives grants.
const GrantPath = "/damaskcrank/grant"

// AnnouncePath is the path at which a host receives announcements.
const AnnouncePath = "/announce"

// Announcement describes an upstream and its load. Upstreams send one about once a
// second.
type Announcement struct {
	Service     string         `json:"service"`
	Name        string         `json:"name"`
	DataCentre  string         `json:"dataCentre"`
	Address     netip.AddrPort `json:"address"`
	Incarnation string         `json:"incarnation"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	// ColdRate is the number of requests per second that it can serve after a cold
	// start.
	ColdRate float64 `json:"coldRate"`
	// ColdRampMillis is the warm-up time until it can serve its full load, in
	// milliseconds.
	ColdRampMillis int64 `json:"coldRampMillis"`
	ChecksToken    bool  `json:"checksToken"`
	// Load is the number of requests in progress according to the upstream.
	Load int `json:"load"`
	// Cold is set while the upstream is warming up.
	Cold bool `json:"cold"`
	// Leaving is set if the upstream asks to be taken out of service, that is, to get
	// no new requests.
	Leaving bool `json:"leaving"`
}

const (
	maxSlots    = 10000
	maxColdRamp = time.Hour
)

// Upstream validates the announcement and returns the upstream that it describes.
func (announcement Announcement) Upstream() (state.Upstream, error) {
	upstream := state.Upstream{
		ID:          state.UpstreamID{Service: announcement.Service, Name: announcement.Name},
		DataCentre:  announcement.DataCentre,
		Address:     announcement.Address,
		Incarnation: announcement.Incarnation,
		Slots:       announcement.Slots,
		Connections: announcement.Connections,
		ColdRate:    announcement.ColdRate,
		ColdRamp:    time.Duration(announcement.ColdRampMillis) * time.Millisecond,
		ChecksToken: announcement.ChecksToken,
	}
	switch {
	case announcement.Service == "" || announcement.Name == "" || announcement.Incarnation == "":
		return state.Upstream{}, Error.New("announcement lacks service, name or incarnation")
	case !announcement.Address.IsValid():
		return state.Upstream{}, Error.New("announcement of %s has no address", upstream.ID)
	case announcement.Slots < 1 || announcement.Slots > maxSlots:
		return state.Upstream{}, Error.New("announcement of %s has %d slots, not 1 to %d", upstream.ID, announcement.Slots, maxSlots)
	case announcement.ColdRate < 0 || upstream.ColdRamp < 0 || upstream.ColdRamp > maxColdRamp:
		return state.Upstream{}, Error.New("announcement of %s has an impossible cold start", upstream.ID)
	}
	return upstream, nil
}

// GrantedSlot is one slot of a grant.
type GrantedSlot struct {
	Partition int    `json:"partition"`
	Key       string `json:"key,omitempty"`
	Token     uint64 `json:"token"`
}

// Grant permits an upstream to serve slots for a limited time. The time counts on
// the upstream's own clock from Basis, a timestamp from an earlier response of the
// upstream, so that a grant that arrives late has already expired.
type Grant struct {
	Service    string `json:"service"`
	Upstream   string `json:"upstream"`
	Epoch      uint64 `json:"epoch"`
	Partitions int    `json:"partitions"`
	// Basis is the timestamp from which TTLMillis counts. If it is 0, the grant only
	// requests a timestamp.
	Basis     int64 `json:"basis"`
	TTLMillis int64 `json:"ttlMillis"`
	// Revision identifies the list of slots. Slots is sent only if Full is set.
	Revision uint64        `json:"revision"`
	Full     bool          `json:"full"`
	Slots    []GrantedSlot `json:"slots,omitempty"`
	// Excluded are keys of granted partitions that another upstream owns.
	Excluded []string `json:"excluded,omitempty"`
}

// GrantAck is an upstream's response to a grant.
type GrantAck struct {
	// Stamp is the time on the upstream's monotonic clock.
	Stamp       int64  `json:"stamp"`
	Incarnation string `json:"incarnation"`
	// Revision identifies the list of slots that the upstream has.
	Revision uint64 `json:"revision"`
	// Epoch is the highest primary epoch that the upstream has seen. If it is higher
	// than the grant's, the grant was refused.
	Epoch uint64 `json:"epoch"`
}

// Call is a request to an upstream.
type Call struct {
	Address   netip.AddrPort
	Workspace string
	RequestID string
	// AttemptID identifies this attempt of the request.
	AttemptID string
	Method    string
	Target    string
	Header    []state.HeaderField
	// IdempotencyKey is forwarded so that the upstream may deduplicate requests too.
	IdempotencyKey string
	Body           []byte
	Token          uint64
	Epoch          uint64
	MaxAnswerSize  int
}

// Result is the result of a call: Response, NotRun, Lost, TimedOut or BadResponse.
type Result interface{ result() }

// Response holds the complete response.
type Response struct{ Answer state.Answer }

// NotRun means that the call certainly did not run.
type NotRun struct {
	Cause      NotRunCause
	RetryAfter time.Duration
	Err        error
}

// NotRunCause is why a call did not run.
type NotRunCause uint8

const (
	// CauseUnreachable means that no byte reached the upstream.
	CauseUnreachable NotRunCause = iota
	// CauseShed means that the upstream shed the call because of its load.
	CauseShed
	// CauseFenced means that the call's fencing token or the upstream's grant was too
	// old.
	CauseFenced
)

// Lost means that the connection ended after the call may have been sent.
type Lost struct{ Err error }

// TimedOut means that the deadline passed, or that the caller cancelled the call,
// after the call may have been sent.
type TimedOut struct{ Err error }

// BadResponse means that the upstream ran the call but its response is unusable.
type BadResponse struct {
	Cause BadResponseCause
	Err   error
}

// BadResponseCause is why a response is unusable.
type BadResponseCause uint8

const (
	// CauseTruncated means that the response ended before it was complete.
	CauseTruncated BadResponseCause = iota
	// CauseTooLarge means that the response exceeds the service's limit.
	CauseTooLarge
	// CauseUnframed means that the end of the response cannot be distinguished from a
	// lost connection, since it has neither a length nor chunked encoding.
	CauseUnframed
	// CauseStatus means that the status is not that of a final response.
	CauseStatus
)

func (Response) result()    {}
func (NotRun) result()      {}
func (Lost) result()        {}
func (TimedOut) result()    {}
func (BadResponse) result() {}
