// Package calls defines the messages that entry hosts and primaries exchange about
// callers' requests.
package calls

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/base/codes"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// Error is the class of all errors of this package.
var Error = errs.Class("calls")

// fingerprintBytes is the length of a fingerprint before it is encoded as hexadecimal
// text.
const fingerprintBytes = 16

// The kinds of link payloads.
const (
	KindCall    = "call"
	KindAnswer  = "answer"
	KindRefusal = "refusal"
	KindBorrow  = "borrow"
	KindLend    = "lend"
	KindLoad    = "load"
	KindStatus  = "status"
)

// Request is a caller's request as an entry host sends it to a primary.
type Request struct {
	ID        string
	Workspace string
	Service   string
	// Key is the resource key, for services whose keys are partitioned.
	Key    string
	Method string
	// Target is the path without the service's name, and the query.
	Target         string
	Header         []state.HeaderField
	IdempotencyKey string
	// Fingerprint identifies the request's content.
	Fingerprint string
	// Remaining is the time left until the request's deadline.
	Remaining  time.Duration
	Shard      state.ShardID
	ShardEpoch uint64
	Body       []byte `cbor:"-"`
}

// Idempotent reports whether the request may run more than once, according to its
// method.
func (request Request) Idempotent() bool {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// SetFingerprint sets the fingerprint, a hash of the request's content without its
// header and idempotency key.
func (request *Request) SetFingerprint() {
	request.Fingerprint = Fingerprint(request.Body, request.Workspace, request.Service, request.Key, request.Method, request.Target)
}

// Fingerprint returns a hash of a request's body and the other parts of its content.
func Fingerprint(body []byte, parts ...string) string {
	return FingerprintPieces([][]byte{body}, parts...)
}

// FingerprintPieces is like Fingerprint for a body in pieces.
func FingerprintPieces(body [][]byte, parts ...string) string {
	digest := sha256.New()
	for _, part := range parts {
		_, _ = digest.Write([]byte(part))
		_, _ = digest.Write([]byte{0})
	}
	for _, piece := range body {
		_, _ = digest.Write(piece)
	}
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}

// Ran states whether a refused request ran.
type Ran string

// The values of Ran.
const (
	RanNot     Ran = "notRun"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "ran"
)

// Reason is why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonNoKey              Reason = "callerKeyMissing"
	ReasonBadKey             Reason = "callerKeyUnknown"
	ReasonUnknownService     Reason = "serviceUnknown"
	ReasonNoResourceKey      Reason = "resourceKeyMissing"
	ReasonBodyTooLarge       Reason = "bodyTooLarge"
	ReasonBadRequest         Reason = "requestMalformed"
	ReasonOverRate           Reason = "overRate"
	ReasonQuotaUnavailable   Reason = "quotaUnavailable"
	ReasonQueueFull          Reason = "queueFull"
	ReasonDeadlineNear       Reason = "deadlineTooNear"
	ReasonDeadlinePassed     Reason = "deadlinePassed"
	ReasonLeaseLost          Reason = "leaseLost"
	ReasonHostCutOff         Reason = "hostCutOff"
	ReasonHostStopping       Reason = "hostStopping"
	ReasonHostBusy           Reason = "hostBusy"
	ReasonShardMoved         Reason = "shardMoved"
	ReasonKeyMoving          Reason = "keyMoving"
	ReasonNoOwner            Reason = "noOwner"
	ReasonNoUpstream         Reason = "noUpstream"
	ReasonUpstreamLost       Reason = "upstreamLost"
	ReasonUpstreamShed       Reason = "upstreamShed"
	ReasonUpstreamTimeout    Reason = "upstreamTimeout"
	ReasonUnreachable        Reason = "upstreamUnreachable"
	ReasonAnswerCut          Reason = "answerCut"
	ReasonAnswerTooLarge     Reason = "answerTooLarge"
	ReasonAnswerUnframed     Reason = "answerUnframed"
	ReasonQuarantined        Reason = "quarantined"
	ReasonKeyReused          Reason = "idempotencyKeyReused"
	ReasonOutcomeUnknown     Reason = "outcomeUnknown"
	ReasonStillRunning       Reason = "stillRunning"
	ReasonAnswerOmitted      Reason = "answerNotStored"
	ReasonLedgerFull         Reason = "ledgerFull"
	ReasonLedgerUnavailable  Reason = "ledgerUnavailable"
	ReasonLinkLost           Reason = "linkLost"
	ReasonPrimaryUnreachable Reason = "primaryUnreachable"
	ReasonCallerGone         Reason = "callerGone"
)

