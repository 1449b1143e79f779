// Package upstr is all that the system says to upstreams and hears from them:
// requests, grants of keys, and announcements. Another published protocol is
// met by changing this package alone.
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
	// HeaderOutcome is set by an upstream that refuses a request without
	// running it.
	HeaderOutcome = "Request-Outcome"
	// OutcomeNotRun is the value of HeaderOutcome for such a refusal.
	OutcomeNotRun = "notRun"
	// OutcomeFenced is its value where the token or the grant is too old.
	OutcomeFenced = "fenced"
)

// GrantPath is where an upstream takes grants.
const GrantPath = "/damaskcrank/grant"

// AnnouncePath is where a host takes announcements.
const AnnouncePath = "/announce"

// Announcement is what an upstream says of itself, about once a second.
type Announcement struct {
	Service     string         `json:"service"`
	Name        string         `json:"name"`
	DataCentre  string         `json:"dataCentre"`
	Address     netip.AddrPort `json:"address"`
	Incarnation string         `json:"incarnation"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	// ColdRate is the number of requests per second that it bears when cold.
	ColdRate float64 `json:"coldRate"`
	// ColdRampMillis is the time from cold to full load in milliseconds.
	ColdRampMillis int64 `json:"coldRampMillis"`
	ChecksToken    bool  `json:"checksToken"`
	// Load is the number of requests that it reports as running.
	Load int `json:"load"`
	// Cold is set while it reports that it is warming up.
	Cold bool `json:"cold"`
	// Leaving asks to be taken out: it gets no new work.
	Leaving bool `json:"leaving"`
}

const (
	maxSlots    = 10000
	maxColdRamp = time.Hour
)

// Upstream checks the announcement and returns the upstream that it describes.
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

// Grant lets an upstream serve slots for a time. The time counts on the
// upstream's own clock from Basis, a stamp that the upstream gave in an earlier
// answer, so that a grant which was held up on its way grants nothing.
type Grant struct {
	Service    string `json:"service"`
	Upstream   string `json:"upstream"`
	Epoch      uint64 `json:"epoch"`
	Partitions int    `json:"partitions"`
	// Basis is the stamp that TTLMillis counts from, 0 to only ask for a stamp.
	Basis     int64 `json:"basis"`
	TTLMillis int64 `json:"ttlMillis"`
	// Revision names the list of slots. Slots is sent only where Full is set.
	Revision uint64        `json:"revision"`
	Full     bool          `json:"full"`
	Slots    []GrantedSlot `json:"slots,omitempty"`
	// Excluded are keys of granted partitions that another upstream owns.
	Excluded []string `json:"excluded,omitempty"`
}

// GrantAck is an upstream's answer to a grant.
type GrantAck struct {
	// Stamp is the upstream's monotonic clock.
	Stamp       int64  `json:"stamp"`
	Incarnation string `json:"incarnation"`
	// Revision is the list of slots that the upstream has.
	Revision uint64 `json:"revision"`
	// Epoch is the highest primary epoch that it has seen; a higher one than
	// the grant's means that the grant was refused.
	Epoch uint64 `json:"epoch"`
}

// Call is a request to an upstream.
type Call struct {
	Address   netip.AddrPort
	Workspace string
	RequestID string
	Method    string
	Target    string
	Header    []state.HeaderField
	// IdempotencyKey is passed on so that the upstream may check it too.
	IdempotencyKey string
	Body           []byte
	Token          uint64
	Epoch          uint64
	MaxAnswerSize  int
}

// Result is what became of a call.
type Result interface{ result() }

// Answered holds the whole answer.
type Answered struct{ Answer state.Answer }

// NotRun says that the call surely did not run.
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
	// CauseShed means that the upstream refused it as too much.
	CauseShed
	// CauseFenced means that the upstream refused its token or grant.
	CauseFenced
)

// Lost says that the connection ended in mid-request.
type Lost struct{ Err error }

// TimedOut says that the deadline passed, or that the caller gave up, in
// mid-request.
type TimedOut struct{ Err error }

// BadAnswer says that the upstream ran the call but its answer is no use.
type BadAnswer struct {
	Cause BadAnswerCause
	Err   error
}

// BadAnswerCause is why an answer is no use.
type BadAnswerCause uint8

const (
	// CauseCut means that the answer ended early.
	CauseCut BadAnswerCause = iota
	// CauseTooLarge means that the answer exceeds the service's limit.
	CauseTooLarge
	// CauseUnframed means that the answer's end can't be told from a cut.
	CauseUnframed
)

func (Answered) result()  {}
func (NotRun) result()    {}
func (Lost) result()      {}
func (TimedOut) result()  {}
func (BadAnswer) result() {}