// OwnerChanging reports whether a refusal only means that another primary or owner has
// taken over or soon will, so that the entry host should retry.
func (reason Reason) OwnerChanging() bool {
	switch reason {
	case ReasonLeaseLost, ReasonHostStopping, ReasonShardMoved, ReasonKeyMoving, ReasonNoOwner,
		ReasonNoUpstream, ReasonUpstreamLost, ReasonPrimaryUnreachable, ReasonUnreachable, ReasonHostCutOff:
		return true
	default:
		return false
	}
}

// Outcome is the outcome of a request: Response or Refusal.
type Outcome interface{ outcome() }

// Response holds the complete response of an upstream.
type Response struct {
	Answer state.Answer
	// Replayed is set if the response was stored for an earlier submission of the same
	// request.
	Replayed bool
	Upstream string
}

// Refusal states why there is no response and whether the request ran.
type Refusal struct {
	Reason     Reason
	Ran        Ran
	Detail     string
	RetryAfter time.Duration
}

func (Response) outcome() {}
func (Refusal) outcome()  {}

// responseHead is Response without the body, which is sent unencoded.
type responseHead struct {
	Status   int
	Header   []state.HeaderField
	Replayed bool
	Upstream string
}

// EncodeRequest encodes a request as a payload.
func EncodeRequest(request Request) (links.Payload, error) {
	head, err := codec.Marshal(request)
	if err != nil {
		return links.Payload{}, Error.New("encode request: %w", err)
	}
	return links.Payload{Kind: KindCall, Head: head, Body: request.Body}, nil
}

// DecodeRequest decodes a request from a payload.
func DecodeRequest(payload links.Payload) (Request, error) {
	var request Request
	if err := codec.Unmarshal(payload.Head, &request); err != nil {
		return Request{}, Error.New("decode request: %w", err)
	}
	request.Body = payload.Body
	return request, nil
}

// EncodeOutcome encodes an outcome as a payload.
func EncodeOutcome(outcome Outcome) (links.Payload, error) {
	switch outcome := outcome.(type) {
	case Response:
		head, err := codec.Marshal(responseHead{
			Status: outcome.Answer.Status, Header: outcome.Answer.Header,
			Replayed: outcome.Replayed, Upstream: outcome.Upstream,
		})
		if err != nil {
			return links.Payload{}, Error.New("encode answer: %w", err)
		}
		return links.Payload{Kind: KindAnswer, Head: head, Body: outcome.Answer.Body}, nil
	default:
		head, err := codec.Marshal(outcome)
		if err != nil {
			return links.Payload{}, Error.New("encode refusal: %w", err)
		}
		return links.Payload{Kind: KindRefusal, Head: head}, nil
	}
}

// DecodeOutcome decodes an outcome from a payload. It fails for a refusal without a
// Ran value.
func DecodeOutcome(payload links.Payload) (Outcome, error) {
	switch payload.Kind {
	case KindAnswer:
		var head responseHead
		if err := codec.Unmarshal(payload.Head, &head); err != nil {
			return nil, Error.New("decode answer: %w", err)
		}
		if !codes.IsFinal(head.Status) { // hosts of earlier versions pass those on
			return Refusal{Reason: ReasonAnswerUnframed, Ran: RanYes, Detail: "the request ran, but its answer has no valid status"}, nil
		}
		answer := state.Answer{Status: head.Status, Header: head.Header, Body: payload.Body}
		return Response{Answer: answer, Replayed: head.Replayed, Upstream: head.Upstream}, nil
	case KindRefusal:
		var refusal Refusal
		if err := codec.Unmarshal(payload.Head, &refusal); err != nil {
			return nil, Error.New("decode refusal: %w", err)
		}
		if refusal.Ran == "" {
			return nil, Error.New("a refusal does not say whether the request ran")
		}
		return refusal, nil
	default:
		return nil, Error.New("payload %q is no outcome", payload.Kind)
	}
}
